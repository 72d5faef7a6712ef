package relay

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"plantainrelay/internal/admission"
	"plantainrelay/internal/metrics"
)

const (
	// relaxedWaitFactor multiplies the acceptable wait for the first event of a request that
	// would otherwise be passed until it is shed. Together with the time in the queue, half
	// of the objective, it stays below the four objectives after which callers give up.
	relaxedWaitFactor = 2
	// classLabels is the number of classes with a label of their own.
	classLabels = 10
)

// relax lets a request take an instance that starts it later than its objective, and the slots
// that are kept for others, if that makes it startable now. The caller holds mu.
func (s *scheduler) relax(t *ticket, now time.Time) bool {
	need := t.need
	need.MaxWait, need.ReservedSlots = relaxedWaitFactor*need.MaxWait, 0
	if !s.fleet.HasFreeSlot(need, now) {
		return false
	}
	t.need = need
	return true
}

// newShedCounter registers the counter of shed requests and returns the function that counts
// one.
func newShedCounter(m *metrics.Metrics) func(class int, reason admission.Reason) {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: metrics.Namespace, Name: "shed_requests_total", Help: "Queued requests that were rejected, by priority class and reason.",
	}, []string{"class", "reason"})
	m.Registry.MustRegister(counter)
	return func(class int, reason admission.Reason) {
		counter.WithLabelValues(classLabel(class), string(reason)).Inc()
	}
}

// classLabel returns the label of a priority class. Classes from classLabels on share one, so
// that the tables cannot cause any number of labels.
func classLabel(class int) string {
	switch {
	case class < 0:
		return "resumed"
	case class >= classLabels:
		return "other"
	}
	return strconv.Itoa(class)
}
