package distribute

import (
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"plantainrelay/internal/member"
	"plantainrelay/internal/swarm"
	"plantainrelay/internal/table"
)

const fleetRefreshInterval = time.Second

// fleet holds the instances that receive the same weights, according to the list
// of instances and the tables.
type fleet struct {
	layout      *swarm.Layout
	members     []swarm.Member
	instances   map[string]member.Instance
	list        *member.List
	tables      *table.Snapshot
	nextRefresh time.Time
}

// refreshFleet updates the fleet after a change of the list or the tables.
func (d *Driver) refreshFleet(now time.Time) {
	list, snapshot := d.members.Current(), d.tables.Current()
	if snapshot == nil || now.Before(d.fleet.nextRefresh) && snapshot == d.fleet.tables {
		return
	}
	if list == d.fleet.list && snapshot == d.fleet.tables {
		return
	}
	d.fleet.list, d.fleet.tables, d.fleet.nextRefresh = list, snapshot, now.Add(fleetRefreshInterval)
	members, instances := d.poolMembers(list, snapshot)
	d.fleet.instances = instances
	if d.fleet.layout != nil && slices.Equal(members, d.fleet.members) {
		return
	}
	d.fleet.members, d.fleet.layout = members, swarm.NewLayout(members)
	d.setRegionRate()
	if d.plan != nil {
		d.plan.SetLayout(d.fleet.layout)
	}
}

// poolMembers returns the live instances of this instance's pool, itself
// included, sorted by name.
func (d *Driver) poolMembers(list *member.List, snapshot *table.Snapshot) ([]swarm.Member, map[string]member.Instance) {
	own, _ := snapshot.PoolOf(d.config.Self)
	members := []swarm.Member{{Name: d.config.Self, AvailabilityZone: d.config.AvailabilityZone, Region: d.config.Region}}
	instances := map[string]member.Instance{}
	for _, instance := range list.Instances {
		if instance.Role != member.RoleAgent || instance.State != member.StateLive || instance.Name == d.config.Self {
			continue
		}
		if pool, found := snapshot.PoolOf(instance.Name); !found || pool.Name != own.Name {
			continue
		}
		members = append(members, swarm.Member{Name: instance.Name, AvailabilityZone: instance.AvailabilityZone, Region: instance.Region})
		instances[instance.Name] = instance
	}
	slices.SortFunc(members, func(a, b swarm.Member) int { return strings.Compare(a.Name, b.Name) })
	return members, instances
}

// setRegionRate sets the rate limit of this instance to its share of RegionRate.
func (d *Driver) setRegionRate() {
	inRegion := 0
	for _, other := range d.fleet.members {
		if other.Region == d.config.Region {
			inRegion++
		}
	}
	if d.config.RegionRate > 0 {
		d.regionLimiter.SetLimit(rate.Limit(float64(d.config.RegionRate) / float64(max(inRegion, 1))))
	}
}

// inOtherRegion reports whether a source is in another region.
func (d *Driver) inOtherRegion(source string) bool {
	return source != swarm.Origin && d.fleet.instances[source].Region != d.config.Region
}
