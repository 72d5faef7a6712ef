package checker

import (
	"time"
)

// noNewRequests checks G5.
func noNewRequests(h *History, bound time.Duration) *Judgement {
	j := &Judgement{Name: "G5", Text: "an instance that shuts down gets no new requests after a few seconds"}
	leaves, early := j.count("instances that shut down"), j.count("requests within the bound")
	late := j.bad("new requests after the bound")
	for _, leave := range h.Leaves {
		leaves.N++
		for _, at := range h.arrivals(leave) {
			switch {
			case at.Before(leave.Asked):
			case at.Before(leave.Asked.Add(bound)):
				early.N++
			default:
				late.add("%s got a request %s after its shutdown was requested", leave.Instance, at.Sub(leave.Asked).Round(time.Millisecond))
			}
		}
	}
	return j
}

// arrivals returns the times at which the instance got requests before its
// process exited.
func (h *History) arrivals(leave Leave) []time.Time {
	var all []time.Time
	add := func(instance string, at time.Time) {
		if instance == leave.Instance && (leave.Ended.IsZero() || at.Before(leave.Ended)) {
			all = append(all, at)
		}
	}
	if leave.Entry {
		for _, call := range h.Calls {
			add(call.Entry, call.Sent)
		}
		return all
	}
	for _, execution := range h.Executions {
		add(execution.Instance, execution.Started)
	}
	return all
}

// nothingCutInDrain checks G6.
func nothingCutInDrain(h *History) *Judgement {
	j := &Judgement{Name: "G6", Text: "a graceful shutdown breaks no call in progress"}
	inProgress, excused := j.count("calls in progress at a shutdown"), j.count("broken during another fault that breaks calls")
	cut, unclean := j.bad("broken during drain"), j.bad("shutdowns without a clean exit")
	byCall := h.executionsByCall()
	for _, leave := range h.Leaves {
		if !leave.Clean {
			unclean.add("%s", leave.Instance)
		}
		for _, call := range h.Calls {
			if !touches(&call, leave, byCall) {
				continue
			}
			inProgress.N++
			if call.Outcome != Broken && call.Outcome != Unknown {
				continue
			}
			if h.cutting(call.Sent, call.Ended) {
				excused.N++
				continue
			}
			cut.add("call %s through %s ended %s during the shutdown of %s: %s", call.ID, call.Entry, call.Outcome, leave.Instance, call.Detail)
		}
	}
	return j
}

// end returns the end of a shutdown. One that did not end in time is open-ended:
// it gets an end one hour after its start.
func end(leave Leave) time.Time {
	if leave.Ended.IsZero() {
		return leave.Asked.Add(time.Hour)
	}
	return leave.Ended
}

// touches reports whether the call was in progress on the instance during its
// shutdown.
func touches(call *Call, leave Leave, byCall map[string][]Execution) bool {
	if call.Ended.Before(leave.Asked) || !call.Sent.Before(end(leave)) {
		return false
	}
	if leave.Entry {
		return call.Entry == leave.Instance
	}
	for _, execution := range byCall[call.ID] {
		if execution.Instance == leave.Instance && execution.Started.Before(end(leave)) {
			return true
		}
	}
	return false
}
