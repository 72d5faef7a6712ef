package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/metrics"
	"plantainrelay/internal/placement"
	"plantainrelay/platform"
)

const (
	// maxLeavingPerMessage bounds the leaving instances that one heartbeat names.
	maxLeavingPerMessage = 32
	// leavingReportPeriod is how long after it has learned of it this entry tells others
	// that an instance leaves: a few rounds of heartbeats in a large fleet.
	leavingReportPeriod = 10 * time.Second
)

// The sources of the knowledge that an instance leaves, apart from other entries.
const (
	sourceResponse = "response"
	sourceAgent    = "agent"
)

// recordNotice records what a response says about the instance that has sent it.
func (f *frontend) recordNotice(choice placement.Choice, info platform.ResponseInfo, record *attemptRecord) {
	f.recordReportedLoad(choice, info)
	log := f.log.WithFields(logrus.Fields{"backend": choice.Backend.ID, "pool": choice.Backend.Pool})
	if info.InvalidWait != "" {
		log.WithFields(logrus.Fields{"value": info.InvalidWait, "wait_ms": info.Wait.Milliseconds()}).Warning("a backend server asked for a wait that is not valid")
		f.metrics.notices.WithLabelValues("invalid_wait").Inc()
	}
	if !info.Leaving && info.Wait == 0 {
		return
	}
	record.Leaving, record.WaitMs = info.Leaving, info.Wait.Milliseconds()
	now := clock.Now()
	start, isLeaving, isWaiting := f.scheduler.recordNotice(choice, info, now)
	if isLeaving {
		f.logLeaving(start, sourceResponse)
	}
	if isWaiting {
		log.WithFields(logrus.Fields{"backend": start.ID, "wait_ms": info.Wait.Milliseconds()}).Info("a backend server asked for no requests")
		f.metrics.notices.WithLabelValues("wait").Inc()
	}
}

// recordLeaving records starts of instances that leave, as another process has reported
// them.
func (f *frontend) recordLeaving(starts []placement.InstanceStart, source string) {
	now := clock.Now()
	for _, start := range starts {
		if f.scheduler.markLeaving(start, now) {
			f.logLeaving(start, source)
		}
	}
}

func (f *frontend) logLeaving(start placement.InstanceStart, source string) {
	f.log.WithFields(logrus.Fields{"backend": start.ID, "born": start.Start, "source": source}).Info("a backend server says that it is leaving")
	f.metrics.notices.WithLabelValues("leaving").Inc()
}

// encodeLeaving returns the starts of instances that a heartbeat names as leaving.
func encodeLeaving(starts []placement.InstanceStart) []beat.LeavingBackend {
	var encoded []beat.LeavingBackend
	for _, start := range starts {
		encoded = append(encoded, beat.LeavingBackend{ID: start.ID, Born: start.Start})
	}
	return encoded
}

// decodeLeaving returns the starts of instances that a heartbeat names as leaving, at most
// maxLeavingPerMessage.
func decodeLeaving(encoded []beat.LeavingBackend) []placement.InstanceStart {
	var starts []placement.InstanceStart
	for _, one := range encoded[:min(len(encoded), maxLeavingPerMessage)] {
		starts = append(starts, placement.InstanceStart{ID: one.ID, Start: one.Born})
	}
	return starts
}

// recordNotice records what a response says about the instance that has sent it. It
// returns its start, and whether it is news that it leaves or wants no requests.
func (s *scheduler) recordNotice(choice placement.Choice, info platform.ResponseInfo, now time.Time) (start placement.InstanceStart, isLeaving, isWaiting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	start, found := s.fleet.Responder(choice, info.InstanceID)
	if !found {
		return start, false, false
	}
	if info.Leaving {
		isLeaving = s.fleet.MarkLeaving(start, now)
	}
	if info.Wait > 0 {
		isWaiting = s.fleet.RecordWait(start, now.Add(info.Wait), now)
	}
	return start, isLeaving, isWaiting
}

func (s *scheduler) markLeaving(start placement.InstanceStart, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.MarkLeaving(start, now)
}

// instanceAt returns the instance at host if it is the given start.
func (s *scheduler) instanceAt(host string, start int64) (placement.InstanceStart, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.InstanceAt(host, start)
}

// recentlyLeaving returns the starts of instances of which other entries are told that
// they leave.
func (s *scheduler) recentlyLeaving(now time.Time) []placement.InstanceStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.RecentlyLeaving(now.Add(-leavingReportPeriod), maxLeavingPerMessage)
}

// rejectWhileAllWait rejects the queued requests of a pool whose instances have all asked
// for no requests, unless one of them can take the request before its queue time ends. The
// caller holds mu.
func (s *scheduler) rejectWhileAllWait(pool string, now time.Time) {
	if !s.fleet.HasWaiting(now) {
		return
	}
	for id, t := range s.tickets {
		if t.need.Pool != pool {
			continue
		}
		wait, all := s.fleet.PoolWait(t.need, now)
		if !all || !wait.StartsAt.IsZero() && !wait.StartsAt.After(t.StartBy) {
			continue
		}
		s.queue(pool).Cancel(id)
		delete(s.tickets, id)
		t.reason, t.retryAfter = reasonInstancesWait, min(max(wait.EndsAt.Sub(now), minRetryAfter), maxReturnDelay(t, now))
		close(t.placed)
	}
}

// noticeCounts returns the number of listed instances that have said that they leave, and
// of those that want no requests now.
func (s *scheduler) noticeCounts() (leaving, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.NoticeCounts(clock.Now())
}

// registerNoticeGauges registers the gauges of instances that leave or wait.
func registerNoticeGauges(m *metrics.Metrics, s *scheduler) {
	m.Gauge("leaving_instances", "Listed instances that have said that they are leaving.", func() float64 {
		leaving, _ := s.noticeCounts()
		return float64(leaving)
	})
	m.Gauge("waiting_instances", "Listed instances that want no requests from this entry now.", func() float64 {
		_, waiting := s.noticeCounts()
		return float64(waiting)
	})
}

func newNoticeCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: metrics.Namespace, Name: "instance_notices_total", Help: "What instances have said about themselves, by kind.",
	}, []string{"kind"})
}
