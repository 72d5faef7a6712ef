package propagate

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/member"
)

func newFleet(entries, agents, zones int) []member.Instance {
	var list []member.Instance
	add := func(role member.Role, count int) {
		for i := range count {
			list = append(list, member.Instance{
				Name: fmt.Sprintf("%s-%d", role, i), Role: role, State: member.StateLive,
				AvailabilityZone: fmt.Sprint("zone-", i%zones),
			})
		}
	}
	add(member.RoleEntry, entries)
	add(member.RoleAgent, agents)
	return list
}

func noneDown(string) bool { return false }

// countReachable counts the members that a change reaches along links from the first
// member, when those for which down returns true do not forward it.
func countReachable(list []member.Instance, down func(string) bool) int {
	topology := NewTopology(list)
	seen := map[string]bool{}
	queue := []member.Instance{list[0]}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		if seen[next.Name] || down(next.Name) {
			continue
		}
		seen[next.Name] = true
		queue = append(queue, topology.Links(next, down)...)
	}
	return len(seen)
}

func TestLinksReachAllAtAnySize(t *testing.T) {
	for _, size := range [][3]int{{1, 0, 1}, {2, 0, 2}, {2, 3, 2}, {8, 20, 3}, {330, 1600, 8}, {0, 30, 3}} {
		list := newFleet(size[0], size[1], size[2])
		qt.Check(t, countReachable(list, noneDown), qt.Equals, len(list), qt.Commentf("%v", size))
	}
}

func TestLinkCountIsBoundedAtAnySize(t *testing.T) {
	list := newFleet(330, 1600, 8)
	topology := NewTopology(list)
	calls := 0
	for _, instance := range list {
		links := topology.Links(instance, noneDown)
		qt.Assert(t, len(links) <= ringsPerZone+7, qt.IsTrue)
		calls += len(links)
	}
	qt.Check(t, calls <= (ringsPerZone+1)*len(list), qt.IsTrue, qt.Commentf("%d links", calls))
}

func TestLinksAvoidFailedPeers(t *testing.T) {
	list := newFleet(64, 300, 8)
	down := func(name string) bool { return name != list[0].Name && hash("down", name)%4 == 0 }
	up := 0
	for _, instance := range list {
		if !down(instance.Name) {
			up++
		}
	}
	qt.Check(t, countReachable(list, down), qt.Equals, up)
}

func TestReaderCountIsIndependentOfFleetSize(t *testing.T) {
	for _, size := range [][2]int{{8, 20}, {80, 400}, {330, 1600}} {
		list := newFleet(size[0], size[1], 8)
		watchers, readers, withoutReads := map[string]int{}, map[string]int{}, map[string]int{}
		for _, instance := range list {
			if ShouldWatchStore(instance, list, 0, 0) {
				watchers[instance.AvailabilityZone]++
			}
			if ShouldReadList(instance, list, 0) {
				readers[instance.AvailabilityZone]++
			}
			if ShouldReadList(instance, list, time.Hour) {
				withoutReads[instance.AvailabilityZone]++
			}
		}
		for zone := range readers {
			qt.Check(t, watchers[zone] <= watchersPerZone, qt.IsTrue)
			qt.Check(t, readers[zone] <= listReadersPerZone, qt.IsTrue)
			qt.Check(t, withoutReads[zone] <= maxListReadersPerZone, qt.IsTrue)
			qt.Check(t, watchers[zone] > 0 && readers[zone] > 0, qt.IsTrue)
		}
	}
}

func TestAnswerSentBeforePauseIsIgnored(t *testing.T) {
	now := time.Unix(0, 0)
	freshness := NewFreshness(now)
	freshness.RecordRevision(1)
	before := freshness.Epoch()
	now = now.Add(time.Minute)
	for _, peer := range []string{"a", "b", "c", "d"} {
		freshness.Answered(Answer{Peer: peer, Revision: 1, Current: true, Epoch: before}, now)
	}
	qt.Check(t, freshness.State(), qt.Equals, Comparing)
	for _, peer := range []string{"a", "b"} {
		freshness.Answered(Answer{Peer: peer, Revision: 2, Current: true, Epoch: freshness.Epoch()}, now)
	}
	qt.Check(t, freshness.State(), qt.Equals, Comparing, qt.Commentf("a newer revision is missing"))
	freshness.RecordRevision(2)
	qt.Check(t, freshness.State(), qt.Equals, Current)
}
