// Package e2e_test runs the compiled programs against stand-ins of the platform
// and checks the behavior that users rely on.
package e2e_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/table"
	"plantainrelay/internal/weights"
	"plantainrelay/test/cluster"
)

// waitTimeout limits each wait in these tests. It only stops a test that hangs:
// no result depends on how long a wait takes.
const waitTimeout = 120 * time.Second

var binDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "plantain-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	if err := cluster.Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// startCluster runs a cluster that is stopped when the test ends.
func startCluster(t *testing.T, config cluster.Config) *cluster.Cluster {
	t.Helper()
	config.BinDir = binDir
	config.Dir = t.TempDir()
	c, err := cluster.Start(config)
	if c != nil {
		t.Cleanup(c.Stop)
	}
	qt.Assert(t, err, qt.IsNil)
	return c
}

func waitContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

// randomWeights returns deterministic pseudo-random bytes that differ between
// seeds.
func randomWeights(seed byte, size int) []byte {
	data := make([]byte, size)
	state := uint32(seed) + 1
	for i := range data {
		state = state*1664525 + 1013904223
		data[i] = byte(state >> 24)
	}
	return data
}

func modelAndBookingTables(version string, manifest weights.Digest) table.Tables {
	return table.Tables{
		Pools: []table.Pool{
			{Name: "model", Kind: table.KindModel, Instances: []string{"model-*"}, Version: version, Manifest: string(manifest), MaxUnavailable: 1, Prefer: table.PreferTime},
			{Name: "booking", Kind: table.KindService, Instances: []string{"booking-*"}},
		},
		Routes: []table.Route{
			{Name: "lookup", Customer: "*", Path: "/lookup", Pool: "model", Repeatable: true, Priority: table.PriorityNormal, Deadline: time.Minute},
			{Name: "book", Customer: "*", Path: "/book", Pool: "booking", Priority: table.PriorityUrgent, Deadline: time.Minute},
		},
	}
}
