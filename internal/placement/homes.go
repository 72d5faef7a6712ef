package placement

import (
	"slices"
	"time"
)

// AllowsZone reports whether a request with these requirements may be sent to the instances
// of an availability zone: it is not evacuated, and in an allowed region. A zone whose region
// is unknown is in no home region.
func (f *Fleet) AllowsZone(zone string, need Requirements) bool {
	if f.evacuations[zone].active {
		return false
	}
	if !need.RegionsRestricted {
		return true
	}
	region := f.config.Regions[zone]
	return region != "" && slices.Contains(need.Regions, region)
}

// EarliestStart returns from when on an instance may take a request with these requirements,
// whether or not it has free slots then: now, or when its wait or its backoff ends. known is
// false if no instance may take it, or only at an unknown time.
func (f *Fleet) EarliestStart(need Requirements, now time.Time) (at time.Time, known bool) {
	for _, inst := range f.instances {
		if !f.accepts(inst, need) || need.Tried[inst.ID] || need.Model != "" && (!inst.hasVersion(need) || inst.switching()) {
			continue
		}
		from := later(inst.usableFrom(), now)
		if from.Equal(now) {
			return now, true
		}
		at, known = earlier(at, from), true
	}
	return at, known
}
