package loader

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/swarm"
)

// TestNoOrderForALeavingEngine guards against cutting the last streams of an engine that
// leaves in order to load weights that it will not serve. It counts for that start.
func TestNoOrderForALeavingEngine(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.putAllChunks()
	engine.leaving = true
	a.readReport(t.Context())
	complete, _ := a.mayLoad(loadOrder{}, clock.Now())
	c.Assert(complete, qt.IsFalse)
	engine.leaving = false
	a.readReport(t.Context())
	complete, _ = a.mayLoad(loadOrder{}, clock.Now())
	c.Assert(complete, qt.IsFalse, qt.Commentf("it said so before"))
	engine.report = `{"born":6,"Models":[]}`
	a.readReport(t.Context())
	complete, allowed := a.mayLoad(loadOrder{}, clock.Now())
	c.Assert(complete && allowed, qt.IsTrue, qt.Commentf("another start"))
}

// TestEngineThatLeavesDuringTheDrainGetsNoOrder guards against the same when the engine
// says so only after the agent has begun to prepare the switch.
func TestEngineThatLeavesDuringTheDrainGetsNoOrder(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.putAllChunks()
	a.readReport(t.Context())
	engine.leaving = true
	a.loadTarget(t.Context(), verification{version: 2, at: clock.Now()}, loadOrder{})
	c.Assert(engine.orders, qt.HasLen, 0)
	c.Assert(a.isSwitching(), qt.IsFalse)
}

// TestLeavingNeighborsHoldUpNoSwitch guards against engines that wait for the switch of
// others that will never switch, because they leave.
func TestLeavingNeighborsHoldUpNoSwitch(t *testing.T) {
	c := qt.New(t)
	for _, leaving := range []bool{false, true} {
		a, _ := newTestAgent(t)
		now := clock.Now()
		for i := range 8 {
			host := fmt.Sprintf("10.0.1.%d", i)
			a.members = append(a.members, swarm.Member{Name: host, AvailabilityZone: "z1"})
			a.recordNeighbor(&beat.Message{Host: host, Report: &beat.EngineReport{Born: 1, Loaded: 1, Leaving: leaving}}, now)
		}
		// The order of the switches depends on the names.
		allowed := 0
		for i := range 50 {
			a.settings.IP = fmt.Sprintf("10.0.2.%d", i)
			if a.maySwitch(now.Add(time.Millisecond)) {
				allowed++
			}
		}
		c.Check(allowed == 50, qt.Equals, leaving, qt.Commentf("%d of 50 may switch", allowed))
	}
}
