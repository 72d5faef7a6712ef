package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/dispatch"
)

// TestRetriesAfterAnInstanceShutDown covers a planned switch: many streams are
// interrupted at once after a period without failures. The requests of that period
// allow their retries, and no window holds more retries than the budget allows.
func TestRetriesAfterAnInstanceShutDown(t *testing.T) {
	c := qt.New(t)
	const window, ratio, slack = 10 * time.Second, 0.2, 5.0
	budget := dispatch.NewWindowBudget(window, ratio, slack)
	now := time.Unix(100, 0)
	for range 250 {
		budget.RecordRequest(now)
		now = now.Add(window / 250)
	}
	allowed := 0
	for range 200 {
		if budget.TryRetry(now) {
			allowed++
		}
	}
	c.Assert(allowed >= 45 && allowed <= 55, qt.IsTrue, qt.Commentf("%d", allowed))
	c.Assert(budget.TryRetry(now.Add(window/2)), qt.IsFalse)
	// Requests and retries that have left the window do not count.
	later := now.Add(2 * window)
	allowed = 0
	for range 20 {
		if budget.TryRetry(later) {
			allowed++
		}
	}
	c.Assert(allowed, qt.Equals, int(slack))
}

func TestSetSlackChangesTheFixedPart(t *testing.T) {
	c := qt.New(t)
	budget := dispatch.NewWindowBudget(time.Second, 0, 4)
	budget.SetSlack(1)
	now := time.Unix(100, 0)
	c.Assert(budget.TryRetry(now), qt.IsTrue)
	c.Assert(budget.TryRetry(now), qt.IsFalse)
}

// TestReturnedRetryMayBeTakenAgain guards against retries that were reserved and not made but
// still count, and against ones that are returned after they have left the window.
func TestReturnedRetryMayBeTakenAgain(t *testing.T) {
	c := qt.New(t)
	budget := dispatch.NewWindowBudget(time.Second, 0, 1)
	now := time.Unix(100, 0)
	c.Assert(budget.TryRetry(now), qt.IsTrue)
	c.Assert(budget.TryRetry(now), qt.IsFalse)
	budget.ReturnRetry(now, now.Add(100*time.Millisecond))
	c.Assert(budget.TryRetry(now.Add(100*time.Millisecond)), qt.IsTrue)
	later := now.Add(3 * time.Second)
	c.Assert(budget.TryRetry(later), qt.IsTrue)
	budget.ReturnRetry(now, later)
	c.Assert(budget.TryRetry(later), qt.IsFalse)
}
