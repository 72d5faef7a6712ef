// Package rollout is the aggregate that takes one instance from the weights it
// serves to the intended ones: fetch, permit, quiesce, load, confirm, admit.
// It does no I/O: events and the time go in, actions come out.
package rollout

import (
	"time"

	"plantainrelay/internal/weights"
)

// Target is the intended version of a pool.
type Target struct {
	Version  string
	Manifest weights.Digest
	// Revision is the revision of the tables that set the target. It serves
	// as the fencing number of load orders.
	Revision int64
}

// Stage is how far an instance has come towards its target.
type Stage string

// The stages.
const (
	StageIdle     Stage = "idle"
	StageFetching Stage = "fetching"
	StageWaiting  Stage = "waiting_for_permit"
	StageDraining Stage = "draining"
	StageLoading  Stage = "loading"
	StageServing  Stage = "serving"
	StageFailed   Stage = "failed"
)

// Action is what the driver has to do next.
type Action int

// The actions.
const (
	ActionNone Action = iota
	// ActionFetch starts the fetch of the target's weights.
	ActionFetch
	// ActionAskPermit asks for the permit to switch.
	ActionAskPermit
	// ActionCloseGate stops new requests; the driver reports Drained when the
	// last one in progress has ended.
	ActionCloseGate
	// ActionLoad orders the engine to load the target with its revision as
	// the fencing number, then reads back what the engine holds.
	ActionLoad
	// ActionOpenGate admits requests for the target.
	ActionOpenGate
)

// Held is what an engine says that it serves.
type Held struct {
	Version  string
	Manifest weights.Digest
	Whole    weights.Digest
	Fence    int64
}

// Rollout is the state of one instance. It is not safe for concurrent use.
type Rollout struct {
	retryAfter time.Duration
	target     Target
	stage      Stage
	retryAt    time.Time
	failures   int
	cause      string
}

// New returns a rollout without a target. A failed load is tried again after
// retryAfter, doubled with each failure up to maxRetryFactor times.
func New(retryAfter time.Duration) *Rollout {
	return &Rollout{retryAfter: retryAfter, stage: StageIdle}
}

const maxRetryFactor = 32

// Stage returns the current stage.
func (r *Rollout) Stage() Stage { return r.stage }

// Target returns the current target.
func (r *Rollout) Target() Target { return r.target }

// Failures returns the failed loads of this target and the last cause.
func (r *Rollout) Failures() (int, string) { return r.failures, r.cause }

// SetTarget changes the intended version. A lower revision changes nothing. A
// higher revision with the same manifest keeps the progress.
func (r *Rollout) SetTarget(target Target) Action {
	if target.Revision <= r.target.Revision {
		return ActionNone
	}
	same := target.Manifest == r.target.Manifest && target.Version == r.target.Version
	r.target = target
	if same {
		return ActionNone
	}
	r.stage, r.failures, r.cause = StageFetching, 0, ""
	return ActionFetch
}

// Fetched reports that all chunks of manifest are verified and staged.
func (r *Rollout) Fetched(manifest weights.Digest) Action {
	if r.stage != StageFetching || manifest != r.target.Manifest {
		return ActionNone
	}
	r.stage = StageWaiting
	return ActionAskPermit
}

// Permitted reports that the permit to switch to manifest was granted.
func (r *Rollout) Permitted(manifest weights.Digest, now time.Time) Action {
	if r.stage != StageWaiting || manifest != r.target.Manifest || now.Before(r.retryAt) {
		return ActionNone
	}
	r.stage = StageDraining
	return ActionCloseGate
}

// Drained reports that no request is in progress behind the closed gate.
func (r *Rollout) Drained() Action {
	if r.stage != StageDraining {
		return ActionNone
	}
	r.stage = StageLoading
	return ActionLoad
}

// Loaded reports what the engine holds after an order for manifest. The gate
// opens only when the engine holds exactly the target's complete weights.
func (r *Rollout) Loaded(manifest weights.Digest, held Held, whole weights.Digest) Action {
	if r.stage != StageLoading || manifest != r.target.Manifest {
		return ActionNone
	}
	if held.Manifest != r.target.Manifest || held.Whole != whole {
		return ActionNone
	}
	r.stage, r.failures, r.cause = StageServing, 0, ""
	return ActionOpenGate
}

// LoadFailed reports that the order for manifest failed with cause.
func (r *Rollout) LoadFailed(manifest weights.Digest, cause string, now time.Time) Action {
	if r.stage != StageLoading || manifest != r.target.Manifest {
		return ActionNone
	}
	factor := min(1<<min(r.failures, 16), maxRetryFactor)
	r.failures++
	r.cause = cause
	r.retryAt = now.Add(r.retryAfter * time.Duration(factor))
	r.stage = StageWaiting
	return ActionAskPermit
}

// Adopt reports that the engine already holds the target's complete weights,
// for example after a restart of this process beside a running engine.
func (r *Rollout) Adopt(held Held, whole weights.Digest) Action {
	if r.stage != StageFetching || held.Manifest != r.target.Manifest || held.Whole != whole {
		return ActionNone
	}
	r.stage = StageServing
	return ActionOpenGate
}
