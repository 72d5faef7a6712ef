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
				// The engine may still accept the order.
				c.Check(engine.stagedChunk(0), qt.Equals, string(chunkOf(2, 0)))
				time.Sleep(maxStagingDelay)
				a.stageChunk(context.Background(), next, 0, chunkOf(3, 0))
			}
			c.Check(engine.stagedChunk(0), qt.Equals, string(chunkOf(3, 0)))
		})
	}
}

func (e *fakeEngine) stagedChunk(chunk int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return string(e.staged[chunk])
}
