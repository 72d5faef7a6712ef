package propagate

import (
	"slices"
	"time"

	"plantainrelay/internal/member"
)

const (
	// watchersPerZone entries of each availability zone watch the store.
	watchersPerZone = 2
	// listReadersPerZone members of each availability zone read the platform's
	// list of instances.
	listReadersPerZone = 2
	// maxListReadersPerZone bounds them when the first ones fall silent.
	maxListReadersPerZone = 6
	// listReaderEscalation is the age of the last known read of the list at which one
	// more member reads it.
	listReaderEscalation = 10 * time.Second
	// maxWatchersPerZone bounds the entries that watch when the first ones can't read
	// the store.
	maxWatchersPerZone = 6
	// watcherEscalation is the age of the last known read of the store, beyond the wait
	// of one watch, at which one more entry watches it.
	watcherEscalation = 2 * time.Second
)

// Watches reports whether self is to watch the store. lastReadAge is the age of the
// newest read of the store that self knows of, its own or another's of its zone, and
// wait how long a watch waits. An entry that the list does not name watches, to be able
// to start.
func Watches(self member.Instance, list []member.Instance, lastReadAge, wait time.Duration) bool {
	if self.Role != member.RoleEntry {
		return false
	}
	rank, listed := rankInZone("watch", self, list)
	extra := max(int((lastReadAge-wait)/watcherEscalation), 0)
	return !listed || rank < min(watchersPerZone+extra, maxWatchersPerZone)
}

// Reads reports whether self is to read the platform's list. lastReadAge is the
// age of the newest read that self knows of, its own or another's. An instance
// that the list does not name reads it, to be able to start.
func Reads(self member.Instance, list []member.Instance, lastReadAge time.Duration) bool {
	rank, listed := rankInZone("list", self, list)
	if !listed {
		return true
	}
	extra := int(lastReadAge / listReaderEscalation)
	return rank < min(listReadersPerZone+extra, maxListReadersPerZone)
}

func rankInZone(key string, self member.Instance, list []member.Instance) (int, bool) {
	var zone []member.Instance
	for _, instance := range list {
		if instance.AvailabilityZone == self.AvailabilityZone {
			zone = append(zone, instance)
		}
	}
	ranked := RankMembers(key, zone)
	index := slices.IndexFunc(ranked, func(instance member.Instance) bool { return instance.Name == self.Name })
	return index, index >= 0
}
