package metering

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/engine"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/member"
	"plantainrelay/internal/message"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/usage"
)

// fakeStore is an in-memory object store with faults that a test switches on.
type fakeStore struct {
	platform.ObjectStore

	mu      sync.Mutex
	objects map[string]platform.Object
	version int64
	// loseResponses makes writes take effect and return an unknown outcome, as
	// when the response is lost.
	loseResponses bool
	// down makes writes fail.
	down bool
	puts int
}

func (s *fakeStore) Get(_ context.Context, _, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found := s.objects[name]
	if !found {
		return object, failure.New(failure.NotFound, "", "absent")
	}
	return object, nil
}

func (s *fakeStore) Put(_ context.Context, _, name string, value json.RawMessage, expected int64) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	if s.down {
		return platform.Object{}, failure.New(failure.NotReachable, "", "down")
	}
	if s.objects[name].Version != expected {
		return platform.Object{}, failure.New(failure.Conflict, "", "another version")
	}
	s.version++
	object := platform.Object{Name: name, Version: s.version, Value: value}
	s.objects[name] = object
	if s.loseResponses {
		return platform.Object{}, failure.New(failure.Unknown, "", "no answer")
	}
	return object, nil
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string]platform.Object{}}
}

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func totalDone(t *testing.T, store *fakeStore) int64 {
	t.Helper()
	now := time.Now()
	report, err := NewReporter(store).Report(context.Background(), now.Add(-time.Hour), now.Add(time.Hour))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, report.Unreachable, qt.HasLen, 0)
	var total int64
	for _, line := range report.Lines {
		total += line.Entries.Done
	}
	return total
}

// sourcesSharingDocument returns count names of sources whose reports share a
// document.
func sourcesSharingDocument(count int) []string {
	var names []string
	wanted := usage.DocumentName(usage.Source{Name: "entry-0"}, 0)
	for i := 0; len(names) < count; i++ {
		name := fmt.Sprint("entry-", i)
		if usage.DocumentName(usage.Source{Name: name}, 0) == wanted {
			names = append(names, name)
		}
	}
	return names
}

// TestConcurrentWritersOfOneDocument guards against lost updates. Daemons whose
// reports share a document write it concurrently, so that updates conflict.
func TestConcurrentWritersOfOneDocument(t *testing.T) {
	store := newFakeStore()
	const daemons, requests = 15, 30
	var group sync.WaitGroup
	for _, name := range sourcesSharingDocument(daemons) {
		meter := New(usage.Source{Name: name, Role: member.RoleEntry}, store, time.Hour, discardLogger())
		group.Add(1)
		go func() {
			defer group.Done()
			for range requests {
				meter.Record(usage.Event{Key: usage.Key{Customer: "small"}, Outcome: dispatch.Done})
			}
			meter.Close(context.Background())
			for meter.PendingHours() > 0 {
				meter.Flush(context.Background())
			}
		}()
	}
	group.Wait()
	qt.Assert(t, totalDone(t, store), qt.Equals, int64(daemons*requests))
}

// TestLostResponseIsNotWrittenAgain checks that a write whose response was lost
// is not repeated and that nothing is counted twice.
func TestLostResponseIsNotWrittenAgain(t *testing.T) {
	c := qt.New(t)
	store := newFakeStore()
	store.loseResponses = true
	meter := New(usage.Source{Name: "entry-1", Role: member.RoleEntry}, store, time.Hour, discardLogger())
	for number := range int64(3) {
		meter.Record(usage.Event{Key: usage.Key{Customer: "small"}, Outcome: dispatch.Done})
		meter.Flush(context.Background())
		meter.Flush(context.Background())
		c.Assert(totalDone(t, store), qt.Equals, number+1)
	}
	meter.Close(context.Background())
	c.Assert(meter.PendingHours(), qt.Equals, 0)
	c.Assert(totalDone(t, store), qt.Equals, int64(3))
	c.Assert(store.puts, qt.Equals, 4)
	c.Assert(meter.FailedFlushes(), qt.Equals, int64(0))
}

// TestFlushDoesNotRetryDuringOutage checks that a flush does not retry while
// the store fails every write, and that the counts are written after the
// outage.
func TestFlushDoesNotRetryDuringOutage(t *testing.T) {
	c := qt.New(t)
	store := newFakeStore()
	store.down = true
	meter := New(usage.Source{Name: "entry-1", Role: member.RoleEntry}, store, time.Hour, discardLogger())
	meter.Record(usage.Event{Key: usage.Key{Customer: "small"}, Outcome: dispatch.Done})
	meter.Flush(context.Background())
	c.Assert(store.puts, qt.Equals, 1)
	c.Assert(meter.FailedFlushes(), qt.Equals, int64(1))
	store.down = false
	meter.Flush(context.Background())
	c.Assert(totalDone(t, store), qt.Equals, int64(1))
}

// recorder keeps the last event.
type recorder struct{ last usage.Event }

func (r *recorder) Record(event usage.Event) { r.last = event }

func TestWriterCountsTokens(t *testing.T) {
	c := qt.New(t)
	var events recorder
	w := NewWriter(httptest.NewRecorder(), &events, "small", "model")
	w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
	w.Header().Set(engine.HeaderTokensIn, "4")
	for range 3 {
		_, _ = w.Write([]byte("data: x\n\n"))
	}
	w.EndAttempt()
	c.Assert(events.last, qt.Equals, usage.Event{Key: usage.Key{Customer: "small", Pool: "model"}, Outcome: dispatch.Unknown, TokensIn: 4, TokensOut: 3})

	w = NewWriter(httptest.NewRecorder(), &events, "small", "model")
	w.Header().Set(engine.HeaderTokensOut, "-5")
	w.Header().Set(message.HeaderVersion, "v1")
	w.Header().Set(message.HeaderComplete, message.HeaderCompleteValue)
	_, _ = w.Write([]byte("data: x\n\n"))
	w.EndAttempt()
	c.Assert(events.last, qt.Equals, usage.Event{Key: usage.Key{Customer: "small", Pool: "model", Version: "v1"}, Outcome: dispatch.Done})
}

// TestUnreadableDocumentDoesNotBlockOthers covers a document in the store that cannot be
// read: the usage of other days is written all the same.
func TestUnreadableDocumentDoesNotBlockOthers(t *testing.T) {
	c := qt.New(t)
	store := newFakeStore()
	source := usage.Source{Name: "entry-1", Role: member.RoleEntry}
	meter := New(source, store, time.Hour, discardLogger())
	now := time.Now()
	for _, at := range []time.Time{now.Add(-40 * time.Hour), now.Add(-20 * time.Hour), now} {
		meter.counter.Count(usage.Event{Key: usage.Key{Customer: "small"}, Outcome: dispatch.Done}, at)
	}
	meter.mu.Lock()
	pending := meter.counter.Pending(now)
	meter.mu.Unlock()
	// Two of the hours may be of the same day, and then in the same document.
	names := map[string]bool{}
	for _, report := range pending {
		names[usage.DocumentName(report.Source, report.Hour)] = true
	}
	c.Assert(len(names) >= 2, qt.IsTrue)
	broken := usage.DocumentName(pending[0].Source, pending[0].Hour)
	store.objects[broken] = platform.Object{Name: broken, Version: 1, Value: json.RawMessage(`"not a document"`)}
	meter.Flush(t.Context())
	c.Assert(store.objects, qt.HasLen, len(names))
	c.Assert(meter.FailedFlushes(), qt.Equals, int64(1))
}
