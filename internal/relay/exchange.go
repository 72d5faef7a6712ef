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
	// patienceShare is the share of the objective that a request waits for a
	// place: what starts later is late.
	patienceShare = 0.5
	// overloadShare is the same while requests of the pool are rejected again and
	// again: as many are served when each waits for a moment only, and those that
	// are not learn of it at once.
	overloadShare = 0.125
	// firstFactor times the objective is how long a repeatable request waits for
	// the first part of an answer before it is sent to another instance.
	firstFactor = 2.5
	// pauseFactor times the longest pause that is on time is the silence after
	// which a stream goes on at another instance.
	pauseFactor = 2.5
	// minSilence bounds both from below.
	minSilence = 600 * time.Millisecond
	// switchMargin is kept between the last start on an older version of the
	// weights and the bound on it.
	switchMargin = 900 * time.Millisecond
	// reservedPlaces is the number of an instance's places that callers who come back
	// leave to requests that can still be on time, at whatever entry they are.
	reservedPlaces = 2
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 16 << 20
)

// leg is what one attempt did, for the log.
type leg struct {
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
	front    *front
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
	trail     []leg
	// begun says that the caller has received a part of the answer; lastEvent is
	// the last event of it.
	begun     bool
	lastEvent int64
	hasEvent  bool
}

// begin sets up the decisions on an admitted request.
func (x *exchange) begin() {
	left := x.route.Timeout
	if x.call.TimeLeft > 0 && (left <= 0 || x.call.TimeLeft < left) {
		left = x.call.TimeLeft
	}
	x.deadline = x.arrived.Add(left)
	x.returning = x.front.usual.returning(x.route.Name, x.call.TimeLeft, x.route.Timeout)
	x.tried = map[string]bool{}
	if engine := x.table.Pools[x.pool].Engine; engine != nil {
		x.model = engine.Model
	}
	x.decision = dispatch.New(dispatch.Config{
		Repeatable:  x.route.Repeatable(),
		Deadline:    x.deadline,
		MaxAttempts: x.route.MaxAttempts,
		Retry:       x.mayRepeat,
	})
	x.front.gate.requested(x.pool)
}

// mayRepeat asks the retry budget for a further attempt.
func (x *exchange) mayRepeat() bool {
	granted := x.front.gate.mayRepeat(x.pool)
	x.front.metrics.repeats.WithLabelValues(strconv.FormatBool(granted)).Inc()
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
			next, ended := x.send(ctx)
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

func (x *exchange) need() placement.Need {
	need := placement.Need{
		Pool: x.pool, Model: x.model, Version: x.requiredVersion(), Newest: x.front.view.releases.Load().Newest(x.model),
		Tokens: x.call.PromptTokens, Spread: x.begun, Tried: x.tried,
	}
	if x.model != "" && len(x.trail) == 0 {
		need.MaxWait = x.route.Objective
	}
	if x.returning && len(x.trail) == 0 {
		need.Reserve = reservedPlaces
	}
	return need
}

// requiredVersion returns the oldest version of the weights that may still
// begin on the request, 0 for any.
func (x *exchange) requiredVersion() int64 {
	if x.model == "" {
		return 0
	}
	return x.front.view.releases.Load().Required(x.model, clock.Now())
}

func (x *exchange) ticket() *ticket {
	share := patienceShare
	if x.front.gate.overloaded(x.pool) {
		share = overloadShare
	}
	patience := time.Duration(share * float64(x.route.Objective))
	startBy := x.arrived.Add(patience)
	if now := clock.Now(); len(x.trail) > 0 {
		startBy = now.Add(patience)
	}
	if startBy.After(x.deadline) {
		startBy = x.deadline
	}
	class := x.route.Priority
	if x.customer.HasPriority {
		class = x.customer.Priority
	}
	return &ticket{
		Ticket: admission.Ticket{Customer: x.customer.Name, Route: x.route.Name, Class: class, Returning: x.returning, Deadline: x.deadline, StartBy: startBy},
		need:   x.need(),
	}
}

// send makes one attempt. ended says that the caller has the final answer.
func (x *exchange) send(ctx context.Context) (next dispatch.Action, ended bool) {
	t := x.ticket()
	entered := clock.Now()
	choice, rejected := x.front.gate.enter(ctx, t)
	if rejected != nil {
		return x.rejected(ctx, rejected), true
	}
	started := clock.Now()
	x.front.metrics.queue.Observe(started.Sub(entered).Seconds())
	one := leg{
		Instance: choice.Backend.ID, Zone: choice.Backend.AvailabilityZone, Version: choice.Version, Load: choice.Load, Limit: choice.Limit, Unread: choice.Unread,
		QueueMs: started.Sub(entered).Milliseconds(),
	}
	x.tried[choice.Backend.ID] = true
	outcome := x.attempt(ctx, choice, &one)
	ran := clock.Now().Sub(started)
	one.Ms, one.Outcome = ran.Milliseconds(), string(outcome)
	x.trail = append(x.trail, one)
	x.observe(one)
	x.front.gate.leave(t, choice, outcome.result(), ran)
	x.front.metrics.attempts.WithLabelValues(string(outcome)).Inc()
	return x.after(ctx, outcome)
}

// observe feeds the metrics with what an attempt did.
func (x *exchange) observe(one leg) {
	zone := "own"
	if one.Zone != x.front.zone {
		zone = "other"
	}
	x.front.metrics.bytes.WithLabelValues(zone).Add(float64(one.bytes))
	if one.Events > 1 {
		x.front.metrics.pause.Observe(float64(one.PauseMs) / 1000)
	}
}

// after decides what follows an attempt.
func (x *exchange) after(ctx context.Context, outcome outcome) (dispatch.Action, bool) {
	now := clock.Now()
	switch outcome {
	case answered:
		x.front.metrics.whole.Observe(now.Sub(x.arrived).Seconds())
		x.logEnd(http.StatusOK, string(outcome))
		return dispatch.Action{}, true
	case callerLeft:
		x.logEnd(0, string(outcome))
		x.abort()
	case notSent:
		return x.decision.NotStarted(now), false
	case notRun, moved:
		if x.mayRepeat() {
			return x.decision.NotStarted(now), false
		}
		return x.decision.Refused(), false
	}
	if ctx.Err() != nil {
		x.finish(ctx, dispatch.Unknown)
		return dispatch.Action{}, true
	}
	return x.decision.Broken(x.begun && !x.route.Resumable, now), false
}

// rejected ends a request that got no place.
func (x *exchange) rejected(ctx context.Context, r *rejection) dispatch.Action {
	if len(x.trail) > 0 && x.mayHaveRun() {
		x.finish(ctx, dispatch.Unknown)
		return dispatch.Action{}
	}
	if x.r.Context().Err() != nil {
		x.logEnd(0, string(callerLeft))
		x.abort()
	}
	x.refuse(refusal{status: http.StatusServiceUnavailable, reason: r.reason, retryAfter: r.retryAfter})
	return dispatch.Action{}
}

func (x *exchange) mayHaveRun() bool {
	for _, one := range x.trail {
		switch outcome(one.Outcome) {
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
		x.logEnd(0, string(callerLeft))
		x.abort()
	case x.begun:
		x.logEnd(0, "broken_off")
		x.abort()
	case final == dispatch.NotRun:
		x.refuse(refusal{status: http.StatusServiceUnavailable, reason: "no_instance", retryAfter: minReturn})
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

func (o outcome) result() placement.Result {
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

// attempt sends the request to one instance and passes its answer on.
func (x *exchange) attempt(ctx context.Context, choice placement.Choice, one *leg) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := newWatchdog(cancel, x.firstLimit())
	defer watchdog.stop()
	request := x.request(ctx, choice)
	started := clock.Now()
	response, sent, err := x.front.sender.send(request)
	if err != nil {
		return x.lost(watchdog, sent)
	}
	defer response.Body.Close()
	one.FirstMs = clock.Now().Sub(started).Milliseconds()
	x.front.gate.began(choice)
	switch platform.Judge(response.StatusCode, response.Header, x.call.ID, choice.Backend.ID) {
	case platform.NotRun:
		return notRun
	case platform.Moved:
		return moved
	case platform.Foreign:
		return broken
	}
	if x.route.Kind == catalog.Streaming && response.StatusCode == http.StatusOK {
		return x.stream(response, watchdog, one)
	}
	return x.whole(response, watchdog, one)
}

// lost says what an attempt without an answer means.
func (x *exchange) lost(watchdog *watchdog, sent bool) outcome {
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

func (x *exchange) firstLimit() time.Duration {
	if !x.route.Repeatable() {
		return 0
	}
	return max(time.Duration(firstFactor*float64(x.route.Objective)), minSilence)
}

func (x *exchange) request(ctx context.Context, choice placement.Choice) *http.Request {
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

// whole passes on an answer that is not a stream, once all of it is here.
func (x *exchange) whole(response *http.Response, watchdog *watchdog, one *leg) outcome {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	one.bytes = len(body)
	if err != nil {
		return x.lost(watchdog, true)
	}
	if response.StatusCode >= http.StatusInternalServerError && x.route.Kind == catalog.Idempotent && len(x.trail)+1 < x.route.MaxAttempts {
		return failed
	}
	if x.begun {
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

// stream passes the events of an answer on as they come.
func (x *exchange) stream(response *http.Response, watchdog *watchdog, one *leg) outcome {
	from := newEvents(response.Body)
	pause := max(time.Duration(pauseFactor*float64(x.route.MaxPause)), minSilence)
	flusher := http.NewResponseController(x.w)
	// Read for each event: the boot clock is a system call.
	last := time.Now()
	for {
		next, err := from.next()
		if errors.Is(err, io.EOF) {
			return x.streamEnd(response)
		}
		if err != nil {
			return x.lost(watchdog, true)
		}
		if next.hasID && x.hasEvent && next.id <= x.lastEvent {
			return broken
		}
		watchdog.extend(pause)
		now := time.Now()
		if one.Events > 0 {
			one.PauseMs = max(one.PauseMs, now.Sub(last).Milliseconds())
		}
		last = now
		x.beginStream(response)
		if _, err := x.w.Write(next.raw); err != nil {
			return callerLeft
		}
		if next.hasID {
			x.lastEvent, x.hasEvent = next.id, true
		}
		one.Events++
		one.bytes += len(next.raw)
		if !from.buffered() {
			if err := flusher.Flush(); err != nil {
				return callerLeft
			}
		}
	}
}

func (x *exchange) beginStream(response *http.Response) {
	if x.begun {
		return
	}
	x.begun = true
	platform.EncodeAnswer(response.Header, x.w.Header())
	x.w.WriteHeader(response.StatusCode)
	x.front.metrics.first.Observe(clock.Now().Sub(x.arrived).Seconds())
}

// streamEnd ends the answer after the last event.
func (x *exchange) streamEnd(response *http.Response) outcome {
	x.beginStream(response)
	return answered
}
