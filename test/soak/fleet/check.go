package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"plantainrelay/platform/standin"
)

// Violation is a violated guarantee or a fault that could not be injected.
type Violation struct {
	Rule, Text string
}

// Check checks the records of callers and backend servers against the guarantees
// that the platform's documentation states.
func (h *History) Check() []Violation {
	c := &check{history: h, calls: map[string]Call{}, executions: map[string][]standin.Execution{}, reachedInstance: map[string]bool{}, violations: h.violations}
	for _, call := range h.Calls {
		c.calls[call.Attempt] = call
	}
	for _, execution := range h.Executions {
		c.executions[execution.Attempt] = append(c.executions[execution.Attempt], execution)
		c.reachedInstance[execution.Attempt] = true
	}
	for _, arrival := range h.Arrivals {
		c.reachedInstance[arrival.Attempt] = true
	}
	for _, execution := range h.Executions {
		c.checkExecution(execution)
	}
	for _, call := range h.Calls {
		c.checkCall(call)
	}
	for _, stop := range h.Overdue {
		if !c.machineStalledDuring(stop.From, stop.To) {
			c.violation("LOST", "%s did not exit within the shutdown timeout", stop.Target)
		}
	}
	c.checkCuts()
	c.checkNotices()
	c.checkCrashingParts()
	c.checkRecovery()
	return c.violations
}

type check struct {
	history    *History
	calls      map[string]Call
	executions map[string][]standin.Execution
	// reachedInstance has the requests that an instance has got.
	reachedInstance map[string]bool
	violations      []Violation
}

func (c *check) violation(rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Text: fmt.Sprintf(format, args...)})
}

// noFaultDuring reports whether no fault overlaps the time span or the Stable time
// before it. Graceful stops are not faults; checkCuts checks them.
func (c *check) noFaultDuring(from, to time.Time) bool {
	from = from.Add(-c.history.Bounds.Stable)
	for _, window := range c.history.Windows {
		if window.Kind != originKind && window.From.Before(to) && from.Before(window.To) {
			return false
		}
	}
	return true
}

// noEntryFaultDuring reports whether no fault of the entry, or of what all
// entries depend on, overlaps the time span or the Stable time before it. Faults
// of other instances are ignored, because they don't excuse the entry.
func (c *check) noEntryFaultDuring(entry string, from, to time.Time) bool {
	from = from.Add(-c.history.Bounds.Stable)
	return !slices.ContainsFunc(c.history.Windows, func(window FaultWindow) bool {
		return window.Kind != originKind && (window.Target == "" || window.Target == entry) && window.From.Before(to) && from.Before(window.To)
	})
}

// linkKinds are the kinds of faults of links.
var linkKinds = []string{
	"store cut off one way", "store cut off", "store refuses its readers", "callers' link silent", "instance's link silent", "callers' connections reset", "instance's connections reset",
}

// mayHoldVersionUp reports whether a fault of the entry, of a link or of what all entries
// depend on overlaps the time span or the Stable time before it. The Version bound holds
// beside faults of other processes and of instances.
func (c *check) mayHoldVersionUp(entry string, from, to time.Time) bool {
	return !c.noEntryFaultDuring(entry, from, to) || slices.ContainsFunc(c.history.Windows, func(window FaultWindow) bool {
		return slices.Contains(linkKinds, window.Kind) && window.From.Before(to) && from.Add(-c.history.Bounds.Stable).Before(window.To)
	})
}

// machineStalledDuring reports whether the test machine stalled in the time span.
func (c *check) machineStalledDuring(from, to time.Time) bool {
	return slices.ContainsFunc(c.history.Windows, func(window FaultWindow) bool {
		return window.Kind == stallKind && window.From.Before(to) && from.Before(window.To)
	})
}

// startedRecently reports whether the entry started within the Stable time before at.
func (c *check) startedRecently(entry string, at time.Time) bool {
	return slices.ContainsFunc(c.history.starts[entry], func(start time.Time) bool {
		return start.Before(at) && at.Sub(start) < c.history.Bounds.Stable
	})
}

func (c *check) checkExecution(e standin.Execution) {
	call, sent := c.calls[e.Attempt]
	if !sent || call.Method != e.Method || call.URI != e.URI || call.Body != e.Body {
		c.violation("UNASKED", "%s ran %s %s %q of %s; the caller sent %s %s %q", e.BackendID, e.Method, e.URI, e.Body, e.Attempt, call.Method, call.URI, call.Body)
		return
	}
	if !e.CompleteWeights {
		c.violation("WHOLE", "%s ran %s on incomplete weights", e.BackendID, e.Attempt)
	}
	c.checkRoute(call, e)
	c.checkKey(call, e)
	c.checkVersion(call, e)
	c.checkDrain(call, e)
}

// checkRoute checks that the tables route the request to the pool that ran it. Within
// the Apply bound after a change, old and new tables are both allowed.
func (c *check) checkRoute(call Call, e standin.Execution) {
	allowedEver, allowedNow := false, false
	for i, change := range c.history.tables {
		allowed := slices.ContainsFunc(change.table.Routes, func(route standin.Route) bool { return route.Kind == call.Kind && route.Pool == e.Pool })
		allowedEver = allowedEver || allowed
		replaced := i+1 < len(c.history.tables) && c.history.tables[i+1].at.Add(c.history.Bounds.Apply).Before(call.Sent)
		allowedNow = allowedNow || allowed && !replaced
	}
	switch {
	case !allowedEver:
		c.violation("ROUTE", "%s ran in pool %s, to which no tables route it", e.Attempt, e.Pool)
	case !allowedNow && c.noEntryFaultDuring(call.Entry, call.Sent.Add(-2*c.history.Bounds.Apply), e.StartedAt) && !c.startedRecently(call.Entry, call.Sent):
		c.violation("CONFIG", "%s ran in pool %s, to which only replaced tables route it", e.Attempt, e.Pool)
	}
}

// checkKey checks that the request ran for the customer of its key and that the key
// was valid. The Revoke bound holds during faults too.
func (c *check) checkKey(call Call, e standin.Execution) {
	holder, lastSeen := "", time.Time{}
	for i, change := range c.history.tables {
		for customer, keys := range change.table.Keys {
			if slices.Contains(keys, call.Key) {
				holder, lastSeen = customer, call.Sent
				if i+1 < len(c.history.tables) {
					lastSeen = c.history.tables[i+1].at
				}
			}
		}
	}
	if holder != e.Customer {
		c.violation("UNASKED", "%s ran for customer %q; its key belongs to %q", e.Attempt, e.Customer, holder)
	}
	if call.Sent.Sub(lastSeen) > c.history.Bounds.Revoke {
		c.violation("CONFIG", "%s ran with %s, %s after the key was revoked", e.Attempt, call.Key, call.Sent.Sub(lastSeen))
	}
}

// checkVersion checks that no execution starts on an old version later than the
// Version bound after a newer release.
func (c *check) checkVersion(call Call, e standin.Execution) {
	if e.Version == 0 {
		return
	}
	for _, release := range c.history.releases {
		late := e.StartedAt.Sub(release.at) > c.history.Bounds.Version
		if late && e.Version < release.version && !c.mayHoldVersionUp(call.Entry, release.at, e.StartedAt) && !c.startedRecently(call.Entry, call.Sent) {
			c.violation("VERSION", "%s started on version %d, %s after version %d was released", e.Attempt, e.Version, e.StartedAt.Sub(release.at), release.version)
		}
	}
}

// checkDrain checks that an instance gets no new requests once the
// Drain bound has passed since it announced its shutdown.
func (c *check) checkDrain(call Call, e standin.Execution) {
	for _, notice := range c.history.drainNotices {
		late := call.Sent.Sub(notice.at)
		if notice.backendID == e.BackendID && late > c.history.Bounds.Drain && c.noFaultDuring(notice.at, e.StartedAt) {
			c.violation("DRAIN", "%s reached %s, sent %s after that instance announced its shutdown", e.Attempt, e.BackendID, late)
		}
	}
}

func (c *check) checkCall(call Call) {
	runs := len(c.executions[call.Attempt])
	if call.Kind == standin.NonIdempotent && runs > 1 {
		c.violation("TWICE", "%s ran %d times", call.Attempt, runs)
	}
	if call.Outcome == Refused && runs > 0 {
		c.violation("REFUSED", "%s was refused with status %d but ran", call.Attempt, call.Status)
	}
	if call.Outcome == Complete && (!call.Sealed || !call.Correct) {
		c.violation("MIXED", "%s got an answer that is not its own: valid seal %t, correct body %t", call.Attempt, call.Sealed, call.Correct)
	}
	if call.Kind == standin.Streaming && (!call.Correct && call.EventsReceived > 0 || call.Outcome == Complete && call.EventsReceived != call.EventsRequested) {
		c.violation("ORDER", "%s got %d of %d events, in order: %t, reported as complete: %t", call.Attempt, call.EventsReceived, call.EventsRequested, call.Correct, call.Outcome == Complete)
	}
	if call.Status == 404 || call.Status == 401 && c.neverRevoked(call.Key) {
		c.violation("DENIED", "%s was denied with status %d", call.Attempt, call.Status)
	}
}

func (c *check) neverRevoked(key string) bool {
	return !slices.ContainsFunc(c.history.tables, func(change acceptedChange) bool {
		for _, keys := range change.table.Keys {
			if slices.Contains(keys, key) {
				return false
			}
		}
		return true
	})
}

// checkRecovery checks that at least MinServedShare of the requests are served after
// the faults have ended and the system had time to recover. It ignores requests with
// keys that were revoked at any time.
func (c *check) checkRecovery() {
	served, sent := 0, 0
	for _, call := range c.history.Calls {
		if call.Sent.Before(c.history.RecoveryCheckFrom) || !c.neverRevoked(call.Key) || call.CrashingPart != "" {
			continue
		}
		sent++
		if call.Outcome == Complete {
			served++
		}
	}
	if sent == 0 || float64(served) < c.history.Bounds.MinServedShare*float64(sent) {
		c.violation("RECOVER", "%d of %d requests were served after the faults", served, sent)
	}
}

// Summary describes the run in one line, after Check.
func (h *History) Summary() string {
	counts := map[Outcome]int{}
	for _, call := range h.Calls {
		counts[call.Outcome]++
	}
	kinds := map[string]bool{}
	for _, window := range h.Windows {
		kinds[window.Kind] = true
	}
	longest := slices.MaxFunc(h.Calls, func(a, b Call) int { return cmp.Compare(a.Ended.Sub(a.Sent), b.Ended.Sub(b.Sent)) })
	return fmt.Sprintf("%d calls: %d complete, %d refused, %d failed, longest %s; %d executions; %d faults of %d kinds, %d stops; %d store calls, %d chunks from the origin; cut requests: %s",
		len(h.Calls), counts[Complete], counts[Refused], counts[Failed], longest.Ended.Sub(longest.Sent).Round(time.Millisecond), len(h.Executions),
		len(h.Windows), len(kinds), len(h.Stops), h.StoreCalls, h.OriginChunks, h.cutsText())
}
