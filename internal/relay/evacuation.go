package relay

import (
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/metrics"
	"plantainrelay/platform"
)

const (
	// reasonEvacuationsUnknown is the reason of a refusal because this entry has just started
	// or was paused, and does not know yet which availability zones are evacuated.
	reasonEvacuationsUnknown = "evacuations_unknown"
	// evacuationsUnknownRetryAfter is the Retry-After of such a refusal.
	evacuationsUnknownRetryAfter = 500 * time.Millisecond
)

// entryKinds returns the collections that an entry replicates. Each call to the store has a
// price, so that evacuations are read only where the platform requests them.
func entryKinds(bounds platform.Bounds) []platform.Kind {
	if bounds.EvacuateTime > 0 {
		return platform.Kinds
	}
	return slices.DeleteFunc(slices.Clone(platform.Kinds), func(kind platform.Kind) bool { return kind == platform.Evacuations })
}

// newEvacuationGate returns the gate that holds back requests until this entry knows which
// availability zones are evacuated, or nil where the platform requests no evacuations.
func newEvacuationGate(bounds platform.Bounds, view *view, copies *copies.Copies) *blockGate {
	if bounds.EvacuateTime <= 0 {
		return nil
	}
	return &blockGate{kind: platform.Evacuations, copies: copies, view: view, applied: &view.evacuationsApplied, learnBy: clock.Now().Add(bounds.StableTime)}
}

// knowsEvacuations reports whether this entry has read the evacuations since its start, if there
// are any to read.
func (f *frontend) knowsEvacuations(now time.Time) bool {
	return f.evacuationGate == nil || f.evacuationGate.hasRead(now)
}

// admitZones refuses a request while this entry does not know which availability zones are
// evacuated.
func (x *exchange) admitZones() *refusal {
	gate := x.frontend.evacuationGate
	if gate == nil || gate.await(x.r.Context()) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonEvacuationsUnknown, retryAfter: evacuationsUnknownRetryAfter}
}

// decodeEvacuations applies the evacuations of availability zones.
func (v *view) decodeEvacuations() {
	snapshot, now := v.copies.Snapshot(platform.Evacuations), clock.Now()
	zones := platform.DecodeEvacuations(snapshot.Documents)
	last := v.scheduler.setEvacuated(zones)
	v.evacuationsApplied.Store(true)
	if slices.Equal(zones, last) {
		return
	}
	v.log.WithFields(logrus.Fields{
		"zones": zones, "last": last, "revision": snapshot.Content.Number, "era": snapshot.Content.Era, "proof_age_ms": now.Sub(snapshot.Proof).Milliseconds(),
	}).Info("evacuated availability zones changed")
}

// setEvacuated sets the availability zones whose instances get no requests, and returns the
// previous ones.
func (s *scheduler) setEvacuated(zones []string) (last []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last = s.fleet.Evacuated()
	s.fleet.SetEvacuated(zones, clock.Now())
	return last
}

// evacuated returns the availability zones whose instances get no requests.
func (s *scheduler) evacuated() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Evacuated()
}

func registerEvacuationGauge(m *metrics.Metrics, s *scheduler) {
	m.Gauge("evacuated_zones", "Availability zones whose instances get no requests from this entry, because their evacuation was requested.", func() float64 { return float64(len(s.evacuated())) })
}
