package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/placement"
)

// TestPausedEntryKeepsTheBoundOfOthers guards against an entry that learns of a release late,
// after a pause, and sends requests to older weights for longer than those that saw it come
// (incident 0013).
func TestPausedEntryKeepsTheBoundOfOthers(t *testing.T) {
	const interval, slack = 200 * time.Millisecond, 25 * time.Millisecond
	for _, paused := range []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 10 * time.Second} {
		c := qt.New(t)
		comment := qt.Commentf("paused for %s", paused)
		before, _ := placement.NewReleases(bound, grace).Add(release(1), true, epoch.Add(-time.Minute))
		peer, _ := before.Add(release(2), false, epoch)
		end, _ := peer.AllowedUntil("m", 1)
		woken := epoch.Add(paused)
		entry, _ := before.Add(release(2), true, woken)
		over := woken.Add(2 * grace)
		if over.Before(end) {
			over = end.Add(grace)
		}
		for at := woken; at.Before(over); at = at.Add(interval) {
			for _, told := range peer.Ages(at) {
				// For some time after a pause, reports may have waited.
				told.Estimated = told.Estimated || at.Sub(woken) < grace
				entry = entry.MergePeerAge(told, at)
			}
			if !at.Before(end.Add(slack)) {
				c.Check(entry.MinVersion("m", at), qt.Equals, int64(2), comment)
			}
		}
		until, limited := entry.AllowedUntil("m", 1)
		c.Check(limited, qt.IsTrue, comment)
		c.Check(until.After(end.Add(slack)), qt.IsFalse, qt.Commentf("%s after the bound, paused for %s", until.Sub(end), paused))
	}
}

// TestBoundsOfASeriesOfReleases guards against a version that may be used for longer than the
// first of several newer releases allows, or that is refused before (incident 0013).
func TestBoundsOfASeriesOfReleases(t *testing.T) {
	c := qt.New(t)
	const gap, step = 400 * time.Millisecond, 50 * time.Millisecond
	r := placement.NewReleases(bound, grace)
	for i := range 12 {
		// A release that was found after a pause has an estimated time.
		r, _ = r.Add(release(int64(i+2)), i%5 == 3, epoch.Add(time.Duration(i)*gap))
	}
	for at := epoch; at.Before(epoch.Add(2 * bound)); at = at.Add(step) {
		for version := int64(1); version < 13; version++ {
			until, limited := r.AllowedUntil("m", version)
			c.Assert(limited, qt.IsTrue)
			c.Assert(at.Before(until), qt.Equals, r.MinVersion("m", at) <= version, qt.Commentf("version %d, %s after the first release", version, at.Sub(epoch)))
		}
	}
}
