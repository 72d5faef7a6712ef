package rollout_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/rollout"
)

// TestNewerReleaseKeepsTheBoundOfTheOlder guards against an instance that counts the time
// for a switch from the newest release, although an older one has been due for longer.
func TestNewerReleaseKeepsTheBoundOfTheOlder(t *testing.T) {
	c := qt.New(t)
	begin := time.Unix(1_000, 0)
	var pending rollout.Pending
	_, found := pending.Since()
	c.Assert(found, qt.IsFalse)
	pending.Add(3, begin)
	pending.Add(4, begin.Add(4*time.Second))
	since, _ := pending.Since()
	c.Assert(since, qt.Equals, begin)
	pending.Add(3, begin.Add(time.Second))
	pending.Add(4, begin.Add(3*time.Second))
	pending.RemoveUpTo(3)
	since, _ = pending.Since()
	c.Assert(since, qt.Equals, begin.Add(3*time.Second), qt.Commentf("the earliest time of each release counts"))
	for version := range int64(1000) {
		pending.Add(version, begin.Add(-time.Duration(version)))
	}
	since, _ = pending.Since()
	c.Assert(since, qt.Equals, begin.Add(-999), qt.Commentf("the newest releases are kept"))
}
