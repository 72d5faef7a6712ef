package relay

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/admission"
	"plantainrelay/internal/beat"
	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/peers"
	"plantainrelay/internal/placement"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// countedBackend is an instance of the stand-in that counts the requests that reach it.
type countedBackend struct {
	*standin.Backend
	requests atomic.Int64
}

func (b *countedBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.requests.Add(1)
	b.Backend.ServeHTTP(w, r)
}

// newBackendFixture starts a frontend before instances of the stand-in.
func newBackendFixture(t *testing.T, count int) (*fixture, []*countedBackend) {
	t.Helper()
	var backends []*countedBackend
	var handlers []http.HandlerFunc
	for i := range count {
		config := standin.BackendConfig{ID: "i-" + strconv.Itoa(i), Pool: "s", Slots: 4, OnStart: func(standin.Execution) {}}
		backend := &countedBackend{Backend: standin.NewBackend(config, 0, nil)}
		backends = append(backends, backend)
		handlers = append(handlers, backend.ServeHTTP)
	}
	return newFixture(t, handlers...), backends
}

// TestInstanceThatSaysThatItLeavesGetsNothingMore guards against requests to an instance
// that leaves while its list entry does not say so: its answers did, whether it had run
// the request or not.
func TestInstanceThatSaysThatItLeavesGetsNothingMore(t *testing.T) {
	for name, faults := range map[string]standin.BackendFaults{
		"success": {}, "cut": {TruncateResponses: true}, "rejection": {RetryAfter: "0"}, "error": {RetryAfter: "0", MayHaveRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f, backends := newBackendFixture(t, 2)
			leaving, other := backends[0], backends[1]
			leaving.SayLeaving()
			leaving.SetFaults(faults)
			// Requests are made until the instance has got one.
			for leaving.requests.Load() == 0 {
				_, _, err := f.do(http.MethodGet, "/look/x")
				c.Assert(err, qt.IsNil)
			}
			before := other.requests.Load()
			const rounds = 8
			for range rounds {
				for _, path := range []string{"/look/x", "/once/x"} {
					response, _, err := f.do(http.MethodPost, path)
					c.Assert(err, qt.IsNil)
					c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
				}
			}
			c.Assert(leaving.requests.Load(), qt.Equals, int64(1))
			c.Assert(other.requests.Load()-before, qt.Equals, int64(2*rounds))
		})
	}
}

// TestInstanceThatAskedToWaitGetsNothing guards against requests to an instance that has
// asked to be sent none for a time, and against callers that wait in vain while all
// instances of the pool have asked for it: they are refused and told the time.
func TestInstanceThatAskedToWaitGetsNothing(t *testing.T) {
	for name, mayHaveRun := range map[string]bool{"not run": false, "may have run": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f, backends := newBackendFixture(t, 2)
			asked := func() int64 { return backends[0].requests.Load() + backends[1].requests.Load() }
			for _, backend := range backends {
				backend.SetFaults(standin.BackendFaults{RetryAfter: "40.5", MayHaveRun: mayHaveRun})
			}
			_, _, err := f.do(http.MethodGet, "/look/x")
			c.Assert(err, qt.IsNil)
			c.Assert(asked(), qt.Equals, int64(2), qt.Commentf("each instance is asked once"))
			for range 4 {
				response, _, err := f.do(http.MethodGet, "/look/x")
				c.Assert(err, qt.IsNil)
				c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
				seconds, err := strconv.ParseFloat(response.Header.Get(standin.HeaderWait), 64)
				c.Assert(err, qt.IsNil)
				c.Assert(seconds >= 0.8, qt.IsTrue, qt.Commentf("%v s of the 2.5 s that the caller has left", seconds))
			}
			c.Assert(asked(), qt.Equals, int64(2))
		})
	}
}

// TestQueuedRequestIsRejectedWhenAllInstancesWait guards against requests that stay queued
// until their time has passed after the last instance of the pool has asked for none. One
// that can start in time stays.
func TestQueuedRequestIsRejectedWhenAllInstancesWait(t *testing.T) {
	c := qt.New(t)
	now := clock.Now()
	fleet := placement.New(placement.Config{MaxPeerLoadAge: time.Second, Seed: 1})
	fleet.SetList([]catalog.Backend{{ID: "i-1", Pool: "p", Address: "10.0.0.1:80", Host: "10.0.0.1", Slots: 1}}, time.Time{}, now)
	g := newScheduler(fleet, retryLimits{})
	queue := func(startBy time.Duration, tried map[string]bool) chan *rejection {
		ended := make(chan *rejection, 1)
		request := &ticket{Ticket: admission.Ticket{Deadline: now.Add(time.Hour), StartBy: now.Add(startBy)}, need: placement.Requirements{Pool: "p", Tried: tried}}
		queued := g.queuedRequests("p")
		go func() {
			_, rejected := g.acquire(t.Context(), request)
			ended <- rejected
		}()
		waitUntil(c, func() bool { return g.queuedRequests("p") > queued })
		return ended
	}
	for range 2 {
		_, rejected := g.acquire(t.Context(), &ticket{Ticket: admission.Ticket{Deadline: now.Add(time.Hour), StartBy: now.Add(time.Hour)}, need: placement.Requirements{Pool: "p"}})
		c.Assert(rejected, qt.IsNil)
	}
	early, late, retry := queue(10*time.Minute, nil), queue(50*time.Minute, nil), queue(50*time.Minute, map[string]bool{"i-1": true})
	choice := placement.Choice{Backend: catalog.Backend{ID: "i-1"}}
	_, _, isNew := g.recordNotice(choice, platform.ResponseInfo{Wait: 30 * time.Minute}, now)
	c.Assert(isNew, qt.IsTrue)
	g.dispatchAll()
	for _, ended := range []chan *rejection{early, retry} {
		rejected := <-ended
		c.Assert(rejected, qt.IsNotNil)
		c.Assert(*rejected, qt.Equals, rejection{retryAfter: maxRetryAfter, reason: reasonInstancesWait})
	}
	c.Assert(late, qt.HasLen, 0)
	c.Assert(g.queuedRequests("p"), qt.Equals, 1)
}

// newTestHeartbeater returns the heartbeater of an entry at a loopback address.
func newTestHeartbeater(t *testing.T, f *fixture, host string, port int) *heartbeater {
	t.Helper()
	socket, err := beat.Open(host, port, f.frontend.log)
	qt.Assert(t, err, qt.IsNil)
	return &heartbeater{
		socket: socket, view: f.frontend.view, copies: f.frontend.view.copies, scheduler: f.frontend.scheduler, frontend: f.frontend, log: f.frontend.log,
		puller:    copies.NewPuller(copies.PullerConfig{Port: port, MaxConcurrent: 1, Log: f.frontend.log}, f.frontend.view.copies, peer.NewClient(peer.Security{})),
		directory: peers.New(peers.Config{ProbeTimeout: time.Minute}, peers.Entry{Host: host, Start: 1}, []string{"127.0.0.1", "127.0.0.2"}, clock.Now()),
		start:     1, sendNow: make(chan struct{}, 1),
	}
}

// TestEntriesLearnOfLeavingInstancesFromEachOther guards against an entry that goes on
// sending requests to an instance whose answer has told another entry that it
// leaves.
func TestEntriesLearnOfLeavingInstancesFromEachOther(t *testing.T) {
	c := qt.New(t)
	listener, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	port := listener.LocalAddr().(*net.UDPAddr).Port
	c.Assert(listener.Close(), qt.IsNil)
	first, _ := newBackendFixture(t, 3)
	second, backends := newBackendFixture(t, 3)
	a, b := newTestHeartbeater(t, first, "127.0.0.1", port), newTestHeartbeater(t, second, "127.0.0.2", port)
	go b.socket.Receive(t.Context(), func(m *beat.Message) { b.handleMessage(context.Background(), m) })
	leavingAt := func(f *fixture) int {
		leaving, _ := f.frontend.scheduler.noticeCounts()
		return leaving
	}
	first.frontend.recordNotice(placement.Choice{Backend: catalog.Backend{ID: "i-0", Start: 1}}, platform.ResponseInfo{Leaving: true}, &attemptRecord{})
	c.Assert(leavingAt(first), qt.Equals, 1)
	waitUntil(c, func() bool {
		a.sendHeartbeat(false)
		return leavingAt(second) == 1
	})
	for range 8 {
		_, _, err := second.do(http.MethodGet, "/look/x")
		c.Assert(err, qt.IsNil)
	}
	c.Assert(backends[0].requests.Load(), qt.Equals, int64(0))
}

// TestEntryLearnsOfALeavingEngineFromItsAgent guards against requests to an engine whose
// agent has been told by it that it leaves. A report of another start says nothing about
// the listed one.
func TestEntryLearnsOfALeavingEngineFromItsAgent(t *testing.T) {
	c := qt.New(t)
	f, _ := newBackendFixture(t, 1)
	h := &heartbeater{scheduler: f.frontend.scheduler, frontend: f.frontend}
	for born, want := range []int{0, 1} {
		h.handleMessage(t.Context(), &beat.Message{
			Role: beat.Agent, Host: "127.0.0.1", Start: 1, Sequence: uint64(born + 1), Report: &beat.EngineReport{Born: int64(born), Leaving: true},
		})
		leaving, _ := f.frontend.scheduler.noticeCounts()
		c.Check(leaving, qt.Equals, want, qt.Commentf("engine of start %d", born))
	}
}

// TestStreamOfALeavingInstanceGoesOn guards against cutting what an instance still has in
// progress when it says, in the head of that stream, that it leaves.
func TestStreamOfALeavingInstanceGoesOn(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	var streams, others atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		writeSeal(w, r)
		if strings.HasPrefix(r.URL.Path, "/look/") {
			others.Add(1)
			return
		}
		w.Header().Set(standin.HeaderLeaving, "1")
		streams.Add(1)
		writeEvents(w, 1, 2)
		<-release
		writeEvents(w, 3, 4)
	}
	f := newFixture(t, handler, handler)
	body := make(chan string)
	go func() {
		_, text, err := f.do(http.MethodPost, "/stream/x")
		c.Check(err, qt.IsNil)
		body <- text
	}()
	waitUntil(c, func() bool {
		leaving, _ := f.frontend.scheduler.noticeCounts()
		return leaving == 1
	})
	for range 4 {
		_, _, err := f.do(http.MethodGet, "/look/x")
		c.Assert(err, qt.IsNil)
	}
	close(release)
	text := <-body
	c.Assert(strings.Count(text, "id: "), qt.Equals, 4)
	c.Assert(streams.Load(), qt.Equals, int64(1))
	c.Assert(others.Load(), qt.Equals, int64(4))
}

// TestWaitExplainsAnError guards against a backoff for an instance that has answered an
// attempt with a time to wait, and against taking that for a success.
func TestWaitExplainsAnError(t *testing.T) {
	c := qt.New(t)
	for outcome, want := range map[outcome]placement.Result{
		failed: placement.AskedToWait, answered: placement.AskedToWait, notRun: placement.Full, addressReused: placement.AddressReused, callerDisconnected: placement.CallerDisconnected,
	} {
		c.Check(attemptRecord{WaitMs: 5}.placementResult(outcome), qt.Equals, want, qt.Commentf("%s", outcome))
		c.Check(attemptRecord{}.placementResult(outcome), qt.Equals, outcome.placementResult())
	}
}
