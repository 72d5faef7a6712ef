package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/daemon"
	"plantainrelay/internal/intake"
	"plantainrelay/internal/metrics"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// fixture is a frontend behind a test server, with fake backend server instances.
type fixture struct {
	frontend *frontend
	server   *httptest.Server
}

const (
	testHost    = "a.example"
	testAttempt = "attempt-1"
)

// newFixture starts a frontend that forwards to the given instances.
func newFixture(t *testing.T, handlers ...http.HandlerFunc) *fixture {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	logger := log.WithField("test", t.Name())
	scheduler := newScheduler(placement.New(placement.Config{MaxPeerLoadAge: time.Second, FailureBackoff: 100 * time.Millisecond, MaxFailureBackoff: time.Second, Seed: 1, Regions: testRegions}),
		retryLimits{window: 10 * time.Second, ratio: 0.2, slack: 10})
	counts := newFrontendMetrics(metrics.New())
	blocker := newBlocker(logger, counts.blocks)
	view := newView(scheduler, blocker, time.Minute, time.Second, logger)
	scheduler.minVersion = view.minVersion
	view.copies = copies.New(copies.Config{Log: logger, Changed: view.handleChange})
	table := replica.Document{Name: platform.TableName, Revision: replica.Revision{Number: 1}, Body: []byte(standin.EntryTestTable)}
	view.copies.ApplyFromPeer(platform.Tables, replica.Change{Whole: true, AsOf: replica.Revision{Number: 1}, Documents: []replica.Document{table}}, clock.Now(), "peer")
	var backends []replica.Document
	for i, handler := range handlers {
		instance := httptest.NewServer(handler)
		t.Cleanup(instance.Close)
		body := standin.EntryTestBackend(strings.TrimPrefix(instance.URL, "http://"))
		backends = append(backends, replica.Document{Name: fmt.Sprintf("i-%d", i), Revision: replica.Revision{Number: 1}, Body: []byte(body)})
	}
	view.copies.ApplyFromPeer(platform.Backends, replica.Change{Whole: true, AsOf: replica.Revision{Number: 1}, Documents: backends}, clock.Now(), "peer")
	f := &frontend{view: view, scheduler: scheduler, blocker: blocker, blockGate: &blockGate{view: view, copies: view.copies}, sender: newSender(), log: logger, metrics: counts, returningCallers: newReturningCallerDetector(), shutdown: newShutdown(), bodies: newBodyStore(intake.NewLimits(intake.Machine{}, intake.Settings{})), refusals: newRefusalLog(logger)}
	f.setBounds(platform.Bounds{ConfigApplyTime: 2 * time.Second, KeyRevokeTime: 5 * time.Second})
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	return &fixture{frontend: f, server: server}
}

// do sends a request with a valid key.
func (f *fixture) do(method, path string, modifiers ...func(*http.Request)) (*http.Response, string, error) {
	request, err := http.NewRequest(method, f.server.URL+path, strings.NewReader("body"))
	if err != nil {
		return nil, "", err
	}
	request.Host = testHost
	request.Header.Set(standin.HeaderAttempt, testAttempt)
	request.Header.Set(standin.HeaderTimeLeft, "2500")
	request.Header.Set(standin.HeaderKey, "good")
	for _, modify := range modifiers {
		modify(request)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func writeSeal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(standin.HeaderAttempt, r.Header.Get(standin.HeaderAttempt))
	w.Header().Set(standin.HeaderSeal, "seal-"+r.Header.Get(standin.HeaderExpectID))
}

func answerOK(w http.ResponseWriter, r *http.Request) {
	writeSeal(w, r)
	fmt.Fprint(w, "answer")
}

func answerError(w http.ResponseWriter, r *http.Request) {
	writeSeal(w, r)
	w.WriteHeader(http.StatusInternalServerError)
	fmt.Fprint(w, "its own words")
}

func rejectAsFull(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(standin.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// writeEvents writes and flushes the events with the IDs from..to.
func writeEvents(w http.ResponseWriter, from, to int) {
	for id := from; id <= to; id++ {
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id)
		w.(http.Flusher).Flush()
	}
}

// hangUntilClosed sends nothing until the connection closes. It reads the body first,
// because a server detects a closed connection only after that.
func hangUntilClosed(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// resetConnection aborts the connection in the middle of a response.
func resetConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func TestRequestIsForwardedUnchanged(t *testing.T) {
	c := qt.New(t)
	var got *http.Request
	var body string
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		got, body = r.Clone(context.Background()), string(raw)
		answerOK(w, r)
	})
	response, answer, err := f.do(http.MethodPost, "/once/a%2Fb//c?x=1&y=%20", func(r *http.Request) { r.Header.Set(standin.HeaderModel, "m") })
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, 200)
	c.Assert(answer, qt.Equals, "answer")
	c.Assert(response.Header.Get(standin.HeaderSeal), qt.Equals, "seal-i-0")
	c.Assert(got.RequestURI, qt.Equals, "/once/a%2Fb//c?x=1&y=%20")
	c.Assert(got.Host, qt.Equals, testHost)
	c.Assert(body, qt.Equals, "body")
	c.Assert(got.Header.Get(standin.HeaderModel), qt.Equals, "m")
	c.Assert(got.Header.Get(standin.HeaderCustomer), qt.Equals, "firm")
	c.Assert(got.Header.Get(standin.HeaderKey), qt.Equals, "")
	c.Assert(got.Header.Get(standin.HeaderAttempt), qt.Equals, testAttempt)
}

func TestRefusals(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, answerOK)
	for _, test := range []struct {
		path   string
		change func(*http.Request)
		want   int
	}{
		{"/nowhere/", func(*http.Request) {}, http.StatusNotFound},
		{"/once/", func(r *http.Request) { r.Host = "other.example" }, http.StatusNotFound},
		{"/once/", func(r *http.Request) { r.Header.Set(standin.HeaderKey, "bad") }, http.StatusUnauthorized},
		{"/once/", func(r *http.Request) { r.Header.Del(standin.HeaderKey) }, http.StatusUnauthorized},
	} {
		response, _, err := f.do(http.MethodPost, test.path, test.change)
		c.Assert(err, qt.IsNil)
		c.Check(response.StatusCode, qt.Equals, test.want, qt.Commentf("%s", test.path))
		c.Check(response.Header.Get(standin.HeaderSeal), qt.Equals, "")
	}
}

func TestFullInstanceIsRetriedElsewhere(t *testing.T) {
	c := qt.New(t)
	var runs atomic.Int32
	run := func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		answerOK(w, r)
	}
	f := newFixture(t, rejectAsFull, run)
	for range 4 {
		response, _, err := f.do(http.MethodPost, "/once/")
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, 200)
	}
	c.Assert(runs.Load(), qt.Equals, int32(4))
}

func TestRefusalByAllInstancesIsReportedAsNotRun(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, rejectAsFull, rejectAsFull)
	response, _, err := f.do(http.MethodPost, "/once/")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Retry-After") != "", qt.IsTrue)
}

// TestLostResponseIsNotRetriedWhenNotIdempotent guards against running a non-idempotent
// request twice: the attempt whose response was lost may have run.
func TestLostResponseIsNotRetriedWhenNotIdempotent(t *testing.T) {
	c := qt.New(t)
	var runs atomic.Int32
	lose := func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		resetConnection(w)
	}
	f := newFixture(t, lose, lose)
	response, _, err := f.do(http.MethodPost, "/once/")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	c.Assert(runs.Load(), qt.Equals, int32(1))
}

func TestLostResponseIsRetriedElsewhereWhenIdempotent(t *testing.T) {
	c := qt.New(t)
	var runs atomic.Int32
	first := func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			resetConnection(w)
		}
		answerOK(w, r)
	}
	f := newFixture(t, first, first)
	response, body, err := f.do(http.MethodGet, "/look/")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, 200)
	c.Assert(body, qt.Equals, "answer")
	c.Assert(runs.Load(), qt.Equals, int32(2))
}

func TestResponseToAnotherAttemptIsNotForwarded(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(standin.HeaderAttempt, "another")
		answerOK(w, r)
	})
	response, body, err := f.do(http.MethodPost, "/once/")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	c.Assert(strings.Contains(body, "answer"), qt.IsFalse)
}

func TestInstanceErrorIsForwarded(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, answerError)
	response, body, err := f.do(http.MethodPost, "/once/")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusInternalServerError)
	c.Assert(response.Header.Get(standin.HeaderSeal), qt.Equals, "seal-i-0")
	c.Assert(body, qt.Equals, "its own words")
}

// TestTruncatedResponseIsNotForwarded covers a body shorter than its Content-Length.
func TestTruncatedResponseIsNotForwarded(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		writeSeal(w, r)
		w.Header().Set("Content-Length", "100")
		fmt.Fprint(w, "part")
	})
	response, _, err := f.do(http.MethodPost, "/once/")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
}

const wholeStream = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"

// TestBrokenStreamResumesElsewhere checks that a stream whose instance fails in the
// middle of an event is resumed at a second instance, after the last complete event and
// in the same response.
func TestBrokenStreamResumesElsewhere(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		writeSeal(w, r)
		if calls.Add(1) == 1 {
			writeEvents(w, 1, 2)
			fmt.Fprint(w, "id: 3\nda")
			w.(http.Flusher).Flush()
			resetConnection(w)
		}
		c.Check(r.Header.Get(standin.HeaderLastEvent), qt.Equals, "2")
		writeEvents(w, 3, 4)
	}
	f := newFixture(t, handler, handler)
	response, body, err := f.do(http.MethodPost, "/stream/")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, 200)
	c.Assert(body, qt.Equals, wholeStream)
	c.Assert(calls.Load(), qt.Equals, int32(2))
}

func TestStreamThatRepeatsEventsIsAborted(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		writeSeal(w, r)
		writeEvents(w, 1, 2)
		writeEvents(w, 2, 3)
	})
	_, body, err := f.do(http.MethodPost, "/fixed/")
	c.Assert(err, qt.IsNotNil)
	c.Assert(strings.Count(body, "id: 2") <= 1, qt.IsTrue)
}

// TestNonResumableStreamIsAborted guards against a partial stream that the caller takes
// for a complete one.
func TestNonResumableStreamIsAborted(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		writeSeal(w, r)
		writeEvents(w, 1, 2)
		resetConnection(w)
	}
	f := newFixture(t, handler, handler)
	_, _, err := f.do(http.MethodPost, "/fixed/")
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	c.Assert(calls.Load(), qt.Equals, int32(1))
}

// TestSilentStreamIsRetriedElsewhere checks that a request is sent to another instance
// when the first one hangs.
func TestSilentStreamIsRetriedElsewhere(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			hangUntilClosed(r)
			return
		}
		writeSeal(w, r)
		writeEvents(w, 1, 4)
	}
	f := newFixture(t, handler, handler)
	_, body, err := f.do(http.MethodPost, "/stream/")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, wholeStream)
}

// TestAttemptIsCanceledWhenTheCallerDisconnects checks that the connection to the
// instance is closed as well.
func TestAttemptIsCanceledWhenTheCallerDisconnects(t *testing.T) {
	c := qt.New(t)
	began, ended := make(chan struct{}), make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		writeSeal(w, r)
		writeEvents(w, 1, 1)
		close(began)
		hangUntilClosed(r)
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	_, _, err := f.do(http.MethodPost, "/fixed/", func(r *http.Request) { *r = *r.WithContext(ctx) })
	c.Assert(err, qt.IsNotNil)
	<-ended
}

// TestTimeLeftIsForwarded checks that an instance gets no more time than the caller has
// left.
func TestTimeLeftIsForwarded(t *testing.T) {
	c := qt.New(t)
	var deadline string
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		deadline = r.Header.Get(standin.HeaderTimeLeft)
		answerOK(w, r)
	})
	_, _, err := f.do(http.MethodPost, "/once/", func(r *http.Request) { r.Header.Set(standin.HeaderTimeLeft, "900") })
	c.Assert(err, qt.IsNil)
	var timeLeft int
	_, err = fmt.Sscan(deadline, &timeLeft)
	c.Assert(err, qt.IsNil)
	c.Assert(timeLeft > 0 && timeLeft <= 900, qt.IsTrue, qt.Commentf("%s", deadline))
}

func TestLeavingEntryClosesConnections(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, answerOK)
	f.frontend.shutdown.begin(daemon.Shutdown{SignaledAt: time.Now(), EndBy: time.Now().Add(5 * time.Second)})
	response, _, err := f.do(http.MethodPost, "/once/")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, 200)
	c.Assert(response.Close, qt.IsTrue)
}

func TestTooLargeBodyIsRefused(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, answerOK)
	limited := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, 2)
		f.frontend.ServeHTTP(w, r)
	}))
	t.Cleanup(limited.Close)
	f.server = limited
	response, _, err := f.do(http.MethodPost, "/once/")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
}

// TestDeadlineIsAnsweredWithTimeout checks that a request does not wait beyond its time
// limit.
func TestDeadlineIsAnsweredWithTimeout(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) { hangUntilClosed(r) })
	response, _, err := f.do(http.MethodPost, "/once/", func(r *http.Request) { r.Header.Set(standin.HeaderTimeLeft, "300") })
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
}

// TestBodyLimitOfTheTables checks the limit on request bodies that operators set in the
// tables.
func TestBodyLimitOfTheTables(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, answerOK)
	active := *f.frontend.view.active.Load()
	table := *active.Table
	table.Limits.BodyBytes = int64(len("body")) - 1
	f.frontend.view.active.Store(&activeTables{Table: &table, content: active.content, proof: active.proof})
	response, _, err := f.do(http.MethodPost, "/once/1")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	relaxed := table
	relaxed.Limits.BodyBytes++
	f.frontend.view.active.Store(&activeTables{Table: &relaxed, content: active.content, proof: active.proof})
	response, _, err = f.do(http.MethodPost, "/once/1")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
}
