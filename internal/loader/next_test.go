package loader

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/rollout"
	"plantainrelay/internal/swarm"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// newWaitingAgent returns an agent that holds version 2, while its engine serves version 1 and
// version 3 has been released.
func newWaitingAgent(t *testing.T) (*agent, *fakeEngine) {
	t.Helper()
	a, engine := newTestAgent(t)
	a.target.isReleased = true
	a.report = platform.EngineReport{Start: 5, LoadedVersion: 1}
	a.putAllChunks()
	for chunk := range 4 {
		engine.staged[chunk] = chunkOf(2, chunk)
	}
	have, _ := a.chunks.bitmap(2)
	a.fetchInProgress = &versionFetch{target: a.target, plan: swarm.NewTieredPlan(fetchConfig, 4, have), complete: true, lastChunkAt: clock.Now()}
	origin := httptest.NewServer(standin.NewOrigin(standin.Weights{Model: model, Chunks: 4, ChunkBytes: 8, Layers: 1}))
	t.Cleanup(origin.Close)
	a.origin = platform.NewOriginClient(http.DefaultTransport)
	a.table = catalog.New(1, catalog.Limits{}, nil, []catalog.Pool{a.pool, {Name: "o", Origin: strings.TrimPrefix(origin.URL, "http://")}}, nil)
	a.newestTarget = target{model: model, version: 3, isReleased: true, learnedAt: a.target.learnedAt.Add(4 * time.Second)}
	return a, engine
}

func (a *agent) fetchNextWhole(t *testing.T) {
	t.Helper()
	for range 500 {
		a.fetchNext(t.Context())
		a.mu.Lock()
		isComplete := a.nextFetch != nil && a.nextFetch.complete
		a.mu.Unlock()
		if isComplete {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the next version is not complete")
}

// TestNextVersionIsFetchedBeforeTheSwitch guards against a release that follows another one and
// is fetched only after the engine has switched to the first: all engines then switch to the
// second one within the last second before its bound.
func TestNextVersionIsFetchedBeforeTheSwitch(t *testing.T) {
	c := qt.New(t)
	a, engine := newWaitingAgent(t)
	a.chooseTarget(clock.Now())
	c.Assert(a.target.version, qt.Equals, int64(2))
	a.fetchNextWhole(t)
	c.Assert(a.target.version, qt.Equals, int64(2))
	for chunk := range 4 {
		c.Assert(string(engine.staged[chunk]), qt.Equals, string(chunkOf(2, chunk)), qt.Commentf("the staged version is the target"))
	}
	c.Assert(a.stagingCalls.otherVersionSince(2, clock.Now().Add(-time.Minute)), qt.IsFalse)
	held, _ := a.chunks.bitmap(2)
	c.Assert(held.Count(), qt.Equals, 4)
}

// TestOvertakenVersionIsNotLoaded guards against two switches of an engine where one is enough:
// when the next version is held before the switch to the target, that is left out, within the
// bound of the release that the engine lacks for the longest time.
func TestOvertakenVersionIsNotLoaded(t *testing.T) {
	c := qt.New(t)
	a, engine := newWaitingAgent(t)
	a.settings.Bounds.VersionSwitchTime = 10 * time.Second
	first := a.target.learnedAt
	a.fetchNextWhole(t)
	a.chooseTarget(clock.Now())
	c.Assert(a.target.version, qt.Equals, int64(3))
	c.Assert(a.target.boundFrom(), qt.Equals, first)
	a.startFetch(t.Context(), a.currentTarget())
	verified := a.verifyStagedChunks(t.Context())
	c.Assert(verified.version, qt.Equals, int64(3))
	a.mu.Lock()
	a.members = []swarm.Member{{Name: "10.0.0.2", AvailabilityZone: "z1"}}
	c.Assert(a.maySwitch(first.Add(rollout.SwitchPeriod(10*time.Second))), qt.IsTrue)
	a.mu.Unlock()
	a.loadTarget(t.Context(), verified, loadOrder{})
	c.Assert(engine.orders, qt.HasLen, 1)
	c.Assert(engine.orders[0], qt.Contains, `"Version":3`)
}

// TestRunningSwitchIsNotLeftOut guards against a target that changes while the engine is being
// ordered to load it.
func TestRunningSwitchIsNotLeftOut(t *testing.T) {
	c := qt.New(t)
	a, _ := newWaitingAgent(t)
	a.fetchNextWhole(t)
	a.setSwitching(true)
	a.chooseTarget(clock.Now())
	c.Assert(a.target.version, qt.Equals, int64(2))
}

// TestThirdReleaseReplacesTheNextOne guards against versions that pile up in memory, and against
// the loss of the target's chunks, when releases follow each other faster than engines switch.
func TestThirdReleaseReplacesTheNextOne(t *testing.T) {
	c := qt.New(t)
	a, _ := newWaitingAgent(t)
	a.fetchNextWhole(t)
	a.newestTarget.version = 4
	a.fetchNextWhole(t)
	for version, want := range map[int64]bool{2: true, 3: false, 4: true} {
		_, held := a.chunks.bitmap(version)
		c.Assert(held, qt.Equals, want, qt.Commentf("version %d", version))
	}
}
