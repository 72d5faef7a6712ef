package metering

import (
	"context"
	"slices"
	"sync"
	"time"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/usage"
)

const (
	// MaxRange bounds the time range of a report.
	MaxRange = 31 * 24 * time.Hour
	// maxConcurrentReads bounds the concurrent reads of one report and thereby
	// its share of the store's calls.
	maxConcurrentReads = 16
	hour               = time.Hour
)

// Report is the usage of a time range.
type Report struct {
	// From and To bound the full hours that the report covers, To excluded.
	From  time.Time    `json:"from"`
	To    time.Time    `json:"to"`
	Lines []usage.Line `json:"lines"`
	// Unreachable names the documents that could not be read; their usage is
	// missing from the lines.
	Unreachable []string `json:"unreachable"`
}

// Reporter builds usage reports from the documents in the store.
type Reporter struct {
	store platform.ObjectStore
}

// NewReporter returns a reporter over store.
func NewReporter(store platform.ObjectStore) *Reporter {
	return &Reporter{store: store}
}

// Report returns the usage of all hours that overlap the time range [from, to).
func (r *Reporter) Report(ctx context.Context, from, to time.Time) (Report, error) {
	if !from.Before(to) || to.Sub(from) > MaxRange {
		return Report{}, failure.New(failure.Invalid, "choose a start before the end and at most 31 days apart", "the time range %s to %s is not valid", from.Format(time.RFC3339), to.Format(time.RFC3339))
	}
	first, last := usage.HourOf(from), usage.HourOf(to.Add(hour-time.Nanosecond))
	builder := &reportBuilder{summary: usage.NewSummary(first, last)}
	slots := make(chan struct{}, maxConcurrentReads)
	for _, name := range documentNames(first, last) {
		slots <- struct{}{}
		builder.group.Add(1)
		go func() {
			defer func() { <-slots }()
			builder.addDocument(ctx, r.store, name)
		}()
	}
	builder.group.Wait()
	return builder.build(), nil
}

// documentNames returns the names of the documents that may contain the hours
// from first to last, last excluded.
func documentNames(first, last usage.Hour) []string {
	var list []string
	day := ""
	for hour := first; hour < last; hour++ {
		if hour.Day() == day {
			continue
		}
		day = hour.Day()
		for shard := range usage.ShardsPerDay {
			list = append(list, usage.ShardName(day, shard))
		}
	}
	return list
}

// reportBuilder collects the documents of one report.
type reportBuilder struct {
	group       sync.WaitGroup
	mu          sync.Mutex
	summary     *usage.Summary
	unreachable []string
}

func (b *reportBuilder) addDocument(ctx context.Context, store platform.ObjectStore, name string) {
	defer b.group.Done()
	document, _, err := readDocument(ctx, store, name)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.unreachable = append(b.unreachable, name)
		return
	}
	b.summary.Add(document)
}

func (b *reportBuilder) build() Report {
	slices.Sort(b.unreachable)
	return Report{From: b.summary.From.Time(), To: b.summary.To.Time(), Lines: b.summary.Lines(), Unreachable: b.unreachable}
}
