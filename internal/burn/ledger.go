// Package burn is the aggregate of service levels: it counts good and bad
// events by objective, customer and route over several windows and tells how
// fast their error budgets burn. It does no I/O: events and the time go in,
// reports come out.
package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Objective names what is promised.
type Objective string

// The objectives.
const (
	// Availability: a request gets its whole answer.
	Availability Objective = "availability"
	// FirstToken: a stream's first token comes in time.
	FirstToken Objective = "first_token"
	// BetweenTokens: the next token of a stream comes in time.
	BetweenTokens Objective = "between_tokens"
	// TimeToN: all instances of a pool serve a new version in time.
	TimeToN Objective = "time_to_n"
	// TableInForce: a change of the tables is in force everywhere in time.
	TableInForce Objective = "table_in_force"
)

// Target is the promise of one objective.
type Target struct {
	// BadPerMillion is the share of events that may be bad.
	BadPerMillion int64 `json:"bad_per_million"`
	// Bound is the time above which an event is bad; 0 for Availability.
	Bound time.Duration `json:"bound"`
}

// Targets are the promises by objective.
type Targets map[Objective]Target

// Key names one series of events.
type Key struct {
	Objective Objective `json:"objective"`
	Customer  string    `json:"customer"`
	// Route is the route's name, or the pool's for TimeToN.
	Route string `json:"route"`
}

// Other stands for the customer and route of events beyond the series' bound.
const Other = "(other)"

// Histograms count in units of histogramUnit up to histogramMost.
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

// Ledger counts events. It is not safe for concurrent use.
type Ledger struct {
	targets   Targets
	maxSeries int
	series    map[Key]*series
}

// NewLedger returns an empty ledger that holds at most maxSeries series, and
// one more for each objective that takes the rest.
func NewLedger(targets Targets, maxSeries int) *Ledger {
	return &Ledger{targets: targets, maxSeries: maxSeries, series: map[Key]*series{}}
}

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

// Answered counts a request that got its whole answer or did not.
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

// Took counts an event of an objective with a bound on its time.
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

// Report returns the counts of all series at a time.
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
