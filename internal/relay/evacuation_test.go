package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/peers"
	"plantainrelay/internal/placement"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// evacuate makes these the zones whose evacuation is requested.
func (f *homesFixture) evacuate(zones ...string) {
	documents := map[string]any{}
	for _, zone := range zones {
		documents[zone] = struct{}{}
	}
	f.apply(platform.Evacuations, documents)
}

// TestEvacuatedZoneGetsNoAttempt guards against first attempts and retries in an evacuated zone,
// and against a zone that stays out of service after its evacuation.
func TestEvacuatedZoneGetsNoAttempt(t *testing.T) {
	c := qt.New(t)
	f := newHomesFixture(t, answerOK, answerError)
	f.evacuate("z1")
	response, _, err := f.get(homesRoute)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusInternalServerError)
	c.Assert(f.arrived[0].Load(), qt.Equals, int64(0))
	f.evacuate("z2")
	response, _, err = f.get(homesRoute)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(f.arrived[0].Load(), qt.Equals, int64(1))
	c.Assert(f.frontend.scheduler.evacuated(), qt.DeepEquals, []string{"z2"})
}

// TestQueuedRequestLeavesEvacuatedZone guards against a request that waits for a slot in a zone
// when its evacuation comes into force, and is placed there.
func TestQueuedRequestLeavesEvacuatedZone(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	f := newHomesFixture(t, func(w http.ResponseWriter, r *http.Request) {
		awaitRelease(release)
		answerOK(w, r)
	}, answerOK)
	f.listZones(1)
	statuses := f.getConcurrently(3)
	waitUntil(c, func() bool { return f.arrived[0].Load() == 2 && f.frontend.scheduler.queuedRequests("s") == 1 })
	f.evacuate("z1")
	close(release)
	c.Assert(<-statuses, qt.Equals, http.StatusOK)
	c.Assert(<-statuses, qt.Equals, http.StatusOK)
	time.Sleep(3 * waitingInterval)
	c.Assert(f.arrived[0].Load(), qt.Equals, int64(2))
	f.listZones(1, 2)
	c.Assert(<-statuses, qt.Equals, http.StatusOK)
	c.Assert(f.arrived[1].Load(), qt.Equals, int64(1))
}

// TestReservationInEvacuatedZoneIsNotUsed guards against an attempt whose instance was chosen or
// reserved before the evacuation of its zone, and against a further reservation there.
func TestReservationInEvacuatedZoneIsNotUsed(t *testing.T) {
	c := qt.New(t)
	f := newHomesFixture(t, answerOK)
	table := f.frontend.view.table()
	route, _ := table.Match(testHost, homesRoute)
	x := &exchange{frontend: f.frontend, table: table, route: route, pool: "s", r: httptest.NewRequest(http.MethodGet, homesRoute, nil)}
	x.r.Host = testHost
	reserved := f.frontend.scheduler.reserve(x.repeatTicket())
	c.Assert(reserved, qt.IsNotNil)
	f.evacuate("z1")
	c.Assert(x.attempt(t.Context(), reserved.choice, &attemptRecord{}), qt.Equals, notAllowed)
	c.Assert((&standbys{exchange: x}).send(t.Context(), func() {}, reserved), qt.Equals, standbyRejected)
	c.Assert(f.frontend.scheduler.reserve(x.repeatTicket()), qt.IsNil)
	c.Assert(f.arrived[0].Load(), qt.Equals, int64(0))
}

// TestInterruptedStreamLeavesEvacuatedZone guards against a stream that is resumed in a zone
// whose evacuation was requested while it was in progress.
func TestInterruptedStreamLeavesEvacuatedZone(t *testing.T) {
	c := qt.New(t)
	begun, release := make(chan struct{}), make(chan struct{})
	f := newHomesFixture(t, func(w http.ResponseWriter, r *http.Request) {
		writeSeal(w, r)
		writeEvents(w, 1, 2)
		close(begun)
		awaitRelease(release)
		resetConnection(w)
	}, answerOK, answerOK)
	f.table.Routes[0].Kind = standin.Streaming
	f.setHomes(nil, nil)
	f.listZones(1)
	go func() { _, _, _ = f.get(homesRoute) }()
	<-begun
	f.evacuate("z2")
	f.listZones(1, 2)
	close(release)
	time.Sleep(200 * time.Millisecond)
	c.Assert(f.arrived[1].Load(), qt.Equals, int64(0))
	f.listZones(1, 2, 3)
	waitUntil(c, func() bool { return f.arrived[2].Load() == 1 })
	c.Assert(f.arrived[1].Load(), qt.Equals, int64(0))
}

// TestStartingEntryLearnsEvacuationsFirst guards against an entry that starts, or was paused, and
// sends requests to an evacuated zone before it has read the evacuations.
func TestStartingEntryLearnsEvacuationsFirst(t *testing.T) {
	c := qt.New(t)
	f := newHomesFixture(t, answerOK)
	view := f.frontend.view
	c.Assert(newEvacuationGate(platform.Bounds{}, view, view.copies), qt.IsNil)
	f.frontend.evacuationGate = newEvacuationGate(platform.Bounds{EvacuateTime: 5 * time.Second, StableTime: time.Minute}, view, view.copies)
	f.apply(platform.Blocks, nil)
	h := &heartbeater{view: view, copies: view.copies, frontend: f.frontend, log: f.frontend.log, directory: peers.New(peers.Config{}, peers.Entry{Host: "10.0.0.9"}, nil, clock.Now())}
	c.Assert(h.isReady(), qt.IsFalse)
	response, body, err := f.get(homesRoute)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(body, qt.Contains, reasonEvacuationsUnknown)
	c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	// What was read comes into force only when it is decoded.
	held := copies.New(copies.Config{Log: f.frontend.log, Changed: func(platform.Kind) {}})
	f.frontend.evacuationGate.copies, view.copies = held, held
	f.evacuate()
	c.Assert(held.CollectionState(platform.Evacuations).Known, qt.IsTrue)
	c.Assert(f.frontend.evacuationGate.isOpen(clock.Now()), qt.IsFalse)
	f.frontend.evacuationGate.copies, view.copies = h.copies, h.copies
	f.evacuate()
	c.Assert(h.isReady(), qt.IsTrue)
	response, _, err = f.get(homesRoute)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	gate, now := f.frontend.evacuationGate, clock.Now()
	f.pauseEnded(now)
	c.Assert(gate.isOpen(now), qt.IsFalse)
	states := make([]beat.CollectionState, len(platform.Kinds))
	index := slices.Index(platform.Kinds, platform.Evacuations)
	states[index] = beat.CollectionState{Known: true, Content: 5}
	gate.messageReceived(&beat.Message{Collections: states, ComposedAfter: now.Add(time.Millisecond)})
	c.Assert(gate.isOpen(now), qt.IsFalse, qt.Commentf("the sender knows more"))
	states[index].Content = 0
	gate.messageReceived(&beat.Message{Collections: states, ComposedAfter: now.Add(time.Millisecond)})
	c.Assert(gate.isOpen(now), qt.IsTrue)
}

// listenAnywhere lets the server listen at a free port. Another process may take the port between
// its choice and its use; a further one is tried then.
func listenAnywhere(c *qt.C, server *peer.Server) int {
	for range 20 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		port := listener.Addr().(*net.TCPAddr).Port
		c.Assert(listener.Close(), qt.IsNil)
		if server.Listen(beat.Address("127.0.0.1", port)) == nil {
			return port
		}
	}
	c.Fatal("no free port")
	return 0
}

// TestPartitionedEntryLearnsEvacuationsFromPeers guards against an entry that cannot reach the
// store and goes on sending requests to an evacuated zone, or returns to it because of a delayed
// message of another entry.
func TestPartitionedEntryLearnsEvacuationsFromPeers(t *testing.T) {
	c := qt.New(t)
	reader, partitioned := newHomesFixture(t), newHomesFixture(t)
	server := peer.NewServer(peer.Security{}, reader.frontend.log)
	c.Assert(server.Register(copies.ServiceName, copies.NewService(reader.frontend.view.copies)), qt.IsNil)
	port := listenAnywhere(c, server)
	a, b := newTestHeartbeater(t, reader.fixture, "127.0.0.1", port), newTestHeartbeater(t, partitioned.fixture, "127.0.0.2", port)
	var mu sync.Mutex
	var received []*beat.Message
	go b.socket.Receive(t.Context(), func(m *beat.Message) {
		mu.Lock()
		received = append(received, m)
		mu.Unlock()
		b.handleMessage(context.Background(), m)
	})
	inForce := func(zones ...string) func() bool {
		return func() bool {
			a.sendHeartbeat(false)
			return slices.Equal(partitioned.frontend.scheduler.evacuated(), zones)
		}
	}
	reader.evacuate("z1")
	waitUntil(c, inForce("z1"))
	reader.evacuate("z1", "z2")
	waitUntil(c, inForce("z1", "z2"))
	mu.Lock()
	delayed := received[0]
	mu.Unlock()
	b.handleMessage(t.Context(), delayed)
	c.Assert(inForce("z1", "z2")(), qt.IsTrue)
	reader.evacuate()
	waitUntil(c, inForce())
	c.Assert(partitioned.frontend.scheduler.allowsZone("z1", placement.Requirements{}), qt.IsTrue)
}

// TestEntryReadsEvacuationsOnlyWhereRequested guards against store calls and larger messages in
// deployments without evacuations, and against an entry that does not wait for them elsewhere.
func TestEntryReadsEvacuationsOnlyWhereRequested(t *testing.T) {
	c := qt.New(t)
	log := newTestBlocker().log
	for _, bound := range []time.Duration{0, 5 * time.Second} {
		socket, err := beat.Open("127.0.0.1", 0, log)
		c.Assert(err, qt.IsNil)
		e, err := newEntry(platform.Settings{IP: "127.0.0.1", Bounds: platform.Bounds{EvacuateTime: bound, ConfigApplyTime: 2 * time.Second}}, socket, log)
		c.Assert(err, qt.IsNil)
		states := len(copies.CollectionStates(e.copies))
		c.Assert(states, qt.Equals, map[bool]int{false: len(platform.Kinds) - 1, true: len(platform.Kinds)}[bound > 0])
		c.Assert(e.frontend.evacuationGate != nil, qt.Equals, bound > 0)
	}
}

// TestWatcherAppliesEvacuationFromTheStore guards against evacuations that are read late or only
// in part, that end when the store becomes unavailable, and that a deployment without them
// reads.
func TestWatcherAppliesEvacuationFromTheStore(t *testing.T) {
	c := qt.New(t)
	f := newHomesFixture(t)
	store := standin.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	bounds := platform.Bounds{EvacuateTime: 5 * time.Second, ConfigApplyTime: 2 * time.Second}
	c.Assert(slices.Contains(entryKinds(platform.Bounds{}), platform.Evacuations), qt.IsFalse)
	c.Assert(entryKinds(platform.Bounds{}), qt.HasLen, len(platform.Kinds)-1)
	v := f.frontend.view
	v.copies = copies.New(copies.Config{
		Store: platform.NewStoreClient(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport), Plans: newPlans(bounds), Kinds: entryKinds(bounds), Log: v.log,
		Changed: v.handleChange, ShouldWatch: func(platform.Kind) bool { return true },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go v.copies.Run(ctx)
	waitUntil(c, func() bool { return v.copies.CollectionState(platform.Evacuations).Known })
	inForce := func(zones ...string) func() bool {
		return func() bool { return slices.Equal(f.frontend.scheduler.evacuated(), zones) }
	}
	c.Assert(store.Put(standin.KindEvacuations, "z1", struct{}{}), qt.IsNil)
	waitUntil(c, inForce("z1"))
	c.Assert(store.Put(standin.KindEvacuations, "z2", struct{}{}), qt.IsNil)
	waitUntil(c, inForce("z1", "z2"))
	store.Remove(standin.KindEvacuations, "z1")
	waitUntil(c, inForce("z2"))
	server.CloseClientConnections()
	time.Sleep(100 * time.Millisecond)
	c.Assert(inForce("z2")(), qt.IsTrue)
	c.Assert(f.frontend.scheduler.allowsZone("z2", placement.Requirements{}), qt.IsFalse)
}
