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

func idleByAgents(bin string, r *results) error {
	for _, agents := range []int{6, 18, 36} {
		err := withFleet(bin, fleetConfig{entries: 2, agents: agents}, func(p *probe) error {
			return idle(p, r, "agents (2 entries)", float64(agents), targetAgents)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func idleByEntries(bin string, r *results) error {
	for _, entries := range []int{2, 8, 20, 36} {
		err := withFleet(bin, fleetConfig{entries: entries, agents: 4}, func(p *probe) error {
			return idle(p, r, "entries (4 agents)", float64(entries), targetEntries)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// idle measures both processes and the calls to the store while no requests run.
func idle(p *probe, r *results, by string, size, target float64) error {
	var calls standin.StoreRecords
	if err := cluster.GetJSON(p.fleet.PlatformURL+"/records/store", &calls); err != nil {
		return err
	}
	before := calls.Calls
	measured, err := p.both(func() error {
		time.Sleep(idleTime)
		return nil
	})
	if err != nil {
		return err
	}
	if err := cluster.GetJSON(p.fleet.PlatformURL+"/records/store", &calls); err != nil {
		return err
	}
	idleRow(r, "entry idle", by, measured[0], target, size)
	idleRow(r, "agent idle", by, measured[1], target, size)
	r.add("store calls of the fleet", by, "1/s", target, size, float64(calls.Calls-before)/idleTime.Seconds())
	return nil
}

func idleRow(r *results, name, by string, measured rates, target, size float64) {
	r.add(name+" CPU", by, "% of a core", target, size, 100*measured.cores)
	r.add(name+" memory", by, "MiB", target, size, measured.residentMiB)
	r.add(name+" control traffic", by, "B/s", target, size, measured.control)
	r.add(name+" store traffic", by, "B/s", target, size, measured.store)
	r.add(name+" list traffic", by, "B/s", target, size, measured.list)
}

const (
	editsBySize  = 4
	editPause    = 2 * time.Second
	editRoutes   = 100
	targetRoutes = table.MaxRoutes
)

// editByRoutes measures the control traffic and the processor time that one edit
// causes at each process, at several numbers of routes.
func editByRoutes(bin string, r *results) error {
	return withFleet(bin, fleetConfig{entries: 4, agents: 4}, func(p *probe) error {
		for _, routes := range []int{10, 100, 400} {
			if err := edits(p, r, routes, "routes (4 entries)", float64(routes), targetRoutes); err != nil {
				return err
			}
		}
		return nil
	})
}

// editByEntries measures how that cost grows with the number of entries.
func editByEntries(bin string, r *results) error {
	for _, entries := range []int{2, 8, 20} {
		err := withFleet(bin, fleetConfig{entries: entries, agents: 4}, func(p *probe) error {
			return edits(p, r, editRoutes, "entries (100 routes)", float64(entries), targetEntries)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// edits measures edits of tables with that many routes, less the idle cost over
// the same time. by, size and target describe the varied quantity.
func edits(p *probe, r *results, routes int, by string, size, target float64) error {
	quiet := func() error {
		time.Sleep(editsBySize * editPause)
		return nil
	}
	busy := func() error {
		for range editsBySize {
			if err := editOnce(p.fleet, routes); err != nil {
				return err
			}
			time.Sleep(editPause)
		}
		return nil
	}
	idle, err := p.both(quiet)
	if err != nil {
		return err
	}
	edited, err := p.both(busy)
	if err != nil {
		return err
	}
	seconds := (editsBySize * editPause).Seconds()
	for i, name := range []string{"edit at an entry", "edit at an agent"} {
		r.add(name+" control traffic", by, "B each", target, size, (edited[i].control-idle[i].control)*seconds/editsBySize)
		r.add(name+" CPU", by, "ms each", target, size, 1000*(edited[i].cores-idle[i].cores)*seconds/editsBySize)
	}
	return nil
}

var editNumber int

func editOnce(fleet *cluster.Cluster, routes int) error {
	status, err := fleet.Status(editor(fleet))
	if err != nil {
		return err
	}
	return putTables(fleet, status.Revision, routes)
}

// editor returns the entry that accepts the edits: not the measured one, if there
// is another.
func editor(fleet *cluster.Cluster) string {
	if fleet.AdminURL("entry-2") != "" {
		return "entry-2"
	}
	return entryName
}

func putTables(fleet *cluster.Cluster, expected int64, routes int) error {
	editNumber++
	tables := table.Tables{Pools: []table.Pool{{Name: "service", Kind: table.KindService, Instances: []string{"service-*"}}}}
	for i := range routes {
		tables.Routes = append(tables.Routes, table.Route{
			Name: fmt.Sprintf("route-%d-%d", editNumber, i), Customer: fmt.Sprintf("customer-%d", i), Path: "/service", Pool: "service",
			Priority: table.PriorityNormal, Deadline: time.Minute, Repeatable: true,
		})
	}
	_, err := fleet.Apply(editor(fleet), expected, tables)
	return err
}
