package relay

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/admission"
	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/promptcache"
	"plantainrelay/platform"
)

const (
	// queueTimeShare is the share of the route's objective that a request may wait for
	// a slot: a request that starts later misses the objective.
	queueTimeShare = 0.5
	// overloadQueueTimeShare replaces queueTimeShare while requests of the pool are
	// repeatedly rejected. A short wait serves as many requests, and the rejected ones
	// learn of it sooner.
	overloadQueueTimeShare = 0.125
	// returnWaitFactor times the objective bounds the wait of a caller that has returned
	// after a rejection: callers give up a request that has no response after four
	// times the objective.
	returnWaitFactor = 2
	// firstResponseFactor times the objective is how long a repeatable request waits
	// for the start of a response before it is sent to another instance.
	firstResponseFactor = 2.5
	// pauseFactor times the longest pause that the route allows is the silence after
	// which a stream is resumed at another instance.
	pauseFactor = 2.5
	// minSilenceTimeout is the lower bound of both timeouts.
	minSilenceTimeout = 600 * time.Millisecond
	// startCheckInterval is the time after which an attempt without a response is first compared
	// with the bounds of the releases that are known by then.
	startCheckInterval = 250 * time.Millisecond
	// cancelMargin is the time for which an instance may not know yet that an attempt has
	// been cancelled.
	cancelMargin = 200 * time.Millisecond
	// reservedSlots is the number of slots of an instance that returning callers leave
	// free for requests, from any entry, that can still meet their objective.
	reservedSlots = 2
	// maxBufferedBytes is the size up to which a response that is not a stream is read
	// completely before it is forwarded.
	maxBufferedBytes = 256 << 10
	// maxResponseBytes bounds a response, and each part of a stream that comes from one
	// instance. It also bounds what an instance can send that never ends its response.
	maxResponseBytes = 16 << 20
	// maxInterruptions bounds the instances at which one request is interrupted.
	maxInterruptions = 2
	// maxLoggedError bounds the error of an attempt in the request log: it may quote the response.
	maxLoggedError = 200
	// forwardBufferBytes is the size of the buffer for the rest of a large response.
	forwardBufferBytes = 32 << 10
)

// attemptRecord describes one attempt for the request log. Load, Limit, Unread
// and HeldTokens are Load, Limit, PendingPromptTokens and HeldTokens of the placement.Choice.
type attemptRecord struct {
	Instance string `json:"instance"`
	Zone     string `json:"availability_zone"`
	Version  int64  `json:"version,omitempty"`
	// MinVersion is the oldest version that could start the request.
	MinVersion int64 `json:"min_version,omitempty"`
	Load       int   `json:"load"`
	Limit      int   `json:"limit"`
	Unread     int   `json:"unread,omitempty"`
	HeldTokens int   `json:"held_tokens,omitempty"`
	QueueMs    int64 `json:"queue_ms"`
	// Reserved says that the slot was taken while the last attempt was still awaited.
	Reserved bool   `json:"reserved,omitempty"`
	FirstMs  int64  `json:"first_ms,omitempty"`
	Events   int    `json:"events,omitempty"`
	PauseMs  int64  `json:"max_pause_ms,omitempty"`
	Ms       int64  `json:"ms"`
	Outcome  string `json:"outcome"`
	// Error is why the response is not complete, of a broken attempt, at most maxLoggedError bytes.
	Error string `json:"error,omitempty"`
	// EndedFor is why the attempt was ended by this entry or the instance's agent, if it was.
	EndedFor endReason `json:"ended_for,omitempty"`
	// StartLimitMs is the time in which the instance had to start the request because of the
	// bound on its version.
	StartLimitMs int64 `json:"start_limit_ms,omitempty"`
	// Leaving and WaitMs are what the response says about the instance: that it leaves,
	// and for how long it wants no requests.
	Leaving bool  `json:"leaving,omitempty"`
	WaitMs  int64 `json:"wait_ms,omitempty"`
	// Cold says that the instance counted as cold.
	Cold bool `json:"cold,omitempty"`
	// ReportedLoad and ReportedMs are ReportedLoad and ReportedAge of the placement.Choice.
	ReportedLoad int   `json:"reported_load,omitempty"`
	ReportedMs   int64 `json:"reported_age_ms,omitempty"`
	// Crashed says that the instance crashed before it had responded, or soon after it had
	// begun to.
	Crashed bool `json:"crashed,omitempty"`
	// bytes is the size of the response body.
	bytes int
}

// exchange is one request of a caller in progress.
type exchange struct {
	frontend *frontend
	w        http.ResponseWriter
	r        *http.Request
	call     platform.RequestInfo
	arrived  time.Time
	body     *body
	table    *catalog.Table
	route    *catalog.Route
	customer catalog.Customer
	pool     string
	model    string
	// parts holds the IDs of the parts of the prompt that a model engine may crash at.
	parts []string
	// prefix is the beginning of the prompt that a model engine may still hold, empty while
	// PromptReuse is off.
	prefix promptcache.Chain
	// blockedPart is the one because of which the request is refused. isTrial says that it
	// is let through although one of its parts is blocked.
	blockedPart string
	isTrial     bool
	pending     *pendingRequest
	progress    responseProgress
	deadline    time.Time
	// returning means that the caller retries after a rejection.
	returning bool
	decision  *dispatch.Request
	tried     map[string]bool
	attempts  []attemptRecord
	// reserved is what the next attempt needs, if it has been reserved.
	reserved *reservation
	// responseStarted means that the caller has received a part of the response with
	// this status. isStream means that the response is a stream; position is the last event
	// in that part.
	responseStarted bool
	status          int
	isStream        bool
	position        streamPosition
	// lastEventAt is when the caller got that event, by time.Now.
	lastEventAt time.Time
	// retryTakenAt is when the retry of the next attempt was taken from the budget.
	retryTakenAt time.Time
	// startWatchdog ends the current attempt if it does not start before the bound on the
	// version of its instance.
	startWatchdog *watchdog
	// returns counts how often a rejected request has returned to an instance.
	returns int
	// closeCause is why no further attempt is made, for the log.
	closeCause closeCause
	// shedFor is why the queue has shed the request, for the log.
	shedFor admission.Reason
}

// setDeadline sets the time at which the request is given up.
func (x *exchange) setDeadline() {
	timeLeft := x.route.Timeout
	if x.call.TimeLeft > 0 && (timeLeft <= 0 || x.call.TimeLeft < timeLeft) {
		timeLeft = x.call.TimeLeft
	}
	x.deadline = x.arrived.Add(timeLeft)
}

// prepare sets the retry decisions of an admitted request.
func (x *exchange) prepare() {
	x.returning = x.frontend.returningCallers.isReturning(x.route.Name, x.call.TimeLeft, x.route.Timeout)
	x.tried = map[string]bool{}
	x.decision = dispatch.New(dispatch.Config{
		Repeatable:       x.route.Repeatable(),
		Deadline:         x.deadline,
		MaxAttempts:      x.route.MaxAttempts,
		Retry:            x.takeRetry,
		MaxInterruptions: x.maxInterruptions(),
	})
	x.frontend.scheduler.countRequest(x.pool)
}

// maxInterruptions returns the bound on interrupted attempts, 0 for none. A stream is
// interrupted by each switch of versions, and what it may crash is told by the parts of its
// prompt.
func (x *exchange) maxInterruptions() int {
	if x.route.Kind == catalog.Streaming {
		return 0
	}
	return maxInterruptions
}

// takeRetry takes one retry from the pool's budget and reports whether it was granted. A request
// that must go on waits for one.
func (x *exchange) takeRetry() bool {
	granted := x.reserved != nil && !x.reserved.isRetryUsed
	if granted {
		x.reserved.isRetryUsed = true
	} else {
		granted = x.frontend.scheduler.takeRetry(x.pool)
	}
	if !granted && x.mustGoOn() {
		granted = x.awaitRetry()
	}
	x.frontend.metrics.retries.WithLabelValues(strconv.FormatBool(granted)).Inc()
	x.retryTakenAt = clock.Now()
	if !granted {
		x.closeCause = closedForRetry
	}
	return granted
}

// run makes attempts until the request has its final outcome.
func (x *exchange) run() {
	ctx, cancel := context.WithTimeout(x.r.Context(), x.deadline.Sub(clock.Now()))
	defer cancel()
	ctx, cancelFor := context.WithCancelCause(ctx)
	defer cancelFor(nil)
	defer context.AfterFunc(x.frontend.shutdown.ending, func() { cancelFor(errShutdown) })()
	defer x.releaseReservation()
	x.pending = &pendingRequest{cancel: cancelFor}
	if len(x.parts) > 0 && !x.isTrial {
		defer x.frontend.blocker.watch(x.model, x.parts, x.pending)()
	}
	action := x.decision.Start(clock.Now())
	for {
		switch action.Kind {
		case dispatch.Send:
			next, ended := x.sendAttempt(ctx)
			if ended {
				return
			}
			action = next
		case dispatch.QueryStatus:
			// Backend servers keep no record of attempts, so an unknown outcome stays
			// unknown.
			action = x.decision.StatusReceived(dispatch.AttemptUnknown, clock.Now())
		default:
			x.finish(ctx, action.Outcome)
			return
		}
	}
}

func (x *exchange) placementNeed() placement.Requirements {
	need := placement.Requirements{
		Pool: x.pool, Model: x.model, TargetVersion: x.frontend.view.releases.Load().TargetVersion(x.model),
		PromptTokens: x.call.PromptTokens, Prefix: x.prefix, RandomizeChoice: x.responseStarted, Tried: x.tried,
	}
	if x.model != "" && len(x.attempts) > 0 {
		need.AvoidSwitch = x.decision.RemainingAttempts() == 0
	}
	if x.model != "" && len(x.attempts) == 0 {
		need.MaxWait = x.route.Objective
	}
	if x.returning && len(x.attempts) == 0 {
		need.ReservedSlots = reservedSlots
	}
	x.restrictRegions()(&need)
	return need
}

// requiredVersion returns the oldest version of the weights that may still start the
// request, or 0 for any.
func (x *exchange) requiredVersion() int64 {
	if x.model == "" {
		return 0
	}
	return x.frontend.view.minVersion(x.model, clock.Now())
}

func (x *exchange) newTicket() *ticket {
	share := queueTimeShare
	if x.frontend.scheduler.isOverloaded(x.pool) {
		share = overloadQueueTimeShare
	}
	maxQueueTime := time.Duration(share * float64(x.route.Objective))
	startBy := x.arrived.Add(maxQueueTime)
	if now := clock.Now(); len(x.attempts) > 0 {
		startBy = now.Add(maxQueueTime)
	}
	priority := catalog.Class(x.route, x.customer)
	if x.mustGoOn() {
		priority = resumedPriority
		if waitUntil := x.waitUntil(); waitUntil.After(startBy) {
			startBy = waitUntil
		}
	}
	if startBy.After(x.deadline) {
		startBy = x.deadline
	}
	return &ticket{
		Ticket: admission.Ticket{Customer: x.customer.Name, Route: x.route.Name, Class: priority, Retry: x.returning, Deadline: x.deadline, StartBy: startBy, Size: x.call.PromptTokens},
		need:   x.placementNeed(), maxReturnWait: time.Duration(returnWaitFactor * float64(x.route.Objective)),
		isRejectable: !x.mayHaveRun(), restrict: x.restrictRegions(),
	}
}

// sendAttempt makes one attempt. ended means that the caller has received the final
// response.
func (x *exchange) sendAttempt(ctx context.Context) (next dispatch.Action, ended bool) {
	if reserved := x.reserved; reserved != nil {
		x.reserved, x.retryTakenAt = nil, time.Time{}
		return x.nextAction(ctx, x.attemptInSlot(ctx, acquiredSlot{ticket: reserved.ticket, choice: reserved.choice, isReserved: true, standby: reserved.standby}))
	}
	queuedAt := clock.Now()
	for {
		t := x.newTicket()
		choice, rejected := x.frontend.scheduler.acquire(ctx, t)
		if rejected != nil {
			return x.handleRejection(ctx, rejected), true
		}
		if x.renewRetry() {
			return x.nextAction(ctx, x.attemptInSlot(ctx, acquiredSlot{ticket: t, choice: choice, queueTime: clock.Now().Sub(queuedAt)}))
		}
		x.frontend.scheduler.returnSlot(t, choice)
		if !x.takeRetry() {
			x.finish(ctx, dispatch.Unknown)
			return dispatch.Action{}, true
		}
	}
}

// renewRetry counts the retry of a request that may have waited for long when its attempt is
// made, since that is when it reaches an instance. It reports whether the budget allows it then;
// otherwise the retry is returned.
func (x *exchange) renewRetry() bool {
	takenAt := x.retryTakenAt
	x.retryTakenAt = time.Time{}
	return takenAt.IsZero() || !x.mustGoOn() || x.frontend.scheduler.renewRetry(x.pool, takenAt)
}

// acquiredSlot is a slot of an instance that an attempt may use. isReserved means that it was
// taken with a reservation, and queueTime that it was waited for.
type acquiredSlot struct {
	ticket     *ticket
	choice     placement.Choice
	queueTime  time.Duration
	isReserved bool
	// standby is the response that the instance has begun, if there is one.
	standby *standby
}

// attemptInSlot makes one attempt in a slot. It returns the slot also if the attempt panics.
func (x *exchange) attemptInSlot(ctx context.Context, slot acquiredSlot) (result outcome) {
	t, choice, queueTime := slot.ticket, slot.choice, slot.queueTime
	started := clock.Now()
	x.frontend.metrics.queueTime.Observe(queueTime.Seconds())
	record := attemptRecord{
		Instance: choice.Backend.ID, Zone: choice.Backend.AvailabilityZone, Version: choice.Version, MinVersion: t.need.MinVersion, Load: choice.Load, Limit: choice.Limit, Unread: choice.PendingPromptTokens, HeldTokens: choice.HeldTokens,
		QueueMs: queueTime.Milliseconds(), Reserved: slot.isReserved, Cold: choice.Cold,
		ReportedLoad: choice.ReportedLoad, ReportedMs: choice.ReportedAge.Milliseconds(),
	}
	x.tried[choice.Backend.ID] = true
	if len(x.prefix) > 0 {
		x.frontend.metrics.countHeldPrompt(choice.HeldTokens)
	}
	result = broken
	defer func() {
		duration := clock.Now().Sub(started)
		record.Ms, record.Outcome = duration.Milliseconds(), string(result)
		x.attempts = append(x.attempts, record)
		x.observeAttempt(record)
		x.frontend.scheduler.release(t, choice, record.placementResult(result), duration)
		x.frontend.metrics.attempts.WithLabelValues(string(result)).Inc()
	}()
	if slot.standby != nil {
		result = x.takeOver(ctx, choice, slot.standby, &record)
	} else {
		result = x.attempt(ctx, choice, &record)
	}
	if result == broken && ctx.Err() == nil && x.frontend.scheduler.hasSwitched(choice) {
		result = switched
	}
	x.recordOwnEnd(ctx, choice, result, &record)
	if result == broken && x.mayHaveCrashedInstance(choice, x.progress, &record) {
		result = crashSuspect
	}
	return result
}

// observeAttempt updates the metrics from the record of an attempt.
func (x *exchange) observeAttempt(record attemptRecord) {
	zone := "own"
	if record.Zone != x.frontend.zone {
		zone = "other"
	}
	x.frontend.metrics.responseBytes.WithLabelValues(zone).Add(float64(record.bytes))
	if record.Events > 1 {
		x.frontend.metrics.longestPause.Observe(float64(record.PauseMs) / 1000)
	}
}

// nextAction decides how to continue after an attempt.
func (x *exchange) nextAction(ctx context.Context, outcome outcome) (dispatch.Action, bool) {
	now := clock.Now()
	switch outcome {
	case answered:
		x.frontend.metrics.duration.Observe(now.Sub(x.arrived).Seconds())
		x.frontend.shutdown.recordDuration(x.route.Name, now.Sub(x.arrived), now)
		x.logOutcome(x.status, string(outcome))
		return dispatch.Action{}, true
	case callerDisconnected:
		x.logOutcome(0, string(outcome))
		x.abort()
	case partBlocked:
		x.refuseBlocked()
		return dispatch.Action{}, true
	case partSuspected:
		x.refuseSuspected()
		return dispatch.Action{}, true
	case crashSuspect, canceled:
		x.finish(ctx, dispatch.Unknown)
		return dispatch.Action{}, true
	case notSent, notAllowed:
		return x.decision.NotStarted(now), false
	case notRun, addressReused:
		if outcome == notRun && x.mustGoOn() {
			x.allowReturn(ctx)
		}
		if x.takeRetry() {
			return x.decision.NotStarted(now), false
		}
		return x.decision.Rejected(), false
	}
	if ctx.Err() != nil {
		x.finish(ctx, dispatch.Unknown)
		return dispatch.Action{}, true
	}
	delivered := x.responseStarted && !x.isResuming()
	if outcome == versionBound || outcome == switched {
		// Once the instance has newer weights, it may run the request.
		delete(x.tried, x.attempts[len(x.attempts)-1].Instance)
		return x.decision.AttemptEnded(delivered, now), false
	}
	return x.decision.AttemptInterrupted(delivered, now), false
}

// handleRejection ends a request that got no slot.
func (x *exchange) handleRejection(ctx context.Context, r *rejection) dispatch.Action {
	x.closeCause, x.shedFor = closedForSlot, r.shedFor
	if len(x.attempts) > 0 && x.mayHaveRun() {
		x.finish(ctx, dispatch.Unknown)
		return dispatch.Action{}
	}
	if x.r.Context().Err() != nil {
		x.logOutcome(0, string(callerDisconnected))
		x.abort()
	}
	if x.isCanceledByBlock(ctx) {
		x.refuseBlocked()
		return dispatch.Action{}
	}
	if isCanceledByShutdown(ctx) {
		x.refuse(*leavingRefusal())
		return dispatch.Action{}
	}
	x.refuse(refusal{status: http.StatusServiceUnavailable, reason: r.reason, retryAfter: r.retryAfter})
	return dispatch.Action{}
}

func (x *exchange) mayHaveRun() bool {
	for _, record := range x.attempts {
		switch outcome(record.Outcome) {
		case notSent, notAllowed, notRun, addressReused, partBlocked, partSuspected:
		default:
			return true
		}
	}
	return false
}

// wasInterrupted reports whether the response to an attempt broke off or never came.
func (x *exchange) wasInterrupted() bool {
	return slices.ContainsFunc(x.attempts, func(record attemptRecord) bool {
		return outcome(record.Outcome) == broken || outcome(record.Outcome) == crashSuspect
	})
}

// finish sends the final response of a request that no attempt has answered.
func (x *exchange) finish(ctx context.Context, final dispatch.Outcome) {
	switch {
	case x.r.Context().Err() != nil:
		x.logOutcome(0, string(callerDisconnected))
		x.abort()
	case x.responseStarted:
		x.closeResponse(ctx)
	case x.isCanceledByBlock(ctx):
		x.refuseBlocked()
	case final == dispatch.NotRun:
		x.refuse(refusal{status: http.StatusServiceUnavailable, reason: "no_instance", retryAfter: minRetryAfter})
	case isCanceledByShutdown(ctx):
		x.refuse(refusal{status: http.StatusBadGateway, reason: "unknown"})
	case ctx.Err() != nil:
		x.refuse(refusal{status: http.StatusGatewayTimeout, reason: "timeout"})
	default:
		x.refuse(refusal{status: http.StatusBadGateway, reason: "unknown"})
	}
}

// abort closes the caller's connection, so that a partial response cannot be taken for
// a complete one.
func (x *exchange) abort() {
	panic(http.ErrAbortHandler)
}

// attempt sends the request to one instance and forwards the response.
func (x *exchange) attempt(ctx context.Context, choice placement.Choice, record *attemptRecord) (result outcome) {
	if choice.Version < x.requiredVersion() {
		// The bound has ended since the request was placed.
		return notSent
	}
	if !x.isAllowedAt(choice) {
		return notAllowed
	}
	// Before the check: a block that is decided after it cancels the request.
	x.pending.responding.Store(false)
	if x.isBlocked() {
		return partBlocked
	}
	if !record.Reserved && !x.mayBeSent() {
		return partSuspected
	}
	x.progress = responseProgress{sentAt: clock.Now()}
	requestCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next := x.repeatTicket()
	watchdog, further := x.newSilenceWatchdog(requestCtx, cancel, choice, next)
	defer func() { x.endWatch(watchdog, further, result) }()
	limit, limited := x.startLimit(choice)
	if limited {
		record.StartLimitMs = limit.Milliseconds()
	}
	x.startWatchdog = newWatchdog(cancel, x.firstStartCheck(limit, limited), x.boundDecision(choice, next), x.frontend.scheduler.cancelReservation)
	defer func() { x.takeReservation(x.startWatchdog) }()
	request := x.newAttemptRequest(ctx, choice)
	started := clock.Now()
	response, sent, err := x.frontend.sender.send(request)
	if err != nil {
		x.noteBreak(err)
		return x.classifyFailure(watchdog, sent, err, record)
	}
	defer response.Body.Close()
	x.startWatchdog.stop()
	record.FirstMs = clock.Now().Sub(started).Milliseconds()
	x.frontend.scheduler.responseStarted(choice)
	info := platform.DecodeResponse(response.StatusCode, response.Header, x.call.AttemptID, choice.Backend.ID)
	x.frontend.recordNotice(choice, info, record)
	switch info.Class {
	case platform.NotRun:
		return notRun
	case platform.AddressReused:
		return addressReused
	case platform.Mismatched:
		x.logMismatch(response, record)
		return broken
	}
	return x.forward(response, choice, watchdog, record)
}

// forward forwards the response of an instance.
func (x *exchange) forward(response *http.Response, choice placement.Choice, watchdog *watchdog, record *attemptRecord) outcome {
	if x.progress.headerAt.IsZero() {
		x.progress.headerAt = clock.Now()
	}
	if response.StatusCode/100 == 2 && len(x.prefix) > 0 {
		x.frontend.scheduler.promptProcessed(choice)
	}
	if x.route.Kind == catalog.Streaming && response.StatusCode == http.StatusOK {
		return x.forwardStream(response, choice, watchdog, record)
	}
	outcome := x.forwardResponse(response, watchdog, record)
	if outcome == answered && response.StatusCode/100 == 2 {
		x.noteComplete(choice, 1)
	}
	return outcome
}

// logMismatch logs a response that does not belong to the request, or is none.
func (x *exchange) logMismatch(response *http.Response, record *attemptRecord) {
	x.frontend.log.WithFields(logrus.Fields{
		"request": x.call.AttemptID, "instance": record.Instance, "status": response.StatusCode, "first_ms": record.FirstMs,
	}).Warning("discarded a response that does not belong to the request or has an invalid status; check the backend server")
}

// classifyFailure returns the outcome of an attempt that has no complete response because of err,
// which is recorded unless the outcome says more.
func (x *exchange) classifyFailure(watchdog *watchdog, sent bool, err error, record *attemptRecord) outcome {
	switch {
	case x.r.Context().Err() != nil:
		return callerDisconnected
	case !sent:
		return notSent
	case x.pending.canceled.Load():
		return canceled
	case x.startWatchdog.fired():
		return versionBound
	case watchdog.fired():
		return silent
	}
	text := err.Error()
	record.Error = text[:min(len(text), maxLoggedError)]
	return broken
}

func (x *exchange) firstResponseTimeout() time.Duration {
	if !x.route.Repeatable() {
		return 0
	}
	return max(time.Duration(firstResponseFactor*float64(x.route.Objective)), minSilenceTimeout)
}

// startLimit returns how long the instance may take from now on to start the request: one with
// old weights must not start it after the bound of a newer version has ended. limited is false
// if no newer version is known.
func (x *exchange) startLimit(choice placement.Choice) (limit time.Duration, limited bool) {
	if x.model == "" {
		return 0, false
	}
	by, limited := x.frontend.view.releases.Load().StartBy(x.model, choice.Version, x.frontend.view.sendMargin, stablePeriodMargin)
	if !limited {
		return 0, false
	}
	return by.Add(-cancelMargin).Sub(clock.Now()), true
}

// firstStartCheck returns when the start limit of an attempt is checked first, 0 for never. A
// release may come while the attempt waits.
func (x *exchange) firstStartCheck(limit time.Duration, limited bool) time.Duration {
	if x.model == "" {
		return 0
	}
	if limited {
		return max(min(limit-silenceConfirmInterval, startCheckInterval), time.Millisecond)
	}
	return startCheckInterval
}

func (x *exchange) newAttemptRequest(ctx context.Context, choice placement.Choice) *http.Request {
	forward := platform.ForwardOptions{
		TimeLeft: x.deadline.Sub(clock.Now()), Customer: x.customer.Name, BackendID: choice.Backend.ID,
	}
	if x.requiredVersion() > 0 {
		// Require exactly the chosen version: the engine may be switching to another
		// one.
		forward.Version = choice.Version
	}
	if last, hasEvent := x.position.lastEvent(); hasEvent {
		forward.LastEventID = strconv.FormatInt(last, 10)
	}
	forward.Urgency = x.urgency()
	return newRequest(ctx, x.r, choice.Backend.Address, x.body, platform.ForwardHeader(x.r.Header, forward))
}
