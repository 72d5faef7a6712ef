// Package rollout is the state machine that switches one instance from the
// weights it serves to those of the target version: fetch, get a permit, drain,
// load, confirm, and admit requests. It does no I/O: its input is events and the
// current time, its output actions.
package rollout

import (
	"time"

	"plantainrelay/internal/weights"
)

// Target is the target version of a pool.
type Target struct {
	Version  string
	Manifest weights.Digest
	// Revision is the revision of the tables that set the target. It is the
	// fencing token of load orders.
	Revision int64
}

// WeightsID identifies a complete set of weights.
type WeightsID struct {
	Version  string
	Manifest weights.Digest
	Whole    weights.Digest
}

// Stage is the stage of an instance's rollout.
type Stage string

// The stages of a rollout.
const (
	StageIdle     Stage = "idle"
	StageFetching Stage = "fetching"
	StageWaiting  Stage = "waiting_for_permit"
	StageDraining Stage = "draining"
	StageLoading  Stage = "loading"
	StageServing  Stage = "serving"
)

// Action is an action that the driver has to perform.
type Action int

// The actions of a rollout.
const (
	// ActionFetch starts the fetch of the target's weights.
	ActionFetch Action = iota + 1
	// ActionAskPermit requests a permit to switch.
	ActionAskPermit
	// ActionDrain stops new requests. The driver reports Drained when no request
	// is in progress.
	ActionDrain
	// ActionLoad orders the engine to load the target with its revision as the
	// fencing token, then reads back which weights the engine holds.
	ActionLoad
	// ActionOpenGate admits requests for the weights returned by Admitted.
	ActionOpenGate
	// ActionCloseGate stops new requests immediately.
	ActionCloseGate
)

// EngineWeights are the weights that an engine reports to serve.
type EngineWeights struct {
	Manifest weights.Digest
	Whole    weights.Digest
}

// LoadResult is the result of a load order.
type LoadResult struct {
	// Order identifies the ordered weights.
	Order WeightsID
	// Loaded are the weights that the engine reported after the order. It is
	// valid only if Answered is set.
	Loaded   EngineWeights
	Answered bool
	// PermitExpired is set if the order was not sent because the permit had
	// expired.
	PermitExpired bool
	// Cause is the reason why the order failed. It is empty if it succeeded.
	Cause string
}

const (
	maxRetryFactor = 32
	// maxKnownWeights limits the number of remembered complete weights.
	maxKnownWeights = 8
	// maxUnanswered is the number of consecutive unanswered status queries after
	// which an engine counts as unresponsive.
	maxUnanswered = 2
)

// Rollout is the state of one instance's rollout. It is not safe for concurrent
// use.
type Rollout struct {
	retryDelay time.Duration
	target     Target
	stage      Stage
	open       bool
	admitted   WeightsID
	// known holds the weights known to be complete, by manifest digest.
	known map[weights.Digest]WeightsID
	// loadPending is set while the result of a load order is unknown.
	loadPending  bool
	permitExpiry time.Time
	retryAt      time.Time
	unanswered   int
	failures     int
	cause        string
}

// New returns a rollout without a target. A failed load is retried after
// retryDelay, which doubles with each failure.
func New(retryDelay time.Duration) *Rollout {
	return &Rollout{retryDelay: retryDelay, stage: StageIdle, known: map[weights.Digest]WeightsID{}}
}

// Stage returns the current stage.
func (r *Rollout) Stage() Stage { return r.stage }

// Target returns the current target.
func (r *Rollout) Target() Target { return r.target }

// Open reports whether requests are admitted.
func (r *Rollout) Open() bool { return r.open }

// Admitted returns the weights for which requests are admitted.
func (r *Rollout) Admitted() WeightsID { return r.admitted }

// PermitExpiry returns the time when the permit to switch expires.
func (r *Rollout) PermitExpiry() time.Time { return r.permitExpiry }

// Failures returns the number of failed loads of the current target and the cause
// of the last failure.
func (r *Rollout) Failures() (int, string) { return r.failures, r.cause }

// WantsPermit reports whether this instance needs a permit to switch now, or has
// to renew its permit.
func (r *Rollout) WantsPermit(now time.Time) bool {
	if r.stage == StageDraining {
		return true
	}
	return r.stage == StageWaiting && !r.loadPending && !now.Before(r.retryAt)
}

// SetTarget changes the target version. A revision that is not higher than the
// current one is ignored. A higher revision with the same version and manifest
// keeps the progress.
func (r *Rollout) SetTarget(target Target) []Action {
	if target.Revision <= r.target.Revision {
		return nil
	}
	same := target.Manifest == r.target.Manifest && target.Version == r.target.Version
	draining := r.stage == StageDraining
	r.target = target
	if same {
		return nil
	}
	r.stage, r.failures, r.cause, r.retryAt = StageFetching, 0, "", time.Time{}
	if draining {
		return append(r.reopen(), ActionFetch)
	}
	return []Action{ActionFetch}
}

// reopen admits requests again, unless a load order is pending. Without one, the
// engine still holds the admitted weights.
func (r *Rollout) reopen() []Action {
	if r.loadPending || r.admitted.Manifest == "" {
		return nil
	}
	r.open = true
	return []Action{ActionOpenGate}
}

// AddComplete records weights as complete.
func (r *Rollout) AddComplete(complete WeightsID) {
	if len(r.known) >= maxKnownWeights {
		for digest := range r.known {
			if digest != r.admitted.Manifest && digest != r.target.Manifest {
				delete(r.known, digest)
			}
		}
	}
	r.known[complete.Manifest] = complete
}

// findComplete returns the known complete weights that match reported, if any.
func (r *Rollout) findComplete(reported EngineWeights) (WeightsID, bool) {
	known, found := r.known[reported.Manifest]
	return known, found && reported.Manifest != "" && known.Whole == reported.Whole
}

// Fetched reports that all chunks of the target are verified and staged.
func (r *Rollout) Fetched(manifest weights.Digest) []Action {
	if r.stage != StageFetching || manifest != r.target.Manifest {
		return nil
	}
	r.stage = StageWaiting
	return []Action{ActionAskPermit}
}

// Permitted reports that the permit to switch to manifest was granted or renewed
// until the given time.
func (r *Rollout) Permitted(manifest weights.Digest, until, now time.Time) []Action {
	if manifest != r.target.Manifest || !now.Before(until) || !r.WantsPermit(now) {
		return nil
	}
	r.permitExpiry = until
	if r.stage == StageDraining {
		return nil
	}
	r.stage, r.open = StageDraining, false
	return []Action{ActionDrain}
}

// Drained reports that no request is in progress behind the closed gate. If the
// permit has expired meanwhile, a new one is requested.
func (r *Rollout) Drained(now time.Time) []Action {
	if r.stage != StageDraining {
		return nil
	}
	if !now.Before(r.permitExpiry) {
		return r.permitExpired()
	}
	r.stage, r.loadPending = StageLoading, true
	return []Action{ActionLoad}
}

// permitExpired admits requests again, if possible, and requests a new permit.
func (r *Rollout) permitExpired() []Action {
	r.stage = StageWaiting
	return append(r.reopen(), ActionAskPermit)
}

// Loaded reports the result of a load order. The gate opens only if the engine
// holds weights that are known to be complete. These may also be the previous
// weights after a failure, or the weights of an order that was superseded by a
// newer target.
func (r *Rollout) Loaded(result LoadResult, now time.Time) []Action {
	r.loadPending = false
	current := r.stage == StageLoading && result.Order.Manifest == r.target.Manifest
	if result.PermitExpired {
		if current {
			return r.permitExpired()
		}
		return r.reopen()
	}
	var actions []Action
	if known, found := r.findComplete(result.Loaded); found && result.Answered {
		r.admitted, r.open = known, true
		actions = append(actions, ActionOpenGate)
	}
	if !current {
		return actions
	}
	if r.open && r.admitted.Manifest == r.target.Manifest {
		r.stage, r.failures, r.cause = StageServing, 0, ""
		return actions
	}
	r.recordFailure(result.Cause, now)
	return append(actions, ActionFetch)
}

// recordFailure schedules a retry of the load with exponential backoff.
func (r *Rollout) recordFailure(cause string, now time.Time) {
	factor := min(1<<min(r.failures, 16), maxRetryFactor)
	r.failures++
	r.cause = cause
	r.retryAt = now.Add(r.retryDelay * time.Duration(factor))
	r.stage = StageFetching
}

// EngineReported reports the weights that the engine holds now, and whether it
// has restarted. If they are complete, requests are admitted for them;
// otherwise the gate is closed.
func (r *Rollout) EngineReported(reported EngineWeights, restarted bool) []Action {
	r.unanswered = 0
	if r.loadPending || r.stage == StageDraining || r.stage == StageIdle {
		return nil
	}
	known, found := r.findComplete(reported)
	var actions []Action
	switch {
	case r.open && found && known.Manifest == r.admitted.Manifest:
	case found:
		r.admitted, r.open = known, true
		actions = append(actions, ActionOpenGate)
	case r.open:
		r.open = false
		actions = append(actions, ActionCloseGate)
	}
	if found && known.Manifest == r.target.Manifest {
		r.stage = StageServing
		return actions
	}
	if r.stage == StageServing || (restarted && r.stage != StageLoading) {
		// The engine lost its weights or the staged chunks.
		r.stage = StageFetching
		actions = append(actions, ActionFetch)
	}
	return actions
}

// ResponseMismatched reports that the engine answered a request from other weights than
// the admitted ones. The gate is closed until the engine reports which weights it holds.
func (r *Rollout) ResponseMismatched() []Action {
	if !r.open {
		return nil
	}
	r.open = false
	return []Action{ActionCloseGate}
}

// EngineUnresponsive reports that the engine did not answer a status query. The
// gate is closed after maxUnanswered consecutive ones.
func (r *Rollout) EngineUnresponsive() []Action {
	r.unanswered++
	if r.unanswered < maxUnanswered || !r.open {
		return nil
	}
	r.open = false
	return []Action{ActionCloseGate}
}
