package swarm

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// fanout is the number of children of a node in a distribution tree.
	fanout = 2
	// These steps generate low-discrepancy sequences that distribute the chunks
	// over zones, over the zones of a region, and over the members of a zone.
	zoneStep   = 0.6180339887498949
	regionStep = 0.5698402909980532
	memberStep = 0.7548776662466927
)

// Member is an instance that receives the weights.
type Member struct {
	Name             string
	AvailabilityZone string
	Region           string
}

// zone is one availability zone with its members sorted by hash.
type zone struct {
	name    string
	region  string
	members []string
}

// Layout defines a distribution tree over the members for each chunk. One member
// fetches the chunk from the origin, one member of each other availability zone
// receives it from another zone, and each member passes it to at most fanout
// others of its zone. All instances with the same member list compute the same
// trees without exchanging messages. It is immutable.
type Layout struct {
	zones []zone
	// regions holds the indexes of the zones of each region, which are adjacent.
	regions   [][]int
	names     []string
	locations map[string]location
}

type location struct{ region, zone, index int }

// NewLayout returns the layout for members.
func NewLayout(members []Member) *Layout {
	byName := map[string]*zone{}
	for _, member := range members {
		if byName[member.AvailabilityZone] == nil {
			byName[member.AvailabilityZone] = &zone{name: member.AvailabilityZone, region: member.Region}
		}
		entry := byName[member.AvailabilityZone]
		entry.members = append(entry.members, member.Name)
	}
	layout := &Layout{locations: map[string]location{}}
	for _, entry := range byName {
		slices.SortFunc(entry.members, byHash)
		layout.zones = append(layout.zones, *entry)
	}
	slices.SortFunc(layout.zones, func(a, b zone) int {
		return strings.Compare(a.region+"\x00"+a.name, b.region+"\x00"+b.name)
	})
	for z, entry := range layout.zones {
		if z == 0 || entry.region != layout.zones[z-1].region {
			layout.regions = append(layout.regions, nil)
		}
		region := len(layout.regions) - 1
		layout.regions[region] = append(layout.regions[region], z)
		for i, name := range entry.members {
			layout.locations[name] = location{region: region, zone: z, index: i}
		}
	}
	layout.names = sortedKeys(layout.locations)
	return layout
}

func byHash(a, b string) int {
	first, second := xxhash.Sum64String(a), xxhash.Sum64String(b)
	switch {
	case first < second:
		return -1
	case first > second:
		return 1
	}
	return strings.Compare(a, b)
}

// Size returns the number of members.
func (l *Layout) Size() int { return len(l.locations) }

// Contains reports whether name is a member.
func (l *Layout) Contains(name string) bool {
	_, found := l.locations[name]
	return found
}

// SameZone reports whether both members are in the same availability zone.
func (l *Layout) SameZone(a, b string) bool {
	first, found := l.locations[a]
	second, known := l.locations[b]
	return found && known && first.zone == second.zone
}

// SameRegion reports whether both members are in the same region.
func (l *Layout) SameRegion(a, b string) bool {
	first, found := l.locations[a]
	second, known := l.locations[b]
	return found && known && l.zones[first.zone].region == l.zones[second.zone].region
}

// Names returns all members, sorted.
func (l *Layout) Names() []string { return l.names }

// Zone returns the members of name's availability zone.
func (l *Layout) Zone(name string) []string {
	return l.zones[l.locations[name].zone].members
}

// offset returns floor(n * frac(chunk * step)).
func offset(chunk int, step float64, n int) int {
	phase := float64(chunk) * step
	return int((phase-float64(int64(phase)))*float64(n)) % n
}

// position returns the position of name in its zone's tree for chunk. Position
// 0 is the root.
func (l *Layout) position(name string, chunk int) int {
	at := l.locations[name]
	size := len(l.zones[at.zone].members)
	return (at.index + offset(chunk, memberStep, size)) % size
}

// memberAt returns the member at a position of a zone's tree for chunk.
func (l *Layout) memberAt(z, position, chunk int) string {
	members := l.zones[z].members
	size := len(members)
	return members[(position-offset(chunk, memberStep, size)+size)%size]
}

// zoneOrder returns the zones in the order in which they receive chunk, grouped
// by region. The first zone receives it from the origin.
func (l *Layout) zoneOrder(chunk int) []int {
	first := offset(chunk, zoneStep, len(l.zones))
	own := l.locations[l.zones[first].members[0]].region
	order := make([]int, 0, len(l.zones))
	for i := range l.regions {
		zones := l.regions[(own+i)%len(l.regions)]
		start := offset(chunk, regionStep, len(zones))
		if i == 0 {
			start = first - zones[0]
		}
		for j := range zones {
			order = append(order, zones[(start+j)%len(zones)])
		}
	}
	return order
}

// zoneParents returns, for each zone, the zone from which it receives chunk, or
// -1 for the zone that receives it from the origin. A chunk enters each region
// once.
func (l *Layout) zoneParents(chunk int) []int {
	parents := make([]int, len(l.zones))
	var heads []int
	inRegion := map[string][]int{}
	for _, z := range l.zoneOrder(chunk) {
		region := l.zones[z].region
		before := inRegion[region]
		switch {
		case len(before) > 0:
			parents[z] = before[(len(before)-1)/fanout]
		case len(heads) > 0:
			parents[z] = heads[(len(heads)-1)/fanout]
		default:
			parents[z] = -1
		}
		if len(before) == 0 {
			heads = append(heads, z)
		}
		inRegion[region] = append(before, z)
	}
	return parents
}

// Root returns the member that fetches chunk from the origin.
func (l *Layout) Root(chunk int) string {
	if len(l.zones) == 0 {
		return ""
	}
	return l.memberAt(offset(chunk, zoneStep, len(l.zones)), 0, chunk)
}

// Parent returns the member from which name fetches chunk, or Origin.
func (l *Layout) Parent(name string, chunk int) string {
	at, found := l.locations[name]
	if !found {
		return Origin
	}
	if position := l.position(name, chunk); position > 0 {
		return l.memberAt(at.zone, (position-1)/fanout, chunk)
	}
	parent := l.zoneParents(chunk)[at.zone]
	if parent < 0 {
		return Origin
	}
	return l.memberAt(parent, 0, chunk)
}

// Children returns the members that fetch chunk from name.
func (l *Layout) Children(name string, chunk int) []string {
	at, found := l.locations[name]
	if !found {
		return nil
	}
	var children []string
	position := l.position(name, chunk)
	if position == 0 {
		for z, parent := range l.zoneParents(chunk) {
			if parent == at.zone {
				children = append(children, l.memberAt(z, 0, chunk))
			}
		}
	}
	for child := position*fanout + 1; child <= position*fanout+fanout; child++ {
		if child < len(l.zones[at.zone].members) {
			children = append(children, l.memberAt(at.zone, child, chunk))
		}
	}
	return children
}

// zoneRoots returns the root of each zone's tree for chunk.
func (l *Layout) zoneRoots(chunk int) []string {
	var names []string
	for z := range l.zones {
		names = append(names, l.memberAt(z, 0, chunk))
	}
	return names
}

// predecessors returns how many zones and how many members of its own zone come
// before name in the order in which instances take over a chunk after failures.
func (l *Layout) predecessors(name string, chunk int) (zones, position int) {
	at, found := l.locations[name]
	if !found {
		return 0, 0
	}
	return slices.Index(l.zoneOrder(chunk), at.zone), l.position(name, chunk)
}
