package relay

import (
	"time"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
)

// reservation is what a further attempt of a request needs: a slot of another instance, a
// retry of the pool's budget, and the turn of a probe if a part of the prompt is on
// probation. An attempt that may still succeed is given up only for a reservation, since a
// check alone may become untrue by the decision of another request.
type reservation struct {
	ticket *ticket
	choice placement.Choice
	// takenAt is when the retry was taken from the budget; isRetryUsed means that it
	// counts for an attempt.
	takenAt     time.Time
	isRetryUsed bool
	// isSent means that the request was sent to the instance, so that the retry counts there;
	// result is what became of that attempt if it was not taken over, and standby the response
	// that has begun.
	isSent  bool
	result  placement.Result
	standby *standby
}

// reserve takes a slot and a retry for a request that is not queued. It returns nil if one of
// them is not available.
func (s *scheduler) reserve(t *ticket) *reservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.updateNeed(t, now)
	// Requests that wait have no instance; this one has.
	s.dispatchWaiting(t.need.Pool, now)
	budget := s.retryBudget(t.need.Pool)
	if !budget.Allows(now) {
		return nil
	}
	choice, found := s.fleet.Choose(t.need, now)
	if !found {
		return nil
	}
	budget.TryRetry(now)
	s.queue(t.need.Pool).Start(t.Customer)
	s.loadChanged(choice.Backend.ID, true)
	return &reservation{ticket: t, choice: choice, takenAt: now, result: placement.NotUsed}
}

// cancelReservation returns what reserve has taken. A retry that counts for an attempt stays
// in the budget. A response that has begun is ended.
func (s *scheduler) cancelReservation(r *reservation) {
	if r.standby != nil {
		r.standby.close()
		r.result = placement.CallerDisconnected
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	if !r.isRetryUsed && !r.isSent {
		s.retryBudget(r.ticket.need.Pool).ReturnRetry(r.takenAt, now)
	}
	s.slotReturned(r.ticket, r.choice, r.result, now)
}

// reserveRepeat reserves what the next attempt of the request needs, for a ticket like next. It
// returns nil while no other instance can take the request, or a part of its prompt has to wait
// for its probe.
func (x *exchange) reserveRepeat(next *ticket) *reservation {
	needsProbe := len(x.parts) > 0 && !x.isTrial
	if needsProbe && !x.frontend.blocker.probeDue(x.model, x.parts) {
		return nil
	}
	t := *next
	reserved := x.frontend.scheduler.reserve(&t)
	if reserved == nil || !needsProbe || x.frontend.blocker.startProbe(x.model, x.parts) {
		return reserved
	}
	x.frontend.scheduler.cancelReservation(reserved)
	return nil
}

// takeReservation stops the watchdog of an attempt and takes over what it has reserved.
func (x *exchange) takeReservation(w *watchdog) {
	if reserved := w.stopAndTake(); reserved != nil {
		x.releaseReservation()
		x.reserved = reserved
	}
}

// releaseReservation returns a reservation that was not used.
func (x *exchange) releaseReservation() {
	if x.reserved == nil {
		return
	}
	x.frontend.scheduler.cancelReservation(x.reserved)
	x.reserved = nil
}
