package copies

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/duty"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// storeFixture is a process with its store.
type storeFixture struct {
	*Copies
	store *standin.Store
	hook  *logtest.Hook
	// hold, when set, is called before each response of the store is sent.
	mu   sync.Mutex
	hold func()
}

func newStoreFixture(t *testing.T) *storeFixture {
	logger, hook := logtest.NewNullLogger()
	f := &storeFixture{store: standin.NewStore(), hook: hook}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := httptest.NewRecorder()
		f.store.ServeHTTP(response, r)
		f.mu.Lock()
		hold := f.hold
		f.mu.Unlock()
		if hold != nil {
			hold()
		}
		for name, values := range response.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(response.Code)
		_, err := w.Write(response.Body.Bytes())
		qt.Check(t, err, qt.IsNil)
	}))
	t.Cleanup(server.Close)
	f.Copies = New(Config{
		Store: platform.NewStoreClient(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport),
		Log:   logrus.NewEntry(logger), Changed: func(platform.Kind) {}, ListRank: func(platform.Kind) int { return 0 },
	})
	return f
}

func (f *storeFixture) setHold(hold func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hold = hold
}

func (f *storeFixture) put(c *qt.C, name string, value int) {
	c.Assert(f.store.Put(string(platform.Backends), name, map[string]int{"Slots": value}), qt.IsNil)
}

// readNext makes the call that is due, as the assigned watcher, and returns its reason.
func (f *storeFixture) readNext(c *qt.C) duty.Reason {
	f.mu.Lock()
	f.config.ShouldWatch = func(platform.Kind) bool { return true }
	f.mu.Unlock()
	reason, wait := f.nextRead(platform.Backends)
	_, err := f.read(c.Context(), platform.Backends, reason, wait)
	c.Assert(err, qt.IsNil)
	f.readSucceeded(platform.Backends)
	return reason
}

func (f *storeFixture) body(name string) string {
	return string(f.Documents(platform.Backends)[name].Body)
}

// TestWatchFromALostRevisionListsTheRestoredStore guards against a process that keeps what
// the restored store has lost after the store has answered its watch with 410.
func TestWatchFromALostRevisionListsTheRestoredStore(t *testing.T) {
	c := qt.New(t)
	f := newStoreFixture(t)
	f.put(c, "a", 1)
	f.put(c, "b", 1)
	f.readNext(c)
	f.put(c, "a", 2)
	f.readNext(c)
	c.Assert(f.body("a"), qt.Equals, `{"Slots":2}`)
	f.store.LoseChanges(2)
	c.Assert(f.readNext(c), qt.Equals, duty.AssignedWatcher)
	c.Assert(f.readNext(c), qt.Equals, duty.StoreRestored)
	c.Assert(f.body("a"), qt.Equals, `{"Slots":1}`)
	c.Assert(f.body("b"), qt.Equals, "")
	c.Assert(f.Era(), qt.Equals, int64(1))
	c.Assert(f.readNext(c), qt.Equals, duty.AssignedWatcher)
	restored := 0
	for _, entry := range f.hook.AllEntries() {
		if entry.Message == "the store was restored from an older copy; its collections are read again" {
			restored++
		}
	}
	c.Assert(restored, qt.Equals, 1)
}

// TestRevisionsGivenOutAgainAreNotMissed guards against a process that was paused during a
// restore: its watch continues from a revision that was given out again meanwhile, so that
// the store sends no 410.
func TestRevisionsGivenOutAgainAreNotMissed(t *testing.T) {
	c := qt.New(t)
	f := newStoreFixture(t)
	f.put(c, "a", 1)
	f.put(c, "a", 2)
	f.readNext(c)
	known := f.AsOf(platform.Backends)
	f.store.LoseChanges(1)
	f.store.LoseChanges(0)
	f.put(c, "b", 3)
	f.put(c, "c", 4)
	f.readNext(c)
	f.readNext(c)
	c.Assert(f.AsOf(platform.Backends).Number > known.Number, qt.IsTrue)
	c.Assert(f.body("a"), qt.Equals, `{"Slots":1}`)
	c.Assert(f.body("b"), qt.Equals, `{"Slots":3}`)
	c.Assert(f.Era(), qt.Equals, int64(2))
}

// TestDelayedResponseOfAnEarlierEraIsIgnored guards against a response that was made before
// a restore and arrives after one that was made later, on another connection.
func TestDelayedResponseOfAnEarlierEraIsIgnored(t *testing.T) {
	c := qt.New(t)
	f := newStoreFixture(t)
	f.put(c, "a", 1)
	f.put(c, "a", 2)
	made, send := make(chan struct{}), make(chan struct{})
	f.setHold(func() {
		close(made)
		<-send
	})
	delayed := make(chan error, 1)
	go func() {
		_, err := f.read(context.Background(), platform.Backends, duty.NoCopy, time.Second)
		delayed <- err
	}()
	<-made
	f.setHold(nil)
	f.store.LoseChanges(1)
	f.readNext(c)
	state := f.CollectionState(platform.Backends)
	close(send)
	c.Assert(<-delayed, qt.ErrorMatches, ".*before era 1.*")
	c.Assert(f.body("a"), qt.Equals, `{"Slots":1}`)
	c.Assert(f.CollectionState(platform.Backends).Content, qt.Equals, state.Content)
}

// TestPeersTellOfARestore guards against a process that learns of a restore only from its
// own calls, and against one that takes the word of a peer that is an era behind.
func TestPeersTellOfARestore(t *testing.T) {
	c := qt.New(t)
	f := newStoreFixture(t)
	f.put(c, "a", 1)
	f.readNext(c)
	content := f.CollectionState(platform.Backends).Content
	restored := CollectionState{Known: true, Content: replica.Revision{Era: 1, Number: 2}}
	c.Assert(f.PeerStateReceived(platform.Backends, restored, clock.Now(), "peer"), qt.IsTrue)
	reason, _ := f.nextRead(platform.Backends)
	c.Assert(reason, qt.Equals, duty.StoreRestored)
	listing := replica.Change{Whole: true, AsOf: replica.Revision{Era: 1, Number: 2}}
	f.ApplyFromPeer(platform.Backends, listing, clock.Now(), "peer")
	c.Assert(f.Documents(platform.Backends), qt.HasLen, 0)
	behind := CollectionState{Known: true, Content: replica.Revision{Number: content.Number + 100}}
	c.Assert(f.PeerStateReceived(platform.Backends, behind, clock.Now(), "peer"), qt.IsFalse)
	behind.Versions = 7
	c.Assert(f.PeerStateReceived(platform.Tables, behind, clock.Now(), "peer"), qt.IsTrue)
}

// TestPeerWithHigherVersionsRenewsNoProof guards against tables that count as current while
// a peer holds a later revocation, which the restored store has lost.
func TestPeerWithHigherVersionsRenewsNoProof(t *testing.T) {
	c := qt.New(t)
	held := New(Config{Log: testLog(), Changed: func(platform.Kind) {}})
	revision := replica.Revision{Era: 1, Number: 9}
	document := replica.Document{Name: platform.TableName, Revision: revision, Version: 4}
	change := replica.Change{Whole: true, AsOf: revision, Documents: []replica.Document{document}}
	held.ApplyFromPeer(platform.Tables, change, clock.Now().Add(-time.Hour), "peer")
	reported := CollectionState{Known: true, Content: revision, Versions: 5}
	c.Assert(held.PeerStateReceived(platform.Tables, reported, clock.Now(), "peer"), qt.IsTrue)
	c.Assert(held.CollectionState(platform.Tables).Age >= time.Hour, qt.IsTrue)
	reported.Versions = 4
	c.Assert(held.PeerStateReceived(platform.Tables, reported, clock.Now(), "peer"), qt.IsFalse)
	c.Assert(held.CollectionState(platform.Tables).Age < time.Hour, qt.IsTrue)
}

// TestRestoredTablesArePulledAtOnce guards against agents that list the tables after a
// restore because they may not pull them from their peers so soon.
func TestRestoredTablesArePulledAtOnce(t *testing.T) {
	c := qt.New(t)
	held := New(Config{Log: testLog(), Changed: func(platform.Kind) {}})
	held.ApplyFromPeer(platform.Tables, replica.Change{Whole: true, AsOf: replica.Revision{Number: 9}}, clock.Now(), "peer")
	p := NewPuller(PullerConfig{MaxConcurrent: 1, MinIntervals: map[platform.Kind]time.Duration{platform.Tables: time.Hour}, Log: testLog()}, held, nil)
	begin := func(host string, content replica.Revision) (duty.Pull, bool) {
		p.reported(platform.Tables, duty.Source{Host: host, Content: content})
		return p.next(platform.Tables)
	}
	// A pull in progress keeps MessageReceived from starting one; another one succeeds.
	pulls, now := p.pulls[platform.Tables], clock.Now()
	hanging, begun := begin("hanging", replica.Revision{Number: 10})
	c.Assert(begun, qt.IsTrue)
	pulls.Ended(duty.Pull{Host: "other", Started: now}, now, true)
	p.MessageReceived(c.Context(), &beat.Message{Host: "peer", Collections: []beat.CollectionState{{Known: true, Content: 3, Era: 1}}})
	pulls.Ended(hanging, now, false)
	pull, begun := begin("peer", replica.Revision{Era: 1, Number: 3})
	c.Assert(begun, qt.IsTrue)
	pulls.Ended(pull, now, true)
	_, begun = begin("late", replica.Revision{Era: 1, Number: 4})
	c.Assert(begun, qt.IsFalse, qt.Commentf("the interval is in force"))
}

// TestErasPassThroughRPC checks that nothing of a change is lost between two processes.
func TestErasPassThroughRPC(t *testing.T) {
	document := replica.Document{Name: "a", Revision: replica.Revision{Era: 2, Number: 3}, Body: []byte("b"), Version: 4, Removed: true}
	change := replica.Change{Whole: true, AsOf: replica.Revision{Era: 2, Number: 5}, Documents: []replica.Document{document}, Retained: []replica.Document{document}}
	qt.Assert(t, decodeChange(encodeChange(change)), qt.DeepEquals, change)
}
