package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"plantainrelay/platform/standin"
)

// Problem is a violation of a guarantee, or a fault that the soak could not
// inject.
type Problem struct {
	Rule, Text string
}

// Check checks the records of callers and backend servers against the guarantees
// that the platform's documentation states.
func (h *History) Check() []Problem {
	c := &check{history: h, calls: map[string]Call{}, runs: map[string][]standin.Execution{}, problems: h.problems}
	for _, call := range h.Calls {
		c.calls[call.Attempt] = call
	}
	for _, execution := range h.Executions {
		c.runs[execution.Attempt] = append(c.runs[execution.Attempt], execution)
	}
	for _, execution := range h.Executions {
		c.execution(execution)
	}
	for _, call := range h.Calls {
		c.call(call)
	}
	for _, stop := range h.Overdue {
		if !c.stalled(stop.From, stop.To) {
			c.broken("LOST", "%s did not exit within the shutdown timeout", stop.Target)
		}
	}
	c.recovery()
	return c.problems
}

type check struct {
	history  *History
	calls    map[string]Call
	runs     map[string][]standin.Execution
	problems []Problem
}

func (c *check) broken(rule, format string, args ...any) {
	c.problems = append(c.problems, Problem{Rule: rule, Text: fmt.Sprintf(format, args...)})
}

// calm reports whether no fault overlaps the time span or the Stable time before
// it. Graceful stops of entries are not faults; stopped checks them.
func (c *check) calm(from, to time.Time) bool {
	from = from.Add(-c.history.Bounds.Stable)
	for _, window := range c.history.Windows {
		if window.From.Before(to) && from.Before(window.To) {
			return false
		}
	}
	return true
}

// inTouch reports whether no fault of the entry, or of what all entries depend on,
// overlaps the time span or the Stable time before it. Faults of other instances
// are ignored, because they don't excuse the entry.
func (c *check) inTouch(entry string, from, to time.Time) bool {
	from = from.Add(-c.history.Bounds.Stable)
	return !slices.ContainsFunc(c.history.Windows, func(window Window) bool {
		return (window.Target == "" || window.Target == entry) && window.From.Before(to) && from.Before(window.To)
	})
}

// stalled reports whether the test machine was short of CPU time in the time
// span.
func (c *check) stalled(from, to time.Time) bool {
	return slices.ContainsFunc(c.history.Windows, func(window Window) bool {
		return window.Kind == stallKind && window.From.Before(to) && from.Before(window.To)
	})
}

// started reports whether the entry started less than the Stable time before at.
func (c *check) started(entry string, at time.Time) bool {
	return slices.ContainsFunc(c.history.starts[entry], func(start time.Time) bool {
		return start.Before(at) && at.Sub(start) < c.history.Bounds.Stable
	})
}

func (c *check) execution(e standin.Execution) {
	call, sent := c.calls[e.Attempt]
	if !sent || call.Method != e.Method || call.URI != e.URI || call.Body != e.Body {
		c.broken("UNASKED", "%s ran %s %s %q of %s; the caller sent %s %s %q", e.Runner, e.Method, e.URI, e.Body, e.Attempt, call.Method, call.URI, call.Body)
		return
	}
	if !e.Whole {
		c.broken("WHOLE", "%s ran %s on incomplete weights", e.Runner, e.Attempt)
	}
	c.route(call, e)
	c.key(call, e)
	c.version(call, e)
	c.departed(call, e)
}

// route checks that the tables route the request to the pool that ran it. Within
// the Apply bound after a change, old and new tables are both allowed.
func (c *check) route(call Call, e standin.Execution) {
	allowedEver, allowedNow := false, false
	for i, one := range c.history.tables {
		allowed := slices.ContainsFunc(one.table.Routes, func(route standin.Route) bool { return route.Kind == call.Kind && route.Pool == e.Pool })
		allowedEver = allowedEver || allowed
		replaced := i+1 < len(c.history.tables) && c.history.tables[i+1].at.Add(c.history.Bounds.Apply).Before(call.Sent)
		allowedNow = allowedNow || allowed && !replaced
	}
	switch {
	case !allowedEver:
		c.broken("ROUTE", "%s ran in pool %s, to which no tables route it", e.Attempt, e.Pool)
	case !allowedNow && c.inTouch(call.Entry, call.Sent.Add(-2*c.history.Bounds.Apply), e.At) && !c.started(call.Entry, call.Sent):
		c.broken("CONFIG", "%s ran in pool %s, to which only replaced tables route it", e.Attempt, e.Pool)
	}
}

// key checks that the request ran for the customer of its key and that the key
// was valid. The Revoke bound holds during faults too.
func (c *check) key(call Call, e standin.Execution) {
	holder, lastSeen := "", time.Time{}
	for i, one := range c.history.tables {
		for customer, keys := range one.table.Keys {
			if slices.Contains(keys, call.Key) {
				holder, lastSeen = customer, call.Sent
				if i+1 < len(c.history.tables) {
					lastSeen = c.history.tables[i+1].at
				}
			}
		}
	}
	if holder != e.Customer {
		c.broken("UNASKED", "%s ran for customer %q; its key belongs to %q", e.Attempt, e.Customer, holder)
	}
	if call.Sent.Sub(lastSeen) > c.history.Bounds.Revoke {
		c.broken("CONFIG", "%s ran with %s, %s after the key was revoked", e.Attempt, call.Key, call.Sent.Sub(lastSeen))
	}
}

// version checks that no execution starts on an old version later than the
// Version bound after a newer release.
func (c *check) version(call Call, e standin.Execution) {
	if e.Version == 0 {
		return
	}
	for _, release := range c.history.releases {
		late := e.At.Sub(release.at) > c.history.Bounds.Version
		if late && e.Version < release.version && c.calm(release.at, e.At) && !c.started(call.Entry, call.Sent) {
			c.broken("VERSION", "%s started on version %d, %s after version %d was released", e.Attempt, e.Version, e.At.Sub(release.at), release.version)
		}
	}
}

// departed checks that an instance gets no new requests once the Drain bound has
// passed since it announced its shutdown.
func (c *check) departed(call Call, e standin.Execution) {
	for _, one := range c.history.departures {
		late := call.Sent.Sub(one.at)
		if one.runner == e.Runner && late > c.history.Bounds.Drain && c.calm(one.at, e.At) {
			c.broken("DRAIN", "%s reached %s, sent %s after that instance announced its shutdown", e.Attempt, e.Runner, late)
		}
	}
}

func (c *check) call(call Call) {
	runs := len(c.runs[call.Attempt])
	if call.Kind == standin.NonIdempotent && runs > 1 {
		c.broken("TWICE", "%s ran %d times", call.Attempt, runs)
	}
	if call.Outcome == Refused && runs > 0 {
		c.broken("REFUSED", "%s was refused with status %d but ran", call.Attempt, call.Status)
	}
	if call.Outcome == Whole && (!call.Sealed || !call.Right) {
		c.broken("MIXED", "%s got an answer that is not its own: valid seal %t, correct body %t", call.Attempt, call.Sealed, call.Right)
	}
	if call.Kind == standin.Streaming && (!call.Right && call.Seen > 0 || call.Outcome == Whole && call.Seen != call.Events) {
		c.broken("ORDER", "%s got %d of %d events, in order: %t, reported as complete: %t", call.Attempt, call.Seen, call.Events, call.Right, call.Outcome == Whole)
	}
	if call.Status == 404 || call.Status == 401 && c.keyHeldAlways(call.Key) {
		c.broken("DENIED", "%s was denied with status %d", call.Attempt, call.Status)
	}
	c.stopped(call)
}

func (c *check) keyHeldAlways(key string) bool {
	return !slices.ContainsFunc(c.history.tables, func(one stamped) bool {
		for _, keys := range one.table.Keys {
			if slices.Contains(keys, key) {
				return false
			}
		}
		return true
	})
}

// stopped checks that a graceful stop of an entry interrupts no request that has
// started to run, unless another fault overlaps it.
func (c *check) stopped(call Call) {
	for _, stop := range c.history.Stops {
		inside := call.Entry == stop.Target && call.Sent.Before(stop.To) && call.Ended.After(stop.From)
		if inside && call.Outcome == Failed && len(c.runs[call.Attempt]) > 0 && call.Ended.Sub(call.Sent) < callTime && c.calm(call.Sent, call.Ended) {
			c.broken("LOST", "%s was interrupted after %s during the stop of %s: %s", call.Attempt, call.Ended.Sub(call.Sent), stop.Target, call.Note)
		}
	}
}

// recovery checks that at least the Served share of requests is served after the
// faults have ended and the system had time to recover. It ignores requests with
// keys that were revoked at any time.
func (c *check) recovery() {
	served, asked := 0, 0
	for _, call := range c.history.Calls {
		if call.Sent.Before(c.history.CalmFrom) || !c.keyHeldAlways(call.Key) {
			continue
		}
		asked++
		if call.Outcome == Whole {
			served++
		}
	}
	if asked == 0 || float64(served) < c.history.Bounds.Served*float64(asked) {
		c.broken("RECOVER", "%d of %d requests were served after the faults", served, asked)
	}
}

// Summary describes the run in one line.
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
	return fmt.Sprintf("%d calls: %d complete, %d refused, %d failed, longest %s; %d executions; %d faults of %d kinds, %d stops; %d store calls, %d chunks from the origin",
		len(h.Calls), counts[Whole], counts[Refused], counts[Failed], longest.Ended.Sub(longest.Sent).Round(time.Millisecond), len(h.Executions),
		len(h.Windows), len(kinds), len(h.Stops), h.StoreCalls, h.OriginChunks)
}
