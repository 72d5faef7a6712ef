// Package duty decides when a process reads a collection of the store itself: one
// entry of each availability zone watches it, and the others take its news. It does
// no I/O.
package duty

import "time"

const (
	// minPause and maxPause bound the wait after a failed read of the store.
	minPause = 150 * time.Millisecond
	maxPause = 900 * time.Millisecond
	// probePause is the time between two probes of a store that others can read.
	probePause = 2 * time.Second
	// proofWait is the shortest watch, made only to prove that a copy is current.
	proofWait = time.Millisecond
	// Overdue is how long after the end of its wait a call without an answer counts as
	// lost: many times what the store takes, also when it is slow.
	Overdue = 350 * time.Millisecond
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
	None         Reason = ""
	NothingKnown Reason = "nothing known"
	OnDuty       Reason = "duty"
	OldCopy      Reason = "old copy"
	// Probing means that the last call failed: an entry that can't read the store
	// has to learn when it can again.
	Probing Reason = "probing"
	// Pausing means that there is a reason, and the last call has just failed.
	Pausing Reason = "pausing"
)

// Copy is the state of a process's copy of a collection.
type Copy struct {
	Known bool
	// Age is that of the proof that the copy is current.
	Age time.Duration
}

// Reader decides on the reads of one collection. It is not safe for concurrent use.
type Reader struct {
	plan    Plan
	started time.Time
	pause   time.Duration
	// next is the time before which no call is made.
	next time.Time
	// failing says that the last call failed, at failedAt.
	failing  bool
	failedAt time.Time
	// overdueAt is when the call in progress counts as lost, zero without one.
	overdueAt time.Time
	// watching says that the last call was made on duty and answered.
	watching bool
}

// NewReader returns the reader of a process that started at the given time.
func NewReader(plan Plan, started time.Time) *Reader {
	return &Reader{plan: plan, started: started, pause: minPause}
}

// SetPlan replaces the plan. A call in progress ends by the last one.
func (r *Reader) SetPlan(plan Plan) { r.plan = plan }

// Next returns why to read the store now, None or Pausing for not now, and how long
// the call may wait for news.
func (r *Reader) Next(held Copy, onDuty bool, now time.Time) (Reason, time.Duration) {
	r.watching = r.watching && onDuty
	switch {
	case now.Before(r.next):
		return Pausing, 0
	case !held.Known && now.Sub(r.started) < r.plan.FirstNews:
		return None, 0
	case !held.Known:
		return NothingKnown, proofWait
	case onDuty:
		return OnDuty, r.dutyWait()
	case held.Age > r.plan.MaxAge:
		return OldCopy, proofWait
	case !r.failing || r.plan.Wait == 0:
		return None, 0
	case now.Sub(r.failedAt) < probePause:
		return Pausing, 0
	default:
		return Probing, proofWait
	}
}

// dutyWait returns how long a call on duty waits. The first one is short: when the
// store turns this process away, too, the next one has to know soon.
func (r *Reader) dutyWait() time.Duration {
	if r.watching {
		return r.plan.Wait
	}
	return proofWait
}

// Began records the start of a call that waits for news, and why it is made.
func (r *Reader) Began(reason Reason, wait time.Duration, now time.Time) {
	r.overdueAt = now.Add(wait + Overdue)
	r.watching = reason == OnDuty
}

// Succeeded records the end of a call that the store has answered.
func (r *Reader) Succeeded() {
	r.pause, r.failing, r.overdueAt = minPause, false, time.Time{}
}

// Failed records the end of a call without an answer. The pause that follows is
// spread by jitter, which lies between 0 and 1.
func (r *Reader) Failed(now time.Time, jitter float64) {
	r.next = now.Add(r.pause/2 + time.Duration(jitter*float64(r.pause)))
	r.pause = min(2*r.pause, maxPause)
	r.failing, r.failedAt, r.watching, r.overdueAt = true, now, false, time.Time{}
}

// Lost reports whether the last call failed or the one in progress is overdue.
func (r *Reader) Lost(now time.Time) bool {
	return r.failing || !r.overdueAt.IsZero() && now.After(r.overdueAt)
}
