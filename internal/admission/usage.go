package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// contentionPeriod is how long after a request has waited the usage of a queue is reported,
	// and others leave room for requests like it.
	contentionPeriod = 5 * time.Second
	// NoClass is above all classes.
	NoClass = math.MaxInt32
)

// contention is when requests last had to wait.
type contention struct {
	at time.Time
	// byClass is the same for each class, smallByClass for customers that
	// are not dominant while another one is.
	byClass, smallByClass map[int]time.Time
}

// Waiting says which requests had to wait lately.
type Waiting struct {
	// Class is the most urgent class of them, SmallClass the same of customers that are not
	// dominant while another one is; NoClass means none.
	Class, SmallClass int
}

// any reports whether requests had to wait.
func (w Waiting) any() bool { return w.Class != NoClass }

// merge returns which requests had to wait at two entries.
func (w Waiting) merge(other Waiting) Waiting {
	return Waiting{Class: min(w.Class, other.Class), SmallClass: min(w.SmallClass, other.SmallClass)}
}

// CustomerKey identifies a customer between entries in few bytes.
type CustomerKey uint32

// KeyOf returns the key of a customer. Two customers with the same key would share one share;
// with hundreds of customers this has a probability below 1 in 10,000.
func KeyOf(customer string) CustomerKey { return CustomerKey(xxhash.Sum64String(customer)) }

// CustomerUsage is the number of a customer's requests in progress at one entry.
type CustomerUsage struct {
	Customer CustomerKey
	Running  int
}

// Usage is the number of requests in progress at one entry, by customer.
type Usage struct {
	// Top holds the customers with most of them, Rest is the number of the others'.
	Top  []CustomerUsage
	Rest int
	Waiting
}

// peerUsage is the usage that another entry has reported.
type peerUsage struct {
	Usage
	receivedAt time.Time
}

// Usage returns the requests in progress by customer, at most limit of them by name. It returns
// false if no request had to wait lately: the order of the queue does not matter then.
func (q *Queue) Usage(limit int, now time.Time) (Usage, bool) {
	if q.contention.at.IsZero() || now.Sub(q.contention.at) >= contentionPeriod {
		return Usage{}, false
	}
	all := make([]CustomerUsage, 0, len(q.runningByCustomer))
	for customer, running := range q.runningByCustomer {
		all = append(all, CustomerUsage{Customer: KeyOf(customer), Running: running})
	}
	slices.SortFunc(all, func(a, b CustomerUsage) int {
		return cmp.Or(cmp.Compare(b.Running, a.Running), cmp.Compare(a.Customer, b.Customer))
	})
	usage := Usage{Top: all[:min(limit, len(all))]}
	for _, other := range all[len(usage.Top):] {
		usage.Rest += other.Running
	}
	usage.Waiting = q.ownWaiting(now)
	return usage, true
}

// recordWaiting records that requests have to wait. Without candidates the queue has only one
// customer and class.
func (q *Queue) recordWaiting(candidates []candidate, now time.Time) {
	q.contention.at = now
	if q.contention.byClass == nil {
		q.contention.byClass, q.contention.smallByClass = map[int]time.Time{}, map[int]time.Time{}
	}
	if candidates == nil {
		candidates = q.order(now)
	}
	for i := range candidates {
		c := &candidates[i]
		if c.Class < 0 {
			continue
		}
		q.contention.byClass[c.Class] = now
		if c.isPassedOver {
			q.contention.smallByClass[c.Class] = now
		}
	}
}

// mostUrgent returns the most urgent class that had to wait lately.
func mostUrgent(byClass map[int]time.Time, now time.Time) int {
	class := NoClass
	for one, at := range byClass {
		if now.Sub(at) < contentionPeriod {
			class = min(class, one)
		}
	}
	return class
}

// ownWaiting returns which requests of this queue had to wait lately.
func (q *Queue) ownWaiting(now time.Time) Waiting {
	return Waiting{Class: mostUrgent(q.contention.byClass, now), SmallClass: mostUrgent(q.contention.smallByClass, now)}
}

// waiting returns which requests had to wait lately at any entry that reports it.
func (q *Queue) waiting(now time.Time) Waiting {
	waiting := q.ownWaiting(now)
	for _, peer := range q.peers {
		if peer.weightAt(now, q.config.MaxPeerAge) > 0 {
			waiting = waiting.merge(peer.Waiting)
		}
	}
	return waiting
}

// yieldsToPeers reports whether other entries have requests that wait, of a more urgent class or
// passed over for a dominant customer. This entry may then have to leave room, even if its own
// requests have one class and one customer.
func (q *Queue) yieldsToPeers(now time.Time) bool {
	if !q.config.FairOrder || !q.fairness.hasFirst {
		return false
	}
	for _, peer := range q.peers {
		mayYield := peer.Class < q.fairness.firstClass || peer.SmallClass != NoClass
		if mayYield && peer.weightAt(now, q.config.MaxPeerAge) > 0 {
			return true
		}
	}
	return false
}

// RecordPeerUsage records what another entry has reported at the given time. A usage without
// requests means that it has reported nothing.
func (q *Queue) RecordPeerUsage(peer string, usage Usage, at time.Time) {
	maps.DeleteFunc(q.peers, func(_ string, known peerUsage) bool { return at.Sub(known.receivedAt) >= q.config.MaxPeerAge })
	if len(usage.Top) == 0 && !usage.any() {
		delete(q.peers, peer)
		return
	}
	q.peers[peer] = peerUsage{Usage: usage, receivedAt: at}
}

// SetWeights sets the weights of the customers; the default is 1.
func (q *Queue) SetWeights(weights map[string]int) {
	q.config.Weights = weights
	q.weightsByKey = make(map[CustomerKey]int, len(weights))
	for customer, weight := range weights {
		q.weightsByKey[KeyOf(customer)] = weight
	}
}

// weightAt returns how much a report counts: fully up to half of the maximum age, then less,
// and nothing from the maximum age on.
func (u peerUsage) weightAt(now time.Time, maxAge time.Duration) float64 {
	if maxAge <= 0 {
		return 0
	}
	return min(max(2*(1-float64(now.Sub(u.receivedAt))/float64(maxAge)), 0), 1)
}

// addPeers adds the requests in progress that other entries have reported.
func (s *shares) addPeers(peers map[string]peerUsage, maxAge time.Duration, now time.Time) {
	own := slices.Collect(maps.Keys(s.running))
	for _, name := range slices.Sorted(maps.Keys(peers)) {
		peer := peers[name]
		weight := peer.weightAt(now, maxAge)
		if weight == 0 {
			continue
		}
		named := make(map[CustomerKey]bool, len(peer.Top))
		for _, one := range peer.Top {
			named[one.Customer] = true
			s.running[one.Customer] += weight * float64(one.Running)
		}
		unnamed := slices.DeleteFunc(slices.Clone(own), func(customer CustomerKey) bool { return named[customer] })
		if len(unnamed) == 0 || len(peer.Top) == 0 {
			continue
		}
		// A customer without a name there has no more requests than the last one with it.
		each := min(float64(peer.Rest)/float64(len(unnamed)), float64(peer.Top[len(peer.Top)-1].Running))
		for _, customer := range unnamed {
			s.running[customer] += weight * each
		}
	}
}
