package simulation_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/bench/simulation"
)

// quickCrashes returns a scenario in which every third request has the part that crashes
// engines, so that all of them are down within a second and again when they are back.
func quickCrashes(seed uint64) simulation.Scenario {
	s := simulation.DrawWithPrompts(seed, size)
	s.CrashingParts = []simulation.CrashingPart{{ID: "crash-0", AtMs: 15_000, ForMs: 20_000, Share: 0.35, BeforeHeader: seed%2 == 0}}
	s.Faults, s.ReleasesMs, s.Rules = nil, nil, []string{simulation.RuleBudget}
	return s
}

// TestQuickCrashes guards against requests that crash engines in quick succession, as
// TestQuickCrashesLimitFurtherRequests does for the decision alone.
func TestQuickCrashes(t *testing.T) {
	const seeds = 10
	found := 0
	for seed := range uint64(seeds) {
		s := quickCrashes(seed + 1)
		check(t, s)
		s.Mutation = simulation.NoProbation
		found += len(simulation.Run(s).Findings)
	}
	qt.Check(t, found > 0, qt.IsTrue, qt.Commentf("no seed needs the probation"))
}
