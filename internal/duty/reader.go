// Package duty decides when a process reads a collection of the store itself: one
// entry of each availability zone watches it, and the others take its news. It does
// no I/O.
package duty

import "time"

const (
	// minBackoff and maxBackoff bound the wait after a failed read of the store.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 900 * time.Millisecond
	// probeInterval is the time between two probes of a store that others can read.
	probeInterval = 2 * time.Second
	// proofWatchTimeout is the shortest watch, made only to prove that a copy is current.
	proofWatchTimeout = time.Millisecond
	// OverdueDelay is how long after the end of its wait a call without an answer counts as
	// lost: many times what the store takes, also when it is slow.
	OverdueDelay = 350 * time.Millisecond
)

// Plan says how one collection is kept current.
type Plan struct {
	// Wait is how long a watch of the store waits for news; zero for a process that
	// never has the duty.
	Wait time.Duration
	// MaxAge is the age of the proof beyond which this process reads the store
	// itself, whoever's duty it is.
	MaxAge time.Duration
	// FirstNews is how long a starting process waits for a peer's news before it
	// reads the store itself.
	FirstNews time.Duration
}

// Reason says why a process reads the store.
type Reason string

// The reasons.
const (
	None            Reason = ""
	NoCopy          Reason = "nothing known"
	AssignedWatcher Reason = "duty"
	StaleCopy       Reason = "old copy"
	// Probing means that the last call failed: an entry that can't read the store
	// has to learn when it can again.
	Probing Reason = "probing"
	// BackingOff means that there is a reason, and the last call has just failed.
	BackingOff Reason = "pausing"
)

// CopyState is the state of a process's copy of a collection.
type CopyState struct {
	Known bool
	// Age is that of the proof that the copy is current.
	Age time.Duration
}

// Reader decides on the reads of one collection. It is not safe for concurrent use.
type Reader struct {
	plan    Plan
	started time.Time
	backoff time.Duration
	// retryAt is the time before which no call is made.
	retryAt time.Time
	// failing says that the last call failed, at failedAt.
	failing  bool
	failedAt time.Time
	// overdueAt is when the call in progress counts as lost, zero without one.
	overdueAt time.Time
	// watchConfirmed says that the last call was made on duty and answered.
	watchConfirmed bool
}

// NewReader returns the reader of a process that started at the given time.
func NewReader(plan Plan, started time.Time) *Reader {
	return &Reader{plan: plan, started: started, backoff: minBackoff}
}

// SetPlan replaces the plan. A call in progress ends by the last one.
func (r *Reader) SetPlan(plan Plan) { r.plan = plan }

// Next returns why to read the store now, None or Pausing for not now, and how long
// the call may wait for news.
func (r *Reader) Next(held CopyState, assigned bool, now time.Time) (Reason, time.Duration) {
	r.watchConfirmed = r.watchConfirmed && assigned
	switch {
	case now.Before(r.retryAt):
		return BackingOff, 0
	case !held.Known && now.Sub(r.started) < r.plan.FirstNews:
		return None, 0
	case !held.Known:
		return NoCopy, proofWatchTimeout
	case assigned:
		return AssignedWatcher, r.watchTimeout()
	case held.Age > r.plan.MaxAge:
		return StaleCopy, proofWatchTimeout
	case !r.failing || r.plan.Wait == 0:
		return None, 0
	case now.Sub(r.failedAt) < probeInterval:
		return BackingOff, 0
	default:
		return Probing, proofWatchTimeout
	}
}

// watchTimeout returns how long a call on duty waits. The first one is short: when the
// store turns this process away, too, the next one has to know soon.
func (r *Reader) watchTimeout() time.Duration {
	if r.watchConfirmed {
		return r.plan.Wait
	}
	return proofWatchTimeout
}

// CallStarted records the start of a call that waits for news, and why it is made.
func (r *Reader) CallStarted(reason Reason, wait time.Duration, now time.Time) {
	r.overdueAt = now.Add(wait + OverdueDelay)
	r.watchConfirmed = reason == AssignedWatcher
}

// CallSucceeded records the end of a call that the store has answered.
func (r *Reader) CallSucceeded() {
	r.backoff, r.failing, r.overdueAt = minBackoff, false, time.Time{}
}

// CallFailed records the end of a call without an answer. The pause that follows is
// spread by jitter, which lies between 0 and 1.
func (r *Reader) CallFailed(now time.Time, jitter float64) {
	r.retryAt = now.Add(r.backoff/2 + time.Duration(jitter*float64(r.backoff)))
	r.backoff = min(2*r.backoff, maxBackoff)
	r.failing, r.failedAt, r.watchConfirmed, r.overdueAt = true, now, false, time.Time{}
}

// StoreUnavailable reports whether the last call failed or the one in progress is overdue.
func (r *Reader) StoreUnavailable(now time.Time) bool {
	return r.failing || !r.overdueAt.IsZero() && now.After(r.overdueAt)
}
