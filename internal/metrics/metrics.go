// Package metrics holds the metrics of a daemon. Labels are only pool, outcome
// and direction, so that the tables limit the number of time series.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"plantainrelay/internal/metering"
	"plantainrelay/internal/usage"
)

// Namespace is the prefix of all metric names of this project.
const Namespace = "plantain"

// Metrics is a registry with this project's metrics.
type Metrics struct {
	// Registry serves /metrics.
	Registry *prometheus.Registry
}

// New returns a registry with the metrics of the process and a few of the Go runtime.
// Those of its memory are left out: a monitoring system that keeps only the beginning of
// each scrape would store little else.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	runtime := collectors.NewGoCollector(collectors.WithGoCollectorMemStatsMetricsDisabled())
	registry.MustRegister(runtime, collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return &Metrics{Registry: registry}
}

// Gauge registers a gauge whose value is read at each scrape.
func (m *Metrics) Gauge(name, help string, value func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, value))
}

// Counter registers a counter, which only grows, whose value is read at each
// scrape.
func (m *Metrics) Counter(name, help string, value func() float64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, value))
}

// EventCounter counts events and forwards them to the next recorder.
type EventCounter struct {
	next   metering.Recorder
	events *prometheus.CounterVec
	tokens *prometheus.CounterVec
}

// EventCounter returns a recorder that counts events by pool and outcome. name,
// such as requests, is the first part of the names of its metrics.
func (m *Metrics) EventCounter(name, help string, next metering.Recorder) *EventCounter {
	r := &EventCounter{
		next: next,
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: Namespace, Name: name + "_total", Help: help,
		}, []string{"pool", "outcome"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: Namespace, Name: name + "_tokens_total", Help: "Tokens of them by direction, in or out.",
		}, []string{"pool", "direction"}),
	}
	m.Registry.MustRegister(r.events, r.tokens)
	return r
}

// Record implements metering.Recorder.
func (r *EventCounter) Record(event usage.Event) {
	r.events.WithLabelValues(event.Pool, string(event.Outcome)).Inc()
	r.tokens.WithLabelValues(event.Pool, "in").Add(float64(event.TokensIn))
	r.tokens.WithLabelValues(event.Pool, "out").Add(float64(event.TokensOut))
	r.next.Record(event)
}

// Bool returns 1 for true and 0 for false.
func Bool(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
