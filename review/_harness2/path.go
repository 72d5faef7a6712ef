package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"plantainrelay/platform/standin"
)

func init() { cases["path"] = runPath }

// runPath sends requests whose path begins with an empty segment to a route that takes all
// paths, and checks which path and which host reach the instance.
func runPath(f *fleet, trouble bool) (bool, error) {
	table := standin.Table{
		Version: 3, Keys: map[string][]string{customer: {apiKey}},
		Routes: []standin.Route{{Name: "all", Host: callHost, PathPrefix: "/", Pool: plainPool, Kind: standin.NonIdempotent, Timeout: 3 * time.Second, Objective: 200 * time.Millisecond}},
		Pools:  []standin.Pool{{Name: plainPool}},
	}
	if err := f.store.Put(standin.KindTables, standin.TableName, table.Encode()); err != nil {
		return false, err
	}
	var mu sync.Mutex
	arrived := map[string]standin.Execution{}
	config := standin.BackendConfig{OnStart: func(e standin.Execution) {
		mu.Lock()
		defer mu.Unlock()
		arrived[e.Attempt] = e
	}}
	f.wrap = func(b *backend, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.log("%s reads the target %s as path %s on host %s", b.name, r.RequestURI, r.URL.Path, r.Host)
			next.ServeHTTP(w, r)
		})
	}
	if _, err := f.addBackend("bookings-a", "a", 1, 201, plainPool, 0, config); err != nil {
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
	broken, client := false, newRawClient()
	paths := []string{"/bookings/17", "/bookings//17", "/orders/book?visit=4"}
	if trouble {
		paths = []string{"//bookings/17", "//orders/book?visit=4", "//17"}
	}
	for i, path := range paths {
		attempt := fmt.Sprintf("attempt-%d", i)
		answer := client.call(f, p, "POST", path, "book", standin.CallerRequest{AttemptID: attempt, TimeLeft: 2500 * time.Millisecond})
		mu.Lock()
		run, ran := arrived[attempt]
		mu.Unlock()
		f.log("sent POST %s as %s: answer: %v; run: %v, with method %s, target %s, body %q", path, attempt, answer, ran, run.Method, run.URI, run.Body)
		if !ran {
			if answer.status/100 == 2 {
				return false, fmt.Errorf("%s was answered %d and did not run", path, answer.status)
			}
			f.log("%s did not run", path)
			continue
		}
		if run.URI != path {
			f.log("the instance ran %s for the request %s", run.URI, path)
			broken = true
		}
	}
	return broken, nil
}
