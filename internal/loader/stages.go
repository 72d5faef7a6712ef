package loader

import (
	"sync"
	"time"

	"plantainrelay/platform"
)

// maxStagingDelay is how long after the engine has answered a report it may still execute a
// staging call that ended without a response before the report was requested.
const maxStagingDelay = 300 * time.Millisecond

// anyVersion stands for the version of calls of an earlier agent of this instance.
const anyVersion = 0

// stagingCalls tracks the calls that stage chunks, and the order to load them. The
// staging area holds one copy of each chunk regardless of version, so a call for
// another version overwrites a verified chunk. The end of a call without a response says
// nothing about its effect: the engine may execute it at any later time. It is safe for
// concurrent use.
type stagingCalls struct {
	mu      sync.Mutex
	running map[int64]int
	lastEnd map[int64]time.Time
	// unanswered holds the versions of calls that ended without a response.
	unanswered map[int64]unansweredCall
	order      pendingOrder
}

// unansweredCall is the last staging call of a version that ended without a response.
type unansweredCall struct {
	endedAt time.Time
	// executedBy is the time by which it was executed or never will be, zero if unknown.
	executedBy time.Time
}

// mayExecuteAfter reports whether the call may be executed after the given time.
func (u unansweredCall) mayExecuteAfter(at time.Time) bool {
	return u.executedBy.IsZero() || u.executedBy.After(at)
}

// pendingOrder is an order that the engine may still accept.
type pendingOrder struct {
	// version is 0 if there is none.
	version int64
	// engineStart and orders are what the engine reported before the order was sent. It
	// carries orders as its condition, so the engine refuses it after it has accepted
	// another one.
	engineStart, orders int64
	isRunning           bool
	// unansweredCalls counts its calls that ended without a response.
	unansweredCalls int
}

func newStagingCalls() *stagingCalls {
	return &stagingCalls{running: map[int64]int{}, lastEnd: map[int64]time.Time{}, unanswered: map[int64]unansweredCall{}}
}

// assumeEarlierCalls records that an earlier agent of this instance may have ended before its
// calls were answered.
func (s *stagingCalls) assumeEarlierCalls(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered[anyVersion] = unansweredCall{endedAt: now}
}

// begin records the start of a call that stages a chunk. It returns false if the call must not
// be made, because the engine may still accept an order to load another version.
func (s *stagingCalls) begin(version int64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.order.version != 0 && s.order.version != version {
		return false
	}
	if earlier, found := s.unanswered[anyVersion]; found && earlier.mayExecuteAfter(now) {
		return false
	}
	s.running[version]++
	return true
}

// end records the end of a staging call.
func (s *stagingCalls) end(version int64, isAnswered bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[version]--; s.running[version] == 0 {
		delete(s.running, version)
	}
	s.lastEnd[version] = now
	if !isAnswered {
		s.unanswered[version] = unansweredCall{endedAt: now}
	}
	for other, at := range s.lastEnd {
		if now.Sub(at) > time.Minute {
			delete(s.lastEnd, other)
		}
	}
}

// beginOrder records the start of an order to load a version, which is to carry the number of
// orders in the report as its condition. It returns false if the order must not be sent: a
// call for another version may have been executed since the given time, or the engine may
// still accept an order to load another version.
func (s *stagingCalls) beginOrder(version int64, since time.Time, report platform.EngineReport) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.order.version != 0 && s.order.version != version || s.otherVersionExecuted(version, since) {
		return false
	}
	if s.order.version == 0 {
		s.order = pendingOrder{version: version, engineStart: report.Start, orders: report.Orders}
	}
	s.order.isRunning = true
	return true
}

// endOrder records the end of a call with the order. Without a response, the engine may still
// accept it until a report shows that it has, or that it no longer can.
func (s *stagingCalls) endOrder(isAnswered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.order.isRunning = false
	if !isAnswered {
		s.order.unansweredCalls++
	}
	if s.order.unansweredCalls == 0 {
		s.order = pendingOrder{}
	}
}

// pendingVersion returns the version that the engine may still accept an order to load, 0 if
// there is none.
func (s *stagingCalls) pendingVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.order.version
}

// reportReceived takes a report of the engine that was requested at the first time and
// received at the second one. It returns the version of the pending order if the report shows
// that the engine has accepted it or can't any more, 0 otherwise.
func (s *stagingCalls) reportReceived(report platform.EngineReport, requestedAt, now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for version, call := range s.unanswered {
		switch {
		case call.executedBy.IsZero() && call.endedAt.Before(requestedAt):
			call.executedBy = now.Add(maxStagingDelay)
			s.unanswered[version] = call
		case !call.executedBy.IsZero() && now.Sub(call.executedBy) > time.Minute:
			delete(s.unanswered, version)
		}
	}
	order := s.order
	if order.version == 0 || order.isRunning {
		return 0
	}
	if report.Start == order.engineStart && report.Orders <= order.orders && report.LoadedVersion < order.version {
		return 0
	}
	s.order = pendingOrder{}
	return order.version
}

// otherVersionSince reports whether a call for another version may have been
// executed since the given time.
func (s *stagingCalls) otherVersionSince(version int64, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.otherVersionExecuted(version, since)
}

// otherVersionExecuted is otherVersionSince for a caller that holds mu.
func (s *stagingCalls) otherVersionExecuted(version int64, since time.Time) bool {
	for other := range s.running {
		if other != version {
			return true
		}
	}
	for other, at := range s.lastEnd {
		if other != version && at.After(since) {
			return true
		}
	}
	for other, call := range s.unanswered {
		if other != version && call.mayExecuteAfter(since) {
			return true
		}
	}
	return false
}
