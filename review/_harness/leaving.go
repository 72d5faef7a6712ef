package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"plantainrelay/platform/standin"
)

func init() { cases["sigterm-late-request"] = playSigtermLateRequest }

const (
	// graceTime is GraceS in the settings.
	graceTime = 8 * time.Second
	// excusedUntil is the time after SIGTERM up to which a request that is still worked on in
	// the last sixth of the grace period does not count.
	excusedUntil = 3 * time.Second
	// addressCacheTime is how long a caller keeps the answer of the directory: three times
	// the two seconds that it names.
	addressCacheTime = 6 * time.Second
	// longStream is the number of events of a stream, and slowEvents the factor by which
	// its events are slower than usual: 19 x 24 x 12 ms, about 5.5 s.
	longStream, slowEvents = 19, 24
	// streamLimit is the time limit of the callers and of the route. When the entry ends, no
	// request has used seven tenths of it.
	streamLimit = 7 * time.Second
)

// playSigtermLateRequest stops an entry by SIGTERM while callers that have cached its
// address go on to send streams that last 5.5 s, within their time limit.
func playSigtermLateRequest(f *fleet, trouble bool) (bool, error) {
	table := modelTable(f.originAddress)
	for _, route := range table["Routes"].([]map[string]any) {
		route["TimeoutMs"] = streamLimit.Milliseconds()
	}
	if err := f.publish(table); err != nil {
		return false, err
	}
	if err := f.addEntries(3); err != nil {
		return false, err
	}
	if err := f.addBackends(modelPool, 6, func(_ *backend, next http.Handler, w http.ResponseWriter, r *http.Request) { next.ServeHTTP(w, r) }); err != nil {
		return false, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	for _, b := range f.backends {
		b.sound.SetFaults(standin.BackendFaults{SlowFactor: slowEvents})
	}
	entry := f.entries[0]
	cachedAt := time.Now()
	if trouble {
		if err := entry.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		f.record.add("signal", "SIGTERM to %s", entry.name)
	}
	type sent struct {
		attempt string
		answer  answer
	}
	var mu sync.Mutex
	var all []sent
	var calls sync.WaitGroup
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for i := 0; time.Since(cachedAt) < addressCacheTime; i++ {
		// Most callers have learned of another address by now; these have not.
		if time.Since(cachedAt) > 2500*time.Millisecond {
			calls.Go(func() {
				c := call{attempt: nextAttempt(), method: http.MethodPost, target: fmt.Sprintf("/write/%d", i), body: "late", key: callerKey, events: longStream, limit: streamLimit}
				got := c.send(f.record, entry)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, sent{c.attempt, got})
			})
		}
		<-ticker.C
	}
	calls.Wait()
	lost, excused, whole, turnedAway := 0, 0, 0, 0
	for _, one := range all {
		after := one.answer.sentAt.Sub(cachedAt)
		switch {
		case one.answer.served(one.attempt):
			whole++
		case one.answer.status == 0:
			turnedAway++
		case after <= excusedUntil:
			excused++
		case one.answer.endedAt.Sub(one.answer.sentAt) < streamLimit:
			lost++
			f.record.add("lost", "%s was sent %d ms after SIGTERM, passed on, and broken off after %d ms", one.attempt, after.Milliseconds(), one.answer.endedAt.Sub(one.answer.sentAt).Milliseconds())
		}
	}
	f.verdict("%d answered whole, %d turned away unread, %d broken off but excused, %d lost: sent later than %s after SIGTERM, passed on, and broken off without a limit being reached",
		whole, turnedAway, excused, lost, excusedUntil)
	if !trouble && whole < len(all) {
		return false, fmt.Errorf("without a disruption %d of %d are answered", whole, len(all))
	}
	return lost > 0, nil
}
