// Package ownership decides which instance alone may run a request that bears
// an idempotency key, and remembers, beside the execution, which keys were run.
// It does no I/O.
//
// The keys of a pool fall into slots. A Map names the owner of each slot; it
// is one object in the platform's store and its version orders its states. A
// slot moves only when its owner is gone, has lost its memory, or consents.
// Keys carry the time at which they were issued: an owner never runs a key
// issued after the time that the last proof of its ownership covers, and its
// successor never runs a key issued before that, so a paused owner that comes
// back and its successor can't both run the same key.
package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SlotCount is the number of slots of a pool.
const SlotCount = 256

const (
	// GracePeriod is how far past its last proof of ownership an owner may run keys.
	GracePeriod = 5 * time.Second
	// SkewMargin bounds the difference between two instances' clocks plus that
	// between two readers' views of the platform's list.
	SkewMargin = 5 * time.Second
	// KeyRetention is how long a key without an issue time is protected.
	KeyRetention = 15 * time.Minute
	// BarDuration is how long after a key was told not run its earlier submissions
	// are refused.
	BarDuration = 2 * time.Second
)

// Owner is the holder of one slot.
type Owner struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	// Since is the issue time, in Unix milliseconds, from which the owner may
	// run keys. An earlier key may have been run by a former owner.
	Since int64 `json:"since"`
	// Previous is a former owner that consented to the move and may still
	// know the keys issued before Since; empty when there is none.
	Previous            string `json:"previous,omitempty"`
	PreviousIncarnation string `json:"previous_incarnation,omitempty"`
}

// Map names the owners of a pool's slots. It is immutable once shared.
type Map struct {
	Pool string `json:"pool"`
	// Revision is the version of the store's object.
	Revision int64   `json:"-"`
	Slots    []Owner `json:"slots"`
}

// SlotOf returns the slot of a customer's key.
func SlotOf(customer, key string) int {
	return int(xxhash.Sum64String(customer+"\x00"+key) % SlotCount)
}

// Agent is what the planner knows of one instance of the pool.
type Agent struct {
	Instance    string
	Incarnation string
	// Eligible says that the instance may be given slots.
	Eligible bool
	// Consents says that the instance runs no further key, for good.
	Consents bool
	// HighestIssued is the latest issue time that it has run.
	HighestIssued int64
}

// Fleet is what the planner knows of the pool's instances.
type Fleet struct {
	// Agents holds the instances whose present state is known.
	Agents []Agent
	// Gone names the owners that the platform has declared gone.
	Gone map[string]bool
	// Starting says that an instance of the pool is about to become eligible.
	Starting bool
}

func (f *Fleet) agent(name string) (Agent, bool) {
	index := slices.IndexFunc(f.Agents, func(a Agent) bool { return a.Instance == name })
	if index < 0 {
		return Agent{}, false
	}
	return f.Agents[index], true
}

// Plan returns the map that should replace current, and false when nothing has
// to change or nothing can. A nil current means that no map was ever written.
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

// countSlots returns the number of slots that each eligible instance keeps.
func countSlots(m *Map, fleet Fleet) map[string]int {
	counts := map[string]int{}
	for _, agent := range fleet.Agents {
		if agent.Eligible && !agent.Consents {
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

// successorOf tells whether a slot has to move, and from which issue time on
// its next owner may run keys.
func successorOf(owner Owner, fleet Fleet, now time.Time) (Owner, bool) {
	coveredUntil := now.Add(GracePeriod + SkewMargin).UnixMilli()
	agent, known := fleet.agent(owner.Instance)
	// Slots do not move back for balance: those without an owner wait for the
	// instances that will share them.
	waitForStarting := fleet.Starting && !fleet.Gone[owner.Instance]
	switch {
	case owner.Instance == "":
		return Owner{}, !waitForStarting
	case fleet.Gone[owner.Instance]:
		return Owner{Since: max(owner.Since, coveredUntil)}, true
	case known && agent.Incarnation != owner.Incarnation && waitForStarting:
		return Owner{}, false
	case known && agent.Incarnation != owner.Incarnation:
		return Owner{Since: max(owner.Since, coveredUntil)}, true
	case known && agent.Consents:
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
