package balance_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/balance"
	"plantainrelay/internal/member"
)

const (
	targetEntries   = 330
	targetInstances = 600
	targetZones     = 8
)

func zone(i int) string { return fmt.Sprintf("zone-%d", i%targetZones) }

func instances(count int) []member.Instance {
	var all []member.Instance
	for i := range count {
		all = append(all, member.Instance{Name: fmt.Sprintf("model-%d", i), AvailabilityZone: zone(i)})
	}
	return all
}

// TestEachInstanceIsWatchedByFewEntries checks at the target size that each instance is
// watched by an entry of its zone, and none by a large part of the entries.
func TestEachInstanceIsWatchedByFewEntries(t *testing.T) {
	c := qt.New(t)
	size := balance.SubsetSize{Local: 16, Remote: 4}
	watchers, local := map[string]int{}, map[string]int{}
	all := instances(targetInstances)
	for entry := range targetEntries {
		subset := balance.Subset(fmt.Sprintf("entry-%d", entry), zone(entry), all, size)
		c.Assert(subset, qt.HasLen, size.Local+size.Remote)
		for i, name := range subset {
			watchers[name]++
			if i < size.Local {
				local[name]++
			}
		}
	}
	for _, instance := range all {
		c.Check(local[instance.Name] > 0, qt.IsTrue, qt.Commentf("%s is watched by no entry of its zone", instance.Name))
		c.Check(watchers[instance.Name] <= 30, qt.IsTrue, qt.Commentf("%s is watched by %d entries", instance.Name, watchers[instance.Name]))
	}
}

// TestSubsetChangesLittle replaces one instance of the pool; at most one name of
// the subset may change.
func TestSubsetChangesLittle(t *testing.T) {
	c := qt.New(t)
	size := balance.SubsetSize{Local: 16, Remote: 4}
	all := instances(targetInstances)
	before := balance.Subset("entry-1", zone(1), all, size)
	all[9].Name = "model-new"
	after := map[string]bool{}
	for _, name := range balance.Subset("entry-1", zone(1), all, size) {
		after[name] = true
	}
	lost := 0
	for _, name := range before {
		if !after[name] {
			lost++
		}
	}
	c.Assert(lost <= 1, qt.IsTrue)
}

func TestSmallPoolIsWatchedCompletely(t *testing.T) {
	qt.Assert(t, balance.Subset("entry-1", "zone without instances", instances(20), balance.SubsetSize{Local: 16, Remote: 4}), qt.HasLen, 20)
}
