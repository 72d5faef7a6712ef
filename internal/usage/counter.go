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

// hourTotals holds the totals of one hour.
type hourTotals struct {
	rows map[Key]Counts
	// events is the number of counted events, writtenEvents the number of those
	// in the last report that the store has.
	events, writtenEvents int64
}

// Counter counts the events of one source. It is not safe for concurrent use.
type Counter struct {
	source Source
	limits Limits
	newest Hour
	hours  map[Hour]*hourTotals
	closed bool
}

// NewCounter returns a counter without events.
func NewCounter(source Source, limits Limits) *Counter {
	return &Counter{source: source, limits: limits, hours: map[Hour]*hourTotals{}}
}

// Count adds one event at time now.
func (c *Counter) Count(event Event, now time.Time) {
	c.advance(now)
	current := c.hours[c.newest]
	if current == nil {
		current = &hourTotals{rows: map[Key]Counts{}}
		c.hours[c.newest] = current
	}
	key := event.Key
	if _, known := current.rows[key]; !known && len(current.rows) >= c.limits.MaxRows {
		key = Key{Customer: Other}
	}
	current.rows[key] = current.rows[key].Add(event.counts())
	current.events++
}

// advance starts the hour of now, unless too many hours are pending. It never
// returns to an earlier hour, because the final report of that hour may already
// be written.
func (c *Counter) advance(now time.Time) {
	if hour := HourOf(now); hour > c.newest && len(c.hours) < c.limits.MaxHours {
		c.newest = hour
	}
}

// Close closes all hours. Nothing may be counted after it.
func (c *Counter) Close() {
	c.closed = true
}

// Pending returns the reports that are not yet written to the store, oldest
// first.
func (c *Counter) Pending(now time.Time) []Report {
	c.advance(now)
	var reports []Report
	for _, hour := range slices.Sorted(maps.Keys(c.hours)) {
		totals := c.hours[hour]
		closed := hour < c.newest || c.closed
		if totals.events == totals.writtenEvents && !closed {
			continue
		}
		reports = append(reports, Report{Source: c.source, Hour: hour, Closed: closed, Rows: sortedRows(totals.rows), events: totals.events})
	}
	return reports
}

// MarkWritten records that report is in the store. The totals of a closed hour
// are then deleted.
func (c *Counter) MarkWritten(report Report) {
	totals := c.hours[report.Hour]
	switch {
	case totals == nil:
	case report.Closed:
		delete(c.hours, report.Hour)
	default:
		totals.writtenEvents = report.events
	}
}

// PendingHours returns the number of hours whose final report is not yet
// written.
func (c *Counter) PendingHours() int {
	return len(c.hours)
}

// sortedRows returns the totals as rows, sorted by key.
func sortedRows(totals map[Key]Counts) []Row {
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
