package checker

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/platform"
	"plantainrelay/internal/weights"
	"plantainrelay/test/standin"
)

const (
	digestV1 = weights.Digest("aa")
	digestV2 = weights.Digest("bb")
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// validHistory returns a history that violates no guarantee.
func validHistory() *History {
	h := &History{Versions: map[string]weights.Digest{"v1": digestV1, "v2": digestV2}}
	h.Calls = []Call{
		{ID: "c1", Body: "b1", Model: true, Tokens: 2, Entry: "entry-1", Sent: at(0), Ended: at(1), Outcome: Done, Version: "v1",
			Answer: []byte(`{"echo":"b1","version":"v1","whole":"aa","tokens":2}`)},
		{ID: "c2", Body: "b2", Model: true, Stream: true, Tokens: 2, Entry: "entry-2", Sent: at(1), Ended: at(12), Outcome: Done, Version: "v2", Answer: stream("b2", 2)},
		{ID: "c3", Body: "b3", Key: "k3", Tokens: 8, Entry: "entry-1", Sent: at(2), Ended: at(3), Outcome: Unknown},
		{ID: "c4", Body: "b3", Key: "k3", Tokens: 8, Entry: "entry-2", Sent: at(4), Ended: at(5), Outcome: Done,
			Answer: []byte(`{"echo":"b3","version":"","whole":"","tokens":8}`)},
		{ID: "c5", Body: "b5", Key: "k5", Entry: "entry-1", Sent: at(5), Ended: at(6), Outcome: NotRun},
	}
	h.Executions = []Execution{
		execution("model-1", true, "c1", "", "v1", digestV1, 0.5),
		execution("model-1", true, "c2", "", "v2", digestV2, 1.5),
		execution("booking-1", false, "c3", "k3", "", "", 2.5),
	}
	h.Shutdowns = []Shutdown{
		{Instance: "model-1", Requested: at(11), Ended: at(13), Clean: true},
		{Instance: "entry-1", Entry: true, Requested: at(20), Ended: at(27), Clean: true},
	}
	h.Edits = []Edit{
		{ID: "e1", Operator: 1, Expected: 0, Sent: at(0), Ended: at(1), Result: Accepted, Revision: 1},
		{ID: "e2", Operator: 1, Expected: 1, Sent: at(5), Ended: at(6), Result: Accepted, Revision: 2},
		{ID: "e3", Operator: 2, Expected: 1, Sent: at(5), Ended: at(6), Result: Refused},
	}
	h.Writes = []platform.Object{write("e1", 1), write("e2", 2)}
	for second := range 30 {
		for _, name := range []string{"entry-1", "model-1"} {
			revision := int64(1)
			if second > 8 {
				revision = 2
			}
			h.Observations = append(h.Observations, Observation{Instance: name, AvailabilityZone: "a", At: at(float64(second) + 1.5), Started: start, Revision: revision})
		}
	}
	return h
}

func stream(echo string, tokens int) []byte {
	var out []byte
	for token := range tokens {
		out = fmt.Appendf(out, "data: {\"token\":%d,\"echo\":%q,\"version\":\"v2\",\"whole\":\"bb\"}\n\n", token, echo)
	}
	return append(out, "event: done\ndata: {}\n\n"...)
}

func execution(instance string, model bool, call, key, version string, whole weights.Digest, second float64) Execution {
	return Execution{Instance: instance, Model: model, Execution: standin.Execution{Call: call, Key: key, Version: version, WeightsDigest: whole, Started: at(second)}}
}

func write(edit string, version int64) platform.Object {
	return platform.Object{Kind: "config", Name: "tables", Version: 100 + version, Value: fmt.Appendf(nil, `{"edit_id":%q,"revision":%d}`, edit, version)}
}

func TestValidHistoryHasNoViolations(t *testing.T) {
	report := Check(validHistory(), StatedBounds)
	qt.Assert(t, report.Violated(), qt.HasLen, 0)
	qt.Assert(t, report, qt.HasLen, 7)
}

// TestEachViolationIsReported modifies a valid history in many ways. Check must
// report exactly the guarantee that the modification violates.
func TestEachViolationIsReported(t *testing.T) {
	for _, modification := range []struct {
		name, violates string
		apply          func(h *History)
	}{
		{"an engine ran with partial weights", "G1", func(h *History) { h.Executions[0].WeightsDigest = "ab" }},
		{"an engine ran without weights", "G1", func(h *History) { h.Executions[0].Version, h.Executions[0].WeightsDigest = "", "" }},
		{"a stream mixes two versions", "G1", func(h *History) { h.Calls[1].Version = "v1" }},
		{"an answer from partial weights", "G1", func(h *History) {
			h.Calls[0].Answer = []byte(`{"echo":"b1","version":"v1","whole":"ac","tokens":2}`)
		}},
		{"an answer to another request", "G2", func(h *History) { h.Calls[1].Answer = stream("b1", 2) }},
		{"a truncated stream reported as complete", "G2", func(h *History) { h.Calls[1].Answer = h.Calls[1].Answer[:len(h.Calls[1].Answer)-30] }},
		{"a truncated answer reported as complete", "G2", func(h *History) { h.Calls[3].Answer = h.Calls[3].Answer[:9] }},
		{"not_run for a call that ran", "G3", func(h *History) {
			h.Executions = append(h.Executions, execution("booking-1", false, "c5", "k5", "", "", 5.5))
		}},
		{"not_run for a key that had run", "G3", func(h *History) { h.Calls[3].Outcome = NotRun }},
		{"a key run twice", "G4", func(h *History) {
			h.Executions = append(h.Executions, execution("booking-2", false, "c4", "k3", "", "", 4.5))
		}},
		{"a call run twice", "G4", func(h *History) {
			h.Executions = append(h.Executions, execution("booking-2", false, "c3", "k3", "", "", 2.6))
		}},
		{"a late request to an agent that shuts down", "G5", func(h *History) {
			h.Shutdowns[0].Ended = at(18)
			h.Executions = append(h.Executions, execution("model-1", true, "c9", "", "v2", digestV2, 17))
		}},
		{"a late request to an entry that shuts down", "G5", func(h *History) {
			h.Calls = append(h.Calls, Call{ID: "c9", Entry: "entry-1", Sent: at(26), Ended: at(26.5), Outcome: NotRun})
		}},
		{"a stream interrupted during drain", "G6", func(h *History) { h.Calls[1].Outcome = Broken }},
		{"a forced shutdown", "G6", func(h *History) { h.Shutdowns[1].Clean = false }},
		{"a lost accepted edit", "G7", func(h *History) { h.Writes = h.Writes[:1] }},
		{"two accepted edits of the same revision", "G7", func(h *History) {
			h.Edits[2].Result, h.Edits[2].Revision = Accepted, 3
			h.Writes = append(h.Writes, write("e3", 3))
			h.Observations = nil
		}},
		{"a return to an older revision", "G7", func(h *History) { h.Observations[30].Revision = 1; h.Edits[1].Ended = at(25) }},
		{"an edit that one instance does not hold in time", "G7", func(h *History) {
			for i := range h.Observations {
				if h.Observations[i].Instance == "model-1" {
					h.Observations[i].Revision = 1
				}
			}
		}},
		{"a refused edit in the store", "G7", func(h *History) { h.Edits[1].Result = Refused }},
	} {
		t.Run(modification.name, func(t *testing.T) {
			h := validHistory()
			modification.apply(h)
			qt.Assert(t, Check(h, StatedBounds).Violated(), qt.DeepEquals, []string{modification.violates})
		})
	}
}

func TestCallBrokenDuringFaultIsNoDrainViolation(t *testing.T) {
	h := validHistory()
	h.Calls[1].Outcome = Broken
	h.Faults = []Fault{{Kind: "kill", BreaksCalls: true, From: at(10), To: at(11)}}
	report := Check(h, StatedBounds)
	qt.Assert(t, report.Violated(), qt.HasLen, 0)
	qt.Assert(t, report[5].Counts[1].N, qt.Equals, 1)
}
