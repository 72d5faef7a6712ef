package balance

import (
	"plantainrelay/internal/member"
)

// SubsetSize bounds the number of instances of one pool that one entry watches.
type SubsetSize struct {
	// Local bounds the instances in the entry's own availability zone, Remote those
	// in all other zones, which take the requests that its own zone cannot take.
	Local, Remote int
}

// Subset returns the names of the instances of one pool that the entry self
// watches. It depends only on names and zones, so that it is the same after a
// restart, and a change of the pool changes few of them. If the entry's own zone
// has too few instances, more are chosen in the other zones.
func Subset(self, zone string, instances []member.Instance, size SubsetSize) []string {
	var local, remote []string
	for _, instance := range instances {
		if instance.AvailabilityZone == zone {
			local = append(local, instance.Name)
		} else {
			remote = append(remote, instance.Name)
		}
	}
	local = first(member.Rank(self, local), size.Local)
	return append(local, first(member.Rank(self, remote), size.Remote+size.Local-len(local))...)
}

func first(names []string, count int) []string {
	return names[:min(count, len(names))]
}
