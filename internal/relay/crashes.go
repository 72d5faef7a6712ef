package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/blocklist"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
)

// confirmTimeout bounds the connection by which it is found out whether an instance has
// crashed.
const confirmTimeout = 400 * time.Millisecond

// maxLoggedParts bounds the parts of a prompt that one log line names.
const maxLoggedParts = 512

// admitParts returns the refusal of a request if a part of its prompt is blocked, unless the
// request is let through on trial.
func (x *exchange) admitParts() *refusal {
	if len(x.parts) == 0 {
		return nil
	}
	if !x.frontend.blockGate.await(x.r.Context()) {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonBlocksUnknown, retryAfter: blocksUnknownRetryAfter}
	}
	part, isTrial, admitted := x.frontend.blocker.admit(x.model, x.parts)
	x.isTrial = isTrial
	var refused refusal
	switch {
	case !admitted:
		x.blockedPart = part.ID
		refused = x.blockedRefusal()
	case !isTrial && !x.frontend.blocker.probeDue(x.model, x.parts):
		refused = suspectedRefusal()
	default:
		return nil
	}
	return &refused
}

// isBlocked reports whether a part of the request's prompt is blocked.
func (x *exchange) isBlocked() bool {
	if len(x.parts) == 0 || x.isTrial {
		return false
	}
	_, blocked := x.frontend.blocker.blocked(x.model, x.parts)
	return blocked
}

// isCanceledByBlock reports whether the request was canceled because a part of its prompt
// was blocked.
func (x *exchange) isCanceledByBlock(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errPartBlocked)
}

// blockedRefusal returns the refusal of a request because of a blocked part. It says that
// the request has not run only if no attempt may have run.
func (x *exchange) blockedRefusal() refusal {
	if x.mayHaveRun() {
		return refusal{status: http.StatusBadGateway, reason: reasonBlocked}
	}
	return refusal{status: http.StatusServiceUnavailable, reason: reasonBlocked, retryAfter: blockedRetryAfter}
}

// refuseBlocked ends a request one of whose parts was blocked after it had been admitted.
func (x *exchange) refuseBlocked() {
	if part, blocked := x.frontend.blocker.blocked(x.model, x.parts); blocked {
		x.blockedPart = part.ID
	}
	if x.responseStarted {
		x.logOutcome(0, reasonBlocked)
		x.abort()
	}
	x.refuse(x.blockedRefusal())
}

// responseProgress is what is known of the response to one attempt.
type responseProgress struct {
	// sentAt is when the attempt was begun, beganAt when the content of the response did; it is
	// zero before. Instances may send the header long before, at headerAt.
	sentAt, headerAt, beganAt time.Time
	// startedAt is the time beganAt without the time in which the machine was suspended, which
	// is cheap to compare with.
	startedAt time.Time
	// broken says that the instance's connection ended before or within the response.
	broken bool
	// outlived says that the response clears the parts of the request.
	outlived bool
}

// responseBegan records, once for each attempt, that the content of a response has begun.
func (x *exchange) responseBegan() {
	if x.progress.hasBegun() {
		return
	}
	x.progress.beganAt, x.progress.startedAt = clock.Now(), time.Now()
	x.pending.responding.Store(true)
}

// noteProgress records that a response goes on. It is called for each event.
func (x *exchange) noteProgress(choice placement.Choice, events int) {
	if len(x.parts) == 0 || x.progress.outlived || !x.progress.hasBegun() || !blocklist.Outlives(time.Since(x.progress.startedAt), events, choice.Slowdown) {
		return
	}
	x.progress.outlived = true
	x.frontend.blocker.responseOutlived(x.model, choice.Version, x.parts)
}

// noteComplete records that the response of an instance is complete. A stream that ends
// before its first event does not show that the instance can respond.
func (x *exchange) noteComplete(choice placement.Choice, events int) {
	if len(x.parts) == 0 || events == 0 {
		return
	}
	if !x.progress.outlived {
		x.frontend.blocker.responseOutlived(x.model, choice.Version, x.parts)
	}
	x.frontend.blocker.responseComplete(x.model, x.parts)
}

// noteBreak records the error that ended the connection before or within the response.
func (x *exchange) noteBreak(err error) { x.progress.broken = isBreak(err) }

// isBreak reports whether an error is that of a connection that the instance has ended.
func isBreak(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
}

// mayHaveCrashedInstance reports whether the interrupted attempt may be the reason why its
// instance has ended, so that it must not be sent to another one. If the attempt may be the
// reason, it records the crash.
func (x *exchange) mayHaveCrashedInstance(choice placement.Choice, progress responseProgress, record *attemptRecord) bool {
	ended := clock.Now()
	since := progress.interruptibleSince(ended, blocklist.Window(choice.Slowdown))
	if len(x.parts) == 0 || !progress.broken || since.IsZero() {
		return false
	}
	// After a pause of this process it is not known how long the response went on.
	if x.frontend.view.wasPausedSince(since) || !x.frontend.scheduler.endsUnexpectedly(choice) || !x.frontend.sender.refused(choice.Backend.Address) {
		return false
	}
	record.Crashed = true
	crash := blocklist.Crash{
		Start: blocklist.Start{Instance: choice.Backend.ID, Born: choice.Backend.Start}, Model: x.model, Version: choice.Version, At: ended, Suspects: x.parts,
	}
	isRepeated := x.mayRepeatAfter(crash, progress.maySoonBegin(ended, blocklist.Window(choice.Slowdown)))
	x.frontend.log.WithFields(logrus.Fields{
		"request": x.call.AttemptID, "backend": choice.Backend.ID, "born": choice.Backend.Start, "pool": x.pool, "version": choice.Version, "begun": progress.hasBegun(),
		"since_ms": ended.Sub(since).Milliseconds(), "events": record.Events, "shared_parts": loggedParts(x.parts), "parts": len(x.parts), "repeated": isRepeated,
	}).Warning("a backend server crashed before it had responded, or soon after it had begun to")
	x.frontend.blocker.requestInterrupted(crash)
	next := "ended"
	if isRepeated {
		next = "sent again"
	}
	x.frontend.metrics.blocks.interruptions.WithLabelValues(next).Inc()
	return !isRepeated
}

// loggedParts returns the parts of a prompt that one log line names.
func loggedParts(parts []string) []string { return parts[:min(len(parts), maxLoggedParts)] }

// mayRepeatAfter reports whether the request may be sent to another instance after a crash
// that has interrupted it: if all parts of its prompt are known not to be the reason, or, as
// long as its response had not begun or been about to, if none of the others is suspected of a
// further crash. Most of the requests that wait for a response when an instance crashes are not
// the reason.
func (x *exchange) mayRepeatAfter(crash blocklist.Crash, hadBegun bool) bool {
	if x.frontend.blocker.hasResponse(x.model, crash.Version, x.parts) {
		return true
	}
	return !hadBegun && !x.frontend.blocker.isSuspectedElsewhere(crash)
}

// maySoonBegin reports whether the content of the response has begun, or may be about to at the
// given time: its header has just arrived.
func (p *responseProgress) maySoonBegin(at time.Time, window time.Duration) bool {
	return p.hasBegun() || !p.headerAt.IsZero() && at.Sub(p.headerAt) <= window
}

func (p *responseProgress) hasBegun() bool { return !p.beganAt.IsZero() }

// interruptibleSince returns since when the attempt can have crashed its instance at the
// given time, or zero if its response began longer than window before.
func (p *responseProgress) interruptibleSince(at time.Time, window time.Duration) time.Time {
	switch {
	case !p.hasBegun():
		return p.sentAt
	case at.Sub(p.beganAt) > window:
		return time.Time{}
	}
	return p.beganAt
}

// refused reports whether the instance at address refuses connections, because its process
// has ended. An instance that is cut off, or without power, does not respond at all.
func (s *sender) refused(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}

// endsUnexpectedly reports whether the end of the chosen instance is unexpected.
func (s *scheduler) endsUnexpectedly(choice placement.Choice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.EndsUnexpectedly(choice)
}
