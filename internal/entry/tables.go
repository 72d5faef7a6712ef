package entry

import (
	"plantainrelay/internal/member"
	"plantainrelay/internal/metrics"
	"plantainrelay/internal/propagate"
)

// registerTableMetrics adds the metrics of the tables, the store and the
// members.
func (p *components) registerTableMetrics() {
	m := p.metrics
	m.Gauge("tables_current", "1 when the tables were compared with those of peers.", func() float64 {
		return metrics.Bool(p.tables.State() == propagate.Current)
	})
	m.Gauge("store_unreachable", "1 when this process watches the store and its last call failed.", func() float64 {
		status := p.tables.Store()
		return metrics.Bool(status.Watches && !status.Reachable)
	})
	m.Gauge("store_behind", "1 when the store holds older tables than this process.", func() float64 {
		return metrics.Bool(p.tables.Store().Behind)
	})
	for _, status := range []member.PeerStatus{member.StatusUnreachable, member.StatusKept, member.StatusUnlisted} {
		m.Gauge("members_"+string(status), "Instances in the standing "+string(status)+".", func() float64 {
			return float64(p.tables.StatusCounts()[status])
		})
	}
}

// tablesNotReadyReason returns the reason why the tables are not ready to serve
// requests, or "" if they are.
func (p *components) tablesNotReadyReason() string {
	switch {
	case p.tables.Current() == nil:
		return "no tables are known yet"
	case p.tables.State() == propagate.Comparing:
		return "the tables are being compared with peers"
	}
	return ""
}
