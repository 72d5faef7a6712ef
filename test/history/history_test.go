package history_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/dispatch"
	"plantainrelay/test/history"
)

func recordOutcomes(outcomes ...dispatch.Outcome) *history.Recorder {
	r := &history.Recorder{}
	for i, outcome := range outcomes {
		start := time.Unix(int64(10*i), 0)
		r.Add(history.Submission{Key: "k", Body: "b", Echo: "b", Outcome: outcome, Start: start, End: start.Add(time.Second)})
	}
	return r
}

func TestConsistentHistoriesPass(t *testing.T) {
	c := qt.New(t)
	c.Check(recordOutcomes(dispatch.Done, dispatch.Done).Check(map[string]int{"k": 1}), qt.IsNil)
	c.Check(recordOutcomes(dispatch.NotRun, dispatch.Done).Check(map[string]int{"k": 1}), qt.IsNil)
	c.Check(recordOutcomes(dispatch.Unknown, dispatch.NotRun).Check(map[string]int{}), qt.IsNil)
	c.Check(recordOutcomes(dispatch.Unknown, dispatch.NotRun).Check(map[string]int{"k": 1}), qt.IsNil, qt.Commentf("a request with an unknown outcome may run later"))
	c.Check(recordOutcomes("").Check(map[string]int{"k": 1}), qt.IsNil)
}

func TestInconsistentHistoriesFail(t *testing.T) {
	c := qt.New(t)
	c.Check(recordOutcomes(dispatch.Done, dispatch.Done).Check(map[string]int{"k": 2}), qt.IsNotNil)
	c.Check(recordOutcomes(dispatch.Unknown, "").Check(map[string]int{"k": 2}), qt.IsNotNil)
	c.Check(recordOutcomes(dispatch.NotRun).Check(map[string]int{"k": 1}), qt.IsNotNil)
	c.Check(recordOutcomes(dispatch.Done, dispatch.NotRun).Check(map[string]int{"k": 1}), qt.IsNotNil)
	c.Check(recordOutcomes(dispatch.Done).Check(map[string]int{}), qt.IsNotNil)
	c.Check(recordOutcomes(dispatch.Done).Check(map[string]int{"k": 1, "other": 1}), qt.IsNotNil)
	crossed := &history.Recorder{}
	crossed.Add(history.Submission{Key: "k", Body: "b", Echo: "other", Outcome: dispatch.Done})
	c.Check(crossed.Check(map[string]int{"k": 1}), qt.IsNotNil)
}
