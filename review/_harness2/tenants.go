package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"plantainrelay/platform/standin"
)

const (
	// revokeTime is RevokeMs of the settings.
	revokeTime = 5 * time.Second
	tenantPlay = 15 * time.Second
	neverKey   = "a-key-that-no-manifest-ever-held"
)

func init() { cases["tenants"] = runTenants }

// runTenants takes the only customer out of the tables, and counts the requests with its key, and
// with a key that no tables ever held, that run later than the bound on revoked keys.
func runTenants(f *fleet, trouble bool) (bool, error) {
	table := standin.Table{
		Version: 3, Keys: map[string][]string{customer: {apiKey}},
		Routes: []standin.Route{{Name: "bookings", Host: callHost, PathPrefix: "/bookings/", Pool: plainPool, Kind: standin.NonIdempotent, Timeout: 3 * time.Second, Objective: 200 * time.Millisecond}},
		Pools:  []standin.Pool{{Name: plainPool}},
	}
	if err := f.store.Put(standin.KindTables, standin.TableName, table.Encode()); err != nil {
		return false, err
	}
	var mu sync.Mutex
	customers := map[string]string{}
	config := standin.BackendConfig{OnStart: func(e standin.Execution) {
		mu.Lock()
		defer mu.Unlock()
		customers[e.Attempt] = e.Customer
	}}
	if _, err := f.addBackend("bookings-a", "a", 1, 201, plainPool, 0, config); err != nil {
		return false, err
	}
	for zone, name := range []string{"a", "b"} {
		if _, err := f.addEntry("entry-"+name+"1", name, zone+1, 1, 8); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	document := table.Encode().(map[string]any)
	document["Version"] = 4
	if trouble {
		// The tables still contain Tenants; the last customer with its key is gone.
		document["Tenants"] = []any{}
	}
	if err := f.store.Put(standin.KindTables, standin.TableName, document); err != nil {
		return false, err
	}
	acked := time.Now()
	f.log("the store has version 4 of the tables, with Tenants = %v", document["Tenants"])
	late, client, counts := 0, newClient(), map[string]int{}
	for i := 0; time.Since(acked) < tenantPlay; i++ {
		key := []string{apiKey, neverKey}[i%2]
		f.edit = func(header http.Header) { header.Set(standin.HeaderKey, key) }
		attempt, entry := fmt.Sprintf("attempt-%d", i), f.processes[i/2%2]
		sent := time.Since(acked)
		a := f.call(client, entry, http.MethodPost, "/bookings/one", "book", standin.CallerRequest{AttemptID: attempt, TimeLeft: 2500 * time.Millisecond})
		mu.Lock()
		named, ran := customers[attempt]
		mu.Unlock()
		counts[fmt.Sprintf("%s: %d", key, a.status)]++
		isWrong := ran && sent > revokeTime && (trouble || key == neverKey)
		if isWrong {
			if late++; late <= 6 {
				f.log("%s with the key %q, sent to %s %.2f s after the ack, has run for the customer %q: %v", attempt, key, entry.name, sent.Seconds(), named, a)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.log("answers by key and status: %v; %d requests ran that were sent later than %v after the ack with a key that the tables don't hold", counts, late, revokeTime)
	return late > 0, nil
}
