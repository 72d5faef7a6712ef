package relay

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestReturningCallersAreDetected(t *testing.T) {
	c := qt.New(t)
	const limit = 6 * time.Second
	u := newReturningCallerDetector()
	c.Assert(u.isReturning("r", 6*time.Second, limit), qt.IsFalse)
	c.Assert(u.isReturning("r", 5*time.Second, limit), qt.IsFalse, qt.Commentf("the time limits of callers differ"))
	c.Assert(u.isReturning("r", 3900*time.Millisecond, limit), qt.IsTrue)
	c.Assert(u.isReturning("r", 2900*time.Millisecond, limit), qt.IsTrue)
	c.Assert(u.isReturning("r", time.Second, limit), qt.IsFalse, qt.Commentf("a caller with a shorter time limit"))
	c.Assert(u.isReturning("r", 0, limit), qt.IsFalse, qt.Commentf("no time left sent"))
	c.Assert(u.isReturning("other", 2500*time.Millisecond, limit), qt.IsFalse)
}

// TestTimeBeyondTheRouteLimitCountsAsTheLimit guards against one caller with a long
// time limit that makes all others look like returning callers: a time beyond the
// route's limit counts as the limit, also after an operator has lowered it.
func TestTimeBeyondTheRouteLimitCountsAsTheLimit(t *testing.T) {
	c := qt.New(t)
	u := newReturningCallerDetector()
	c.Assert(u.isReturning("r", time.Hour, 6*time.Second), qt.IsFalse)
	c.Assert(u.isReturning("r", 5*time.Second, 6*time.Second), qt.IsFalse)
	c.Assert(u.isReturning("r", 5*time.Second, 3*time.Second), qt.IsFalse)
}

// TestManyRoutesDoNotHideReturningCallers covers tables with many routes: the longest
// time of a route in use is kept while others are called for the first time.
func TestManyRoutesDoNotHideReturningCallers(t *testing.T) {
	c := qt.New(t)
	const limit = 6 * time.Second
	u := newReturningCallerDetector()
	for i := range 3 * maxTrackedRoutes {
		c.Assert(u.isReturning("in use", limit, limit), qt.IsFalse)
		u.isReturning(strconv.Itoa(i), limit, limit)
		if !u.isReturning("in use", limit/2, limit) {
			c.Fatalf("the longest time is lost after %d other routes", i+1)
		}
	}
}
