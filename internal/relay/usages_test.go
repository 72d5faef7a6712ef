package relay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"plantainrelay/internal/admission"
	"plantainrelay/internal/beat"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
)

// contend makes a request of the pool wait.
func contend(g *scheduler, pool string, now time.Time) {
	queue := g.queue(pool)
	queue.Offer(admission.Ticket{ID: 1, Customer: "waiting", Deadline: now.Add(time.Minute), StartBy: now.Add(time.Minute)}, now)
	queue.NextFair(func(uint64, admission.Terms) bool { return false }, now)
}

// TestUsageInHeartbeatsIsBounded guards against heartbeats that grow with the customers and
// pools of the tables.
func TestUsageInHeartbeatsIsBounded(t *testing.T) {
	c := qt.New(t)
	now := clock.Now()
	g := newScheduler(placement.New(placement.Config{}), retryLimits{})
	for p := range 30 {
		pool := fmt.Sprintf("pool-%d", p)
		contend(g, pool, now)
		for i := range 50 {
			for range 1 + p + i {
				g.queue(pool).Start(fmt.Sprintf("a customer with a long name, number %d", i))
			}
		}
	}
	usages := g.poolUsages(now)
	c.Assert(usages, qt.HasLen, maxUsagePools)
	c.Assert(usages[0].Pool, qt.Equals, poolKey("pool-29"), qt.Commentf("the pools with most requests in progress"))
	for i := range usages {
		c.Assert(usages[i].Top, qt.HasLen, maxUsageCustomers)
		// The largest numbers that are possible.
		usages[i].Pool, usages[i].Rest, usages[i].WaitingClass, usages[i].SmallClass = 1<<32-1, 65_000, 100, 100
		for j := range usages[i].Top {
			usages[i].Top[j] = beat.CustomerUsage{Customer: 1<<32 - 1, Count: 65_000}
		}
	}
	c.Assert(encodedSize(c, usages) <= maxUsageBytes, qt.IsTrue, qt.Commentf("%d bytes", encodedSize(c, usages)))
}

func encodedSize(c *qt.C, usages []beat.PoolUsage) int {
	c.Helper()
	var raw writeCounter
	encoder := msgpack.NewEncoder(&raw)
	encoder.UseArrayEncodedStructs(true)
	c.Assert(encoder.Encode(usages), qt.IsNil)
	return int(raw)
}

type writeCounter int

func (w *writeCounter) Write(raw []byte) (int, error) {
	*w += writeCounter(len(raw))
	return len(raw), nil
}

// TestUsageOfPeersIsRecorded guards against counts of another entry that are lost on the way,
// that stay after the entry has withdrawn them, or that come from an impossible message.
func TestUsageOfPeersIsRecorded(t *testing.T) {
	c := qt.New(t)
	now := clock.Now()
	sender, receiver := newScheduler(placement.New(placement.Config{}), retryLimits{}), newScheduler(placement.New(placement.Config{}), retryLimits{})
	contend(sender, "p", now)
	for range 5 {
		sender.queue("p").Start("a")
	}
	queue := receiver.queue("p")
	queue.Start("b")
	queue.Start("b")
	for id, customer := range []string{"a", "b"} {
		queue.Offer(admission.Ticket{ID: uint64(id), Customer: customer, Deadline: now.Add(time.Minute), StartBy: now.Add(time.Minute)}, now)
	}
	first := func() uint64 {
		var tried []uint64
		queue.NextFair(func(id uint64, _ admission.Terms) bool {
			tried = append(tried, id)
			return false
		}, now)
		c.Assert(tried, qt.Not(qt.HasLen), 0)
		return tried[0]
	}
	c.Assert(first(), qt.Equals, uint64(0))
	receiver.recordPeerUsages("10.0.0.2", sender.poolUsages(now), now)
	c.Assert(first(), qt.Equals, uint64(1), qt.Commentf("a has more requests in progress elsewhere"))
	receiver.recordPeerUsages("10.0.0.2", nil, now)
	c.Assert(first(), qt.Equals, uint64(0))
	receiver.recordPeerUsages("10.0.0.2", []beat.PoolUsage{{Pool: poolKey("p"), Top: []beat.CustomerUsage{{Customer: uint32(admission.KeyOf("b")), Count: -9}}, Rest: -5}}, now)
	c.Assert(first(), qt.Equals, uint64(0))
}
