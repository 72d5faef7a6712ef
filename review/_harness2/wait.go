package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"plantainrelay/platform/standin"
)

const (
	// askedWait is what the instance asks for; busyFor is how long it then still is busy.
	askedWait   = 90 * time.Second
	busyFor     = 3 * time.Second
	waitPlay    = 80 * time.Second
	waitSlack   = 500 * time.Millisecond
	waitAllowed = 2
)

func init() { cases["wait"] = runWait }

// runWait lets one of two instances ask for no requests for 90 s, and counts those that reach
// it in that time.
func runWait(f *fleet, trouble bool) (bool, error) {
	table := standin.Table{
		Version: 3, Keys: map[string][]string{customer: {apiKey}},
		Routes: []standin.Route{{Name: "bookings", Host: callHost, PathPrefix: "/bookings/", Pool: plainPool, Kind: standin.NonIdempotent, Timeout: 3 * time.Second, Objective: 200 * time.Millisecond}},
		Pools:  []standin.Pool{{Name: plainPool}},
	}
	if err := f.store.Put(standin.KindTables, standin.TableName, table.Encode()); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var arrivals []standin.Arrival
	var askedAt time.Time
	config := standin.BackendConfig{OnArrival: func(a standin.Arrival) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, a)
		if a.Wait > 0 && askedAt.IsZero() {
			askedAt = a.At
			f.log("instance %s answered %s with 503 and Retry-After: %.0f", a.BackendID, a.Attempt, a.Wait.Seconds())
		}
	}}
	asking, err := f.addBackend("bookings-a", "a", 1, 201, plainPool, 0, config)
	if err != nil {
		return false, err
	}
	if _, err := f.addBackend("bookings-b", "b", 2, 201, plainPool, 0, standin.BackendConfig{}); err != nil {
		return false, err
	}
	p, err := f.addEntry("entry-a1", "a", 1, 1, 8)
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if trouble {
		asking.server.SetFaults(standin.BackendFaults{RetryAfter: fmt.Sprint(int(askedWait.Seconds()))})
		time.AfterFunc(busyFor, func() { asking.server.SetFaults(standin.BackendFaults{}) })
	}
	client, counts := newClient(), map[int]int{}
	for i, until := 0, time.Now().Add(waitPlay); time.Now().Before(until); i++ {
		a := f.call(client, p, http.MethodPost, "/bookings/one", "book", standin.CallerRequest{AttemptID: fmt.Sprintf("attempt-%d", i), TimeLeft: 2500 * time.Millisecond})
		counts[a.status]++
		time.Sleep(100 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	f.log("answers by status: %v; %d requests reached %s", counts, len(arrivals), asking.id())
	if !trouble {
		return false, nil
	}
	if askedAt.IsZero() {
		return false, fmt.Errorf("no request reached %s while it was busy", asking.id())
	}
	late := 0
	for _, a := range arrivals {
		if since := a.At.Sub(askedAt); since > waitSlack && since < askedWait {
			if late++; late <= 5 {
				f.log("%s reached %s %.2f s after it had asked for none for %.0f s", a.Attempt, a.BackendID, since.Seconds(), askedWait.Seconds())
			}
		}
	}
	f.log("%d requests reached it from %s in that time; %d are allowed", late, p.name, waitAllowed)
	return late > waitAllowed, nil
}
