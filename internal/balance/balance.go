// Package balance chooses the backend server instance for one attempt. It does
// no I/O.
package balance

import (
	"math/rand/v2"
)

// Candidate is an instance that may take an attempt.
type Candidate struct {
	Name             string
	AvailabilityZone string
	// Load is the number of requests in progress there: the number in the last
	// report plus the attempts of this process since then.
	Load int
}

// Choose draws two random candidates of zone and returns the one with the lower
// load. If zone has no candidates, it draws from all. Names in tried are skipped.
// It returns false if no candidate remains.
func Choose(candidates []Candidate, zone string, tried map[string]bool, random *rand.Rand) (Candidate, bool) {
	local, all := split(candidates, zone, tried)
	pool := local
	if len(pool) == 0 {
		pool = all
	}
	if len(pool) == 0 {
		return Candidate{}, false
	}
	first := pool[random.IntN(len(pool))]
	second := pool[random.IntN(len(pool))]
	if second.Load < first.Load {
		return second, true
	}
	return first, true
}

func split(candidates []Candidate, zone string, tried map[string]bool) (local, all []Candidate) {
	for _, candidate := range candidates {
		if tried[candidate.Name] {
			continue
		}
		all = append(all, candidate)
		if candidate.AvailabilityZone == zone {
			local = append(local, candidate)
		}
	}
	return local, all
}
