package promptcache_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/promptcache"
)

const retention = 10 * time.Second

var (
	epoch  = time.Unix(1_000, 0)
	engine = promptcache.Engine{Instance: "i-1", Start: 1}
	parts  = []catalog.PromptPart{{ID: "a", Tokens: 400}, {ID: "b", Tokens: 100}, {ID: "c", Tokens: 50}}
)

// TestLongestCommonChainIsHeld guards against parts that count as held although the prompt begins
// differently: an engine can reuse only the beginning.
func TestLongestCommonChainIsHeld(t *testing.T) {
	c := qt.New(t)
	table := promptcache.New(retention)
	table.Record(engine, 1, promptcache.NewChain(parts[:2]), epoch)
	for _, one := range []struct {
		name  string
		parts []catalog.PromptPart
		want  int
	}{
		{"no parts", nil, 0},
		{"the first part", parts[:1], 400},
		{"the whole chain", parts[:2], 500},
		{"a longer prompt", parts, 500},
		{"another second part", []catalog.PromptPart{parts[0], parts[2]}, 400},
		{"without the first part", parts[1:], 0},
		{"another order", []catalog.PromptPart{parts[1], parts[0]}, 0},
		{"another size", []catalog.PromptPart{{ID: "a", Tokens: 401}}, 0},
		{"IDs that are equal when joined", []catalog.PromptPart{{ID: "ab", Tokens: 400}}, 0},
	} {
		c.Check(table.HeldTokens(engine, 1, promptcache.NewChain(one.parts), epoch), qt.Equals, one.want, qt.Commentf("%s", one.name))
	}
	c.Check(table.HeldTokens(promptcache.Engine{Instance: "i-2", Start: 1}, 1, promptcache.NewChain(parts), epoch), qt.Equals, 0)
}

// TestRestartedEngineHoldsNothing guards against records of an earlier start.
func TestRestartedEngineHoldsNothing(t *testing.T) {
	c := qt.New(t)
	table := promptcache.New(retention)
	table.Record(engine, 1, promptcache.NewChain(parts), epoch)
	c.Check(table.HeldTokens(promptcache.Engine{Instance: "i-1", Start: 2}, 1, promptcache.NewChain(parts), epoch), qt.Equals, 0)
}

// TestOtherWeightsHoldNothing guards against prompts that were read with other weights, also when
// the engine has loaded the first ones again.
func TestOtherWeightsHoldNothing(t *testing.T) {
	c := qt.New(t)
	table := promptcache.New(retention)
	table.Record(engine, 1, promptcache.NewChain(parts), epoch)
	other := promptcache.Engine{Instance: "i-2", Start: 1}
	table.Record(other, 1, promptcache.NewChain(parts), epoch)
	c.Check(table.HeldTokens(engine, 2, promptcache.NewChain(parts), epoch), qt.Equals, 0)
	c.Check(table.HeldTokens(engine, 1, promptcache.NewChain(parts), epoch), qt.Equals, 550)
	table.Forget(engine)
	c.Check(table.HeldTokens(engine, 1, promptcache.NewChain(parts), epoch), qt.Equals, 0)
	c.Check(table.HeldTokens(other, 1, promptcache.NewChain(parts), epoch), qt.Equals, 550)
}

// TestRetentionEnds guards against parts that count as held for longer than engines hold them, and
// against a retention that each look at a record renews.
func TestRetentionEnds(t *testing.T) {
	c := qt.New(t)
	table := promptcache.New(retention)
	table.Record(engine, 1, promptcache.NewChain(parts), epoch)
	c.Check(table.HeldTokens(engine, 1, promptcache.NewChain(parts), epoch.Add(retention-1)), qt.Equals, 550)
	c.Check(table.HeldTokens(engine, 1, promptcache.NewChain(parts), epoch.Add(retention)), qt.Equals, 0)
	// Another request with the first part renews that one only.
	table.Record(engine, 1, promptcache.NewChain(parts[:1]), epoch.Add(retention))
	c.Check(table.HeldTokens(engine, 1, promptcache.NewChain(parts), epoch.Add(retention)), qt.Equals, 400)
}

// TestTableIsBounded guards against callers that fill the memory with different parts, and against
// eviction by the last look instead of the last record.
func TestTableIsBounded(t *testing.T) {
	c := qt.New(t)
	table := promptcache.New(retention)
	table.Record(engine, 1, promptcache.NewChain(parts), epoch)
	for i := range 10_000 {
		var long []catalog.PromptPart
		for j := range 100 {
			long = append(long, catalog.PromptPart{ID: fmt.Sprintf("%d-%d", i, j), Tokens: 1})
		}
		table.Record(engine, 1, promptcache.NewChain(long), epoch)
		table.HeldTokens(engine, 1, promptcache.NewChain(parts), epoch)
	}
	c.Check(table.Len(), qt.Equals, 4096)
	c.Check(table.HeldTokens(engine, 1, promptcache.NewChain(parts), epoch), qt.Equals, 0)
}

// TestOffRecordsNothing guards against work and memory while no retention is set.
func TestOffRecordsNothing(t *testing.T) {
	c := qt.New(t)
	for _, off := range []time.Duration{0, -1} {
		table := promptcache.New(off)
		table.Record(engine, 1, promptcache.NewChain(parts), epoch)
		table.Forget(engine)
		c.Check(table.HeldTokens(engine, 1, promptcache.NewChain(parts), epoch), qt.Equals, 0)
		c.Check(table.Len(), qt.Equals, 0)
	}
}
