package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"plantainrelay/platform/standin"
)

func init() { cases["silence-during-drain"] = playSilenceDuringDrain }

const (
	// streamEvents is the number of events of each stream, pauseAfter the event after which
	// an engine pauses, as when it preempts a request and reads its prompt again.
	streamEvents, pauseAfter = 12, 4
	// enginePause is below the gap at which callers give up (2 s, or eight times the pause
	// of 400 ms in the manifest, whichever is longer).
	enginePause = 1500 * time.Millisecond
	eventGap    = 60 * time.Millisecond
)

// pausingEngine streams the answer with one pause in each run.
func pausingEngine(pause time.Duration) func(*backend, http.Handler, http.ResponseWriter, *http.Request) {
	return func(b *backend, next http.Handler, w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		id := b.id
		b.mu.Unlock()
		if r.Header.Get(standin.HeaderExpectID) != id {
			next.ServeHTTP(w, r)
			return
		}
		attempt := r.Header.Get(standin.HeaderAttempt)
		// A missing header means that the stream begins at its first event.
		last, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEvent))
		b.fleet.record.add("run", "%s begins %s after event %d", id, attempt, last)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(standin.HeaderAttempt, attempt)
		w.Header().Set(standin.HeaderSeal, "seal-"+attempt)
		flusher := http.NewResponseController(w)
		for event := last + 1; event <= streamEvents; event++ {
			gap := eventGap
			if event == last+1+pauseAfter {
				gap = max(gap, pause)
			}
			select {
			case <-r.Context().Done():
				b.fleet.record.add("cut", "the channel of %s at %s was closed after event %d", attempt, id, event-1)
				return
			case <-time.After(gap):
			}
			if _, err := fmt.Fprint(w, standin.StreamEvent(attempt, event)); err != nil || flusher.Flush() != nil {
				b.fleet.record.add("cut", "the channel of %s at %s was closed after event %d", attempt, id, event-1)
				return
			}
		}
		b.fleet.record.add("done", "%s has answered %s whole", id, attempt)
	}
}

// playSilenceDuringDrain stops an entry by SIGTERM while it passes on streams of engines
// that pause once for 1.5 s. Without the disruption the engines do not pause.
func playSilenceDuringDrain(f *fleet, trouble bool) (bool, error) {
	table := modelTable(f.originAddress)
	for _, route := range table["Routes"].([]map[string]any) {
		route["GapTargetMs"] = 400
	}
	if err := f.publish(table); err != nil {
		return false, err
	}
	if err := f.addEntries(3); err != nil {
		return false, err
	}
	pause := time.Duration(0)
	if trouble {
		pause = enginePause
	}
	if err := f.addBackends(modelPool, 6, pausingEngine(pause)); err != nil {
		return false, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	entry := f.entries[0]
	type sent struct {
		attempt string
		answer  answer
	}
	var mu sync.Mutex
	var all []sent
	var calls sync.WaitGroup
	for i := range 10 {
		calls.Go(func() {
			c := call{attempt: nextAttempt(), method: http.MethodPost, target: fmt.Sprintf("/write/%d", i), body: "x", key: callerKey, events: streamEvents, limit: 6 * time.Second}
			got := c.send(f.record, entry)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, sent{c.attempt, got})
		})
		time.Sleep(30 * time.Millisecond)
	}
	if err := entry.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	signaled := time.Now()
	f.record.add("signal", "SIGTERM to %s", entry.name)
	calls.Wait()
	lost, whole := 0, 0
	for _, one := range all {
		events := strings.Count(one.answer.body, "id: ")
		switch {
		case one.answer.served(one.attempt) && events == streamEvents:
			whole++
		case one.answer.status == http.StatusOK && !one.answer.complete && one.answer.endedAt.Before(signaled.Add(graceTime*5/6)):
			lost++
			f.record.add("lost", "%s ended after %d events and %d ms without a complete answer", one.attempt, events, one.answer.endedAt.Sub(one.answer.sentAt).Milliseconds())
		}
	}
	f.verdict("%d of %d streams answered whole, %d broken off by the entry", whole, len(all), lost)
	if !trouble && whole < len(all) {
		return false, fmt.Errorf("without the pauses %d of %d streams are whole", whole, len(all))
	}
	return lost > 0, nil
}
