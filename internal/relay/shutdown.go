package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/daemon"
	"plantainrelay/internal/drain"
)

const (
	// answerMarginShare is the share of the time from the signal to the end of the process
	// that is kept for the final responses of the requests still in progress.
	answerMarginShare = 0.05
	// durationsPeriod is how long the duration of a request says how long others of its
	// route may take, at least.
	durationsPeriod = 20 * time.Second
	// leavingRetryAfter is the Retry-After of a request that this entry does not take any
	// more: the caller may go to another entry at once.
	leavingRetryAfter = 50 * time.Millisecond
	reasonLeaving     = "leaving"
)

// errShutdown cancels the requests that are still in progress when the process ends.
var errShutdown = errors.New("the entry stops; send the request to another one")

// shutdown is the planned stop of an entry. It is safe for concurrent use.
type shutdown struct {
	// plan is nil until the stop begins.
	plan atomic.Pointer[drain.Plan]
	// ending ends when the requests in progress get their final responses.
	ending context.Context
	end    context.CancelFunc

	mu        sync.Mutex
	durations *drain.Durations
}

func newShutdown() *shutdown {
	s := &shutdown{durations: drain.NewDurations(durationsPeriod, maxTrackedRoutes)}
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

// begin starts the stop with the times of the process's shutdown.
func (s *shutdown) begin(times daemon.Shutdown) {
	now := clock.Now()
	answerMargin := time.Duration(answerMarginShare * float64(times.EndBy.Sub(times.SignaledAt)))
	answerIn := time.Until(times.EndBy) - answerMargin
	s.plan.Store(&drain.Plan{SignaledAt: now.Add(-time.Since(times.SignaledAt)), AnswerBy: now.Add(answerIn)})
	time.AfterFunc(answerIn, s.end)
}

func (s *shutdown) hasBegun() bool { return s.plan.Load() != nil }

// recordDuration records how long a request took whose response is complete.
func (s *shutdown) recordDuration(route string, duration time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.durations.Record(route, duration, now)
}

func (s *shutdown) longest(route string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.durations.Longest(route, now)
}

// admitWhileStopping refuses a request whose response this entry could not complete before it
// ends.
func (x *exchange) admitWhileStopping() *refusal {
	plan := x.frontend.shutdown.plan.Load()
	if plan == nil {
		return nil
	}
	now := clock.Now()
	longest := x.frontend.shutdown.longest(x.route.Name, now)
	if plan.Admits(drain.Request{Deadline: x.deadline, Repeatable: x.route.Repeatable(), Longest: longest}, now) {
		return nil
	}
	x.frontend.log.WithFields(logrus.Fields{
		"request": x.call.AttemptID, "route": x.route.Name, "time_left_ms": x.deadline.Sub(now).Milliseconds(),
		"longest_ms": longest.Milliseconds(), "answer_in_ms": plan.AnswerBy.Sub(now).Milliseconds(),
	}).Info("a request is not taken: it may not end before this entry does")
	return leavingRefusal()
}

func leavingRefusal() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonLeaving, retryAfter: leavingRetryAfter}
}

// isCanceledByShutdown reports whether the request was canceled because the process ends.
func isCanceledByShutdown(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errShutdown)
}
