package soak

import (
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/platform"
	"plantainrelay/test/checker"
	"plantainrelay/test/cluster"
)

// ciBounds are generous, so that the result does not depend on the speed of the
// machine; make soak uses checker.StatedBounds.
var ciBounds = checker.Bounds{StopRouting: 30 * time.Second, Propagation: 60 * time.Second}

const (
	ciSeed     = 20
	ciDuration = 21 * time.Second
)

// ciFaults are injected one at a time; make soak also injects pairs.
var ciFaults = []string{"version changed mid-flight", "agent left", "agent killed and replaced", "entry left", "store down", "process paused"}

func TestShortRunHoldsAndViolationsAreDetected(t *testing.T) {
	c := qt.New(t)
	bin := t.TempDir()
	c.Assert(cluster.Build(bin), qt.IsNil)
	result, err := Run(Config{
		Deployment: Deployments["dumitrescu"].Small(), Seed: ciSeed, Duration: ciDuration, Rate: 1, FaultInterval: ciDuration / time.Duration(len(ciFaults)),
		Faults: ciFaults, WeightBytes: 1 << 20, Bin: bin, Dir: t.TempDir(), Log: os.Stderr,
	})
	c.Assert(err, qt.IsNil)
	report := checker.Check(result.History, ciBounds)
	result.Write(os.Stderr, report)
	c.Check(result.Settled, qt.Equals, "yes")
	c.Check(result.FaultErrors, qt.HasLen, 0)
	c.Check(report.Violated(), qt.HasLen, 0)
	c.Assert(len(result.History.Shutdowns) > 0, qt.IsTrue)
	c.Assert(len(result.History.Edits) > 0, qt.IsTrue)
	for _, modification := range modifications {
		history := cloneHistory(result.History)
		c.Assert(modification.apply(history), qt.IsTrue, qt.Commentf("%s: the history has no record that this can be applied to", modification.name))
		violated := checker.Check(history, ciBounds).Violated()
		c.Check(slices.Contains(violated, modification.violates), qt.IsTrue, qt.Commentf("%s: violated %v", modification.name, violated))
	}
}

// TestFaultWithoutTargetsIsNotRecorded covers a fault for which no instance is left: a
// record of it would excuse calls that broke for another reason.
func TestFaultWithoutTargetsIsNotRecorded(t *testing.T) {
	c := qt.New(t)
	r := &run{config: Config{Deployment: Deployments["dumitrescu"]}, random: rand.New(rand.NewPCG(1, 1))}
	c.Assert(r.restartLedgerAgents(t.Context()), qt.Equals, errNoneLeft)
	c.Assert(r.faults, qt.HasLen, 0)
}

func cloneHistory(h *checker.History) *checker.History {
	other := *h
	other.Calls, other.Executions, other.Shutdowns = slices.Clone(h.Calls), slices.Clone(h.Executions), slices.Clone(h.Shutdowns)
	other.Edits, other.Writes, other.Observations = slices.Clone(h.Edits), slices.Clone(h.Writes), slices.Clone(h.Observations)
	return &other
}

// find returns the first element for which matches returns true.
func find[T any](all []T, matches func(T) bool) (*T, bool) {
	index := slices.IndexFunc(all, matches)
	if index < 0 {
		return nil, false
	}
	return &all[index], true
}

// modifications change the history of a real run so that it violates one
// guarantee each. apply returns false if the history has no suitable record.
var modifications = []struct {
	name, violates string
	apply          func(h *checker.History) bool
}{
	{"an engine responds from partial weights", "G1", func(h *checker.History) bool {
		execution, found := find(h.Executions, func(e checker.Execution) bool { return e.Model })
		if found {
			execution.WeightsDigest = "partial"
		}
		return found
	}},
	{"a caller gets the response to another request", "G2", func(h *checker.History) bool {
		first, found := find(h.Calls, func(c checker.Call) bool { return c.Outcome == checker.Done && c.Model && !c.Stream })
		if !found {
			return false
		}
		second, found := find(h.Calls, func(c checker.Call) bool {
			return c.Outcome == checker.Done && c.Model && !c.Stream && c.ID != first.ID
		})
		if found {
			first.Answer = second.Answer
		}
		return found
	}},
	{"a booking that ran is reported as not_run", "G3", func(h *checker.History) bool {
		call, found := find(h.Calls, func(c checker.Call) bool { return c.Outcome == checker.Done && c.Key != "" })
		if found {
			call.Outcome = checker.NotRun
		}
		return found
	}},
	{"a booking runs twice", "G4", func(h *checker.History) bool {
		execution, found := find(h.Executions, func(e checker.Execution) bool { return e.Key != "" })
		if found {
			h.Executions = append(h.Executions, *execution)
		}
		return found
	}},
	{"a leaving instance gets a request", "G5", func(h *checker.History) bool {
		leave, found := find(h.Shutdowns, func(l checker.Shutdown) bool { return !l.Entry })
		if found {
			leave.Requested = leave.Ended.Add(-2 * ciBounds.StopRouting)
			late := checker.Execution{Instance: leave.Instance}
			late.Started = leave.Ended.Add(-time.Second)
			h.Executions = append(h.Executions, late)
		}
		return found
	}},
	{"a call is interrupted during drain", "G6", func(h *checker.History) bool {
		leave, found := find(h.Shutdowns, func(l checker.Shutdown) bool { return l.Entry })
		if found {
			h.Calls = append(h.Calls, checker.Call{ID: "cut", Entry: leave.Instance, Sent: leave.Requested, Ended: leave.Ended, Outcome: checker.Broken})
			h.Faults = nil
		}
		return found
	}},
	{"an accepted edit is lost", "G7", func(h *checker.History) bool {
		edit, found := find(h.Edits, func(e checker.Edit) bool { return e.Result == checker.Accepted })
		if found {
			h.Writes = slices.DeleteFunc(h.Writes, func(w platform.Object) bool { return strings.Contains(string(w.Value), edit.ID) })
		}
		return found
	}},
}
