package loader

import (
	"sync"
	"time"
)

// stageSlack is how long after the end of a staging call the engine may still
// execute it: a call that timed out here may have reached the engine.
const stageSlack = 300 * time.Millisecond

// stages tracks the calls that stage chunks. The staging area holds one copy of
// each chunk regardless of version, so a late call for another version overwrites a
// verified chunk. It is safe for concurrent use.
type stages struct {
	mu    sync.Mutex
	open  map[int64]int
	ended map[int64]time.Time
}

func newStages() *stages {
	return &stages{open: map[int64]int{}, ended: map[int64]time.Time{}}
}

// begin records the start of a staging call.
func (s *stages) begin(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[version]++
}

// end records the end of a staging call.
func (s *stages) end(version int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[version]--; s.open[version] == 0 {
		delete(s.open, version)
	}
	s.ended[version] = now
	for other, at := range s.ended {
		if now.Sub(at) > time.Minute {
			delete(s.ended, other)
		}
	}
}

// othersSince reports whether a call for another version may have been executed
// since the given time.
func (s *stages) othersSince(version int64, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other := range s.open {
		if other != version {
			return true
		}
	}
	for other, at := range s.ended {
		if other != version && at.Add(stageSlack).After(since) {
			return true
		}
	}
	return false
}
