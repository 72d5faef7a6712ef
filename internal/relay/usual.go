package relay

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// returningMargin is the share of the longest time by which a caller's remaining
	// time may be shorter without the caller counting as returning. The time limits of
	// callers of one route differ by a sixth, and under lasting overload a rejected
	// caller waits for up to a third of its time before it retries.
	returningMargin = 0.2
	// minReturningShare is the share of the longest time below which a caller is taken
	// for one with a shorter time limit: no caller retries that late.
	minReturningShare = 0.3
	// maxTrackedRoutes bounds the routes whose longest time is kept: those that were
	// called last.
	maxTrackedRoutes = 4096
)

// returningCallerDetector detects callers that retry after a rejection. It keeps, by
// route, the longest time left that callers have sent, capped by the route's time
// limit. A request with clearly less time left has been rejected before, because
// callers send what remains of their time. It is safe for concurrent use.
type returningCallerDetector struct {
	mu              sync.Mutex
	longestTimeLeft *lru.Cache[string, time.Duration]
}

func newReturningCallerDetector() *returningCallerDetector {
	cache, err := lru.New[string, time.Duration](maxTrackedRoutes)
	if err != nil {
		// The size is a positive constant.
		panic(err)
	}
	return &returningCallerDetector{longestTimeLeft: cache}
}

// isReturning reports whether a caller with the given time left retries after a
// rejection. limit is the route's time limit; 0 means none.
func (d *returningCallerDetector) isReturning(route string, timeLeft, limit time.Duration) bool {
	if timeLeft <= 0 {
		return false
	}
	if limit > 0 {
		timeLeft = min(timeLeft, limit)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	known, _ := d.longestTimeLeft.Get(route)
	longest := max(known, timeLeft)
	if limit > 0 {
		longest = min(longest, limit)
	}
	d.longestTimeLeft.Add(route, longest)
	share := float64(timeLeft) / float64(longest)
	return share < 1-returningMargin && share > minReturningShare
}
