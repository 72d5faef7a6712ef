package member

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_000_000, 0)

func agents(from, to int) *List {
	list := &List{}
	for i := from; i < to; i++ {
		list.Instances = append(list.Instances, Instance{Name: fmt.Sprintf("agent-%02d", i), Role: RoleAgent, State: StateLive})
	}
	return list
}

func instanceCount(list *List) int { return len(list.Instances) }

func TestInstanceRemovedFromListIsGone(t *testing.T) {
	registry := NewRegistry()
	registry.Update(agents(0, 10), start)
	registry.Update(agents(1, 10), start)
	qt.Check(t, instanceCount(registry.List()), qt.Equals, 9)
	qt.Check(t, registry.Status("agent-00", start), qt.Equals, PeerStatus(""))
}

func TestFailedCallsDoNotRemoveListedInstance(t *testing.T) {
	registry := NewRegistry()
	registry.Update(agents(0, 10), start)
	for range 100 {
		registry.Failed("agent-03")
	}
	registry.Expire(start.Add(time.Hour))
	qt.Check(t, registry.Status("agent-03", start), qt.Equals, StatusUnreachable)
	qt.Check(t, instanceCount(registry.List()), qt.Equals, 10)
	registry.Answered("agent-03", 1, start)
	qt.Check(t, registry.Status("agent-03", start), qt.Equals, StatusGood)
}

func TestLargeShrinkOfListKeepsInstances(t *testing.T) {
	registry := NewRegistry()
	registry.Update(agents(0, 10), start)
	for _, instance := range registry.List().Instances {
		registry.Answered(instance.Name, 7, start)
	}
	registry.Update(&List{}, start.Add(time.Second))
	qt.Check(t, instanceCount(registry.List()), qt.Equals, 10)

	later := start.Add(keptTimeout + 2*time.Second)
	registry.Answered("agent-00", 7, later)
	registry.Failed("agent-01")
	registry.Failed("agent-01")
	registry.Expire(later)
	qt.Check(t, registry.Status("agent-00", later), qt.Equals, StatusKept)
	qt.Check(t, registry.Status("agent-01", later), qt.Equals, PeerStatus(""))
	qt.Check(t, registry.Status("agent-02", later), qt.Equals, PeerStatus(""), qt.Commentf("no answer since its removal from the list"))

	registry.Update(agents(0, 2), later)
	qt.Check(t, registry.Status("agent-00", later), qt.Equals, StatusGood)
	qt.Check(t, instanceCount(registry.List()), qt.Equals, 2)
}

func TestLeavingInstancesAreRemovedInAnyNumber(t *testing.T) {
	registry := NewRegistry()
	leaving := agents(0, 10)
	for i := range leaving.Instances {
		leaving.Instances[i].State = StateLeaving
	}
	registry.Update(leaving, start)
	registry.Update(&List{}, start)
	qt.Check(t, instanceCount(registry.List()), qt.Equals, 0)
}

func TestNewIncarnationIsNotTheKeptInstance(t *testing.T) {
	registry := NewRegistry()
	registry.Update(agents(0, 10), start)
	qt.Check(t, registry.Answered("agent-04", 1, start), qt.IsFalse)
	registry.Update(&List{}, start)
	qt.Check(t, registry.Answered("agent-04", 2, start), qt.IsTrue)
	qt.Check(t, registry.Status("agent-04", start), qt.Equals, StatusUnlisted)
}

func TestReachableButUnlistedIsReported(t *testing.T) {
	registry := NewRegistry()
	registry.Update(agents(0, 3), start)
	registry.Answered("agent-77", 5, start)
	qt.Check(t, registry.Unlisted(start), qt.DeepEquals, []string{"agent-77"})
	later := start.Add(observationTTL)
	registry.Update(agents(0, 3), later)
	qt.Check(t, registry.Unlisted(later), qt.HasLen, 0)
}

func TestReplicatedListsConverge(t *testing.T) {
	var a, b ReplicatedList
	qt.Check(t, a.ApplyRead(agents(0, 50), 1000), qt.IsTrue)
	qt.Check(t, b.Merge(a.Newer(b.Stamps())), qt.IsTrue)
	_, hashA := a.Digest()
	_, hashB := b.Digest()
	qt.Check(t, hashA, qt.Equals, hashB)
	qt.Check(t, b.List(), qt.DeepEquals, a.List())

	a.ApplyRead(agents(1, 50), 2000)
	parts := a.Newer(b.Stamps())
	qt.Check(t, parts, qt.HasLen, 1, qt.Commentf("one change transfers one part"))
	b.Merge(parts)
	qt.Check(t, b.List(), qt.DeepEquals, a.List())
	qt.Check(t, b.Merge(parts), qt.IsFalse, qt.Commentf("a repeated part changes nothing"))
}

func TestStaleReadDoesNotRevertNewerChange(t *testing.T) {
	var fast, slow ReplicatedList
	fast.ApplyRead(agents(0, 5), 1000)
	slow.Merge(fast.Newer(nil))
	slow.ApplyRead(agents(0, 5), 1100)
	fast.ApplyRead(agents(1, 5), 2000)
	slow.Merge(fast.Newer(slow.Stamps()))
	// The slow reader still gets a stale list from the platform.
	qt.Check(t, slow.ApplyRead(agents(0, 5), 2100), qt.IsFalse)
	qt.Check(t, len(slow.List().Instances), qt.Equals, 4)
	// After repeated reads, the list from the platform replaces the merged one.
	slow.ApplyRead(agents(0, 5), 4100)
	qt.Check(t, slow.ApplyRead(agents(0, 5), 6100), qt.IsTrue)
	qt.Check(t, len(slow.List().Instances), qt.Equals, 5)
}

func TestReaderWithWrongClockDoesNotBlockUpdates(t *testing.T) {
	var wrong, right ReplicatedList
	wrong.ApplyRead(agents(0, 5), 9_000_000)
	right.Merge(wrong.Newer(nil))
	right.ApplyRead(agents(0, 5), 1000)
	qt.Check(t, right.ApplyRead(agents(1, 5), 2000), qt.IsTrue)
	qt.Check(t, wrong.Merge(right.Newer(wrong.Stamps())), qt.IsTrue)
	qt.Check(t, len(wrong.List().Instances), qt.Equals, 4)
}
