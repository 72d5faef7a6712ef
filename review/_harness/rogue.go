package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"plantainrelay/platform/standin"
)

func init() { cases["entry-of-another-writer"] = playEntryOfAnotherWriter }

const (
	// darkTime is how long all machines are without power in the final fault.
	darkTime = time.Second
	// checkTime is how long requests are counted later than recoverTime.
	checkTime = 15 * time.Second
	// foreignVersion is the version that the entry of another writer names.
	foreignVersion = 7
)

// powerOff ends all processes and backend servers at once, as a loss of power does: the
// engines lose what is staged. They are back after darkTime.
func (f *fleet) powerOff() error {
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		if err := p.cmd.Process.Kill(); err != nil {
			return err
		}
	}
	for _, b := range f.backends {
		b.losePower(darkTime)
	}
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		<-p.exited
	}
	f.record.add("power", "all machines are without power")
	time.Sleep(darkTime)
	for i, p := range f.entries {
		started, err := f.restart(p)
		if err != nil {
			return err
		}
		f.entries[i] = started
	}
	for i, p := range f.agents {
		started, err := f.restart(p)
		if err != nil {
			return err
		}
		f.agents[i] = started
	}
	f.record.add("power", "all machines are back")
	return nil
}

// playEntryOfAnotherWriter enters a list entry without most of its fields, as another
// writer does, and ends with a loss of power of all machines.
func playEntryOfAnotherWriter(f *fleet, trouble bool) (bool, error) {
	if err := f.publish(modelTable(f.originAddress)); err != nil {
		return false, err
	}
	if err := f.store.Put(standin.KindReleases, modelWeights.Model, standin.EncodeRelease(modelWeights.Model, 1)); err != nil {
		return false, err
	}
	if err := f.addEntries(3); err != nil {
		return false, err
	}
	if err := f.addBackends(modelPool, 6, nil); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var loops sync.WaitGroup
	loops.Go(func() { f.reportLoop(stop) })
	defer func() { close(stop); loops.Wait() }()
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	if trouble {
		// Zone, Version, Slots, ColdLeftMs, Seq and born are missing.
		foreign := map[string]any{
			"Service": modelPool, "Address": fmt.Sprintf("%s:%d", f.address(0, 99), backendPort), "State": "ready",
			"Models": []map[string]any{{"Name": modelWeights.Model, "Version": foreignVersion}},
		}
		if err := f.store.Put(standin.KindBackends, "inventory-1", foreign); err != nil {
			return false, err
		}
		f.record.add("list", "another writer enters inventory-1: %v", foreign)
	}
	time.Sleep(3 * time.Second)
	send := func(length time.Duration) (share float64, sent int) {
		var mu sync.Mutex
		served := 0
		var calls sync.WaitGroup
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for until := time.Now().Add(length); time.Now().Before(until); sent++ {
			entry := f.entries[sent%len(f.entries)]
			calls.Go(func() {
				c := call{attempt: nextAttempt(), method: http.MethodPost, target: "/write/1", body: "x", key: callerKey, events: 10, limit: 6 * time.Second, parts: []string{"5eed0001", "0e0e0e01"}}
				got := c.send(f.record, entry)
				mu.Lock()
				defer mu.Unlock()
				if got.served(c.attempt) {
					served++
				}
			})
			<-ticker.C
		}
		calls.Wait()
		return float64(served) / float64(max(sent, 1)), sent
	}
	before, sentBefore := send(8 * time.Second)
	if err := f.powerOff(); err != nil {
		return false, err
	}
	time.Sleep(recoverTime)
	after, sentAfter := send(checkTime)
	f.verdict("%.0f%% of %d requests served before the final fault, %.0f%% of %d later than %s after the machines were back", 100*before, sentBefore, 100*after, sentAfter, recoverTime)
	for _, b := range f.backends {
		f.record.add("engine", "%s has loaded version %d", b.name, b.sound.LoadedVersion())
	}
	if before < 0.25 {
		return false, fmt.Errorf("only %.0f%% of the requests are served before the final fault", 100*before)
	}
	return after < 0.25, nil
}
