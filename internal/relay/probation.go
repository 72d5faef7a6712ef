package relay

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/blocklist"
	"plantainrelay/internal/clock"
)

const (
	// reasonSuspected is the reason of a refusal because a part is on probation.
	reasonSuspected = "suspected_prompt"
	// suspectedRetryAfter is the Retry-After of such a refusal. A probe decides sooner about
	// a part that other requests have, too.
	suspectedRetryAfter = time.Second
)

// probeDue reports whether a request with these shared parts may be sent now, as far as parts
// on probation are concerned.
func (b *blocker) probeDue(model string, parts []string) bool {
	return b.checkProbation(model, parts, (*blocklist.List).ProbeDue)
}

// startProbe is like probeDue and records that the request is sent.
func (b *blocker) startProbe(model string, parts []string) bool {
	return b.checkProbation(model, parts, (*blocklist.List).StartProbe)
}

func (b *blocker) checkProbation(model string, parts []string, check func(*blocklist.List, string, []string, blocklist.Turn, time.Time) bool) bool {
	now := clock.Now()
	b.mu.Lock()
	limited := b.list.OnProbation(model, parts)
	b.mu.Unlock()
	if len(limited) == 0 {
		return true
	}
	// The order of entries is not asked for while mu is held: heartbeats need both.
	ranks, count := map[blocklist.Part]int{}, 1
	for _, part := range limited {
		ranks[part], count = b.turn(part)
	}
	turn := func(part blocklist.Part) (rank, entries int) {
		rank, known := ranks[part]
		if !known {
			// The part has been on probation only since the check above.
			rank = count
		}
		return rank, count
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return check(b.list, model, parts, turn, now)
}

// mayBeSent reports whether parts of the request's prompt that are on probation let it be
// sent now.
func (x *exchange) mayBeSent() bool {
	if len(x.parts) == 0 || x.isTrial || x.frontend.blocker.startProbe(x.model, x.parts) {
		return true
	}
	x.frontend.log.WithFields(logrus.Fields{"request": x.call.AttemptID, "model": x.model, "shared_parts": x.parts}).
		Info("the request is not sent: a part of its prompt is suspected of crashes, and another request with it is under way")
	return false
}

// refuseSuspected ends a request that is not sent because of a part on probation.
func (x *exchange) refuseSuspected() {
	switch {
	case x.responseStarted:
		x.logOutcome(0, reasonSuspected)
		x.abort()
	case x.mayHaveRun():
		x.refuse(refusal{status: http.StatusBadGateway, reason: reasonSuspected})
	default:
		x.refuse(suspectedRefusal())
	}
}

func suspectedRefusal() refusal {
	return refusal{status: http.StatusServiceUnavailable, reason: reasonSuspected, retryAfter: suspectedRetryAfter}
}
