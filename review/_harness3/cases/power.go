package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"plantainrelay/platform/standin"
	"plantainrelay/review/_harness3/rig"
)

const (
	engines = "model-fleet"
	// engineCount is the number of engines, each with an agent on its machine.
	engineCount = 3
	// powerOffTime is how long all machines are without power, more than three status reports.
	powerOffTime = 5 * time.Second
	// heartbeat is HeartbeatMs; the store removes the entry of an engine after three of them.
	heartbeat = 1200 * time.Millisecond
	// recoverTime is RecoverS.
	recoverTime = 12 * time.Second
)

var weights = standin.Weights{Model: "daka510000", Chunks: 16, ChunkBytes: 32 << 10, Layers: 16}

// engine is the model engine of a machine, with its agent.
type engine struct {
	number, starts int
	backend        *standin.Backend
}

func (e *engine) id() string { return fmt.Sprintf("i-engine-%d-%d", e.number, e.starts) }

// start starts the engine, which holds the given version of the weights, and its agent.
func (e *engine) start(r *rig.Rig, version int64) error {
	e.starts++
	listener, err := net.Listen("tcp", r.IP(e.number)+":8081")
	if err != nil {
		return err
	}
	address := listener.Addr().String()
	e.backend = standin.NewBackend(standin.BackendConfig{
		ID: e.id(), Pool: engines, Zone: rig.Zone, Address: address, Slots: 8, Weights: &weights,
		OnStart: func(x standin.Execution) {
			r.Record("run: %s runs %s with version %d", x.BackendID, x.Attempt, x.Version)
		},
	}, version, nil)
	go e.backend.Serve(listener)
	if err := r.Store.Put(standin.KindBackends, e.id(), e.backend.Document()); err != nil {
		return err
	}
	_, err = r.StartAgent(e.number, address, engines, 1, 2)
	return err
}

// allLosePower runs a fleet whose engines hold the version that they were started with, which the
// operator has never named. With the disruption, all machines lose power for some time.
func allLosePower(r *rig.Rig) (bool, error) {
	origin, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	go func() {
		_ = (&http.Server{Handler: standin.NewOrigin(weights), ReadHeaderTimeout: time.Minute}).Serve(origin)
	}()
	tables := standin.Table{
		Version: 1,
		Routes: []standin.Route{
			{Name: "fault-triage", Host: host, PathPrefix: "/triage/", Pool: engines, Kind: standin.Streaming, Timeout: 6 * time.Second, Objective: 500 * time.Millisecond},
		},
		Pools: []standin.Pool{{Name: engines, Slots: 8, Weights: &weights}, {Name: "weights", Origin: origin.Addr().String(), Zone: rig.Zone}},
	}
	if err := r.Store.Put(standin.KindTables, standin.TableName, tables.Encode()); err != nil {
		return false, err
	}
	var fleet []*engine
	for number := 101; number < 101+engineCount; number++ {
		fleet = append(fleet, &engine{number: number})
	}
	if err := startFleet(r, fleet, 1); err != nil {
		return false, err
	}
	before := countServed(r, "before")
	if before < streams/4 {
		return false, fmt.Errorf("only %d streams were served before the disruption", before)
	}
	if r.Trouble {
		if err := losePower(r, fleet); err != nil {
			return false, err
		}
	}
	time.Sleep(recoverTime)
	after := countServed(r, "after")
	return after < streams/4, nil
}

// startFleet starts the engines with their agents, and two entries.
func startFleet(r *rig.Rig, fleet []*engine, version int64) error {
	for _, one := range fleet {
		if err := one.start(r, version); err != nil {
			return err
		}
	}
	for number := 1; number <= 2; number++ {
		if _, err := r.StartEntry(rig.Entry{Number: number, Seeds: []int{1, 2}, MemoryMb: memoryMb}); err != nil {
			return err
		}
	}
	for number := 1; number <= 2; number++ {
		if err := r.AwaitReady(number, 15*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// losePower ends all processes and engines at once, and starts them again without what they held.
// The store goes on all the while.
func losePower(r *rig.Rig, fleet []*engine) error {
	r.Record("all machines lose power")
	r.SignalAll(syscall.SIGKILL)
	for _, one := range fleet {
		one.backend.Stop()
	}
	time.Sleep(3 * heartbeat)
	for _, one := range fleet {
		r.Store.Remove(standin.KindBackends, one.id())
	}
	r.Record("the entries of the engines have lapsed")
	time.Sleep(powerOffTime - 3*heartbeat)
	r.Record("all machines are back")
	return startFleet(r, fleet, 0)
}

// streams is the number of requests that are sent before and after the disruption.
const streams = 20

// countServed sends requests and returns how many were served.
func countServed(r *rig.Rig, when string) int {
	served := 0
	for number := 1; number <= streams; number++ {
		id := fmt.Sprintf("%s-%d", when, number)
		const body = "panel 7"
		r.Record("sent: %s", id)
		answer := rig.Send(r.Front(1+number%2), "POST", fmt.Sprintf(
			"POST /triage/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: %s\r\nToken-Usage: 40,40\r\nPrompt-Prefix: a1:30,%x:10\r\nDeadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n%s",
			id, host, id, weights.Model, number, len(body), body), 7*time.Second)
		r.Record("answered: %s: %s", id, answer)
		if answer.Err == nil && answer.Status == http.StatusOK && strings.Contains(answer.Body, "id:") {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.Record("%s: %d of %d streams were served", when, served, streams)
	return served
}
