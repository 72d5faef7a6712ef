package relay

import (
	"github.com/prometheus/client_golang/prometheus"

	"plantainrelay/internal/metrics"
)

const namespace = "plantain"

// frontMetrics count what happens to requests. Their labels are reasons and
// outcomes, which the code bounds.
type frontMetrics struct {
	refused  *prometheus.CounterVec
	attempts *prometheus.CounterVec
	first    prometheus.Histogram
	whole    prometheus.Histogram
	queue    prometheus.Histogram
	store    *prometheus.CounterVec
}

// latencyBuckets are the bounds of the latency histograms in seconds: from the
// time that an entry itself takes to the longest time limit of a request.
var latencyBuckets = []float64{.001, .005, .02, .05, .1, .2, .3, .4, .5, .75, 1, 2, 4, 8}

func newFrontMetrics(m *metrics.Metrics) *frontMetrics {
	f := &frontMetrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "refused_total", Help: "Requests that this entry answered itself, by reason.",
		}, []string{"reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Attempts at backend server instances by outcome.",
		}, []string{"outcome"}),
		store: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_calls_total", Help: "Calls of the platform's store by collection.",
		}, []string{"method", "collection"}),
		first: histogram("first_event_seconds", "Time from a request's arrival to the first event of its answer."),
		whole: histogram("request_seconds", "Time from a request's arrival to the end of its answer."),
		queue: histogram("queue_seconds", "Time that attempts waited for a place."),
	}
	m.Registry.MustRegister(f.refused, f.attempts, f.store, f.first, f.whole, f.queue)
	return f
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets})
}
