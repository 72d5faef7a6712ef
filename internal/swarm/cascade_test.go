package swarm_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/swarm"
	"plantainrelay/internal/weights"
)

var (
	tieredEpoch   = time.Unix(1_000, 0)
	tieredConfig  = swarm.TieredConfig{MaxInFlight: 2, InitialBackoff: 100 * time.Millisecond, AbsentRetryDelay: 300 * time.Millisecond}
	tieredSources = swarm.Sources{NearDepots: []string{"d1", "d2"}, FarDepots: []string{"d3"}, NearPeers: []string{"p1"}, FarPeers: []string{"p2"}}
)

func newTieredPlan(chunks int) *swarm.TieredPlan {
	c := swarm.NewTieredPlan(tieredConfig, chunks, weights.NewBitmap(chunks))
	c.SetSources(tieredSources)
	return c
}

func TestInstancesFetchInTheSameOrder(t *testing.T) {
	c := qt.New(t)
	a, b := newTieredPlan(8), newTieredPlan(8)
	first := a.Next(tieredEpoch)
	c.Assert(first, qt.DeepEquals, b.Next(tieredEpoch))
	c.Assert(first, qt.HasLen, 2)
	c.Assert(first[0].Chunk, qt.Equals, 0)
	c.Assert(a.Next(tieredEpoch), qt.HasLen, 0, qt.Commentf("MaxInFlight fetches are in progress"))
}

// TestReleaseInALargeZone covers a release in an availability zone with many more
// instances than depots. A depot's link has only a few times the bandwidth of
// an instance's link, so a depot that all instances ask for the same chunk
// would delay the whole zone.
func TestReleaseInALargeZone(t *testing.T) {
	const (
		instances, depots, chunks = 33, 14, 64
		// sendsPerTurn is the number of chunks that a depot sends while an
		// instance receives one.
		sendsPerTurn = 3
		// bound limits the number of turns. The link of an instance alone needs
		// as many turns as there are chunks.
		bound = chunks * 5 / 4
	)
	plans, waiting := make([]*swarm.TieredPlan, instances), make([][]swarm.Fetch, instances)
	for i := range plans {
		sources := swarm.Sources{ZoneIndex: i}
		for depot := range depots {
			sources.NearDepots = append(sources.NearDepots, fmt.Sprintf("10.0.1.%d", depot))
		}
		plans[i] = swarm.NewTieredPlan(tieredConfig, chunks, weights.NewBitmap(chunks))
		plans[i].SetSources(sources)
	}
	turns := 0
	for complete := 0; complete < instances; turns++ {
		complete = 0
		sent := map[string]int{}
		for i, plan := range plans {
			waiting[i] = append(waiting[i], plan.Next(tieredEpoch)...)
			served := slices.IndexFunc(waiting[i], func(fetch swarm.Fetch) bool { return sent[fetch.Source] < sendsPerTurn })
			if served >= 0 {
				fetch := waiting[i][served]
				sent[fetch.Source]++
				plan.FinishFetch(fetch, swarm.Verified, tieredEpoch)
				waiting[i] = slices.Delete(waiting[i], served, served+1)
			}
			if plan.Complete() {
				complete++
			}
		}
	}
	qt.Assert(t, turns <= bound, qt.IsTrue, qt.Commentf("%d turns", turns))
}

func TestEveryChunkIsFetched(t *testing.T) {
	c := qt.New(t)
	plan := newTieredPlan(8)
	now := tieredEpoch
	for range 100 {
		for _, fetch := range plan.Next(now) {
			plan.FinishFetch(fetch, swarm.Verified, now)
		}
	}
	c.Assert(plan.Complete(), qt.IsTrue)
}

// TestTierOrderWhenSourcesFail checks the order of the tiers when every source
// fails: near depots, near peers, far depots, far peers, the origin.
func TestTierOrderWhenSourcesFail(t *testing.T) {
	c := qt.New(t)
	plan := newTieredPlan(1)
	var asked []string
	for range 6 {
		fetches := plan.Next(tieredEpoch)
		c.Assert(fetches, qt.HasLen, 1)
		asked = append(asked, fetches[0].Source)
		plan.FinishFetch(fetches[0], swarm.Failed, tieredEpoch)
	}
	c.Assert(asked[2:], qt.DeepEquals, []string{"p1", "d3", "p2", swarm.Origin})
	c.Assert(plan.Next(tieredEpoch), qt.HasLen, 0)
	c.Assert(plan.Next(tieredEpoch.Add(time.Second)), qt.HasLen, 1)
}

// TestOriginIsNotAskedWhileADepotIsReachable guards against load on the origin
// from every instance. A depot that lacks a chunk asks the origin itself.
func TestOriginIsNotAskedWhileADepotIsReachable(t *testing.T) {
	c := qt.New(t)
	plan := newTieredPlan(1)
	var asked []string
	for {
		fetches := plan.Next(tieredEpoch)
		if len(fetches) == 0 {
			break
		}
		c.Assert(fetches[0].Source, qt.Not(qt.Equals), swarm.Origin)
		asked = append(asked, fetches[0].Source)
		plan.FinishFetch(fetches[0], swarm.Absent, tieredEpoch)
	}
	// The answer of one depot stands for all depots.
	c.Assert(asked, qt.DeepEquals, []string{"d1", "p1", "p2"})
	c.Assert(plan.Next(tieredEpoch.Add(tieredConfig.AbsentRetryDelay)), qt.HasLen, 1)
}

// TestMissingChunksDoNotBlockOthers covers an origin that fails in the middle
// of a release. The chunks that the depots already hold must still be fetched.
func TestMissingChunksDoNotBlockOthers(t *testing.T) {
	const chunks, held = 64, 40
	plan := newTieredPlan(chunks)
	now := tieredEpoch
	for range 4 * chunks {
		for _, fetch := range plan.Next(now) {
			outcome := swarm.Absent
			// The chunks that are requested first are the missing ones.
			if fetch.Chunk >= chunks-held && strings.HasPrefix(fetch.Source, "d") {
				outcome = swarm.Verified
			}
			plan.FinishFetch(fetch, outcome, now)
		}
		now = now.Add(150 * time.Millisecond)
	}
	qt.Assert(t, plan.Held(), qt.Equals, held)
}

func TestCorruptSourceIsAvoidedForLonger(t *testing.T) {
	c := qt.New(t)
	plan := newTieredPlan(1)
	first := plan.Next(tieredEpoch)[0]
	plan.FinishFetch(first, swarm.Corrupt, tieredEpoch)
	again := plan.Next(tieredEpoch.Add(2 * tieredConfig.InitialBackoff))[0]
	c.Assert(again.Source, qt.Not(qt.Equals), first.Source)
}
