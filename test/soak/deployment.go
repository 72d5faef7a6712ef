// Package soak runs the whole system with real processes behind
// fault-injecting proxies, under open-loop load and injected faults, and
// records the history that package checker checks.
package soak

import (
	"fmt"
	"time"

	"plantainrelay/internal/table"
	"plantainrelay/internal/weights"
	"plantainrelay/test/cluster"
	"plantainrelay/test/faultproxy"
)

// Deployment describes the current deployment of one user: its size and its network.
type Deployment struct {
	Name string
	// Zones are the availability zones, each in the region of the same name; the store
	// is in the first one.
	Zones []string
	// Entries, Models, Ledgers and Records count instances.
	Entries, Models, Ledgers, Records int
	// ModelName, LedgerName and RecordName are the pool names. They are also the
	// prefixes of instance names and the paths of requests.
	ModelName, LedgerName, RecordName string
	// ZoneDelay, RegionDelay and ClientDelay are one-way network delays.
	ZoneDelay, RegionDelay, ClientDelay time.Duration
	Prefer                              table.Preference
}

// regionBytesPerSecond is 20 Mbit/s in each direction.
const regionBytesPerSecond = 20_000_000 / 8

// Deployments are the deployments of the two users, by name.
var Deployments = map[string]Deployment{
	"dumitrescu": {
		Name: "dumitrescu", Zones: []string{"muntenia", "ardeal", "moldova"},
		Entries: 8, Models: 16, Ledgers: 3, Records: 1,
		ModelName: "model", LedgerName: "booking", RecordName: "records",
		ZoneDelay: 5 * time.Millisecond, RegionDelay: 3 * time.Millisecond, ClientDelay: 3 * time.Millisecond,
		Prefer: table.PreferTime,
	},
	"autentica": {
		Name: "autentica", Zones: []string{"santiago", "valparaiso", "biobio"},
		Entries: 8, Models: 14, Ledgers: 3, Records: 1,
		ModelName: "verdict", LedgerName: "ledger", RecordName: "portal",
		ZoneDelay: 4 * time.Millisecond, RegionDelay: time.Millisecond, ClientDelay: 3 * time.Millisecond,
		Prefer: table.PreferOriginBytes,
	},
}

// Small returns the deployment with fewer instances, for CI.
func (d Deployment) Small() Deployment {
	d.Entries, d.Models, d.Ledgers = 3, 4, 2
	return d
}

// linkConfig returns the network conditions between two locations. Each zone is a
// region of its own, so the delay between zones is the sum of both delays.
func (d Deployment) linkConfig(from, to string) faultproxy.LinkConfig {
	if from == cluster.LocationClients || to == cluster.LocationClients {
		return faultproxy.LinkConfig{Delay: d.ClientDelay}
	}
	return faultproxy.LinkConfig{Delay: d.ZoneDelay + d.RegionDelay, BytesPerSecond: regionBytesPerSecond}
}

func (d Deployment) instances(prefix string, count int, service bool) []cluster.Instance {
	var all []cluster.Instance
	for i := range count {
		zone := d.Zones[i%len(d.Zones)]
		all = append(all, cluster.Instance{
			Name: fmt.Sprintf("%s-%d", prefix, i+1), AvailabilityZone: zone, Region: zone, Service: service,
		})
	}
	return all
}

func (d Deployment) entries() []cluster.Instance { return d.instances("entry", d.Entries, false) }

func (d Deployment) agents() []cluster.Instance {
	all := d.instances(d.ModelName, d.Models, false)
	all = append(all, d.instances(d.LedgerName, d.Ledgers, true)...)
	return append(all, d.instances(d.RecordName, d.Records, true)...)
}

const (
	lookupDeadline = 20 * time.Second
	ledgerDeadline = 20 * time.Second
	maxUnavailable = 2
)

// tables returns tables with version as the target version. The number is part
// of a route name, so that the tables of any two edits differ.
func (d Deployment) tables(version string, manifest weights.Digest, number int) table.Tables {
	return table.Tables{
		Pools: []table.Pool{
			{Name: d.ModelName, Kind: table.KindModel, Instances: []string{d.ModelName + "-*"}, Version: version,
				Manifest: string(manifest), MaxUnavailable: maxUnavailable, Prefer: d.Prefer},
			{Name: d.LedgerName, Kind: table.KindService, Instances: []string{d.LedgerName + "-*"}},
			{Name: d.RecordName, Kind: table.KindService, Instances: []string{d.RecordName + "-*"}},
		},
		Routes: []table.Route{
			{Name: fmt.Sprintf("edit-%d", number), Customer: "*", Path: "/nobody-asks-this", Pool: d.RecordName, Priority: table.PriorityBatch, Deadline: lookupDeadline},
			{Name: "model", Customer: "*", Path: "/" + d.ModelName, Pool: d.ModelName, Repeatable: true, Priority: table.PriorityNormal, Deadline: lookupDeadline},
			{Name: "ledger", Customer: "*", Path: "/" + d.LedgerName, Pool: d.LedgerName, Priority: table.PriorityUrgent, Deadline: ledgerDeadline},
			{Name: "record", Customer: "*", Path: "/" + d.RecordName, Pool: d.RecordName, Repeatable: true, Priority: table.PriorityNormal, Deadline: lookupDeadline},
		},
	}
}
