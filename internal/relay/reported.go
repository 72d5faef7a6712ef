package relay

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/metrics"
	"plantainrelay/internal/placement"
	"plantainrelay/platform"
)

// invalidLoadLogInterval is the least time between two log lines about invalid reports of loads,
// which may come with each response.
const invalidLoadLogInterval = 10 * time.Second

// invalidLoadLog limits the log lines about invalid reports of loads.
type invalidLoadLog struct {
	mu      sync.Mutex
	lastAt  time.Time
	skipped int
}

// allow reports whether a line may be logged now, and how many were skipped before it.
func (l *invalidLoadLog) allow(now time.Time) (skipped int, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lastAt.IsZero() && now.Sub(l.lastAt) < invalidLoadLogInterval {
		l.skipped++
		return 0, false
	}
	skipped = l.skipped
	l.lastAt, l.skipped = now, 0
	return skipped, true
}

// recordReportedLoad records the load that a response reports, and that its instance is cold.
func (f *frontend) recordReportedLoad(choice placement.Choice, info platform.ResponseInfo) {
	if info.Class == platform.Mismatched {
		return
	}
	now := clock.Now()
	if info.InvalidLoad != "" {
		f.metrics.loadReports.WithLabelValues("invalid").Inc()
		if skipped, allowed := f.invalidLoads.allow(now); allowed {
			f.log.WithFields(logrus.Fields{"backend": choice.Backend.ID, "pool": choice.Backend.Pool, "value": info.InvalidLoad, "skipped": skipped}).Warning("a backend server reported a load that is not valid; it is ignored")
		}
	}
	if info.Load == nil && info.ColdLeft == 0 {
		return
	}
	if info.Load != nil {
		f.metrics.loadReports.WithLabelValues("valid").Inc()
	}
	f.scheduler.recordReportedLoad(choice, info, now)
}

func (s *scheduler) recordReportedLoad(choice placement.Choice, info platform.ResponseInfo, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	start, found := s.fleet.Responder(choice, info.InstanceID)
	if !found {
		return
	}
	// Without the processing time, the report counts requests only, which entries tell each other
	// sooner: with such reports, more requests went to instances that were about to be full.
	if load := info.Load; load != nil && load.Slowdown > 0 {
		s.fleet.RecordLoad(start, placement.InstanceLoad{Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowdown: load.Slowdown}, now)
	}
	if info.ColdLeft > 0 {
		s.fleet.RecordCold(start, info.ColdLeft, now)
	}
}

func newLoadReportCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: metrics.Namespace, Name: "load_reports_total", Help: "Loads that responses of instances have reported, valid or invalid.",
	}, []string{"validity"})
}
