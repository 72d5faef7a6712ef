package loader

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"plantainrelay/internal/metrics"
	"plantainrelay/internal/swarm"
)

// agentMetrics holds the metrics of an agent. Label values are kinds of sources and
// outcomes, so their number is bounded by the code.
type agentMetrics struct {
	registry   *prometheus.Registry
	chunks     *prometheus.CounterVec
	bytes      *prometheus.CounterVec
	loadOrders *prometheus.CounterVec
	store      *prometheus.CounterVec
	// fetchTime is the time from learning of a release until all its chunks are
	// held, switchTime the time until the engine first reports to serve it.
	fetchTime  prometheus.Histogram
	switchTime prometheus.Histogram
}

// releaseBuckets are the histogram bounds in seconds, around the few seconds within
// which a version has to be served.
var releaseBuckets = []float64{.5, 1, 2, 3, 4, 5, 6, 8, 10, 15, 30, 60}

func newAgentMetrics(a *agent) *agentMetrics {
	m := metrics.New()
	m.Gauge("target_version", "Version that the engine is to serve.", func() float64 { return float64(a.currentTarget().version) })
	m.Gauge("loaded_version", "Version that the engine serves; 0 for none.", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.report.LoadedVersion)
	})
	m.Gauge("store_era", "Latest era of the store's revisions that this process knows of; it rises when the store is restored from an older copy.", func() float64 { return float64(a.copies.Era()) })
	vector := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metrics.Namespace, Name: name, Help: help}, labels)
	}
	histogram := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: metrics.Namespace, Name: name, Help: help, Buckets: releaseBuckets})
	}
	created := &agentMetrics{
		registry:   m.Registry,
		chunks:     vector("chunks_total", "Chunks asked for by kind of source and outcome.", "source", "outcome"),
		bytes:      vector("chunk_bytes_total", "Bytes of chunks received by kind of source.", "source"),
		loadOrders: vector("orders_total", "Orders to the engine by outcome.", "outcome"),
		store:      vector("store_calls_total", "Calls of the platform's store by collection.", "method", "collection"),
		fetchTime:  histogram("release_held_seconds", "Time from a release to its last chunk here."),
		switchTime: histogram("release_served_seconds", "Time from a release until the engine serves it."),
	}
	m.Registry.MustRegister(created.chunks, created.bytes, created.loadOrders, created.store, created.fetchTime, created.switchTime)
	return created
}

// countFetch counts a finished fetch.
func (m *agentMetrics) countFetch(source string, outcome swarm.Outcome, size int) {
	m.chunks.WithLabelValues(source, outcome.String()).Inc()
	m.bytes.WithLabelValues(source).Add(float64(size))
}

// observeSince records the time since began.
func observeSince(h prometheus.Histogram, began, now time.Time) { h.Observe(now.Sub(began).Seconds()) }
