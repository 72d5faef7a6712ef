package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"plantainrelay/internal/admission"
	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/placement"
	"plantainrelay/platform"
)

const (
	// queueTimeShare is the share of the objective that a request waits for a
	// place: what starts later is late.
	queueTimeShare = 0.5
	// overloadQueueTimeShare is the same while requests of the pool are rejected again and
	// again: as many are served when each waits for a moment only, and those that
	// are not learn of it at once.
	overloadQueueTimeShare = 0.125
	// firstResponseFactor times the objective is how long a repeatable request waits for
	// the first part of an answer before it is sent to another instance.
	firstResponseFactor = 2.5
	// pauseFactor times the longest pause that is on time is the silence after
	// which a stream goes on at another instance.
	pauseFactor = 2.5
	// minSilenceTimeout bounds both from below.
	minSilenceTimeout = 600 * time.Millisecond
	// switchMargin is kept between the last start on an older version of the
	// weights and the bound on it.
	switchMargin = 900 * time.Millisecond
	// reservedSlots is the number of an instance's places that callers who come back
	// leave to requests that can still be on time, at whatever entry they are.
	reservedSlots = 2
	// maxResponseBytes bounds an answer that is not a stream.
	maxResponseBytes = 16 << 20
)

// attemptRecord is what one attempt did, for the log.
type attemptRecord struct {
	Instance string `json:"instance"`
	Zone     string `json:"availability_zone"`
	Version  int64  `json:"version,omitempty"`
	Load     int    `json:"load"`
	Limit    int    `json:"limit"`
	Unread   int    `json:"unread,omitempty"`
	QueueMs  int64  `json:"queue_ms"`
	FirstMs  int64  `json:"first_ms,omitempty"`
	Events   int    `json:"events,omitempty"`
	PauseMs  int64  `json:"max_pause_ms,omitempty"`
	Ms       int64  `json:"ms"`
	Outcome  string `json:"outcome"`
	// bytes is the size of the answer.
	bytes int
}

// exchange is one request of a caller on its way.
type exchange struct {
	frontend *frontend
	w        http.ResponseWriter
	r        *http.Request
	call     platform.Call
	arrived  time.Time
	body     []byte
	table    *catalog.Table
	route    *catalog.Route
	customer catalog.Customer
	pool     string
	model    string
	deadline time.Time
	// returning says that the caller comes back after a rejection.
	returning bool
	decision  *dispatch.Request
	tried     map[string]bool
	attempts  []attemptRecord
	// responseStarted says that the caller has received a part of the answer; lastEvent is
	// the last event of it.
	responseStarted bool
	lastEvent       int64
	hasEvent        bool
}

// prepare sets up the decisions on an admitted request.
func (x *exchange) prepare() {
	left := x.route.Timeout
	if x.call.TimeLeft > 0 && (left <= 0 || x.call.TimeLeft < left) {
		left = x.call.TimeLeft
	}
	x.deadline = x.arrived.Add(left)
	x.returning = x.frontend.returningCallers.isReturning(x.route.Name, x.call.TimeLeft, x.route.Timeout)
	x.tried = map[string]bool{}
	if engine := x.table.Pools[x.pool].Engine; engine != nil {
		x.model = engine.Model
	}
	x.decision = dispatch.New(dispatch.Config{
		Repeatable:  x.route.Repeatable(),
		Deadline:    x.deadline,
		MaxAttempts: x.route.MaxAttempts,
		Retry:       x.takeRetry,
	})
	x.frontend.scheduler.countRequest(x.pool)
}

// takeRetry asks the retry budget for a further attempt.
func (x *exchange) takeRetry() bool {
	granted := x.frontend.scheduler.takeRetry(x.pool)
	x.frontend.metrics.retries.WithLabelValues(strconv.FormatBool(granted)).Inc()
	return granted
}

// run carries the request to its end.
func (x *exchange) run() {
	ctx, cancel := context.WithTimeout(x.r.Context(), x.deadline.Sub(clock.Now()))
	defer cancel()
	action := x.decision.Start(clock.Now())
	for {
		switch action.Kind {
		case dispatch.Send:
			next, ended := x.sendAttempt(ctx)
			if ended {
				return
			}
			action = next
		case dispatch.Ask:
			// Runners keep no record of attempts: what is not known stays unknown.
			action = x.decision.Told(dispatch.FateUnknown, clock.Now())
		default:
			x.finish(ctx, action.Outcome)
			return
		}
	}
}

func (x *exchange) placementNeed() placement.Need {
	need := placement.Need{
		Pool: x.pool, Model: x.model, Version: x.requiredVersion(), Newest: x.frontend.view.releases.Load().Newest(x.model),
		Tokens: x.call.PromptTokens, Spread: x.responseStarted, Tried: x.tried,
	}
	if x.model != "" && len(x.attempts) == 0 {
		need.MaxWait = x.route.Objective
	}
	if x.returning && len(x.attempts) == 0 {
		need.Reserve = reservedSlots
	}
	return need
}

// requiredVersion returns the oldest version of the weights that may still
// begin on the request, 0 for any.
func (x *exchange) requiredVersion() int64 {
	if x.model == "" {
		return 0
	}
	return x.frontend.view.releases.Load().Required(x.model, clock.Now())
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
	if startBy.After(x.deadline) {
		startBy = x.deadline
	}
	priority := x.route.Priority
	if x.customer.HasPriority {
		priority = x.customer.Priority
	}
	return &ticket{
		Ticket: admission.Ticket{Customer: x.customer.Name, Route: x.route.Name, Class: priority, Returning: x.returning, Deadline: x.deadline, StartBy: startBy},
		need:   x.placementNeed(),
	}
}

// sendAttempt makes one attempt. ended says that the caller has the final answer.
func (x *exchange) sendAttempt(ctx context.Context) (next dispatch.Action, ended bool) {
	t := x.newTicket()
	queuedAt := clock.Now()
	choice, rejected := x.frontend.scheduler.acquire(ctx, t)
	if rejected != nil {
		return x.handleRejection(ctx, rejected), true
	}
	started := clock.Now()
	x.frontend.metrics.queueTime.Observe(started.Sub(queuedAt).Seconds())
	record := attemptRecord{
		Instance: choice.Backend.ID, Zone: choice.Backend.AvailabilityZone, Version: choice.Version, Load: choice.Load, Limit: choice.Limit, Unread: choice.Unread,
		QueueMs: started.Sub(queuedAt).Milliseconds(),
	}
	x.tried[choice.Backend.ID] = true
	outcome := x.attempt(ctx, choice, &record)
	duration := clock.Now().Sub(started)
	record.Ms, record.Outcome = duration.Milliseconds(), string(outcome)
	x.attempts = append(x.attempts, record)
	x.observeAttempt(record)
	x.frontend.scheduler.release(t, choice, outcome.placementResult(), duration)
	x.frontend.metrics.attempts.WithLabelValues(string(outcome)).Inc()
	return x.nextAction(ctx, outcome)
}

// observeAttempt feeds the metrics with what an attempt did.
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

// nextAction decides what follows an attempt.
func (x *exchange) nextAction(ctx context.Context, outcome outcome) (dispatch.Action, bool) {
	now := clock.Now()
	switch outcome {
	case answered:
		x.frontend.metrics.duration.Observe(now.Sub(x.arrived).Seconds())
		x.logOutcome(http.StatusOK, string(outcome))
		return dispatch.Action{}, true
	case callerLeft:
		x.logOutcome(0, string(outcome))
		x.abort()
	case notSent:
		return x.decision.NotStarted(now), false
	case notRun, moved:
		if x.takeRetry() {
			return x.decision.NotStarted(now), false
		}
		return x.decision.Refused(), false
	}
	if ctx.Err() != nil {
		x.finish(ctx, dispatch.Unknown)
		return dispatch.Action{}, true
	}
	return x.decision.Broken(x.responseStarted && !x.route.Resumable, now), false
}

// handleRejection ends a request that got no place.
func (x *exchange) handleRejection(ctx context.Context, r *rejection) dispatch.Action {
	if len(x.attempts) > 0 && x.mayHaveRun() {
		x.finish(ctx, dispatch.Unknown)
		return dispatch.Action{}
	}
	if x.r.Context().Err() != nil {
		x.logOutcome(0, string(callerLeft))
		x.abort()
	}
	x.refuse(refusal{status: http.StatusServiceUnavailable, reason: r.reason, retryAfter: r.retryAfter})
	return dispatch.Action{}
}

func (x *exchange) mayHaveRun() bool {
	for _, record := range x.attempts {
		switch outcome(record.Outcome) {
		case notSent, notRun, moved:
		default:
			return true
		}
	}
	return false
}

// finish gives the final answer to a request without one.
func (x *exchange) finish(ctx context.Context, final dispatch.Outcome) {
	switch {
	case x.r.Context().Err() != nil:
		x.logOutcome(0, string(callerLeft))
		x.abort()
	case x.responseStarted:
		x.logOutcome(0, "broken_off")
		x.abort()
	case final == dispatch.NotRun:
		x.refuse(refusal{status: http.StatusServiceUnavailable, reason: "no_instance", retryAfter: minRetryAfter})
	case ctx.Err() != nil:
		x.refuse(refusal{status: http.StatusGatewayTimeout, reason: "timeout"})
	default:
		x.refuse(refusal{status: http.StatusBadGateway, reason: "unknown"})
	}
}

// abort breaks the caller's connection, so that a part of an answer does not
// look whole.
func (x *exchange) abort() {
	panic(http.ErrAbortHandler)
}

// outcome says how one attempt ended.
type outcome string

const (
	// answered means that the caller has the whole answer.
	answered outcome = "answered"
	// notSent means that no byte of the request left this process.
	notSent outcome = "not_sent"
	// notRun means that the instance refused the request.
	notRun outcome = "not_run"
	// moved means that another instance has the address.
	moved outcome = "moved"
	// broken means that the attempt may have run and its answer is not whole.
	broken outcome = "broken"
	// silent means the same, after the instance kept silent for too long.
	silent outcome = "silent"
	// failed means that the instance answered with a failure of its own that
	// another instance may not have.
	failed outcome = "failed"
	// callerLeft means that nobody waits for the answer any more.
	callerLeft outcome = "caller_left"
)

func (o outcome) placementResult() placement.Result {
	switch o {
	case answered:
		return placement.Succeeded
	case notRun:
		return placement.Full
	case moved:
		return placement.Moved
	case callerLeft:
		return placement.Abandoned
	}
	return placement.Failed
}

// attempt sends the request to record instance and passes its answer on.
func (x *exchange) attempt(ctx context.Context, choice placement.Choice, record *attemptRecord) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := newWatchdog(cancel, x.firstResponseTimeout())
	defer watchdog.stop()
	request := x.newAttemptRequest(ctx, choice)
	started := clock.Now()
	response, sent, err := x.frontend.sender.send(request)
	if err != nil {
		return x.classifyFailure(watchdog, sent)
	}
	defer response.Body.Close()
	record.FirstMs = clock.Now().Sub(started).Milliseconds()
	x.frontend.scheduler.responseStarted(choice)
	switch platform.Judge(response.StatusCode, response.Header, x.call.ID, choice.Backend.ID) {
	case platform.NotRun:
		return notRun
	case platform.Moved:
		return moved
	case platform.Foreign:
		return broken
	}
	if x.route.Kind == catalog.Streaming && response.StatusCode == http.StatusOK {
		return x.forwardStream(response, watchdog, record)
	}
	return x.forwardResponse(response, watchdog, record)
}

// classifyFailure says what an attempt without an answer means.
func (x *exchange) classifyFailure(watchdog *watchdog, sent bool) outcome {
	switch {
	case x.r.Context().Err() != nil:
		return callerLeft
	case !sent:
		return notSent
	case watchdog.fired():
		return silent
	}
	return broken
}

func (x *exchange) firstResponseTimeout() time.Duration {
	if !x.route.Repeatable() {
		return 0
	}
	return max(time.Duration(firstResponseFactor*float64(x.route.Objective)), minSilenceTimeout)
}

func (x *exchange) newAttemptRequest(ctx context.Context, choice placement.Choice) *http.Request {
	forward := platform.Forward{
		TimeLeft: x.deadline.Sub(clock.Now()), Customer: x.customer.Name, BackendID: choice.Backend.ID,
	}
	if x.requiredVersion() > 0 {
		// Only the very version is taken: the engine may be switching.
		forward.Version = choice.Version
	}
	if x.hasEvent {
		forward.LastEvent = strconv.FormatInt(x.lastEvent, 10)
	}
	return newRequest(ctx, x.r, choice.Backend.Address, x.body, platform.EncodeForward(x.r.Header, forward))
}

// forwardResponse passes on an answer that is not a stream, once all of it is here.
func (x *exchange) forwardResponse(response *http.Response, watchdog *watchdog, record *attemptRecord) outcome {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	record.bytes = len(body)
	if err != nil {
		return x.classifyFailure(watchdog, true)
	}
	if response.StatusCode >= http.StatusInternalServerError && x.route.Kind == catalog.Idempotent && len(x.attempts)+1 < x.route.MaxAttempts {
		return failed
	}
	if x.responseStarted {
		return broken
	}
	platform.EncodeAnswer(response.Header, x.w.Header())
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(response.StatusCode)
	if _, err := x.w.Write(body); err != nil {
		return callerLeft
	}
	return answered
}

// forwardStream passes the events of an answer on as they come.
func (x *exchange) forwardStream(response *http.Response, watchdog *watchdog, record *attemptRecord) outcome {
	reader := newEventReader(response.Body)
	pauseTimeout := max(time.Duration(pauseFactor*float64(x.route.MaxPause)), minSilenceTimeout)
	flusher := http.NewResponseController(x.w)
	// Read for each event: the boot clock is a system call.
	last := time.Now()
	for {
		next, err := reader.next()
		if errors.Is(err, io.EOF) {
			return x.finishStream(response)
		}
		if err != nil {
			return x.classifyFailure(watchdog, true)
		}
		if next.hasID && x.hasEvent && next.id <= x.lastEvent {
			return broken
		}
		watchdog.extend(pauseTimeout)
		now := time.Now()
		if record.Events > 0 {
			record.PauseMs = max(record.PauseMs, now.Sub(last).Milliseconds())
		}
		last = now
		x.startStream(response)
		if _, err := x.w.Write(next.raw); err != nil {
			return callerLeft
		}
		if next.hasID {
			x.lastEvent, x.hasEvent = next.id, true
		}
		record.Events++
		record.bytes += len(next.raw)
		if !reader.buffered() {
			if err := flusher.Flush(); err != nil {
				return callerLeft
			}
		}
	}
}

func (x *exchange) startStream(response *http.Response) {
	if x.responseStarted {
		return
	}
	x.responseStarted = true
	platform.EncodeAnswer(response.Header, x.w.Header())
	x.w.WriteHeader(response.StatusCode)
	x.frontend.metrics.firstEvent.Observe(clock.Now().Sub(x.arrived).Seconds())
}

// finishStream ends the answer after the last event.
func (x *exchange) finishStream(response *http.Response) outcome {
	x.startStream(response)
	return answered
}
