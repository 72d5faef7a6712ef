package main

import (
	"fmt"
	"time"

	"plantainrelay/internal/table"
	"plantainrelay/test/cluster"
	"plantainrelay/test/standin"
)

// The fleet size that the project is designed for.
const (
	targetEntries = 330
	targetAgents  = 600
)

// The names of the measured instances.
const (
	entryName = "entry-1"
	agentName = "service-1"
)

func measureIdleByAgents(bin string, r *results) error {
	for _, agents := range []int{6, 18, 36} {
		err := withFleet(bin, fleetConfig{entries: 2, agents: agents}, func(p *probe) error {
			return measureIdle(p, r, "agents (2 entries)", float64(agents), targetAgents)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func measureIdleByEntries(bin string, r *results) error {
	for _, entries := range []int{2, 8, 20, 36} {
		err := withFleet(bin, fleetConfig{entries: entries, agents: 4}, func(p *probe) error {
			return measureIdle(p, r, "entries (4 agents)", float64(entries), targetEntries)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureIdle measures the entry, the agent and the calls to the store while no
// requests run.
func measureIdle(p *probe, r *results, by string, size, target float64) error {
	var calls standin.StoreRecords
	if err := cluster.GetJSON(p.fleet.PlatformURL+"/records/store", &calls); err != nil {
		return err
	}
	before := calls.Calls
	measured, err := p.ratesDuring(func() error {
		time.Sleep(idleDuration)
		return nil
	})
	if err != nil {
		return err
	}
	if err := cluster.GetJSON(p.fleet.PlatformURL+"/records/store", &calls); err != nil {
		return err
	}
	addIdleSeries(r, "entry idle", by, measured[0], target, size)
	addIdleSeries(r, "agent idle", by, measured[1], target, size)
	r.add("store calls of the fleet", by, "1/s", target, size, float64(calls.Calls-before)/idleDuration.Seconds())
	return nil
}

func addIdleSeries(r *results, name, by string, measured rates, target, size float64) {
	r.add(name+" CPU", by, "% of a core", target, size, 100*measured.cores)
	r.add(name+" memory", by, "MiB", target, size, measured.residentMiB)
	r.add(name+" control traffic", by, "B/s", target, size, measured.controlBytes)
	r.add(name+" store traffic", by, "B/s", target, size, measured.storeBytes)
	r.add(name+" list traffic", by, "B/s", target, size, measured.listBytes)
}

const (
	editsPerSize = 4
	editPause    = 2 * time.Second
	editRoutes   = 100
	targetRoutes = table.MaxRoutes
)

// measureEditByRoutes measures the control traffic and the processor time that
// one edit causes at each process, at several numbers of routes.
func measureEditByRoutes(bin string, r *results) error {
	return withFleet(bin, fleetConfig{entries: 4, agents: 4}, func(p *probe) error {
		for _, routes := range []int{10, 100, 400} {
			if err := measureEdits(p, r, routes, "routes (4 entries)", float64(routes), targetRoutes); err != nil {
				return err
			}
		}
		return nil
	})
}

// measureEditByEntries measures the same cost at several numbers of entries.
func measureEditByEntries(bin string, r *results) error {
	for _, entries := range []int{2, 8, 20} {
		err := withFleet(bin, fleetConfig{entries: entries, agents: 4}, func(p *probe) error {
			return measureEdits(p, r, editRoutes, "entries (100 routes)", float64(entries), targetEntries)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureEdits measures the cost of edits of tables with the given number of
// routes, less the idle cost over the same time. by, size and target describe
// the varied quantity.
func measureEdits(p *probe, r *results, routes int, by string, size, target float64) error {
	quiet := func() error {
		time.Sleep(editsPerSize * editPause)
		return nil
	}
	busy := func() error {
		for range editsPerSize {
			if err := applyEdit(p.fleet, routes); err != nil {
				return err
			}
			time.Sleep(editPause)
		}
		return nil
	}
	idle, err := p.ratesDuring(quiet)
	if err != nil {
		return err
	}
	edited, err := p.ratesDuring(busy)
	if err != nil {
		return err
	}
	seconds := (editsPerSize * editPause).Seconds()
	for i, name := range []string{"edit at an entry", "edit at an agent"} {
		r.add(name+" control traffic", by, "B each", target, size, (edited[i].controlBytes-idle[i].controlBytes)*seconds/editsPerSize)
		r.add(name+" CPU", by, "ms each", target, size, 1000*(edited[i].cores-idle[i].cores)*seconds/editsPerSize)
	}
	return nil
}

var editCount int

func applyEdit(fleet *cluster.Cluster, routes int) error {
	status, err := fleet.Status(editEntry(fleet))
	if err != nil {
		return err
	}
	return putTables(fleet, status.Revision, routes)
}

// editEntry returns the entry that accepts the edits: not the measured one, if
// there is another.
func editEntry(fleet *cluster.Cluster) string {
	if fleet.AdminURL("entry-2") != "" {
		return "entry-2"
	}
	return entryName
}

func putTables(fleet *cluster.Cluster, expected int64, routes int) error {
	editCount++
	tables := table.Tables{Pools: []table.Pool{{Name: "service", Kind: table.KindService, Instances: []string{"service-*"}}}}
	for i := range routes {
		tables.Routes = append(tables.Routes, table.Route{
			Name: fmt.Sprintf("route-%d-%d", editCount, i), Customer: fmt.Sprintf("customer-%d", i), Path: "/service", Pool: "service",
			Priority: table.PriorityNormal, Deadline: time.Minute, Repeatable: true,
		})
	}
	_, err := fleet.Apply(editEntry(fleet), expected, tables)
	return err
}
