// Package duty decides when a process reads a collection of the store itself. One
// entry of each availability zone is assigned to watch the store, and the others
// receive the changes from it. It does no I/O.
package duty

import "time"

const (
	// minBackoff and maxBackoff bound the delay after a failed read of the store.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 900 * time.Millisecond
	// probeInterval is the time between two probes of the store by a process that can't
	// read it while others can.
	probeInterval = 2 * time.Second
	// proofWatchTimeout is the timeout of a watch that is made only to prove that the
	// copy is current.
	proofWatchTimeout = time.Millisecond
	// OverdueDelay is how long after its timeout a call without an answer is considered
	// failed. It is many times the latency of the store, even of a slow one.
	OverdueDelay = 350 * time.Millisecond
	// relistInterval is the time, after a restore of the store, between the listings of two
	// successive entries of an availability zone. It is enough for the first one to reach
	// the others.
	relistInterval = 300 * time.Millisecond
)

// Plan holds the settings that keep one collection current.
type Plan struct {
	// WatchTimeout is how long a watch of the store waits for a change; zero for a
	// process that is never assigned to watch the store.
	WatchTimeout time.Duration
	// MaxProofAge is the age of the proof beyond which this process reads the store
	// itself, even if another one is assigned to do so.
	MaxProofAge time.Duration
	// StartupPeerWait is how long a starting process waits for a copy from a peer
	// before it reads the store itself.
	StartupPeerWait time.Duration
}

// Reason says why a process reads the store.
type Reason string

// The reasons.
const (
	None            Reason = ""
	NoCopy          Reason = "nothing known"
	AssignedWatcher Reason = "duty"
	StaleCopy       Reason = "old copy"
	// Probing means that the last call failed. An entry that can't read the store
	// probes it to detect when it can be read again.
	Probing Reason = "probing"
	// StoreRestored means that the store was restored since the copy was read.
	StoreRestored Reason = "store restored"
	// BackingOff means that there is a reason to read, but the last call failed too
	// recently.
	BackingOff Reason = "pausing"
)

// CopyState is the state of a process's copy of a collection.
type CopyState struct {
	Known bool
	// Age is the age of the proof that the copy is current.
	Age time.Duration
	// Outdated reports whether the copy is of an earlier era of the store's revisions.
	Outdated bool
}

// Reader schedules the reads of one collection. It is not safe for concurrent use.
type Reader struct {
	plan    Plan
	started time.Time
	backoff time.Duration
	// retryAt is the earliest time of the next call.
	retryAt time.Time
	// relistAt is when an outdated copy is listed, unless a peer sends a newer one first.
	relistAt time.Time
	// failing reports whether the last call failed; failedAt is the time of the failure.
	failing  bool
	failedAt time.Time
	// overdueAt is when the call in progress is considered failed; zero without one.
	overdueAt time.Time
	// watchConfirmed reports whether the last call was made as the assigned watcher and
	// has not failed.
	watchConfirmed bool
	// watching reports whether that call followed another one of the kind.
	watching bool
}

// NewReader returns the reader of a process that started at the given time.
func NewReader(plan Plan, started time.Time) *Reader {
	return &Reader{plan: plan, started: started, backoff: minBackoff}
}

// SetPlan replaces the plan. A call in progress still uses the previous one.
func (r *Reader) SetPlan(plan Plan) { r.plan = plan }

// Next returns the reason to read the store now and how long the call may wait for a
// change. The reason is None or BackingOff when the store should not be read now.
func (r *Reader) Next(state CopyState, assigned bool, now time.Time) (Reason, time.Duration) {
	r.watchConfirmed = r.watchConfirmed && assigned
	switch {
	case now.Before(r.retryAt):
		return BackingOff, 0
	case !state.Known && now.Sub(r.started) < r.plan.StartupPeerWait:
		return None, 0
	case !state.Known:
		return NoCopy, proofWatchTimeout
	case state.Outdated && now.Before(r.relistAt):
		return None, 0
	case state.Outdated:
		return StoreRestored, 0
	case assigned:
		return AssignedWatcher, r.watchTimeout()
	case state.Age > r.plan.MaxProofAge:
		return StaleCopy, proofWatchTimeout
	case !r.failing || r.plan.WatchTimeout == 0:
		return None, 0
	case now.Sub(r.failedAt) < probeInterval:
		return BackingOff, 0
	default:
		return Probing, proofWatchTimeout
	}
}

// watchTimeout returns how long a call of the assigned watcher waits. The first call is
// short, so that the next process takes over soon if the store rejects this one too.
func (r *Reader) watchTimeout() time.Duration {
	if r.watchConfirmed {
		return r.plan.WatchTimeout
	}
	return proofWatchTimeout
}

// StoreRestored records that the store was restored, so that the copy has to be listed
// again. The watcher lists it at once. Any other process first waits for a peer to send the
// listing, the longer the higher its rank among those that would list it; the first one
// has rank 0.
func (r *Reader) StoreRestored(rank int, now time.Time) {
	r.relistAt = now
	if !r.watching {
		r.relistAt = now.Add(time.Duration(rank) * relistInterval)
	}
}

// CallStarted records the start of a call, the reason for it and how long it may wait
// for a change.
func (r *Reader) CallStarted(reason Reason, wait time.Duration, now time.Time) {
	r.overdueAt = now.Add(wait + OverdueDelay)
	r.watching = r.watchConfirmed && reason == AssignedWatcher
	r.watchConfirmed = reason == AssignedWatcher
}

// CallSucceeded records the end of a call that the store answered.
func (r *Reader) CallSucceeded() {
	r.backoff, r.failing, r.overdueAt = minBackoff, false, time.Time{}
}

// CallFailed records the end of a call without an answer. The backoff that follows is
// spread by jitter, which is between 0 and 1.
func (r *Reader) CallFailed(now time.Time, jitter float64) {
	r.retryAt = now.Add(r.backoff/2 + time.Duration(jitter*float64(r.backoff)))
	r.backoff = min(2*r.backoff, maxBackoff)
	r.failing, r.failedAt, r.watchConfirmed, r.watching, r.overdueAt = true, now, false, false, time.Time{}
}

// StoreUnavailable reports whether the last call failed or the current one is overdue.
func (r *Reader) StoreUnavailable(now time.Time) bool {
	return r.failing || !r.overdueAt.IsZero() && now.After(r.overdueAt)
}
