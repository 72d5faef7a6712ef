package agent

import (
	"time"

	"plantainrelay/internal/metrics"
)

// registerMetrics adds the metrics of an agent.
func (c *components) registerMetrics() {
	m := c.metrics
	m.Gauge("tables_revision", "Revision of the tables in force here; 0 means none.", func() float64 {
		return float64(c.sync.Revision())
	})
	m.Gauge("ready", "1 when this process is ready.", func() float64 {
		return metrics.Bool(len(c.readiness.Reasons()) == 0)
	})
	m.Gauge("gate_open", "1 when requests are admitted to the backend server.", func() float64 {
		return metrics.Bool(c.gate.State().Open)
	})
	m.Gauge("requests_running", "Requests in progress on the backend server.", func() float64 {
		return float64(c.gate.State().Running)
	})
	m.Gauge("chunks_held", "Chunks of the intended weights that are held here.", func() float64 {
		return float64(c.driver.Status().Held)
	})
	m.Gauge("chunks_needed", "Chunks of the intended weights.", func() float64 {
		return float64(c.driver.Status().Chunks)
	})
	m.Gauge("load_failures", "Failed loads of the present target.", func() float64 {
		return float64(c.driver.Status().Failures)
	})
	m.Gauge("list_age_seconds", "Age of the platform's list of instances in use here.", func() float64 {
		return time.Since(c.members.LastReadTime()).Seconds()
	})
	m.Counter("usage_write_failures_total", "Writes of usage to the store that failed.", func() float64 {
		return float64(c.meter.FailedFlushes())
	})
	m.Gauge("usage_pending_hours", "Hours of usage that the store does not have in full.", func() float64 {
		return float64(c.meter.PendingHours())
	})
}
