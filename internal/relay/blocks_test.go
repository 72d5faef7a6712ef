package relay

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/blocklist"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

var badPart = blocklist.Part{Model: modelName, ID: crashPart}

func newTestBlocker() *blocker {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return newBlocker(logrus.NewEntry(log), newBlockMetrics())
}

func (b *blocker) isBlocked() bool {
	_, blocked := b.blocked(modelName, []string{crashPart})
	return blocked
}

// exchangeReports sends one message of each entry to all others.
func exchangeReports(entries []*blocker) {
	var messages []*beat.Message
	for _, sender := range entries {
		m := &beat.Message{Role: beat.Entry, Host: "10.0.0.1"}
		sender.addReports(m, clock.Now())
		messages = append(messages, m)
	}
	for i, receiver := range entries {
		for j, m := range messages {
			if i != j {
				receiver.readReports(m)
			}
		}
	}
	for _, entry := range entries {
		entry.evaluate(clock.Now().Add(time.Second))
	}
}

func testCrash(start string, age time.Duration, suspects ...string) blocklist.Crash {
	return blocklist.Crash{Start: blocklist.Start{Instance: start, Born: 1}, Model: modelName, Version: 1, At: clock.Now().Add(-age), Suspects: suspects}
}

// TestEntriesCombineTheirEvidence guards against a part that goes on crashing instances,
// because each entry sees only some of the crashes, and against a block because many
// entries report the same one.
func TestEntriesCombineTheirEvidence(t *testing.T) {
	c := qt.New(t)
	entries := []*blocker{newTestBlocker(), newTestBlocker(), newTestBlocker(), newTestBlocker()}
	for _, entry := range entries {
		entry.requestInterrupted(testCrash("i-1", 900*time.Millisecond, "first", crashPart))
	}
	exchangeReports(entries)
	for i, start := range []string{"i-2", "i-3", "i-4"} {
		for _, entry := range entries {
			c.Assert(entry.isBlocked(), qt.IsFalse)
		}
		entries[i].requestInterrupted(testCrash(start, time.Duration(2-i)*300*time.Millisecond, "first", crashPart))
		exchangeReports(entries)
	}
	for _, entry := range entries {
		c.Assert(entry.isBlocked(), qt.IsTrue)
		_, blocked := entry.blocked(modelName, []string{"first"})
		c.Assert(blocked, qt.IsFalse)
	}
}

// TestClearedPartIsClearedEverywhere guards against suspicion that adds up at entries that
// have not seen the responses which clear a part.
func TestClearedPartIsClearedEverywhere(t *testing.T) {
	c := qt.New(t)
	a, b := newTestBlocker(), newTestBlocker()
	for i, start := range []string{"i-1", "i-2", "i-3", "i-4", "i-5"} {
		a.requestInterrupted(testCrash(start, 0, "rare"))
		exchangeReports([]*blocker{a, b})
		c.Assert(b.list.SuspectedParts(), qt.Equals, 1, qt.Commentf("crash %d", i))
		b.responseOutlived(modelName, 1, []string{"rare"})
		exchangeReports([]*blocker{a, b})
		c.Assert(a.list.SuspectedParts(), qt.Equals, 0)
		// Ages in messages are in milliseconds.
		time.Sleep(5 * time.Millisecond)
	}
	c.Assert(a.list.BlockedParts()+b.list.BlockedParts(), qt.Equals, 0)
}

// TestStartingEntryLearnsBlocksFirst guards against an entry that starts and sends requests
// with a blocked part to instances before it has read the blocks.
func TestStartingEntryLearnsBlocksFirst(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(t, 2)
	f.frontend.blockGate.learnBy = clock.Now().Add(time.Minute)
	statuses := make(chan int, 1)
	go func() {
		response, _, err := f.write("early", 5, crashPart)
		if err != nil {
			statuses <- 0
			return
		}
		statuses <- response.StatusCode
	}()
	time.Sleep(20 * time.Millisecond)
	f.apply(platform.Blocks, map[string]any{"x": map[string]any{"Model": modelName, "Part": crashPart, "Version": 1}})
	c.Assert(<-statuses, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(f.arrivals.Load(), qt.Equals, int64(0))
	response, _, err := f.write("sound", 5, firstPart)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
}

// TestPausedEntryLearnsBlocksFirst guards against an entry that was paused and sends
// requests with a part that the others have blocked meanwhile.
func TestPausedEntryLearnsBlocksFirst(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(t, 2)
	f.apply(platform.Blocks, nil)
	gate, now := f.frontend.blockGate, clock.Now()
	c.Assert(gate.isOpen(now), qt.IsTrue)
	f.pauseEnded(now)
	c.Assert(gate.isOpen(now), qt.IsFalse)
	message := func(content int64, composed time.Time) *beat.Message {
		states := make([]beat.CollectionState, len(platform.Kinds))
		states[slices.Index(platform.Kinds, platform.Blocks)] = beat.CollectionState{Known: true, Content: content}
		return &beat.Message{Collections: states, ComposedAfter: composed}
	}
	gate.messageReceived(message(0, now.Add(-time.Millisecond)))
	c.Assert(gate.isOpen(now), qt.IsFalse, qt.Commentf("it was composed before the end of the pause"))
	gate.messageReceived(message(5, now.Add(time.Millisecond)))
	c.Assert(gate.isOpen(now), qt.IsFalse, qt.Commentf("the sender knows more"))
	gate.messageReceived(message(0, now.Add(time.Millisecond)))
	c.Assert(gate.isOpen(now), qt.IsTrue)
	f.pauseEnded(now.Add(time.Second))
	c.Assert(gate.isOpen(now.Add(time.Second)), qt.IsFalse)
	c.Assert(gate.isOpen(now.Add(2*time.Second)), qt.IsTrue, qt.Commentf("no other entry is heard"))
}

// saverFixture is an entry that saves the blocks of parts in a store of the stand-in.
type saverFixture struct {
	*blockSaver
	store *standin.Store
}

func newSaverFixture(t *testing.T, store *standin.Store, rank int) *saverFixture {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	b := newTestBlocker()
	client := platform.NewStoreClient(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport)
	var held *copies.Copies
	held = copies.New(copies.Config{Store: client, Log: b.log, Changed: func(platform.Kind) {
		snapshot := held.Snapshot(platform.Blocks)
		b.setStored(decodeStoredBlocks(snapshot.Documents, snapshot.Content.Era, b.log))
	}})
	return &saverFixture{blockSaver: newBlockSaver(b, held, client, func(blocklist.Part) (int, int) { return rank, rank + 1 }, b.log), store: store}
}

// read lists the collection, as an entry does that watches it.
func (f *saverFixture) read(t *testing.T) {
	t.Helper()
	change, err := f.blockSaver.store.List(t.Context(), platform.Blocks)
	qt.Assert(t, err, qt.IsNil)
	f.copies.ApplyFromPeer(platform.Blocks, change, clock.Now(), "store")
}

func (f *saverFixture) storedRecords(c *qt.C) (records []blocklist.Record) {
	for name, body := range f.store.Documents(standin.KindBlocks) {
		record, err := platform.DecodeBlock(replica.Document{Name: name, Body: json.RawMessage(body)})
		c.Assert(err, qt.IsNil)
		records = append(records, record)
	}
	return records
}

// TestBlockOutlivesTheEntriesThatKnowIt guards against a block that all entries forget when
// they restart, or that is lost when the store is restored from an older copy; and against
// a write of each entry.
func TestBlockOutlivesTheEntriesThatKnowIt(t *testing.T) {
	c := qt.New(t)
	store := standin.NewStore()
	first, second := newSaverFixture(t, store, 0), newSaverFixture(t, store, 1)
	blocked := blocklist.Record{Part: badPart, Version: 1, Crashes: 4}
	for _, entry := range []*saverFixture{first, second} {
		entry.blocker.adopt([]blocklist.Record{blocked}, "peer")
		entry.read(t)
	}
	calls := store.CallCount()
	second.saveDue(t.Context(), clock.Now())
	c.Assert(store.CallCount(), qt.Equals, calls, qt.Commentf("it is the turn of the first one"))
	first.saveDue(t.Context(), clock.Now())
	first.saveDue(t.Context(), clock.Now())
	c.Assert(store.CallCount(), qt.Equals, calls+1)
	c.Assert(first.storedRecords(c), qt.DeepEquals, []blocklist.Record{blocked})

	restarted := newSaverFixture(t, store, 0)
	restarted.read(t)
	c.Assert(restarted.blocker.isBlocked(), qt.IsTrue)
	c.Assert(restarted.blocker.unsaved(1), qt.HasLen, 0)

	store.LoseChanges(1)
	restarted.read(t)
	c.Assert(restarted.storedRecords(c), qt.HasLen, 0)
	c.Assert(restarted.blocker.isBlocked(), qt.IsTrue)
	restarted.saveDue(t.Context(), clock.Now())
	c.Assert(restarted.storedRecords(c), qt.DeepEquals, []blocklist.Record{blocked})
}

// TestLiftReachesAllEntries covers an operator, or a complete response, that lifts a block
// while another entry still tells of it.
func TestLiftReachesAllEntries(t *testing.T) {
	c := qt.New(t)
	store := standin.NewStore()
	a, b := newSaverFixture(t, store, 0), newSaverFixture(t, store, 1)
	a.blocker.adopt([]blocklist.Record{{Part: badPart, Version: 1, Crashes: 4}}, "peer")
	a.read(t)
	a.saveDue(t.Context(), clock.Now())
	b.read(t)
	a.read(t)
	a.blocker.responseComplete(modelName, []string{crashPart})
	c.Assert(a.blocker.isBlocked(), qt.IsFalse)
	exchangeReports([]*blocker{a.blocker, b.blocker})
	c.Assert(b.blocker.isBlocked(), qt.IsFalse)
	a.saveDue(t.Context(), clock.Now())
	c.Assert(a.storedRecords(c)[0].Lifted, qt.IsTrue)
	b.read(t)
	c.Assert(b.blocker.isBlocked(), qt.IsFalse)
	c.Assert(b.blocker.unsaved(1), qt.HasLen, 0)
}

// TestTrialIsEnteredInTheStoreFirst guards against several entries that let a request with
// a blocked part through at once.
func TestTrialIsEnteredInTheStoreFirst(t *testing.T) {
	c := qt.New(t)
	store := standin.NewStore()
	a, b := newSaverFixture(t, store, 0), newSaverFixture(t, store, 0)
	blocked := blocklist.Record{Part: badPart, Version: 1, Crashes: 4}
	c.Assert(a.save(t.Context(), blocked), qt.IsTrue)
	trial := blocked
	trial.Version, trial.Trials = 2, 1
	for _, entry := range []*saverFixture{a, b} {
		entry.read(t)
	}
	for _, entry := range []*saverFixture{a, b} {
		entry.saveTrial(t.Context(), trial)
	}
	letThrough := 0
	for _, entry := range []*saverFixture{a, b} {
		for range 3 {
			if _, isTrial, _ := entry.blocker.admit(modelName, []string{crashPart}); isTrial {
				letThrough++
			}
		}
	}
	c.Assert(letThrough, qt.Equals, 1)
}

// TestEntriesCombineEvidenceOfLongPrompts guards against a part that goes on crashing instances
// because the suspects of a crash fit neither into what an entry keeps of it nor into one
// message (review/9).
func TestEntriesCombineEvidenceOfLongPrompts(t *testing.T) {
	c := qt.New(t)
	entries := []*blocker{newTestBlocker(), newTestBlocker(), newTestBlocker(), newTestBlocker()}
	for i, entry := range entries {
		parts := []string{crashPart}
		for j := range 1000 {
			parts = append(parts, fmt.Sprintf("%04x%04x", i, j))
		}
		entry.requestInterrupted(testCrash(fmt.Sprint("i-", i), time.Duration(3-i)*300*time.Millisecond, parts...))
		// As many as in crashReportPeriod.
		for range 7 {
			exchangeReports(entries)
		}
		// A sound request shares the other parts.
		entry.responseOutlived(modelName, 1, parts[1:])
		exchangeReports(entries)
	}
	for i, entry := range entries {
		c.Check(entry.isBlocked(), qt.IsTrue, qt.Commentf("entry %d", i))
		c.Check(entry.list.BlockedParts(), qt.Equals, 1)
	}
}

// TestReportsOfManySuspectsAreBounded guards against crashes that no other entry learns of,
// because the IDs of their suspects do not fit in one message.
func TestReportsOfManySuspectsAreBounded(t *testing.T) {
	c := qt.New(t)
	b := newTestBlocker()
	for i := range 2 * maxCrashesPerMessage {
		var suspects []string
		for j := range 40 {
			suspects = append(suspects, fmt.Sprintf("%02d-%02d-%s", i, j, strings.Repeat("x", 58)))
		}
		b.requestInterrupted(testCrash(fmt.Sprint("i-", i), 0, suspects...))
	}
	m := &beat.Message{}
	b.addReports(m, clock.Now())
	size := 0
	for _, crash := range m.Crashes {
		size += len(strings.Join(crash.Suspects, ""))
	}
	c.Assert(size > 0 && size <= maxSuspectBytes, qt.IsTrue, qt.Commentf("%d bytes in %d crashes", size, len(m.Crashes)))
}
