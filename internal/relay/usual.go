package relay

import (
	"sync"
	"time"
)

const (
	// usualSlack is the part of the longest time by which a caller's time may be
	// shorter without its having come back: callers of one route differ by a sixth,
	// and under lasting overload a rejected one waits for up to a third of its time.
	usualSlack = 0.2
	// usualShare is the part of the longest time below which a caller is one of
	// another kind, with a shorter time limit: nobody comes back that late.
	usualShare = 0.3
	// maxUsual bounds the routes that are remembered.
	maxUsual = 4096
)

// usualTimes remembers, by route, the longest time that callers give a request,
// as far as the route's own limit on it. Who gives less has been rejected before:
// callers send what is left of their time. It is safe for concurrent use.
type usualTimes struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// returning reports whether a caller with so much time left comes back after a
// rejection. limit is the route's; 0 is none.
func (u *usualTimes) returning(route string, left, limit time.Duration) bool {
	if left <= 0 {
		return false
	}
	if limit > 0 {
		left = min(left, limit)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.longest == nil || len(u.longest) >= maxUsual {
		u.longest = map[string]time.Duration{}
	}
	longest := max(u.longest[route], left)
	if limit > 0 {
		longest = min(longest, limit)
	}
	u.longest[route] = longest
	share := float64(left) / float64(longest)
	return share < 1-usualSlack && share > usualShare
}
