package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/metrics"
	"plantainrelay/internal/placement"
	"plantainrelay/platform"
)

// TestReportedLoadReachesPlacement guards against reports that are read and not used, reports of a
// response that may be another instance's, and a log line for each invalid report.
func TestReportedLoadReachesPlacement(t *testing.T) {
	c := qt.New(t)
	logger, hook := logrustest.NewNullLogger()
	fleet := placement.New(placement.Config{AvailabilityZone: "z"})
	f := &frontend{scheduler: newScheduler(fleet, retryLimits{window: time.Second}), log: logrus.NewEntry(logger), metrics: newFrontendMetrics(metrics.New())}
	inst := catalog.Backend{ID: "i", Start: 1, Pool: "p", Address: "10.0.0.1:80", Slots: 4}
	f.scheduler.setList([]catalog.Backend{inst}, time.Time{}, clock.Now())
	reported := func() int {
		choice, found := fleet.Choose(placement.Requirements{Pool: "p"}, clock.Now())
		c.Assert(found, qt.IsTrue)
		fleet.AttemptFinished(choice, placement.NotUsed, clock.Now())
		return choice.ReportedLoad
	}
	choice := placement.Choice{Backend: inst}
	record := func(info platform.ResponseInfo) { f.recordNotice(choice, info, &attemptRecord{}) }
	load := &platform.InstanceLoad{Running: 3, Waiting: 2, Slots: 4, Slowdown: 1.5}
	record(platform.ResponseInfo{Class: platform.Mismatched, Load: load})
	c.Assert(reported(), qt.Equals, 0)
	record(platform.ResponseInfo{Class: platform.Answered, InstanceID: "j", Load: load})
	c.Assert(reported(), qt.Equals, 0)
	record(platform.ResponseInfo{Class: platform.Answered, Load: load})
	c.Assert(reported(), qt.Equals, 5)
	record(platform.ResponseInfo{Class: platform.Answered, Load: &platform.InstanceLoad{Running: 1, Slots: 4}})
	c.Assert(reported(), qt.Equals, 5, qt.Commentf("a report without the processing time does not count"))
	for range 20 {
		record(platform.ResponseInfo{Class: platform.Answered, InvalidLoad: "3,2"})
	}
	c.Assert(hook.Entries, qt.HasLen, 1)
	c.Assert(reported(), qt.Equals, 5, qt.Commentf("an invalid report changes nothing"))
}
