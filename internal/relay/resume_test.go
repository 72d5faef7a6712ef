package relay

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/daemon"
	"plantainrelay/internal/placement"
	"plantainrelay/platform/standin"
)

// TestBegunStreamWaitsForAnInstance guards against streams that are closed after an instance
// has broken off, because no other one has a free slot or the budget no retry at that moment,
// though their callers wait for seconds (incident 0009).
func TestBegunStreamWaitsForAnInstance(t *testing.T) {
	const events, shortage = 8, 900 * time.Millisecond
	for name, prepare := range map[string]func(f *engineFixture){
		"no slot": func(f *engineFixture) {
			f.list(2)
			// The belief that the second engine is full ends after the shortage.
			full := map[string]placement.Load{"i-1": {Count: 100}}
			f.frontend.scheduler.recordPeerLoads("peer", full, true, clock.Now().Add(shortage-time.Second))
		},
		"no retry": func(f *engineFixture) {
			f.frontend.scheduler.setRetryLimits(retryLimits{window: 10 * time.Second})
			time.AfterFunc(shortage/10, func() { f.list(2) })
			time.AfterFunc(shortage, func() {
				f.frontend.scheduler.setRetryLimits(retryLimits{window: 10 * time.Second, slack: 5})
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newEngineFixture(t, 2)
			f.list(1)
			f.engines[0].SetFaults(standin.BackendFaults{TruncateResponses: true})
			prepare(f)
			response, body, err := f.writeWithin(2500*time.Millisecond, "begun", events, firstPart)
			c.Assert(err, qt.IsNil, qt.Commentf("%s", body))
			c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
			c.Assert(strings.Count(body, "id: "), qt.Equals, events, qt.Commentf("%s", body))
		})
	}
}

// TestClosedResponseNamesItsCause guards against closed responses that the log doesn't
// explain (incident 0009).
func TestClosedResponseNamesItsCause(t *testing.T) {
	for cause, prepare := range map[closeCause]func(f *engineFixture){
		closedForRetry: func(f *engineFixture) {
			f.frontend.scheduler.setRetryLimits(retryLimits{window: 10 * time.Second})
		},
		closedForSlot:     func(f *engineFixture) { f.list(1) },
		closedForAttempts: func(f *engineFixture) {},
	} {
		t.Run(string(cause), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newEngineFixture(t, 2)
			for _, engine := range f.engines {
				engine.SetFaults(standin.BackendFaults{TruncateResponses: true})
			}
			prepare(f)
			f.frontend.shutdown.begin(daemon.Shutdown{SignaledAt: time.Now(), EndBy: time.Now().Add(5 * time.Second)})
			log := logtest.NewLocal(f.frontend.log.Logger)
			_, _, err := f.write("closed", 20, firstPart)
			c.Assert(err, qt.IsNotNil)
			ended := log.LastEntry()
			c.Assert(ended.Message, qt.Equals, "request ended")
			c.Assert(ended.Data["cause"], qt.Equals, cause)
			c.Assert(ended.Data["since_signal_ms"], qt.Not(qt.IsNil))
		})
	}
}

// TestBegunStreamReturnsToAFullInstance guards against streams that are closed because the
// only other instance rejected them once, though it takes them a moment later.
func TestBegunStreamReturnsToAFullInstance(t *testing.T) {
	c := qt.New(t)
	const rejections, first, last = 3, 2, 5
	var attempts atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch attempt := attempts.Add(1); {
		case attempt == 1:
			writeSeal(w, r)
			writeEvents(w, 1, first)
			panic(http.ErrAbortHandler)
		case attempt <= 1+rejections:
			rejectAsFull(w, r)
		default:
			writeSeal(w, r)
			writeEvents(w, first+1, last)
		}
	}
	f := newFixture(t, handler, handler)
	go f.frontend.scheduler.Run(t.Context())
	response, body, err := f.do(http.MethodPost, "/stream/x")
	c.Assert(err, qt.IsNil, qt.Commentf("%s", body))
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(strings.Count(body, "id: "), qt.Equals, last, qt.Commentf("%s", body))
}
