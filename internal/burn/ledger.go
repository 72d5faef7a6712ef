// Package burn aggregates service-level events. It counts good and bad events
// by objective, customer and route over several time windows and computes the
// burn rates of the error budgets. It does no I/O: callers pass in events and
// the current time, and get reports.
package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Objective names a service-level objective.
type Objective string

// The objectives.
const (
	// Availability: a request gets its complete response.
	Availability Objective = "availability"
	// FirstToken: the first token of a stream arrives within the bound.
	FirstToken Objective = "first_token"
	// BetweenTokens: the next token of a stream arrives within the bound.
	BetweenTokens Objective = "between_tokens"
	// VersionRollout: all instances of a pool serve a new version within the
	// bound.
	VersionRollout Objective = "time_to_n"
	// TablePropagation: all instances apply a change of the tables within the
	// bound.
	TablePropagation Objective = "table_in_force"
)

// Target is the target of one objective.
type Target struct {
	// BadPerMillion is the error budget: how many events in a million may be
	// bad.
	BadPerMillion int64 `json:"bad_per_million"`
	// Bound is the duration above which an event is bad. It is 0 for
	// Availability.
	Bound time.Duration `json:"bound"`
}

// Targets maps objectives to their targets.
type Targets map[Objective]Target

// Key identifies one series of events.
type Key struct {
	Objective Objective `json:"objective"`
	Customer  string    `json:"customer"`
	// Route is the name of the route, or of the pool for VersionRollout.
	Route string `json:"route"`
}

// Other replaces the customer and the route of events beyond the limit on the
// number of series.
const Other = "(other)"

// Histograms record durations in units of histogramUnit, up to histogramMax.
const (
	histogramUnit              = 100 * time.Microsecond
	histogramMax               = time.Hour
	histogramSignificantDigits = 2
)

// series holds the counts of one key.
type series struct {
	rings     []*bucketRing
	histogram *hdrhistogram.Histogram
}

func newSeries(objective Objective) *series {
	s := &series{}
	for _, window := range Windows {
		s.rings = append(s.rings, newBucketRing(window))
	}
	if objective != Availability {
		s.histogram = newHistogram()
	}
	return s
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(histogramMax/histogramUnit), histogramSignificantDigits)
}

// Aggregator counts events by series. It is not safe for concurrent use.
type Aggregator struct {
	targets   Targets
	maxSeries int
	series    map[Key]*series
}

// NewAggregator returns an empty aggregator that holds at most maxSeries
// series, plus one overflow series for each objective.
func NewAggregator(targets Targets, maxSeries int) *Aggregator {
	return &Aggregator{targets: targets, maxSeries: maxSeries, series: map[Key]*series{}}
}

// seriesFor returns the series of key and creates it if needed. Beyond
// maxSeries, new keys share the overflow series of their objective.
func (a *Aggregator) seriesFor(key Key) *series {
	found, known := a.series[key]
	if known {
		return found
	}
	if len(a.series) >= a.maxSeries {
		key.Customer, key.Route = Other, Other
		if found, known = a.series[key]; known {
			return found
		}
	}
	created := newSeries(key.Objective)
	a.series[key] = created
	return created
}

// RecordRequest counts a request. It is bad unless its response was complete.
func (a *Aggregator) RecordRequest(now time.Time, customer, route string, complete bool) {
	event := Count{Total: 1}
	if !complete {
		event.Bad = 1
	}
	found := a.seriesFor(Key{Objective: Availability, Customer: customer, Route: route})
	for _, ring := range found.rings {
		ring.add(now, event)
	}
}

// RecordDuration counts an event of an objective that bounds the duration.
func (a *Aggregator) RecordDuration(now time.Time, key Key, duration time.Duration) {
	event := Count{Total: 1}
	if duration > a.targets[key.Objective].Bound {
		event.Bad = 1
	}
	found := a.seriesFor(key)
	for _, ring := range found.rings {
		ring.add(now, event)
	}
	if found.histogram != nil {
		value := min(max(int64(duration/histogramUnit), 1), int64(histogramMax/histogramUnit))
		_ = found.histogram.RecordValue(value)
	}
}

// Report returns the counts of all series as of now.
func (a *Aggregator) Report(now time.Time) (Report, error) {
	var report Report
	for key, counts := range a.series {
		line := Line{Key: key, Target: a.targets[key.Objective]}
		for _, ring := range counts.rings {
			line.Windows = append(line.Windows, ring.sum(now))
		}
		if counts.histogram != nil {
			raw, err := counts.histogram.EncodeV2()
			if err != nil {
				return Report{}, err
			}
			line.Histogram = raw
		}
		report.Lines = append(report.Lines, line)
	}
	report.sort()
	return report, nil
}

func (r *Report) sort() {
	slices.SortFunc(r.Lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Objective, b.Objective), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Route, b.Route))
	})
}
