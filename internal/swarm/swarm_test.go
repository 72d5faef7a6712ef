package swarm_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plantainrelay/bench/weights/core"
	"plantainrelay/internal/swarm"
	"plantainrelay/internal/weights"
)

var epoch = time.Unix(1000, 0)

func members(count, zones, regions int) []swarm.Member {
	var list []swarm.Member
	for i := range count {
		z := i % zones
		list = append(list, swarm.Member{
			Name:             fmt.Sprintf("model-%d", i),
			AvailabilityZone: fmt.Sprintf("zone-%d", z),
			Region:           fmt.Sprintf("region-%d", z%regions),
		})
	}
	return list
}

// TestLayoutReachesEveryMemberOnce traverses the tree of a chunk from its root.
// Every member is reached exactly once, through its parent.
func TestLayoutReachesEveryMemberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 8).Draw(t, "zones")
		list := members(rapid.IntRange(zones, 300).Draw(t, "members"), zones, rapid.IntRange(1, zones).Draw(t, "regions"))
		layout := swarm.NewLayout(list)
		chunk := rapid.IntRange(0, 4000).Draw(t, "chunk")
		reached := map[string]bool{layout.Root(chunk): true}
		for queue := []string{layout.Root(chunk)}; len(queue) > 0; queue = queue[1:] {
			for _, child := range layout.Children(queue[0], chunk) {
				if reached[child] || layout.Parent(child, chunk) != queue[0] {
					t.Fatalf("%s is reached twice or has a different parent", child)
				}
				reached[child] = true
				queue = append(queue, child)
			}
		}
		if len(reached) != len(list) || layout.Parent(layout.Root(chunk), chunk) != swarm.Origin {
			t.Fatalf("%d of %d members are reached, or the root is not served by the origin", len(reached), len(list))
		}
	})
}

// TestDistributionTargetsWithoutFaults checks the limits on origin copies, zone
// crossings, uploads and time for fleets of the sizes of both operators and for
// larger ones.
func TestDistributionTargetsWithoutFaults(t *testing.T) {
	for _, n := range []int{1, 2, 4, 14, 16, 100, 200} {
		result := core.Run(core.DefaultConfig(n, 7))
		comment := qt.Commentf("N=%d: %+v", n, result)
		qt.Check(t, result.Complete, qt.Equals, n, comment)
		qt.Check(t, result.OriginCopies <= 1.3, qt.IsTrue, comment)
		qt.Check(t, result.MaxCrossings <= 1.1, qt.IsTrue, comment)
		qt.Check(t, result.MaxUploads <= 1.2, qt.IsTrue, comment)
		qt.Check(t, result.Time <= 1.5, qt.IsTrue, comment)
	}
}

// TestEveryLiveInstanceCompletes simulates up to 200 instances with dead members,
// crashes during the distribution and corrupted transfers.
func TestEveryLiveInstanceCompletes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := core.DefaultConfig(rapid.IntRange(1, 200).Draw(t, "instances"), rapid.Uint64().Draw(t, "seed"))
		config.Chunks = rapid.IntRange(1, 24).Draw(t, "chunks")
		config.DeadShare = rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "dead")
		config.FailShare = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "failing")
		config.FailAt = time.Duration(rapid.IntRange(1, 150).Draw(t, "at")) * time.Second
		config.CorruptShare = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "corrupt")
		config.MaxStartDelay = time.Duration(rapid.IntRange(0, 30).Draw(t, "start delay")) * time.Second
		config.TimeLimit = 100 * time.Hour
		if result := core.Run(config); result.Complete != result.Live {
			t.Fatalf("%+v", result)
		}
	})
}

// TestOriginDownAfterAThird stops the origin after a third of the chunks. No
// instance may complete, and no more than that third may be fetched from the
// origin.
func TestOriginDownAfterAThird(t *testing.T) {
	config := core.DefaultConfig(40, 3)
	config.OriginStopsAfter = 1.0 / 3
	config.Chunks, config.TimeLimit = 96, 150*time.Second
	result := core.Run(config)
	qt.Assert(t, result.Complete, qt.Equals, 0)
	qt.Assert(t, result.OriginCopies <= 0.34, qt.IsTrue)
}

func plan(self string, list []swarm.Member, chunks int) *swarm.Plan {
	config := core.DefaultPlan(0)
	config.Self = self
	return swarm.New(config, swarm.NewLayout(list), chunks, nil, epoch)
}

// TestSingleInstanceFetchesFromOrigin checks that a single instance fetches from
// the origin without waiting for a member list, a tracker or a peer.
func TestSingleInstanceFetchesFromOrigin(t *testing.T) {
	p := plan("model-0", members(1, 1, 1), 3)
	step := p.Next(epoch)
	qt.Assert(t, step.Fetches, qt.HasLen, 3)
	for _, fetch := range step.Fetches {
		qt.Assert(t, fetch.Source, qt.Equals, swarm.Origin)
		p.FinishFetch(fetch, swarm.Verified, epoch)
	}
	qt.Assert(t, p.Complete(), qt.IsTrue)
}

// TestCorruptChunkIsFetchedFromAnotherSource checks that the source of a corrupt
// chunk is in backoff and that another holder is used.
func TestCorruptChunkIsFetchedFromAnotherSource(t *testing.T) {
	list := members(3, 1, 1)
	chunk := 0
	layout := swarm.NewLayout(list)
	child := ""
	for _, member := range list {
		if layout.Parent(member.Name, chunk) != swarm.Origin {
			child = member.Name
		}
	}
	p := plan(child, list, 1)
	now := epoch.Add(time.Minute)
	full := weights.Bitmap{1}
	for _, member := range list {
		if member.Name != child {
			p.RecordAnswer(member.Name, full, now)
		}
	}
	first := p.Next(now).Fetches
	qt.Assert(t, first, qt.HasLen, 1)
	p.FinishFetch(first[0], swarm.Corrupt, now)
	second := p.Next(now).Fetches
	qt.Assert(t, second, qt.HasLen, 1)
	qt.Assert(t, second[0].Source, qt.Not(qt.Equals), first[0].Source)
	qt.Assert(t, p.Corrupt(), qt.Equals, 1)
}

// TestOriginBackoffGrowsWithFailures checks that the backoff grows with
// consecutive failures of the origin.
func TestOriginBackoffGrowsWithFailures(t *testing.T) {
	p := plan("model-0", members(1, 1, 1), 1)
	now, calls := epoch, 0
	for now.Before(epoch.Add(time.Minute)) {
		for _, fetch := range p.Next(now).Fetches {
			calls++
			p.FinishFetch(fetch, swarm.Failed, now)
		}
		now = now.Add(50 * time.Millisecond)
	}
	qt.Assert(t, calls > 2 && calls < 12, qt.IsTrue, qt.Commentf("%d calls in a minute", calls))
}

// TestGrantWaitsForAMemberThatStartsLater covers a release that reaches one member a
// moment before the next: a grant that is withheld from the other one leaves its chunk to
// the takeover delay, for which the whole pool waits.
func TestGrantWaitsForAMemberThatStartsLater(t *testing.T) {
	const window = 16
	list := members(4, 2, 1)
	layout := swarm.NewLayout(list)
	granted := 0
	for chunk := range window {
		self, other := layout.Root(chunk), layout.Root(chunk+window)
		if self == other {
			continue
		}
		for _, reached := range []bool{true, false} {
			p := plan(self, list, 2*window)
			p.RecordAskFailure(other, reached, epoch)
			p.FinishFetch(swarm.Fetch{Chunk: chunk, Source: swarm.Origin}, swarm.Verified, epoch)
			found := false
			for _, offer := range p.Next(epoch).Offers {
				found = found || offer.To == other && len(offer.OriginGrants) == 1 && offer.OriginGrants[0] == chunk+window
			}
			qt.Assert(t, found, qt.Equals, reached)
			granted++
		}
	}
	qt.Assert(t, granted > 0, qt.IsTrue)
}
