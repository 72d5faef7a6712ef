package relay

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/rollout"
	"plantainrelay/platform/standin"
)

// newRelease returns the releases with one of a model that is seen now. Requests may be sent to
// older weights for the given period.
func newRelease(period time.Duration, model string, version int64) *placement.Releases {
	releases, _ := placement.NewReleases(period, time.Second).Add(catalog.Release{Model: model, Version: version}, false, clock.Now())
	return releases
}

// sendMargin is the margin of the fixtures' views.
const sendMargin = 2 * time.Second

// release makes version 2 of the weights known.
func (f *engineFixture) release(period time.Duration) {
	f.frontend.view.releases.Store(newRelease(period, modelName, 2))
}

// executions records the requests that engines have begun.
type executions struct {
	mu  sync.Mutex
	all []standin.Execution
}

func (e *executions) record(config *standin.BackendConfig) {
	config.OnStart = func(execution standin.Execution) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.all = append(e.all, execution)
	}
}

func (e *executions) begunAfter(at time.Time) (attempts []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, execution := range e.all {
		if execution.StartedAt.After(at) {
			attempts = append(attempts, execution.Attempt)
		}
	}
	return attempts
}

// soundSilence is a silence of an instance that is no fault.
const soundSilence = 1600 * time.Millisecond

// TestSilentEngineBeginsNothingOnOldWeightsAfterTheBound guards against requests that are sent
// to older weights so late that their engine, after a short silence, begins them when the bound
// of the newer version has ended, and whose callers get an error meanwhile (incident 0013).
func TestSilentEngineBeginsNothingOnOldWeightsAfterTheBound(t *testing.T) {
	const bound, interval, events = 5 * time.Second, 5 * time.Millisecond, 2
	for _, before := range []time.Duration{2050 * time.Millisecond, 1550 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(fmt.Sprintf("silent %s before the bound", before), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var begun executions
			f := newEngineFixture(t, 3, begun.record)
			f.table.Routes[0].Timeout = 6 * time.Second
			f.release(rollout.SendPeriod(bound))
			released := time.Now()
			time.Sleep(bound - before - 500*time.Millisecond)
			f.renewTables()
			time.AfterFunc(500*time.Millisecond, func() { f.engines[0].Pause(soundSilence) })
			var calls sync.WaitGroup
			for i := 0; time.Since(released) < bound; i++ {
				calls.Go(func() {
					response, body, err := f.writeWithin(5*time.Second, fmt.Sprintf("call-%d", i), events, firstPart)
					c.Check(err, qt.IsNil)
					if response.StatusCode != http.StatusServiceUnavailable {
						c.Check(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("call-%d: %s", i, body))
						c.Check(strings.Count(body, "id: "), qt.Equals, events)
					}
				})
				time.Sleep(interval)
			}
			calls.Wait()
			c.Check(begun.begunAfter(released.Add(bound)), qt.HasLen, 0)
		})
	}
}

// TestRequestEndedForTheVersionBoundWaitsForAnInstance guards against requests whose attempt is
// ended for the bound on older weights and that get an error after a fraction of their
// objective, though an instance with newer weights takes them a moment later (incident 0013).
func TestRequestEndedForTheVersionBoundWaitsForAnInstance(t *testing.T) {
	// The objective lets callers wait for 4 s, and a new request in the queue for half of it.
	const objective, period, events, shortage = time.Second, 100 * time.Millisecond, 4, 700 * time.Millisecond
	limit := period + sendMargin - cancelMargin
	for name, prepare := range map[string]func(f *engineFixture){
		"no slot": func(f *engineFixture) {
			time.AfterFunc(limit+shortage, func() { f.list(2) })
		},
		"no retry": func(f *engineFixture) {
			f.frontend.scheduler.setRetryLimits(retryLimits{window: 10 * time.Second})
			time.AfterFunc(limit+shortage/10, func() { f.list(2) })
			time.AfterFunc(limit+shortage, func() {
				f.frontend.scheduler.setRetryLimits(retryLimits{window: 10 * time.Second, slack: 5})
			})
		},
		"tables changed": func(f *engineFixture) {
			time.AfterFunc(limit+shortage/2, func() {
				f.table.Version++
				f.renewTables()
			})
			time.AfterFunc(limit+shortage, func() { f.list(2) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newEngineFixture(t, 1)
			f.addEngine(t, "i-1", 2)
			f.table.Routes[0].Timeout, f.table.Routes[0].Objective = 6*time.Second, objective
			f.renewTables()
			f.engines[0].SetFaults(standin.BackendFaults{Hang: true})
			f.release(period)
			prepare(f)
			response, body, err := f.writeWithin(5*time.Second, "ended", events, firstPart)
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
			c.Assert(strings.Count(body, "id: "), qt.Equals, events)
		})
	}
}

// TestOwnEndsNameTheirReason guards against attempts that the entry ends itself and whose log
// lines do not say why, so that a bound can't be told from a silence (incident 0013).
func TestOwnEndsNameTheirReason(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(t, 1)
	f.engines[0].SetFaults(standin.BackendFaults{Hang: true})
	f.release(20 * time.Millisecond)
	log := logtest.NewLocal(f.frontend.log.Logger)
	_, _, err := f.writeWithin(5*time.Second, "ended", 2, firstPart)
	c.Assert(err, qt.IsNil)
	var found bool
	for _, entry := range log.AllEntries() {
		if entry.Message != "an attempt was ended by this entry or an agent" {
			continue
		}
		found = true
		c.Check(entry.Data["reason"], qt.Equals, endedForVersionBound)
		c.Check(entry.Data["version"], qt.Equals, int64(1))
		c.Check(entry.Data["newer_version"], qt.Equals, int64(2))
		c.Check(entry.Data["newer_version_age_ms"].(int64) > 0, qt.IsTrue)
		c.Check(entry.Data["start_limit_ms"].(int64) > 0, qt.IsTrue)
	}
	c.Assert(found, qt.IsTrue)
}

// TestAttemptEndedForTheVersionBoundHasTheNextOneReserved guards against attempts that are ended
// for the bound on older weights for a slot that another request takes meanwhile (incident 0013).
func TestAttemptEndedForTheVersionBoundHasTheNextOneReserved(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(t, 1)
	f.addEngine(t, "i-1", 2)
	// The timeout for silence comes later than the bound.
	f.table.Routes[0].Timeout, f.table.Routes[0].Objective = 6*time.Second, time.Second
	f.renewTables()
	f.engines[0].SetFaults(standin.BackendFaults{Hang: true})
	f.release(100 * time.Millisecond)
	time.AfterFunc(500*time.Millisecond, func() { f.list(2) })
	log := logtest.NewLocal(f.frontend.log.Logger)
	response, _, err := f.writeWithin(5*time.Second, "reserved", 2, firstPart)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	attempts := log.LastEntry().Data["attempts"].([]attemptRecord)
	c.Assert(attempts, qt.HasLen, 2)
	c.Assert(attempts[0].EndedFor, qt.Equals, endedForVersionBound)
	c.Assert(attempts[1].Reserved, qt.IsTrue)
}

// TestRequestEndedForTheVersionBoundReturnsToItsInstance guards against requests that get an
// error although the only instance has loaded newer weights meanwhile (incident 0013).
func TestRequestEndedForTheVersionBoundReturnsToItsInstance(t *testing.T) {
	c := qt.New(t)
	var attempts atomic.Int32
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if attempts.Add(1) == 1 {
			hangUntilClosed(r)
			return
		}
		writeSeal(w, r)
		writeEvents(w, 1, 3)
	})
	go f.frontend.scheduler.Run(t.Context())
	f.loadWeights(1)
	f.frontend.view.releases.Store(newRelease(20*time.Millisecond, "m", 2))
	ended := func() bool { return attempts.Load() == 1 && f.frontend.view.minVersion("m", clock.Now()) == 2 }
	go func() {
		waitUntil(c, ended)
		f.loadWeights(2)
	}()
	response, body, err := f.do(http.MethodPost, "/stream/x")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	c.Assert(strings.Count(body, "id: "), qt.Equals, 3)
}

// TestRequestEndedForTheVersionBoundReturnsToAFullInstance guards against requests that get an
// error because the only instance with newer weights rejected them once, though it takes them a
// moment later.
func TestRequestEndedForTheVersionBoundReturnsToAFullInstance(t *testing.T) {
	c := qt.New(t)
	const rejections = 2
	var attempts atomic.Int32
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		switch attempt := attempts.Add(1); {
		case attempt == 1:
			hangUntilClosed(r)
		case attempt <= 1+rejections:
			rejectAsFull(w, r)
		default:
			writeSeal(w, r)
			writeEvents(w, 1, 3)
		}
	})
	go f.frontend.scheduler.Run(t.Context())
	f.loadWeights(1)
	f.frontend.view.releases.Store(newRelease(20*time.Millisecond, "m", 2))
	go func() {
		waitUntil(c, func() bool { return attempts.Load() == 1 })
		f.loadWeights(2)
	}()
	response, body, err := f.do(http.MethodPost, "/stream/x", func(r *http.Request) { r.Header.Set(standin.HeaderTimeLeft, "5000") })
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	c.Assert(strings.Count(body, "id: "), qt.Equals, 3)
}
