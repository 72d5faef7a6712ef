package main

import (
	"net/http"
	"time"
)

func init() { cases["fractional-weight"] = playFractionalWeight }

// playFractionalWeight splits a route by weights that are no whole numbers, in a manifest
// that also takes a key away.
func playFractionalWeight(f *fleet, trouble bool) (bool, error) {
	if err := f.publish(serviceTable(3, callerKey, "key-2")); err != nil {
		return false, err
	}
	if err := f.addEntries(3); err != nil {
		return false, err
	}
	if err := f.addBackends(servicePool, 3, nil); err != nil {
		return false, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	next := serviceTable(5, callerKey)
	weights := []any{90, 10}
	if trouble {
		weights = []any{0.9, 0.1}
	}
	for _, route := range next["Routes"].([]map[string]any) {
		delete(route, "Service")
		route["Split"] = []map[string]any{{"Service": servicePool, "Weight": weights[0]}, {"Service": servicePool, "Weight": weights[1]}}
	}
	if err := f.publish(next); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	served := 0
	for i := range 12 {
		c := call{attempt: nextAttempt(), method: http.MethodPost, target: "/book/1", body: "x", key: callerKey, limit: 2500 * time.Millisecond}
		if c.send(f.record, f.entries[i%len(f.entries)]).served(c.attempt) {
			served++
		}
	}
	f.verdict("%d of 12 requests served 6 s after the ack", served)
	return served == 0, nil
}
