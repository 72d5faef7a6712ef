package rollout

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Neighbor is the known state of another instance in the same availability zone
// that receives the same weights.
type Neighbor struct {
	Name string
	// Updated is set if the instance serves the target version.
	Updated bool
	// NotServing is set if the instance serves no requests, so that its switch
	// costs no capacity.
	NotServing bool
	// Served is the version that the instance serves.
	Served int64
}

// SwitchLimit decides when an instance may switch, so that the instances of an
// availability zone do not all stop accepting requests at the same time. It
// needs no coordinator, because all instances compute the same order.
type SwitchLimit struct {
	// MaxFraction is the fraction of the zone's instances that may switch at once.
	MaxFraction float64
	// SwitchBy is the time from which an instance switches regardless of others.
	SwitchBy time.Time
	// Served is the version that the instance itself serves, 0 if unknown. Instances with older
	// weights switch first, since these may be used for a shorter time.
	Served int64
}

// Allows reports whether the instance self may now switch to the version with the
// given name.
func (l SwitchLimit) Allows(self, version string, neighbors []Neighbor, now time.Time) bool {
	if !now.Before(l.SwitchBy) {
		return true
	}
	serving := []string{self}
	waiting := 0
	for _, neighbor := range neighbors {
		if neighbor.NotServing && !neighbor.Updated {
			continue
		}
		serving = append(serving, neighbor.Name)
		if !neighbor.Updated && l.follows(neighbor, self, version) {
			waiting++
		}
	}
	return waiting < max(1, int(l.MaxFraction*float64(len(serving))+0.5))
}

// follows reports whether the instance self switches to the version after neighbor.
func (l SwitchLimit) follows(neighbor Neighbor, self, version string) bool {
	if l.Served > 0 && neighbor.Served != l.Served {
		return neighbor.Served < l.Served
	}
	return precedes(neighbor.Name, self, version)
}

// precedes reports whether instance a switches to the version before instance b.
// The order is by hash and differs for each version.
func precedes(a, b, version string) bool {
	order := []string{a, b}
	slices.SortFunc(order, func(a, b string) int {
		x, y := xxhash.Sum64String(version+"\x00"+a), xxhash.Sum64String(version+"\x00"+b)
		if x == y {
			return strings.Compare(a, b)
		}
		if x < y {
			return -1
		}
		return 1
	})
	return order[0] == a && a != b
}
