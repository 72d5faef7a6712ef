package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/blocklist"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

const (
	modelPool = "engines"
	modelName = "model"
	crashPart = "bad0cafe"
	firstPart = "f1257000"
	// crashSpacing is the time between two requests that crash instances, so that their
	// crashes are not simultaneous.
	crashSpacing = 350 * time.Millisecond
)

// engineFixture is a frontend before model engines that crash when they begin to respond
// to a request with crashPart among its shared parts.
type engineFixture struct {
	*fixture
	table   standin.Table
	engines []*standin.Backend
	configs []standin.BackendConfig
	crashes atomic.Int64
	// arrivals counts the requests that have reached an engine.
	arrivals atomic.Int64
}

func newEngineFixture(t *testing.T, count int, modifiers ...func(*standin.BackendConfig)) *engineFixture {
	t.Helper()
	f := &engineFixture{fixture: newFixture(t)}
	go f.frontend.scheduler.Run(t.Context())
	go f.evaluateBlocks(t.Context())
	weights := standin.Weights{Model: modelName, Chunks: 1, ChunkBytes: 8, Layers: 1}
	f.table = standin.Table{
		Version: 4, Keys: map[string][]string{"firm": {"good"}},
		Routes: []standin.Route{{Name: "write", Host: testHost, PathPrefix: "/write/", Pool: modelPool, Kind: standin.Streaming, Timeout: 3 * time.Second, Objective: 500 * time.Millisecond}},
		Pools:  []standin.Pool{{Name: modelPool, Slots: 8, Weights: &weights}},
	}
	f.renewTables()
	for i := range count {
		f.addEngine(t, "i-"+strconv.Itoa(i), 1, modifiers...)
	}
	f.list(count)
	return f
}

// addEngine starts an engine with a version of the weights, which is not listed.
func (f *engineFixture) addEngine(t *testing.T, id string, version int64, modifiers ...func(*standin.BackendConfig)) {
	t.Helper()
	f.addEngineAt(t, "127.0.0.1", id, version, modifiers...)
}

// addEngineAt does so on a loopback address.
func (f *engineFixture) addEngineAt(t *testing.T, ip, id string, version int64, modifiers ...func(*standin.BackendConfig)) {
	t.Helper()
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	config := standin.BackendConfig{
		ID: id, Pool: modelPool, Address: listener.Addr().String(), Slots: 8, Weights: f.table.Pools[0].Weights, CrashPart: crashPart,
		OnStart: func(standin.Execution) {}, OnArrival: func(standin.Arrival) { f.arrivals.Add(1) }, BeforeCrash: func(string) { f.crashes.Add(1) },
	}
	for _, modify := range modifiers {
		modify(&config)
	}
	engine := standin.NewBackend(config, version, nil)
	go engine.Serve(listener)
	t.Cleanup(func() { engine.Stop() })
	f.engines, f.configs = append(f.engines, engine), append(f.configs, config)
}

// evaluateBlocks does what the heartbeats of an entry do for its blocks.
func (f *engineFixture) evaluateBlocks(ctx context.Context) {
	for ctx.Err() == nil {
		f.frontend.blocker.evaluate(clock.Now())
		clock.Sleep(ctx, heartbeatInterval)
	}
}

// list makes the first engines those of the platform's list.
func (f *engineFixture) list(count int) {
	backends := map[string]any{}
	for i, engine := range f.engines[:count] {
		backends["i-"+strconv.Itoa(i)] = engine.Document()
	}
	f.apply(platform.Backends, backends)
}

// renewTables makes the tables current again, without which no request with a key is served.
func (f *engineFixture) renewTables() {
	f.apply(platform.Tables, map[string]any{platform.TableName: f.table.Encode()})
}

// apply replaces the documents of a collection.
func (f *engineFixture) apply(kind platform.Kind, documents map[string]any) {
	revision := replica.Revision{Number: f.frontend.view.copies.AsOf(kind).Number + 1}
	change := replica.Change{Whole: true, AsOf: revision}
	for name, document := range documents {
		change.Documents = append(change.Documents, replica.Document{Name: name, Revision: revision, Body: standin.EncodeDocument(document)})
	}
	f.frontend.view.copies.ApplyFromPeer(kind, change, clock.Now(), "peer")
}

// write sends a request for a stream whose prompt has the given shared parts.
func (f *engineFixture) write(attempt string, events int, parts ...string) (*http.Response, string, error) {
	return f.writeWithin(2500*time.Millisecond, attempt, events, parts...)
}

func (f *engineFixture) writeWithin(limit time.Duration, attempt string, events int, parts ...string) (*http.Response, string, error) {
	return f.do(http.MethodPost, "/write/x", func(request *http.Request) {
		standin.CallerRequest{AttemptID: attempt, APIKey: "good", Events: events, TimeLeft: limit, Parts: append(parts, "own-"+attempt)}.SetHeaders(request.Header)
	})
}

// TestPromptPartThatCrashesInstancesIsBlocked guards against requests that crash one
// instance after the other, because each of them is sent to another one and the next
// request with the same part of the prompt is, too (incident 0003).
func TestPromptPartThatCrashesInstancesIsBlocked(t *testing.T) {
	const bound = 5
	checkPartIsBlocked(t, bound)
}

func checkPartIsBlocked(t *testing.T, bound int64, modifiers ...func(*standin.BackendConfig)) {
	t.Helper()
	c := qt.New(t)
	const instances, requests = 14, 20
	f := newEngineFixture(t, instances, modifiers...)
	for i := range requests {
		f.renewTables()
		_, _, _ = f.write(fmt.Sprintf("crash-%d", i), 5, firstPart, crashPart)
		time.Sleep(crashSpacing)
	}
	c.Assert(f.crashes.Load() <= bound, qt.IsTrue, qt.Commentf("%d of %d instances have crashed", f.crashes.Load(), instances))
	response, _, err := f.write("sound", 5, firstPart)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
}

// crashBeforeHeader makes instances crash before the header of a response.
func crashBeforeHeader(config *standin.BackendConfig) { config.CrashBeforeHeader = true }

// TestCrashBeforeTheHeaderIsEvidence guards against requests that crash one instance after
// the other because no byte of a response reaches the entry before (incident 0005). The
// first of them is sent to a second instance.
func TestCrashBeforeTheHeaderIsEvidence(t *testing.T) {
	const bound = 6
	checkPartIsBlocked(t, bound, crashBeforeHeader)
}

// TestCrashLongAfterTheHeaderIsEvidence guards against requests that crash one instance after the
// other because the instances send the header of a response long before its content: the
// header is not the beginning (review/9).
func TestCrashLongAfterTheHeaderIsEvidence(t *testing.T) {
	const bound = 6
	checkPartIsBlocked(t, bound, func(config *standin.BackendConfig) { config.CrashDelay = 290 * time.Millisecond })
}

// TestPendingRequestsAreSentAgainAfterACrash guards against sound requests that are given up
// because they wait for a response of an instance that crashes, though nothing else speaks
// against their parts, and against such a request that goes on from crash to crash.
func TestPendingRequestsAreSentAgainAfterACrash(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(t, 3, crashBeforeHeader)
	f.list(1)
	f.engines[0].SetFaults(standin.BackendFaults{Hang: true})
	done := make(chan int, 1)
	go func() {
		response, _, err := f.write("sound", 5, "unknown")
		if err != nil {
			done <- 0
			return
		}
		done <- response.StatusCode
	}()
	waitUntil(c, func() bool { return f.arrivals.Load() == 1 })
	f.list(3)
	f.engines[0].Crash()
	c.Assert(<-done, qt.Equals, http.StatusOK)
	c.Assert(f.frontend.blocker.list.SuspectedParts(), qt.Equals, 0, qt.Commentf("its response clears the part"))

	response, _, err := f.write("crash", 5, crashPart)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	c.Assert(f.crashes.Load(), qt.Equals, int64(2), qt.Commentf("the second crash speaks against the part"))
}

// TestSuspectedRequestIsNotSentAgain guards against a request that crashes a second instance
// because the first one has not answered it, and against a sound one that is not sent again
// because it was on the same instance.
func TestSuspectedRequestIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(t, 4)
	f.list(1)
	_, _, err := f.write("before", 5, firstPart)
	c.Assert(err, qt.IsNil)
	statuses := make(chan int, 2)
	send := func(attempt string, events int, parts ...string) {
		response, body, err := f.write(attempt, events, parts...)
		if err != nil || strings.Count(body, "id: ") < events {
			statuses <- 0
			return
		}
		statuses <- response.StatusCode
	}
	f.engines[0].SetFaults(standin.BackendFaults{SlowFactor: 4})
	go send("crash", 5, firstPart, crashPart)
	waitUntil(c, func() bool { return f.arrivals.Load() == 2 })
	go send("sound", 6, firstPart)
	waitUntil(c, func() bool { return f.arrivals.Load() == 3 })
	f.list(4)
	c.Assert([]int{<-statuses, <-statuses}, qt.ContentEquals, []int{0, http.StatusOK})
	c.Assert(f.crashes.Load(), qt.Equals, int64(1))
}

// born returns the start time of an engine in the list.
func (f *engineFixture) born(engine int) int64 {
	document := replica.Document{Name: "x", Body: standin.EncodeDocument(f.engines[engine].Document())}
	backend, _ := platform.DecodeBackend(document, f.frontend.view.table())
	return backend.Start
}

// block blocks crashPart, as another entry has decided.
func (f *engineFixture) block() {
	f.frontend.blocker.adopt([]blocklist.Record{{Part: blocklist.Part{Model: modelName, ID: crashPart}, Version: 1, Crashes: 4}}, "peer")
}

// TestBlockedRequestIsRefusedAtOnce guards against requests with a blocked part that take an
// instance, a place in the queue or a retry, and against an answer that is not true.
func TestBlockedRequestIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(t, 2)
	f.block()
	for i := range 50 {
		response, body, err := f.write(strconv.Itoa(i), 5, crashPart, firstPart)
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(response.Header.Get(standin.HeaderWait), qt.Equals, "60.00")
		c.Assert(strings.Contains(body, reasonBlocked), qt.IsTrue, qt.Commentf(body))
	}
	c.Assert(f.arrivals.Load(), qt.Equals, int64(0))
	c.Assert(f.frontend.scheduler.retryBudgets, qt.HasLen, 0)
	c.Assert(f.frontend.scheduler.queues, qt.HasLen, 0)
	// The part is not the request's own, and not one of another model.
	for _, parts := range [][]string{{}, {firstPart}} {
		response, _, err := f.do(http.MethodPost, "/write/x", func(request *http.Request) {
			standin.CallerRequest{AttemptID: "own", APIKey: "good", Events: 2, TimeLeft: time.Second, Parts: append(parts, crashPart)}.SetHeaders(request.Header)
		})
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	}
}

// TestBlockEndsRequestsWithoutAResponse guards against requests that crash instances after
// their part is blocked, because they are queued or on their way, and against the claim
// that one which an instance has received has not run.
func TestBlockEndsRequestsWithoutAResponse(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(t, 1)
	f.engines[0].SetFaults(standin.BackendFaults{Hang: true})
	// The fixture has no description of engines, so that each takes requests for its slots twice.
	const slots = 16
	statuses := make(chan int, slots+1)
	for i := range slots + 1 {
		go func() {
			response, _, err := f.write(strconv.Itoa(i), 5, crashPart)
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
	}
	waitUntil(c, func() bool { return f.arrivals.Load() == slots && f.frontend.scheduler.queuedRequests(modelPool) == 1 })
	f.block()
	counts := map[int]int{}
	for range slots + 1 {
		counts[<-statuses]++
	}
	c.Assert(counts, qt.DeepEquals, map[int]int{http.StatusBadGateway: slots, http.StatusServiceUnavailable: 1})
	waitUntil(c, func() bool { return f.frontend.scheduler.ownLoad("i-0").Count == 0 })
	usable, _ := f.frontend.scheduler.fleet.Usable(placement.Requirements{Pool: modelPool, Model: modelName}, clock.Now())
	c.Assert(usable, qt.Equals, 1, qt.Commentf("the instance counts as sound"))
}

// TestOrdinaryEndsAreNoEvidence guards against suspicion of parts because of what happens to
// connections and instances in operation.
func TestOrdinaryEndsAreNoEvidence(t *testing.T) {
	for name, fail := range map[string]func(f *engineFixture){
		"connections reset": func(f *engineFixture) { f.engines[0].ResetConnections() },
		"planned end": func(f *engineFixture) {
			f.engines[0].SetLeaving()
			f.list(1)
			f.engines[0].Crash()
		},
		"planned end that a response has told": func(f *engineFixture) {
			f.frontend.recordLeaving([]placement.InstanceStart{{ID: "i-0", Start: f.born(0)}}, "peer")
			f.engines[0].Crash()
		},
		"pause of the entry": func(f *engineFixture) {
			f.pauseEnded(clock.Now())
			f.engines[0].Crash()
		},
	} {
		for phase, faults := range map[string]standin.BackendFaults{"responding": {SlowFactor: 6}, "before the header": {Hang: true}} {
			t.Run(name+", "+phase, func(t *testing.T) {
				c := qt.New(t)
				f := newEngineFixture(t, 1)
				f.engines[0].SetFaults(faults)
				done := make(chan struct{})
				go func() {
					_, _, _ = f.write("sound", 20, "rare")
					close(done)
				}()
				waitUntil(c, func() bool { return f.arrivals.Load() == 1 && (faults.Hang || f.engines[0].Responding() == 1) })
				fail(f)
				<-done
				c.Assert(f.frontend.blocker.list.SuspectedParts(), qt.Equals, 0)
			})
		}
	}
}

// pauseEnded makes the entry one whose last pause ended at the given time.
func (f *engineFixture) pauseEnded(at time.Time) {
	f.frontend.view.releasesMu.Lock()
	defer f.frontend.view.releasesMu.Unlock()
	f.frontend.view.pauseEnd = at
}

// TestCrashIsEvidence is the counterpart of TestOrdinaryEndsAreNoEvidence.
func TestCrashIsEvidence(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(t, 1)
	_, _, _ = f.write("crash", 20, "first", crashPart)
	c.Assert(f.frontend.blocker.list.SuspectedParts(), qt.Equals, 2)
	c.Assert(f.frontend.blocker.list.RecentCrashes(time.Time{}, reportLimits)[0].Suspects, qt.DeepEquals, []string{"first", crashPart})
}
