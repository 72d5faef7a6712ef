package loader

import (
	"sync"
	"time"
)

// maxStagingDelay is how long after the end of a staging call the engine may still
// execute it: a call that timed out here may have reached the engine.
const maxStagingDelay = 300 * time.Millisecond

// stagingCalls tracks the calls that stage chunks. The staging area holds one copy
// of each chunk regardless of version, so a late call for another version
// overwrites a verified chunk. It is safe for concurrent use.
type stagingCalls struct {
	mu      sync.Mutex
	running map[int64]int
	lastEnd map[int64]time.Time
}

func newStagingCalls() *stagingCalls {
	return &stagingCalls{running: map[int64]int{}, lastEnd: map[int64]time.Time{}}
}

// begin records the start of a staging call.
func (s *stagingCalls) begin(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[version]++
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

// otherVersionSince reports whether a call for another version may have been
// executed since the given time.
func (s *stagingCalls) otherVersionSince(version int64, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
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
