package relay

import (
	"github.com/prometheus/client_golang/prometheus"

	"plantainrelay/internal/metrics"
)

// frontMetrics count what happens to requests. Their labels are reasons and
// outcomes, which the code bounds.
type frontMetrics struct {
	refused  *prometheus.CounterVec
	attempts *prometheus.CounterVec
	first    prometheus.Histogram
	whole    prometheus.Histogram
	queue    prometheus.Histogram
	store    *prometheus.CounterVec
	repeats  *prometheus.CounterVec
	bytes    *prometheus.CounterVec
	pause    prometheus.Histogram
}

// latencyBuckets are the bounds of the latency histograms in seconds: from the
// time that an entry itself takes to the longest time limit of a request.
var latencyBuckets = []float64{.001, .005, .02, .05, .1, .2, .3, .4, .5, .75, 1, 2, 4, 8}

func newFrontMetrics(m *metrics.Metrics) *frontMetrics {
	f := &frontMetrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "refused_total", Help: "Requests that this entry answered itself, by reason.",
		}, []string{"reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "attempts_total", Help: "Attempts at backend server instances by outcome.",
		}, []string{"outcome"}),
		store: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "store_calls_total", Help: "Calls of the platform's store by collection.",
		}, []string{"method", "collection"}),
		repeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "repeats_total", Help: "Further attempts asked of the retry budget by its answer.",
		}, []string{"granted"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "answer_bytes_total", Help: "Bytes of answers by the availability zone that they came from, own or other.",
		}, []string{"availability_zone"}),
		pause: histogram("longest_pause_seconds", "Longest pause between two events of a stream."),
		first: histogram("first_event_seconds", "Time from a request's arrival to the first event of its answer."),
		whole: histogram("request_seconds", "Time from a request's arrival to the end of its answer."),
		queue: histogram("queue_seconds", "Time that attempts waited for a place."),
	}
	m.Registry.MustRegister(f.refused, f.attempts, f.store, f.repeats, f.bytes, f.pause, f.first, f.whole, f.queue)
	return f
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: metrics.Namespace, Name: name, Help: help, Buckets: latencyBuckets})
}
