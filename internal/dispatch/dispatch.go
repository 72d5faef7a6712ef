// Package dispatch is the state machine of one request: its attempts and its
// outcome. It does no I/O: callers pass in events and the time, and get actions
// back.
//
// A request that is not repeatable is attempted again only if every earlier
// attempt is proven not to have started. The outcome not_run is reported only in
// that case.
package dispatch

import (
	"time"
)

// Outcome is the final state of a request as reported to its caller.
type Outcome string

// The outcomes. The set is complete.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// AttemptStatus is the status of an attempt as the agent reports it on request.
type AttemptStatus string

// The statuses of attempts.
const (
	// AttemptNeverStarted means that the attempt has not started, and that the agent
	// will reject it if it still arrives.
	AttemptNeverStarted AttemptStatus = "never_started"
	AttemptRunning      AttemptStatus = "running"
	AttemptDone         AttemptStatus = "done"
	// AttemptUnknown means that the agent does not know the status of the attempt.
	AttemptUnknown AttemptStatus = "unknown"
)

// Config holds the rules for one request.
type Config struct {
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Deadline is the time at which the request is given up.
	Deadline time.Time
	// MaxAttempts bounds the attempts.
	MaxAttempts int
	// MaxInterruptions, above 0, bounds the attempts that ended without a complete response:
	// the request may be the reason, and would end further instances.
	MaxInterruptions int
	// QueryInterval is the interval between status queries about one attempt.
	QueryInterval time.Duration
	// MaxWait bounds how long the request waits for an instance to become
	// available; WaitInterval is the polling interval.
	MaxWait      time.Duration
	WaitInterval time.Duration
	// MaxSilence bounds how long an agent that does not respond is queried before
	// the outcome is Unknown.
	MaxSilence time.Duration
	// Retry, if set, reports whether the retry budget allows one more attempt of a
	// repeatable request, and counts it. RetryDelay is the delay before that
	// attempt.
	Retry      func() bool
	RetryDelay time.Duration
}

// ActionKind is what the caller of this package does next.
type ActionKind int

// The kinds of action.
const (
	// Send makes a new attempt, after Wait, at an instance not tried yet.
	Send ActionKind = iota
	// QueryStatus queries the agent about the status of the last attempt, after Wait.
	QueryStatus
	// Deliver returns the stored response of the last attempt to the caller.
	Deliver
	// Finish ends the request with Outcome.
	Finish
)

// Action is the next step of a request.
type Action struct {
	Kind    ActionKind
	Wait    time.Duration
	Outcome Outcome
}

// Request is the state of one request. It is not safe for concurrent use.
type Request struct {
	config         Config
	attempts       int
	interruptions  int
	mayHaveStarted bool
	silentSince    time.Time
	waitingSince   time.Time
}

// New returns a request without any attempt.
func New(config Config) *Request {
	return &Request{config: config}
}

// Start returns the first action.
func (r *Request) Start(now time.Time) Action {
	return r.nextAttempt(now, 0)
}

// NoInstance reports that no instance can take an attempt now. The request waits
// for one up to MaxWait.
func (r *Request) NoInstance(now time.Time) Action {
	r.attempts--
	if r.waitingSince.IsZero() {
		r.waitingSince = now
	}
	if now.Add(r.config.WaitInterval).Sub(r.waitingSince) > r.config.MaxWait {
		return r.finish()
	}
	return r.nextAttempt(now, r.config.WaitInterval)
}

// NotStarted reports that the last attempt is proven not to have started: the
// agent rejected it, or this process sent no byte of it.
func (r *Request) NotStarted(now time.Time) Action {
	r.attempts--
	return r.nextAttempt(now, 0)
}

// KeyInUse reports that another attempt already uses the idempotency key of the
// request. That attempt replaces the last one, and the next action queries its
// status.
func (r *Request) KeyInUse(now time.Time) Action {
	r.attempts--
	r.silentSince = now
	return r.queryStatus(now, 0)
}

// Rejected reports that the last attempt is proven not to have started, and that
// any other attempt would be rejected too.
func (r *Request) Rejected() Action {
	r.attempts--
	return r.finish()
}

// MayRepeat reports whether a further attempt would follow if the last one were interrupted
// now and the retry budget allowed it.
func (r *Request) MayRepeat(now time.Time) bool {
	return !r.isLastInterruption() && r.MayRepeatEnded(now)
}

// isLastInterruption reports whether no attempt would follow if the last one were interrupted.
func (r *Request) isLastInterruption() bool {
	return r.config.MaxInterruptions > 0 && r.interruptions+1 >= r.config.MaxInterruptions
}

// MayRepeatEnded is the same as MayRepeat for AttemptEnded.
func (r *Request) MayRepeatEnded(now time.Time) bool {
	return r.config.Repeatable && r.mayAttempt(now, r.config.RetryDelay)
}

// RemainingAttempts returns how many attempts may be made beside the one in progress.
func (r *Request) RemainingAttempts() int {
	if r.isLastInterruption() || !r.config.Repeatable {
		return 0
	}
	return max(r.config.MaxAttempts-r.attempts, 0)
}

// CountAttempts counts attempts that were made beside the present one and have been ended.
func (r *Request) CountAttempts(further int) { r.attempts += further }

// AttemptInterrupted reports that the last attempt ended without a complete
// response. delivered says that the caller has received a part of it.
func (r *Request) AttemptInterrupted(delivered bool, now time.Time) Action {
	if !delivered {
		r.interruptions++
	}
	return r.repeat(delivered, now)
}

// AttemptEnded reports that the caller of this package has ended the last attempt itself, for a
// reason that lies neither in the request nor in the instance. It may have started. delivered is
// as for AttemptInterrupted.
func (r *Request) AttemptEnded(delivered bool, now time.Time) Action {
	return r.repeat(delivered, now)
}

func (r *Request) repeat(delivered bool, now time.Time) Action {
	if delivered {
		return Action{Kind: Finish, Outcome: Unknown}
	}
	if r.config.Repeatable {
		r.mayHaveStarted = true
		if r.config.MaxInterruptions > 0 && r.interruptions >= r.config.MaxInterruptions {
			return r.finish()
		}
		if !r.mayAttempt(now, r.config.RetryDelay) || r.config.Retry != nil && !r.config.Retry() {
			return r.finish()
		}
		return r.nextAttempt(now, r.config.RetryDelay)
	}
	r.silentSince = now
	return r.queryStatus(now, 0)
}

// StatusReceived processes the status of the last attempt that the agent reported.
func (r *Request) StatusReceived(status AttemptStatus, now time.Time) Action {
	r.silentSince = now
	switch status {
	case AttemptNeverStarted:
		return r.nextAttempt(now, 0)
	case AttemptDone:
		return Action{Kind: Deliver}
	case AttemptRunning:
		return r.queryStatus(now, r.config.QueryInterval)
	}
	r.mayHaveStarted = true
	return r.finish()
}

// NoReply reports that the agent did not respond to the status query.
func (r *Request) NoReply(now time.Time) Action {
	if now.Sub(r.silentSince) >= r.config.MaxSilence {
		r.mayHaveStarted = true
		return r.finish()
	}
	return r.queryStatus(now, r.config.QueryInterval)
}

// queryStatus queries the status after wait, if that is before the deadline.
func (r *Request) queryStatus(now time.Time, wait time.Duration) Action {
	if !now.Add(wait).Before(r.config.Deadline) {
		r.mayHaveStarted = true
		return r.finish()
	}
	return Action{Kind: QueryStatus, Wait: wait}
}

// mayAttempt reports whether the bounds allow an attempt after wait.
func (r *Request) mayAttempt(now time.Time, wait time.Duration) bool {
	return r.attempts < r.config.MaxAttempts && now.Add(wait).Before(r.config.Deadline)
}

func (r *Request) nextAttempt(now time.Time, wait time.Duration) Action {
	if !r.mayAttempt(now, wait) {
		return r.finish()
	}
	r.attempts++
	return Action{Kind: Send, Wait: wait}
}

func (r *Request) finish() Action {
	if r.mayHaveStarted {
		return Action{Kind: Finish, Outcome: Unknown}
	}
	return Action{Kind: Finish, Outcome: NotRun}
}
