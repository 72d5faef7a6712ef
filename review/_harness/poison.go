package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"plantainrelay/platform/standin"
)

func init() { cases["crash-at-first-token"] = playCrashAtFirstToken }

const (
	crashingPart = "c0ffee01"
	// prefillTime is the time that an engine reads a prompt before it begins to write.
	prefillTime = 60 * time.Millisecond
	// firstPassTime is the time from the head of an answer to the crash, before the first event.
	firstPassTime = 60 * time.Millisecond
	// soundInterval and crashingInterval are the times between two requests without and with
	// the crashing part.
	soundInterval, crashingInterval = 50 * time.Millisecond, 250 * time.Millisecond
	// engineDown is how long a crashed engine is away ("back after some seconds").
	engineDown = 3 * time.Second
	// stable is StableMs in the settings.
	stable = 3 * time.Second
	// crashesUntilBound is the crash from which the bound counts, maxLate the number of
	// requests that may still reach backend servers later.
	crashesUntilBound = 5
	maxLate           = 3
)

// attempt of a request with the crashing part at an engine.
type arrival struct {
	at      time.Time
	attempt string
	engine  string
}

// crashLog holds what the engines have seen of requests with the crashing part.
type crashLog struct {
	mu       sync.Mutex
	arrivals []arrival
	crashes  []time.Time
}

// handle crashes the engine when it begins to write an answer on the crashing part: in its
// first pass of token steps, before the first event is out.
func (l *crashLog) handle(b *backend, next http.Handler, w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(r.Header.Get(standin.HeaderParts), ",")
	crashes := false
	for _, part := range parts[:len(parts)-1] {
		crashes = crashes || strings.HasPrefix(strings.TrimSpace(part), crashingPart+":")
	}
	b.mu.Lock()
	id := b.id
	ready := b.sound.LoadedVersion() > 0 && !b.crashed
	b.mu.Unlock()
	attempt := r.Header.Get(standin.HeaderAttempt)
	if crashes {
		l.mu.Lock()
		l.arrivals = append(l.arrivals, arrival{at: time.Now(), attempt: attempt, engine: id})
		l.mu.Unlock()
		b.fleet.record.add("arrival", "%s with the crashing part at %s", attempt, id)
	}
	if !crashes || !ready || r.Header.Get(standin.HeaderExpectID) != id {
		next.ServeHTTP(w, r)
		return
	}
	time.Sleep(prefillTime)
	if os.Getenv("HEAD") == "1" {
		// For comparison: the head of the answer is out before the crash.
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(standin.HeaderAttempt, attempt)
		w.Header().Set(standin.HeaderSeal, "seal-"+attempt)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(firstPassTime)
	}
	if b.crash(engineDown) {
		l.mu.Lock()
		l.crashes = append(l.crashes, time.Now())
		l.mu.Unlock()
		b.fleet.record.add("crash", "%s begins to write an answer to %s and crashes", id, attempt)
	}
	panic(http.ErrAbortHandler)
}

func modelTable(originAddress string) map[string]any {
	weights := modelWeights
	return standin.Table{
		Version: 3,
		Routes:  []standin.Route{{Name: "write", Host: callerHost, PathPrefix: "/write/", Pool: modelPool, Kind: standin.Streaming, Timeout: 6 * time.Second, Objective: 500 * time.Millisecond}},
		Pools:   []standin.Pool{{Name: modelPool, Slots: engineSlots, Weights: &weights}, {Name: originPool, Origin: originAddress, Zone: "a"}},
		Keys:    map[string][]string{"firm-1": {callerKey}},
	}.Encode().(map[string]any)
}

// soundCall is the outcome of a request without the crashing part.
type soundCall struct {
	sentAt time.Time
	begun  bool
}

// option returns the number in an environment variable, by which the case is varied.
func option(name string, usual int) int {
	if number, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return number
	}
	return usual
}

// sharedParts returns the parts of a prompt that sound requests have, too.
func sharedParts(first int) []string {
	parts := []string{fmt.Sprintf("5eed000%d", first)}
	for i := range option("MORE_PARTS", 0) {
		parts = append(parts, fmt.Sprintf("ab%06d", i))
	}
	return parts
}

func playCrashAtFirstToken(f *fleet, trouble bool) (bool, error) {
	log := &crashLog{}
	if err := f.publish(modelTable(f.originAddress)); err != nil {
		return false, err
	}
	if err := f.addEntries(3); err != nil {
		return false, err
	}
	if err := f.addBackends(modelPool, 9, log.handle); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var loops sync.WaitGroup
	loops.Go(func() { f.reportLoop(stop) })
	defer func() { close(stop); loops.Wait() }()
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var sound []soundCall
	var calls sync.WaitGroup
	sendEach := func(interval, length time.Duration, one func(i int)) {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		until := time.Now().Add(length)
		for i := 0; time.Now().Before(until); i++ {
			calls.Go(func() { one(i) })
			<-ticker.C
		}
	}
	const quiet, noisy = 10 * time.Second, 35 * time.Second
	began := time.Now()
	var senders sync.WaitGroup
	senders.Go(func() {
		sendEach(soundInterval, quiet+noisy, func(i int) {
			attempt := nextAttempt()
			c := call{attempt: attempt, method: http.MethodPost, target: fmt.Sprintf("/write/%d", i), body: "sound " + attempt, key: callerKey, events: 15, limit: 6 * time.Second,
				parts: append(sharedParts(i%4), "own"+attempt)}
			got := c.send(f.record, f.entries[i%len(f.entries)])
			mu.Lock()
			defer mu.Unlock()
			sound = append(sound, soundCall{sentAt: got.sentAt, begun: got.status == http.StatusOK && !got.firstAt.IsZero()})
		})
	})
	time.Sleep(quiet)
	noisyFrom := time.Now()
	if trouble {
		senders.Go(func() {
			sendEach(time.Duration(option("CRASHING_MS", int(crashingInterval.Milliseconds())))*time.Millisecond, noisy, func(i int) {
				attempt := nextAttempt()
				c := call{attempt: attempt, method: http.MethodPost, target: fmt.Sprintf("/write/c%d", i), body: "crashing " + attempt, key: callerKey, events: 15, limit: 6 * time.Second,
					parts: append(sharedParts(i%4), crashingPart, "own"+attempt)}
				c.send(f.record, f.entries[i%len(f.entries)])
			})
		})
	}
	senders.Wait()
	calls.Wait()
	if ended := f.exits(); len(ended) > 0 {
		f.verdict("processes that have ended by themselves: %v", ended)
		return true, nil
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	late := 0
	f.verdict("%d crashes, %d arrivals of requests with the crashing part in %s", len(log.crashes), len(log.arrivals), time.Since(noisyFrom).Round(time.Second))
	lostFrom := noisyFrom.Add(2 * stable)
	if len(log.crashes) > 0 {
		lostFrom = log.crashes[min(len(log.crashes), crashesUntilBound)-1].Add(2 * stable)
	}
	if len(log.crashes) >= crashesUntilBound {
		for _, one := range log.arrivals {
			if one.at.After(log.crashes[crashesUntilBound-1].Add(stable)) {
				late++
			}
		}
		f.verdict("BUDGET: %d requests with the part reached engines later than %s after the fifth crash; %d are allowed", late, stable, maxLate)
	}
	share := func(from, to time.Time) (float64, int) {
		count, begun := 0, 0
		for _, one := range sound {
			if !one.sentAt.Before(from) && one.sentAt.Before(to) {
				count++
				if one.begun {
					begun++
				}
			}
		}
		return float64(begun) / float64(max(count, 1)), count
	}
	before, countBefore := share(began, noisyFrom)
	after, countAfter := share(lostFrom, noisyFrom.Add(noisy))
	f.verdict("LOST: %.1f%% of %d sound requests began at the first attempt, %.1f%% of %d before the disruption", 100*after, countAfter, 100*before, countBefore)
	isLost := trouble && countBefore >= 20 && countAfter >= 20 && after < before/2
	if before < 0.9 {
		return false, fmt.Errorf("the deployment serves only %.0f%% without a disruption", 100*before)
	}
	return late > maxLate || isLost, nil
}
