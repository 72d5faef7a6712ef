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

// WeightsID names complete weights.
type WeightsID struct {
	Version  string
	Manifest weights.Digest
	Whole    weights.Digest
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
)

// Action is what the driver has to do next.
type Action int

// The actions.
const (
	// ActionFetch starts the fetch of the target's weights.
	ActionFetch Action = iota + 1
	// ActionAskPermit asks for the permit to switch.
	ActionAskPermit
	// ActionDrain stops new requests; the driver reports Drained when the last
	// one in progress has ended.
	ActionDrain
	// ActionLoad orders the engine to load the target with its revision as
	// the fencing number, then reads back what the engine holds.
	ActionLoad
	// ActionOpenGate admits requests for Admitted.
	ActionOpenGate
	// ActionCloseGate stops new requests at once.
	ActionCloseGate
)

// EngineWeights is what an engine says that it serves.
type EngineWeights struct {
	Manifest weights.Digest
	Whole    weights.Digest
}

// LoadResult is the result of a load order.
type LoadResult struct {
	// Order names the weights ordered.
	Order WeightsID
	// Loaded is what the engine said afterwards; Read says that it answered.
	Loaded   EngineWeights
	Answered bool
	// PermitExpired says that the order was not given, since the permit had lapsed.
	PermitExpired bool
	// Cause tells why the order failed; empty when it succeeded.
	Cause string
}

const (
	maxRetryFactor = 32
	// maxKnownWeights bounds the complete weights that are remembered.
	maxKnownWeights = 8
	// maxUnanswered is the number of unanswered questions after which an engine
	// counts as lost.
	maxUnanswered = 2
)

// Rollout is the state of one instance. It is not safe for concurrent use.
type Rollout struct {
	retryDelay time.Duration
	target     Target
	stage      Stage
	open       bool
	admitted   WeightsID
	// known holds the weights known to be complete, by manifest.
	known map[weights.Digest]WeightsID
	// loadPending says that an order was given whose result is not known.
	loadPending  bool
	permitExpiry time.Time
	retryAt      time.Time
	unanswered   int
	failures     int
	cause        string
}

// New returns a rollout without a target. A failed load is tried again after
// retryDelay, doubled with each failure.
func New(retryDelay time.Duration) *Rollout {
	return &Rollout{retryDelay: retryDelay, stage: StageIdle, known: map[weights.Digest]WeightsID{}}
}

// Stage returns the current stage.
func (r *Rollout) Stage() Stage { return r.stage }

// Target returns the current target.
func (r *Rollout) Target() Target { return r.target }

// Open reports whether requests are admitted.
func (r *Rollout) Open() bool { return r.open }

// Admitted returns the weights that requests are admitted for.
func (r *Rollout) Admitted() WeightsID { return r.admitted }

// PermitExpiry returns when the permit to switch lapses.
func (r *Rollout) PermitExpiry() time.Time { return r.permitExpiry }

// Failures returns the failed loads of this target and the last cause.
func (r *Rollout) Failures() (int, string) { return r.failures, r.cause }

// WantsPermit reports whether this instance would switch now, or needs its
// permit prolonged.
func (r *Rollout) WantsPermit(now time.Time) bool {
	if r.stage == StageDraining {
		return true
	}
	return r.stage == StageWaiting && !r.loadPending && !now.Before(r.retryAt)
}

// SetTarget changes the intended version. A lower revision changes nothing. A
// higher revision with the same manifest keeps the progress.
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

// reopen admits requests again when no order was given since the engine's
// weights were confirmed.
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

// findComplete returns the findComplete weights that reported names, if it does.
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

// Permitted reports that the permit to switch to manifest was granted or
// prolonged until the given time.
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

// Drained reports that no request is in progress behind the closed gate. A
// permit that has lapsed meanwhile is asked for again.
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

func (r *Rollout) permitExpired() []Action {
	r.stage = StageWaiting
	return append(r.reopen(), ActionAskPermit)
}

// Loaded reports the result of a load order. The gate opens only when the
// engine holds weights that are known to be complete, be it the former ones
// after a failure, or those of an order that a newer target has overtaken.
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

func (r *Rollout) recordFailure(cause string, now time.Time) {
	factor := min(1<<min(r.failures, 16), maxRetryFactor)
	r.failures++
	r.cause = cause
	r.retryAt = now.Add(r.retryDelay * time.Duration(factor))
	r.stage = StageFetching
}

// EngineReported reports what the engine holds now, and whether it has restarted.
// Weights that are not the admitted ones shut the gate; it opens again for
// complete ones.
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
		// The engine lost what it served, or what was staged.
		r.stage = StageFetching
		actions = append(actions, ActionFetch)
	}
	return actions
}

// EngineUnresponsive reports that the engine did not answer.
func (r *Rollout) EngineUnresponsive() []Action {
	r.unanswered++
	if r.unanswered < maxUnanswered || !r.open {
		return nil
	}
	r.open = false
	return []Action{ActionCloseGate}
}
