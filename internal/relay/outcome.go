package relay

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
)

// outcome is the result of one attempt.
type outcome string

const (
	// answered means that the caller has received the complete response.
	answered outcome = "answered"
	// notSent means that no byte of the request left this process.
	notSent outcome = "not_sent"
	// notAllowed means that the request was not sent, because the instance may not take it
	// any more.
	notAllowed outcome = "not_allowed"
	// notRun means that the instance rejected the request without running it.
	notRun outcome = "not_run"
	// addressReused means that the address now belongs to another instance.
	addressReused outcome = "moved"
	// broken means that the attempt may have run and its response is incomplete.
	broken outcome = "broken"
	// silent means the same as broken, after the instance sent nothing for too long.
	silent outcome = "silent"
	// versionBound means the same as broken, after the instance had not started the request
	// when the bound on its version of the weights was about to end.
	versionBound outcome = "version_bound"
	// switched means the same as broken, while or after the instance switched to other weights by
	// the order of its agent.
	switched outcome = "switched"
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
	case notAllowed:
		return placement.NotUsed
	case callerDisconnected, partBlocked, partSuspected, canceled, versionBound, switched:
		return placement.CallerDisconnected
	}
	return placement.Failed
}

// endReason is why this entry, or the agent of the instance, has ended an attempt that the instance
// might have answered.
type endReason string

const (
	endedForSilence endReason = "silence"
	// endedForRestart means that the instance has certainly ended.
	endedForRestart      endReason = "instance_ended"
	endedForVersionBound endReason = "version_bound"
	endedForSwitch       endReason = "switch"
	endedForBlock        endReason = "block"
	endedForTimeLimit    endReason = "time_limit"
	endedForShutdown     endReason = "shutdown"
)

// ownEndReason returns why an attempt was ended by this entry or an agent, empty if it was not.
func (x *exchange) ownEndReason(ctx context.Context, result outcome) endReason {
	switch {
	case result == silent && x.reserved == nil:
		return endedForRestart
	case result == silent:
		return endedForSilence
	case result == versionBound:
		return endedForVersionBound
	case result == switched:
		return endedForSwitch
	case result == canceled:
		return endedForBlock
	case result != broken:
		return ""
	case isCanceledByShutdown(ctx):
		return endedForShutdown
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return endedForTimeLimit
	}
	return ""
}

// recordOwnEnd logs and counts an attempt without a complete response that was ended by this entry
// or an agent.
func (x *exchange) recordOwnEnd(ctx context.Context, choice placement.Choice, result outcome, record *attemptRecord) {
	reason := x.ownEndReason(ctx, result)
	if reason == "" {
		return
	}
	record.EndedFor = reason
	x.frontend.metrics.ownEnds.WithLabelValues(string(reason)).Inc()
	now := clock.Now()
	fields := logrus.Fields{
		"request": x.call.AttemptID, "backend": choice.Backend.ID, "pool": x.pool, "reason": reason, "sent_ms": now.Sub(x.progress.sentAt).Milliseconds(), "time_left_ms": x.deadline.Sub(now).Milliseconds(), "begun": x.responseStarted,
		"next_reserved": x.reserved != nil,
	}
	if newer, found := x.frontend.view.releases.Load().FirstNewer(x.model, choice.Version, now); found {
		fields["version"], fields["newer_version"], fields["newer_version_age_ms"], fields["start_limit_ms"] = choice.Version, newer.Version, newer.Age.Milliseconds(), record.StartLimitMs
	}
	x.frontend.log.WithFields(fields).Info("an attempt was ended by this entry or an agent")
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
