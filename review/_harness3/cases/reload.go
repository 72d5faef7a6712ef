package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"plantainrelay/review/_harness3/rig"
)

// figureLeavesSettings changes the settings file of running entries and sends them SIGHUP. With
// the disruption, the rules on retries are not in force any more, and their figures are gone.
func figureLeavesSettings(r *rig.Rig) (bool, error) {
	const (
		// work is how long an instance takes for a request.
		work          = 300 * time.Millisecond
		callersOfEach = 5
	)
	entries, _, err := startEntries(r, 2, table("/visits/"), work)
	if err != nil {
		return false, err
	}
	var callers sync.WaitGroup
	var stopped atomic.Bool
	var cut atomic.Int64
	for caller := range callersOfEach * len(entries) {
		callers.Go(func() {
			for number := 1; !stopped.Load(); number++ {
				id := fmt.Sprintf("c%d-%d", caller, number)
				// A request that finds no listener has not been read.
				if answer := book(r, 1+caller%len(entries), id, "/visits/"+id); answer.Sent && answer.Err != nil {
					cut.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	for _, entry := range entries {
		if err := r.ChangeSettings(entry, newSettings(r.Trouble)); err != nil {
			return false, err
		}
		r.Record("the settings file of %s changes; SIGHUP", entry.Name)
		if err := entry.Signal(syscall.SIGHUP); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	stopped.Store(true)
	callers.Wait()
	for _, entry := range entries {
		select {
		case <-entry.Exited():
			r.Record("%s has ended by itself: %s", entry.Name, panicLine(r.Log(entry)))
		default:
		}
	}
	r.Record("%d requests that were sent whole ended without an answer", cut.Load())
	return cut.Load() > 0, nil
}

// newSettings returns the change of a settings file: another slack for retries, or no figures of
// the rules on retries.
func newSettings(withoutRetries bool) func(text string) string {
	return func(text string) string {
		if !withoutRetries {
			return strings.Replace(text, "RetrySlack = 100\n", "RetrySlack = 104\n", 1)
		}
		var kept []string
		for line := range strings.Lines(text) {
			if !strings.HasPrefix(line, "Retry") {
				kept = append(kept, line)
			}
		}
		return strings.Join(kept, "")
	}
}

func panicLine(log string) string {
	_, after, found := strings.Cut(log, "panic: ")
	if !found {
		return "no panic in its log"
	}
	line, _, _ := strings.Cut(after, "\n")
	return "panic: " + line
}
