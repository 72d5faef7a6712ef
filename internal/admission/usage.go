package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// contentionPeriod is how long after a request has waited the usage of a queue is reported.
const contentionPeriod = 5 * time.Second

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
}

// peerUsage is the usage that another entry has reported.
type peerUsage struct {
	Usage
	receivedAt time.Time
}

// Usage returns the requests in progress by customer, at most limit of them by name. It returns
// false if no request had to wait lately: the order of the queue does not matter then.
func (q *Queue) Usage(limit int, now time.Time) (Usage, bool) {
	if q.contendedAt.IsZero() || now.Sub(q.contendedAt) >= contentionPeriod || q.runningTotal == 0 {
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
	return usage, true
}

// RecordPeerUsage records what another entry has reported at the given time; an empty usage
// means that it has reported nothing.
func (q *Queue) RecordPeerUsage(peer string, usage Usage, at time.Time) {
	maps.DeleteFunc(q.peers, func(_ string, known peerUsage) bool { return at.Sub(known.receivedAt) >= q.config.MaxPeerAge })
	if len(usage.Top) == 0 {
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
	for _, peer := range peers {
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
