package fleet

import (
	"slices"
	"time"

	"plantainrelay/platform/standin"
)

const (
	// waitGrace is the time after an answer with a time to wait in which requests may
	// still be on their way; maxDuringWait is how many more an entry may send until its
	// end.
	waitGrace     = 500 * time.Millisecond
	maxDuringWait = 2
)

// link is the way from an entry to one start of an instance.
type link struct{ entry, backendID string }

// checkNotices checks what entries send to instances that have told them that they leave,
// or have asked them to wait.
func (c *check) checkNotices() {
	arrivals := map[link][]standin.Arrival{}
	for _, arrival := range c.history.Arrivals {
		if call, sent := c.calls[arrival.Attempt]; sent {
			way := link{call.Entry, arrival.BackendID}
			arrivals[way] = append(arrivals[way], arrival)
		}
	}
	for way, all := range arrivals {
		slices.SortFunc(all, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
		c.checkLeaving(way, all)
		c.checkWaits(way, all)
	}
}

// checkLeaving checks that an entry that has passed on an answer that says that the
// instance leaves sends it nothing that a caller has sent later than the Drain bound.
func (c *check) checkLeaving(way link, all []standin.Arrival) {
	first := slices.IndexFunc(all, func(one standin.Arrival) bool { return one.Leaving && c.calls[one.Attempt].Outcome == Complete })
	if first < 0 {
		return
	}
	told := c.calls[all[first].Attempt].Ended
	for _, next := range all[first+1:] {
		if late := c.calls[next.Attempt].Sent.Sub(told); late > c.history.Bounds.Drain && !c.entryForgot(way.entry, told, next.At) {
			c.violation("DRAIN notice", "%s sent %s to %s, %s after it had passed on that it leaves", way.entry, next.Attempt, way.backendID, late)
		}
	}
}

// checkWaits checks that an instance gets next to nothing from an entry that it has asked
// to wait, until the end of that time.
func (c *check) checkWaits(way link, all []standin.Arrival) {
	for i, asked := range all {
		from, end := asked.At.Add(waitGrace), asked.At.Add(asked.Wait)
		count := 0
		for _, next := range all[i+1:] {
			if next.At.After(from) && next.At.Before(end) {
				count++
			}
		}
		if count > maxDuringWait && !c.entryForgot(way.entry, asked.At, end) {
			c.violation("BUDGET", "%s sent %d requests to %s, which had asked it for none for %s", way.entry, count, way.backendID, asked.Wait)
		}
	}
}

// entryForgot reports whether an entry was restarted, stood still or was cut off in the
// time span, or the test machine stalled.
func (c *check) entryForgot(entry string, from, to time.Time) bool {
	return c.machineStalledDuring(from, to) ||
		slices.ContainsFunc(c.history.starts[entry], func(start time.Time) bool { return start.After(from) && start.Before(to) }) ||
		slices.ContainsFunc(c.history.Windows, func(window FaultWindow) bool {
			return window.Target == entry && window.From.Before(to) && from.Before(window.To)
		})
}
