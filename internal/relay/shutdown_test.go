package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"plantainrelay/internal/daemon"
	"plantainrelay/platform/standin"
)

// stopIn begins the stop of an entry that ends after the given time.
func (f *fixture) stopIn(endIn time.Duration) {
	f.frontend.shutdown.begin(daemon.Shutdown{SignaledAt: time.Now(), EndBy: time.Now().Add(endIn)})
}

// TestStoppingEntryTakesOnlyWhatCanEnd guards against requests that reach an instance shortly
// before their entry ends and get no response, among them ones that may not be repeated
// (incident 0009).
func TestStoppingEntryTakesOnlyWhatCanEnd(t *testing.T) {
	c := qt.New(t)
	arrivals := 0
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		arrivals++
		answerOK(w, r)
	})
	f.stopIn(time.Second)
	timeLeft := func(milliseconds string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(standin.HeaderTimeLeft, milliseconds) }
	}
	response, body, err := f.do(http.MethodPost, "/once/x", timeLeft("2500"))
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", body))
	c.Assert(response.Header.Get("Retry-After"), qt.Equals, "0.05")
	c.Assert(response.Close, qt.IsTrue)
	c.Assert(arrivals, qt.Equals, 0)
	response, _, err = f.do(http.MethodPost, "/once/x", timeLeft("600"))
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(arrivals, qt.Equals, 1)
}

// TestExpectedDurationAdmitsRepeatableRequests guards against callers that are all sent away
// from the moment at which their time limits, but not their requests, would end too late.
func TestExpectedDurationAdmitsRepeatableRequests(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, answerOK)
	status := func(path string) int {
		response, _, err := f.do(http.MethodGet, path)
		c.Assert(err, qt.IsNil)
		return response.StatusCode
	}
	c.Assert(status("/look/x"), qt.Equals, http.StatusOK)
	c.Assert(status("/once/x"), qt.Equals, http.StatusOK)
	f.stopIn(time.Second)
	c.Assert(status("/look/x"), qt.Equals, http.StatusOK)
	c.Assert(status("/once/x"), qt.Equals, http.StatusServiceUnavailable)
}

// TestRequestsInProgressGetFinalResponses guards against requests that end without a response
// because the process ends: one whose instance is silent, and one that waits for a slot.
func TestRequestsInProgressGetFinalResponses(t *testing.T) {
	c := qt.New(t)
	const slots = 1
	f, engines := newSteppedFixture(t, 1, slots)
	engines[0].fallSilent(time.Minute)
	f.table.Routes[0].Objective = 5 * time.Second
	f.renewTables()
	log := logtest.NewLocal(f.frontend.log.Logger)
	statuses := make(chan int, 3*slots)
	for i := range 3 * slots {
		go func() {
			response, _, err := f.writeWithin(6*time.Second, fmt.Sprintf("stop-%d", i), steppedEvents, firstPart)
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
		time.Sleep(20 * time.Millisecond)
	}
	const endIn = 600 * time.Millisecond
	began := time.Now()
	f.stopIn(endIn)
	counts := map[int]int{}
	for range 3 * slots {
		counts[<-statuses]++
	}
	c.Assert(time.Since(began) < endIn, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	c.Assert(counts, qt.DeepEquals, map[int]int{http.StatusBadGateway: 2 * slots, http.StatusServiceUnavailable: slots})
	c.Assert(log.LastEntry().Data["since_signal_ms"], qt.Not(qt.IsNil))
}

// TestStreamClosedAtTheEndNamesTheShutdown guards against streams that are cut by the end of
// the process without a line in the log.
func TestStreamClosedAtTheEndNamesTheShutdown(t *testing.T) {
	c := qt.New(t)
	f, _ := newSteppedFixture(t, 1, 1)
	log := logtest.NewLocal(f.frontend.log.Logger)
	time.AfterFunc(200*time.Millisecond, func() { f.stopIn(400 * time.Millisecond) })
	_, _, err := f.writeWithin(6*time.Second, "cut", steppedEvents, firstPart)
	c.Assert(err, qt.IsNotNil)
	c.Assert(log.LastEntry().Data["cause"], qt.Equals, closedForShutdown)
}
