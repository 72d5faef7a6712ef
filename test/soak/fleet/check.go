package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"plantainrelay/platform/standin"
)

// Problem is a promise that was broken.
type Problem struct {
	Rule, Text string
}

// Check compares what callers and backend servers have seen with the promises of
// the platform's pages.
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
			c.broken("LOST", "%s did not stop within its time", stop.Target)
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

// calm reports whether nothing was disturbed between two times, nor shortly
// before. Planned stops of entries count only where they are named.
func (c *check) calm(from, to time.Time) bool {
	from = from.Add(-c.history.Bounds.Stable)
	for _, window := range c.history.Windows {
		if window.From.Before(to) && from.Before(window.To) {
			return false
		}
	}
	return true
}

// inTouch reports whether neither the entry nor what all entries depend on was
// disturbed: what happens to other instances does not excuse it.
func (c *check) inTouch(entry string, from, to time.Time) bool {
	from = from.Add(-c.history.Bounds.Stable)
	return !slices.ContainsFunc(c.history.Windows, func(window Window) bool {
		return (window.Target == "" || window.Target == entry) && window.From.Before(to) && from.Before(window.To)
	})
}

// stalled reports whether the machine was short of processor time.
func (c *check) stalled(from, to time.Time) bool {
	return slices.ContainsFunc(c.history.Windows, func(window Window) bool {
		return window.Kind == stallKind && window.From.Before(to) && from.Before(window.To)
	})
}

// started reports whether the entry has started within the stable time before.
func (c *check) started(entry string, at time.Time) bool {
	return slices.ContainsFunc(c.history.starts[entry], func(start time.Time) bool {
		return start.Before(at) && at.Sub(start) < c.history.Bounds.Stable
	})
}

func (c *check) execution(e standin.Execution) {
	call, sent := c.calls[e.Attempt]
	if !sent || call.Method != e.Method || call.URI != e.URI || call.Body != e.Body {
		c.broken("UNASKED", "%s ran %s %s %q of %s; sent was %s %s %q", e.Runner, e.Method, e.URI, e.Body, e.Attempt, call.Method, call.URI, call.Body)
		return
	}
	if !e.Whole {
		c.broken("WHOLE", "%s ran %s on weights that are not whole", e.Runner, e.Attempt)
	}
	c.route(call, e)
	c.key(call, e)
	c.version(call, e)
	c.departed(call, e)
}

// route checks the pool against the tables that may be in force.
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
		c.broken("ROUTE", "%s ran in pool %s, which no tables allow", e.Attempt, e.Pool)
	case !allowedNow && c.inTouch(call.Entry, call.Sent.Add(-2*c.history.Bounds.Apply), e.At) && !c.started(call.Entry, call.Sent):
		c.broken("CONFIG", "%s ran in pool %s, which only replaced tables allow", e.Attempt, e.Pool)
	}
}

// key checks that the key's customer is named and that the key was valid. The
// bound on keys that were taken away holds always.
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
		c.broken("UNASKED", "%s ran for customer %q; its key is of %q", e.Attempt, e.Customer, holder)
	}
	if call.Sent.Sub(lastSeen) > c.history.Bounds.Revoke {
		c.broken("CONFIG", "%s ran with %s, %s after the key was taken away", e.Attempt, call.Key, call.Sent.Sub(lastSeen))
	}
}

// version checks that no old version begins after the bound of a newer one.
func (c *check) version(call Call, e standin.Execution) {
	if e.Version == 0 {
		return
	}
	for _, release := range c.history.releases {
		late := e.At.Sub(release.at) > c.history.Bounds.Version
		if late && e.Version < release.version && c.calm(release.at, e.At) && !c.started(call.Entry, call.Sent) {
			c.broken("VERSION", "%s began on version %d, %s after version %d was named", e.Attempt, e.Version, e.At.Sub(release.at), release.version)
		}
	}
}

// departed checks that an instance which leaves gets no new requests.
func (c *check) departed(call Call, e standin.Execution) {
	for _, one := range c.history.departures {
		late := call.Sent.Sub(one.at)
		if one.runner == e.Runner && late > c.history.Bounds.Drain && c.calm(one.at, e.At) {
			c.broken("DRAIN", "%s reached %s, sent %s after it said that it leaves", e.Attempt, e.Runner, late)
		}
	}
}

func (c *check) call(call Call) {
	runs := len(c.runs[call.Attempt])
	if call.Kind == standin.NonIdempotent && runs > 1 {
		c.broken("TWICE", "%s ran %d times", call.Attempt, runs)
	}
	if call.Outcome == Refused && runs > 0 {
		c.broken("REFUSED", "%s was answered %d and has run", call.Attempt, call.Status)
	}
	if call.Outcome == Whole && (!call.Sealed || !call.Right) {
		c.broken("MIXED", "%s got an answer that is not its own: sealed %t, right %t", call.Attempt, call.Sealed, call.Right)
	}
	if call.Kind == standin.Streaming && (!call.Right && call.Seen > 0 || call.Outcome == Whole && call.Seen != call.Events) {
		c.broken("ORDER", "%s got %d of %d events, in order: %t, as whole: %t", call.Attempt, call.Seen, call.Events, call.Right, call.Outcome == Whole)
	}
	if call.Status == 404 || call.Status == 401 && c.keyHeldAlways(call.Key) {
		c.broken("DENIED", "%s was answered %d", call.Attempt, call.Status)
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

// stopped checks that a graceful stop of an entry cuts nothing that it had begun
// with, unless something else was disturbed.
func (c *check) stopped(call Call) {
	for _, stop := range c.history.Stops {
		inside := call.Entry == stop.Target && call.Sent.Before(stop.To) && call.Ended.After(stop.From)
		if inside && call.Outcome == Failed && len(c.runs[call.Attempt]) > 0 && call.Ended.Sub(call.Sent) < callTime && c.calm(call.Sent, call.Ended) {
			c.broken("LOST", "%s was cut after %s while %s stopped: %s", call.Attempt, call.Ended.Sub(call.Sent), stop.Target, call.Note)
		}
	}
}

// recovery checks that requests are served once the faults have been over for a
// while. Keys that were taken away are not served.
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

// Summary tells what a run did, in one line.
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
	return fmt.Sprintf("%d calls: %d whole, %d refused, %d failed, longest %s; %d executions; %d faults of %d kinds, %d stops; %d store calls, %d chunks from the origin",
		len(h.Calls), counts[Whole], counts[Refused], counts[Failed], longest.Ended.Sub(longest.Sent).Round(time.Millisecond), len(h.Executions),
		len(h.Windows), len(kinds), len(h.Stops), h.StoreCalls, h.OriginChunks)
}
