package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/platform/standin"
)

// steppedEngine streams the events of all its requests in common steps, as an engine that
// processes its requests in batches. It sends nothing from silentFrom until silentUntil.
type steppedEngine struct {
	mu                      sync.Mutex
	step                    chan struct{}
	silentFrom, silentUntil time.Time
}

const stepInterval = 20 * time.Millisecond

func newSteppedEngine(ctx context.Context) *steppedEngine {
	e := &steppedEngine{step: make(chan struct{})}
	go e.run(ctx)
	return e
}

func (e *steppedEngine) run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.mu.Lock()
			if now.Before(e.silentFrom) || !now.Before(e.silentUntil) {
				close(e.step)
				e.step = make(chan struct{})
			}
			e.mu.Unlock()
		}
	}
}

// fallSilent makes the engine silent for the given time.
func (e *steppedEngine) fallSilent(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentFrom, e.silentUntil = time.Now(), time.Now().Add(duration)
}

func (e *steppedEngine) nextStep() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.step
}

func (e *steppedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	writeSeal(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	// Without the header the stream begins at its first event.
	last, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEvent))
	for id := last + 1; id <= steppedEvents; id++ {
		select {
		case <-e.nextStep():
		case <-r.Context().Done():
			return
		}
		writeEvents(w, id, id)
	}
}

// steppedEvents is the number of events of each stream of a steppedEngine.
const steppedEvents = 120

// newSteppedFixture starts a frontend before stepped engines.
func newSteppedFixture(t *testing.T, count, slots int) (*engineFixture, []*steppedEngine) {
	t.Helper()
	f := newEngineFixture(t, 0)
	f.table.Pools[0].Slots, f.table.Routes[0].Timeout = slots, 6*time.Second
	f.renewTables()
	weights := *f.table.Pools[0].Weights
	var engines []*steppedEngine
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		engine := newSteppedEngine(t.Context())
		server := &http.Server{Handler: engine, ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		f.engines = append(f.engines, standin.NewBackend(standin.BackendConfig{
			ID: "i-" + strconv.Itoa(i), Pool: modelPool, Address: listener.Addr().String(), Slots: slots, Weights: &weights, OnStart: func(standin.Execution) {},
		}, 1, nil))
		engines = append(engines, engine)
	}
	f.list(count)
	return f, engines
}

// TestSilentInstanceOfANearlyFullPoolLosesNoStream guards against streams that are all given
// up because of the same few free slots of other instances, and closed when only some of them
// get one, though their instance goes on after a short silence (incident 0009).
func TestSilentInstanceOfANearlyFullPoolLosesNoStream(t *testing.T) {
	const rounds = 4
	for round := range rounds {
		t.Run(fmt.Sprintf("round %d", round), func(t *testing.T) {
			t.Parallel()
			silenceOneOfTwoEngines(t)
		})
	}
}

func silenceOneOfTwoEngines(t *testing.T) {
	// An entry keeps twice as many requests at an instance as it has slots.
	const slots, streams = 8, 28
	c := qt.New(t)
	f, engines := newSteppedFixture(t, 2, slots)
	results := make(chan string, streams)
	for i := range streams {
		go func() {
			_, body, err := f.writeWithin(6*time.Second, fmt.Sprintf("stream-%d", i), steppedEvents, firstPart)
			results <- fmt.Sprintf("%d events, %v", strings.Count(body, "id: "), err)
		}()
	}
	time.Sleep(10 * stepInterval)
	engines[0].fallSilent(silence)
	for range streams {
		c.Check(<-results, qt.Equals, fmt.Sprintf("%d events, %v", steppedEvents, error(nil)))
	}
}
