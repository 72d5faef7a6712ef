package burn

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plantainrelay/internal/failure"
)

// Line is one series of a report.
type Line struct {
	Key
	Target Target `json:"target"`
	// Windows holds the counts of Windows, in their order.
	Windows []Count `json:"windows"`
	// Histogram holds the times since the start of the process, encoded by
	// HdrHistogram in units of 100 microseconds.
	Histogram []byte `json:"histogram,omitempty"`
}

// Report holds the series of one entry or the sum of several.
type Report struct {
	Lines []Line `json:"lines"`
}

const perMillion = 1_000_000

// Rate is the burn rate in window number i: 1 uses up the error budget in
// exactly the time for which it is meant.
func (l *Line) Rate(i int) float64 {
	count := l.Windows[i]
	if count.Total == 0 || l.Target.BadPerMillion == 0 {
		return 0
	}
	return float64(count.Bad) / float64(count.Total) * perMillion / float64(l.Target.BadPerMillion)
}

// BudgetLeft is the share of the error budget of the longest window that is
// left; it is below 0 when the objective is broken.
func (l *Line) BudgetLeft() float64 {
	return 1 - l.Rate(len(l.Windows)-1)
}

// Alert says how urgent a burn is.
type Alert string

// The alerts.
const (
	AlertNone   Alert = ""
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

// The windows by position.
const (
	window5m = iota
	window1h
	window6h
	window3d
)

// The rates that alert. Both the long window and the short one beside it must
// burn, so that an alert ends soon after its cause.
const (
	// PageRate is the burn rate of a page.
	PageRate = 14.4
	// TicketRate is the burn rate of a ticket.
	TicketRate = 1.0
)

// Alert returns how urgent the burn is.
func (l *Line) Alert() Alert {
	switch {
	case l.Rate(window1h) >= PageRate && l.Rate(window5m) >= PageRate:
		return AlertPage
	case l.Rate(window3d) >= TicketRate && l.Rate(window6h) >= TicketRate:
		return AlertTicket
	}
	return AlertNone
}

// Times returns the line's histogram, or nil when it has none.
func (l *Line) Times() (*hdrhistogram.Histogram, error) {
	if len(l.Histogram) == 0 {
		return nil, nil
	}
	histogram, err := hdrhistogram.Decode(l.Histogram)
	return histogram, failure.Wrap(err, failure.Invalid, "update all entries to one version", "a histogram of %s is garbled", l.Objective)
}

// AtPercentile returns the time at a percentile of the line's histogram.
func AtPercentile(histogram *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(histogram.ValueAtPercentile(percentile)) * histogramUnit
}

// Merge returns the sum of reports.
func Merge(reports ...Report) (Report, error) {
	var merged Report
	at := map[Key]int{}
	for _, report := range reports {
		for _, line := range report.Lines {
			if len(line.Windows) != len(Windows) {
				return Report{}, failure.New(failure.Invalid, "update all entries to one version", "a report has %d windows in place of %d", len(line.Windows), len(Windows))
			}
			position, known := at[line.Key]
			if !known {
				at[line.Key] = len(merged.Lines)
				line.Windows = slices.Clone(line.Windows)
				merged.Lines = append(merged.Lines, line)
				continue
			}
			if err := merged.Lines[position].add(&line); err != nil {
				return Report{}, err
			}
		}
	}
	merged.sort()
	return merged, nil
}

func (l *Line) add(other *Line) error {
	for i := range l.Windows {
		l.Windows[i].add(other.Windows[i])
	}
	if len(other.Histogram) == 0 {
		return nil
	}
	if len(l.Histogram) == 0 {
		l.Histogram = other.Histogram
		return nil
	}
	sum, err := l.Times()
	if err != nil {
		return err
	}
	part, err := other.Times()
	if err != nil {
		return err
	}
	if dropped := sum.Merge(part); dropped > 0 {
		return failure.New(failure.Invalid, "update all entries to one version", "%d times do not fit the histogram of %s", dropped, l.Objective)
	}
	raw, err := sum.EncodeV2()
	l.Histogram = raw
	return failure.Wrap(err, failure.Internal, "report this", "a histogram cannot be encoded")
}
