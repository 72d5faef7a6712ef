// Package ownership decides which single instance may run a request with a given
// idempotency key, and records on that instance which keys were run. It does no I/O.
//
// The keys of a pool are hashed to slots. A Map assigns an owner to each slot; it is
// one object in the platform's store, and the object's version orders its states. A
// slot moves only when its owner was removed, lost its memory by a restart, or
// released its slots. Keys carry the time at which they were issued. An owner never
// runs a key issued after the time that the last proof of its ownership covers, and
// its successor never runs a key issued before that time, so that a paused owner that
// resumes and its successor can't both run the same key.
package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SlotCount is the number of slots of a pool.
const SlotCount = 256

const (
	// GracePeriod is how long after its last proof of ownership an owner may run keys.
	GracePeriod = 5 * time.Second
	// SkewMargin bounds the clock skew between two instances plus the delay between
	// two readers' views of the platform's list.
	SkewMargin = 5 * time.Second
	// KeyRetention is how long a recorded key is kept, and so how long a key without
	// an issue time is protected from running twice.
	KeyRetention = 15 * time.Minute
	// BarDuration is added to the time at which a key is reported as not run;
	// submissions that an entry received up to then are refused.
	BarDuration = 2 * time.Second
)

// Owner is the owner of one slot.
type Owner struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	// Since is the earliest issue time, in Unix milliseconds, of the keys that the
	// owner may run. Keys issued earlier may have been run by a former owner.
	Since int64 `json:"since"`
	// Previous is the former owner that released the slot and may still have the
	// records of keys issued before Since; empty when there is none.
	Previous            string `json:"previous,omitempty"`
	PreviousIncarnation string `json:"previous_incarnation,omitempty"`
}

// Map assigns an owner to each slot of a pool. It is immutable once shared.
type Map struct {
	Pool string `json:"pool"`
	// Revision is the version of the object in the store.
	Revision int64   `json:"-"`
	Slots    []Owner `json:"slots"`
}

// SlotOf returns the slot of a customer's key.
func SlotOf(customer, key string) int {
	return int(xxhash.Sum64String(customer+"\x00"+key) % SlotCount)
}

// Agent is the state of one instance of the pool, as known to the planner.
type Agent struct {
	Instance    string
	Incarnation string
	// Eligible reports whether slots may be assigned to the instance.
	Eligible bool
	// Released reports whether the instance has permanently stopped running keys.
	Released bool
	// HighestIssued is the latest issue time among the keys that it has recorded.
	HighestIssued int64
}

// Fleet is the state of the pool's instances, as known to the planner.
type Fleet struct {
	// Agents holds the instances whose current state is known.
	Agents []Agent
	// Removed holds the names of the owners that the platform has removed.
	Removed map[string]bool
	// Starting reports whether an instance of the pool is about to become eligible.
	Starting bool
}

func (f *Fleet) agent(name string) (Agent, bool) {
	index := slices.IndexFunc(f.Agents, func(a Agent) bool { return a.Instance == name })
	if index < 0 {
		return Agent{}, false
	}
	return f.Agents[index], true
}

// Plan returns the map that should replace current, and false when no change is
// needed or possible. A nil current means that no map has been written yet.
func Plan(current *Map, pool string, fleet Fleet, now time.Time) (*Map, bool) {
	next := &Map{Pool: pool, Slots: make([]Owner, SlotCount)}
	if current != nil {
		copy(next.Slots, current.Slots)
	}
	counts := countSlots(next, fleet)
	if len(counts) == 0 {
		return nil, false
	}
	changed := false
	for slot, owner := range next.Slots {
		successor, move := successorOf(owner, fleet, now)
		if !move {
			continue
		}
		chosen, found := leastLoaded(counts, fleet)
		if !found {
			break
		}
		counts[chosen.Instance]++
		successor.Instance, successor.Incarnation = chosen.Instance, chosen.Incarnation
		next.Slots[slot] = successor
		changed = true
	}
	return next, changed
}

// countSlots returns the number of slots that each eligible instance owns.
func countSlots(m *Map, fleet Fleet) map[string]int {
	counts := map[string]int{}
	for _, agent := range fleet.Agents {
		if agent.Eligible && !agent.Released {
			counts[agent.Instance] = 0
		}
	}
	for _, owner := range m.Slots {
		agent, found := fleet.agent(owner.Instance)
		if _, eligible := counts[owner.Instance]; found && eligible && agent.Incarnation == owner.Incarnation {
			counts[owner.Instance]++
		}
	}
	return counts
}

// successorOf reports whether a slot has to move, and returns the earliest issue time
// of the keys that its next owner may run.
func successorOf(owner Owner, fleet Fleet, now time.Time) (Owner, bool) {
	coveredUntil := now.Add(GracePeriod + SkewMargin).UnixMilli()
	agent, known := fleet.agent(owner.Instance)
	// Slots are never moved to rebalance them. Those without an owner therefore stay
	// unassigned until the instances that are starting can get their share.
	waitForStarting := fleet.Starting && !fleet.Removed[owner.Instance]
	switch {
	case owner.Instance == "":
		return Owner{}, !waitForStarting
	case fleet.Removed[owner.Instance]:
		return Owner{Since: max(owner.Since, coveredUntil)}, true
	case known && agent.Incarnation != owner.Incarnation && waitForStarting:
		return Owner{}, false
	case known && agent.Incarnation != owner.Incarnation:
		return Owner{Since: max(owner.Since, coveredUntil)}, true
	case known && agent.Released:
		since := max(owner.Since, agent.HighestIssued+1)
		return Owner{Since: since, Previous: owner.Instance, PreviousIncarnation: owner.Incarnation}, true
	}
	return Owner{}, false
}

func leastLoaded(counts map[string]int, fleet Fleet) (Agent, bool) {
	best, found := Agent{}, false
	for _, agent := range fleet.Agents {
		count, eligible := counts[agent.Instance]
		if !eligible {
			continue
		}
		if !found || count < counts[best.Instance] || (count == counts[best.Instance] && agent.Instance < best.Instance) {
			best, found = agent, true
		}
	}
	return best, found
}
