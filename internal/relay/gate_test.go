package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/admission"
	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
)

// TestStartingEntryHasNoSlack guards against exceeding the retry budget when many
// entries start at the same time: none knows what was retried before, nor how many
// entries share the slack.
func TestStartingEntryHasNoSlack(t *testing.T) {
	c := qt.New(t)
	limits := retryLimits{window: 10 * time.Second, ratio: 0.2, slack: 150}
	g := newScheduler(placement.New(placement.Config{}), limits)
	g.retrySlackFrom = clock.Now().Add(limits.window)
	c.Assert(g.takeRetry("p"), qt.IsFalse)
	for range 10 {
		g.countRequest("p")
	}
	for range 2 {
		c.Assert(g.takeRetry("p"), qt.IsTrue, qt.Commentf("the entry's own requests count"))
	}
	c.Assert(g.takeRetry("p"), qt.IsFalse)
	g.setRetryLimits(limits)
	c.Assert(g.takeRetry("p"), qt.IsFalse, qt.Commentf("a reload without a change keeps the counts"))
	g.retrySlackFrom = clock.Now()
	g.setEntries("0", make([]string, 150))
	c.Assert(g.takeRetry("p"), qt.IsTrue, qt.Commentf("the entry's share of the slack"))
	c.Assert(g.takeRetry("p"), qt.IsFalse)
}

// TestReloadDoesNotRenewTheRetrySlack guards against a reload of the settings that allows
// the retries of the last window once more.
func TestReloadDoesNotRenewTheRetrySlack(t *testing.T) {
	for name, limits := range map[string]retryLimits{
		"another ratio":  {window: 10 * time.Second, ratio: 0.1, slack: 5},
		"another window": {window: 20 * time.Second, ratio: 0.2, slack: 5},
		"less slack":     {window: 10 * time.Second, ratio: 0.2, slack: 4},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g := newScheduler(placement.New(placement.Config{}), retryLimits{window: 10 * time.Second, ratio: 0.2, slack: 5})
			for range 5 {
				c.Assert(g.takeRetry("p"), qt.IsTrue)
			}
			c.Assert(g.takeRetry("p"), qt.IsFalse)
			g.setRetryLimits(limits)
			c.Assert(g.takeRetry("p"), qt.IsFalse)
		})
	}
}

// TestRequestWaitsWhileOnlyOthersFit covers overload with requests of different needs: a
// free slot that only other requests may take is no reason to reject the first in the
// queue.
func TestRequestWaitsWhileOnlyOthersFit(t *testing.T) {
	c := qt.New(t)
	fleet := placement.New(placement.Config{MaxPeerLoadAge: time.Second, Seed: 1})
	fleet.SetList([]catalog.Backend{{ID: "i-1", Pool: "p", Address: "10.0.0.1:80", Host: "10.0.0.1", Slots: 1}}, time.Time{}, clock.Now())
	g := newScheduler(fleet, retryLimits{})
	later := clock.Now().Add(time.Hour)
	newTicket := func(tried bool) *ticket {
		t := &ticket{Ticket: admission.Ticket{Customer: "c", Deadline: later, StartBy: later}, need: placement.Requirements{Pool: "p"}}
		if tried {
			t.need.Tried = map[string]bool{"i-1": true}
		}
		return t
	}
	ctx, cancel := context.WithCancel(t.Context())
	blocked := make(chan *rejection)
	go func() {
		_, rejected := g.acquire(ctx, newTicket(true))
		blocked <- rejected
	}()
	waitUntil(c, func() bool { return g.queuedRequests("p") == 1 })
	for range 2 {
		choice, rejected := g.acquire(ctx, newTicket(false))
		c.Assert(rejected, qt.IsNil)
		c.Assert(choice.Backend.ID, qt.Equals, "i-1")
	}
	c.Assert(g.queuedRequests("p"), qt.Equals, 1)
	cancel()
	c.Assert(<-blocked, qt.IsNotNil)
}

// TestReturningCallerWaitsForAnInstance covers an outage of all instances and the return
// after it: a caller that returns after a rejection waits as long as it would be asked to
// stay away, within its bound, since it does not return twice; one that calls for the
// first time is rejected in time to return.
func TestReturningCallerWaitsForAnInstance(t *testing.T) {
	c := qt.New(t)
	now := clock.Now()
	fleet := placement.New(placement.Config{MaxPeerLoadAge: time.Second, Seed: 1})
	g := newScheduler(fleet, retryLimits{})
	newTicket := func(returning bool, timeLeft time.Duration) *ticket {
		t := &ticket{
			Ticket: admission.Ticket{Retry: returning, Deadline: now.Add(timeLeft), StartBy: now.Add(200 * time.Millisecond)},
			need:   placement.Requirements{Pool: "p"}, maxReturnWait: 1500 * time.Millisecond,
		}
		g.extendQueueTime(t, now)
		return t
	}
	c.Check(newTicket(true, 3*time.Second).StartBy, qt.Equals, now.Add(time.Second))
	c.Check(newTicket(true, time.Minute).StartBy, qt.Equals, now.Add(1500*time.Millisecond))
	c.Check(newTicket(true, 300*time.Millisecond).StartBy, qt.Equals, now.Add(minRetryAfter))
	c.Check(newTicket(false, 3*time.Second).StartBy, qt.Equals, now.Add(200*time.Millisecond))
	fleet.SetList([]catalog.Backend{{ID: "i-1", Pool: "p", Address: "10.0.0.1:80", Host: "10.0.0.1", Slots: 1}}, time.Time{}, now)
	c.Check(newTicket(true, 3*time.Second).StartBy, qt.Equals, now.Add(time.Second), qt.Commentf("the overload has not lasted"))
	g.overloads["p"] = &overload{since: now.Add(-shortOverload - time.Millisecond), lastRejection: now}
	c.Check(newTicket(true, 3*time.Second).StartBy, qt.Equals, now.Add(200*time.Millisecond), qt.Commentf("a lasting overload"))
}

func (s *scheduler) queuedRequests(pool string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue(pool).Queued()
}

// maxTestWait bounds the wait for a condition.
const maxTestWait = 20 * time.Second

// waitUntil waits for a condition that another goroutine brings about.
func waitUntil(c *qt.C, condition func() bool) {
	c.Helper()
	for until := time.Now().Add(maxTestWait); !condition(); {
		if c.Context().Err() != nil || time.Now().After(until) {
			c.Fatal("the condition is not met")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestQueuedRequestMeetsTheBoundThatEndsMeanwhile guards against a request that starts on
// old weights because it was queued before the bound of the next version ended.
func TestQueuedRequestMeetsTheBoundThatEndsMeanwhile(t *testing.T) {
	c := qt.New(t)
	fleet := placement.New(placement.Config{MaxPeerLoadAge: time.Second, Seed: 1})
	fleet.SetList([]catalog.Backend{{
		ID: "i-1", Pool: "p", Address: "10.0.0.1:80", Host: "10.0.0.1", Slots: 1, LoadedVersions: map[string]int64{"m": 1},
	}}, time.Time{}, clock.Now())
	g := newScheduler(fleet, retryLimits{})
	var minVersion atomic.Int64
	g.minVersion = func(string, time.Time) int64 { return minVersion.Load() }
	newTicket := func(startBy time.Time) *ticket {
		return &ticket{Ticket: admission.Ticket{Customer: "c", Deadline: startBy, StartBy: startBy}, need: placement.Requirements{Pool: "p", Model: "m"}}
	}
	later := clock.Now().Add(time.Hour)
	first := newTicket(later)
	var running []placement.Choice
	_, slots := fleet.Usable(first.need, clock.Now())
	for range slots {
		choice, rejected := g.acquire(t.Context(), newTicket(later))
		c.Assert(rejected, qt.IsNil)
		running = append(running, choice)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan *rejection)
	go func() {
		_, rejected := g.acquire(ctx, first)
		ended <- rejected
	}()
	<-g.requestQueued
	minVersion.Store(2)
	for _, choice := range running {
		g.release(first, choice, placement.Succeeded, time.Millisecond)
	}
	g.dispatchAll()
	cancel()
	c.Assert(<-ended, qt.IsNotNil)
}
