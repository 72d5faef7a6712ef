package fleet

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/platform/standin"
	"plantainrelay/test/testfleet"
)

var checkEpoch = time.Unix(1_000, 0)

// validHistory returns a history without violations that has one request of each kind.
func validHistory() *History {
	h := &History{Bounds: StatedBounds, RecoveryCheckFrom: checkEpoch.Add(-time.Second)}
	routes := []standin.Route{{Kind: standin.Streaming, Pool: testfleet.ModelPool}, {Kind: standin.NonIdempotent, Pool: testfleet.BookingsPool}, {Kind: standin.Idempotent, Pool: testfleet.BookingsPool}}
	h.addTable(standin.Table{Version: 1, Routes: routes, Keys: map[string][]string{"firm-1": {"key-1"}}}, checkEpoch.Add(-time.Minute))
	for i, kind := range []standin.RouteKind{standin.Streaming, standin.NonIdempotent, standin.Idempotent} {
		call := Call{
			Attempt: string(kind), Kind: kind, Key: "key-1", Entry: "entry-a1", Method: "POST", URI: "/" + string(kind), Sent: checkEpoch, Ended: checkEpoch.Add(time.Second),
			Outcome: Complete, Status: 200, Correct: true, Sealed: true,
		}
		execution := standin.Execution{
			BackendID: "i-1", Pool: routes[i].Pool, Attempt: call.Attempt, Customer: "firm-1", Method: "POST", URI: call.URI, CompleteWeights: true, StartedAt: checkEpoch.Add(time.Millisecond),
		}
		if kind == standin.Streaming {
			call.EventsRequested, call.EventsReceived, execution.Version = 4, 4, 2
		}
		h.addCall(call)
		h.addExecution(execution)
	}
	return h
}

// modifications change a valid history, at least once for each rule.
var modifications = []struct {
	name, violates string
	apply          func(h *History)
}{
	{"an execution that no caller requested", "UNASKED", func(h *History) { h.Executions[0].Attempt = "other" }},
	{"a changed request body", "UNASKED", func(h *History) { h.Executions[1].Body = "more" }},
	{"another customer than the key's", "UNASKED", func(h *History) { h.Executions[0].Customer = "firm-2" }},
	{"incomplete weights", "WHOLE", func(h *History) { h.Executions[0].CompleteWeights = false }},
	{"a pool that no tables route to", "ROUTE", func(h *History) { h.Executions[1].Pool = testfleet.RecordsPool }},
	{"a pool that only replaced tables route to", "CONFIG", func(h *History) {
		replaced := h.tables[0]
		replaced.at = checkEpoch.Add(-3 * time.Second)
		replaced.table.Routes = slices.Clone(replaced.table.Routes)
		replaced.table.Routes[1].Pool = testfleet.RecordsPool
		h.tables = append(h.tables, replaced)
	}},
	{"a pool that only replaced tables route to, during a fault of another entry", "CONFIG", func(h *History) {
		replaced := h.tables[0]
		replaced.at = checkEpoch.Add(-3 * time.Second)
		replaced.table.Routes = slices.Clone(replaced.table.Routes)
		replaced.table.Routes[1].Pool = testfleet.RecordsPool
		h.tables = append(h.tables, replaced)
		h.Windows = append(h.Windows, FaultWindow{Target: "entry-b1", From: checkEpoch.Add(-time.Minute), To: checkEpoch.Add(time.Minute)})
	}},
	{"a revoked key while the store is down", "CONFIG", func(h *History) {
		h.tables = append(h.tables, acceptedChange{at: checkEpoch.Add(-6 * time.Second), table: standin.Table{Routes: h.tables[0].table.Routes}})
		h.Windows = append(h.Windows, FaultWindow{From: checkEpoch.Add(-time.Minute), To: checkEpoch.Add(time.Minute)})
	}},
	{"an old version after the bound", "VERSION", func(h *History) { h.addRelease(3, checkEpoch.Add(-9*time.Second)) }},
	{"a late request to an instance that shuts down", "DRAIN", func(h *History) { h.addDrainNotice("i-1", checkEpoch.Add(-3*time.Second)) }},
	{"a late request to an instance whose answer has said that it leaves", "DRAIN notice", func(h *History) {
		h.Calls[0].Ended = checkEpoch.Add(-3 * time.Second)
		h.addArrival(standin.Arrival{BackendID: "i-1", Attempt: h.Calls[0].Attempt, At: checkEpoch.Add(-4 * time.Second), Leaving: true})
		h.addArrival(standin.Arrival{BackendID: "i-1", Attempt: h.Calls[1].Attempt, At: checkEpoch})
	}},
	{"requests to an instance that has asked to wait", "BUDGET", func(h *History) {
		for i, after := range []time.Duration{0, 600, 700, 800} {
			h.addArrival(standin.Arrival{BackendID: "i-1", Attempt: h.Calls[0].Attempt, At: checkEpoch.Add(after * time.Millisecond), Wait: time.Duration(1-min(i, 1)) * time.Second})
		}
	}},
	{"requests with a part that has crashed five instances", "BUDGET part", func(h *History) {
		for i := range 5 {
			h.Crashes = append(h.Crashes, PartCrash{Part: "crash-1", At: checkEpoch.Add(time.Duration(i-8) * time.Second)})
		}
		h.Calls[0].CrashingPart = "crash-1"
		for range 4 {
			h.addArrival(standin.Arrival{BackendID: "i-1", Attempt: h.Calls[0].Attempt, At: checkEpoch})
		}
	}},
	{"a sound request that is refused because of a blocked part", "LOST part", func(h *History) {
		h.Calls[0].Outcome, h.Calls[0].Detail, h.Executions = Refused, `{"error":"blocked_prompt"}`, h.Executions[1:]
	}},
	{"a booking runs twice", "TWICE", func(h *History) { h.Executions = append(h.Executions, h.Executions[1]) }},
	{"a refused booking that ran", "REFUSED", func(h *History) { h.Calls[1].Outcome, h.Calls[1].Status = Refused, 503 }},
	{"another request's answer", "MIXED", func(h *History) { h.Calls[2].Correct = false }},
	{"an answer without a valid seal", "MIXED", func(h *History) { h.Calls[2].Sealed = false }},
	{"a truncated stream reported as complete", "ORDER", func(h *History) { h.Calls[0].EventsReceived = 3 }},
	{"events out of order", "ORDER", func(h *History) { h.Calls[0].Correct, h.Calls[0].Outcome = false, Failed }},
	{"not found on a route that all tables have", "DENIED", func(h *History) { h.Calls[2].Status, h.Calls[2].Outcome = 404, Failed }},
	{"unauthorized with a key that all tables have", "DENIED", func(h *History) { h.Calls[2].Status, h.Calls[2].Outcome = 401, Failed }},
	{"a graceful stop interrupts a request", "LOST", func(h *History) {
		h.Calls[1].Outcome = Failed
		h.addStop(FaultWindow{Target: "entry-a1", From: checkEpoch.Add(500 * time.Millisecond), To: checkEpoch.Add(5 * time.Second)})
	}},
	{"a change of the tables interrupts a request", "LOST", func(h *History) {
		h.Calls[2].Outcome, h.Calls[2].Status = Failed, 502
		h.tables = append(h.tables, acceptedChange{at: checkEpoch.Add(500 * time.Millisecond), table: h.tables[0].table})
	}},
	{"an entry exceeds the shutdown timeout", "LOST", func(h *History) {
		h.Overdue = append(h.Overdue, FaultWindow{Target: "entry-a1", From: checkEpoch, To: checkEpoch.Add(shutdownTimeout)})
	}},
	{"nothing is served after the faults", "RECOVER", func(h *History) { h.Calls[1].Outcome, h.Calls[2].Outcome = Failed, Failed }},
	{"a process that exited by itself", "EXIT", func(h *History) { h.addViolation("EXIT", "entry-a1") }},
}

func TestEachViolationIsReported(t *testing.T) {
	c := qt.New(t)
	c.Assert(validHistory().Check(), qt.HasLen, 0)
	for _, modification := range modifications {
		h := validHistory()
		modification.apply(h)
		var rules []string
		for _, problem := range h.Check() {
			rules = append(rules, problem.Rule)
		}
		c.Check(slices.Contains(rules, modification.violates), qt.IsTrue, qt.Commentf("%s: violated %v", modification.name, rules))
	}
}

// TestTimeBoundsDoNotApplyDuringFaults guards against false alarms: the
// Version and Drain bounds don't apply during a fault or shortly after it.
func TestTimeBoundsDoNotApplyDuringFaults(t *testing.T) {
	c := qt.New(t)
	for _, modification := range modifications {
		if modification.violates != "VERSION" && modification.violates != "DRAIN" {
			continue
		}
		h := validHistory()
		modification.apply(h)
		h.Windows = append(h.Windows, FaultWindow{Kind: "store down", From: checkEpoch.Add(-4 * time.Second), To: checkEpoch.Add(-time.Second)})
		c.Check(h.Check(), qt.HasLen, 0, qt.Commentf(modification.name))
	}
}
