package entry

import (
	"time"

	"plantainrelay/internal/member"
	"plantainrelay/internal/metrics"
)

// registerMetrics adds the metrics of an entry.
func (p *components) registerMetrics() {
	m := p.metrics
	p.registerTableMetrics()
	m.Gauge("tables_revision", "Revision of the tables in force here; 0 means none.", func() float64 {
		return float64(p.tables.Revision())
	})
	m.Gauge("ready", "1 when this process is ready.", func() float64 {
		return metrics.Bool(len(p.readiness.Reasons()) == 0)
	})
	m.Gauge("agents_listed", "Agents in the platform's list of instances.", func() float64 {
		return float64(len(p.members.Current().Role(member.RoleAgent)))
	})
	m.Gauge("agents_reachable", "Agents whose state is known here.", func() float64 {
		return float64(len(p.states.All()))
	})
	m.Gauge("agents_open", "Agents that take requests.", func() float64 {
		open := 0
		for _, state := range p.states.All() {
			if state.Open {
				open++
			}
		}
		return float64(open)
	})
	m.Gauge("agents_load_failures", "Failed loads of the present targets, over all agents.", func() float64 {
		failures := 0
		for _, state := range p.states.All() {
			failures += state.Failures
		}
		return float64(failures)
	})
	m.Gauge("tables_revision_lowest", "Lowest revision in force at an agent known here.", func() float64 {
		lowest := p.tables.Revision()
		for _, state := range p.states.All() {
			lowest = min(lowest, state.Revision)
		}
		return float64(lowest)
	})
	m.Gauge("list_age_seconds", "Age of the platform's list of instances in use here.", func() float64 {
		return time.Since(p.members.LastReadTime()).Seconds()
	})
	m.Counter("usage_write_failures_total", "Writes of usage to the store that failed.", func() float64 {
		return float64(p.meter.FailedFlushes())
	})
	m.Gauge("usage_pending_hours", "Hours of usage that the store does not have in full.", func() float64 {
		return float64(p.meter.PendingHours())
	})
}
