package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"mime"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"

	"plantainrelay/internal/balance"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/message"
	"plantainrelay/internal/ownership"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/table"
)

const (
	dialTimeout           = 2 * time.Second
	maxStatusQueryTimeout = 2 * time.Second
	minStatusQueryTimeout = 200 * time.Millisecond
	maxIdleConnsPerAgent  = 256
	maxBufferedBytes      = 8 << 20
	streamBufferBytes     = 32 << 10
	// maxInterruptions bounds the instances at which a request is interrupted: it may be the
	// reason why they end.
	maxInterruptions = 2
)

func newAttemptClient(security peer.Security) *http.Client {
	transport := message.NewTransport(&net.Dialer{Timeout: dialTimeout})
	transport.MaxIdleConnsPerHost, transport.TLSClientConfig = maxIdleConnsPerAgent, security.ClientTLS
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// exchange handles one caller's request.
type exchange struct {
	handler        *Handler
	w              http.ResponseWriter
	r              *http.Request
	route          table.Route
	customer       string
	body           []byte
	deadline       time.Time
	requestID      string
	dispatcher     *dispatch.Request
	triedInstances map[string]bool
	rng            *rand.Rand
	// key is nil for a request that any instance may run.
	key *idempotencyKey
	// retryAfter is the time after which a shed request may be retried.
	retryAfter time.Duration

	agent           agentState
	attemptID       string
	storedAnswer    *message.Answer
	responseStarted bool
}

// run executes the actions until the request has its outcome or the caller has
// disconnected.
func (e *exchange) run(action dispatch.Action) dispatch.Outcome {
	for {
		if !e.sleep(action.Wait) {
			return dispatch.Unknown
		}
		switch action.Kind {
		case dispatch.Send:
			next, done := e.sendAttempt()
			if done {
				return dispatch.Done
			}
			action = next
		case dispatch.QueryStatus:
			action = e.queryAttemptStatus()
		case dispatch.Deliver:
			return e.deliverStoredAnswer()
		case dispatch.Finish:
			if action.Outcome == dispatch.NotRun && e.key != nil && !e.key.statusChecked {
				action = e.checkKeyStatus()
				continue
			}
			return e.writeOutcome(action.Outcome)
		}
	}
}

// sleep waits for the pause and returns false when the caller has disconnected.
func (e *exchange) sleep(pause time.Duration) bool {
	if pause <= 0 {
		return e.r.Context().Err() == nil
	}
	return clock.Sleep(e.r.Context(), pause)
}

// sendAttempt makes one attempt. It returns true when the complete response was
// delivered.
func (e *exchange) sendAttempt() (dispatch.Action, bool) {
	name, found := e.chooseInstance()
	if !found {
		clear(e.triedInstances)
		return e.dispatcher.NoInstance(time.Now()), false
	}
	e.triedInstances[name] = true
	agent, agentAlive, found := e.handler.agentStates.startAttempt(name)
	if !found {
		return e.dispatcher.NoInstance(time.Now()), false
	}
	defer e.handler.agentStates.endAttempt(name)
	if e.key != nil && agent.Incarnation != e.key.owner.Incarnation {
		return e.dispatcher.NoInstance(time.Now()), false
	}
	e.agent, e.attemptID = agent, uuid.NewString()
	return e.performAttempt(agentAlive)
}

// chooseInstance returns the instance for the next attempt: the owner of the
// key, or the choice of the load balancer.
func (e *exchange) chooseInstance() (string, bool) {
	if e.key != nil {
		e.key.statusChecked = false
		owner, found := e.handler.ownership.ownerOf(e.route.Pool, e.customer, e.key.id.Key)
		e.key.owner = owner
		e.handler.agentStates.pin(owner.Instance)
		return owner.Instance, found
	}
	candidates := e.handler.agentStates.candidates(e.route.Pool, e.triedInstances, e.rng)
	chosen, found := balance.Choose(candidates, e.handler.config.AvailabilityZone, e.triedInstances, e.rng)
	return chosen.Name, found
}

func (e *exchange) performAttempt(agentAlive context.Context) (dispatch.Action, bool) {
	ctx, cancel := context.WithDeadline(e.r.Context(), e.deadline)
	defer cancel()
	stopWatching := context.AfterFunc(agentAlive, cancel)
	started := time.Now()
	response, err := e.forward(ctx)
	stopWatching()
	e.recordAttempt(response, err, time.Since(started))
	if err != nil {
		return e.handleAttemptError(err), false
	}
	defer response.Body.Close()
	if response.Header.Get(message.HeaderAttempt) != e.attemptID || !message.IsFinal(response.StatusCode) {
		return e.dispatcher.AttemptInterrupted(false, time.Now()), false
	}
	if running, err := strconv.Atoi(response.Header.Get(message.HeaderRunning)); err == nil {
		e.handler.agentStates.recordRunning(e.agent.instance.Name, running)
	}
	if refusal := message.Refusal(response.Header.Get(message.HeaderRefusal)); refusal != "" {
		return e.handleRefusal(refusal, response.Header.Get(message.HeaderKeyHolder)), false
	}
	if e.relayResponse(response) {
		return dispatch.Action{}, true
	}
	return e.dispatcher.AttemptInterrupted(e.responseStarted, time.Now()), false
}

// recordAttempt reports an attempt to the outlier detection. It leaves out
// attempts that say nothing about the instance, because the caller disconnected
// or the agent refused them.
func (e *exchange) recordAttempt(response *http.Response, err error, elapsed time.Duration) {
	if e.r.Context().Err() != nil {
		return
	}
	failed := err != nil
	if !failed {
		refusal := message.Refusal(response.Header.Get(message.HeaderRefusal))
		failed = refusal == message.RefusalBackend
		if refusal != "" && !failed {
			return
		}
	}
	e.handler.agentStates.recordAttempt(e.route.Pool, e.agent.instance.Name, elapsed, failed)
}

func (e *exchange) forward(ctx context.Context) (*http.Response, error) {
	target := e.handler.config.Security.Scheme() + "://" + e.agent.instance.HTTPAddress + message.PathAttempt + e.r.URL.EscapedPath()
	if e.r.URL.RawQuery != "" {
		target += "?" + e.r.URL.RawQuery
	}
	request, err := http.NewRequestWithContext(ctx, e.r.Method, target, message.NonRewindableBody(e.body))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(e.body))
	request.Header = e.attemptHeader()
	return e.handler.http.Do(request)
}

// unforwardedHeaders are the caller's headers that are not sent to agents.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Authorization", "Idempotency-Key", "X-Idempotency-Key",
}

// attemptHeader returns the headers of an attempt: those of the caller, without
// the reserved ones, which callers must not set, and those that this entry
// sets.
func (e *exchange) attemptHeader() http.Header {
	header := http.Header{}
	for name, values := range e.r.Header {
		if !message.IsReservedHeader(name) {
			header[name] = values
		}
	}
	for _, name := range unforwardedHeaders {
		header.Del(name)
	}
	e.handler.config.Security.Authorize(header)
	header.Set(message.HeaderAttempt, e.attemptID)
	header.Set(message.HeaderRequest, e.requestID)
	header.Set(message.HeaderIncarnation, e.agent.Incarnation)
	header.Set(message.HeaderPool, e.route.Pool)
	header.Set(message.HeaderCustomer, e.customer)
	header.Set(message.HeaderDeadline, strconv.FormatInt(e.deadline.UnixMilli(), 10))
	if key := keyFromHeader(e.r); key != "" {
		header.Set(message.HeaderKey, key)
	}
	if e.route.Repeatable {
		header.Set(message.HeaderRepeatable, "yes")
	}
	if e.key != nil {
		e.key.setHeaders(header)
	}
	return header
}

// handleAttemptError distinguishes an attempt that was certainly not sent from
// one that the agent may have received. The agent is not suspect if the caller has
// disconnected.
func (e *exchange) handleAttemptError(err error) dispatch.Action {
	if e.r.Context().Err() == nil {
		e.handler.agentStates.markSuspect(e.agent.instance.Name)
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return e.attemptNotStarted()
	}
	return e.dispatcher.AttemptInterrupted(false, time.Now())
}

// attemptNotStarted continues after an attempt that certainly did not start. A
// request with a key waits, because only the key's owner may run it.
func (e *exchange) attemptNotStarted() dispatch.Action {
	if e.key != nil {
		return e.dispatcher.NoInstance(time.Now())
	}
	return e.dispatcher.NotStarted(time.Now())
}

func (e *exchange) handleRefusal(refusal message.Refusal, holder string) dispatch.Action {
	if refusal == message.RefusalDuplicate {
		return e.dispatcher.AttemptInterrupted(false, time.Now())
	}
	if e.key != nil {
		if action, decided := e.handleKeyRefusal(ownership.Verdict(refusal), holder); decided {
			return action
		}
	}
	// A full instance is not suspect: it reports its load with the refusal.
	if refusal != message.RefusalFull {
		e.handler.agentStates.markSuspect(e.agent.instance.Name)
	}
	return e.attemptNotStarted()
}

// relayResponse sends the response to the caller and reports whether it was
// complete. A stream is forwarded as it arrives; any other response is sent
// only when complete, unless it reaches maxBufferedBytes.
func (e *exchange) relayResponse(response *http.Response) bool {
	if isStreaming(response.Header.Get("Content-Type")) {
		return e.streamResponse(response, nil)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes))
	if err != nil {
		return false
	}
	if len(body) == maxBufferedBytes {
		return e.streamResponse(response, body)
	}
	if !isComplete(e.r.Method, response) {
		return false
	}
	e.writeHeader(response.StatusCode, response.Header)
	_, _ = e.w.Write(body)
	return true
}

// streamTypes are the media types of responses that are forwarded as they
// arrive.
var streamTypes = []string{"text/event-stream", "application/x-ndjson", "application/jsonl", "application/stream+json"}

func isStreaming(contentType string) bool {
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && slices.Contains(streamTypes, mediaType)
}

// isComplete reports whether the agent marked the response as complete. Call it
// after the body was read to its end, because the mark may be in the trailer.
func isComplete(method string, response *http.Response) bool {
	if message.Bodiless(method, response.StatusCode) {
		return response.Header.Get(message.HeaderComplete) == message.HeaderCompleteValue
	}
	return response.Trailer.Get(message.HeaderComplete) == message.HeaderCompleteValue
}

func (e *exchange) streamResponse(response *http.Response, start []byte) bool {
	controller := http.NewResponseController(e.w)
	buffer := make([]byte, streamBufferBytes)
	e.responseStarted = true
	e.writeHeader(response.StatusCode, response.Header)
	if _, err := e.w.Write(start); err != nil {
		return false
	}
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			if _, writeErr := e.w.Write(buffer[:count]); writeErr != nil {
				return false
			}
			_ = controller.Flush()
		}
		if err == io.EOF {
			return isComplete(e.r.Method, response)
		}
		if err != nil {
			return false
		}
	}
}

// hiddenHeaders are removed from responses to callers, as are the reserved ones
// except HeaderVersion.
var hiddenHeaders = map[string]bool{
	"Connection":        true,
	"Content-Length":    true,
	"Transfer-Encoding": true,
	"Trailer":           true,
	"X-Engine-Manifest": true,
	"X-Engine-Whole":    true,
}

func isVisibleHeader(name string) bool {
	return !hiddenHeaders[name] && (name == message.HeaderVersion || !message.IsReservedHeader(name))
}

func (e *exchange) writeHeader(status int, source http.Header) {
	header := e.w.Header()
	for name, values := range source {
		if isVisibleHeader(name) {
			header[name] = values
		}
	}
	header.Set(message.HeaderRequest, e.requestID)
	header.Set(message.HeaderOutcome, string(dispatch.Done))
	e.w.WriteHeader(status)
}

// statusQueryTimeout limits one status query, so that it does not delay the
// final response past the request's deadline by more than
// minStatusQueryTimeout.
func (e *exchange) statusQueryTimeout() time.Duration {
	return max(minStatusQueryTimeout, min(maxStatusQueryTimeout, time.Until(e.deadline)))
}

// queryAttemptStatus asks the agent for the status of the last attempt.
func (e *exchange) queryAttemptStatus() dispatch.Action {
	ctx, cancel := context.WithTimeout(context.Background(), e.statusQueryTimeout())
	defer cancel()
	args := message.AttemptStatusArgs{Attempt: e.attemptID, Incarnation: e.agent.Incarnation, Deadline: e.deadline.UnixMilli()}
	var reply message.AttemptStatusReply
	err := e.handler.client.Call(ctx, e.agent.instance.ControlAddress, message.MethodAttemptStatus, args, &reply)
	if err != nil {
		return e.dispatcher.NoReply(time.Now())
	}
	e.storedAnswer = reply.Answer
	return e.dispatcher.StatusReceived(reply.Fate, time.Now())
}

func (e *exchange) deliverStoredAnswer() dispatch.Outcome {
	if e.storedAnswer == nil || !message.IsFinal(e.storedAnswer.Status) {
		return e.writeOutcome(dispatch.Unknown)
	}
	header := http.Header(e.storedAnswer.Header)
	e.w.Header().Set(message.HeaderVersion, e.storedAnswer.Version)
	e.writeHeader(e.storedAnswer.Status, header)
	_, _ = e.w.Write(e.storedAnswer.Body)
	return dispatch.Done
}

const (
	messageNotRun    = "the request was not run; ask again after the time in Retry-After"
	messageUnknown   = "the request may have been run; ask again with the same key, or look the result up before sending it anew"
	messageKeyReused = "the key was used for another request; use a new key"
)

func (e *exchange) writeOutcome(outcome dispatch.Outcome) dispatch.Outcome {
	if e.responseStarted {
		// Part of the response was sent. Closing the connection shows the caller
		// that it is incomplete.
		panic(http.ErrAbortHandler)
	}
	e.w.Header().Set(message.HeaderRequest, e.requestID)
	body := outcomeBody{Outcome: outcome, Message: messageUnknown}
	status := http.StatusGatewayTimeout
	switch {
	case e.key != nil && e.key.usedForOtherRequest:
		body.Message, status = messageKeyReused, http.StatusUnprocessableEntity
	case outcome == dispatch.NotRun:
		body.Message, status = messageNotRun, http.StatusServiceUnavailable
	case e.key != nil && e.key.submissionNotRun:
		body.Submission = dispatch.NotRun
	}
	body.retryAfter = e.retryAfter
	e.handler.writeOutcome(e.w, status, body)
	return outcome
}
