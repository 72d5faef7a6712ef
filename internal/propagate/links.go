// Package propagate is the gossip protocol that distributes the tables and the list
// of instances through the fleet. It decides which peers a process notifies of a
// change, compares its data with and fetches from, and when the process may serve
// from its copy. It does no I/O.
package propagate

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"plantainrelay/internal/member"
)

const (
	// ringsPerZone is the number of random rings through the members of an
	// availability zone. Each member notifies its successor in each ring.
	ringsPerZone = 3
	// relaysPerZone is the number of members of each availability zone that keep
	// links to relays of all other zones.
	relaysPerZone = 4
)

// ringNames are the hash keys that order the members of a zone in each ring.
var ringNames = [ringsPerZone]string{"ring-0", "ring-1", "ring-2"}

// Topology is a list of instances indexed for the selection of links. It is
// immutable and may be shared.
type Topology struct {
	list      []member.Instance
	zones     map[string]*zone
	zoneNames []string
}

// zone holds the members of one availability zone.
type zone struct {
	members []member.Instance
	// positions holds the position of each member in each ring.
	positions [][ringsPerZone]uint64
	// rankedMembers holds all members in the order in which they are chosen as relays.
	rankedMembers []member.Instance
}

// NewTopology indexes list, which must not be modified afterwards.
func NewTopology(list []member.Instance) *Topology {
	t := &Topology{list: list, zones: map[string]*zone{}}
	for _, instance := range list {
		z := t.zones[instance.AvailabilityZone]
		if z == nil {
			z = &zone{}
			t.zones[instance.AvailabilityZone] = z
			t.zoneNames = append(t.zoneNames, instance.AvailabilityZone)
		}
		z.members = append(z.members, instance)
		z.positions = append(z.positions, ringPositions(instance.Name))
	}
	for _, z := range t.zones {
		z.rankedMembers = RankMembers("relay", z.members)
	}
	slices.Sort(t.zoneNames)
	return t
}

func ringPositions(name string) [ringsPerZone]uint64 {
	var positions [ringsPerZone]uint64
	for ring, key := range ringNames {
		positions[ring] = hash(key, name)
	}
	return positions
}

// Links returns the peers that self notifies of changes: its successors in the rings
// of its availability zone and, when self is a relay of the zone, one relay in every
// other zone. Peers for which avoid returns true are skipped as long as there is a
// replacement. The result is the same in every process that has the same list and
// avoids the same peers.
func (t *Topology) Links(self member.Instance, avoid func(name string) bool) []member.Instance {
	links := &linkSet{self: self.Name, seen: map[string]bool{}}
	ownZone := t.zones[self.AvailabilityZone]
	if ownZone == nil {
		return nil
	}
	for ring, start := range ringPositions(self.Name) {
		links.add(ownZone.successor(ring, start, self.Name, avoid))
	}
	relays := ownZone.activeRelays(avoid)
	index := slices.IndexFunc(relays, func(relay member.Instance) bool { return relay.Name == self.Name })
	if index < 0 {
		return links.peers
	}
	for _, name := range t.zoneNames {
		if name == self.AvailabilityZone {
			continue
		}
		remoteRelays := t.zones[name].activeRelays(avoid)
		links.add(remoteRelays[index%len(remoteRelays)], true)
	}
	return links.peers
}

type linkSet struct {
	self  string
	seen  map[string]bool
	peers []member.Instance
}

func (l *linkSet) add(peer member.Instance, found bool) {
	if !found || peer.Name == l.self || l.seen[peer.Name] {
		return
	}
	l.seen[peer.Name] = true
	l.peers = append(l.peers, peer)
}

// successor returns the member that follows start in the given ring.
func (z *zone) successor(ring int, start uint64, name string, avoid func(string) bool) (member.Instance, bool) {
	best, bestDistance := -1, uint64(0)
	for i, instance := range z.members {
		distance := z.positions[i][ring] - start
		if best >= 0 && distance >= bestDistance {
			continue
		}
		if instance.Name == name || avoid(instance.Name) {
			continue
		}
		best, bestDistance = i, distance
	}
	if best < 0 {
		return member.Instance{}, false
	}
	return z.members[best], true
}

// activeRelays returns the members that keep links to other zones, in the order of
// RankMembers. Avoided members are used only when there are not enough others.
func (z *zone) activeRelays(avoid func(string) bool) []member.Instance {
	chosen := make([]member.Instance, 0, relaysPerZone)
	for _, avoided := range []bool{false, true} {
		for _, instance := range z.rankedMembers {
			if len(chosen) == relaysPerZone {
				return chosen
			}
			if avoid(instance.Name) == avoided {
				chosen = append(chosen, instance)
			}
		}
	}
	return chosen
}

func hash(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}

// RankMembers orders members for key by rendezvous hashing: live entries first, then
// live agents, then all others.
func RankMembers(key string, members []member.Instance) []member.Instance {
	type scored struct {
		instance member.Instance
		class    int
		score    uint64
	}
	all := make([]scored, len(members))
	for i, instance := range members {
		all[i] = scored{instance: instance, class: preferenceClass(instance), score: hash(key, instance.Name)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.class != b.class:
			return a.class - b.class
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return strings.Compare(a.instance.Name, b.instance.Name)
	})
	ranked := make([]member.Instance, len(all))
	for i, entry := range all {
		ranked[i] = entry.instance
	}
	return ranked
}

func preferenceClass(instance member.Instance) int {
	switch {
	case instance.State != member.StateLive:
		return 2
	case instance.Role != member.RoleEntry:
		return 1
	}
	return 0
}
