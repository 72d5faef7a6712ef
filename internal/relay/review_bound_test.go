package relay

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// loadWeights makes the instances engines of model m with these versions, 0 for none.
func (f *fixture) loadWeights(versions ...int64) {
	view, scheduler := f.frontend.view, f.frontend.scheduler
	table := view.table()
	if pool := table.Pools["s"]; pool.Engine == nil {
		pool.Engine = &catalog.Engine{Model: "m"}
		table.Pools["s"] = pool
	}
	documents := view.copies.Documents(platform.Backends)
	var backends []catalog.Backend
	for i, version := range versions {
		id := fmt.Sprintf("i-%d", i)
		backend := view.backendDecoder.Decode(map[string]replica.Document{id: documents[id]}, table)[0]
		backend.LoadedVersions = map[string]int64{"m": version}
		backends = append(backends, backend)
	}
	scheduler.setList(backends, time.Time{}, clock.Now())
}

// allowAttempts sets MaxAttempts of the route of a path.
func (f *fixture) allowAttempts(path string, count int) {
	if route, found := f.frontend.view.table().Match(testHost, path); found {
		route.MaxAttempts = count
	}
}

// TestReleaseLearnedDuringAnAttemptBoundsItsStart guards against a request that an instance
// begins on older weights after the bound of a release that came while it was waiting there.
func TestReleaseLearnedDuringAnAttemptBoundsItsStart(t *testing.T) {
	c := qt.New(t)
	const period, margin = 100 * time.Millisecond, 500 * time.Millisecond
	arrived, closed := make(chan struct{}), make(chan time.Time, 1)
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
		closed <- time.Now()
	})
	f.frontend.view.sendMargin = margin
	f.loadWeights(1)
	go func() { _, _, _ = f.do(http.MethodPost, "/fixed/") }()
	<-arrived
	released := time.Now()
	f.frontend.view.releases.Store(newRelease(period, "m", 2))
	took := (<-closed).Sub(released)
	c.Assert(took < period+margin, qt.IsTrue, qt.Commentf("the instance may begin it until %s after the release", took))
}

// TestRequestEndedForTheVersionBoundOutlastsARejection guards against a request that the entry
// has ended at one instance and that gets an error because the only other one was full for a
// moment.
func TestRequestEndedForTheVersionBoundOutlastsARejection(t *testing.T) {
	c := qt.New(t)
	var attempts atomic.Int32
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		switch attempts.Add(1) {
		case 1:
			hangUntilClosed(r)
		case 2:
			rejectAsFull(w, r)
		default:
			writeSeal(w, r)
			writeEvents(w, 1, 3)
		}
	})
	go f.frontend.scheduler.Run(t.Context())
	f.frontend.view.sendMargin = 400 * time.Millisecond
	f.loadWeights(1)
	f.frontend.view.releases.Store(newRelease(20*time.Millisecond, "m", 2))
	time.AfterFunc(300*time.Millisecond, func() { f.loadWeights(2) })
	began := time.Now()
	response, body, err := f.do(http.MethodPost, "/stream/x")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s after %s and %d attempts", body, time.Since(began), attempts.Load()))
	c.Assert(strings.Count(body, "id: "), qt.Equals, 3)
}

// TestRequestThatNoInstanceIsLeftForIsNotHeld guards against a request that is held for as long
// as its caller waits although each instance has had it.
func TestRequestThatNoInstanceIsLeftForIsNotHeld(t *testing.T) {
	c := qt.New(t)
	var attempts atomic.Int32
	secondEnded := make(chan struct{})
	handler := func(_ http.ResponseWriter, r *http.Request) {
		if attempts.Add(1) == 1 {
			// A silent instance is awaited until it has ended, too.
			<-secondEnded
			panic(http.ErrAbortHandler)
		}
		close(secondEnded)
		panic(http.ErrAbortHandler)
	}
	f := newFixture(t, handler, handler)
	go f.frontend.scheduler.Run(t.Context())
	f.allowAttempts("/stream/x", 3)
	began := time.Now()
	response, _, err := f.do(http.MethodPost, "/stream/x")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	c.Assert(attempts.Load(), qt.Equals, int32(2))
	// The timeout for silence is 600 ms, and the time in the queue 100 ms.
	c.Assert(time.Since(began) < 1200*time.Millisecond, qt.IsTrue, qt.Commentf("held for %s", time.Since(began)))
}

// TestAttemptEndedForTheVersionBoundIsNoInterruption guards against a lookup that gets an error
// because the entry has ended its attempt itself, counted as one that the lookup may have caused.
func TestAttemptEndedForTheVersionBoundIsNoInterruption(t *testing.T) {
	c := qt.New(t)
	var attempts atomic.Int32
	var f *fixture
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch attempts.Add(1) {
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			f.loadWeights(1, 1, 2)
			hangUntilClosed(r)
		default:
			answerOK(w, r)
		}
	}
	f = newFixture(t, handler, handler, handler)
	go f.frontend.scheduler.Run(t.Context())
	f.allowAttempts("/look/x", 4)
	f.frontend.view.sendMargin = 400 * time.Millisecond
	f.loadWeights(1, 1, 0)
	f.frontend.view.releases.Store(newRelease(100*time.Millisecond, "m", 2))
	response, body, err := f.do(http.MethodGet, "/look/x")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s after %d attempts", body, attempts.Load()))
}

// TestWaitingRequestsStayWithinTheRetryBudget guards against requests that take their retries
// one after the other, wait for an instance, and arrive there together: more in a window than the
// budget allows.
func TestWaitingRequestsStayWithinTheRetryBudget(t *testing.T) {
	c := qt.New(t)
	const window, requests = time.Second, 2
	var attempts atomic.Int32
	var mu sync.Mutex
	var repeats []time.Time
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if attempts.Add(1) <= requests {
			hangUntilClosed(r)
			return
		}
		mu.Lock()
		repeats = append(repeats, time.Now())
		mu.Unlock()
		writeSeal(w, r)
		writeEvents(w, 1, 3)
	})
	go f.frontend.scheduler.Run(t.Context())
	f.frontend.scheduler.setRetryLimits(retryLimits{window: window, slack: 1})
	f.frontend.view.sendMargin = 400 * time.Millisecond
	f.loadWeights(1)
	f.frontend.view.releases.Store(newRelease(20*time.Millisecond, "m", 2))
	time.AfterFunc(1450*time.Millisecond, func() { f.loadWeights(2) })
	var calls sync.WaitGroup
	for i := range requests {
		calls.Go(func() {
			_, _, err := f.do(http.MethodPost, "/stream/x", func(r *http.Request) { r.Header.Set(standin.HeaderAttempt, fmt.Sprintf("%016x", i+1)) })
			c.Check(err, qt.IsNil)
		})
	}
	calls.Wait()
	for i := 1; i < len(repeats); i++ {
		c.Check(repeats[i].Sub(repeats[i-1]) >= window, qt.IsTrue, qt.Commentf("two repeats within %s; the budget allows one in %s", repeats[i].Sub(repeats[i-1]), window))
	}
}

// TestStartingEntryEndsAttemptsOnOldWeightsBeforeItIsStable guards against requests that an entry
// has sent to older weights before it knew the age of a release, and that begin there when the
// entry has run for the time after which it must enforce the bound.
func TestStartingEntryEndsAttemptsOnOldWeightsBeforeItIsStable(t *testing.T) {
	c := qt.New(t)
	const stable = 1200 * time.Millisecond
	closed := make(chan time.Time, 1)
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		closed <- time.Now()
	})
	f.loadWeights(1)
	started := time.Now()
	releases, _ := placement.NewReleases(6*time.Second, stable-stablePeriodMargin).Add(catalog.Release{Model: "m", Version: 2}, true, clock.Now())
	f.frontend.view.releases.Store(releases)
	go func() { _, _, _ = f.do(http.MethodPost, "/fixed/") }()
	took := (<-closed).Sub(started)
	c.Assert(took < stable, qt.IsTrue, qt.Commentf("the instance may begin it until %s after the start of the entry", took))
}
