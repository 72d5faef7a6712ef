package balance

import (
	"plantainrelay/internal/member"
)

// SubsetSize bounds the instances of one pool that one entry watches.
type SubsetSize struct {
	// Local counts those of the entry's own availability zone, Remote those of
	// all others, which take what the own zone cannot.
	Local, Remote int
}

// Subset returns the names of the instances that the entry self watches, out
// of one pool's. It depends on names only, so that it is the same after a
// restart; a change of the pool changes few names of it. A zone without
// instances is made up for by the others.
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
