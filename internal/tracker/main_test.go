package tracker_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the state machines, so that each run gives the
// same verdict; -rapid.seed sets another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "4")
	flag.Parse()
	os.Exit(m.Run())
}
