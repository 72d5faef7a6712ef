package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// standing compares a customer's requests in progress with its fair share.
type standing int

// The standings, in the order in which their requests start.
const (
	clearlyBelowShare standing = iota
	withinShare
	aboveShare
)

// shares holds the requests of the customers at one time, and the weighted max-min fair share
// of the requests in progress. Requests in progress are those at all entries that report them.
type shares struct {
	running, demand map[CustomerKey]float64
	weights         map[CustomerKey]int
	// customers holds all of them, sorted: sums of fractions depend on their order.
	customers []CustomerKey
	// level is the fair number of requests in progress for each unit of weight.
	level float64
	// even is the number of requests in progress for each unit of weight.
	even float64
}

// shares returns the shares of all customers with requests.
func (q *Queue) shares(now time.Time) *shares {
	s := &shares{running: map[CustomerKey]float64{}, demand: map[CustomerKey]float64{}, weights: q.weightsByKey}
	for customer, running := range q.runningByCustomer {
		s.running[KeyOf(customer)] += float64(running)
	}
	for i := range q.queued {
		s.demand[q.queued[i].key]++
		// The customer takes part also without requests in progress.
		s.running[q.queued[i].key] += 0
	}
	s.addPeers(q.peers, q.config.MaxPeerAge, now)
	s.customers = slices.Sorted(maps.Keys(s.running))
	total, weights := 0.0, 0.0
	for _, customer := range s.customers {
		s.demand[customer] += s.running[customer]
		total += s.running[customer]
		weights += s.weight(customer)
	}
	s.even = total / max(weights, 1)
	s.level = s.fairLevel(total, weights)
	return s
}

// fairLevel divides the requests in progress between the customers by their weights; what one
// does not ask for goes to the others. It is infinite if each has all that it asks for.
func (s *shares) fairLevel(remaining, weights float64) float64 {
	customers := slices.Clone(s.customers)
	slices.SortStableFunc(customers, func(a, b CustomerKey) int { return cmp.Compare(s.relativeDemand(a), s.relativeDemand(b)) })
	for _, customer := range customers {
		level := remaining / weights
		if s.relativeDemand(customer) > level {
			return level
		}
		remaining -= s.demand[customer]
		weights -= s.weight(customer)
	}
	return math.Inf(1)
}

func (s *shares) weight(customer CustomerKey) float64 {
	return float64(max(1, s.weights[customer]))
}

// relative returns the customer's requests in progress relative to its weight, relativeDemand
// those in progress and queued.
func (s *shares) relative(customer CustomerKey) float64 {
	return s.running[customer] / s.weight(customer)
}

func (s *shares) relativeDemand(customer CustomerKey) float64 {
	return s.demand[customer] / s.weight(customer)
}

func (s *shares) standing(customer CustomerKey) standing {
	fair := s.level * s.weight(customer)
	switch running := s.running[customer]; {
	case math.IsInf(s.level, 1):
		return withinShare
	case running > shareTolerance*fair+1:
		return aboveShare
	case running < belowShare*fair:
		return clearlyBelowShare
	}
	return withinShare
}

// isDominant reports whether the customer has clearly more requests in progress than an even
// division between the customers would give it.
func (s *shares) isDominant(customer CustomerKey) bool {
	return s.running[customer] > shareTolerance*s.even*s.weight(customer)+1
}

// hasDominant reports whether any customer is dominant.
func (s *shares) hasDominant() bool {
	return slices.ContainsFunc(s.customers, s.isDominant)
}

// isOverdrawn reports whether the customer asks for more than its share.
func (s *shares) isOverdrawn(customer CustomerKey) bool {
	return s.relativeDemand(customer) > s.level
}
