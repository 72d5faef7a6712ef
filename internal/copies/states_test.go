package copies

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
)

// TestUnusedCollectionsAreNotInMessages guards against messages that grow by a collection which
// the deployment does not use, and against states that move to another collection.
func TestUnusedCollectionsAreNotInMessages(t *testing.T) {
	c := qt.New(t)
	for _, kinds := range [][]platform.Kind{platform.Kinds, platform.Kinds[:4], {platform.Kinds[0], platform.Kinds[2]}} {
		held := New(Config{Kinds: kinds, Log: testLog(), Changed: func(platform.Kind) {}})
		last := kinds[len(kinds)-1]
		held.ApplyFromPeer(last, replica.Change{Whole: true, AsOf: replica.Revision{Number: 7}, Documents: []replica.Document{{Name: "a", Revision: replica.Revision{Number: 7}}}}, clock.Now(), "peer")
		states := CollectionStates(held)
		c.Assert(platform.Kinds[len(states)-1], qt.Equals, last)
		c.Assert(states[len(states)-1].Known, qt.IsTrue)
		c.Assert(states[len(states)-1].Content, qt.Equals, int64(7))
	}
}
