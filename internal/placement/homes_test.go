package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/placement"
)

// newRegionFleet returns a fleet with one instance in each of the zones z1 to z3; the region
// of z3 is unknown.
func newRegionFleet() *placement.Fleet {
	f := placement.New(placement.Config{
		AvailabilityZone: "z1", MaxPeerLoadAge: time.Second, FailureBackoff: 500 * time.Millisecond, MaxFailureBackoff: 6 * time.Second,
		Regions: map[string]string{"z1": "r1", "z2": "r2"},
	})
	all := backends(3)
	for i, zone := range []string{"z1", "z2", "z3"} {
		all[i].Pool, all[i].AvailabilityZone, all[i].Slots = "plain", zone, 1
	}
	f.SetList(all, time.Time{}, epoch)
	return f
}

func restricted(regions ...string) placement.Requirements {
	return placement.Requirements{Pool: "plain", Regions: regions, RegionsRestricted: true}
}

// TestNoAttemptOutsideTheHomes guards against requests that go to an instance of another region
// because those of the home are full, have failed or are tried, or to one whose region is
// unknown.
func TestNoAttemptOutsideTheHomes(t *testing.T) {
	c := qt.New(t)
	f := newRegionFleet()
	for range 2 {
		choice, found := f.Choose(restricted("r2"), epoch)
		c.Assert(found, qt.IsTrue)
		c.Assert(choice.Backend.AvailabilityZone, qt.Equals, "z2")
	}
	c.Assert(f.HasFreeSlot(restricted("r2"), epoch), qt.IsFalse)
	for _, need := range []placement.Requirements{restricted("r2"), restricted("r3"), restricted(""), restricted()} {
		_, found := f.Choose(need, epoch)
		c.Assert(found, qt.IsFalse, qt.Commentf("%v", need.Regions))
	}
	count, _ := f.Usable(restricted("r2"), epoch)
	c.Assert(count, qt.Equals, 1)
	count, _ = f.Usable(restricted("r1", "r2", ""), epoch)
	c.Assert(count, qt.Equals, 2)
}

// TestEarliestStartInTheHomes guards against requests that wait although no home instance can
// take them, or are refused although one can soon.
func TestEarliestStartInTheHomes(t *testing.T) {
	c := qt.New(t)
	f := newRegionFleet()
	at, known := f.EarliestStart(restricted("r2"), epoch)
	c.Assert(known, qt.IsTrue)
	c.Assert(at, qt.Equals, epoch)
	_, known = f.EarliestStart(restricted("r3"), epoch)
	c.Assert(known, qt.IsFalse)
	choice, _ := f.Choose(restricted("r2"), epoch)
	f.AttemptFinished(choice, placement.Failed, epoch)
	at, known = f.EarliestStart(restricted("r2"), epoch)
	c.Assert(known, qt.IsTrue)
	c.Assert(at, qt.Equals, epoch.Add(500*time.Millisecond))
	need := restricted("r2")
	need.Tried = map[string]bool{choice.Backend.ID: true}
	_, known = f.EarliestStart(need, epoch)
	c.Assert(known, qt.IsFalse)
}
