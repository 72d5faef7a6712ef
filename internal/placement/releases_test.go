package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/placement"
)

const (
	bound = 7 * time.Second
	grace = 2 * time.Second
)

func release(version int64) catalog.Release { return catalog.Release{Model: "m", Version: version} }

func aged(version int64, age time.Duration) placement.ReleaseAge {
	return placement.ReleaseAge{Release: release(version), Age: age}
}

func TestOldVersionIsRejectedAfterTheBound(t *testing.T) {
	c := qt.New(t)
	r, isNew := placement.NewReleases(bound, grace).Add(release(2), false, epoch)
	c.Assert(isNew, qt.IsTrue)
	c.Assert(r.MinVersion("m", epoch.Add(bound-1)), qt.Equals, int64(0))
	c.Assert(r.MinVersion("m", epoch.Add(bound)), qt.Equals, int64(2))
	c.Assert(r.TargetVersion("m"), qt.Equals, int64(2))
	_, isNew = r.Add(release(2), false, epoch)
	c.Assert(isNew, qt.IsFalse)
}

// TestSecondReleaseKeepsTheBoundOfTheFirst covers versions that are released a few
// seconds after each other.
func TestSecondReleaseKeepsTheBoundOfTheFirst(t *testing.T) {
	c := qt.New(t)
	r, _ := placement.NewReleases(bound, grace).Add(release(2), false, epoch)
	r, _ = r.Add(release(3), false, epoch.Add(2*time.Second))
	c.Assert(r.MinVersion("m", epoch.Add(bound)), qt.Equals, int64(2))
	c.Assert(r.MinVersion("m", epoch.Add(bound+2*time.Second)), qt.Equals, int64(3))
}

// TestRestartedEntryTakesAgesFromPeers checks that an entry that starts during a release
// learns the age of that release, and of the previous one, from other entries.
func TestRestartedEntryTakesAgesFromPeers(t *testing.T) {
	c := qt.New(t)
	r, _ := placement.NewReleases(bound, grace).Add(release(3), true, epoch)
	c.Assert(r.MinVersion("m", epoch), qt.Equals, int64(0))
	c.Assert(r.MinVersion("m", epoch.Add(grace)), qt.Equals, int64(3), qt.Commentf("no other entry reported an age"))
	merged := r.MergePeerAge(aged(3, time.Second), epoch).MergePeerAge(aged(2, bound), epoch)
	c.Assert(merged.MinVersion("m", epoch), qt.Equals, int64(2))
	c.Assert(merged.MinVersion("m", epoch.Add(grace)), qt.Equals, int64(2))
	c.Assert(merged.MinVersion("m", epoch.Add(bound)), qt.Equals, int64(3))
	c.Assert(merged.Ages(epoch), qt.HasLen, 2)
	c.Assert(r.Ages(epoch)[0].Estimated, qt.IsTrue, qt.Commentf("an estimate is reported as such"))
}

func TestUnknownReleaseOfAPeerIsIgnored(t *testing.T) {
	c := qt.New(t)
	r, _ := placement.NewReleases(bound, grace).Add(release(2), false, epoch)
	c.Assert(r.MergePeerAge(aged(9, bound), epoch).MinVersion("m", epoch), qt.Equals, int64(0))
}

// TestRestartedEntryKeepsTheBoundOfSupersededReleases guards against requests on weights
// whose bound has passed: versions 2, 3 and 4 are released a few seconds after each other,
// and an entry that starts after the last one learns of the others from its peers.
func TestRestartedEntryKeepsTheBoundOfSupersededReleases(t *testing.T) {
	c := qt.New(t)
	const gap = 3 * time.Second
	peer := placement.NewReleases(bound, grace)
	for version := range int64(3) {
		peer, _ = peer.Add(release(version+2), false, epoch.Add(time.Duration(version)*gap))
	}
	started := epoch.Add(2*gap + time.Second)
	restarted, _ := placement.NewReleases(bound, grace).Add(release(4), true, started)
	for _, reported := range peer.Ages(started) {
		restarted = restarted.MergePeerAge(reported, started)
	}
	for at := started; at.Before(epoch.Add(2*gap + bound + time.Second)); at = at.Add(100 * time.Millisecond) {
		c.Assert(restarted.MinVersion("m", at), qt.Equals, peer.MinVersion("m", at), qt.Commentf("%v after the first release", at.Sub(epoch)))
	}
}

// TestEstimatedBoundsArePassedOn guards against a forgotten bound where no entry knows when
// a release came: all have started after it. One that starts after the next release learns
// of the earlier one, too.
func TestEstimatedBoundsArePassedOn(t *testing.T) {
	c := qt.New(t)
	peer, _ := placement.NewReleases(bound, grace).Add(release(3), true, epoch)
	released := epoch.Add(time.Second)
	peer, _ = peer.Add(release(4), false, released)
	started := released.Add(time.Second)
	restarted, _ := placement.NewReleases(bound, grace).Add(release(4), true, started)
	for _, reported := range peer.Ages(started) {
		restarted = restarted.MergePeerAge(reported, started)
	}
	c.Assert(restarted.MinVersion("m", epoch.Add(grace)), qt.Equals, int64(3))
	c.Assert(restarted.MinVersion("m", released.Add(bound-1)), qt.Equals, int64(3))
	c.Assert(restarted.MinVersion("m", released.Add(bound)), qt.Equals, int64(4))
}

// TestEstimateDoesNotReplaceAKnownTime guards against an entry that has just started and
// takes a new release for an old one: the others keep the time at which they saw it.
func TestEstimateDoesNotReplaceAKnownTime(t *testing.T) {
	c := qt.New(t)
	known, _ := placement.NewReleases(bound, grace).Add(release(2), false, epoch)
	started, _ := placement.NewReleases(bound, grace).Add(release(2), true, epoch)
	reported := started.Ages(epoch)
	c.Assert(reported, qt.HasLen, 1)
	c.Assert(reported[0].Estimated, qt.IsTrue)
	merged := known.MergePeerAge(reported[0], epoch)
	c.Assert(merged.MinVersion("m", epoch.Add(bound-1)), qt.Equals, int64(0))
}

// TestManyReleasesWithinTheBound guards against a forgotten bound where more releases
// follow each other within it than an entry keeps or reports.
func TestManyReleasesWithinTheBound(t *testing.T) {
	c := qt.New(t)
	const count, gap = 20, 300 * time.Millisecond
	running := placement.NewReleases(bound, grace)
	for version := range int64(count) {
		running, _ = running.Add(release(version+2), false, epoch.Add(time.Duration(version)*gap))
	}
	started := epoch.Add(count * gap)
	restarted, _ := placement.NewReleases(bound, grace).Add(release(count+1), true, started)
	for _, reported := range running.Ages(started) {
		restarted = restarted.MergePeerAge(reported, started)
	}
	for version := range int64(count) {
		at := epoch.Add(time.Duration(version)*gap + bound)
		c.Assert(running.MinVersion("m", at), qt.Equals, version+2)
		c.Assert(restarted.MinVersion("m", at), qt.Equals, version+2)
	}
}

// TestMissedReleaseIsLearnedAfterManyOthers guards against a forgotten bound at an entry
// that has kept as many releases as it may when it misses one.
func TestMissedReleaseIsLearnedAfterManyOthers(t *testing.T) {
	c := qt.New(t)
	const old = 100
	r := placement.NewReleases(bound, grace)
	for version := range int64(old) {
		r, _ = r.Add(release(version+1), false, epoch)
	}
	missed, newest := epoch.Add(time.Minute), epoch.Add(time.Minute+2*time.Second)
	r, _ = r.Add(release(old+2), false, newest)
	r = r.MergePeerAge(aged(old+1, newest.Sub(missed)), newest)
	c.Assert(r.MinVersion("m", missed.Add(bound)), qt.Equals, int64(old+1))
}

func TestOldVersionMayStartUntilTheFirstBoundEnds(t *testing.T) {
	c := qt.New(t)
	r, _ := placement.NewReleases(bound, grace).Add(release(2), false, epoch)
	r, _ = r.Add(release(3), false, epoch.Add(time.Second))
	until, limited := r.AllowedUntil("m", 1)
	c.Assert(limited, qt.IsTrue)
	c.Assert(until, qt.Equals, epoch.Add(bound))
	until, _ = r.AllowedUntil("m", 2)
	c.Assert(until, qt.Equals, epoch.Add(time.Second+bound))
	_, limited = r.AllowedUntil("m", 3)
	c.Assert(limited, qt.IsFalse)
}

// TestLateSightingDoesNotUndoAnEnforcedBound guards against old weights after their bound:
// an entry that was paused sees a release late and reports it as new to entries that have
// started after the release and saw it earlier than that.
func TestLateSightingDoesNotUndoAnEnforcedBound(t *testing.T) {
	c := qt.New(t)
	started, _ := placement.NewReleases(bound, grace).Add(release(3), true, epoch.Add(500*time.Millisecond))
	resumed := epoch.Add(3 * time.Second)
	paused, _ := placement.NewReleases(bound, grace).Add(release(2), false, epoch.Add(-time.Minute))
	paused, _ = paused.Add(release(3), false, resumed)
	for _, told := range paused.Ages(resumed) {
		started = started.MergePeerAge(told, resumed)
	}
	c.Assert(started.MinVersion("m", epoch.Add(bound)), qt.Equals, int64(3))
	enforced := started.MergePeerAge(aged(3, 0), epoch.Add(time.Minute))
	c.Assert(enforced.MinVersion("m", epoch.Add(time.Minute)), qt.Equals, int64(3))
}

// TestReleaseThatOthersSeeALittleLaterIsNew guards against weights that are refused too
// early: an entry starts just as a version is released and sees it before the others do.
func TestReleaseThatOthersSeeALittleLaterIsNew(t *testing.T) {
	c := qt.New(t)
	started, _ := placement.NewReleases(bound, grace).Add(release(3), true, epoch)
	later := epoch.Add(300 * time.Millisecond)
	merged := started.MergePeerAge(aged(3, 0), later)
	c.Assert(merged.MinVersion("m", epoch.Add(bound-1)), qt.Equals, int64(0))
	c.Assert(merged.MinVersion("m", later.Add(bound)), qt.Equals, int64(3))
}

// TestEarlierEstimateOfAPeerCounts guards against a bound that each restart of an entry
// postpones where no entry knows when the release came.
func TestEarlierEstimateOfAPeerCounts(t *testing.T) {
	c := qt.New(t)
	peer, _ := placement.NewReleases(bound, grace).Add(release(3), true, epoch)
	restart := epoch.Add(time.Minute)
	restarted, _ := placement.NewReleases(bound, grace).Add(release(3), true, restart)
	for _, told := range peer.Ages(restart) {
		restarted = restarted.MergePeerAge(told, restart)
	}
	c.Assert(restarted.MinVersion("m", restart), qt.Equals, int64(3))
}
