package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/rollout"
)

// TestLateSightingLeavesTheMarginForASilentEngine guards against requests that are sent to older
// weights too late for a silent engine, because the entry that saw the release appear saw it late.
func TestLateSightingLeavesTheMarginForASilentEngine(t *testing.T) {
	c := qt.New(t)
	const bound, silence, late = 8 * time.Second, 1550 * time.Millisecond, 490 * time.Millisecond
	released := time.UnixMilli(1_700_000_000_000)
	two := catalog.Release{Model: "m", Version: 2}
	// This entry starts when the release comes; another one has not slept, and sees it later.
	r, _ := placement.NewReleases(rollout.SendPeriod(bound), 6*time.Second).Add(two, true, released)
	r = r.MergePeerAge(placement.ReleaseAge{Release: two, Age: 0}, released.Add(late))
	until, limited := r.AllowedUntil("m", 1)
	c.Assert(limited, qt.IsTrue)
	c.Assert(until.Add(silence).Sub(released) <= bound, qt.IsTrue, qt.Commentf("sent until %s after the release", until.Sub(released)))
}
