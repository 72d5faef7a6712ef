package placement

import (
	"maps"
	"slices"
	"time"
)

// evacuationLoadDelay is the time from an evacuation until the mean loads that other zones
// report contain the requests that have moved there: the transfer of a zone's last report and
// the start of the moved requests.
const evacuationLoadDelay = 500 * time.Millisecond

// evacuation is what is known of the evacuations of an availability zone.
type evacuation struct {
	// active says that the instances of the zone get no requests, startedAt since when.
	active    bool
	startedAt time.Time
	// endedAt is when the last evacuation was withdrawn; zero if none was.
	endedAt time.Time
}

// SetEvacuated sets the availability zones whose instances get no requests, as this entry has
// learned now. The instances of a zone that is no longer among them return to service slowly.
func (f *Fleet) SetEvacuated(zones []string, now time.Time) {
	for _, zone := range zones {
		if last := f.evacuations[zone]; !last.active {
			f.evacuations[zone] = evacuation{active: true, startedAt: now}
			f.evacuatedAt = now
		}
	}
	for zone, last := range f.evacuations {
		if !last.active && now.Sub(last.endedAt) > noticeRetention {
			delete(f.evacuations, zone)
		}
		if last.active && !slices.Contains(zones, zone) {
			f.evacuations[zone] = evacuation{endedAt: now}
			f.returnToService(zone, now)
		}
	}
}

// Evacuated returns the availability zones whose instances get no requests, sorted.
func (f *Fleet) Evacuated() []string {
	var zones []string
	for _, zone := range slices.Sorted(maps.Keys(f.evacuations)) {
		if f.evacuations[zone].active {
			zones = append(zones, zone)
		}
	}
	return zones
}

// returnToService lets the entries divide the slots of a zone's instances, as of those that
// have just become available. Instances of pools with a limit for cold ones count as cold until
// their list entries say that they are not: they may have become cold during the evacuation.
func (f *Fleet) returnToService(zone string, now time.Time) {
	coldUntil := now
	for _, inst := range f.instances {
		if inst.AvailabilityZone != zone {
			continue
		}
		if inst.available {
			inst.availableSince = now
		}
		if limit, hasLimit := f.coldLimit(inst.Pool); hasLimit {
			coldUntil = later(coldUntil, now.Add(limit.Time))
		}
	}
	if coldUntil.After(now) {
		f.MarkCold(zone, coldUntil, now)
	}
}

// evacuationEndedAt returns when the last evacuation of the instance's zone was withdrawn; zero
// if none was.
func (f *Fleet) evacuationEndedAt(inst *instance) time.Time {
	return f.evacuations[inst.AvailabilityZone].endedAt
}

// precedesMovedLoad reports whether the last received loads of a zone lack the requests that an
// evacuation has moved there.
func (f *Fleet) precedesMovedLoad(zone string) bool {
	receivedAt := f.zoneLoads[zone].receivedAt
	return !f.evacuatedAt.IsZero() && receivedAt.Before(f.evacuatedAt.Add(evacuationLoadDelay))
}
