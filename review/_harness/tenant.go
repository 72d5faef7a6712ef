package main

import (
	"net/http"
	"time"

	"plantainrelay/platform/standin"
)

func init() { cases["last-tenant-removed"] = playLastTenantRemoved }

const (
	// revokeTime is RevokeMs in the settings.
	revokeTime = 5 * time.Second
	unknownKey = "never-given-out"
)

// serviceTable returns a manifest with one tenant that holds the given keys.
func serviceTable(version int64, keys ...string) map[string]any {
	return standin.Table{
		Version: version,
		Routes:  []standin.Route{{Name: "book", Host: callerHost, PathPrefix: "/book/", Pool: servicePool, Kind: standin.NonIdempotent, Timeout: 2500 * time.Millisecond, Objective: 200 * time.Millisecond}},
		Pools:   []standin.Pool{{Name: servicePool, Slots: serviceSlots}},
		Keys:    map[string][]string{"firm-1": keys},
	}.Encode().(map[string]any)
}

// playLastTenantRemoved writes a manifest without the only tenant. Without the disruption
// it keeps another tenant.
func playLastTenantRemoved(f *fleet, trouble bool) (bool, error) {
	if err := f.publish(serviceTable(3, callerKey)); err != nil {
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
	time.Sleep(2 * time.Second)
	send := func(key string) answer {
		c := call{attempt: nextAttempt(), method: http.MethodPost, target: "/book/1", body: "x", key: key, limit: 2500 * time.Millisecond}
		return c.send(f.record, f.entries[int(attempts.Load())%len(f.entries)])
	}
	f.verdict("with the tenant: status %d for its key, %d for an unknown one", send(callerKey).status, send(unknownKey).status)
	next := serviceTable(5)
	tenants := []map[string]any{}
	if !trouble {
		tenants = append(tenants, map[string]any{"Name": "firm-2", "ApiKeys": []string{"key-9"}})
	}
	next["Tenants"] = tenants
	if err := f.publish(next); err != nil {
		return false, err
	}
	f.record.add("operator", "version 5: Tenants is %v", tenants)
	time.Sleep(revokeTime + time.Second)
	ran := 0
	for range 6 {
		for _, key := range []string{callerKey, unknownKey} {
			if send(key).status == http.StatusOK {
				ran++
			}
		}
	}
	f.verdict("%d of 12 requests with a removed or an unknown key ran later than %s after the ack", ran, revokeTime)
	return ran > 0, nil
}
