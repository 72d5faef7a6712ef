package rollout_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/rollout"
)

// TestSilentEngineBeginsWithinTheBound guards against margins that do not cover the silence of a
// sound engine (1.537 s at least in incident 0013) and the time to its first token.
func TestSilentEngineBeginsWithinTheBound(t *testing.T) {
	const silence, firstToken = 1550 * time.Millisecond, 300 * time.Millisecond
	for _, bound := range []time.Duration{5 * time.Second, 8 * time.Second, time.Minute} {
		qt.Check(t, rollout.SendPeriod(bound)+silence+firstToken < bound, qt.IsTrue, qt.Commentf("%s", bound))
	}
}

// TestEnginesSwitchWhenEntriesStopSending guards against margins of entries and agents that leave
// a time in which an engine gets no requests and still waits for others, and against drains that
// last until the bound.
func TestEnginesSwitchWhenEntriesStopSending(t *testing.T) {
	for _, bound := range []time.Duration{time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 8 * time.Second, time.Hour} {
		c := qt.New(t)
		c.Check(rollout.SwitchPeriod(bound) > 0, qt.IsTrue, qt.Commentf("%s", bound))
		c.Check(rollout.SwitchPeriod(bound) <= rollout.SendPeriod(bound), qt.IsTrue, qt.Commentf("%s", bound))
		c.Check(rollout.SendPeriod(bound) < rollout.DrainPeriod(bound), qt.IsTrue, qt.Commentf("%s", bound))
		c.Check(rollout.DrainPeriod(bound) < bound, qt.IsTrue, qt.Commentf("%s", bound))
	}
}
