package placement

import (
	"time"
)

// ZoneLoad is the mean load of the instances of a pool in an availability zone.
type ZoneLoad struct {
	// Utilization is the number of requests in progress as a share of the request limit.
	Utilization float64
	// PendingPromptTokens is the number of prompt tokens that an instance has not
	// processed yet.
	PendingPromptTokens int
}

// receivedZoneLoads are the loads of a zone by pool, and when they were received.
type receivedZoneLoads struct {
	byPool     map[string]ZoneLoad
	receivedAt time.Time
}

// ZoneLoads returns the mean loads of the instances that accept requests in this
// entry's availability zone, by pool.
func (f *Fleet) ZoneLoads(now time.Time) map[string]ZoneLoad {
	type sum struct{ instances, load, limit, tokens int }
	sums := map[string]sum{}
	for _, inst := range f.instances {
		if inst.AvailabilityZone != f.config.AvailabilityZone || !inst.available || inst.Leaving || inst.addressReused || inst.saysLeaving() {
			continue
		}
		total := sums[inst.Pool]
		total.instances++
		total.load += f.load(inst, now)
		total.limit += f.limit(inst)
		total.tokens += f.pendingPromptTokens(inst, now)
		sums[inst.Pool] = total
	}
	loads := make(map[string]ZoneLoad, len(sums))
	for pool, total := range sums {
		loads[pool] = ZoneLoad{Utilization: float64(total.load) / float64(total.limit), PendingPromptTokens: total.tokens / total.instances}
	}
	return loads
}

// UpdateZoneLoads records the mean loads of another availability zone, as an entry there
// has reported them at the given time. Entries of a large fleet learn the loads that far
// entries cause too late or not at all, and use the means instead.
func (f *Fleet) UpdateZoneLoads(zone string, byPool map[string]ZoneLoad, now time.Time) {
	if last, found := f.zoneLoads[zone]; zone == f.config.AvailabilityZone || found && now.Before(last.receivedAt) {
		return
	}
	f.zoneLoads[zone] = receivedZoneLoads{byPool: byPool, receivedAt: now}
}

// withZoneMean combines the load that is known of an instance in another zone with the mean
// there. The mean contains what is known, unless it precedes the requests that an evacuation
// has moved: then they add to it, so that the entries do not overload the zone at once.
func (f *Fleet) withZoneMean(zone string, known, mean int) int {
	if f.precedesMovedLoad(zone) {
		return known + mean
	}
	return max(known, mean)
}

// zoneLoad returns the mean load in the zone of an instance. It returns false for this
// entry's own zone, and when no recent report is known.
func (f *Fleet) zoneLoad(inst *instance, now time.Time) (ZoneLoad, bool) {
	received, found := f.zoneLoads[inst.AvailabilityZone]
	if !found || now.Sub(received.receivedAt) > f.config.MaxPeerLoadAge {
		return ZoneLoad{}, false
	}
	load, found := received.byPool[inst.Pool]
	return load, found
}
