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
	// TimeToN: all instances of a pool serve a new version within the bound.
	TimeToN Objective = "time_to_n"
	// TableInForce: all instances apply a change of the tables within the bound.
	TableInForce Objective = "table_in_force"
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
	// Route is the name of the route, or of the pool for TimeToN.
	Route string `json:"route"`
}

// Other replaces the customer and the route of events for which the limit on
// the number of series leaves no series of their own.
const Other = "(other)"

// Histograms record durations in units of histogramUnit, up to histogramMost.
const (
	histogramUnit   = 100 * time.Microsecond
	histogramMost   = time.Hour
	histogramDigits = 2
)

// series holds the counts of one key.
type series struct {
	wheels    []*wheel
	histogram *hdrhistogram.Histogram
}

func newSeries(objective Objective) *series {
	s := &series{}
	for _, window := range Windows {
		s.wheels = append(s.wheels, newWheel(window))
	}
	if objective != Availability {
		s.histogram = newHistogram()
	}
	return s
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(histogramMost/histogramUnit), histogramDigits)
}

// Ledger counts events by series. It is not safe for concurrent use.
type Ledger struct {
	targets   Targets
	maxSeries int
	series    map[Key]*series
}

// NewLedger returns an empty aggregator that holds at most maxSeries series,
// plus one overflow series for each objective.
func NewLedger(targets Targets, maxSeries int) *Ledger {
	return &Ledger{targets: targets, maxSeries: maxSeries, series: map[Key]*series{}}
}

// find returns the series of key and creates it if needed. Beyond maxSeries,
// new keys share the overflow series of their objective.
func (l *Ledger) find(key Key) *series {
	found, known := l.series[key]
	if known {
		return found
	}
	if len(l.series) >= l.maxSeries {
		key.Customer, key.Route = Other, Other
		if found, known = l.series[key]; known {
			return found
		}
	}
	made := newSeries(key.Objective)
	l.series[key] = made
	return made
}

// Answered counts a request; whole says whether it got its complete response.
func (l *Ledger) Answered(now time.Time, customer, route string, whole bool) {
	event := Count{Total: 1}
	if !whole {
		event.Bad = 1
	}
	found := l.find(Key{Objective: Availability, Customer: customer, Route: route})
	for _, one := range found.wheels {
		one.add(now, event)
	}
}

// Took counts an event of an objective that has a bound on the duration.
func (l *Ledger) Took(now time.Time, key Key, took time.Duration) {
	event := Count{Total: 1}
	if took > l.targets[key.Objective].Bound {
		event.Bad = 1
	}
	found := l.find(key)
	for _, one := range found.wheels {
		one.add(now, event)
	}
	if found.histogram != nil {
		value := min(max(int64(took/histogramUnit), 1), int64(histogramMost/histogramUnit))
		_ = found.histogram.RecordValue(value)
	}
}

// Report returns the counts of all series as of now.
func (l *Ledger) Report(now time.Time) (Report, error) {
	var report Report
	for key, one := range l.series {
		line := Line{Key: key, Target: l.targets[key.Objective]}
		for _, wheel := range one.wheels {
			line.Windows = append(line.Windows, wheel.sum(now))
		}
		if one.histogram != nil {
			raw, err := one.histogram.EncodeV2()
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
