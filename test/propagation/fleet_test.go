package propagation

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/propagate"
)

// targetConfig returns the configuration of a fleet of the size that the system is
// designed for.
func targetConfig(seed uint64) Config {
	return Config{Entries: 330, Agents: 1600, Zones: 8, Regions: 3, Interval: 2 * time.Second, LossRate: 0.01, Seed: seed}
}

// propagationTimes accepts edits one after the other and returns the sorted times
// that the nodes took to apply them. An edit that a node did not apply counts as an
// hour.
func propagationTimes(f *Fleet, edits int) []time.Duration {
	var times []time.Duration
	for i := range edits {
		accepted := f.Now()
		revision := f.AcceptEdit(f.Nodes[(i*37)%f.config.Entries])
		f.RunUntil(30*time.Second, func() bool { return f.AllHold(revision) })
		for _, node := range f.Nodes {
			if node.Revision < revision {
				times = append(times, time.Hour)
				continue
			}
			times = append(times, node.AppliedAt.Sub(accepted))
		}
		f.Run(500 * time.Millisecond)
	}
	slices.Sort(times)
	return times
}

func percentile(sorted []time.Duration, fraction float64) time.Duration {
	return sorted[int(fraction*float64(len(sorted)-1))]
}

func TestAcceptedEditIsInForceWithinTheBound(t *testing.T) {
	f := New(targetConfig(1))
	f.Run(5 * time.Second)
	took := propagationTimes(f, 10)
	t.Logf("p50 %v p99 %v max %v", percentile(took, 0.5), percentile(took, 0.99), took[len(took)-1])
	qt.Check(t, percentile(took, 0.99) <= 2*time.Second, qt.IsTrue, qt.Commentf("p99 %v", percentile(took, 0.99)))
	qt.Check(t, took[len(took)-1] <= 6*time.Second, qt.IsTrue, qt.Commentf("max %v", took[len(took)-1]))
}

func TestEditBypassesPartitionBetweenRegions(t *testing.T) {
	for _, pair := range [][2]string{{"region-0", "region-1"}, {"region-1", "region-2"}} {
		f := New(targetConfig(2))
		f.Run(5 * time.Second)
		f.Cut(pair[0], pair[1])
		took := propagationTimes(f, 10)
		t.Logf("%v: p50 %v p99 %v max %v", pair, percentile(took, 0.5), percentile(took, 0.99), took[len(took)-1])
		qt.Check(t, took[len(took)-1] <= 6*time.Second, qt.IsTrue, qt.Commentf("%v: max %v", pair, took[len(took)-1]))
	}
}

func TestEditPropagatesWhileStoreIsDown(t *testing.T) {
	f := New(targetConfig(3))
	f.StoreDown = true
	f.Run(5 * time.Second)
	took := propagationTimes(f, 5)
	qt.Check(t, took[len(took)-1] <= 6*time.Second, qt.IsTrue, qt.Commentf("max %v", took[len(took)-1]))
}

func TestAllEntriesReplacedRecoverFromAgents(t *testing.T) {
	f := New(targetConfig(4))
	f.Run(5 * time.Second)
	revision := f.AcceptEdit(f.Nodes[0])
	f.Run(6 * time.Second)
	f.StoreDown = true
	for _, node := range f.Nodes[:f.config.Entries] {
		f.Replace(node)
	}
	f.Run(6 * time.Second)
	for _, node := range f.Nodes {
		qt.Assert(t, node.Revision, qt.Equals, revision, qt.Commentf("%s", node.Instance.Name))
		qt.Assert(t, node.State(), qt.Equals, propagate.Current, qt.Commentf("%s", node.Instance.Name))
	}
}

func TestPausedProcessDoesNotServeOldTables(t *testing.T) {
	f := New(targetConfig(5))
	f.Run(5 * time.Second)
	paused := f.Nodes[7]
	f.Pause(paused)
	revision := f.AcceptEdit(f.Nodes[0])
	f.Run(time.Minute)
	f.Observe = func() {
		if paused.Serves(f.Now()) && paused.Revision < revision {
			t.Fatalf("the node serves revision %d after a pause; %d is in force", paused.Revision, revision)
		}
	}
	f.Resume(paused)
	f.Observe()
	waited := f.RunUntil(10*time.Second, func() bool { return paused.Serves(f.Now()) })
	qt.Check(t, paused.State(), qt.Equals, propagate.Current)
	qt.Check(t, waited <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", waited))
}

func TestIsolatedProcessServesCurrentTables(t *testing.T) {
	f := New(Config{Entries: 6, Agents: 3, Zones: 3, Regions: 3, Interval: 2 * time.Second, Seed: 6})
	f.Run(5 * time.Second)
	isolated := f.Nodes[0]
	f.Pause(isolated)
	f.Run(10 * time.Second)
	f.Cut("region-0", "region-0")
	f.Cut("region-0", "region-1")
	f.Cut("region-0", "region-2")
	f.Resume(isolated)
	f.Run(100 * time.Millisecond)
	qt.Check(t, isolated.State(), qt.Equals, propagate.Comparing)
	f.Run(5 * time.Second)
	qt.Check(t, isolated.State(), qt.Equals, propagate.Isolated)
	revision := f.AcceptEdit(f.Nodes[1])
	f.HealPartitions()
	f.Observe = func() {
		if isolated.Serves(f.Now()) && isolated.Revision < revision {
			t.Fatalf("the node serves revision %d; reachable peers hold %d", isolated.Revision, revision)
		}
	}
	f.RunUntil(10*time.Second, func() bool { return isolated.State() == propagate.Current })
	qt.Check(t, isolated.Revision, qt.Equals, revision)
}

func TestListChangeReachesTheZone(t *testing.T) {
	f := New(targetConfig(7))
	f.Run(5 * time.Second)
	f.ChangeList(f.Nodes[11])
	f.Run(4 * time.Second)
	for _, node := range f.Nodes {
		if node.Instance.AvailabilityZone != f.Nodes[11].Instance.AvailabilityZone {
			continue
		}
		qt.Assert(t, node.ListStamp, qt.Equals, f.Nodes[11].ListStamp, qt.Commentf("%s", node.Instance.Name))
	}
}
