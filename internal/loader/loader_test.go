package loader

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/depot"
	"plantainrelay/internal/swarm"
	"plantainrelay/internal/weights"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

const model = "m"

// fakeEngine is an engine with a staging area.
type fakeEngine struct {
	mu     sync.Mutex
	staged map[int][]byte
	report string
	orders []string
	// leaving makes all responses say that the engine leaves.
	leaving bool
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		w.Header().Set(standin.HeaderLeaving, "1")
	}
	chunk, _ := strconv.Atoi(r.URL.Query().Get("ItemCount"))
	body, _ := io.ReadAll(r.Body)
	switch {
	case r.URL.Path == "/v1/report":
		fmt.Fprint(w, e.report)
	case r.URL.Path == "/v1/order":
		e.orders = append(e.orders, string(body))
		w.WriteHeader(http.StatusAccepted)
	case strings.HasPrefix(r.URL.Path, "/v1/stage-put/"):
		e.staged[chunk] = body
	case strings.HasPrefix(r.URL.Path, "/v1/stage-get/"):
		data, found := e.staged[chunk]
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(data)
	}
}

func chunkOf(version int64, chunk int) []byte {
	return fmt.Appendf(nil, "version %d, chunk %d", version, chunk)
}

func manifestOf(version int64, chunks int) platform.Manifest {
	manifest := platform.Manifest{Model: model, Version: version}
	for chunk := range chunks {
		manifest.Digests = append(manifest.Digests, weights.DigestOf(chunkOf(version, chunk)))
	}
	return manifest
}

// newTestAgent returns an agent with a fake engine whose target is version 2, which
// has four chunks.
func newTestAgent(t *testing.T) (*agent, *fakeEngine) {
	t.Helper()
	engine := &fakeEngine{staged: map[int][]byte{}, report: `{"born":5,"Models":[{"Name":"m","Version":1}]}`}
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := catalog.Pool{Name: "s", Engine: &catalog.Engine{Model: model, Chunks: 4, Layers: 1}}
	a := &agent{
		settings: platform.Settings{IP: "10.0.0.1", AvailabilityZone: "z1"},
		log:      log.WithField("test", t.Name()), engine: platform.NewEngineClient(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport),
		chunks: newChunkStore(), stagingCalls: newStagingCalls(), uploads: depot.NewUploadLimiter(0, depot.AgentShare), stagedReads: semaphore.NewWeighted(maxStagedReadBytes), sendNow: make(chan struct{}, 1),
		entries: map[string]entryState{}, neighbors: map[string]neighbor{}, pool: pool,
		table:  catalog.New(1, catalog.Limits{}, nil, []catalog.Pool{pool}, nil),
		target: target{model: model, version: 2, learnedAt: clock.Now()},
	}
	a.metrics = newAgentMetrics(a)
	a.settings.Bounds.VersionSwitchTime = time.Hour
	a.chunks.addVersion(manifestOf(2, 4))
	return a, engine
}

func (a *agent) putAllChunks() {
	for chunk := range 4 {
		a.chunks.put(2, chunk, chunkOf(2, chunk))
	}
}

func TestOnlyVerifiedChunksAreHeld(t *testing.T) {
	c := qt.New(t)
	store := newChunkStore()
	store.addVersion(manifestOf(2, 4))
	c.Assert(store.put(2, 0, chunkOf(1, 0)), qt.Equals, corrupt, qt.Commentf("of another version"))
	c.Assert(store.put(2, 4, chunkOf(2, 4)), qt.Equals, corrupt, qt.Commentf("not in the manifest"))
	c.Assert(store.put(9, 0, chunkOf(9, 0)), qt.Equals, versionNotHeld, qt.Commentf("of a version that is not held"))
	c.Assert(store.put(2, 0, chunkOf(2, 0)), qt.Equals, stored)
	have, _ := store.bitmap(2)
	c.Assert(have.Count(), qt.Equals, 1)
}

func TestOldestVersionIsDropped(t *testing.T) {
	c := qt.New(t)
	store := newChunkStore()
	for version := range int64(maxVersions + 1) {
		store.addVersion(manifestOf(version, 1))
	}
	_, found := store.manifest(0)
	c.Assert(found, qt.IsFalse)
	_, found = store.manifest(int64(maxVersions))
	c.Assert(found, qt.IsTrue)
}

// TestCorruptStagedChunkIsReplacedBeforeTheOrder guards against loading chunks that
// were corrupted in the staging area.
func TestCorruptStagedChunkIsReplacedBeforeTheOrder(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.putAllChunks()
	engine.staged = map[int][]byte{0: chunkOf(2, 0), 1: []byte("corrupt"), 2: chunkOf(1, 2)}
	verified := a.verifyStagedChunks(context.Background())
	c.Assert(verified.version, qt.Equals, int64(2))
	for chunk := range 4 {
		c.Check(string(engine.staged[chunk]), qt.Equals, string(chunkOf(2, chunk)))
	}
}

// TestLateChunkOfAnEarlierVersionStopsTheOrder guards against loading weights with
// a chunk of another version: a call that stages one is still in progress when a
// newer version is verified.
func TestLateChunkOfAnEarlierVersionStopsTheOrder(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.putAllChunks()
	a.stagingCalls.begin(1, clock.Now())
	verified := a.verifyStagedChunks(t.Context())
	c.Assert(verified.version, qt.Equals, int64(2))
	engine.mu.Lock()
	engine.staged[3] = chunkOf(1, 3)
	engine.mu.Unlock()
	a.loadTarget(t.Context(), verified, loadOrder{})
	a.stagingCalls.end(1, false, clock.Now())
	a.loadTarget(t.Context(), verified, loadOrder{})
	c.Assert(engine.orders, qt.HasLen, 0)
	a.readReport(t.Context())
	time.Sleep(maxStagingDelay)
	a.loadTarget(t.Context(), a.verifyStagedChunks(t.Context()), loadOrder{})
	c.Assert(engine.orders, qt.HasLen, 1)
	c.Assert(string(engine.staged[3]), qt.Equals, string(chunkOf(2, 3)))
}

// TestOldVerificationStopsTheOrder guards against loading weights that were
// corrupted while the agent was paused between their verification and the order.
func TestOldVerificationStopsTheOrder(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.putAllChunks()
	verified := a.verifyStagedChunks(t.Context())
	verified.at = verified.at.Add(-7 * time.Second)
	a.loadTarget(t.Context(), verified, loadOrder{})
	c.Assert(engine.orders, qt.HasLen, 0)
}

// TestTargetChangeAfterTheVerificationStopsTheOrder guards against an order to load a
// version whose staged chunks have not been verified: the target moves on between the
// verification of its chunks and the order.
func TestTargetChangeAfterTheVerificationStopsTheOrder(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.putAllChunks()
	verified := a.verifyStagedChunks(t.Context())
	a.target = target{model: model, version: 3, learnedAt: clock.Now()}
	a.loadTarget(t.Context(), verified, loadOrder{})
	c.Assert(engine.orders, qt.HasLen, 0)
}

// TestStoppedAgentDoesNotWaitForTheDrain checks that an agent that stops during a
// switch neither waits for the engine's requests nor sends the order.
func TestStoppedAgentDoesNotWaitForTheDrain(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.putAllChunks()
	engine.report = `{"born":5,"Models":[{"Name":"m","Version":1}],"Running":1}`
	a.readReport(t.Context())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	a.loadTarget(ctx, verification{version: 2, at: clock.Now()}, loadOrder{})
	c.Assert(engine.orders, qt.HasLen, 0)
	c.Assert(a.isSwitching(), qt.IsFalse)
}

// TestStagedWeightsAreReadOnceBeforeTheOrder covers the restart of an engine whose weights
// are still staged: reading them verifies them, unless one does not match.
func TestStagedWeightsAreReadOnceBeforeTheOrder(t *testing.T) {
	for name, corrupted := range map[string]bool{"complete": false, "one corrupt": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a, engine := newTestAgent(t)
			for chunk := range 4 {
				engine.staged[chunk] = chunkOf(2, chunk)
			}
			if corrupted {
				engine.staged[3] = chunkOf(1, 3)
			}
			began := clock.Now()
			a.startFetch(t.Context(), a.target)
			staged := a.stagedVerification()
			if corrupted {
				c.Assert(staged, qt.Equals, verification{})
				return
			}
			c.Assert(staged.version, qt.Equals, int64(2))
			c.Assert(staged.at.Before(began), qt.IsFalse)
			c.Assert(a.stillValid(staged), qt.IsTrue)
		})
	}
}

// TestChunkOfARemovedVersionIsNotCorrupt guards against fetching a correct manifest
// again: chunks that arrive after their version was removed say nothing about their
// source.
func TestChunkOfARemovedVersionIsNotCorrupt(t *testing.T) {
	c := qt.New(t)
	a, _ := newTestAgent(t)
	origin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		chunk, _ := strconv.Atoi(r.URL.Query().Get("ItemCount"))
		_, _ = w.Write(chunkOf(2, chunk))
	}))
	t.Cleanup(origin.Close)
	a.origin = platform.NewOriginClient(http.DefaultTransport)
	a.table = catalog.New(1, catalog.Limits{}, nil, []catalog.Pool{{Name: "s", Origin: strings.TrimPrefix(origin.URL, "http://"), Engine: &catalog.Engine{Model: model}}}, nil)
	f := &versionFetch{target: a.target}
	a.chunks.removeVersion(2)
	c.Assert(a.fetchChunk(t.Context(), f, swarm.Fetch{Chunk: 1, Source: swarm.Origin}), qt.Equals, swarm.Failed)
}

// TestNoOrderForAnIncompleteVersion guards against an order while a chunk is
// missing both in memory and in the staging area.
func TestNoOrderForAnIncompleteVersion(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.readReport(context.Background())
	a.chunks.put(2, 0, chunkOf(2, 0))
	complete, _ := a.mayLoad(loadOrder{}, clock.Now())
	c.Assert(complete, qt.IsFalse)
	c.Assert(a.verifyStagedChunks(context.Background()).version, qt.Equals, int64(0))
	c.Assert(engine.orders, qt.HasLen, 0)
}

func TestOrderIsSentOncePerEngineStart(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.putAllChunks()
	a.readReport(context.Background())
	complete, allowed := a.mayLoad(loadOrder{}, clock.Now())
	c.Assert(complete && allowed, qt.IsTrue)
	sent := a.loadTarget(context.Background(), verification{version: 2, at: clock.Now()}, loadOrder{})
	c.Assert(engine.orders, qt.HasLen, 1)
	c.Assert(strings.Contains(engine.orders[0], `"Version":2`), qt.IsTrue)
	complete, _ = a.mayLoad(sent, clock.Now())
	c.Assert(complete, qt.IsFalse, qt.Commentf("the order is still in effect"))
	engine.report = `{"born":6,"Models":[]}`
	a.readReport(context.Background())
	complete, allowed = a.mayLoad(sent, clock.Now())
	c.Assert(complete && allowed, qt.IsTrue, qt.Commentf("the engine has restarted and serves nothing"))
}

func TestNoOrderForAnEngineThatServesTheTarget(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.putAllChunks()
	engine.report = `{"born":5,"Models":[{"Name":"m","Version":2}]}`
	a.readReport(context.Background())
	complete, _ := a.mayLoad(loadOrder{}, clock.Now())
	c.Assert(complete, qt.IsFalse)
}

// TestRequestsDrainBeforeTheSwitch checks that the order waits for requests in
// progress, and that the agent reports the switch so that entries send no more.
func TestRequestsDrainBeforeTheSwitch(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.putAllChunks()
	engine.report = `{"born":5,"Models":[{"Name":"m","Version":1}],"Running":1}`
	a.readReport(context.Background())
	go func() {
		time.Sleep(3 * pollInterval)
		engine.mu.Lock()
		engine.report = `{"born":5,"Models":[{"Name":"m","Version":1}],"Running":0}`
		engine.mu.Unlock()
	}()
	a.loadTarget(context.Background(), verification{version: 2, at: clock.Now()}, loadOrder{})
	c.Assert(a.isSwitching(), qt.IsTrue)
	c.Assert(engine.orders, qt.HasLen, 1)
	c.Assert(a.report.Running, qt.Equals, 0)
}

// TestNearlyCompleteFetchIsFinishedFirst checks that a nearly complete fetch is
// finished before the target moves to a newer release.
func TestNearlyCompleteFetchIsFinishedFirst(t *testing.T) {
	c := qt.New(t)
	a, _ := newTestAgent(t)
	a.report = platform.EngineReport{Start: 5, LoadedVersion: 1}
	held := weights.NewBitmap(4)
	held.Set(0)
	held.Set(1)
	a.fetchInProgress = &versionFetch{target: a.target, plan: swarm.NewTieredPlan(fetchConfig, 4, held), lastChunkAt: clock.Now()}
	a.newestTarget = target{model: model, version: 3, learnedAt: clock.Now()}
	a.chooseTarget(clock.Now())
	c.Assert(a.target.version, qt.Equals, int64(2))
	a.report.LoadedVersion = 2
	a.chooseTarget(clock.Now())
	c.Assert(a.target.version, qt.Equals, int64(3))
}

// TestServedVersionIsReadFromTheStagingArea checks that chunks of the served
// version are dropped from memory and served to other agents from the engine's
// staging area.
func TestServedVersionIsReadFromTheStagingArea(t *testing.T) {
	c := qt.New(t)
	a, _ := newTestAgent(t)
	for chunk := range 4 {
		c.Assert(a.engine.Stage(t.Context(), model, chunk, chunkOf(2, chunk)), qt.IsNil)
		a.chunks.put(2, chunk, chunkOf(2, chunk))
	}
	a.fetchInProgress = &versionFetch{target: a.target}
	a.dropFetchedChunks(t.Context(), a.target)
	c.Assert(a.fetchInProgress, qt.IsNil)
	have, found := a.chunks.bitmap(2)
	c.Assert(found, qt.IsTrue, qt.Commentf("the manifest stays"))
	c.Assert(have.Count(), qt.Equals, 0)
	service := &Service{agent: a}
	var reply depot.ChunkReply
	args := depot.ChunkArgs{VersionArgs: depot.VersionArgs{Model: model, Version: 2}, Chunk: 3}
	c.Assert(service.Chunk(args, &reply), qt.IsNil)
	c.Assert(string(reply.Data), qt.Equals, string(chunkOf(2, 3)))
	c.Assert(a.engine.Stage(t.Context(), model, 3, []byte("corrupt")), qt.IsNil)
	c.Assert(service.Chunk(args, &reply), qt.IsNotNil)
}
