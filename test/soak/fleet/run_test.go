package fleet

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/test/cluster"
)

// ciBounds are generous except for Revoke and Stable, so that the result does not
// depend on the speed of the machine; the command uses StatedBounds.
var ciBounds = Bounds{
	Apply: 20 * time.Second, Drain: 20 * time.Second, Revoke: StatedBounds.Revoke, Version: 40 * time.Second, Stable: 3 * time.Second, MinServedShare: 0.25,
}

const (
	ciSeed     = 27049
	ciDuration = 14 * time.Second
	// Late releases have ciSwitchTime as the bound in the settings; ciSwitchSlack is added to it
	// in the check.
	ciReleaseSeed     = 470002
	ciReleaseDuration = 5 * time.Second
	ciSwitchTime      = 4 * time.Second
	ciSwitchSlack     = time.Second
)

// TestShortRun runs the real programs under a few faults with a fixed seed.
func TestShortRun(t *testing.T) {
	runWithoutViolations(t, Config{Seed: ciSeed, Duration: ciDuration, Bounds: ciBounds})
}

// TestLateRelease runs them with a release whose weights come late, beside silent engines.
func TestLateRelease(t *testing.T) {
	bounds := ciBounds
	bounds.Version = ciSwitchTime + ciSwitchSlack
	runWithoutViolations(t, Config{
		Seed: ciReleaseSeed, Duration: ciReleaseDuration, Bounds: bounds, VersionSwitchTime: ciSwitchTime, Only: []string{"late release beside silent engines"},
	})
}

// runWithoutViolations runs a small fleet.
func runWithoutViolations(t *testing.T, config Config) {
	c := qt.New(t)
	config.Bin, config.Dir, config.Log = t.TempDir(), t.TempDir(), os.Stderr
	config.Entries, config.Engines, config.Callers = 1, 2, 6
	c.Assert(cluster.Build(config.Bin), qt.IsNil)
	history, err := Run(config)
	c.Assert(err, qt.IsNil)
	violations := history.Check()
	c.Log(history.Summary())
	c.Assert(violations, qt.HasLen, 0)
}
