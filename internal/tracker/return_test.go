package tracker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/message"
)

// TestReturningTrackerDelaysPermits guards against more instances that switch at once than the
// pool allows, because a tracker that agents come back to has granted permits before but does
// not know those that another one has granted since.
func TestReturningTrackerDelaysPermits(t *testing.T) {
	f := newFleet(4, 1, 1)
	f.warmUp()
	qt.Assert(t, f.announce(0).Permit, qt.IsTrue)
	f.serveNewVersion(0)
	// Another tracker is responsible meanwhile, and has just granted instance 1 a permit.
	f.now = f.now.Add(time.Minute)
	for _, serving := range []int{0, 2, 3} {
		args := f.args[serving]
		args.Wants = false
		qt.Assert(t, f.tracker.Announce(args, &message.AnnounceReply{}), qt.IsNil)
	}
	f.now = f.now.Add(time.Second)
	qt.Assert(t, f.announce(2).Permit, qt.IsFalse)
	// By now that permit has expired, or its holder has announced its switch.
	f.now = f.now.Add(5 * time.Second)
	qt.Assert(t, f.announce(2).Permit, qt.IsTrue)
}
