package rollout_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/rollout"
)

// TestSwitchEndsAlthoughTheTargetHasChanged guards against an engine that serves an
// allowed version, but gets no requests until it has loaded the next one: a release
// moved the target while the engine was loading.
func TestSwitchEndsAlthoughTheTargetHasChanged(t *testing.T) {
	c := qt.New(t)
	state := func(start, version int64) rollout.EngineState {
		return rollout.EngineState{Start: start, Version: version}
	}
	for _, one := range []struct {
		last, current rollout.EngineState
		ended         bool
	}{
		{state(1, 7), state(1, 7), false},
		{state(1, 7), state(1, 0), false},
		{state(1, 7), state(1, 9), true},
		{state(1, 7), state(1, 8), true},
		{state(1, 0), state(1, 8), true},
		{state(1, 7), state(2, 0), true},
	} {
		c.Check(rollout.SwitchEnded(one.last, one.current, 9), qt.Equals, one.ended, qt.Commentf("%v to %v", one.last, one.current))
	}
}
