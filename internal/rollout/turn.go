package rollout

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Neighbor is what one instance knows of another of its availability zone that
// takes the same weights.
type Neighbor struct {
	Name string
	// Done says that it serves the target.
	Done bool
	// Idle says that it serves nothing, so that its switch costs no capacity.
	Idle bool
}

// Turn decides when an instance may switch, so that the instances of its
// availability zone do not all stop taking requests at once. It holds without
// a coordinator: all instances put each other in the same order.
type Turn struct {
	// Share is the part of the zone's instances that may switch at once.
	Share float64
	// Latest is the time by which an instance switches, whoever else does.
	Latest time.Time
}

// May reports whether the instance self may switch to the version with the
// given name now.
func (t Turn) May(self, version string, neighbors []Neighbor, now time.Time) bool {
	if !now.Before(t.Latest) {
		return true
	}
	serving := []string{self}
	waiting := 0
	for _, neighbor := range neighbors {
		if neighbor.Idle && !neighbor.Done {
			continue
		}
		serving = append(serving, neighbor.Name)
		if !neighbor.Done && precedes(neighbor.Name, self, version) {
			waiting++
		}
	}
	return waiting < max(1, int(t.Share*float64(len(serving))+0.5))
}

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
