package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// silence is longer than all timeouts for silent instances, and shorter than the time limits
// of requests.
const silence = 1600 * time.Millisecond

// TestSilenceDoesNotEndTheLastAttempt guards against requests that fail though their instance
// would have gone on after a short silence: at the last attempt, where no other instance has
// a free slot, and where the retry budget is used up (incidents 0006, 0007).
func TestSilenceDoesNotEndTheLastAttempt(t *testing.T) {
	const events = 8
	for _, silentAt := range []int{1, 4} {
		for name, prepare := range map[string]func(f *engineFixture){
			"last attempt":  func(*engineFixture) {},
			"only instance": func(f *engineFixture) { f.list(1) },
			"full instances": func(f *engineFixture) {
				full := map[string]placement.Load{"i-1": {Count: 100}, "i-2": {Count: 100}}
				// The belief lasts longer than the request.
				f.frontend.scheduler.recordPeerLoads("peer", full, true, clock.Now().Add(time.Minute))
			},
			"no retry budget": func(f *engineFixture) { f.frontend.scheduler.setRetryLimits(retryLimits{window: 10 * time.Second}) },
		} {
			t.Run(fmt.Sprintf("%s, event %d", name, silentAt), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				f := newEngineFixture(t, 3)
				f.table.Routes[0].Timeout = 6 * time.Second
				f.renewTables()
				for _, engine := range f.engines {
					engine.SetFaults(standin.BackendFaults{SilentAt: silentAt, SilentFor: silence})
				}
				prepare(f)
				response, body, err := f.writeWithin(5*time.Second, "silent", events, firstPart)
				c.Assert(err, qt.IsNil)
				c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
				c.Assert(strings.Count(body, "id: "), qt.Equals, events, qt.Commentf(body))
			})
		}
	}
}

// TestSilentLookupIsAnswered is the same for requests that are not streams.
func TestSilentLookupIsAnswered(t *testing.T) {
	c := qt.New(t)
	f, backends := newBackendFixture(t, 1)
	backends[0].SetFaults(standin.BackendFaults{SilentAt: 1, SilentFor: silence})
	response, body, err := f.do(http.MethodGet, "/look/x")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf(body))
}

// TestOnlyErrorIsForwarded guards against an instance's error that is replaced by one of the
// entry because the request could have been sent again, though no other instance could take
// it.
func TestOnlyErrorIsForwarded(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, answerError)
	response, body, err := f.do(http.MethodGet, "/look/x")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusInternalServerError)
	c.Assert(body, qt.Equals, "its own words")
}

// TestEndedInstanceIsNotAwaited guards against requests that wait for a silent instance which
// has started again since, and TestUnlistedInstanceIsAwaited against ones that are given up
// because their instance is leaving without having said so.
func TestEndedInstanceIsNotAwaited(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(t, 1)
	f.engines[0].SetFaults(standin.BackendFaults{Hang: true})
	began := time.Now()
	done := make(chan int, 1)
	go func() { done <- f.statusOf("ended", 5) }()
	waitUntil(c, func() bool { return f.arrivals.Load() == 1 })
	// Starts are told apart by milliseconds.
	time.Sleep(5 * time.Millisecond)
	f.apply(platform.Backends, map[string]any{"i-0": standin.NewBackend(f.configs[0], 1, nil).Document()})
	c.Assert(<-done, qt.Equals, http.StatusBadGateway)
	c.Assert(time.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
}

func TestUnlistedInstanceIsAwaited(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(t, 1)
	f.engines[0].SetFaults(standin.BackendFaults{SilentAt: 1, SilentFor: silence})
	done := make(chan int, 1)
	go func() { done <- f.statusOf("unlisted", 5) }()
	waitUntil(c, func() bool { return f.arrivals.Load() == 1 })
	f.list(0)
	c.Assert(<-done, qt.Equals, http.StatusOK)
}

// statusOf returns the status of the response to a request, or 0 if its connection ended.
func (f *engineFixture) statusOf(attempt string, events int) int {
	response, _, err := f.write(attempt, events, firstPart)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// TestSilenceIsConfirmed guards against attempts that are given up after a pause of this
// process, before it has read what arrived meanwhile.
func TestSilenceIsConfirmed(t *testing.T) {
	c := qt.New(t)
	var s silenceConfirmation
	now := time.Unix(1000, 0)
	fires := func(after time.Duration) bool {
		now = now.Add(after)
		return s.isConfirmed(now)
	}
	c.Assert(fires(0), qt.IsFalse)
	c.Assert(fires(silenceConfirmInterval), qt.IsTrue)
	c.Assert(fires(silenceRecheckInterval), qt.IsTrue)
	c.Assert(fires(time.Second), qt.IsFalse, qt.Commentf("the process stood still"))
	c.Assert(fires(silenceConfirmInterval), qt.IsTrue)
}
