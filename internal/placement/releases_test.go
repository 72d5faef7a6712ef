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
	merged := r.MergePeerAge(release(3), time.Second, epoch).MergePeerAge(release(2), bound, epoch)
	c.Assert(merged.MinVersion("m", epoch), qt.Equals, int64(2))
	c.Assert(merged.MinVersion("m", epoch.Add(grace)), qt.Equals, int64(2))
	c.Assert(merged.MinVersion("m", epoch.Add(bound)), qt.Equals, int64(3))
	c.Assert(merged.Ages(epoch), qt.HasLen, 2)
	c.Assert(r.Ages(epoch), qt.HasLen, 0, qt.Commentf("an estimate is not reported to other entries"))
}

func TestUnknownReleaseOfAPeerIsIgnored(t *testing.T) {
	c := qt.New(t)
	r, _ := placement.NewReleases(bound, grace).Add(release(2), false, epoch)
	c.Assert(r.MergePeerAge(release(9), bound, epoch).MinVersion("m", epoch), qt.Equals, int64(0))
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
		restarted = restarted.MergePeerAge(reported.Release, reported.Age, started)
	}
	for at := started; at.Before(epoch.Add(2*gap + bound + time.Second)); at = at.Add(100 * time.Millisecond) {
		c.Assert(restarted.MinVersion("m", at), qt.Equals, peer.MinVersion("m", at), qt.Commentf("%v after the first release", at.Sub(epoch)))
	}
}
