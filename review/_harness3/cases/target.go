package main

import (
	"fmt"
	"time"

	"plantainrelay/review/_harness3/rig"
)

// pathWithTwoSlashes sends requests whose path begins with two slashes, or with one without the
// disruption, on a route for all paths of a host.
func pathWithTwoSlashes(r *rig.Rig) (bool, error) {
	const requests = 20
	_, instances, err := startEntries(r, 2, table("/"), 30*time.Millisecond)
	if err != nil {
		return false, err
	}
	start := "/"
	if r.Trouble {
		start = "//"
	}
	sent := map[string]string{}
	for number := 1; number <= requests; number++ {
		id := fmt.Sprintf("v-%d", number)
		sent[id] = fmt.Sprintf("%svisits/%d?day=monday", start, number)
		if answer := book(r, 1+number%2, id, sent[id]); answer.Err != nil || answer.Status != 200 {
			r.Record("%s was not served", id)
		}
	}
	broken, runs := false, 0
	for _, instance := range instances {
		for _, arrival := range instance.Arrivals() {
			runs++
			if arrival.Target != sent[arrival.Attempt()] {
				r.Record("%s was sent with %s and ran with %s", arrival.Attempt(), sent[arrival.Attempt()], arrival.Target)
				broken = true
			}
		}
	}
	if runs == 0 && !r.Trouble {
		return false, fmt.Errorf("no request ran")
	}
	return broken, nil
}
