package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/dispatch"
)

// TestRepeatsAfterAnInstanceLeft answers the pattern of a planned switch: many
// streams break off at once after a calm time. The budget of the calm time is
// there for them, and no window holds more repeats than it allows.
func TestRepeatsAfterAnInstanceLeft(t *testing.T) {
	c := qt.New(t)
	const window, ratio, slack = 10 * time.Second, 0.2, 5.0
	budget := dispatch.NewWindowBudget(window, ratio, slack)
	now := time.Unix(100, 0)
	for range 250 {
		budget.Request(now)
		now = now.Add(window / 250)
	}
	allowed := 0
	for range 200 {
		if budget.Retry(now) {
			allowed++
		}
	}
	c.Assert(allowed >= 45 && allowed <= 55, qt.IsTrue, qt.Commentf("%d", allowed))
	c.Assert(budget.Retry(now.Add(window/2)), qt.IsFalse)
	// Neither requests nor repeats count once they are out of the window.
	later := now.Add(2 * window)
	allowed = 0
	for range 20 {
		if budget.Retry(later) {
			allowed++
		}
	}
	c.Assert(allowed, qt.Equals, int(slack))
}

func TestSlackIsShared(t *testing.T) {
	c := qt.New(t)
	budget := dispatch.NewWindowBudget(time.Second, 0, 4)
	budget.SetSlack(1)
	now := time.Unix(100, 0)
	c.Assert(budget.Retry(now), qt.IsTrue)
	c.Assert(budget.Retry(now), qt.IsFalse)
}
