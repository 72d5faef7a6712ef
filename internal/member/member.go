// Package member tracks the instances of the fleet: it combines the platform's
// list with what this process observed in its own calls. It does no I/O.
package member

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Role is the program that an instance runs.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// State is the state of an instance in the platform's list.
type State string

// The states. An instance that is no longer in the list is gone.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one row of the platform's list.
type Instance struct {
	Name             string `json:"name"`
	Role             Role   `json:"role"`
	State            State  `json:"state"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	// HTTPAddress and ControlAddress are "IP:port".
	HTTPAddress    string `json:"http_address"`
	ControlAddress string `json:"control_address"`
}

// List is a snapshot of the platform's list of instances.
type List struct {
	Instances []Instance `json:"instances"`
}

// Role returns the instances of the given role, sorted by name.
func (l *List) Role(role Role) []Instance {
	var selected []Instance
	for _, instance := range l.Instances {
		if instance.Role == role {
			selected = append(selected, instance)
		}
	}
	slices.SortFunc(selected, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return selected
}

// Find returns the instance of the given name.
func (l *List) Find(name string) (Instance, bool) {
	for _, instance := range l.Instances {
		if instance.Name == name {
			return instance, true
		}
	}
	return Instance{}, false
}

// Rank orders names for key by rendezvous hashing: the first is responsible for
// key, and the following ones are its replacements in order. Removing a name
// reassigns only the keys it was responsible for.
func Rank(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, name := range names {
		all[i] = scored{name: name, score: xxhash.Sum64String(key + "\x00" + name)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(a.name, b.name)
	})
	ranked := make([]string, len(all))
	for i, entry := range all {
		ranked[i] = entry.name
	}
	return ranked
}

// First returns the name responsible for key, or "" when names is empty.
func First(key string, names []string) string {
	best, bestScore := "", uint64(0)
	for _, name := range names {
		score := xxhash.Sum64String(key + "\x00" + name)
		if best == "" || score > bestScore || (score == bestScore && name < best) {
			best, bestScore = name, score
		}
	}
	return best
}
