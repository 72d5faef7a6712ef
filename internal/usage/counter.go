package usage

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Limits bound the memory of a counter.
type Limits struct {
	// MaxHours bounds the hours that are not yet written for the last time.
	// While there are as many, the newest hour stays open longer.
	MaxHours int
	// MaxRows bounds the keys of one hour. Further keys are counted under the
	// customer Other.
	MaxRows int
}

// period is what was counted in one hour.
type period struct {
	rows map[Key]Counts
	// changes counts the events, written those that the store has.
	changes, written int64
}

// Counter counts the events of one source. It is not safe for concurrent use.
type Counter struct {
	source  Source
	limits  Limits
	current Hour
	periods map[Hour]*period
	ended   bool
}

// NewCounter returns a counter without events.
func NewCounter(source Source, limits Limits) *Counter {
	return &Counter{source: source, limits: limits, periods: map[Hour]*period{}}
}

// Count adds one event that happened now.
func (c *Counter) Count(event Event, now time.Time) {
	c.advance(now)
	current := c.periods[c.current]
	if current == nil {
		current = &period{rows: map[Key]Counts{}}
		c.periods[c.current] = current
	}
	key := event.Key
	if _, known := current.rows[key]; !known && len(current.rows) >= c.limits.MaxRows {
		key = Key{Customer: Other}
	}
	current.rows[key] = current.rows[key].Add(event.counts())
	current.changes++
}

// advance opens the hour of now, unless too many hours wait for the store. The
// hour never goes back, since an earlier one may be closed.
func (c *Counter) advance(now time.Time) {
	if hour := HourOf(now); hour > c.current && len(c.periods) < c.limits.MaxHours {
		c.current = hour
	}
}

// End says that nothing more will be counted.
func (c *Counter) End() {
	c.ended = true
}

// Pending returns the reports that the store does not have, the oldest first.
func (c *Counter) Pending(now time.Time) []Report {
	c.advance(now)
	var reports []Report
	for _, hour := range slices.Sorted(maps.Keys(c.periods)) {
		counted := c.periods[hour]
		closed := hour < c.current || c.ended
		if counted.changes == counted.written && !closed {
			continue
		}
		reports = append(reports, Report{Source: c.source, Hour: hour, Closed: closed, Rows: rows(counted.rows), changes: counted.changes})
	}
	return reports
}

// Written says that the store has report. A closed hour is forgotten.
func (c *Counter) Written(report Report) {
	counted := c.periods[report.Hour]
	switch {
	case counted == nil:
	case report.Closed:
		delete(c.periods, report.Hour)
	default:
		counted.written = report.changes
	}
}

// Hours returns the number of hours that the store does not have in full.
func (c *Counter) Hours() int {
	return len(c.periods)
}

// rows returns the totals in the order of their keys.
func rows(totals map[Key]Counts) []Row {
	list := make([]Row, 0, len(totals))
	for key, counts := range totals {
		list = append(list, Row{Key: key, Counts: counts})
	}
	slices.SortFunc(list, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	return list
}

func compareKeys(a, b Key) int {
	return cmp.Or(strings.Compare(a.Customer, b.Customer), strings.Compare(a.Pool, b.Pool), strings.Compare(a.Version, b.Version))
}
