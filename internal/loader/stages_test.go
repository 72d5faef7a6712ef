package loader

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/clock"
	"plantainrelay/platform"
)

// TestNoChunkOfAnotherVersionIsStagedDuringAnOrder guards against an engine that loads a chunk
// of another version, because the target changes after the order to load was sent and before
// the engine has accepted it, or while it is not known whether it has.
func TestNoChunkOfAnotherVersionIsStagedDuringAnOrder(t *testing.T) {
	for name, isAnswered := range map[string]bool{"answered": true, "no answer": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a, engine := newTestAgent(t)
			a.putAllChunks()
			ordered, accept := make(chan struct{}), make(chan struct{})
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/order" && calls.Add(1) == 1 {
					close(ordered)
					<-accept
				}
				if r.URL.Path == "/v1/order" && !isAnswered {
					panic(http.ErrAbortHandler)
				}
				engine.ServeHTTP(w, r)
			}))
			t.Cleanup(server.Close)
			a.engine = platform.NewEngineClient(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport)
			a.readReport(t.Context())
			verified := a.verifyStagedChunks(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				a.loadTarget(t.Context(), verified, loadOrder{})
			}()
			<-ordered
			next := target{model: model, version: 3, learnedAt: clock.Now()}
			a.mu.Lock()
			a.target = next
			a.mu.Unlock()
			a.stageChunk(context.Background(), next, 0, chunkOf(3, 0))
			c.Check(engine.stagedChunk(0), qt.Equals, string(chunkOf(2, 0)))
			close(accept)
			<-done
			a.stageChunk(context.Background(), next, 0, chunkOf(3, 0))
			if !isAnswered {
				// The engine may accept the order until its report shows another state.
				a.readReport(t.Context())
				time.Sleep(2 * maxStagingDelay)
				a.stageChunk(context.Background(), next, 0, chunkOf(3, 0))
				c.Check(engine.stagedChunk(0), qt.Equals, string(chunkOf(2, 0)))
				engine.setReport(`{"born":5,"Seq":1,"Busy":true}`)
				a.readReport(t.Context())
				a.stageChunk(context.Background(), next, 0, chunkOf(3, 0))
			}
			c.Check(engine.stagedChunk(0), qt.Equals, string(chunkOf(3, 0)))
		})
	}
}

// TestOrderAcceptedLateLoadsOneVersion guards against an engine that loads chunks of two
// versions: it is silent when its order arrives and accepts it long after the agent has given
// up the call, while a newer version has been released and fetched.
func TestOrderAcceptedLateLoadsOneVersion(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.putAllChunks()
	arrived, accept := make(chan struct{}), make(chan struct{})
	accepted := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/order" {
			close(arrived)
			<-accept
			engine.setReport(`{"born":5,"Seq":1,"Busy":true}`)
			close(accepted)
			return
		}
		engine.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	a.engine = platform.NewEngineClient(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport)
	a.readReport(t.Context())
	a.loadTarget(t.Context(), a.verifyStagedChunks(t.Context()), loadOrder{})
	<-arrived

	a.chunks.addVersion(manifestOf(3, 4))
	a.newestTarget = target{model: model, version: 3, isReleased: true, learnedAt: clock.Now()}
	stageNext := func() {
		a.mu.Lock()
		a.chooseTarget(clock.Now())
		a.mu.Unlock()
		for chunk := range 4 {
			a.chunks.put(3, chunk, chunkOf(3, chunk))
			a.stageChunk(t.Context(), a.newestTarget, chunk, chunkOf(3, chunk))
		}
	}
	for range 4 {
		a.readReport(t.Context())
		time.Sleep(maxStagingDelay / 2)
		stageNext()
	}
	for chunk := range 4 {
		c.Check(engine.stagedChunk(chunk), qt.Equals, string(chunkOf(2, chunk)), qt.Commentf("before the order is accepted"))
	}
	close(accept)
	<-accepted
	a.readReport(t.Context())
	stageNext()
	for chunk := range 4 {
		c.Check(engine.stagedChunk(chunk), qt.Equals, string(chunkOf(3, chunk)), qt.Commentf("after the order was accepted"))
	}
}

// TestOrderIsSentWithTheOrdersOfTheReport guards against an order that the engine accepts
// although it has accepted a later one: the engine compares the number of its orders.
func TestOrderIsSentWithTheOrdersOfTheReport(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.putAllChunks()
	engine.setReport(`{"born":5,"Seq":7}`)
	a.readReport(t.Context())
	a.loadTarget(t.Context(), a.verifyStagedChunks(t.Context()), loadOrder{})
	c.Assert(engine.orders, qt.HasLen, 1)
	c.Assert(engine.orders[0], qt.Contains, `"Precondition":7`)
}

// TestUnansweredOrderIsSentAgain guards against an engine that keeps its old weights: the order
// got lost, and the agent waits for its effect while a newer version is known.
func TestUnansweredOrderIsSentAgain(t *testing.T) {
	c := qt.New(t)
	a, _ := newTestAgent(t)
	a.putAllChunks()
	a.readReport(t.Context())
	verified := a.verifyStagedChunks(t.Context())
	c.Assert(a.stagingCalls.beginOrder(2, verified.at, a.report), qt.IsTrue)
	a.stagingCalls.endOrder(false)
	a.newestTarget = target{model: model, version: 3, isReleased: true, learnedAt: clock.Now()}
	a.readReport(t.Context())
	a.chooseTarget(clock.Now())
	complete, allowed := a.mayLoad(loadOrder{version: 2, engineStart: 5, sentAt: clock.Now().Add(-orderTimeout)}, clock.Now())
	c.Assert(complete && allowed, qt.IsTrue)
	c.Assert(a.target.version, qt.Equals, int64(2))
}

// TestSilentEngineExecutesStagingCallsLate guards against a verified chunk that is overwritten
// by a chunk of another version: the call timed out in a silence of the engine, and the
// silence lasts longer than any fixed delay.
func TestSilentEngineExecutesStagingCallsLate(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.putAllChunks()
	a.stagingCalls.begin(1, clock.Now())
	a.stagingCalls.end(1, false, clock.Now())
	time.Sleep(2 * maxStagingDelay)
	verified := a.verifyStagedChunks(t.Context())
	a.loadTarget(t.Context(), verified, loadOrder{})
	c.Assert(engine.orders, qt.HasLen, 0)
	// The silence has ended.
	a.readReport(t.Context())
	time.Sleep(maxStagingDelay)
	a.loadTarget(t.Context(), a.verifyStagedChunks(t.Context()), loadOrder{})
	c.Assert(engine.orders, qt.HasLen, 1)
}

// TestStagingCallIsNotGivenUp guards against a chunk of an earlier version that is staged after
// the verification of a later one: the caller gave the call up, and the engine executes it.
func TestStagingCallIsNotGivenUp(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.putAllChunks()
	var isLate atomic.Bool
	isLate.Store(true)
	execute, executed := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/stage-put/") && isLate.CompareAndSwap(true, false) {
			<-execute
			defer close(executed)
		}
		engine.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	a.engine = platform.NewEngineClient(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport)
	a.target.version = 1
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	a.stageChunk(ctx, a.currentTarget(), 0, chunkOf(1, 0))
	a.mu.Lock()
	a.target.version = 2
	a.mu.Unlock()
	a.readReport(t.Context())
	time.Sleep(2 * maxStagingDelay)
	verified := a.verifyStagedChunks(t.Context())
	a.loadTarget(t.Context(), verified, loadOrder{})
	c.Assert(engine.orders, qt.HasLen, 0)
	close(execute)
	<-executed
	for len(engine.orders) == 0 {
		a.loadTarget(t.Context(), a.verifyStagedChunks(t.Context()), loadOrder{})
	}
	c.Assert(engine.stagedChunk(0), qt.Equals, string(chunkOf(2, 0)))
}

// TestRestartedAgentWaitsForEarlierCalls guards against an order of an earlier agent that the
// engine accepts while its successor stages another version.
func TestRestartedAgentWaitsForEarlierCalls(t *testing.T) {
	c := qt.New(t)
	a, engine := newTestAgent(t)
	a.stagingCalls.assumeEarlierCalls(clock.Now())
	a.stageChunk(t.Context(), a.target, 0, chunkOf(2, 0))
	a.readReport(t.Context())
	a.stageChunk(t.Context(), a.target, 0, chunkOf(2, 0))
	c.Assert(engine.stagedChunk(0), qt.Equals, "")
	time.Sleep(maxStagingDelay)
	a.stageChunk(t.Context(), a.target, 0, chunkOf(2, 0))
	c.Assert(engine.stagedChunk(0), qt.Equals, string(chunkOf(2, 0)))
}

func (e *fakeEngine) setReport(report string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report = report
}

func (e *fakeEngine) stagedChunk(chunk int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return string(e.staged[chunk])
}
