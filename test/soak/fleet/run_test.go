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
)

// TestShortRun runs the real programs under a few faults with a fixed seed.
func TestShortRun(t *testing.T) {
	c := qt.New(t)
	bin := t.TempDir()
	c.Assert(cluster.Build(bin), qt.IsNil)
	history, err := Run(Config{
		Seed: ciSeed, Duration: ciDuration, Entries: 1, Engines: 2, Callers: 6, Bounds: ciBounds, Bin: bin, Dir: t.TempDir(), Log: os.Stderr,
	})
	c.Assert(err, qt.IsNil)
	violations := history.Check()
	c.Log(history.Summary())
	c.Assert(violations, qt.HasLen, 0)
}
