package relay

import (
	"time"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/metrics"
	"plantainrelay/internal/placement"
)

// coldLimit returns the limit on requests to cold instances of a pool.
func (v *view) coldLimit(pool string) placement.ColdLimit {
	table := v.table()
	if table == nil {
		return placement.ColdLimit{}
	}
	found := table.Pools[pool]
	return placement.ColdLimit{Time: found.ColdTime, RequestsPerSecond: found.ColdRequestsPerSecond}
}

// recordEntries records the live entries and those of them that are leaving, which share the
// requests to cold instances. It is called regularly.
func (s *scheduler) recordEntries(self string, live, leaving []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.RecordEntries(self, live, leaving, now)
}

// registerColdMetrics registers the metrics of cold instances.
func registerColdMetrics(m *metrics.Metrics, s *scheduler) {
	m.Gauge("cold_instances", "Listed instances that count as cold at this entry.", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.fleet.ColdInstances(clock.Now()))
	})
	m.Counter("cold_sends_total", "Requests placed at instances that counted as cold.", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.fleet.ColdSends())
	})
}
