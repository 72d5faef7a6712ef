package main

import (
	"fmt"

	"plantainrelay/review/_harness3/rig"
)

// serverWideOptions sends requests with the method OPTIONS and the target *, or a path without the
// disruption. No route matches the target *.
func serverWideOptions(r *rig.Rig) (bool, error) {
	const requests = 20
	_, instances, err := startEntries(r, 2, table("/visits/"))
	if err != nil {
		return false, err
	}
	target := "/visits/"
	if r.Trouble {
		target = "*"
	}
	broken := false
	for number := 1; number <= requests; number++ {
		id := fmt.Sprintf("o-%d", number)
		entry := 1 + number%2
		r.Record("sent: %s to entry %d: OPTIONS %s", id, entry, target)
		answer := rig.Send(r.Front(entry), "OPTIONS", fmt.Sprintf(
			"OPTIONS %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 2500\r\n\r\n", target, host, id), answerTime)
		r.Record("answered: %s: %s", id, answer)
		if answer.Status/100 == 2 && answer.Header.Get("Response-Seal") == "" {
			r.Record("%s got a success without the seal of an instance", id)
			broken = true
		}
	}
	runs := 0
	for _, instance := range instances {
		runs += len(instance.Arrivals())
	}
	r.Record("%d requests ran", runs)
	return broken, nil
}
