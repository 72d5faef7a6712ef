package relay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/placement"
)

// TestRetriesOfAnEndedEntryStillCount guards against more retries of all entries together than
// their budget allows: those that remain take over the slack of one that has ended, which may
// have used it in the same window.
func TestRetriesOfAnEndedEntryStillCount(t *testing.T) {
	c := qt.New(t)
	const entries, slack = 3, 12
	limits := retryLimits{window: 10 * time.Second, slack: slack}
	var hosts []string
	for i := range entries {
		hosts = append(hosts, fmt.Sprintf("10.0.0.%d", i+1))
	}
	total := 0
	for i := range entries {
		s := newScheduler(placement.New(placement.Config{Seed: 1}), limits)
		// The entries end one after the other, each with its share used up.
		s.setEntries(hosts[i], hosts)
		for s.takeRetry(modelPool) {
			total++
		}
		s.setEntries(hosts[i], hosts[i:])
		for s.takeRetry(modelPool) {
			total++
		}
	}
	c.Assert(total <= slack, qt.IsTrue, qt.Commentf("%d retries, %d allowed", total, slack))
}

// TestEachEndedEntryCountsForItsOwnWindow guards against the same when entries end within one
// window, but not at once: the last one counts no longer than the first one.
func TestEachEndedEntryCountsForItsOwnWindow(t *testing.T) {
	c := qt.New(t)
	const window = 10 * time.Second
	began := time.Unix(1000, 0)
	sharers := slackSharers{}
	sharers.update(3, window, began)
	for at := time.Second; at <= 18*time.Second; at += 100 * time.Millisecond {
		live := 2
		if at >= 9*time.Second {
			live = 1
		}
		sharers.update(live, window, began.Add(at))
		c.Assert(sharers.count >= 2, qt.IsTrue, qt.Commentf("%d entries share the slack after %s, one of which ended at 9s", sharers.count, at))
	}
}
