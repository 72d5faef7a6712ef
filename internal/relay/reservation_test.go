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

	"plantainrelay/internal/placement"
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

// TestReservationsShareNoSlotAndNoRetry guards against requests that are all told that they
// may be repeated because of the same slot or the same retry.
func TestReservationsShareNoSlotAndNoRetry(t *testing.T) {
	c := qt.New(t)
	const slots, requests, retries = 8, 40, 3
	f, _ := newSteppedFixture(t, 1, slots)
	s := f.frontend.scheduler
	reserveAll := func() (all []*reservation) {
		var mu sync.Mutex
		var group sync.WaitGroup
		for range requests {
			group.Go(func() {
				reserved := s.reserve(&ticket{need: placement.Requirements{Pool: modelPool}})
				mu.Lock()
				defer mu.Unlock()
				if reserved != nil {
					all = append(all, reserved)
				}
			})
		}
		group.Wait()
		return all
	}
	s.setRetryLimits(retryLimits{window: 10 * time.Second, slack: requests})
	all := reserveAll()
	c.Assert(all, qt.HasLen, 2*slots)
	for _, reserved := range all {
		s.cancelReservation(reserved)
	}
	s.setRetryLimits(retryLimits{window: 10 * time.Second, slack: retries})
	all = reserveAll()
	c.Assert(all, qt.HasLen, retries)
	all[0].isRetryUsed = true
	for _, reserved := range all {
		s.cancelReservation(reserved)
	}
	c.Assert(reserveAll(), qt.HasLen, retries-1)
}

// TestProgressWithdrawsTheReservation guards against slots that stay taken when an instance
// goes on at the moment at which its attempt would be given up.
func TestProgressWithdrawsTheReservation(t *testing.T) {
	c := qt.New(t)
	withdrawn := make(chan *reservation, 1)
	reserved, deciding, decide, canceled := &reservation{}, make(chan struct{}), make(chan struct{}), make(chan struct{})
	w := newWatchdog(func() { close(canceled) }, time.Millisecond, func() giveUp {
		close(deciding)
		<-decide
		return giveUp{isAllowed: true, reserved: reserved}
	}, func(r *reservation) { withdrawn <- r })
	<-deciding
	w.extend(time.Minute)
	close(decide)
	c.Assert(<-withdrawn, qt.Equals, reserved)
	c.Assert(w.stopAndTake(), qt.IsNil)
	select {
	case <-canceled:
		c.Fatal("the attempt was canceled although it made progress")
	default:
	}
}
