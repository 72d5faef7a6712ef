package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestCallersThatComeBackAreTold(t *testing.T) {
	c := qt.New(t)
	const limit = 6 * time.Second
	u := &usualTimes{}
	c.Assert(u.returning("r", 6*time.Second, limit), qt.IsFalse)
	c.Assert(u.returning("r", 5*time.Second, limit), qt.IsFalse, qt.Commentf("callers differ"))
	c.Assert(u.returning("r", 3900*time.Millisecond, limit), qt.IsTrue)
	c.Assert(u.returning("r", 2900*time.Millisecond, limit), qt.IsTrue)
	c.Assert(u.returning("r", time.Second, limit), qt.IsFalse, qt.Commentf("another kind of caller"))
	c.Assert(u.returning("r", 0, limit), qt.IsFalse, qt.Commentf("not told"))
	c.Assert(u.returning("other", 2500*time.Millisecond, limit), qt.IsFalse)
}

// TestOnePatientCallerPutsNobodyBehind: a time beyond the route's limit counts as
// the limit, also when the operator makes it shorter.
func TestOnePatientCallerPutsNobodyBehind(t *testing.T) {
	c := qt.New(t)
	u := &usualTimes{}
	c.Assert(u.returning("r", time.Hour, 6*time.Second), qt.IsFalse)
	c.Assert(u.returning("r", 5*time.Second, 6*time.Second), qt.IsFalse)
	c.Assert(u.returning("r", 5*time.Second, 3*time.Second), qt.IsFalse)
}
