package rollout

import (
	"maps"
	"slices"
	"time"
)

// maxPending bounds the releases that are kept: more than follow each other before an
// instance has loaded one of them.
const maxPending = 32

// Pending holds the releases that an instance does not serve yet, with the time at which
// each was first seen. A newer release replaces the older ones as the target, but the
// bounds of the older ones go on. It is not safe for concurrent use; the zero value is
// empty.
type Pending struct {
	firstSeen map[int64]time.Time
}

// Add records a release. The earliest time counts.
func (p *Pending) Add(version int64, seen time.Time) {
	if known, found := p.firstSeen[version]; found && !seen.Before(known) {
		return
	}
	if p.firstSeen == nil {
		p.firstSeen = map[int64]time.Time{}
	}
	p.firstSeen[version] = seen
	if len(p.firstSeen) > maxPending {
		delete(p.firstSeen, slices.Min(slices.Collect(maps.Keys(p.firstSeen))))
	}
}

// RemoveUpTo removes the releases that an instance with this version no longer lacks.
func (p *Pending) RemoveUpTo(version int64) {
	maps.DeleteFunc(p.firstSeen, func(known int64, _ time.Time) bool { return known <= version })
}

// Since returns when the first of the pending releases was seen. found is false if there
// are none.
func (p *Pending) Since() (first time.Time, found bool) {
	for _, seen := range p.firstSeen {
		if !found || seen.Before(first) {
			first, found = seen, true
		}
	}
	return first, found
}
