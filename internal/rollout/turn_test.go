package rollout_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/rollout"
)

var switchEpoch = time.Unix(1_000, 0)

// TestZoneSwitchesInBatches covers a release under full load. All instances of a
// zone hold the new version at the same time and must not switch together, since
// the zone would lose its capacity.
func TestZoneSwitchesInBatches(t *testing.T) {
	c := qt.New(t)
	limit := rollout.SwitchLimit{MaxFraction: 0.34, SwitchBy: switchEpoch.Add(time.Minute)}
	done := map[string]bool{}
	names := make([]string, 9)
	for i := range names {
		names[i] = fmt.Sprintf("10.0.0.%d", i)
	}
	rounds := 0
	for len(done) < len(names) {
		rounds++
		var switching []string
		for _, self := range names {
			if !done[self] && limit.Allows(self, "2", neighbors(names, self, done), switchEpoch) {
				switching = append(switching, self)
			}
		}
		c.Assert(len(switching) >= 1 && len(switching) <= 3, qt.IsTrue, qt.Commentf("round %d: %v", rounds, switching))
		for _, name := range switching {
			done[name] = true
		}
	}
	c.Assert(rounds, qt.Equals, 3)
}

func neighbors(names []string, self string, done map[string]bool) []rollout.Neighbor {
	var others []rollout.Neighbor
	for _, name := range names {
		if name != self {
			others = append(others, rollout.Neighbor{Name: name, Updated: done[name]})
		}
	}
	return others
}

func TestDeadlineOverridesSwitchLimit(t *testing.T) {
	c := qt.New(t)
	limit := rollout.SwitchLimit{MaxFraction: 0.1, SwitchBy: switchEpoch}
	names := []string{"a", "b", "c", "d"}
	for _, self := range names {
		c.Assert(limit.Allows(self, "2", neighbors(names, self, nil), switchEpoch), qt.IsTrue)
	}
}

func TestNeighborsNotServingAreIgnored(t *testing.T) {
	c := qt.New(t)
	limit := rollout.SwitchLimit{MaxFraction: 0.1, SwitchBy: switchEpoch.Add(time.Minute)}
	idle := []rollout.Neighbor{{Name: "a", NotServing: true}, {Name: "b", NotServing: true}}
	for _, self := range []string{"c", "0"} {
		c.Assert(limit.Allows(self, "2", idle, switchEpoch), qt.IsTrue)
	}
}

// TestNearlyCompleteVersionIsFinishedFirst covers a release that follows another
// one before that one serves. A version of which enough chunks are held is
// finished first.
func TestNearlyCompleteVersionIsFinishedFirst(t *testing.T) {
	c := qt.New(t)
	progress := rollout.Progress{Held: 30, Chunks: 64, LastChunkAt: switchEpoch, ServeBy: switchEpoch.Add(4 * time.Second)}
	c.Assert(progress.ShouldFinish(switchEpoch), qt.IsTrue)
	early := progress
	early.Held = 5
	c.Assert(early.ShouldFinish(switchEpoch), qt.IsFalse)
	c.Assert(progress.ShouldFinish(switchEpoch.Add(2*time.Second)), qt.IsFalse, qt.Commentf("no chunk for 2 s"))
	whole := progress
	whole.Held = 64
	c.Assert(whole.ShouldFinish(switchEpoch.Add(2*time.Second)), qt.IsTrue)
	c.Assert(whole.ShouldFinish(switchEpoch.Add(5*time.Second)), qt.IsFalse, qt.Commentf("the deadline has passed"))
}

// TestOlderWeightsSwitchFirst guards against instances with the oldest weights that wait for
// others and stay without requests, when releases follow each other.
func TestOlderWeightsSwitchFirst(t *testing.T) {
	c := qt.New(t)
	limit := rollout.SwitchLimit{MaxFraction: 0.34, SwitchBy: switchEpoch.Add(time.Minute), Served: 1}
	var newer []rollout.Neighbor
	for i := range 8 {
		newer = append(newer, rollout.Neighbor{Name: fmt.Sprintf("10.0.0.%d", i), Served: 2})
	}
	c.Assert(limit.Allows("10.0.0.9", "3", newer, switchEpoch), qt.IsTrue)
	limit.Served = 2
	older := make([]rollout.Neighbor, 8)
	for i, neighbor := range newer {
		older[i] = rollout.Neighbor{Name: neighbor.Name, Served: 1}
	}
	c.Assert(limit.Allows("10.0.0.9", "3", older, switchEpoch), qt.IsFalse)
}
