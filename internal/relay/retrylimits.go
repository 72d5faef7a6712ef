package relay

import (
	"slices"
	"time"

	"plantainrelay/internal/clock"
)

// retryLimits bound the retries of all entries together.
type retryLimits struct {
	window       time.Duration
	ratio, slack float64
}

// slackSharers counts the entries that share the retry slack. One that has ended counts for
// a window more, in which its retries still count.
type slackSharers struct {
	count int
	// endedAt holds when those of them have ended that are not live, the earliest first.
	endedAt []time.Time
}

// update records the number of live entries.
func (s *slackSharers) update(live int, window time.Duration, now time.Time) {
	for known := s.count - len(s.endedAt); known > live; known-- {
		s.endedAt = append(s.endedAt, now)
	}
	returned := max(live-(s.count-len(s.endedAt)), 0)
	s.endedAt = s.endedAt[:max(len(s.endedAt)-returned, 0)]
	s.endedAt = slices.DeleteFunc(s.endedAt, func(at time.Time) bool { return now.Sub(at) > window })
	s.count = live + len(s.endedAt)
}

// retrySlackShare returns this entry's share of the retry slack, the retries allowed
// regardless of the number of requests. The caller holds mu.
func (s *scheduler) retrySlackShare(now time.Time) float64 {
	if now.Before(s.retrySlackFrom) {
		return 0
	}
	return s.retryLimits.slack / float64(s.slackSharers.count)
}

// setRetryLimits replaces the bounds on retries. Earlier retries still count.
func (s *scheduler) setRetryLimits(retries retryLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryLimits = retries
	now := clock.Now()
	slack := s.retrySlackShare(now)
	for _, budget := range s.retryBudgets {
		budget.SetLimits(retries.window, retries.ratio, now)
		budget.SetSlack(slack)
	}
}

// setEntries records the live entries, self among them, which share the retry budget. It is
// called regularly.
func (s *scheduler) setEntries(self string, hosts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.fleet.SetEntries(self, hosts)
	s.slackSharers.update(len(hosts), s.retryLimits.window, now)
	slack := s.retrySlackShare(now)
	for _, budget := range s.retryBudgets {
		budget.SetSlack(slack)
	}
}
