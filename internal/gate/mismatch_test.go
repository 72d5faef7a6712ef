package gate

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/engine"
	"plantainrelay/internal/peer"
)

// TestResponseFromOtherWeightsIsReported covers an engine that answers from other weights
// than the admitted ones, which has to close the gate. An attempt that was admitted for
// earlier weights says nothing about the current ones.
func TestResponseFromOtherWeightsIsReported(t *testing.T) {
	c := qt.New(t)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(engine.HeaderManifest, "other")
	}))
	t.Cleanup(backend.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := openGate(c, Config{MaxRunning: 10, MaxRecords: 10})
	admitted := AdmittedWeights{Manifest: "current"}
	g.Open(admitted)
	handler := NewHandler(g, backend.URL, peer.Security{}, nil, logrus.NewEntry(log))
	for _, attempt := range []struct {
		admitted AdmittedWeights
		reports  int
	}{{AdmittedWeights{Manifest: "earlier"}, 0}, {admitted, 1}} {
		e := &execution{handler: handler, attempt: "a", admitted: attempt.admitted, w: httptest.NewRecorder()}
		request := httptest.NewRequest(http.MethodPost, "/lookup", nil)
		c.Assert(func() { e.serve(request, "/lookup", nil, time.Now().Add(time.Minute)) }, qt.PanicMatches, http.ErrAbortHandler.Error())
		c.Assert(g.Mismatched(), qt.HasLen, attempt.reports)
	}
}
