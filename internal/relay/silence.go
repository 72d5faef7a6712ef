package relay

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
)

// silenceCheck returns the check whether an attempt may be given up because its instance is
// silent: if another instance can take the request now, or this start has ended. Otherwise
// its response, which may still come, is worth more than none.
func (x *exchange) silenceCheck(choice placement.Choice) func() bool {
	if !x.route.Repeatable() {
		// Such an attempt has no timeout for silence.
		return nil
	}
	// The check runs on another goroutine than the attempt, which changes the exchange.
	need, mayRepeat, isLogged := x.repeatNeed(), x.decision.MayRepeat(clock.Now()), false
	return func() bool {
		if x.frontend.scheduler.hasEnded(choice) || mayRepeat && x.canRepeat(need) {
			return true
		}
		if !isLogged {
			isLogged = true
			x.frontend.log.WithFields(logrus.Fields{"request": x.call.AttemptID, "backend": choice.Backend.ID, "pool": x.pool}).
				Info("a backend server is silent; its response is awaited, because no other instance can take the request")
		}
		return false
	}
}

// repeatNeed returns what a further attempt needs.
func (x *exchange) repeatNeed() placement.Requirements {
	need := x.placementNeed()
	need.MaxWait, need.ReservedSlots, need.Tried = 0, 0, maps.Clone(x.tried)
	return need
}

// canRepeat reports whether another instance has a free slot for the request, and the retry
// budget allows the attempt.
func (x *exchange) canRepeat(need placement.Requirements) bool {
	need.MinVersion = x.requiredVersion()
	return x.frontend.scheduler.canRepeat(need, clock.Now())
}

// canRepeatNow reports whether the request would be sent to another instance if the attempt
// failed now.
func (x *exchange) canRepeatNow() bool {
	return x.decision.MayRepeat(clock.Now()) && x.canRepeat(x.repeatNeed())
}

func (s *scheduler) canRepeat(need placement.Requirements, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.HasFreeSlot(need, now) && s.retryBudget(need.Pool).Allows(now)
}

func (s *scheduler) hasEnded(choice placement.Choice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.HasEnded(choice)
}
