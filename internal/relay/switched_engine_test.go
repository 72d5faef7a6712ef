package relay

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
	"plantainrelay/platform/standin"
)

// TestRequestWhoseEngineSwitchesIsSentElsewhere guards against requests that wait at an engine
// until it has loaded other weights, and that begin there on weights they were not sent to, or
// are given up when the engine rejects them (incident 0013).
func TestRequestWhoseEngineSwitchesIsSentElsewhere(t *testing.T) {
	c := qt.New(t)
	var f *fixture
	var expected atomic.Value
	switched := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		expected.Store(r.Header.Get("Expect-Version"))
		f.loadWeights(2, 2)
		// The request is in the engine's queue while the engine loads.
		time.Sleep(200 * time.Millisecond)
		w.Header().Set("Instance-Id", "i-0")
		w.Header().Set(standin.HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
	f = newFixture(t, switched, func(w http.ResponseWriter, r *http.Request) {
		writeSeal(w, r)
		writeEvents(w, 1, 3)
	})
	go f.frontend.scheduler.Run(t.Context())
	f.loadWeights(1, 0)
	releases, _ := placement.NewReleases(time.Second, time.Second).Add(catalog.Release{Model: "m", Version: 1}, false, clock.Now().Add(-time.Minute))
	releases, _ = releases.Add(catalog.Release{Model: "m", Version: 2}, false, clock.Now())
	f.frontend.view.releases.Store(releases)
	response, body, err := f.do(http.MethodPost, "/stream/x")
	c.Assert(err, qt.IsNil)
	c.Assert(expected.Load(), qt.Equals, "1")
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	c.Assert(strings.Count(body, "id: "), qt.Equals, 3)
}
