package swarm_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/swarm"
	"plantainrelay/internal/weights"
)

var (
	cascadeEpoch  = time.Unix(1_000, 0)
	cascadeConfig = swarm.CascadeConfig{MaxInFlight: 2, Penalty: 100 * time.Millisecond, AbsentFor: 300 * time.Millisecond}
	cascadeFrom   = swarm.Sources{NearDepots: []string{"d1", "d2"}, FarDepots: []string{"d3"}, NearPeers: []string{"p1"}, FarPeers: []string{"p2"}}
)

func newCascade(chunks int) *swarm.Cascade {
	c := swarm.NewCascade(cascadeConfig, chunks, weights.NewBitmap(chunks))
	c.SetSources(cascadeFrom)
	return c
}

func TestInstancesAskInTheSameOrder(t *testing.T) {
	c := qt.New(t)
	a, b := newCascade(8), newCascade(8)
	first := a.Next(cascadeEpoch)
	c.Assert(first, qt.DeepEquals, b.Next(cascadeEpoch))
	c.Assert(first, qt.HasLen, 2)
	c.Assert(first[0].Chunk, qt.Equals, 0)
	c.Assert(a.Next(cascadeEpoch), qt.HasLen, 0, qt.Commentf("two are in progress"))
}

func TestAllChunksArriveInTheEnd(t *testing.T) {
	c := qt.New(t)
	cascade := newCascade(8)
	now := cascadeEpoch
	for range 100 {
		for _, fetch := range cascade.Next(now) {
			cascade.Finish(fetch, swarm.Verified, now)
		}
	}
	c.Assert(cascade.Complete(), qt.IsTrue)
}

// TestSourcesFailInTurn walks the tiers: depots near by, instances near by,
// depots elsewhere, instances elsewhere, the origin.
func TestSourcesFailInTurn(t *testing.T) {
	c := qt.New(t)
	cascade := newCascade(1)
	var asked []string
	for range 6 {
		fetches := cascade.Next(cascadeEpoch)
		c.Assert(fetches, qt.HasLen, 1)
		asked = append(asked, fetches[0].Source)
		cascade.Finish(fetches[0], swarm.Failed, cascadeEpoch)
	}
	c.Assert(asked[2:], qt.DeepEquals, []string{"p1", "d3", "p2", swarm.Origin})
	c.Assert(cascade.Next(cascadeEpoch), qt.HasLen, 0)
	c.Assert(cascade.Next(cascadeEpoch.Add(time.Second)), qt.HasLen, 1)
}

// TestOriginIsNotAskedBesideADepotThatAnswers: a depot that lacks the chunk asks
// the origin itself.
func TestOriginIsNotAskedBesideADepotThatAnswers(t *testing.T) {
	c := qt.New(t)
	cascade := newCascade(1)
	for range 5 {
		fetches := cascade.Next(cascadeEpoch)
		c.Assert(fetches, qt.HasLen, 1)
		c.Assert(fetches[0].Source, qt.Not(qt.Equals), swarm.Origin)
		cascade.Finish(fetches[0], swarm.Absent, cascadeEpoch)
	}
	c.Assert(cascade.Next(cascadeEpoch), qt.HasLen, 0)
	c.Assert(cascade.Next(cascadeEpoch.Add(cascadeConfig.AbsentFor)), qt.HasLen, 1)
}

func TestCorruptSourceIsAvoidedForLonger(t *testing.T) {
	c := qt.New(t)
	cascade := newCascade(1)
	first := cascade.Next(cascadeEpoch)[0]
	cascade.Finish(first, swarm.Corrupt, cascadeEpoch)
	again := cascade.Next(cascadeEpoch.Add(2 * cascadeConfig.Penalty))[0]
	c.Assert(again.Source, qt.Not(qt.Equals), first.Source)
}
