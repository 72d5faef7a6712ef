package fleet

import (
	"fmt"
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
			Outcome: Complete, Status: 200, Correct: true, Sealed: true, Written: checkEpoch, TimeLeft: callTimeout,
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
	{"an old version after the bound, while the origin is down and its engine was silent", "VERSION", func(h *History) {
		h.addRelease(3, checkEpoch.Add(-StatedBounds.Version-time.Millisecond))
		h.Executions[0].StartedAt = checkEpoch.Add(maxSilence)
		h.Windows = append(h.Windows, FaultWindow{Kind: originKind, From: checkEpoch.Add(-time.Minute), To: checkEpoch.Add(time.Minute)})
	}},
	{"an old version after the bound, during faults of another entry and of the engine", "VERSION", func(h *History) {
		h.addRelease(3, checkEpoch.Add(-9*time.Second))
		for _, target := range []string{"entry-b1", "engine-a1"} {
			h.Windows = append(h.Windows, FaultWindow{Kind: "agent paused", Target: target, From: checkEpoch.Add(-time.Minute), To: checkEpoch.Add(time.Minute)})
		}
	}},
	{"a version older than the first one of two releases after its bound", "VERSION", func(h *History) {
		h.addRelease(3, checkEpoch.Add(-StatedBounds.Version))
		h.addRelease(4, checkEpoch.Add(-StatedBounds.Version+2*time.Second))
	}},
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
	{"a request that an engine holds gets 502 before the bound of a release", "LOST", func(h *History) {
		h.Calls[0].Outcome, h.Calls[0].Status, h.Calls[0].EventsReceived = Failed, 502, 0
		h.addRelease(3, checkEpoch.Add(-StatedBounds.Version+time.Second))
	}},
	{"a request sent before a release is cut after seven tenths of its time, while the origin is down", "LOST", func(h *History) {
		h.Calls[0].Outcome, h.Calls[0].Lost, h.Calls[0].EventsReceived, h.Calls[0].Ended = Failed, true, 3, checkEpoch.Add(callTimeout*8/10)
		h.addRelease(3, checkEpoch.Add(time.Second))
		h.Windows = append(h.Windows, FaultWindow{Kind: originKind, From: checkEpoch, To: checkEpoch.Add(time.Minute)})
	}},
	{"a request that was passed on and rejected is closed in a stop", "LOST", func(h *History) {
		h.Calls[1].Outcome, h.Calls[1].Status, h.Calls[1].Lost, h.Executions = Failed, 0, true, slices.Delete(h.Executions, 1, 2)
		h.Calls[1].Written = h.Calls[1].Ended.Add(-lossSlack / 2)
		h.addArrival(standin.Arrival{BackendID: "i-1", Attempt: h.Calls[1].Attempt, At: checkEpoch})
		h.addStop(FaultWindow{Target: "entry-a1", From: checkEpoch.Add(500 * time.Millisecond), To: checkEpoch.Add(5 * time.Second)})
	}},
	{"a stop closes a request that was not passed on, long after its last byte", "LOST", func(h *History) {
		h.Calls[1].Outcome, h.Calls[1].Status, h.Calls[1].Lost, h.Executions = Failed, 0, true, slices.Delete(h.Executions, 1, 2)
		h.addStop(FaultWindow{Target: "entry-a1", From: checkEpoch.Add(500 * time.Millisecond), To: checkEpoch.Add(5 * time.Second)})
	}},
	{"a request sent late in a stop is cut at its end", "LOST", func(h *History) { cutAtTheEnd(h, lateStopTime+100*time.Millisecond, standin.Closed) }},
	{"a stop cuts a request that an instance has ended before the last part of the grace period", "LOST", func(h *History) {
		cutAtTheEnd(h, lateStopTime-100*time.Millisecond, standin.Closed)
		h.Executions[0].Run.End(standin.Closed, h.Calls[0].Sent.Add(time.Second))
	}},
	{"a reload of the settings interrupts a request", "LOST", func(h *History) {
		h.Calls[0].Outcome = Failed
		h.addReload("entry-a1", checkEpoch.Add(500*time.Millisecond))
	}},
	{"passed on requests on kept connections get no response", "LOST kept", func(h *History) {
		for i := range 4 {
			call, execution := h.Calls[0], h.Executions[0]
			call.Attempt, call.Outcome, call.Status, call.Lost, call.Kept, call.EventsReceived = fmt.Sprint(i), Failed, 0, true, true, 0
			execution.Attempt = call.Attempt
			h.addCall(call)
			h.addExecution(execution)
		}
	}},
	{"an entry exceeds the shutdown timeout", "LOST", func(h *History) {
		h.Overdue = append(h.Overdue, FaultWindow{Target: "entry-a1", From: checkEpoch, To: checkEpoch.Add(shutdownTimeout)})
	}},
	{"nothing is served after the faults", "RECOVER", func(h *History) { h.Calls[1].Outcome, h.Calls[2].Outcome = Failed, Failed }},
	{"a process that exited by itself", "EXIT", func(h *History) { h.addViolation("EXIT", "entry-a1") }},
}

// cutAtTheEnd makes the stream one that was sent at a time after SIGTERM and cut with its run
// shortly before the end of the grace period.
func cutAtTheEnd(h *History, sent time.Duration, ending standin.Ending) {
	call, execution, stopped := &h.Calls[0], &h.Executions[0], checkEpoch.Add(-sent)
	cut := stopped.Add(shutdownTimeout - 300*time.Millisecond)
	call.Outcome, call.Lost, call.TimeLeft, call.Ended, call.EventsReceived = Failed, true, longStreamTimeout, cut, 3
	execution.Run = &standin.Run{}
	execution.Run.End(ending, cut)
	h.addStop(FaultWindow{Target: call.Entry, From: stopped, To: cut})
}

// TestExcusedCutsAreCounted guards against false alarms, and against cuts that no record
// shows: a request that the platform allows to cut is counted, and no violation.
func TestExcusedCutsAreCounted(t *testing.T) {
	c := qt.New(t)
	const early = lateStopTime - 100*time.Millisecond
	for excuse, apply := range map[string]func(h *History){
		"at work at the end of the grace period": func(h *History) { cutAtTheEnd(h, early, standin.Closed) },
		"instance broke off":                     func(h *History) { cutAtTheEnd(h, lateStopTime+time.Second, standin.BrokenOff) },
		"time limit": func(h *History) {
			cutAtTheEnd(h, early, standin.Closed)
			h.Calls[0].TimeLeft = callTimeout
		},
		"closed at once on a kept connection": func(h *History) {
			h.Calls[1].Kept, h.Calls[1].Outcome, h.Calls[1].Lost, h.Calls[1].Written = true, Failed, true, h.Calls[1].Ended.Add(-lossSlack/2)
			h.Executions = slices.Delete(h.Executions, 1, 2)
		},
		"fault": func(h *History) {
			cutAtTheEnd(h, lateStopTime+time.Second, standin.Closed)
			h.Windows = append(h.Windows, FaultWindow{Kind: "store down", From: checkEpoch, To: checkEpoch.Add(time.Second)})
		},
		"machine stalled": func(h *History) {
			cutAtTheEnd(h, lateStopTime+time.Second, standin.Closed)
			h.addStall(checkEpoch, checkEpoch)
		},
		noPlannedWork: func(h *History) { h.Calls[1].Outcome = Failed },
	} {
		h := validHistory()
		h.Bounds.MinServedShare = 0
		apply(h)
		c.Check(h.Check(), qt.HasLen, 0, qt.Commentf(excuse))
		c.Assert(h.Cuts, qt.HasLen, 1)
		c.Check(h.Cuts[0].Excuse, qt.Equals, excuse)
	}
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
		for _, window := range []FaultWindow{{Kind: "store down"}, {Kind: "instance's link silent", Target: "i-1"}} {
			h := validHistory()
			modification.apply(h)
			window.From, window.To = checkEpoch.Add(-4*time.Second), checkEpoch.Add(-time.Second)
			h.Windows = append(h.Windows, window)
			c.Check(h.Check(), qt.HasLen, 0, qt.Commentf("%s, %s", modification.name, window.Kind))
		}
	}
}
