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
	// yieldedSlots is the number of slots of each instance that requests of dominant customers and
	// less urgent classes leave free while others have to wait at some entry. Entries cannot see
	// each other's queues, and the entry that has many requests waiting takes most of the slots
	// that become free.
	yieldedSlots = 1
	// classLabels is the number of classes with a label of their own.
	classLabels = 10
)

// isStartable reports whether an instance can take the request on the given terms, and if so
// changes its needs accordingly. The caller holds mu.
func (s *scheduler) isStartable(t *ticket, terms admission.Terms, now time.Time) bool {
	s.updateNeed(t, now)
	need := t.need
	switch terms {
	case admission.Yielding:
		need.ReservedSlots = max(need.ReservedSlots, yieldedSlots)
	case admission.Relaxed:
		need.MaxWait, need.ReservedSlots = relaxedWaitFactor*need.MaxWait, 0
	case admission.Usual:
	}
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
