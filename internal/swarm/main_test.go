package swarm_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the state machines, so that each run gives the
// same verdict; -rapid.seed sets another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "4")
	_ = flag.Set("rapid.checks", "25")
	flag.Parse()
	os.Exit(m.Run())
}
