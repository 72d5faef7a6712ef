package loader

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// engineRuns are the requests that an engine has begun.
type engineRuns struct {
	mu  sync.Mutex
	all []standin.Execution
}

func (r *engineRuns) record(execution standin.Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, execution)
}

func (r *engineRuns) begun() []standin.Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all
}

// writeTo sends a request for version 1 to the engine and returns its status and body.
func writeTo(address, attempt string) (status int, body string, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/write/x", strings.NewReader(attempt))
	if err != nil {
		return 0, "", err
	}
	standin.CallerRequest{AttemptID: attempt, Events: 3, TimeLeft: 5 * time.Second}.SetHeaders(request.Header)
	request.Header.Set(standin.HeaderExpectID, "i-0")
	request.Header.Set("Expect-Version", "1")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(bufio.NewReader(response.Body))
	return response.StatusCode, string(raw), err
}

// TestOrderLeavesWaitingRequestsOnTheirWeights guards against requests that an engine has
// received and not begun, and that begin on other weights than those they were sent to, or end
// without a response, because the agent orders the engine to load (incident 0013).
func TestOrderLeavesWaitingRequestsOnTheirWeights(t *testing.T) {
	c := qt.New(t)
	const firstToken = 1500 * time.Millisecond
	var runs engineRuns
	engineWeights := standin.Weights{Model: model, Chunks: 4, ChunkBytes: 8, Layers: 1}
	backend := standin.NewBackend(standin.BackendConfig{ID: "i-0", Pool: "s", Slots: 4, Weights: &engineWeights, OnStart: runs.record}, 1, nil)
	backend.SetFaults(standin.BackendFaults{SilentAt: 1, SilentFor: firstToken})
	server := httptest.NewServer(backend)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	a, _ := newTestAgent(t)
	a.engine = platform.NewEngineClient(address, http.DefaultTransport)
	// Streams that can't be resumed are not cut for an order.
	a.settings.Pool = "s"
	a.table = catalog.New(1, catalog.Limits{}, []catalog.Route{{Name: "write", Kind: catalog.Streaming, Targets: []catalog.Target{{Pool: "s"}}}}, []catalog.Pool{a.pool}, nil)
	a.readReport(t.Context())
	c.Assert(a.report.LoadedVersion, qt.Equals, int64(1))

	type result struct {
		status int
		body   string
		err    error
	}
	sent, waiting := time.Now(), make(chan result, 1)
	go func() {
		status, body, err := writeTo(address, "waiting")
		waiting <- result{status, body, err}
	}()
	for len(runs.begun()) == 0 {
		time.Sleep(time.Millisecond)
	}
	last := a.loadTarget(t.Context(), verification{version: 2, at: clock.Now()}, loadOrder{})
	c.Assert(last.version, qt.Equals, int64(2))
	c.Check(time.Since(sent) >= maxDrain, qt.IsTrue, qt.Commentf("the order came after %s", time.Since(sent)))
	c.Check(time.Since(sent) < firstToken, qt.IsTrue, qt.Commentf("the order came after %s", time.Since(sent)))
	status, _, err := writeTo(address, "during the order")
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(backend.LoadedVersion(), qt.Equals, int64(1))

	got := <-waiting
	c.Assert(got.err, qt.IsNil)
	c.Check(got.status, qt.Equals, http.StatusOK)
	c.Check(strings.Count(got.body, "id: "), qt.Equals, 3)
	for backend.LoadedVersion() != 2 {
		time.Sleep(time.Millisecond)
	}
	status, _, err = writeTo(address, "after the load")
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusMisdirectedRequest)
	begun := runs.begun()
	c.Assert(begun, qt.HasLen, 1)
	c.Check(begun[0].Version, qt.Equals, int64(1))
}
