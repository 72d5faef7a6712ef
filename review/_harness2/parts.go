package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"plantainrelay/platform/standin"
)

const (
	badPart = "bad0bad0"
	// otherParts is the number of shared parts behind the crashing one.
	otherParts = 18
	// readTime is the time from the header of an answer to its first token.
	readTime      = 60 * time.Millisecond
	crashesBefore = 5
	stableTime    = 3 * time.Second
	badInterval   = 500 * time.Millisecond
	soundInterval = 50 * time.Millisecond
	calmTime      = 8 * time.Second
	partsPlay     = 40 * time.Second
	restartAfter  = 4 * time.Second
	lapseAfter    = 3600 * time.Millisecond
	badAllowed    = 3
)

func init() { cases["parts"] = runParts }

// runParts sends prompts of which one part crashes each instance that begins to answer, and counts
// the requests with it that reach instances after the fifth crash. READ_MS is the time from the
// header of the answer to the first token, at which the instance crashes; OTHER_PARTS is the number
// of further parts of these prompts.
func runParts(f *fleet, trouble bool) (bool, error) {
	others, read := otherParts, readTime
	if count, err := strconv.Atoi(os.Getenv("OTHER_PARTS")); err == nil {
		others = count
	}
	if ms, err := strconv.Atoi(os.Getenv("READ_MS")); err == nil {
		read = time.Duration(ms) * time.Millisecond
	}
	f.log("%d other parts, %v from the header to the first token", others, read)
	var mu sync.Mutex
	var crashes []time.Time
	late, badArrivals, ended := 0, 0, false
	// soundCalm counts the sound requests before the first one with the part, soundLate those
	// sent later than twice stableTime after the fifth crash.
	var soundCalm, soundLate struct{ sent, begun int }
	config := standin.BackendConfig{Slots: 16, OnArrival: func(a standin.Arrival) {
		if !strings.HasPrefix(a.Attempt, "bad-") {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		badArrivals++
		note := ""
		if len(crashes) >= crashesBefore && a.At.Sub(crashes[crashesBefore-1]) > stableTime {
			late++
			note = fmt.Sprintf(", %.2f s after the fifth crash: number %d of these", a.At.Sub(crashes[crashesBefore-1]).Seconds(), late)
		}
		f.log("%s reached %s%s", a.Attempt, a.BackendID, note)
	}}
	f.wrap = func(b *backend, next http.Handler) http.Handler {
		var crashed atomic.Bool
		id := b.id()
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.Header.Get(standin.HeaderParts), badPart+":") {
				next.ServeHTTP(w, r)
				return
			}
			attempt := r.Header.Get(standin.HeaderAttempt)
			config.OnArrival(standin.Arrival{BackendID: id, Attempt: attempt, At: time.Now()})
			if r.Header.Get(standin.HeaderExpectID) != id {
				w.Header().Set("Instance-Id", id)
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			w.Header().Set(standin.HeaderAttempt, attempt)
			w.Header().Set(standin.HeaderSeal, "seal-"+attempt)
			w.Header().Set("Content-Type", "text/event-stream")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(read)
			if !trouble {
				fmt.Fprint(w, standin.StreamEvent("whole", 1))
				return
			}
			if r.Context().Err() == nil && crashed.CompareAndSwap(false, true) {
				mu.Lock()
				crashes = append(crashes, time.Now())
				f.log("instance %s crashed as it began to write for %s; crash number %d", id, attempt, len(crashes))
				isOver := ended
				mu.Unlock()
				f.crash(b, !isOver)
			}
		})
	}
	if err := f.startModels(3, 3, 8, 6*time.Second, config); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	begin := time.Now()
	until := begin.Add(partsPlay)
	send := func(id string, parts []string) answer {
		entry := f.processes[rand.IntN(3)]
		return f.call(newClient(), entry, http.MethodPost, "/streams/one", id, standin.CallerRequest{AttemptID: id, Events: 10, TimeLeft: 6 * time.Second, Parts: parts})
	}
	sendSound := func(id string, parts []string) {
		mu.Lock()
		counts := &soundCalm
		switch {
		case len(crashes) >= crashesBefore && time.Since(crashes[crashesBefore-1]) > 2*stableTime:
			counts = &soundLate
		case time.Since(begin) > calmTime:
			counts = nil
		}
		mu.Unlock()
		group.Go(func() {
			a := send(id, append(parts, "own-"+id))
			mu.Lock()
			defer mu.Unlock()
			if counts == nil {
				return
			}
			counts.sent++
			if a.status == http.StatusOK {
				counts.begun++
			}
		})
	}
	group.Go(func() {
		for i := 0; time.Now().Before(until); i++ {
			sendSound(fmt.Sprintf("sound-%d", i), []string{fmt.Sprintf("first-%d", i%8)})
			time.Sleep(soundInterval)
		}
	})
	time.Sleep(calmTime)
	for i := 0; time.Now().Before(until); i++ {
		parts := []string{badPart}
		for j := range others {
			parts = append(parts, fmt.Sprintf("%08x", 1000*i+j+0x5c000000))
		}
		id := fmt.Sprintf("bad-%d", i)
		group.Go(func() {
			a := send(id, append(append([]string{}, parts...), "own-"+id))
			f.log("answer to %s: %v", id, a)
		})
		time.Sleep(badInterval)
		// Sound requests share the other parts.
		sendSound(fmt.Sprintf("sharing-%d", i), append([]string{}, parts[1:]...))
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	ended = true
	f.log("%d crashes; %d requests with the part reached instances, %d of them later than %v after the fifth crash; %d are allowed", len(crashes), badArrivals, late, stableTime, badAllowed)
	f.log("sound requests that began at the first attempt: %d of %d before the crashes, %d of %d later than %v after the fifth crash", soundCalm.begun, soundCalm.sent, soundLate.begun, soundLate.sent, 2*stableTime)
	isLost := soundCalm.sent >= 20 && soundLate.sent >= 20 && 2*soundLate.begun*soundCalm.sent < soundCalm.begun*soundLate.sent
	f.log("BUDGET broken: %v; LOST broken: %v", late > badAllowed, isLost)
	mu.Unlock()
	f.printLogs(5, "is blocked", "crashed before", "suspected parts")
	mu.Lock()
	return late > badAllowed || isLost, nil
}

// crash ends the process of an instance. It comes back later unless the case is over.
func (f *fleet) crash(b *backend, comesBack bool) {
	id, server := b.id(), b.server
	b.reset()
	if !comesBack {
		return
	}
	time.AfterFunc(lapseAfter, func() { f.store.Remove(standin.KindBackends, id) })
	time.AfterFunc(restartAfter, func() {
		if err := f.startBackend(b, 0, server.Stop()); err != nil {
			f.log("%s cannot start again: %v", b.name, err)
		}
	})
}
