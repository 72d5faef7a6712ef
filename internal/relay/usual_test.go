package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestReturningCallersAreDetected(t *testing.T) {
	c := qt.New(t)
	const limit = 6 * time.Second
	u := &returningCallerDetector{}
	c.Assert(u.isReturning("r", 6*time.Second, limit), qt.IsFalse)
	c.Assert(u.isReturning("r", 5*time.Second, limit), qt.IsFalse, qt.Commentf("callers differ"))
	c.Assert(u.isReturning("r", 3900*time.Millisecond, limit), qt.IsTrue)
	c.Assert(u.isReturning("r", 2900*time.Millisecond, limit), qt.IsTrue)
	c.Assert(u.isReturning("r", time.Second, limit), qt.IsFalse, qt.Commentf("another kind of caller"))
	c.Assert(u.isReturning("r", 0, limit), qt.IsFalse, qt.Commentf("not told"))
	c.Assert(u.isReturning("other", 2500*time.Millisecond, limit), qt.IsFalse)
}

// TestTimeBeyondTheRouteLimitCountsAsTheLimit: a time beyond the route's limit counts as
// the limit, also when the operator makes it shorter.
func TestTimeBeyondTheRouteLimitCountsAsTheLimit(t *testing.T) {
	c := qt.New(t)
	u := &returningCallerDetector{}
	c.Assert(u.isReturning("r", time.Hour, 6*time.Second), qt.IsFalse)
	c.Assert(u.isReturning("r", 5*time.Second, 6*time.Second), qt.IsFalse)
	c.Assert(u.isReturning("r", 5*time.Second, 3*time.Second), qt.IsFalse)
}
