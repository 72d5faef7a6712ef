package propagate

import (
	"slices"
	"time"

	"plantainrelay/internal/member"
)

const (
	// watchersPerZone is the number of entries in each availability zone that watch
	// the store.
	watchersPerZone = 2
	// listReadersPerZone is the number of instances in each availability zone that
	// read the platform's list of instances.
	listReadersPerZone = 2
	// maxListReadersPerZone bounds the readers of the list when the first ones fail.
	maxListReadersPerZone = 6
	// listReaderEscalation is the interval without a known read of the list after
	// which one more instance reads it.
	listReaderEscalation = 10 * time.Second
	// maxWatchersPerZone bounds the entries that watch the store when the first ones
	// can't read it.
	maxWatchersPerZone = 6
	// watcherEscalation is the interval without a known read of the store, beyond the
	// timeout of one watch, after which one more entry watches it.
	watcherEscalation = 2 * time.Second
)

// ShouldWatchStore reports whether self should watch the store. lastReadAge is the
// age of the newest read of the store that self knows of, by itself or by another
// entry of its zone; wait is the timeout of a watch. An entry that is not in the list
// watches the store, because otherwise it could not start.
func ShouldWatchStore(self member.Instance, list []member.Instance, lastReadAge, wait time.Duration) bool {
	if self.Role != member.RoleEntry {
		return false
	}
	rank, listed := rankInZone("watch", self, list)
	extra := max(int((lastReadAge-wait)/watcherEscalation), 0)
	return !listed || rank < min(watchersPerZone+extra, maxWatchersPerZone)
}

// ShouldReadList reports whether self should read the platform's list. lastReadAge is
// the age of the newest read that self knows of, by itself or by another instance. An
// instance that is not in the list reads it, because otherwise it could not start.
func ShouldReadList(self member.Instance, list []member.Instance, lastReadAge time.Duration) bool {
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
