package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/admission"
	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
)

// TestColdInstanceServesTheMostUrgentFirst guards against less urgent requests that use up the few
// that a cold instance accepts.
func TestColdInstanceServesTheMostUrgentFirst(t *testing.T) {
	c := qt.New(t)
	table := catalog.New(1, catalog.Limits{}, nil, []catalog.Pool{{Name: "p", ColdTime: time.Minute, ColdRequestsPerSecond: 1}}, nil)
	v := &view{}
	v.active.Store(&activeTables{Table: table})
	fleet := placement.New(placement.Config{ColdLimit: v.coldLimit})
	g := newScheduler(fleet, retryLimits{window: time.Second})
	now := clock.Now()
	g.recordEntries("0", nil, nil, now.Add(-3*time.Second))
	g.recordEntries("0", nil, nil, now)
	g.setList(nil, time.Time{}, now)
	g.setList([]catalog.Backend{{ID: "i", Pool: "p", Address: "10.0.0.1:80", Slots: 8}}, time.Time{}, now)
	queue := func(class int) *ticket {
		until := clock.Now().Add(time.Minute)
		queued := &ticket{Ticket: admission.Ticket{Route: "r", Class: class, Deadline: until, StartBy: until}, need: placement.Requirements{Pool: "p"}}
		g.enqueue(queued)
		return queued
	}
	first, later, urgent := queue(5), queue(5), queue(0)
	c.Assert(first.placed, qt.HasLen, 1)
	c.Assert(urgent.placed, qt.HasLen, 0)
	time.Sleep(1100 * time.Millisecond)
	g.dispatchAll()
	c.Assert(urgent.placed, qt.HasLen, 1)
	c.Assert(later.placed, qt.HasLen, 0)
}
