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
	// MaxHours bounds the number of hours whose final report is not yet
	// written. While that many are pending, events are still counted in the
	// newest hour instead of a new one.
	MaxHours int
	// MaxRows bounds the number of keys in one hour. Further keys are counted
	// under the customer Other.
	MaxRows int
}

// period holds the totals of one hour.
type period struct {
	rows map[Key]Counts
	// changes is the number of counted events, written the number of those in
	// the last report that the store has.
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

// Count adds one event at time now.
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

// advance starts the hour of now, unless too many hours are pending. It never
// returns to an earlier hour, because the final report of that hour may already
// be written.
func (c *Counter) advance(now time.Time) {
	if hour := HourOf(now); hour > c.current && len(c.periods) < c.limits.MaxHours {
		c.current = hour
	}
}

// End closes all hours. Nothing may be counted after it.
func (c *Counter) End() {
	c.ended = true
}

// Pending returns the reports that are not yet written to the store, oldest
// first.
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

// Written records that report is in the store. The totals of a closed hour are
// then deleted.
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

// Hours returns the number of hours whose final report is not yet written.
func (c *Counter) Hours() int {
	return len(c.periods)
}

// rows returns the totals as rows, sorted by key.
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
