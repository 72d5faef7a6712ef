package relay

import (
	"sync"
	"time"
)

const (
	// returningMargin is the part of the longest time by which a caller's time may be
	// shorter without its having come back: callers of one route differ by a sixth,
	// and under lasting overload a rejected one waits for up to a third of its time.
	returningMargin = 0.2
	// minReturningShare is the part of the longest time below which a caller is one of
	// another kind, with a shorter time limit: nobody comes back that late.
	minReturningShare = 0.3
	// maxTrackedRoutes bounds the routes that are remembered.
	maxTrackedRoutes = 4096
)

// returningCallerDetector remembers, by route, the longest time that callers give a request,
// as far as the route's own limit on it. Who gives less has been rejected before:
// callers send what is left of their time. It is safe for concurrent use.
type returningCallerDetector struct {
	mu              sync.Mutex
	longestTimeLeft map[string]time.Duration
}

// isReturning reports whether a caller with so much time timeLeft comes back after a
// rejection. limit is the route's; 0 is none.
func (u *returningCallerDetector) isReturning(route string, timeLeft, limit time.Duration) bool {
	if timeLeft <= 0 {
		return false
	}
	if limit > 0 {
		timeLeft = min(timeLeft, limit)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.longestTimeLeft == nil || len(u.longestTimeLeft) >= maxTrackedRoutes {
		u.longestTimeLeft = map[string]time.Duration{}
	}
	longest := max(u.longestTimeLeft[route], timeLeft)
	if limit > 0 {
		longest = min(longest, limit)
	}
	u.longestTimeLeft[route] = longest
	share := float64(timeLeft) / float64(longest)
	return share < 1-returningMargin && share > minReturningShare
}
