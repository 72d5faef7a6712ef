package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/placement"
)

var epoch = time.Unix(1_000, 0)

var engine = &catalog.Engine{Model: "m", Slots: 16, Stride: 5, StepTime: 10 * time.Millisecond, PromptTokensPerSecond: 20_000}

func newFleet(seed uint64) *placement.Fleet {
	return placement.New(placement.Config{
		AvailabilityZone: "z1", MaxPeerLoadAge: time.Second, FailureBackoff: 500 * time.Millisecond, MaxFailureBackoff: 6 * time.Second, Seed: seed,
		Engine: func(pool string) *catalog.Engine {
			if pool == "engines" {
				return engine
			}
			return nil
		},
	})
}

func backend(i int) catalog.Backend {
	return catalog.Backend{
		ID: fmt.Sprintf("i-%02d", i), Start: 1, Pool: "engines", Address: fmt.Sprintf("10.0.0.%d:80", i), Host: fmt.Sprintf("10.0.0.%d", i),
		AvailabilityZone: "z1", Slots: 16, LoadedVersions: map[string]int64{"m": 1},
	}
}

func backends(count int) []catalog.Backend {
	var all []catalog.Backend
	for i := range count {
		all = append(all, backend(i))
	}
	return all
}

var need = placement.Requirements{Pool: "engines", Model: "m", PromptTokens: 1000}

// TestEntriesSpreadPromptsWithSharedLoads guards against engines that get many
// long prompts while others get none under full traffic: eight entries report
// each request to each other.
func TestEntriesSpreadPromptsWithSharedLoads(t *testing.T) {
	c := qt.New(t)
	const entries, engines, requests = 8, 27, 54
	fleets := make([]*placement.Fleet, entries)
	for i := range fleets {
		fleets[i] = newFleet(uint64(i))
		fleets[i].SetList(backends(engines), time.Time{}, epoch)
	}
	random := rand.New(rand.NewPCG(1, 1))
	counts := map[string]int{}
	for range requests {
		sender := random.IntN(entries)
		choice, found := fleets[sender].Choose(need, epoch)
		c.Assert(found, qt.IsTrue)
		id := choice.Backend.ID
		counts[id]++
		for i, other := range fleets {
			if i != sender {
				other.UpdatePeerLoads(fmt.Sprint(sender), map[string]placement.Load{id: fleets[sender].OwnLoad(id)}, false, epoch)
			}
		}
	}
	for id, count := range counts {
		c.Check(count <= 3, qt.IsTrue, qt.Commentf("%s got %d of %d requests", id, count, requests))
	}
}

func TestNoRequestBeyondTheSlots(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(2), time.Time{}, epoch)
	fleet.UpdatePeerLoads("peer", map[string]placement.Load{"i-00": {Count: 10}}, true, epoch)
	for range 6 + 16 {
		_, found := fleet.Choose(need, epoch)
		c.Assert(found, qt.IsTrue)
	}
	_, found := fleet.Choose(need, epoch)
	c.Assert(found, qt.IsFalse)
	// The load of a peer that stopped reporting expires.
	_, found = fleet.Choose(need, epoch.Add(2*time.Second))
	c.Assert(found, qt.IsTrue)
}

func TestSlotIsFreeAfterTheAttempt(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(1), time.Time{}, epoch)
	choice, _ := fleet.Choose(need, epoch)
	c.Assert(fleet.OwnLoad("i-00"), qt.Equals, placement.Load{Count: 1, PendingPromptTokens: 1000})
	fleet.ResponseStarted(choice)
	c.Assert(fleet.OwnLoad("i-00"), qt.Equals, placement.Load{Count: 1})
	fleet.AttemptFinished(choice, placement.Succeeded, epoch)
	c.Assert(fleet.OwnLoad("i-00"), qt.Equals, placement.Load{})
}

func TestLeavingInstanceGetsNothing(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	leaving := backend(0)
	leaving.Leaving = true
	changes := fleet.SetList([]catalog.Backend{leaving}, time.Time{}, epoch)
	c.Assert(changes, qt.DeepEquals, []placement.Change{
		{ID: "i-00", Pool: "engines", Kind: placement.Joined}, {ID: "i-00", Pool: "engines", Kind: placement.Leaving},
	})
	_, found := fleet.Choose(need, epoch)
	c.Assert(found, qt.IsFalse)
}

// TestExpiredListEntriesAreRetained covers a store outage: list entries expire, and
// either come back within two seconds or their instances are removed.
func TestExpiredListEntriesAreRetained(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(2), time.Time{}, epoch)
	keepUntil := epoch.Add(2 * time.Second)
	fleet.SetList(backends(1), keepUntil, epoch)
	count, _ := fleet.Usable(need, epoch)
	c.Assert(count, qt.Equals, 2)
	fleet.Expire(keepUntil.Add(-time.Millisecond))
	count, _ = fleet.Usable(need, epoch)
	c.Assert(count, qt.Equals, 2)
	fleet.Expire(keepUntil)
	count, _ = fleet.Usable(need, epoch)
	c.Assert(count, qt.Equals, 1)
	// Removals after the retention time take effect at once.
	fleet.SetList(nil, keepUntil, keepUntil)
	count, _ = fleet.Usable(need, keepUntil)
	c.Assert(count, qt.Equals, 0)
}

func TestReappearedListEntryIsKept(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(1), time.Time{}, epoch)
	keepUntil := epoch.Add(2 * time.Second)
	fleet.SetList(nil, keepUntil, epoch)
	fleet.SetList(backends(1), keepUntil, epoch.Add(time.Second))
	fleet.Expire(keepUntil)
	count, _ := fleet.Usable(need, keepUntil)
	c.Assert(count, qt.Equals, 1)
}

func TestRestartedInstanceIsANewOne(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(1), time.Time{}, epoch)
	fleet.UpdateReport("10.0.0.0", placement.AgentReport{EngineStart: 5, LoadedVersion: 1}, epoch)
	_, found := fleet.Choose(need, epoch)
	c.Assert(found, qt.IsFalse, qt.Commentf("the list entry belongs to the earlier start"))
	restarted := backend(0)
	restarted.Start, restarted.LoadedVersions = 5, nil
	fleet.SetList([]catalog.Backend{restarted}, time.Time{}, epoch)
	_, found = fleet.Choose(need, epoch)
	c.Assert(found, qt.IsTrue, qt.Commentf("the agent reports complete weights"))
}

func TestAgentReportOverridesTheList(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(1), time.Time{}, epoch)
	fleet.UpdateReport("10.0.0.0", placement.AgentReport{EngineStart: 1, LoadedVersion: 1, Switching: true}, epoch)
	_, found := fleet.Choose(need, epoch)
	c.Assert(found, qt.IsFalse)
	fleet.UpdateReport("10.0.0.0", placement.AgentReport{EngineStart: 1, LoadedVersion: 2}, epoch)
	choice, found := fleet.Choose(placement.Requirements{Pool: "engines", Model: "m", MinVersion: 2}, epoch)
	c.Assert(found, qt.IsTrue)
	c.Assert(choice.Version, qt.Equals, int64(2))
}

// TestOutOfOrderReportIsIgnored guards against an older state that replaces a newer
// one: reports are delayed on links and arrive out of order.
func TestOutOfOrderReportIsIgnored(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(1), time.Time{}, epoch)
	fleet.UpdateReport("10.0.0.0", placement.AgentReport{EngineStart: 1, LoadedVersion: 2, AgentStart: 7, Sequence: 3}, epoch)
	fleet.UpdateReport("10.0.0.0", placement.AgentReport{EngineStart: 1, LoadedVersion: 1, Switching: true, AgentStart: 7, Sequence: 2}, epoch)
	fleet.UpdateReport("10.0.0.0", placement.AgentReport{EngineStart: 1, LoadedVersion: 1, AgentStart: 6, Sequence: 9}, epoch)
	choice, found := fleet.Choose(placement.Requirements{Pool: "engines", Model: "m", MinVersion: 2}, epoch)
	c.Assert(found, qt.IsTrue)
	c.Assert(choice.Version, qt.Equals, int64(2))
	fleet.UpdateReport("10.0.0.0", placement.AgentReport{EngineStart: 9, AgentStart: 8, Sequence: 1}, epoch)
	_, found = fleet.Choose(placement.Requirements{Pool: "engines", Model: "m", MinVersion: 2}, epoch)
	c.Assert(found, qt.IsFalse, qt.Commentf("a report of a restarted agent is accepted"))
	reportAfterClockStep := placement.AgentReport{EngineStart: 1, LoadedVersion: 2, AgentStart: 5, Sequence: 1}
	fleet.UpdateReport("10.0.0.0", reportAfterClockStep, epoch.Add(time.Second))
	_, found = fleet.Choose(placement.Requirements{Pool: "engines", Model: "m", MinVersion: 2}, epoch)
	c.Assert(found, qt.IsFalse)
	fleet.UpdateReport("10.0.0.0", reportAfterClockStep, epoch.Add(4*time.Second))
	_, found = fleet.Choose(placement.Requirements{Pool: "engines", Model: "m", MinVersion: 2}, epoch)
	c.Assert(found, qt.IsTrue, qt.Commentf("the wall clock was set back before the last start"))
}

// TestRequestsPreferTheTargetVersion covers a release under full traffic: requests
// go to engines that will not interrupt them for a switch, unless the wait there is
// long.
func TestRequestsPreferTheTargetVersion(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	switched := backend(1)
	switched.LoadedVersions = map[string]int64{"m": 2}
	fleet.SetList([]catalog.Backend{backend(0), switched}, time.Time{}, epoch)
	duringRelease := need
	duringRelease.TargetVersion = 2
	choice, _ := fleet.Choose(duringRelease, epoch)
	c.Assert(choice.Backend.ID, qt.Equals, "i-01")
	fleet.UpdatePeerLoads("peer", map[string]placement.Load{"i-01": {Count: 4, PendingPromptTokens: 8000}}, true, epoch)
	choice, _ = fleet.Choose(duringRelease, epoch)
	c.Assert(choice.Backend.ID, qt.Equals, "i-00")
}

// TestLastAttemptAvoidsInstancesThatSwitch guards against streams that are aborted by a switch at
// two instances, which is the end of them, while an updated instance has a free slot.
func TestLastAttemptAvoidsInstancesThatSwitch(t *testing.T) {
	c := qt.New(t)
	// The second target was released while the instances switch to version 2: none has it yet.
	for _, target := range []int64{2, 3} {
		fleet := newFleet(1)
		listed := backends(6)
		listed[5].LoadedVersions = map[string]int64{"m": 2}
		fleet.SetList(listed, time.Time{}, epoch)
		need := placement.Requirements{Pool: "engines", Model: "m", TargetVersion: target, PromptTokens: 500, RandomizeChoice: true, AvoidSwitch: true}
		placed := 0
		for {
			choice, found := fleet.Choose(need, epoch)
			c.Assert(found, qt.IsTrue)
			if choice.Version != 2 {
				// All slots of the updated instance are in use: an older one is better than none.
				break
			}
			placed++
		}
		c.Assert(placed, qt.Equals, listed[5].Slots)
	}
}

func TestFailedInstanceIsAvoidedThenRetried(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(1), time.Time{}, epoch)
	choice, _ := fleet.Choose(need, epoch)
	fleet.AttemptFinished(choice, placement.Failed, epoch)
	_, found := fleet.Choose(need, epoch)
	c.Assert(found, qt.IsFalse)
	choice, found = fleet.Choose(need, epoch.Add(500*time.Millisecond))
	c.Assert(found, qt.IsTrue)
	fleet.AttemptFinished(choice, placement.Failed, epoch)
	_, found = fleet.Choose(need, epoch.Add(500*time.Millisecond))
	c.Assert(found, qt.IsFalse, qt.Commentf("the second backoff is longer"))
}

func TestAbortForSwitchIsNotAFailure(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(1), time.Time{}, epoch)
	choice, _ := fleet.Choose(need, epoch)
	fleet.UpdateReport("10.0.0.0", placement.AgentReport{EngineStart: 1, LoadedVersion: 1, Switching: true}, epoch)
	fleet.AttemptFinished(choice, placement.Failed, epoch)
	fleet.UpdateReport("10.0.0.0", placement.AgentReport{EngineStart: 1, LoadedVersion: 2}, epoch)
	_, found := fleet.Choose(need, epoch)
	c.Assert(found, qt.IsTrue)
}

func TestInstanceWithReusedAddressIsNotUsed(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(1), time.Time{}, epoch)
	choice, _ := fleet.Choose(need, epoch)
	fleet.AttemptFinished(choice, placement.AddressReused, epoch)
	_, found := fleet.Choose(need, epoch.Add(time.Minute))
	c.Assert(found, qt.IsFalse)
}

func TestSlowEngineGetsFewerRequests(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(2), time.Time{}, epoch)
	fleet.UpdateReport("10.0.0.0", placement.AgentReport{EngineStart: 1, LoadedVersion: 1, Slowdown: 4}, epoch)
	for range 3 {
		choice, _ := fleet.Choose(need, epoch)
		c.Assert(choice.Backend.ID, qt.Equals, "i-01")
	}
}

// TestOverloadKeepsAnswersOnTime covers a fleet that has lost most engines: the
// remaining ones accept only the requests that they can start in time, not as
// many as they have slots.
func TestOverloadKeepsAnswersOnTime(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(1), time.Time{}, epoch)
	withMaxWait := need
	withMaxWait.MaxWait = 400 * time.Millisecond
	accepted := 0
	for range 16 {
		if _, found := fleet.Choose(withMaxWait, epoch); found {
			accepted++
		}
	}
	// Two passes of 50 ms each, and 75 ms for each prompt.
	c.Assert(accepted, qt.Equals, 4)
	c.Assert(fleet.HasFreeSlot(withMaxWait, epoch), qt.IsFalse)
	_, found := fleet.Choose(need, epoch)
	c.Assert(found, qt.IsTrue, qt.Commentf("requests without a limit on the wait are accepted"))
}

// TestLongPromptIsNotStarved checks that an engine without other prompts to
// process accepts a prompt of any length.
func TestLongPromptIsNotStarved(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(1), time.Time{}, epoch)
	long := placement.Requirements{Pool: "engines", Model: "m", PromptTokens: 50_000, MaxWait: 400 * time.Millisecond}
	_, found := fleet.Choose(long, epoch)
	c.Assert(found, qt.IsTrue)
}

// TestEarlierStartsAtAnAddressAreNotUsed covers the recovery after all instances
// lost power: the list still contains the earlier starts.
func TestEarlierStartsAtAnAddressAreNotUsed(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	restarted := backend(0)
	restarted.ID, restarted.Start = "i-new", 9
	fleet.SetList([]catalog.Backend{backend(0), restarted, backend(1)}, time.Time{}, epoch)
	fleet.UpdateReport("10.0.0.1", placement.AgentReport{EngineStart: 9, LoadedVersion: 1}, epoch)
	for range 3 {
		choice, found := fleet.Choose(need, epoch)
		c.Assert(found, qt.IsTrue)
		c.Assert(choice.Backend.ID, qt.Equals, "i-new")
	}
}

// TestReservedSlotsStayFree checks that callers that retry leave the last slots of
// each instance to others.
func TestReservedSlotsStayFree(t *testing.T) {
	c := qt.New(t)
	fleet := placement.New(placement.Config{MaxPeerLoadAge: time.Second, Seed: 1})
	fleet.SetList([]catalog.Backend{{ID: "i-1", Pool: "p", Address: "10.0.0.1:80", Host: "10.0.0.1", Slots: 2}}, time.Time{}, epoch)
	need := placement.Requirements{Pool: "p", ReservedSlots: 2}
	placed := 0
	for _, found := fleet.Choose(need, epoch); found; _, found = fleet.Choose(need, epoch) {
		placed++
	}
	c.Assert(placed, qt.Equals, 2)
	need.ReservedSlots = 100
	c.Assert(fleet.HasFreeSlot(need, epoch), qt.IsFalse)
	need.ReservedSlots = 0
	for range 2 {
		c.Assert(fleet.HasFreeSlot(need, epoch), qt.IsTrue)
		_, found := fleet.Choose(need, epoch)
		c.Assert(found, qt.IsTrue)
	}
	c.Assert(fleet.HasFreeSlot(need, epoch), qt.IsFalse)
}

// TestExpiredInstanceIsReported covers an instance that is missing from the list at the
// end of an outage of the store: its removal is a change like any other.
func TestExpiredInstanceIsReported(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(2), time.Time{}, epoch)
	keepUntil := epoch.Add(2 * time.Second)
	fleet.SetList(backends(1), keepUntil, epoch)
	c.Assert(fleet.Expire(keepUntil.Add(-time.Millisecond)), qt.HasLen, 0)
	c.Assert(fleet.Expire(keepUntil), qt.DeepEquals, []placement.Change{{ID: "i-01", Pool: "engines", Kind: placement.Gone}})
	c.Assert(fleet.Expire(keepUntil), qt.HasLen, 0)
}
