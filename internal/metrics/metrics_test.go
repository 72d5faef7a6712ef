package metrics_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"plantainrelay/internal/metrics"
)

// TestRuntimeMetricsLeaveRoomForOurOwn guards against scrapes of which a monitoring system
// that keeps the first 4 KB stores no metric of this project.
func TestRuntimeMetricsLeaveRoomForOurOwn(t *testing.T) {
	const kept = 4000
	m := metrics.New()
	m.Gauge("example", "An example.", func() float64 { return 1 })
	response := httptest.NewRecorder()
	promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}).ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	before, _, found := strings.Cut(response.Body.String(), "plantain_example")
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, len(before) <= kept/2, qt.IsTrue, qt.Commentf("%d bytes", len(before)))
}
