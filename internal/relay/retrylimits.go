package relay

import (
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
	count   int
	endedAt time.Time
}

// update records the number of live entries.
func (s *slackSharers) update(live int, window time.Duration, now time.Time) {
	switch {
	case live >= s.count:
		s.count, s.endedAt = live, time.Time{}
	case s.endedAt.IsZero():
		s.endedAt = now
	case now.Sub(s.endedAt) > window:
		s.count, s.endedAt = live, time.Time{}
	}
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
