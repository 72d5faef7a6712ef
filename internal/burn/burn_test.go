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
		Availability:  {BadPerMillion: 1000},
		FirstToken:    {BadPerMillion: 50_000, Bound: 1100 * time.Millisecond},
		BetweenTokens: {BadPerMillion: 50_000, Bound: 38 * time.Millisecond},
		TimeToN:       {BadPerMillion: 50_000, Bound: 5 * time.Minute},
		TableInForce:  {BadPerMillion: 1000, Bound: 6 * time.Second},
	}
)

func report(c *qt.C, ledger *Ledger, now time.Time) Report {
	made, err := ledger.Report(now)
	c.Assert(err, qt.IsNil)
	return made
}

func TestRatesOfAllWindows(t *testing.T) {
	c := qt.New(t)
	ledger := NewLedger(targets, 10)
	for i := range 1000 {
		ledger.Answered(start, "large", "lookup", i >= 15)
	}
	line := report(c, ledger, start).Lines[0]
	for i := range Windows {
		c.Check(line.Rate(i), qt.Equals, 15.0)
	}
	c.Check(line.Alert(), qt.Equals, AlertPage)
	c.Check(line.BudgetLeft(), qt.Equals, -14.0)

	// After six minutes the 5m window is empty; the 1h window still counts the events.
	later := report(c, ledger, start.Add(6*time.Minute)).Lines[0]
	c.Check(later.Windows[0], qt.Equals, Count{})
	c.Check(later.Windows[1], qt.Equals, Count{Total: 1000, Bad: 15})
	c.Check(later.Alert(), qt.Equals, AlertTicket)
	c.Check(report(c, ledger, start.Add(100*time.Hour)).Lines[0].Windows[3], qt.Equals, Count{})
}

func TestClockGoingBackLosesNoEvent(t *testing.T) {
	c := qt.New(t)
	ledger := NewLedger(targets, 10)
	ledger.Answered(start, "a", "r", true)
	ledger.Answered(start.Add(-time.Hour), "a", "r", false)
	c.Assert(report(c, ledger, start).Lines[0].Windows[0], qt.Equals, Count{Total: 2, Bad: 1})
}

func TestMergedCountsAreTheSumOfTheParts(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	whole := NewLedger(targets, 100)
	parts := []*Ledger{NewLedger(targets, 100), NewLedger(targets, 100), NewLedger(targets, 100)}
	for i := range 20_000 {
		now := start.Add(time.Duration(i) * 20 * time.Second)
		part := parts[random.IntN(len(parts))]
		customer := fmt.Sprintf("customer-%d", random.IntN(5))
		key := Key{Objective: FirstToken, Customer: customer, Route: "lookup"}
		took, answered := time.Duration(random.ExpFloat64()*float64(time.Second)), random.IntN(50) > 0
		for _, ledger := range []*Ledger{whole, part} {
			ledger.Took(now, key, took)
			ledger.Answered(now, customer, "book", answered)
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
		sum, err := line.Times()
		c.Assert(err, qt.IsNil)
		all, err := want.Lines[i].Times()
		c.Assert(err, qt.IsNil)
		if all != nil {
			c.Check(sum.Equals(all), qt.IsTrue)
			c.Check(sum.TotalCount() > 0, qt.IsTrue)
		}
	}
}

func TestMergeRefusesAReportOfAnotherShape(t *testing.T) {
	_, err := Merge(Report{Lines: []Line{{Windows: []Count{{}}}}})
	qt.Assert(t, err, qt.ErrorMatches, ".*1 windows instead of 4.*")
}

func TestSeriesAreBoundedAndLoseNoEvent(t *testing.T) {
	c := qt.New(t)
	ledger := NewLedger(targets, 5)
	for i := range 1000 {
		ledger.Answered(start, fmt.Sprintf("customer-%d", i), "lookup", true)
	}
	made := report(c, ledger, start)
	c.Assert(made.Lines, qt.HasLen, 6)
	var total uint64
	for _, line := range made.Lines {
		total += line.Windows[0].Total
	}
	c.Assert(total, qt.Equals, uint64(1000))
}

func TestLateTimesAreBad(t *testing.T) {
	c := qt.New(t)
	ledger := NewLedger(targets, 10)
	key := Key{Objective: BetweenTokens, Customer: "a", Route: "r"}
	ledger.Took(start, key, 38*time.Millisecond)
	ledger.Took(start, key, 39*time.Millisecond)
	ledger.Took(start, key, 10*time.Hour)
	line := report(c, ledger, start).Lines[0]
	c.Assert(line.Windows[0], qt.Equals, Count{Total: 3, Bad: 2})
	times, err := line.Times()
	c.Assert(err, qt.IsNil)
	c.Assert(times.TotalCount(), qt.Equals, int64(3))
}

func TestConvergenceMeasuresUntilTheLastInstance(t *testing.T) {
	c := qt.New(t)
	ledger, convergence := NewLedger(targets, 10), NewConvergence()
	holders := map[string]Holder{"model-1": {Revision: 1, Pool: "model", Version: "v1"}, "model-2": {Revision: 1, Pool: "model", Version: "v1"}}
	convergence.Observe(start, Wanted{Revision: 1, Versions: map[string]string{"model": "v1"}}, holders, ledger)
	c.Assert(report(c, ledger, start).Lines, qt.HasLen, 0)

	wanted := Wanted{Revision: 2, Versions: map[string]string{"model": "v2"}}
	convergence.Observe(start, wanted, holders, ledger)
	holders["model-1"] = Holder{Revision: 2, Pool: "model", Version: "v2"}
	convergence.Observe(start.Add(time.Second), wanted, holders, ledger)
	c.Assert(report(c, ledger, start).Lines, qt.HasLen, 0)
	holders["model-2"] = Holder{Revision: 2, Pool: "model", Version: "v1"}
	convergence.Observe(start.Add(7*time.Second), wanted, holders, ledger)
	holders["model-2"] = Holder{Revision: 2, Pool: "model", Version: "v2"}
	convergence.Observe(start.Add(9*time.Second), wanted, holders, ledger)

	now := start.Add(10 * time.Second)
	lines := report(c, ledger, now).Lines
	c.Assert(lines, qt.HasLen, 2)
	c.Assert(lines[0].Objective, qt.Equals, TableInForce)
	c.Assert(lines[0].Windows[0], qt.Equals, Count{Total: 1, Bad: 1})
	c.Assert(lines[1].Key, qt.Equals, Key{Objective: TimeToN, Customer: "*", Route: "model"})
	c.Assert(lines[1].Windows[0], qt.Equals, Count{Total: 1})
}
