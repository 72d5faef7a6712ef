// Package metrics holds the metrics of a daemon. Their labels are pools and
// outcomes only, which the tables bound.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"plantainrelay/internal/metering"
	"plantainrelay/internal/usage"
)

// Namespace starts the name of every metric of this project.
const Namespace = "plantain"

// Metrics is a registry with this project's metrics.
type Metrics struct {
	// Registry serves /metrics.
	Registry *prometheus.Registry
}

// New returns metrics of the process and the Go runtime.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return &Metrics{Registry: registry}
}

// Gauge adds a metric whose value is read when it is asked for.
func (m *Metrics) Gauge(name, help string, value func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, value))
}

// Counter adds a metric that only grows, whose value is read when it is asked
// for.
func (m *Metrics) Counter(name, help string, value func() float64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, value))
}

// Requests counts the events that pass on to the next recorder.
type Requests struct {
	next   metering.Recorder
	ended  *prometheus.CounterVec
	tokens *prometheus.CounterVec
}

// Requests returns a recorder that counts what name stands for, such as
// requests, by pool and outcome.
func (m *Metrics) Requests(name, help string, next metering.Recorder) *Requests {
	r := &Requests{
		next: next,
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: Namespace, Name: name + "_total", Help: help,
		}, []string{"pool", "outcome"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: Namespace, Name: name + "_tokens_total", Help: "Tokens of them by direction, in or out.",
		}, []string{"pool", "direction"}),
	}
	m.Registry.MustRegister(r.ended, r.tokens)
	return r
}

// Record implements metering.Recorder.
func (r *Requests) Record(event usage.Event) {
	r.ended.WithLabelValues(event.Pool, string(event.Outcome)).Inc()
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
