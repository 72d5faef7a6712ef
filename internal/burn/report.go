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
	// Windows holds one count for each of the package's Windows, in that order.
	Windows []Count `json:"windows"`
	// Histogram is an encoded HdrHistogram of all durations since the start of
	// the process, in units of 100 microseconds.
	Histogram []byte `json:"histogram,omitempty"`
}

// Report holds the series of one entry, or the sum over several entries.
type Report struct {
	Lines []Line `json:"lines"`
}

const perMillion = 1_000_000

// BurnRate returns the burn rate in window number i. A rate of 1 uses up the
// error budget exactly at the end of its period.
func (l *Line) BurnRate(i int) float64 {
	count := l.Windows[i]
	if count.Total == 0 || l.Target.BadPerMillion == 0 {
		return 0
	}
	return float64(count.Bad) / float64(count.Total) * perMillion / float64(l.Target.BadPerMillion)
}

// BudgetLeft returns the share of the longest window's error budget that
// remains. It is negative if the objective is violated.
func (l *Line) BudgetLeft() float64 {
	return 1 - l.BurnRate(len(l.Windows)-1)
}

// Alert is the urgency of a burn rate.
type Alert string

// The alerts.
const (
	AlertNone   Alert = ""
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

// The indexes of Windows.
const (
	window5m = iota
	window1h
	window6h
	window3d
)

// The burn-rate thresholds of alerts. Both a long window and the shorter one
// next to it must reach the threshold, so that an alert ends soon after its
// cause.
const (
	// PageRate is the burn rate that pages an operator.
	PageRate = 14.4
	// TicketRate is the burn rate that opens a ticket.
	TicketRate = 1.0
)

// Alert returns the urgency of the line's burn rates.
func (l *Line) Alert() Alert {
	switch {
	case l.BurnRate(window1h) >= PageRate && l.BurnRate(window5m) >= PageRate:
		return AlertPage
	case l.BurnRate(window3d) >= TicketRate && l.BurnRate(window6h) >= TicketRate:
		return AlertTicket
	}
	return AlertNone
}

// DecodeHistogram decodes the line's histogram of durations. It returns nil if
// the line has none.
func (l *Line) DecodeHistogram() (*hdrhistogram.Histogram, error) {
	if len(l.Histogram) == 0 {
		return nil, nil
	}
	histogram, err := hdrhistogram.Decode(l.Histogram)
	return histogram, failure.Wrap(err, failure.Invalid, "update all entries to one version", "the histogram of %s cannot be decoded", l.Objective)
}

// DurationAtPercentile returns the duration at a percentile of histogram.
func DurationAtPercentile(histogram *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(histogram.ValueAtPercentile(percentile)) * histogramUnit
}

// Merge returns the sum of reports. It rejects a report with a different number
// of windows, which an entry of another version may send.
func Merge(reports ...Report) (Report, error) {
	var merged Report
	positions := map[Key]int{}
	for _, report := range reports {
		for _, line := range report.Lines {
			if len(line.Windows) != len(Windows) {
				return Report{}, failure.New(failure.Invalid, "update all entries to one version", "a report has %d windows instead of %d", len(line.Windows), len(Windows))
			}
			position, known := positions[line.Key]
			if !known {
				positions[line.Key] = len(merged.Lines)
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
	sum, err := l.DecodeHistogram()
	if err != nil {
		return err
	}
	part, err := other.DecodeHistogram()
	if err != nil {
		return err
	}
	if dropped := sum.Merge(part); dropped > 0 {
		return failure.New(failure.Invalid, "update all entries to one version", "%d durations are outside the range of the histogram of %s", dropped, l.Objective)
	}
	raw, err := sum.EncodeV2()
	l.Histogram = raw
	return failure.Wrap(err, failure.Internal, "report this", "a histogram cannot be encoded")
}
