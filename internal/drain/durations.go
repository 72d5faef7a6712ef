package drain

import (
	"time"
)

// Durations keeps the longest duration of the recent requests of each route: those that ended
// in the current period and in the one before. It is not safe for concurrent use.
type Durations struct {
	period    time.Duration
	maxRoutes int
	startedAt time.Time
	current   map[string]time.Duration
	previous  map[string]time.Duration
}

// NewDurations returns an empty Durations. At most maxRoutes routes are kept in each period;
// those above are unknown.
func NewDurations(period time.Duration, maxRoutes int) *Durations {
	return &Durations{period: period, maxRoutes: maxRoutes, current: map[string]time.Duration{}}
}

// Record records the duration of a request that has ended.
func (d *Durations) Record(route string, duration time.Duration, now time.Time) {
	d.advance(now)
	if _, known := d.current[route]; !known && len(d.current) >= d.maxRoutes {
		return
	}
	d.current[route] = max(d.current[route], duration)
}

// Longest returns the longest duration of the recent requests of a route, 0 if there are none.
func (d *Durations) Longest(route string, now time.Time) time.Duration {
	d.advance(now)
	return max(d.current[route], d.previous[route])
}

// advance starts a new period when the current one has ended.
func (d *Durations) advance(now time.Time) {
	elapsed := now.Sub(d.startedAt)
	if elapsed < d.period {
		return
	}
	d.previous = d.current
	if elapsed >= 2*d.period {
		d.previous = nil
	}
	d.current, d.startedAt = map[string]time.Duration{}, now
}
