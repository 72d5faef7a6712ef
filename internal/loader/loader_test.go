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

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/depot"
	"plantainrelay/internal/swarm"
	"plantainrelay/internal/weights"
	"plantainrelay/platform"
)

const model = "m"

// fakeEngine is an engine with a staging area.
type fakeEngine struct {
	mu     sync.Mutex
	staged map[int][]byte
	report string
	orders []string
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
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
		log:      log.WithField("test", t.Name()), engine: platform.NewEngine(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport),
		holding: newHolding(), stages: newStages(), uploads: depot.NewUploads(0, depot.AgentShare), changed: make(chan struct{}, 1),
		entries: map[string]entrance{}, neighbors: map[string]neighbor{}, pool: pool,
		table:  catalog.New(1, catalog.Limits{}, nil, []catalog.Pool{pool}, nil),
		target: target{model: model, version: 2, seen: clock.Now()},
	}
	a.metrics = newAgentMetrics(a)
	a.settings.Bounds.Switch = time.Hour
	a.holding.add(manifestOf(2, 4))
	return a, engine
}

func (a *agent) holdAll() {
	for chunk := range 4 {
		a.holding.put(2, chunk, chunkOf(2, chunk))
	}
}

func TestOnlyVerifiedChunksAreHeld(t *testing.T) {
	c := qt.New(t)
	h := newHolding()
	h.add(manifestOf(2, 4))
	c.Assert(h.put(2, 0, chunkOf(1, 0)), qt.IsFalse, qt.Commentf("of another version"))
	c.Assert(h.put(2, 4, chunkOf(2, 4)), qt.IsFalse, qt.Commentf("not in the manifest"))
	c.Assert(h.put(9, 0, chunkOf(9, 0)), qt.IsFalse, qt.Commentf("of a version that is not held"))
	c.Assert(h.put(2, 0, chunkOf(2, 0)), qt.IsTrue)
	have, _ := h.have(2)
	c.Assert(have.Count(), qt.Equals, 1)
}

func TestOldestVersionIsDropped(t *testing.T) {
	c := qt.New(t)
	h := newHolding()
	for version := range int64(maxVersions + 1) {
		h.add(manifestOf(version, 1))
	}
	_, found := h.manifest(0)
	c.Assert(found, qt.IsFalse)
	_, found = h.manifest(int64(maxVersions))
	c.Assert(found, qt.IsTrue)
}

// TestRottenChunkIsPutRightBeforeTheOrder guards against loading chunks that were
// corrupted in the staging area.
func TestRottenChunkIsPutRightBeforeTheOrder(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.holdAll()
	engine.staged = map[int][]byte{0: chunkOf(2, 0), 1: []byte("rotten"), 2: chunkOf(1, 2)}
	verified := a.verifyStage(context.Background())
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
	a.holdAll()
	a.stages.begin(1)
	verified := a.verifyStage(t.Context())
	c.Assert(verified.version, qt.Equals, int64(2))
	engine.mu.Lock()
	engine.staged[3] = chunkOf(1, 3)
	engine.mu.Unlock()
	a.switchTo(t.Context(), verified, order{})
	a.stages.end(1, clock.Now())
	a.switchTo(t.Context(), verified, order{})
	c.Assert(engine.orders, qt.HasLen, 0)
	time.Sleep(stageSlack)
	a.switchTo(t.Context(), a.verifyStage(t.Context()), order{})
	c.Assert(engine.orders, qt.HasLen, 1)
	c.Assert(string(engine.staged[3]), qt.Equals, string(chunkOf(2, 3)))
}

// TestOldVerificationStopsTheOrder guards against loading weights that were
// corrupted while the agent was paused between their verification and the order.
func TestOldVerificationStopsTheOrder(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.holdAll()
	verified := a.verifyStage(t.Context())
	verified.at = verified.at.Add(-7 * time.Second)
	a.switchTo(t.Context(), verified, order{})
	c.Assert(engine.orders, qt.HasLen, 0)
}

// TestNothingIsOrderedThatIsNotWhole guards against an order while a chunk is
// missing both in memory and in the staging area.
func TestNothingIsOrderedThatIsNotWhole(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.readReport(context.Background())
	a.holding.put(2, 0, chunkOf(2, 0))
	whole, _ := a.ready(order{}, clock.Now())
	c.Assert(whole, qt.IsFalse)
	c.Assert(a.verifyStage(context.Background()).version, qt.Equals, int64(0))
	c.Assert(engine.orders, qt.HasLen, 0)
}

func TestOrderIsGivenOnceForAStartOfTheEngine(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.holdAll()
	a.readReport(context.Background())
	whole, turn := a.ready(order{}, clock.Now())
	c.Assert(whole && turn, qt.IsTrue)
	given := a.switchTo(context.Background(), verification{version: 2, at: clock.Now()}, order{})
	c.Assert(engine.orders, qt.HasLen, 1)
	c.Assert(strings.Contains(engine.orders[0], `"Version":2`), qt.IsTrue)
	whole, _ = a.ready(given, clock.Now())
	c.Assert(whole, qt.IsFalse, qt.Commentf("the order is still in effect"))
	engine.report = `{"born":6,"Models":[]}`
	a.readReport(context.Background())
	whole, turn = a.ready(given, clock.Now())
	c.Assert(whole && turn, qt.IsTrue, qt.Commentf("the engine has restarted and serves nothing"))
}

func TestEngineThatServesTheTargetGetsNoOrder(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.holdAll()
	engine.report = `{"born":5,"Models":[{"Name":"m","Version":2}]}`
	a.readReport(context.Background())
	whole, _ := a.ready(order{}, clock.Now())
	c.Assert(whole, qt.IsFalse)
}

// TestStreamsMayEndBeforeTheSwitch checks that the order waits for requests in
// progress, and that the agent reports the switch so that entries send no more.
func TestStreamsMayEndBeforeTheSwitch(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.holdAll()
	engine.report = `{"born":5,"Models":[{"Name":"m","Version":1}],"Running":1}`
	a.readReport(context.Background())
	go func() {
		time.Sleep(3 * tick)
		engine.mu.Lock()
		engine.report = `{"born":5,"Models":[{"Name":"m","Version":1}],"Running":0}`
		engine.mu.Unlock()
	}()
	a.switchTo(context.Background(), verification{version: 2, at: clock.Now()}, order{})
	c.Assert(a.isSwitching(), qt.IsTrue)
	c.Assert(engine.orders, qt.HasLen, 1)
	c.Assert(a.report.Running, qt.Equals, 0)
}

// TestReleaseDuringAFetch checks that a nearly complete fetch is finished before
// the target moves to a newer release.
func TestReleaseDuringAFetch(t *testing.T) {
	c := qt.New(t)
	a, _ := newTestAgent(t)
	a.report = platform.Report{Born: 5, Loaded: 1}
	half := weights.NewBitmap(4)
	half.Set(0)
	half.Set(1)
	a.fetching = &distribution{target: a.target, plan: swarm.NewCascade(cascade, 4, half), lastAt: clock.Now()}
	a.newest = target{model: model, version: 3, seen: clock.Now()}
	a.chooseTarget(clock.Now())
	c.Assert(a.target.version, qt.Equals, int64(2))
	a.report.Loaded = 2
	a.chooseTarget(clock.Now())
	c.Assert(a.target.version, qt.Equals, int64(3))
}

// TestServedVersionIsNotHeldTwice checks that chunks of the served version are
// dropped from memory and served to other agents from the engine's staging area.
func TestServedVersionIsNotHeldTwice(t *testing.T) {
	c := qt.New(t)
	a, _ := newTestAgent(t)
	for chunk := range 4 {
		c.Assert(a.engine.Stage(t.Context(), model, chunk, chunkOf(2, chunk)), qt.IsNil)
		a.holding.put(2, chunk, chunkOf(2, chunk))
	}
	a.fetching = &distribution{target: a.target}
	a.settle(t.Context(), a.target)
	c.Assert(a.fetching, qt.IsNil)
	have, found := a.holding.have(2)
	c.Assert(found, qt.IsTrue, qt.Commentf("the manifest stays"))
	c.Assert(have.Count(), qt.Equals, 0)
	service := &Service{agent: a}
	var reply depot.ChunkReply
	args := depot.ChunkArgs{VersionArgs: depot.VersionArgs{Model: model, Version: 2}, Chunk: 3}
	c.Assert(service.Chunk(args, &reply), qt.IsNil)
	c.Assert(string(reply.Data), qt.Equals, string(chunkOf(2, 3)))
	c.Assert(a.engine.Stage(t.Context(), model, 3, []byte("spoilt")), qt.IsNil)
	c.Assert(service.Chunk(args, &reply), qt.IsNotNil)
}
