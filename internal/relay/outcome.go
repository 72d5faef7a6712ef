package relay

import (
	"context"

	"plantainrelay/internal/placement"
)

// outcome is the result of one attempt.
type outcome string

const (
	// answered means that the caller has received the complete response.
	answered outcome = "answered"
	// notSent means that no byte of the request left this process.
	notSent outcome = "not_sent"
	// notRun means that the instance rejected the request without running it.
	notRun outcome = "not_run"
	// addressReused means that the address now belongs to another instance.
	addressReused outcome = "moved"
	// broken means that the attempt may have run and its response is incomplete.
	broken outcome = "broken"
	// silent means the same as broken, after the instance sent nothing for too long.
	silent outcome = "silent"
	// crashSuspect means the same as broken, and that the request may be the reason why the
	// instance has crashed.
	crashSuspect outcome = "crash_suspect"
	// partBlocked means that the request was not sent, because a part of its prompt is
	// blocked; canceled that it was sent before, and may have run.
	partBlocked outcome = "blocked"
	canceled    outcome = "canceled"
	// partSuspected means that the request was not sent, because a part of its prompt is on
	// probation.
	partSuspected outcome = "suspected"
	// failed means that the instance returned a server error that another instance may
	// not return.
	failed outcome = "failed"
	// callerDisconnected means that the caller has disconnected.
	callerDisconnected outcome = "caller_left"
)

// placementResult returns what the outcome of the attempt says about the instance. A time
// to wait explains an error.
func (r attemptRecord) placementResult(o outcome) placement.Result {
	if result := o.placementResult(); r.WaitMs == 0 || result != placement.Failed && result != placement.Succeeded {
		return result
	}
	return placement.AskedToWait
}

func (o outcome) placementResult() placement.Result {
	switch o {
	case answered:
		return placement.Succeeded
	case notRun:
		return placement.Full
	case addressReused:
		return placement.AddressReused
	case callerDisconnected, partBlocked, partSuspected, canceled:
		return placement.CallerDisconnected
	}
	return placement.Failed
}

// closeCause is why a response that has begun is not completed.
type closeCause string

const (
	closedForTimeLimit closeCause = "time_limit"
	closedForShutdown  closeCause = "shutdown"
	closedForSlot      closeCause = "no_slot"
	closedForRetry     closeCause = "no_retry"
	closedForAttempts  closeCause = "no_attempt_left"
	// closedForKind means that the response can't be resumed.
	closedForKind closeCause = "not_resumable"
)

// closeResponse ends a response that can't be completed.
func (x *exchange) closeResponse(ctx context.Context) {
	switch {
	case isCanceledByShutdown(ctx):
		x.closeCause = closedForShutdown
	case x.closeCause != "":
	case ctx.Err() != nil:
		x.closeCause = closedForTimeLimit
	case !x.isResuming():
		x.closeCause = closedForKind
	default:
		x.closeCause = closedForAttempts
	}
	x.frontend.metrics.closed.WithLabelValues(string(x.closeCause)).Inc()
	x.logOutcome(0, "broken_off")
	x.abort()
}
