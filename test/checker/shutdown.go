package checker

import (
	"time"
)

// checkNoNewRequests checks G5.
func checkNoNewRequests(h *History, bound time.Duration) *GuaranteeResult {
	result := &GuaranteeResult{Name: "G5", Text: "an instance that shuts down gets no new requests after a few seconds"}
	shutdowns, early := result.newCount("instances that shut down"), result.newCount("requests within the bound")
	late := result.newViolation("new requests after the bound")
	for _, shutdown := range h.Shutdowns {
		shutdowns.N++
		for _, at := range h.arrivals(shutdown) {
			switch {
			case at.Before(shutdown.Requested):
			case at.Before(shutdown.Requested.Add(bound)):
				early.N++
			default:
				late.record("%s got a request %s after its shutdown was requested", shutdown.Instance, at.Sub(shutdown.Requested).Round(time.Millisecond))
			}
		}
	}
	return result
}

// arrivals returns the times of requests to the instance before its process exited.
func (h *History) arrivals(shutdown Shutdown) []time.Time {
	var all []time.Time
	add := func(instance string, at time.Time) {
		if instance == shutdown.Instance && (shutdown.Ended.IsZero() || at.Before(shutdown.Ended)) {
			all = append(all, at)
		}
	}
	if shutdown.Entry {
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

// checkDrain checks G6.
func checkDrain(h *History) *GuaranteeResult {
	result := &GuaranteeResult{Name: "G6", Text: "a graceful shutdown breaks no call in progress"}
	inProgress, excused := result.newCount("calls in progress at a shutdown"), result.newCount("broken during another fault that breaks calls")
	broken, unclean := result.newViolation("broken during drain"), result.newViolation("shutdowns without a clean exit")
	byCall := h.executionsByCall()
	for _, shutdown := range h.Shutdowns {
		if !shutdown.Clean {
			unclean.record("%s", shutdown.Instance)
		}
		for _, call := range h.Calls {
			if !wasInProgress(&call, shutdown, byCall) {
				continue
			}
			inProgress.N++
			if call.Outcome != Broken && call.Outcome != Unknown {
				continue
			}
			if h.callsMayBreak(call.Sent, call.Ended) {
				excused.N++
				continue
			}
			broken.record("call %s through %s ended %s during the shutdown of %s: %s", call.ID, call.Entry, call.Outcome, shutdown.Instance, call.Detail)
		}
	}
	return result
}

// shutdownEnd returns the end of a shutdown, or one hour after its start if it did not
// end in time.
func shutdownEnd(shutdown Shutdown) time.Time {
	if shutdown.Ended.IsZero() {
		return shutdown.Requested.Add(time.Hour)
	}
	return shutdown.Ended
}

// wasInProgress reports whether the instance handled the call during its shutdown.
func wasInProgress(call *Call, shutdown Shutdown, byCall map[string][]Execution) bool {
	if call.Ended.Before(shutdown.Requested) || !call.Sent.Before(shutdownEnd(shutdown)) {
		return false
	}
	if shutdown.Entry {
		return call.Entry == shutdown.Instance
	}
	for _, execution := range byCall[call.ID] {
		if execution.Instance == shutdown.Instance && execution.Started.Before(shutdownEnd(shutdown)) {
			return true
		}
	}
	return false
}
