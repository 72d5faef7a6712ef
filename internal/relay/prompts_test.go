package relay

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/promptcache"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// sharedPrefix is a prompt of 200 tokens, of which 150 are shared.
const sharedPrefix = "c0ffee00:150,0000own1:50"

// newPromptFixture is a frontend before two engines, the first of which is listed. Engines hold
// the beginning of a prompt for the given time.
func newPromptFixture(t *testing.T, retention time.Duration) *engineFixture {
	t.Helper()
	f := newEngineFixture(t, 2)
	f.frontend.scheduler.mu.Lock()
	f.frontend.scheduler.fleet = placement.New(placement.Config{MaxPeerLoadAge: time.Second, FailureBackoff: 100 * time.Millisecond, MaxFailureBackoff: time.Second, Seed: 1, PromptRetention: retention})
	f.frontend.scheduler.mu.Unlock()
	f.frontend.usesHeldPrompts = retention > 0
	f.list(1)
	return f
}

// writePrefix sends a request for a stream with the shared prefix.
func (f *engineFixture) writePrefix(c *qt.C, attempt string) *http.Response {
	f.renewTables()
	response, _, err := f.do(http.MethodPost, "/write/x", func(request *http.Request) {
		standin.CallerRequest{AttemptID: attempt, APIKey: "good", Events: 3, TimeLeft: 2900 * time.Millisecond}.SetHeaders(request.Header)
		request.Header.Set(standin.HeaderParts, sharedPrefix)
	})
	c.Assert(err, qt.IsNil)
	return response
}

// heldTokens returns how many tokens of the shared prefix an instance is expected to hold when it
// may be used again after failures.
func (f *engineFixture) heldTokens(c *qt.C, id string) int {
	s := f.frontend.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	tried := map[string]bool{"i-0": true, "i-1": true}
	delete(tried, id)
	now := clock.Now().Add(10 * time.Second)
	choice, found := s.fleet.Choose(placement.Requirements{
		Pool: modelPool, Model: modelName, PromptTokens: 200, Tried: tried, Prefix: promptcache.NewChain([]catalog.PromptPart{{ID: "c0ffee00", Tokens: 150}}),
	}, now)
	c.Assert(found, qt.IsTrue)
	s.fleet.AttemptFinished(choice, placement.NotUsed, now)
	return choice.HeldTokens
}

// readCounter returns the value of a counter.
func readCounter(c *qt.C, counter prometheus.Counter) float64 {
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(counter)
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	return families[0].GetMetric()[0].GetCounter().GetValue()
}

func (f *engineFixture) checkHeldPrompts(c *qt.C, hits, misses, tokens float64) {
	m := f.frontend.metrics
	c.Check(readCounter(c, m.heldPrompts.WithLabelValues("hit")), qt.Equals, hits)
	c.Check(readCounter(c, m.heldPrompts.WithLabelValues("miss")), qt.Equals, misses)
	c.Check(readCounter(c, m.heldTokens), qt.Equals, tokens)
}

// TestBegunResponsesShowWhatEnginesHold guards against prompts that are not recorded when their
// response has started, and against counts and log records that do not tell of them.
func TestBegunResponsesShowWhatEnginesHold(t *testing.T) {
	c := qt.New(t)
	f := newPromptFixture(t, time.Minute)
	log := logtest.NewLocal(f.frontend.log.Logger)
	for _, held := range []int{0, 150} {
		log.Reset()
		c.Assert(f.writePrefix(c, "request").StatusCode, qt.Equals, http.StatusOK)
		waitUntil(c, func() bool { return log.LastEntry() != nil && log.LastEntry().Message == "request ended" })
		attempts := log.LastEntry().Data["attempts"].([]attemptRecord)
		c.Assert(attempts, qt.HasLen, 1)
		c.Check(attempts[0].HeldTokens, qt.Equals, held)
	}
	f.checkHeldPrompts(c, 1, 1, 150)
}

// TestTakeoverShowsWhatItsEngineHolds guards against the prompts that an engine has read which took
// over from a silent one, and against a silent engine that counts as holding them.
func TestTakeoverShowsWhatItsEngineHolds(t *testing.T) {
	c := qt.New(t)
	f := newPromptFixture(t, time.Minute)
	f.engines[0].SetFaults(standin.BackendFaults{Hang: true})
	done := make(chan int, 1)
	go func() { done <- f.writePrefix(c, "request").StatusCode }()
	waitUntil(c, func() bool { return f.arrivals.Load() == 1 })
	f.list(2)
	c.Assert(<-done, qt.Equals, http.StatusOK)
	c.Check(readCounter(c, f.frontend.metrics.standbys.WithLabelValues(string(standbyTaken))), qt.Equals, 1.0)
	c.Check(f.heldTokens(c, "i-0"), qt.Equals, 0)
	c.Check(f.heldTokens(c, "i-1"), qt.Equals, 150)
}

// TestRejectedPromptsAreNotHeld guards against prompts that count as held although the instance
// has rejected them.
func TestRejectedPromptsAreNotHeld(t *testing.T) {
	for name, faults := range map[string]standin.BackendFaults{
		"not run":      {RetryAfter: "0"},
		"may have run": {RetryAfter: "0", MayHaveRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newPromptFixture(t, time.Minute)
			f.engines[0].SetFaults(faults)
			c.Assert(f.writePrefix(c, "request").StatusCode, qt.Equals, http.StatusServiceUnavailable)
			c.Check(f.heldTokens(c, "i-0"), qt.Equals, 0)
		})
	}
}

// TestWithoutRetentionNothingIsHeld guards against records and counts while PromptReuse is off.
func TestWithoutRetentionNothingIsHeld(t *testing.T) {
	c := qt.New(t)
	f := newPromptFixture(t, 0)
	for range 2 {
		c.Assert(f.writePrefix(c, "request").StatusCode, qt.Equals, http.StatusOK)
	}
	c.Check(f.heldTokens(c, "i-0"), qt.Equals, 0)
	f.checkHeldPrompts(c, 0, 0, 0)
}

// TestRetentionIsRead guards against an entry that ignores the setting.
func TestRetentionIsRead(t *testing.T) {
	c := qt.New(t)
	log := newTestBlocker().log
	for _, retention := range []time.Duration{0, time.Minute} {
		socket, err := beat.Open("127.0.0.1", 0, log)
		c.Assert(err, qt.IsNil)
		e, err := newEntry(platform.Settings{IP: "127.0.0.1", PromptRetention: retention, Bounds: platform.Bounds{ConfigApplyTime: 2 * time.Second}}, socket, log)
		c.Assert(err, qt.IsNil)
		c.Check(e.frontend.usesHeldPrompts, qt.Equals, retention > 0)
		e.scheduler.fleet.SetList([]catalog.Backend{{ID: "i-0", Start: 1, Pool: "p", Slots: 2}}, time.Time{}, clock.Now())
		need := placement.Requirements{Pool: "p", PromptTokens: 200, Prefix: promptcache.NewChain([]catalog.PromptPart{{ID: "c0ffee00", Tokens: 150}})}
		first, _ := e.scheduler.fleet.Choose(need, clock.Now())
		e.scheduler.fleet.PromptProcessed(first, clock.Now())
		second, _ := e.scheduler.fleet.Choose(need, clock.Now())
		c.Check(second.HeldTokens > 0, qt.Equals, retention > 0)
	}
}
