// Command cases runs one case of the review: cases NAME RECORD. It writes to the file RECORD what was
// sent, answered and run. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"time"

	"plantainrelay/platform/standin"
	"plantainrelay/review/_harness3/rig"
)

// The service of all cases and the host of its routes.
const (
	bookings = "desk-api"
	host     = "desk.example"
	// memoryMb is the memory of an entry's machine.
	memoryMb = 284
)

// cases holds the cases by name. They return whether the rule was broken.
var cases = map[string]func(*rig.Rig) (broken bool, err error){
	"target":  pathWithTwoSlashes,
	"reload":  figureLeavesSettings,
	"power":   allLosePower,
	"errors":  errorBesideAPause,
	"standby": freezeAroundTheBound,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(rig.ExitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(run func(*rig.Rig) (bool, error), record string) int {
	r, err := rig.New(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return rig.ExitNotRun
	}
	defer r.Close()
	broken, err := run(r)
	switch {
	case err != nil:
		r.Record("the case could not run: %v", err)
		return rig.ExitNotRun
	case broken:
		r.Record("result: the rule is broken")
		return rig.ExitBroken
	}
	r.Record("result: the rule held")
	return rig.ExitHeld
}

// table returns the tables of a small deployment: a route whose requests may run once.
func table(prefix string) standin.Table {
	return standin.Table{
		Version: 1, MaxHeadBytes: 16 << 10, MaxBodyBytes: 4 << 20,
		Routes: []standin.Route{
			{Name: "visit-once", Host: host, PathPrefix: prefix, Pool: bookings, Kind: standin.NonIdempotent, Timeout: 2500 * time.Millisecond, Objective: 200 * time.Millisecond},
		},
		Pools: []standin.Pool{{Name: bookings}},
	}
}

// startEntries writes the tables and starts entries 1 to count, with two instances that take the
// given time for a request.
func startEntries(r *rig.Rig, count int, tables standin.Table, work time.Duration) (entries []*rig.Process, instances []*rig.Instance, err error) {
	if err := r.Store.Put(standin.KindTables, standin.TableName, tables.Encode()); err != nil {
		return nil, nil, err
	}
	for number := 51; number <= 52; number++ {
		instance, err := r.StartInstance(number, bookings, 6, work)
		if err != nil {
			return nil, nil, err
		}
		instances = append(instances, instance)
	}
	for number := 1; number <= count; number++ {
		entry, err := r.StartEntry(rig.Entry{Number: number, Seeds: []int{1, 2}, MemoryMb: memoryMb})
		if err != nil {
			return nil, nil, err
		}
		entries = append(entries, entry)
	}
	for number := 1; number <= count; number++ {
		if err := r.AwaitReady(number, 15*time.Second); err != nil {
			return nil, nil, err
		}
	}
	// Callers come once the entries know the instances.
	time.Sleep(time.Second)
	return entries, instances, nil
}

// book sends one request of the route on a new connection.
func book(r *rig.Rig, entry int, id, target string) rig.Answer {
	const body = `{"visit":"tomorrow"}`
	r.Record("sent: %s to entry %d: POST %s", id, entry, target)
	answer := rig.Send(r.Front(entry), "POST", fmt.Sprintf(
		"POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 2500\r\nContent-Length: %d\r\n\r\n%s", target, host, id, len(body), body), 4*time.Second)
	r.Record("answered: %s: %s", id, answer)
	return answer
}
