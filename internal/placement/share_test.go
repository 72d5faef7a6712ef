package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/placement"
)

// restartedEngines makes all engines of a fleet available at the same time, as after a
// loss of power.
func restartedEngines(fleet *placement.Fleet, engines int, now time.Time) {
	for i := range engines {
		report := placement.AgentReport{EngineStart: 1, LoadedVersion: 0, AgentStart: 1, Sequence: 1}
		fleet.UpdateReport(fmt.Sprintf("10.0.0.%d", i), report, epoch)
		report.LoadedVersion, report.Sequence = 1, 2
		fleet.UpdateReport(fmt.Sprintf("10.0.0.%d", i), report, now)
	}
}

// TestReturnAfterLossOfPowerDoesNotFloodEngines covers the return of all engines while
// every entry has a queue of requests: no entry knows yet what the others send. The
// engines get no more than they can start within the acceptable wait, and all of that.
func TestReturnAfterLossOfPowerDoesNotFloodEngines(t *testing.T) {
	for _, size := range []struct{ entries, engines int }{{2, 4}, {6, 16}, {42, 30}, {150, 30}} {
		t.Run(fmt.Sprintf("%d entries, %d engines", size.entries, size.engines), func(t *testing.T) {
			c := qt.New(t)
			// Two passes of 50 ms each, and 75 ms for each prompt.
			const onTime = 4
			request := need
			request.MaxWait = 400 * time.Millisecond
			var hosts []string
			for i := range size.entries {
				hosts = append(hosts, fmt.Sprintf("10.1.0.%d", i))
			}
			now := epoch.Add(time.Minute)
			placed := map[string]int{}
			var fleets []*placement.Fleet
			for i := range size.entries {
				fleet := newFleet(uint64(i))
				fleet.SetList(backends(size.engines), time.Time{}, epoch)
				fleet.SetEntries(hosts[i], hosts)
				restartedEngines(fleet, size.engines, now)
				for range 40 {
					if choice, found := fleet.Choose(request, now); found {
						placed[choice.Backend.ID]++
					}
				}
				fleets = append(fleets, fleet)
			}
			c.Assert(placed, qt.HasLen, size.engines)
			for id, count := range placed {
				c.Check(count, qt.Equals, onTime, qt.Commentf("%s", id))
			}
			_, found := fleets[0].Choose(request, now.Add(time.Second))
			c.Assert(found, qt.IsTrue, qt.Commentf("later the reported loads decide"))
		})
	}
}

// TestInstancesOfTheFirstListAreNotShared covers an entry that starts while the others
// run: it uses what it finds.
func TestInstancesOfTheFirstListAreNotShared(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetEntries("10.1.0.0", []string{"10.1.0.0", "10.1.0.1", "10.1.0.2"})
	fleet.SetList(backends(1), time.Time{}, epoch)
	for range 16 {
		_, found := fleet.Choose(need, epoch)
		c.Assert(found, qt.IsTrue)
	}
}

// TestEngineThatTheListNamesFirstIsShared covers an engine whose weights the list names
// before its agent's report arrives.
func TestEngineThatTheListNamesFirstIsShared(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetEntries("10.1.0.0", []string{"10.1.0.0", "10.1.0.1"})
	cold := backend(0)
	cold.LoadedVersions = nil
	fleet.SetList([]catalog.Backend{cold}, time.Time{}, epoch)
	later := epoch.Add(time.Minute)
	fleet.SetList(backends(1), time.Time{}, later)
	placed := 0
	for range 16 {
		if _, found := fleet.Choose(need, later); found {
			placed++
		}
	}
	c.Assert(placed, qt.Equals, 8)
}
