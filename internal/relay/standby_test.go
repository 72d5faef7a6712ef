package relay

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/platform/standin"
)

// standbyPause is longer than the timeout for silence of the fixture's routes (600 ms).
const standbyPause = 1300 * time.Millisecond

// writePausingStream writes a stream of six events with one pause after the third.
func writePausingStream(w http.ResponseWriter, r *http.Request) {
	writeSeal(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	writeEvents(w, 1, 3)
	time.Sleep(standbyPause)
	writeEvents(w, 4, 6)
}

// TestSilentStreamOutlivesItsStandby guards against streams that are closed because the instance
// to which they were to go over has rejected or lost them, although the silent one would have
// gone on (incident 0006).
func TestSilentStreamOutlivesItsStandby(t *testing.T) {
	for name, second := range map[string]func(http.ResponseWriter, *http.Request){
		"rejected":   rejectAsFull,
		"broken off": func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) },
		"silent":     func(_ http.ResponseWriter, r *http.Request) { hangUntilClosed(r) },
		"broken off after its header": func(w http.ResponseWriter, r *http.Request) {
			writeSeal(w, r)
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			resetConnection(w)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var arrivals atomic.Int32
			handler := func(w http.ResponseWriter, r *http.Request) {
				if arrivals.Add(1) == 1 {
					writePausingStream(w, r)
					return
				}
				second(w, r)
			}
			f := newFixture(t, handler, handler)
			go f.frontend.scheduler.Run(t.Context())
			// One retry, as on an entry that has started a short time ago.
			f.frontend.scheduler.setRetryLimits(retryLimits{window: 10 * time.Second, slack: 1})
			response, body, err := f.do(http.MethodPost, "/stream/x")
			c.Assert(err, qt.IsNil, qt.Commentf("%s", body))
			c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
			c.Assert(strings.Count(body, "id: "), qt.Equals, 6, qt.Commentf("%s", body))
			c.Assert(arrivals.Load() > 1, qt.IsTrue, qt.Commentf("no other instance was asked"))
		})
	}
}

// TestStandbyEndsWhenTheSilentInstanceGoesOn guards against a second instance that goes on
// working for a response that the first one completes.
func TestStandbyEndsWhenTheSilentInstanceGoesOn(t *testing.T) {
	c := qt.New(t)
	var arrivals atomic.Int32
	ended := make(chan time.Time, 1)
	handler := func(w http.ResponseWriter, r *http.Request) {
		if arrivals.Add(1) == 1 {
			writePausingStream(w, r)
			time.Sleep(standbyPause)
			return
		}
		hangUntilClosed(r)
		ended <- time.Now()
	}
	f := newFixture(t, handler, handler)
	go f.frontend.scheduler.Run(t.Context())
	done := make(chan time.Time, 1)
	go func() {
		_, _, _ = f.do(http.MethodPost, "/stream/x", func(r *http.Request) { r.Header.Set(standin.HeaderTimeLeft, "4000") })
		done <- time.Now()
	}()
	select {
	case <-ended:
	case <-done:
		c.Fatal("the response of the first instance was complete before the second one was canceled")
	}
	<-done
}

// TestEventAfterTheTakeoverIsDiscarded guards against a stream that is broken off because an event
// of the silent instance arrives while the other one takes over, which sends that event as well.
func TestEventAfterTheTakeoverIsDiscarded(t *testing.T) {
	c := qt.New(t)
	canceled, next := make(chan struct{}), &reservation{}
	w := newWatchdog(func() { close(canceled) }, time.Millisecond, func() giveUp { return giveUp{isAllowed: true, reserved: next} }, nil)
	<-canceled
	c.Assert(w.extend(time.Minute), qt.IsFalse)
	c.Assert(w.stopAndTake(), qt.Equals, next)
	running := newWatchdog(func() {}, time.Minute, nil, nil)
	c.Assert(running.extend(time.Minute), qt.IsTrue)
	running.stop()
}
