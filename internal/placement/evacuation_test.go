package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/placement"
)

// newZonesFleet returns the fleet of an entry in z1 with the given number of engines in each of
// the zones z1, z2 and z3.
func newZonesFleet(engines int) *placement.Fleet {
	f := newFleet(1)
	all := backends(3 * engines)
	for i := range all {
		all[i].AvailabilityZone = fmt.Sprintf("z%d", 1+i%3)
	}
	f.SetList(all, time.Time{}, epoch)
	return f
}

// TestEvacuatedZoneGetsNoRequests guards against attempts in a zone whose evacuation was
// requested: also when its instances are the only ones, are new in the list, or when
// further zones are evacuated later.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	f := newZonesFleet(2)
	f.SetEvacuated([]string{"z1", "unknown"}, epoch)
	for range 60 {
		choice, found := f.Choose(need, epoch)
		c.Assert(found, qt.IsTrue)
		c.Assert(choice.Backend.AvailabilityZone, qt.Not(qt.Equals), "z1")
	}
	late := backend(40)
	f.SetList([]catalog.Backend{late}, time.Time{}, epoch)
	_, found := f.Choose(need, epoch)
	c.Assert(found, qt.IsFalse)
	c.Assert(f.HasFreeSlot(need, epoch), qt.IsFalse)
	count, _ := f.Usable(need, epoch)
	c.Assert(count, qt.Equals, 0)
	f.SetEvacuated([]string{"z2", "z1"}, epoch)
	c.Assert(f.Evacuated(), qt.DeepEquals, []string{"z1", "z2"})
	c.Assert(f.AllowsZone("z1", need), qt.IsFalse)
	c.Assert(f.AllowsZone("z3", need), qt.IsTrue)
}

// TestEvacuatedZoneReturnsSlowly guards against a zone that gets all queued requests at once
// when its evacuation ends.
func TestEvacuatedZoneReturnsSlowly(t *testing.T) {
	c := qt.New(t)
	f := newZonesFleet(1)
	f.SetEvacuated([]string{"z1", "z2", "z3"}, epoch)
	end := epoch.Add(time.Minute)
	f.SetEvacuated([]string{"z2", "z3"}, end)
	placed := func(at time.Time) (count int) {
		for {
			if _, found := f.Choose(need, at); !found {
				return count
			}
			count++
		}
	}
	c.Assert(placed(end), qt.Equals, 1)
	c.Assert(placed(end.Add(time.Second/2)) < 8, qt.IsTrue)
	c.Assert(placed(end.Add(2*time.Second)) > 0, qt.IsTrue)
	c.Assert(f.OwnLoad("i-00").Count, qt.Equals, engine.Slots)
}

// TestMovedRequestsAddToZoneMeans guards against entries that all fill the zone that was least
// loaded before an evacuation, because the loads that they know do not contain what they have
// moved there.
func TestMovedRequestsAddToZoneMeans(t *testing.T) {
	c := qt.New(t)
	f := newZonesFleet(1)
	loads := func(utilization float64, at time.Time) {
		for _, zone := range []string{"z2", "z3"} {
			f.UpdateZoneLoads(zone, map[string]placement.ZoneLoad{"engines": {Utilization: utilization}}, at)
		}
	}
	loads(0.5, epoch)
	f.SetEvacuated([]string{"z1"}, epoch)
	// Half of the slots of both engines are free.
	for range engine.Slots {
		_, found := f.Choose(need, epoch.Add(100*time.Millisecond))
		c.Assert(found, qt.IsTrue)
	}
	c.Assert(f.HasFreeSlot(need, epoch.Add(100*time.Millisecond)), qt.IsFalse)
	loads(0.5, epoch.Add(600*time.Millisecond))
	c.Assert(f.HasFreeSlot(need, epoch.Add(600*time.Millisecond)), qt.IsTrue)
}
