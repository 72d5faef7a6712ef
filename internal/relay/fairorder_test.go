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

// TestLargePromptIsPlacedLate guards against a large prompt that small ones pass until it is
// shed, because no engine can begin its response within the objective: once it is due, it takes
// an engine that begins it somewhat later.
func TestLargePromptIsPlacedLate(t *testing.T) {
	c := qt.New(t)
	engine := &catalog.Engine{Model: "m", Slots: 12, Stride: 5, StepTime: 9 * time.Millisecond, PromptTokensPerSecond: 19_100}
	fleet := placement.New(placement.Config{MaxPeerLoadAge: time.Second, Seed: 1, Engine: func(string) *catalog.Engine { return engine }})
	fleet.SetList([]catalog.Backend{{
		ID: "i-1", Pool: "p", Address: "10.0.0.1:80", Host: "10.0.0.1", Slots: 12, LoadedVersions: map[string]int64{"m": 1},
	}}, time.Time{}, clock.Now())
	g := newScheduler(fleet, retryLimits{})
	later := clock.Now().Add(time.Hour)
	newTicket := func(tokens, reserved int) *ticket {
		return &ticket{
			Ticket: admission.Ticket{Customer: "c", Deadline: later, StartBy: later},
			need:   placement.Requirements{Pool: "p", Model: "m", PromptTokens: tokens, MaxWait: 500 * time.Millisecond, ReservedSlots: reserved},
		}
	}
	_, rejected := g.acquire(t.Context(), newTicket(3000, 0))
	c.Assert(rejected, qt.IsNil)
	large, huge, small := newTicket(4000, 2), newTicket(40_000, 0), newTicket(100, 11)
	for _, one := range []*ticket{large, huge, small} {
		c.Assert(fleet.HasFreeSlot(one.need, clock.Now()), qt.IsFalse)
	}
	relax := func(t *ticket) bool { return g.isStartable(t, admission.Relaxed, clock.Now()) }
	c.Check(relax(large), qt.IsTrue)
	c.Check(fleet.HasFreeSlot(large.need, clock.Now()), qt.IsTrue, qt.Commentf("the slot is chosen by the relaxed needs"))
	c.Check(relax(huge), qt.IsFalse, qt.Commentf("its caller would have given up before"))
	c.Check(huge.need.MaxWait, qt.Equals, 500*time.Millisecond)
	c.Check(relax(small), qt.IsTrue, qt.Commentf("slots are kept for first attempts"))
}

// TestYieldingRequestLeavesRoom guards against a flood at one entry that takes the last slot of
// each instance while requests at others have to wait.
func TestYieldingRequestLeavesRoom(t *testing.T) {
	c := qt.New(t)
	fleet := placement.New(placement.Config{MaxPeerLoadAge: time.Second, Seed: 1})
	fleet.SetList([]catalog.Backend{{ID: "i-1", Pool: "p", Address: "10.0.0.1:80", Host: "10.0.0.1", Slots: 2}}, time.Time{}, clock.Now())
	g := newScheduler(fleet, retryLimits{})
	newTicket := func() *ticket {
		later := clock.Now().Add(time.Hour)
		return &ticket{Ticket: admission.Ticket{Customer: "c", Deadline: later, StartBy: later}, need: placement.Requirements{Pool: "p"}}
	}
	startable := func(terms admission.Terms) bool { return g.isStartable(newTicket(), terms, clock.Now()) }
	_, slots := fleet.Usable(newTicket().need, clock.Now())
	for range slots - 1 {
		c.Check(startable(admission.Yielding), qt.IsTrue)
		_, rejected := g.acquire(t.Context(), newTicket())
		c.Assert(rejected, qt.IsNil)
	}
	c.Check(startable(admission.Yielding), qt.IsFalse)
	c.Check(startable(admission.Usual), qt.IsTrue)
}

// TestShedRequestsHaveBoundedLabels guards against a label for each class that the tables may
// name.
func TestShedRequestsHaveBoundedLabels(t *testing.T) {
	labels := map[string]bool{}
	for class := -1000; class < 1000; class++ {
		labels[classLabel(class)] = true
	}
	qt.Assert(t, labels, qt.HasLen, classLabels+2)
}
