package burn

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	targets = Targets{
		Availability:     {BadPerMillion: 1000},
		FirstToken:       {BadPerMillion: 50_000, Bound: 1100 * time.Millisecond},
		BetweenTokens:    {BadPerMillion: 50_000, Bound: 38 * time.Millisecond},
		VersionRollout:   {BadPerMillion: 50_000, Bound: 5 * time.Minute},
		TablePropagation: {BadPerMillion: 1000, Bound: 6 * time.Second},
	}
)

func report(c *qt.C, aggregator *Aggregator, now time.Time) Report {
	result, err := aggregator.Report(now)
	c.Assert(err, qt.IsNil)
	return result
}

func TestRatesOfAllWindows(t *testing.T) {
	c := qt.New(t)
	aggregator := NewAggregator(targets, 10)
	for i := range 1000 {
		aggregator.RecordRequest(start, "large", "lookup", i >= 15)
	}
	line := report(c, aggregator, start).Lines[0]
	for i := range Windows {
		c.Check(line.BurnRate(i), qt.Equals, 15.0)
	}
	c.Check(line.Alert(), qt.Equals, AlertPage)
	c.Check(line.BudgetLeft(), qt.Equals, -14.0)

	// After six minutes the 5m window is empty; the 1h window still counts the
	// events.
	later := report(c, aggregator, start.Add(6*time.Minute)).Lines[0]
	c.Check(later.Windows[0], qt.Equals, Count{})
	c.Check(later.Windows[1], qt.Equals, Count{Total: 1000, Bad: 15})
	c.Check(later.Alert(), qt.Equals, AlertTicket)
	c.Check(report(c, aggregator, start.Add(100*time.Hour)).Lines[0].Windows[3], qt.Equals, Count{})
}

func TestClockGoingBackLosesNoEvent(t *testing.T) {
	c := qt.New(t)
	aggregator := NewAggregator(targets, 10)
	aggregator.RecordRequest(start, "a", "r", true)
	aggregator.RecordRequest(start.Add(-time.Hour), "a", "r", false)
	c.Assert(report(c, aggregator, start).Lines[0].Windows[0], qt.Equals, Count{Total: 2, Bad: 1})
}

func TestMergedCountsAreTheSumOfTheParts(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	whole := NewAggregator(targets, 100)
	parts := []*Aggregator{NewAggregator(targets, 100), NewAggregator(targets, 100), NewAggregator(targets, 100)}
	for i := range 20_000 {
		now := start.Add(time.Duration(i) * 20 * time.Second)
		part := parts[random.IntN(len(parts))]
		customer := fmt.Sprintf("customer-%d", random.IntN(5))
		key := Key{Objective: FirstToken, Customer: customer, Route: "lookup"}
		duration, complete := time.Duration(random.ExpFloat64()*float64(time.Second)), random.IntN(50) > 0
		for _, aggregator := range []*Aggregator{whole, part} {
			aggregator.RecordDuration(now, key, duration)
			aggregator.RecordRequest(now, customer, "book", complete)
		}
	}
	now := start.Add(20_000 * 20 * time.Second)
	merged, err := Merge(report(c, parts[0], now), report(c, parts[1], now), report(c, parts[2], now))
	c.Assert(err, qt.IsNil)
	want := report(c, whole, now)
	c.Assert(merged.Lines, qt.HasLen, len(want.Lines))
	for i, line := range merged.Lines {
		c.Check(line.Key, qt.Equals, want.Lines[i].Key)
		c.Check(line.Windows, qt.DeepEquals, want.Lines[i].Windows)
		sum, err := line.DecodeHistogram()
		c.Assert(err, qt.IsNil)
		all, err := want.Lines[i].DecodeHistogram()
		c.Assert(err, qt.IsNil)
		if all != nil {
			c.Check(sum.Equals(all), qt.IsTrue)
			c.Check(sum.TotalCount() > 0, qt.IsTrue)
		}
	}
}

func TestMergeRejectsReportWithOtherWindowCount(t *testing.T) {
	_, err := Merge(Report{Lines: []Line{{Windows: []Count{{}}}}})
	qt.Assert(t, err, qt.ErrorMatches, ".*1 windows instead of 4.*")
}

func TestSeriesAreBoundedAndLoseNoEvent(t *testing.T) {
	c := qt.New(t)
	aggregator := NewAggregator(targets, 5)
	for i := range 1000 {
		aggregator.RecordRequest(start, fmt.Sprintf("customer-%d", i), "lookup", true)
	}
	result := report(c, aggregator, start)
	c.Assert(result.Lines, qt.HasLen, 6)
	var total uint64
	for _, line := range result.Lines {
		total += line.Windows[0].Total
	}
	c.Assert(total, qt.Equals, uint64(1000))
}

func TestDurationsAboveBoundAreBad(t *testing.T) {
	c := qt.New(t)
	aggregator := NewAggregator(targets, 10)
	key := Key{Objective: BetweenTokens, Customer: "a", Route: "r"}
	aggregator.RecordDuration(start, key, 38*time.Millisecond)
	aggregator.RecordDuration(start, key, 39*time.Millisecond)
	aggregator.RecordDuration(start, key, 10*time.Hour)
	line := report(c, aggregator, start).Lines[0]
	c.Assert(line.Windows[0], qt.Equals, Count{Total: 3, Bad: 2})
	histogram, err := line.DecodeHistogram()
	c.Assert(err, qt.IsNil)
	c.Assert(histogram.TotalCount(), qt.Equals, int64(3))
}

func TestConvergenceMeasuresUntilTheLastInstance(t *testing.T) {
	c := qt.New(t)
	aggregator, convergence := NewAggregator(targets, 10), NewConvergence()
	instances := map[string]InstanceState{"model-1": {Revision: 1, Pool: "model", Version: "v1"}, "model-2": {Revision: 1, Pool: "model", Version: "v1"}}
	convergence.Observe(start, DesiredState{Revision: 1, Versions: map[string]string{"model": "v1"}}, instances, aggregator)
	c.Assert(report(c, aggregator, start).Lines, qt.HasLen, 0)

	desired := DesiredState{Revision: 2, Versions: map[string]string{"model": "v2"}}
	convergence.Observe(start, desired, instances, aggregator)
	instances["model-1"] = InstanceState{Revision: 2, Pool: "model", Version: "v2"}
	convergence.Observe(start.Add(time.Second), desired, instances, aggregator)
	c.Assert(report(c, aggregator, start).Lines, qt.HasLen, 0)
	instances["model-2"] = InstanceState{Revision: 2, Pool: "model", Version: "v1"}
	convergence.Observe(start.Add(7*time.Second), desired, instances, aggregator)
	instances["model-2"] = InstanceState{Revision: 2, Pool: "model", Version: "v2"}
	convergence.Observe(start.Add(9*time.Second), desired, instances, aggregator)

	now := start.Add(10 * time.Second)
	lines := report(c, aggregator, now).Lines
	c.Assert(lines, qt.HasLen, 2)
	c.Assert(lines[0].Objective, qt.Equals, TablePropagation)
	c.Assert(lines[0].Windows[0], qt.Equals, Count{Total: 1, Bad: 1})
	c.Assert(lines[1].Key, qt.Equals, Key{Objective: VersionRollout, Customer: "*", Route: "model"})
	c.Assert(lines[1].Windows[0], qt.Equals, Count{Total: 1})
}

// TestReplacedRolloutCountsFromItsStart covers a version that is replaced before all
// instances serve it: the pool did not serve the desired version all the while.
func TestReplacedRolloutCountsFromItsStart(t *testing.T) {
	c := qt.New(t)
	aggregator, convergence := NewAggregator(targets, 10), NewConvergence()
	instances := map[string]InstanceState{"model-1": {Revision: 1, Pool: "model", Version: "v1"}}
	desired := func(revision int64, version string) DesiredState {
		return DesiredState{Revision: revision, Versions: map[string]string{"model": version}}
	}
	convergence.Observe(start, desired(1, "v1"), instances, aggregator)
	convergence.Observe(start, desired(2, "v2"), instances, aggregator)
	late := start.Add(time.Hour)
	convergence.Observe(late, desired(3, "v3"), instances, aggregator)
	instances["model-1"] = InstanceState{Revision: 3, Pool: "model", Version: "v3"}
	convergence.Observe(late.Add(time.Second), desired(3, "v3"), instances, aggregator)
	var rollout Count
	for _, line := range report(c, aggregator, late.Add(time.Second)).Lines {
		if line.Objective == VersionRollout {
			rollout = line.Windows[len(line.Windows)-1]
		}
	}
	c.Assert(rollout, qt.Equals, Count{Total: 1, Bad: 1})
}

// TestChangeWithoutInstancesIsPending covers a fleet, or a pool, without instances: no
// instance has applied the change.
func TestChangeWithoutInstancesIsPending(t *testing.T) {
	c := qt.New(t)
	aggregator, convergence := NewAggregator(targets, 10), NewConvergence()
	convergence.Observe(start, DesiredState{Revision: 1, Versions: map[string]string{"model": "v1"}}, nil, aggregator)
	convergence.Observe(start, DesiredState{Revision: 2, Versions: map[string]string{"model": "v2"}}, nil, aggregator)
	other := map[string]InstanceState{"other-1": {Revision: 1, Pool: "other", Version: "v1"}}
	convergence.Observe(start.Add(time.Second), DesiredState{Revision: 2, Versions: map[string]string{"model": "v2"}}, other, aggregator)
	c.Assert(report(c, aggregator, start.Add(2*time.Second)).Lines, qt.HasLen, 0)
}
