package ctl

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/burn"
	"plantainrelay/internal/servicelevel"
)

var pageTime = time.Unix(1_700_000_000, 0)

func TestPageOfEmptyReport(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	c.Assert(writeBurnPage(&out, &servicelevel.FleetReport{Entries: []string{"entry-1"}}, pageTime), qt.IsNil)
	c.Assert(strings.Count(out.String(), "<svg"), qt.Equals, 4)
	c.Assert(printBurn(&out, &servicelevel.FleetReport{}), qt.IsNil)
}

// TestPageEscapesCustomerNames guards against script injection. Callers choose
// the customer name that the page shows, so it may contain HTML.
func TestPageEscapesCustomerNames(t *testing.T) {
	c := qt.New(t)
	const name = `<script>alert("x")</script>`
	aggregator := burn.NewAggregator(burn.Targets{
		burn.Availability: {BadPerMillion: 1000},
		burn.FirstToken:   {BadPerMillion: 1000, Bound: time.Second},
	}, 10)
	aggregator.RecordRequest(pageTime, name, "lookup", false)
	aggregator.RecordDuration(pageTime, burn.Key{Objective: burn.FirstToken, Customer: name, Route: "lookup"}, time.Second)
	report, err := aggregator.Report(pageTime)
	c.Assert(err, qt.IsNil)
	var out bytes.Buffer
	c.Assert(writeBurnPage(&out, &servicelevel.FleetReport{Unreachable: []string{"entry-9"}, Report: report}, pageTime), qt.IsNil)
	c.Assert(strings.Contains(out.String(), "<script"), qt.IsFalse)
	c.Assert(strings.Contains(out.String(), "&lt;script&gt;"), qt.IsTrue)
	c.Assert(out.String(), qt.Contains, "their counts are missing: entry-9")
}
