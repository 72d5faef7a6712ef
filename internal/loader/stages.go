package loader

import (
	"sync"
	"time"

	"plantainrelay/internal/clock"
)

// maxStagingDelay is how long after the end of a staging call, or of an order, the engine
// may still execute it: a call that timed out here may have reached the engine.
const maxStagingDelay = 300 * time.Millisecond

// stagingCalls tracks the calls that stage chunks, and the order to load them. The
// staging area holds one copy of each chunk regardless of version, so a call for
// another version overwrites a verified chunk. It is safe for concurrent use.
type stagingCalls struct {
	mu      sync.Mutex
	running map[int64]int
	lastEnd map[int64]time.Time
	// ordered is the version of the last order. The engine may still accept it while
	// orderRunning is set, and until orderedUntil.
	ordered      int64
	orderRunning bool
	orderedUntil time.Time
}

func newStagingCalls() *stagingCalls {
	return &stagingCalls{running: map[int64]int{}, lastEnd: map[int64]time.Time{}}
}

// begin records the start of a staging call. It returns false if the call must not be
// made: the engine may still accept an order to load another version.
func (s *stagingCalls) begin(version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version != s.ordered && (s.orderRunning || clock.Now().Before(s.orderedUntil)) {
		return false
	}
	s.running[version]++
	return true
}

// end records the end of a staging call.
func (s *stagingCalls) end(version int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[version]--; s.running[version] == 0 {
		delete(s.running, version)
	}
	s.lastEnd[version] = now
	for other, at := range s.lastEnd {
		if now.Sub(at) > time.Minute {
			delete(s.lastEnd, other)
		}
	}
}

// beginOrder records the start of an order to load a version. It returns false if the
// order must not be sent: a call for another version may have been executed since the
// given time.
func (s *stagingCalls) beginOrder(version int64, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.otherVersionExecuted(version, since) {
		return false
	}
	s.ordered, s.orderRunning = version, true
	return true
}

// endOrder records the end of the order. An engine that has not answered may still accept
// it.
func (s *stagingCalls) endOrder(isAnswered bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orderRunning = false
	if !isAnswered {
		s.orderedUntil = now.Add(maxStagingDelay)
	}
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
		if other != version && at.Add(maxStagingDelay).After(since) {
			return true
		}
	}
	return false
}
