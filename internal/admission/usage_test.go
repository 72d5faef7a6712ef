package admission_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/admission"
)

const maxPeerAge = 1200 * time.Millisecond

// newSharedQueue returns a full queue with two requests of each of two customers, which have
// one request in progress each.
func newSharedQueue(c *qt.C) *admission.Queue {
	q := admission.New(admission.Config{MaxQueued: 4, MaxPerCustomer: 10, MaxWait: time.Minute, FairOrder: true, MaxPeerAge: maxPeerAge})
	q.Start("a")
	q.Start("b")
	for id, customer := range []string{"a", "b", "a", "b"} {
		c.Assert(q.Offer(admission.Ticket{ID: uint64(id), Customer: customer, Deadline: epoch.Add(time.Minute), StartBy: epoch.Add(time.Minute)}, epoch), qt.HasLen, 0)
	}
	return q
}

func running(customer string, count int) admission.Usage {
	return admission.Usage{Top: []admission.CustomerUsage{{Customer: admission.KeyOf(customer), Running: count}}, Waiting: admission.Waiting{Class: admission.NoClass, SmallClass: admission.NoClass}}
}

func all(uint64, admission.Terms) bool { return true }

// TestFleetWideCountsOrderTheQueue guards against a customer that has many requests in progress
// at other entries and gets as much of this one as the others, and against reports that count
// although they are old or withdrawn.
func TestFleetWideCountsOrderTheQueue(t *testing.T) {
	report := func(q *admission.Queue) { q.RecordPeerUsage("peer", running("a", 20), epoch) }
	for name, test := range map[string]struct {
		prepare func(q *admission.Queue)
		after   time.Duration
		first   uint64
	}{
		"alone":    {func(*admission.Queue) {}, 0, 0},
		"reported": {report, time.Second, 1},
		"old":      {report, maxPeerAge, 0},
		"withdrawn": {func(q *admission.Queue) {
			report(q)
			q.RecordPeerUsage("peer", admission.Usage{Waiting: admission.Waiting{Class: admission.NoClass}}, epoch)
		}, 0, 0},
		"weighted": {func(q *admission.Queue) {
			report(q)
			q.SetWeights(map[string]int{"a": 50})
		}, 0, 0},
		"among the others there": {func(q *admission.Queue) {
			// 12 requests of b, the only customer here without a name there.
			usage := running("a", 4)
			usage.Rest = 12
			q.RecordPeerUsage("peer", usage, epoch)
			q.RecordPeerUsage("other", running("a", 2), epoch)
		}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			q := newSharedQueue(c)
			test.prepare(q)
			id, found, _ := q.NextFair(all, epoch.Add(test.after))
			c.Assert(found, qt.IsTrue)
			c.Assert(id, qt.Equals, test.first)
		})
	}
}

// TestFleetWideCountsChooseTheVictim guards against a full queue that sheds a request of a
// customer within its share instead of one of the customer that fills the pool.
func TestFleetWideCountsChooseTheVictim(t *testing.T) {
	c := qt.New(t)
	q := newSharedQueue(c)
	q.RecordPeerUsage("peer", running("a", 20), epoch)
	shed := q.Offer(admission.Ticket{ID: 9, Customer: "b", Deadline: epoch.Add(time.Minute), StartBy: epoch.Add(time.Minute)}, epoch)
	c.Assert(shed, qt.HasLen, 1)
	c.Assert(shed[0].ID, qt.Equals, uint64(2))
	c.Assert(shed[0].Reason, qt.Equals, admission.QueueFull)
}

// TestUsageIsBounded guards against reports that grow with the number of customers, and against
// reports while no request has to wait.
func TestUsageIsBounded(t *testing.T) {
	c := qt.New(t)
	q := newSharedQueue(c)
	_, contended := q.Usage(4, epoch)
	c.Assert(contended, qt.IsFalse)
	for i := range 100 {
		for range 1 + i%10 {
			q.Start(fmt.Sprintf("customer-%d", i))
		}
	}
	_, found, _ := q.NextFair(func(uint64, admission.Terms) bool { return false }, epoch)
	c.Assert(found, qt.IsFalse)
	usage, contended := q.Usage(4, epoch.Add(4*time.Second))
	c.Assert(contended, qt.IsTrue)
	c.Assert(usage.Top, qt.HasLen, 4)
	total := usage.Rest
	for _, one := range usage.Top {
		c.Check(one.Running, qt.Equals, 10)
		total += one.Running
	}
	c.Assert(total, qt.Equals, q.Running())
	_, contended = q.Usage(4, epoch.Add(5*time.Second))
	c.Assert(contended, qt.IsFalse)
}
