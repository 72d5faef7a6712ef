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
	// readsAtOnce bounds the concurrent reads of one report and thereby its
	// share of the store's calls.
	readsAtOnce = 16
	hour        = time.Hour
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

// Report returns the usage of all hours that overlap the time range from from to
// to.
func (r *Reporter) Report(ctx context.Context, from, to time.Time) (Report, error) {
	if !from.Before(to) || to.Sub(from) > MaxRange {
		return Report{}, failure.New(failure.Invalid, "choose a start before the end and at most 31 days apart", "the time range %s to %s is not valid", from.Format(time.RFC3339), to.Format(time.RFC3339))
	}
	first, last := usage.HourOf(from), usage.HourOf(to.Add(hour-time.Nanosecond))
	gathering := &gathering{summary: usage.NewSummary(first, last)}
	slots := make(chan struct{}, readsAtOnce)
	for _, name := range names(first, last) {
		slots <- struct{}{}
		gathering.group.Add(1)
		go func() {
			defer func() { <-slots }()
			gathering.read(ctx, r.store, name)
		}()
	}
	gathering.group.Wait()
	return gathering.report(), nil
}

// names returns the names of the documents that may contain the hours from first
// to last, last excluded.
func names(first, last usage.Hour) []string {
	var list []string
	previous := ""
	for hour := first; hour < last; hour++ {
		if hour.Day() == previous {
			continue
		}
		previous = hour.Day()
		for shard := range usage.Shards {
			list = append(list, usage.ShardName(previous, shard))
		}
	}
	return list
}

// gathering collects the documents of one report.
type gathering struct {
	group   sync.WaitGroup
	mu      sync.Mutex
	summary *usage.Summary
	missing []string
}

func (g *gathering) read(ctx context.Context, store platform.ObjectStore, name string) {
	defer g.group.Done()
	document, _, err := read(ctx, store, name)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.missing = append(g.missing, name)
		return
	}
	g.summary.Add(document)
}

func (g *gathering) report() Report {
	slices.Sort(g.missing)
	return Report{From: g.summary.From.Time(), To: g.summary.To.Time(), Lines: g.summary.Lines(), Unreachable: g.missing}
}
