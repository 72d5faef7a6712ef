// Package dispatch is the aggregate of one request: its attempts and its
// outcome. It does no I/O: events and the time go in, actions come out.
//
// It guarantees that a request that is not repeatable is attempted again only
// when every earlier attempt is proven not to have started, and that the
// outcome not_run is given only in that case.
package dispatch

import (
	"time"
)

// Outcome is the final state of a request as told to its caller.
type Outcome string

// The outcomes; there are no others.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Fate is what an agent says of an attempt that it was asked about.
type Fate string

// The fates.
const (
	// FateNeverStarted means that the attempt was not started and is barred.
	FateNeverStarted Fate = "never_started"
	FateRunning      Fate = "running"
	FateDone         Fate = "done"
	// FateUnknown means that the agent cannot tell.
	FateUnknown Fate = "unknown"
)

// Config holds the rules for one request.
type Config struct {
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Deadline is the time at which the request is given up.
	Deadline time.Time
	// MaxAttempts bounds the attempts.
	MaxAttempts int
	// AskInterval is the pause between two questions about one attempt.
	AskInterval time.Duration
	// MaxWait bounds how long the request waits for an instance to become
	// available, and WaitInterval is the pause between two looks.
	MaxWait      time.Duration
	WaitInterval time.Duration
	// MaxSilence bounds how long an agent that does not answer questions is
	// asked before the outcome is Unknown.
	MaxSilence time.Duration
	// Retry, when set, reports whether the retry budget allows one more attempt
	// of a repeatable request, and counts it. Backoff is the pause before it.
	Retry   func() bool
	Backoff time.Duration
}

// ActionKind tells the driver what to do next.
type ActionKind int

// The kinds of action.
const (
	// Send makes a new attempt, after Wait, on an instance not yet tried.
	Send ActionKind = iota
	// Ask asks the agent of the last attempt about it, after Wait.
	Ask
	// Deliver gives the kept answer of the last attempt to the caller.
	Deliver
	// Finish ends the request with Outcome.
	Finish
)

// Action is one decision.
type Action struct {
	Kind    ActionKind
	Wait    time.Duration
	Outcome Outcome
}

// Request is the state of one request. It is not safe for concurrent use.
type Request struct {
	config      Config
	attempts    int
	mayHaveRun  bool
	silentSince time.Time
	waitSince   time.Time
}

// New returns a request that has made no attempt.
func New(config Config) *Request {
	return &Request{config: config}
}

// Start returns the first action.
func (r *Request) Start(now time.Time) Action {
	return r.again(now, 0)
}

// NoInstance reports that no instance can take an attempt now. The request
// waits for one up to its limit.
func (r *Request) NoInstance(now time.Time) Action {
	r.attempts--
	if r.waitSince.IsZero() {
		r.waitSince = now
	}
	if now.Add(r.config.WaitInterval).Sub(r.waitSince) > r.config.MaxWait {
		return r.giveUp()
	}
	return r.again(now, r.config.WaitInterval)
}

// NotStarted reports that the last attempt certainly did not start: it was
// refused by the agent, or no byte of it left this process.
func (r *Request) NotStarted(now time.Time) Action {
	r.attempts--
	return r.again(now, 0)
}

// Held reports that the request's key is held by another attempt, which takes
// the place of the last one: the next action asks about it.
func (r *Request) Held(now time.Time) Action {
	r.attempts--
	r.silentSince = now
	return Action{Kind: Ask}
}

// Refused reports that the last attempt certainly did not start and that no
// other would.
func (r *Request) Refused() Action {
	r.attempts--
	return r.giveUp()
}

// Broken reports that the last attempt ended without a whole answer.
// delivered says that the caller has received a part of the answer.
func (r *Request) Broken(delivered bool, now time.Time) Action {
	if delivered {
		return Action{Kind: Finish, Outcome: Unknown}
	}
	if r.config.Repeatable {
		r.mayHaveRun = true
		if r.config.Retry != nil && !r.config.Retry() {
			return r.giveUp()
		}
		return r.again(now, r.config.Backoff)
	}
	r.silentSince = now
	return Action{Kind: Ask}
}

// Told reports the agent's word on the last attempt.
func (r *Request) Told(fate Fate, now time.Time) Action {
	r.silentSince = now
	switch fate {
	case FateNeverStarted:
		return r.again(now, 0)
	case FateDone:
		return Action{Kind: Deliver}
	case FateRunning:
		return r.askAgain(now)
	}
	r.mayHaveRun = true
	return r.giveUp()
}

// Silent reports that the agent did not answer the question.
func (r *Request) Silent(now time.Time) Action {
	if now.Sub(r.silentSince) >= r.config.MaxSilence {
		r.mayHaveRun = true
		return r.giveUp()
	}
	return r.askAgain(now)
}

func (r *Request) askAgain(now time.Time) Action {
	if !now.Add(r.config.AskInterval).Before(r.config.Deadline) {
		r.mayHaveRun = true
		return r.giveUp()
	}
	return Action{Kind: Ask, Wait: r.config.AskInterval}
}

func (r *Request) again(now time.Time, wait time.Duration) Action {
	if r.attempts >= r.config.MaxAttempts || !now.Before(r.config.Deadline) {
		return r.giveUp()
	}
	r.attempts++
	return Action{Kind: Send, Wait: wait}
}

func (r *Request) giveUp() Action {
	if r.mayHaveRun {
		return Action{Kind: Finish, Outcome: Unknown}
	}
	return Action{Kind: Finish, Outcome: NotRun}
}
