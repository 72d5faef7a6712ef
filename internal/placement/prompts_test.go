package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/promptcache"
)

const promptRetention = 10 * time.Second

// Of the fleet's engines: the slots, and what placement adds for occupied ones and at random.
const (
	slots            = 16
	occupancyPenalty = 40 * time.Millisecond
	jitter           = 4 * time.Millisecond
)

func newPromptFleet(seed uint64, retention time.Duration, list ...catalog.Backend) *placement.Fleet {
	fleet := placement.New(placement.Config{
		AvailabilityZone: "z1", MaxPeerLoadAge: time.Second, FailureBackoff: 500 * time.Millisecond, MaxFailureBackoff: 6 * time.Second, Seed: seed,
		Engine: func(string) *catalog.Engine { return engine }, PromptRetention: retention,
	})
	fleet.SetList(list, time.Time{}, epoch)
	return fleet
}

// promptNeed is a request with a prompt of 1000 tokens that begins with a shared part.
func promptNeed(part string, tokens int) placement.Requirements {
	withPart := need
	withPart.Prefix = promptcache.NewChain([]catalog.PromptPart{{ID: part, Tokens: tokens}})
	return withPart
}

// begin places a request whose response starts at once.
func begin(c *qt.C, fleet *placement.Fleet, need placement.Requirements, now time.Time) placement.Choice {
	choice, found := fleet.Choose(need, now)
	c.Assert(found, qt.IsTrue)
	fleet.ResponseStarted(choice)
	fleet.PromptProcessed(choice, now)
	return choice
}

// serve serves a request completely.
func serve(c *qt.C, fleet *placement.Fleet, need placement.Requirements, now time.Time) placement.Choice {
	choice := begin(c, fleet, need, now)
	fleet.AttemptFinished(choice, placement.Succeeded, now)
	return choice
}

// TestRequestGoesToTheEngineThatHoldsItsPrompt guards against held parts that have no effect, and
// against other parts that have one.
func TestRequestGoesToTheEngineThatHoldsItsPrompt(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		fleet := newPromptFleet(seed, promptRetention, backends(4)...)
		first := serve(c, fleet, promptNeed("a", 900), epoch)
		c.Assert(first.HeldTokens, qt.Equals, 0)
		second := serve(c, fleet, promptNeed("a", 900), epoch)
		c.Assert(second.Backend.ID, qt.Equals, first.Backend.ID)
		c.Assert(second.HeldTokens, qt.Equals, 900)
		c.Assert(serve(c, fleet, promptNeed("b", 900), epoch).HeldTokens, qt.Equals, 0)
		longer := need
		longer.Prefix = promptcache.NewChain([]catalog.PromptPart{{ID: "a", Tokens: 900}, {ID: "c", Tokens: 50}})
		c.Assert(serve(c, fleet, longer, epoch).HeldTokens, qt.Equals, 900)
	}
}

// TestPromptIsHeldOnlyOnceItsResponseHasStarted guards against parts that count as held although
// the engine has not read them, and against more held tokens than the prompt has.
func TestPromptIsHeldOnlyOnceItsResponseHasStarted(t *testing.T) {
	c := qt.New(t)
	fleet := newPromptFleet(1, promptRetention, backend(0))
	choice, _ := fleet.Choose(promptNeed("a", 900), epoch)
	fleet.ResponseStarted(choice)
	fleet.AttemptFinished(choice, placement.Failed, epoch)
	// The attempt has ended: nothing is known of it any more.
	fleet.PromptProcessed(choice, epoch)
	later := epoch.Add(time.Second)
	c.Assert(serve(c, fleet, promptNeed("a", 900), later).HeldTokens, qt.Equals, 0)
	shorter := promptNeed("a", 900)
	shorter.PromptTokens = 500
	c.Assert(serve(c, fleet, shorter, later).HeldTokens, qt.Equals, 500)
	shorter.PromptTokens = 0
	c.Assert(serve(c, fleet, shorter, later).HeldTokens, qt.Equals, 0)
}

// TestHeldPromptIsWeighedAgainstTheWait guards against held parts that outweigh a longer wait:
// 300 tokens are read in 15 ms, 900 in 45 ms.
func TestHeldPromptIsWeighedAgainstTheWait(t *testing.T) {
	c := qt.New(t)
	far := backend(0)
	far.AvailabilityZone = "z2"
	for _, one := range []struct {
		name     string
		tokens   int
		holder   catalog.Backend
		prepare  func(fleet *placement.Fleet)
		isHolder bool
	}{
		{"no difference", 300, backend(0), nil, true},
		{"20 ms for another zone are more", 300, far, nil, false},
		{"20 ms for another zone are less", 900, far, nil, true},
		{"50 ms for other prompts are more", 900, backend(0), func(fleet *placement.Fleet) {
			fleet.UpdatePeerLoads("peer", map[string]placement.Load{"i-00": {Count: 1, PendingPromptTokens: 1000}}, true, epoch)
		}, false},
		{"25 ms for other prompts are less", 900, backend(0), func(fleet *placement.Fleet) {
			fleet.UpdatePeerLoads("peer", map[string]placement.Load{"i-00": {Count: 1, PendingPromptTokens: 500}}, true, epoch)
		}, true},
		{"a slow engine", 900, backend(0), func(fleet *placement.Fleet) {
			fleet.UpdateReport("10.0.0.0", placement.AgentReport{EngineStart: 1, LoadedVersion: 1, Slowdown: 3, AgentStart: 1, Sequence: 1}, epoch)
		}, false},
		{"a slow engine that saves more", 900, backend(0), func(fleet *placement.Fleet) {
			fleet.UpdateReport("10.0.0.0", placement.AgentReport{EngineStart: 1, LoadedVersion: 1, Slowdown: 1.6, AgentStart: 1, Sequence: 1}, epoch)
		}, true},
	} {
		for seed := range uint64(20) {
			fleet := newPromptFleet(seed, promptRetention, one.holder)
			serve(c, fleet, promptNeed("a", one.tokens), epoch)
			fleet.SetList([]catalog.Backend{one.holder, backend(1)}, time.Time{}, epoch)
			if one.prepare != nil {
				one.prepare(fleet)
			}
			choice, _ := fleet.Choose(promptNeed("a", one.tokens), epoch)
			c.Check(choice.Backend.ID == one.holder.ID, qt.Equals, one.isHolder, qt.Commentf("%s, seed %d", one.name, seed))
		}
	}
}

// TestHotPartSpreadsOverTheEngines guards against one part whose callers all go to the engine that
// holds it. Those that arrive before its prompts are read spread as without held parts; those that
// arrive one by one fill no more slots there than the time saved outweighs.
func TestHotPartSpreadsOverTheEngines(t *testing.T) {
	const engines = 8
	for _, tokens := range []int{40, 300, 600} {
		t.Run(fmt.Sprintf("burst with %d tokens", tokens), func(t *testing.T) {
			c := qt.New(t)
			fleet := newPromptFleet(1, promptRetention, backends(engines)...)
			serve(c, fleet, promptNeed("hot", tokens), epoch)
			counts := map[string]int{}
			for range 4 * engines {
				choice, found := fleet.Choose(promptNeed("hot", tokens), epoch)
				c.Assert(found, qt.IsTrue)
				counts[choice.Backend.ID]++
			}
			c.Assert(counts, qt.HasLen, engines)
			for id, count := range counts {
				c.Check(count <= 5, qt.IsTrue, qt.Commentf("%s got %d of %d requests", id, count, 4*engines))
			}
		})
		t.Run(fmt.Sprintf("one by one with %d tokens", tokens), func(t *testing.T) {
			c := qt.New(t)
			saved := time.Duration(float64(tokens) / engine.PromptTokensPerSecond * float64(time.Second))
			maxLead := int(float64(slots)*float64(saved+jitter)/float64(occupancyPenalty)) + 1
			c.Assert(maxLead < slots, qt.IsTrue)
			fleet := newPromptFleet(1, promptRetention, backends(engines)...)
			counts, hits := map[string]int{}, 0
			for range engines * slots {
				choice := begin(c, fleet, promptNeed("hot", tokens), epoch)
				counts[choice.Backend.ID]++
				if choice.HeldTokens > 0 {
					hits++
				}
				most, least := 0, slots
				for _, one := range backends(engines) {
					most, least = max(most, counts[one.ID]), min(least, counts[one.ID])
				}
				c.Assert(most-least <= maxLead, qt.IsTrue, qt.Commentf("%v", counts))
			}
			c.Assert(hits, qt.Equals, engines*slots-engines)
		})
	}
}

// TestSessionsReturnToTheirEngines guards against many sessions, each with a prompt of its own,
// that gather on a few engines, or that displace each other.
func TestSessionsReturnToTheirEngines(t *testing.T) {
	c := qt.New(t)
	const engines, sessions = 8, 400
	fleet := newPromptFleet(1, promptRetention, backends(engines)...)
	engineOf, counts := map[int]string{}, map[string]int{}
	for turn := range 3 {
		for session := range sessions {
			choice := serve(c, fleet, promptNeed(fmt.Sprint(session), 900), epoch)
			if turn == 0 {
				engineOf[session] = choice.Backend.ID
				counts[choice.Backend.ID]++
				continue
			}
			c.Assert(choice.Backend.ID, qt.Equals, engineOf[session])
			c.Assert(choice.HeldTokens, qt.Equals, 900)
		}
	}
	for id, count := range counts {
		c.Check(count < 2*sessions/engines, qt.IsTrue, qt.Commentf("%s got %d of %d sessions", id, count, sessions))
	}
}

// TestFullEngineThatHoldsAPromptGetsNothing guards against requests that go to, or wait for, an
// engine without a free slot because it holds their prompt.
func TestFullEngineThatHoldsAPromptGetsNothing(t *testing.T) {
	c := qt.New(t)
	fleet := newPromptFleet(1, promptRetention, backend(0))
	for range slots {
		begin(c, fleet, promptNeed("a", 900), epoch)
	}
	_, found := fleet.Choose(promptNeed("a", 900), epoch)
	c.Assert(found, qt.IsFalse)
	fleet.SetList(backends(2), time.Time{}, epoch)
	choice, _ := fleet.Choose(promptNeed("a", 900), epoch)
	c.Assert(choice.Backend.ID, qt.Equals, "i-01")
	c.Assert(choice.HeldTokens, qt.Equals, 0)
}

// TestHeldTokensShortenTheExpectedWait guards against requests that wait for another engine
// although the one that holds their prompt responds in time. Its two passes take 100 ms, and each
// 1000 tokens of other prompts 75 ms.
func TestHeldTokensShortenTheExpectedWait(t *testing.T) {
	c := qt.New(t)
	for _, one := range []struct {
		held, pending int
		fits          bool
	}{{0, 1000, false}, {900, 1000, true}, {900, 2000, false}} {
		fleet := newPromptFleet(1, promptRetention, backend(0))
		if one.held > 0 {
			serve(c, fleet, promptNeed("a", one.held), epoch)
		}
		fleet.UpdatePeerLoads("peer", map[string]placement.Load{"i-00": {Count: 1, PendingPromptTokens: one.pending}}, true, epoch)
		inTime := promptNeed("a", 900)
		inTime.MaxWait = 200 * time.Millisecond
		c.Check(fleet.HasFreeSlot(inTime, epoch), qt.Equals, one.fits, qt.Commentf("%+v", one))
	}
}

// TestHeldPromptsAreForgotten guards against requests that are drawn to an engine that no longer
// holds their prompt.
func TestHeldPromptsAreForgotten(t *testing.T) {
	report := func(version int64, sequence uint64) placement.AgentReport {
		return placement.AgentReport{EngineStart: 1, LoadedVersion: version, AgentStart: 1, Sequence: sequence}
	}
	restarted := backend(0)
	restarted.Start = 2
	for _, one := range []struct {
		name string
		// change is what happens after the prompt was read, and returns the time after it.
		change func(fleet *placement.Fleet) time.Time
		held   int
	}{
		{"nothing", func(*placement.Fleet) time.Time { return epoch }, 900},
		{"another report of the same weights", func(fleet *placement.Fleet) time.Time {
			fleet.UpdateReport("10.0.0.0", report(1, 1), epoch)
			return epoch
		}, 900},
		{"restart", func(fleet *placement.Fleet) time.Time {
			fleet.SetList([]catalog.Backend{restarted}, time.Time{}, epoch)
			return epoch
		}, 0},
		{"new weights", func(fleet *placement.Fleet) time.Time {
			fleet.UpdateReport("10.0.0.0", report(2, 1), epoch)
			return epoch
		}, 0},
		{"new weights and the old ones again", func(fleet *placement.Fleet) time.Time {
			fleet.UpdateReport("10.0.0.0", report(2, 1), epoch)
			fleet.UpdateReport("10.0.0.0", report(1, 2), epoch)
			return epoch
		}, 0},
		{"the last moment of the retention", func(*placement.Fleet) time.Time { return epoch.Add(promptRetention - 1) }, 900},
		{"the end of the retention", func(*placement.Fleet) time.Time { return epoch.Add(promptRetention) }, 0},
	} {
		c := qt.New(t)
		fleet := newPromptFleet(1, promptRetention, backend(0))
		serve(c, fleet, promptNeed("a", 900), epoch)
		now := one.change(fleet)
		choice, found := fleet.Choose(promptNeed("a", 900), now)
		c.Check(found, qt.IsTrue, qt.Commentf("%s", one.name))
		c.Check(choice.HeldTokens, qt.Equals, one.held, qt.Commentf("%s", one.name))
	}
}

// TestLateResponseOfAnEarlierStartIsNoRecord guards against a prompt that counts as held by an engine
// whose earlier start has read it, because that response is seen after the restart.
func TestLateResponseOfAnEarlierStartIsNoRecord(t *testing.T) {
	c := qt.New(t)
	restarted := backend(0)
	restarted.Start = 2
	fleet := newPromptFleet(1, promptRetention, backend(0))
	late, _ := fleet.Choose(promptNeed("a", 900), epoch)
	fleet.SetList([]catalog.Backend{restarted}, time.Time{}, epoch)
	fleet.PromptProcessed(late, epoch)
	choice, found := fleet.Choose(promptNeed("a", 900), epoch)
	c.Assert(found, qt.IsTrue)
	c.Assert(choice.Backend.Start, qt.Equals, int64(2))
	c.Assert(choice.HeldTokens, qt.Equals, 0)
}

// TestWithoutHeldPromptsTheChoiceIsUnchanged guards against other choices, or other random numbers,
// where the setting is off or nothing is known.
func TestWithoutHeldPromptsTheChoiceIsUnchanged(t *testing.T) {
	c := qt.New(t)
	run := func(fleet *placement.Fleet, request func(i int) placement.Requirements, finish func(placement.Choice)) []string {
		var chosen []string
		for i := range 100 {
			one := request(i)
			one.RandomizeChoice = i%3 == 0
			one.MaxWait = 300 * time.Millisecond
			choice, found := fleet.Choose(one, epoch)
			chosen = append(chosen, fmt.Sprint(choice.Backend.ID, found, choice.HeldTokens))
			if found && i%2 == 0 {
				finish(choice)
			}
		}
		return chosen
	}
	for seed := range uint64(10) {
		plain := newPromptFleet(seed, 0, backends(6)...)
		want := run(plain, func(int) placement.Requirements { return need }, plain.ResponseStarted)
		off := newPromptFleet(seed, 0, backends(6)...)
		c.Assert(run(off, func(int) placement.Requirements { return promptNeed("a", 900) }, func(choice placement.Choice) {
			off.ResponseStarted(choice)
			off.PromptProcessed(choice, epoch)
		}), qt.DeepEquals, want)
		unknown := newPromptFleet(seed, promptRetention, backends(6)...)
		c.Assert(run(unknown, func(i int) placement.Requirements { return promptNeed(fmt.Sprint(i), 900) }, func(choice placement.Choice) {
			unknown.ResponseStarted(choice)
			unknown.PromptProcessed(choice, epoch)
		}), qt.DeepEquals, want)
	}
}
