package relay

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/admission"
	"plantainrelay/internal/blocklist"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
)

// TestCanceledAttemptReservesOnce guards against a slot and a retry that are never returned:
// events that have been read already restart the timer of an attempt that was canceled, and a
// second reservation replaces the first one.
func TestCanceledAttemptReservesOnce(t *testing.T) {
	c := qt.New(t)
	var mu sync.Mutex
	made, withdrawn := 0, 0
	canceled := make(chan struct{}, 8)
	w := newWatchdog(func() { canceled <- struct{}{} }, time.Millisecond, func() giveUp {
		mu.Lock()
		defer mu.Unlock()
		made++
		return giveUp{isAllowed: true, reserved: &reservation{}}
	}, func(*reservation) {
		mu.Lock()
		defer mu.Unlock()
		withdrawn++
	})
	<-canceled
	w.extend(time.Millisecond)
	time.Sleep(5 * silenceConfirmInterval)
	taken := 0
	if w.stopAndTake() != nil {
		taken++
	}
	mu.Lock()
	defer mu.Unlock()
	c.Assert(taken, qt.Equals, 1)
	c.Assert(made-withdrawn, qt.Equals, taken, qt.Commentf("%d reservations, %d withdrawn", made, withdrawn))
}

// TestStreamWithoutAttemptsIsClosedAtOnce guards against callers that wait for a retry which no
// attempt could use, because all attempts are used up.
func TestStreamWithoutAttemptsIsClosedAtOnce(t *testing.T) {
	c := qt.New(t)
	const retries = 1
	var attempts atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		id := int(attempts.Add(1))
		writeSeal(w, r)
		writeEvents(w, id, id)
		panic(http.ErrAbortHandler)
	}
	f := newFixture(t, handler, handler, handler)
	// The route allows two attempts, and the budget one retry.
	f.frontend.scheduler.setRetryLimits(retryLimits{window: 10 * time.Second, slack: retries})
	go f.frontend.scheduler.Run(t.Context())
	began := time.Now()
	_, _, err := f.do(http.MethodPost, "/stream/x")
	c.Assert(err, qt.IsNotNil)
	c.Assert(attempts.Load(), qt.Equals, int64(1+retries))
	c.Assert(time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("closed after %s", time.Since(began)))
}

// TestRejectedStreamLeavesRetriesToOthers guards against one begun stream that uses up the retry
// budget of its pool at an instance which rejects it again and again.
func TestRejectedStreamLeavesRetriesToOthers(t *testing.T) {
	c := qt.New(t)
	const events = 2
	var attempts atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		if attempts.Add(1) > 1 {
			rejectAsFull(w, r)
			return
		}
		writeSeal(w, r)
		writeEvents(w, 1, events)
		panic(http.ErrAbortHandler)
	}
	f := newFixture(t, handler, handler)
	go f.frontend.scheduler.Run(t.Context())
	_, body, err := f.do(http.MethodPost, "/stream/x")
	c.Assert(err, qt.IsNotNil)
	c.Assert(strings.Count(body, "id: "), qt.Equals, events)
	// The fixture allows ten retries.
	c.Assert(f.frontend.scheduler.takeRetry("s"), qt.IsTrue, qt.Commentf("%d attempts of one request", attempts.Load()))
}

// TestSlackOfEntriesThatEndInSeries guards against more retries of all entries together than
// their budget allows: the share of an entry that has just ended is free one window after the
// end of the first one.
func TestSlackOfEntriesThatEndInSeries(t *testing.T) {
	c := qt.New(t)
	const entries, window = 8, 10 * time.Second
	sharers, now := slackSharers{count: 1}, time.Unix(1000, 0)
	sharers.update(entries, window, now)
	// One entry remains. The last of the others has ended two seconds ago.
	for live := entries - 1; live > 0; live-- {
		now = now.Add(1300 * time.Millisecond)
		sharers.update(live, window, now)
	}
	now = now.Add(2300 * time.Millisecond)
	sharers.update(1, window, now)
	c.Assert(sharers.count > 1, qt.IsTrue, qt.Commentf("%d", sharers.count))
}

// TestQueuedRequestsPrecedeReservations guards against a queued request, such as a begun stream
// whose instance has broken off, that loses each slot that becomes free to requests of silent
// instances, which could be awaited.
func TestQueuedRequestsPrecedeReservations(t *testing.T) {
	c := qt.New(t)
	const slots = 8
	f, _ := newSteppedFixture(t, 1, slots)
	s := f.frontend.scheduler
	s.setRetryLimits(retryLimits{window: 10 * time.Second, slack: 10})
	load := func(count int) {
		s.recordPeerLoads("peer", map[string]placement.Load{"i-0": {Count: count}}, true, clock.Now())
	}
	load(2 * slots)
	queued := &ticket{Ticket: admission.Ticket{Class: resumedPriority, Deadline: clock.Now().Add(time.Minute), StartBy: clock.Now().Add(time.Minute)}, need: placement.Requirements{Pool: modelPool}}
	c.Assert(s.enqueue(queued), qt.IsTrue)
	load(2*slots - 1)
	reserved := s.reserve(&ticket{need: placement.Requirements{Pool: modelPool}})
	c.Assert(reserved == nil, qt.IsTrue)
	_, ok := <-queued.placed
	c.Assert(ok, qt.IsTrue)
}

// TestStoppingEntryKeepsTheTrial guards against a trial of a blocked part that is used up by a
// request which a stopping entry does not take.
func TestStoppingEntryKeepsTheTrial(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(t, 1)
	f.block()
	record := blocklist.Record{Part: badPart, Version: 2, Crashes: 4, Trials: 1}
	f.frontend.blocker.grantTrial(record)
	f.stopIn(time.Second)
	response, body, err := f.writeWithin(2500*time.Millisecond, "trial", 5, crashPart)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(f.arrivals.Load(), qt.Equals, int64(0))
	_, isTrial, _ := f.frontend.blocker.admit(modelName, []string{crashPart})
	c.Assert(isTrial, qt.IsTrue, qt.Commentf("%s", body))
}

// TestWatchdogConfirmsSilence guards against a watchdog that decides at the first firing of its
// timer, which may follow a pause of this process.
func TestWatchdogConfirmsSilence(t *testing.T) {
	c := qt.New(t)
	began, decided := time.Now(), make(chan time.Duration, 1)
	w := newWatchdog(func() {}, time.Millisecond, func() giveUp {
		decided <- time.Since(began)
		return giveUp{isAllowed: true}
	}, func(*reservation) {})
	after := <-decided
	w.stop()
	c.Assert(after >= silenceConfirmInterval, qt.IsTrue, qt.Commentf("decided after %s", after))
}
