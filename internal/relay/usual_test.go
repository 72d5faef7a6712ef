package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestCallersThatComeBackAreTold(t *testing.T) {
	c := qt.New(t)
	u := &usualTimes{}
	c.Assert(u.returning("r", 6*time.Second), qt.IsFalse)
	c.Assert(u.returning("r", 5*time.Second), qt.IsFalse, qt.Commentf("callers differ"))
	c.Assert(u.returning("r", 3900*time.Millisecond), qt.IsTrue)
	c.Assert(u.returning("r", 2900*time.Millisecond), qt.IsTrue)
	c.Assert(u.returning("r", time.Second), qt.IsFalse, qt.Commentf("another kind of caller"))
	c.Assert(u.returning("r", 0), qt.IsFalse, qt.Commentf("not told"))
	c.Assert(u.returning("other", 2500*time.Millisecond), qt.IsFalse)
}
