package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"plantainrelay/platform/standin"
)

func init() { cases["spoiled-status-line"] = playSpoiledStatusLine }

const (
	// spoiledPool is the pool whose only instance spoils answers, soundPool the other one.
	spoiledPool, soundPool = servicePool, "others"
	// spoiledEach is the number of answers of which one is spoiled (x = 0.04), spoiledFor the
	// time for which the instance does so.
	spoiledEach = 25
	spoiledFor  = 8 * time.Second
	// minLaterRequests is the number of requests on a later route from which the rule counts.
	minLaterRequests = 20
	// configApplyTime is ConfigApplyMs in the settings, recoverTime RecoverS of the site.
	configApplyTime = 2 * time.Second
	recoverTime     = 12 * time.Second
	// bookingInterval and lookInterval are the times between two requests to one entry.
	bookingInterval, lookInterval = 20 * time.Millisecond, 50 * time.Millisecond
	calmTime, afterTime           = 3 * time.Second, 70 * time.Second
)

// spoiler hands out answers with wrong bytes in the status line for a time.
type spoiler struct {
	active          atomic.Bool
	answers, spoilt atomic.Int64
}

func (s *spoiler) handle(b *backend, next http.Handler, w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	id := b.id
	b.mu.Unlock()
	if !s.active.Load() || r.Header.Get(standin.HeaderExpectID) != id || s.answers.Add(1)%spoiledEach != 0 {
		next.ServeHTTP(w, r)
		return
	}
	attempt := r.Header.Get(standin.HeaderAttempt)
	conn, out, err := w.(http.Hijacker).Hijack()
	if err != nil {
		b.fleet.record.add("error", "%s: %v", attempt, err)
		return
	}
	defer conn.Close()
	s.spoilt.Add(1)
	b.fleet.record.add("run", "%s begins %s, and spoils its answer", id, attempt)
	body := standin.ResponseBody(attempt)
	fmt.Fprintf(out, "HTTP/1.1 000 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: %d\r\n\r\n%s", standin.HeaderAttempt, attempt, standin.HeaderSeal, attempt, len(body), body)
	// An error means that the entry has closed the connection.
	_ = out.Flush()
}

// tally counts the requests of one kind that were sent, and those that were served.
type tally struct {
	mu           sync.Mutex
	sent, served map[string]int
}

func (t *tally) add(phase string, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[phase]++
	if served {
		t.served[phase]++
	}
}

// share returns the share of the requests of some phases that were served.
func (t *tally) share(phases ...string) (share float64, sent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	served := 0
	for _, phase := range phases {
		sent, served = sent+t.sent[phase], served+t.served[phase]
	}
	return float64(served) / float64(max(sent, 1)), sent
}

func playSpoiledStatusLine(f *fleet, trouble bool) (bool, error) {
	look := standin.Route{Name: "look", Host: callerHost, PathPrefix: "/look/", Pool: soundPool, Kind: standin.Idempotent, Timeout: 2500 * time.Millisecond, Objective: 200 * time.Millisecond}
	book := standin.Route{Name: "book", Host: callerHost, PathPrefix: "/book/", Pool: spoiledPool, Kind: standin.NonIdempotent, Timeout: 2500 * time.Millisecond, Objective: 200 * time.Millisecond}
	table := standin.Table{
		Version: 3, Routes: []standin.Route{look},
		Pools: []standin.Pool{{Name: spoiledPool, Slots: serviceSlots}, {Name: soundPool, Slots: serviceSlots}},
		Keys:  map[string][]string{"firm-1": {callerKey}},
	}
	if err := f.publish(table.Encode().(map[string]any)); err != nil {
		return false, err
	}
	if err := f.addEntries(2); err != nil {
		return false, err
	}
	spoiler := &spoiler{}
	if err := f.addBackends(spoiledPool, 1, spoiler.handle); err != nil {
		return false, err
	}
	if err := f.addBackends(soundPool, 3, nil); err != nil {
		return false, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	table.Version, table.Routes = 5, append(table.Routes, book)
	if err := f.publish(table.Encode().(map[string]any)); err != nil {
		return false, err
	}
	f.record.add("operator", "version 5 adds the route for bookings")
	time.Sleep(configApplyTime + 2*time.Second)

	const calm, spoiling, recovering, after = "calm", "spoiling", "recovering", "after"
	var phase atomic.Value
	phase.Store(calm)
	bookings, looks := &tally{sent: map[string]int{}, served: map[string]int{}}, &tally{sent: map[string]int{}, served: map[string]int{}}
	stop := make(chan struct{})
	var senders, calls sync.WaitGroup
	sendAll := func(interval time.Duration, method, path string, counts *tally) {
		for _, entry := range f.entries {
			senders.Go(func() {
				ticker := time.NewTicker(interval)
				defer ticker.Stop()
				for {
					select {
					case <-stop:
						return
					case <-ticker.C:
					}
					sentIn := phase.Load().(string)
					calls.Go(func() {
						c := call{attempt: nextAttempt(), method: method, target: path, key: callerKey, limit: 2500 * time.Millisecond}
						got := c.send(f.record, entry)
						counts.add(sentIn, got.served(c.attempt))
					})
				}
			})
		}
	}
	sendAll(bookingInterval, http.MethodPost, "/book/1", bookings)
	sendAll(lookInterval, http.MethodGet, "/look/1", looks)
	time.Sleep(calmTime)
	phase.Store(spoiling)
	spoiler.active.Store(trouble)
	time.Sleep(spoiledFor)
	spoiler.active.Store(false)
	f.record.add("sound", "the instance spoils no more answers")
	phase.Store(recovering)
	time.Sleep(recoverTime)
	phase.Store(after)
	time.Sleep(afterTime - recoverTime)
	close(stop)
	senders.Wait()
	calls.Wait()

	before, _ := bookings.share(calm)
	during, sentDuring := bookings.share(spoiling)
	later, sentLater := bookings.share(after)
	looksLater, sentLooks := looks.share(after)
	wholeRun := []string{calm, spoiling, recovering, after}
	whole, sent := bookings.share(wholeRun...)
	others, sentOthers := looks.share(wholeRun...)
	all := (whole*float64(sent) + others*float64(sentOthers)) / float64(max(sent+sentOthers, 1))
	f.verdict("%d of %d answers were spoiled in %s; served then: %.0f%% of %d bookings", spoiler.spoilt.Load(), spoiler.answers.Load(), spoiledFor, 100*during, sentDuring)
	f.verdict("later than %s after the end of that: %.1f%% of %d requests on the route that was added later served, %.1f%% of %d on the first route", recoverTime, 100*later, sentLater, 100*looksLater, sentLooks)
	f.verdict("whole run: %.1f%% of the bookings served, %.1f%% of all requests; before the disruption %.0f%% of the bookings", 100*whole, 100*all, 100*before)
	if before < 0.9 || looksLater < 0.9 {
		return false, fmt.Errorf("the deployment does not serve without a disruption: %.0f%% and %.0f%%", 100*before, 100*looksLater)
	}
	return sentLater >= minLaterRequests && later < looksLater/4, nil
}
