package admission

import (
	"cmp"
	"math"
	"slices"
)

// shares holds the requests of the customers at one time, and the weighted max-min fair share
// of the requests in progress.
type shares struct {
	running, demand map[string]float64
	weight          func(customer string) int
	// level is the fair number of requests in progress for each unit of weight.
	level float64
}

// shares returns the shares of all customers with requests.
func (q *Queue) shares() *shares {
	s := &shares{running: map[string]float64{}, demand: map[string]float64{}, weight: q.weight}
	for _, w := range q.queued {
		s.demand[w.Customer]++
	}
	for customer := range q.runningByCustomer {
		s.demand[customer] += 0
	}
	for customer := range s.demand {
		s.running[customer] = float64(q.runningByCustomer[customer])
		s.demand[customer] += s.running[customer]
	}
	s.level = s.fairLevel()
	return s
}

// fairLevel divides the requests in progress between the customers by their weights; what one
// does not ask for goes to the others. It is infinite if each has all that it asks for.
func (s *shares) fairLevel() float64 {
	customers := make([]string, 0, len(s.demand))
	remaining, weights := 0.0, 0.0
	for customer := range s.demand {
		customers = append(customers, customer)
		remaining += s.running[customer]
		weights += float64(s.weight(customer))
	}
	slices.SortFunc(customers, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.relativeDemand(a), s.relativeDemand(b)), cmp.Compare(a, b))
	})
	for _, customer := range customers {
		level := remaining / weights
		if s.relativeDemand(customer) > level {
			return level
		}
		remaining -= s.demand[customer]
		weights -= float64(s.weight(customer))
	}
	return math.Inf(1)
}

// relative returns the customer's requests in progress relative to its weight, relativeDemand
// those in progress and queued.
func (s *shares) relative(customer string) float64 {
	return s.running[customer] / float64(s.weight(customer))
}

func (s *shares) relativeDemand(customer string) float64 {
	return s.demand[customer] / float64(s.weight(customer))
}

// isAbove reports whether the customer has clearly more requests in progress than its share.
func (s *shares) isAbove(customer string) bool {
	return s.running[customer] > shareTolerance*s.level*float64(s.weight(customer))+1
}

// isOverdrawn reports whether the customer asks for more than its share.
func (s *shares) isOverdrawn(customer string) bool {
	return s.relativeDemand(customer) > s.level
}
