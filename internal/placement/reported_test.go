package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/placement"
)

// plainNeed is a request to the plain service of plainBackends.
var plainNeed = placement.Requirements{Pool: "plain"}

func plainBackends(count int) []catalog.Backend {
	all := backends(count)
	for i := range all {
		all[i].Pool, all[i].Slots, all[i].LoadedVersions = "plain", 4, nil
	}
	return all
}

func start(i int) placement.InstanceStart {
	return placement.InstanceStart{ID: fmt.Sprintf("i-%02d", i), Start: 1}
}

// chosen returns how many of the given number of requests, each ended before the next one, the
// instance i-00 gets.
func chosen(c *qt.C, fleet *placement.Fleet, request placement.Requirements, count int, now time.Time) int {
	first := 0
	for range count {
		choice, found := fleet.Choose(request, now)
		c.Assert(found, qt.IsTrue)
		if choice.Backend.ID == "i-00" {
			first++
		}
		fleet.AttemptFinished(choice, placement.NotUsed, now)
	}
	return first
}

// TestReportedLoadMakesOthersPreferred covers instances with requests of entries that this one does
// not hear of, and instances that are slow.
func TestReportedLoadMakesOthersPreferred(t *testing.T) {
	for name, load := range map[string]placement.InstanceLoad{
		"requests that wait": {Waiting: 3, Slots: 4},
		"slow":               {Slots: 4, Slowdown: 3},
	} {
		for _, isEngine := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " engine ", isEngine), func(t *testing.T) {
				c := qt.New(t)
				fleet, list, request := newFleet(1), plainBackends(2), plainNeed
				if isEngine {
					list, request = backends(2), need
				}
				fleet.SetList(list, time.Time{}, epoch)
				before := chosen(c, fleet, request, 40, epoch)
				c.Assert(before > 5 && before < 35, qt.IsTrue, qt.Commentf("%d of 40 without a report", before))
				fleet.RecordLoad(start(0), load, epoch)
				c.Assert(chosen(c, fleet, request, 40, epoch), qt.Equals, 0)
				c.Assert(chosen(c, fleet, request, 40, epoch.Add(500*time.Millisecond)), qt.Equals, 0)
				after := chosen(c, fleet, request, 40, epoch.Add(1500*time.Millisecond))
				c.Assert(after > 5 && after < 35, qt.IsTrue, qt.Commentf("%d of 40 after a second", after))
			})
		}
	}
}

// TestPromptsThatWaitAtAnEngineCount covers an engine with a single prompt that waits, which delays
// a further one by more than its share of the slots shows.
func TestPromptsThatWaitAtAnEngineCount(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(2), time.Time{}, epoch)
	fleet.RecordLoad(start(0), placement.InstanceLoad{Waiting: 1, Slots: 16}, epoch)
	c.Assert(chosen(c, fleet, need, 40, epoch), qt.Equals, 0)
}

// TestOlderReportOfALoadIsIgnored covers responses that are read out of order, and reports of an
// earlier start.
func TestOlderReportOfALoadIsIgnored(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(plainBackends(2), time.Time{}, epoch)
	full := placement.InstanceLoad{Running: 4, Waiting: 4, Slots: 4}
	fleet.RecordLoad(start(0), placement.InstanceLoad{Slots: 4}, epoch)
	fleet.RecordLoad(start(0), full, epoch.Add(-time.Millisecond))
	fleet.RecordLoad(placement.InstanceStart{ID: "i-00", Start: 0}, full, epoch)
	c.Assert(chosen(c, fleet, plainNeed, 40, epoch) > 5, qt.IsTrue)
	fleet.RecordLoad(start(0), full, epoch)
	c.Assert(chosen(c, fleet, plainNeed, 40, epoch), qt.Equals, 0)
}

// TestReportedLoadDoesNotRefuse guards against requests that are rejected because of what an
// instance reports, although it has free slots as far as the entry knows.
func TestReportedLoadDoesNotRefuse(t *testing.T) {
	for _, isEngine := range []bool{false, true} {
		t.Run(fmt.Sprint("engine ", isEngine), func(t *testing.T) {
			c := qt.New(t)
			fleet, list, request, slots := newFleet(1), plainBackends(1), plainNeed, 8
			if isEngine {
				list, request, slots = backends(1), need, 16
				request.MaxWait = time.Minute
			}
			fleet.SetList(list, time.Time{}, epoch)
			fleet.RecordLoad(start(0), placement.InstanceLoad{Running: 1000, Waiting: 1000, Slots: 1, Slowdown: 100}, epoch)
			for range slots {
				c.Assert(fleet.HasFreeSlot(request, epoch), qt.IsTrue)
				_, found := fleet.Choose(request, epoch)
				c.Assert(found, qt.IsTrue)
			}
			c.Assert(fleet.HasFreeSlot(request, epoch), qt.IsFalse)
		})
	}
}

// TestOwnRequestsSinceAReportCount guards against an entry that sends all its requests to the
// instance with the lowest report until the next one.
func TestOwnRequestsSinceAReportCount(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(plainBackends(2), time.Time{}, epoch)
	fleet.RecordLoad(start(0), placement.InstanceLoad{Running: 2, Slots: 4}, epoch)
	fleet.RecordLoad(start(1), placement.InstanceLoad{Running: 4, Slots: 4}, epoch)
	counts := map[string]int{}
	for range 8 {
		choice, found := fleet.Choose(plainNeed, epoch)
		c.Assert(found, qt.IsTrue)
		counts[choice.Backend.ID]++
	}
	c.Assert(counts, qt.DeepEquals, map[string]int{"i-00": 5, "i-01": 3})
}

// TestRequestsThatHaveEndedSinceAReportDoNotCount guards against an instance that is taken for
// loaded by requests of this entry that have ended meanwhile.
func TestRequestsThatHaveEndedSinceAReportDoNotCount(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(plainBackends(1), time.Time{}, epoch)
	var choices []placement.Choice
	for range 4 {
		choice, _ := fleet.Choose(plainNeed, epoch)
		choices = append(choices, choice)
	}
	fleet.RecordLoad(start(0), placement.InstanceLoad{Running: 4, Slots: 4}, epoch)
	for _, choice := range choices {
		fleet.AttemptFinished(choice, placement.Succeeded, epoch)
	}
	fleet.SetList(plainBackends(2), time.Time{}, epoch)
	choice, found := fleet.Choose(plainNeed, epoch.Add(100*time.Millisecond))
	c.Assert(found, qt.IsTrue)
	c.Assert(choice.ReportedLoad, qt.Equals, 0)
	fleet.AttemptFinished(choice, placement.Succeeded, epoch)
	first := chosen(c, fleet, plainNeed, 40, epoch.Add(100*time.Millisecond))
	c.Assert(first > 0 && first < 40, qt.IsTrue, qt.Commentf("%d of 40", first))
}

// TestReportThatIsTooOldChangesNothing compares the choices of a fleet that had reports with those
// of one that had none.
func TestReportThatIsTooOldChangesNothing(t *testing.T) {
	c := qt.New(t)
	with, without := newFleet(1), newFleet(1)
	for _, fleet := range []*placement.Fleet{with, without} {
		fleet.SetList(append(plainBackends(4), backend(5), backend(6)), time.Time{}, epoch)
	}
	for i := range 7 {
		with.RecordLoad(start(i), placement.InstanceLoad{Running: i, Waiting: i, Slots: 4, Slowdown: 2}, epoch)
	}
	now := epoch.Add(1500 * time.Millisecond)
	for i := range 40 {
		request := plainNeed
		if i%2 == 0 {
			request = need
		}
		a, foundA := with.Choose(request, now)
		b, foundB := without.Choose(request, now)
		c.Assert(a.Backend.ID, qt.Equals, b.Backend.ID)
		c.Assert(foundA, qt.Equals, foundB)
	}
}

// TestReportOfBeingColdIsUsed covers an instance that says in a response that it is cold, before its
// list entry is read.
func TestReportOfBeingColdIsUsed(t *testing.T) {
	c := qt.New(t)
	entries := newColdEntries(c, 1)
	entries.setList(coldBackend(1, 0))
	entries.run(coldTime + time.Second)
	c.Assert(isLimited(entries.fleets[0], entries.now), qt.IsFalse)
	entries.fleets[0].RecordCold(start(0), time.Second, entries.now)
	c.Assert(isLimited(entries.fleets[0], entries.now), qt.IsTrue)
	entries.run(time.Second)
	c.Assert(isLimited(entries.fleets[0], entries.now), qt.IsFalse)
}
