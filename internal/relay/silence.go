package relay

import (
	"maps"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/admission"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
)

// silenceDecision returns the decision whether an attempt is given up because its instance
// is silent: if another instance has begun to respond to the request, or if this start of the
// instance has ended. Otherwise its response, which may still come, is worth more than none.
func (x *exchange) silenceDecision(choice placement.Choice, further *standbys) func() giveUp {
	if !x.route.Repeatable() {
		// Such an attempt has no timeout for silence.
		return nil
	}
	isLogged := false
	return func() giveUp {
		if reserved := further.try(); reserved != nil {
			return giveUp{isAllowed: true, reserved: reserved}
		}
		if x.frontend.scheduler.hasEnded(choice) {
			return giveUp{isAllowed: true}
		}
		if !isLogged {
			isLogged = true
			x.frontend.log.WithFields(logrus.Fields{"request": x.call.AttemptID, "backend": choice.Backend.ID, "pool": x.pool}).
				Info("a backend server is silent; its response is awaited, because no other instance can take the request")
		}
		return giveUp{}
	}
}

// boundDecision returns the decision about an attempt that has not started when the bound on the
// version of its instance is about to end: it is given up, with the next attempt reserved if
// possible.
func (x *exchange) boundDecision(choice placement.Choice, next *ticket) func() giveUp {
	mayRepeat := x.decision.MayRepeatEnded(clock.Now())
	return func() giveUp {
		limit, limited := x.startLimit(choice)
		if !limited || limit > 0 {
			return giveUp{}
		}
		if !mayRepeat {
			return giveUp{isAllowed: true}
		}
		return giveUp{isAllowed: true, reserved: x.reserveRepeat(next)}
	}
}

// repeatTicket returns the ticket of a further attempt that is made while another one is in
// progress, and is not queued.
func (x *exchange) repeatTicket() *ticket {
	t := &ticket{Ticket: admission.Ticket{Customer: x.customer.Name, Route: x.route.Name}, need: x.placementNeed(), restrict: x.restrictRegions()}
	t.need.MaxWait, t.need.ReservedSlots, t.need.Tried = 0, 0, maps.Clone(x.tried)
	t.need.RandomizeChoice = true
	t.need.AvoidSwitch = x.model != "" && x.decision.RemainingAttempts() <= 1
	return t
}

// reserveRepeatNow reserves the next attempt of the request, whose current one has failed. It
// reports whether there will be one.
func (x *exchange) reserveRepeatNow() bool {
	if !x.decision.MayRepeat(clock.Now()) {
		return false
	}
	x.reserved = x.reserveRepeat(x.repeatTicket())
	return x.reserved != nil
}

func (s *scheduler) hasEnded(choice placement.Choice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.HasEnded(choice)
}

func (s *scheduler) hasSwitched(choice placement.Choice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.HasSwitched(choice)
}
