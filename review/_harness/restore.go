package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"plantainrelay/platform/standin"
)

func init() { cases["restore-and-restart"] = playRestoreAndRestart }

const revokedKey = "key-2"

// playRestoreAndRestart takes a key away, and restores the store to a copy from before
// while an entry is restarted. The operator writes the manifest again two seconds later.
func playRestoreAndRestart(f *fleet, trouble bool) (bool, error) {
	if err := f.publish(serviceTable(3, callerKey, revokedKey)); err != nil {
		return false, err
	}
	if err := f.addEntries(3); err != nil {
		return false, err
	}
	if err := f.addBackends(servicePool, 3, func(_ *backend, next http.Handler, w http.ResponseWriter, r *http.Request) { next.ServeHTTP(w, r) }); err != nil {
		return false, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	if err := f.publish(serviceTable(5, callerKey)); err != nil {
		return false, err
	}
	acked := time.Now()
	f.record.add("operator", "version 5 takes %s away", revokedKey)
	time.Sleep(5200 * time.Millisecond)
	entry := f.entries[1]
	if trouble {
		f.store.SetFaults(standin.StoreFaults{Silent: true})
		time.Sleep(300 * time.Millisecond)
		f.store.Restore(time.Since(acked) + 500*time.Millisecond)
		f.record.add("store", "restored to a copy from before version 5, era %d", f.store.Era())
	}
	if err := entry.cmd.Process.Signal(syscall.SIGKILL); err != nil {
		return false, err
	}
	<-entry.exited
	f.store.SetFaults(standin.StoreFaults{})
	started, err := f.start("entry-b1", entry.ip, "b", "plantain-entry", "", "")
	if err != nil {
		return false, err
	}
	f.entries[1] = started
	until := time.Now().Add(2 * time.Second)
	ran, all := 0, 0
	var mu sync.Mutex
	var senders sync.WaitGroup
	for range 24 {
		senders.Go(func() {
			for time.Now().Before(until) {
				c := call{attempt: nextAttempt(), method: http.MethodPost, target: "/book/1", body: "x", key: revokedKey, limit: 2500 * time.Millisecond}
				got := c.send(f.record, started)
				mu.Lock()
				if got.status != 0 {
					all++
				}
				if got.status == 200 {
					ran++
				}
				mu.Unlock()
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	senders.Wait()
	if err := f.publish(serviceTable(5, callerKey)); err != nil {
		return false, err
	}
	f.verdict("%d of %d requests with the revoked key ran", ran, all)
	return ran > 0, nil
}
