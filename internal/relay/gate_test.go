package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
)

// TestStartingEntryHasNoSlack guards against exceeding the retry budget when many
// entries start at the same time: none knows what was retried before, nor how many
// entries share the slack.
func TestStartingEntryHasNoSlack(t *testing.T) {
	c := qt.New(t)
	limits := retryLimits{window: 10 * time.Second, ratio: 0.2, slack: 150}
	g := newScheduler(placement.New(placement.Config{}), limits)
	g.retrySlackFrom = clock.Now().Add(limits.window)
	c.Assert(g.takeRetry("p"), qt.IsFalse)
	for range 10 {
		g.countRequest("p")
	}
	for range 2 {
		c.Assert(g.takeRetry("p"), qt.IsTrue, qt.Commentf("the entry's own requests count"))
	}
	c.Assert(g.takeRetry("p"), qt.IsFalse)
	g.setRetryLimits(limits)
	c.Assert(g.takeRetry("p"), qt.IsFalse, qt.Commentf("a reload without a change keeps the counts"))
	g.retrySlackFrom = clock.Now()
	g.setEntryCount(150)
	c.Assert(g.takeRetry("p"), qt.IsTrue, qt.Commentf("the entry's share of the slack"))
	c.Assert(g.takeRetry("p"), qt.IsFalse)
}
