package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"plantainrelay/platform/standin"
)

func init() { cases["double-slash-path"] = playDoubleSlashPath }

// playDoubleSlashPath sends bookings whose path begins with two slashes, on a route with
// the prefix "/".
func playDoubleSlashPath(f *fleet, trouble bool) (bool, error) {
	table := standin.Table{
		Version: 3,
		Routes:  []standin.Route{{Name: "book", Host: callerHost, PathPrefix: "/", Pool: servicePool, Kind: standin.NonIdempotent, Timeout: 2500 * time.Millisecond, Objective: 200 * time.Millisecond}},
		Pools:   []standin.Pool{{Name: servicePool, Slots: serviceSlots}},
		Keys:    map[string][]string{"firm-1": {callerKey}},
	}.Encode().(map[string]any)
	if err := f.publish(table); err != nil {
		return false, err
	}
	var mu sync.Mutex
	received := map[string]string{}
	handle := func(b *backend, next http.Handler, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		received[r.Header.Get(standin.HeaderAttempt)] = fmt.Sprintf("%s %s host %s, path %s", r.Method, r.RequestURI, r.Host, r.URL.Path)
		mu.Unlock()
		next.ServeHTTP(w, r)
	}
	if err := f.addEntries(3); err != nil {
		return false, err
	}
	if err := f.addBackends(servicePool, 3, handle); err != nil {
		return false, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	path := "/bookings/17/cancel?site=7"
	if trouble {
		path = "/" + path
	}
	changed := 0
	for i := range 6 {
		c := call{attempt: nextAttempt(), method: http.MethodPost, target: path, body: "site 7", key: callerKey, limit: 2500 * time.Millisecond}
		got := c.send(f.record, f.entries[i%len(f.entries)])
		mu.Lock()
		seen := received[c.attempt]
		mu.Unlock()
		f.record.add("arrival", "%s: %s", c.attempt, seen)
		if seen == "" && !trouble {
			return false, fmt.Errorf("without the disruption %s was not run: status %d", c.attempt, got.status)
		}
		if seen != "" && !strings.HasPrefix(seen, c.method+" "+path+" host "+callerHost+",") {
			changed++
		}
	}
	f.verdict("%d of 6 bookings reached a backend server with another target than the caller's %q", changed, path)
	return changed > 0, nil
}
