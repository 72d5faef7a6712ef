package relay

import (
	"context"
	"time"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
	"plantainrelay/platform"
)

const (
	// resumedPriority places requests that must go on before all new ones: the work for the
	// part that the caller has received, or the time that it has waited, would be lost.
	resumedPriority = -1
	// retryCheckInterval is the time between two attempts to take a retry from the budget.
	retryCheckInterval = 25 * time.Millisecond
	// maxReturns bounds how often a rejected request returns to instances that have rejected
	// it; it waits returnDelay before the first time and twice as long before each further
	// one.
	maxReturns  = 4
	returnDelay = 100 * time.Millisecond
)

// isResuming reports whether the next attempt goes on with a stream that the caller has
// received a part of.
func (x *exchange) isResuming() bool {
	return x.responseStarted && x.isStream && x.route.Resumable
}

// mustGoOn reports whether the next attempt waits for a slot and a retry as long as the caller
// does: the response has begun, or this entry or an agent has ended an attempt that might have
// succeeded. After silences there has to be an instance left to try; around a release one may still
// load the newer version.
func (x *exchange) mustGoOn() bool {
	if x.isResuming() {
		return true
	}
	for _, record := range x.attempts {
		switch record.EndedFor {
		case endedForVersionBound, endedForSwitch:
			return true
		case endedForSilence, endedForRestart:
			if x.frontend.scheduler.hasUsable(x.placementNeed()) {
				return true
			}
		}
	}
	return false
}

// waitUntil returns when a request that must go on has to start at the latest: later, its caller
// would have given it up before the response goes on.
func (x *exchange) waitUntil() time.Time {
	if x.route.Kind != catalog.Streaming {
		return x.deadline.Add(-x.route.Objective)
	}
	now := clock.Now()
	sinceEvent := now.Sub(x.arrived)
	if x.responseStarted {
		sinceEvent = time.Since(x.lastEventAt)
	}
	patience := platform.CallerPatience(x.route.Objective, x.route.MaxPause)
	return now.Add(patience - sinceEvent - x.route.Objective)
}

// awaitRetry waits for a retry from the pool's budget as long as the request may go on, and
// reports whether it was granted.
func (x *exchange) awaitRetry() bool {
	until := x.waitUntil()
	if x.deadline.Before(until) {
		until = x.deadline
	}
	for x.r.Context().Err() == nil && x.frontend.shutdown.ending.Err() == nil && !x.pending.canceled.Load() && clock.Now().Before(until) {
		clock.Sleep(x.r.Context(), retryCheckInterval)
		if x.frontend.scheduler.takeRetry(x.pool) {
			return true
		}
	}
	return false
}

// allowReturn lets a request that must go on return to the instances that have rejected it,
// after a delay, if no other one is left.
func (x *exchange) allowReturn(ctx context.Context) {
	if x.returns >= maxReturns || x.frontend.scheduler.hasUsable(x.placementNeed()) {
		return
	}
	clock.Sleep(ctx, returnDelay<<x.returns)
	x.returns++
	for _, attempt := range x.attempts {
		if outcome(attempt.Outcome) == notRun {
			delete(x.tried, attempt.Instance)
		}
	}
}

// hasUsable reports whether there are instances that the request has not tried, whether or
// not they have free slots.
func (s *scheduler) hasUsable(need placement.Requirements) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	count, _ := s.fleet.Usable(need, clock.Now())
	return count > 0
}
