package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"plantainrelay/platform/standin"
)

const (
	oldGraceS, newGraceS = 8, 20
	// streamEvents are about 12.5 s of a stream; streamLimit is the time limit of its client
	// and of its route.
	streamEvents = 1000
	streamLimit  = 18 * time.Second
)

func init() { cases["grace"] = runGrace }

// runGrace changes the grace period in the settings file, stops an entry later and checks
// whether a stream in progress ends whole within the new period.
func runGrace(f *fleet, trouble bool) (bool, error) {
	before := newGraceS
	if trouble {
		before = oldGraceS
	}
	if err := f.startModels(2, 2, before, streamLimit, standin.BackendConfig{Slots: 8}); err != nil {
		return false, err
	}
	entry := f.processes[0]
	if trouble {
		for _, p := range f.processes {
			p.settings.GraceS = newGraceS
			if err := f.writeSettings(p); err != nil {
				return false, err
			}
			f.log("the settings file of %s now says GraceS = %d", p.name, newGraceS)
			if err := f.signal(p, syscall.SIGHUP); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(7 * time.Second)
	type result struct {
		answer answer
		at     time.Time
	}
	results, sentAt := make(chan result, 1), time.Now()
	f.log("sent the request of a stream of %d events with a time limit of %v to %s", streamEvents, streamLimit, entry.name)
	go func() {
		a := f.call(newClient(), entry, http.MethodPost, "/streams/one", "prompt", standin.CallerRequest{AttemptID: "stream-1", Events: streamEvents, TimeLeft: streamLimit})
		results <- result{a, time.Now()}
	}()
	time.Sleep(time.Second)
	signaledAt := time.Now()
	if err := f.signal(entry, syscall.SIGTERM); err != nil {
		return false, err
	}
	kill := time.AfterFunc(newGraceS*time.Second, func() { _ = f.signal(entry, syscall.SIGKILL) })
	defer kill.Stop()
	r := <-results
	events := strings.Count(string(r.answer.body), "\n\n")
	f.log("%.2f s after SIGTERM and %.2f s after it was sent, the answer ended: %v, %d of %d events", r.at.Sub(signaledAt).Seconds(), r.at.Sub(sentAt).Seconds(), r.answer, events, streamEvents)
	f.printLogs(8, "draining", "drained", "the settings have changed", "broken_off", "drain limit reached")
	if r.answer.status != http.StatusOK {
		return false, fmt.Errorf("the stream did not begin: %v", r.answer)
	}
	isWhole := r.answer.err == nil && events == streamEvents
	isEarly := r.at.Sub(sentAt) < streamLimit && r.at.Sub(signaledAt) < newGraceS*5*time.Second/6
	return !isWhole && isEarly, nil
}
