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
	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/message"
	"plantainrelay/internal/ownership"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/table"
)

const (
	dialTimeout      = 2 * time.Second
	askTimeout       = 2 * time.Second
	minAskTimeout    = 200 * time.Millisecond
	maxIdlePerAgent  = 256
	maxBufferedBytes = 8 << 20
	copyBytes        = 32 << 10
)

func newAttemptClient(security peer.Security) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdlePerAgent,
			DisableCompression:  true,
			TLSClientConfig:     security.ClientTLS,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// exchange is one caller's request in progress.
type exchange struct {
	handler  *Handler
	w        http.ResponseWriter
	r        *http.Request
	route    table.Route
	customer string
	body     []byte
	deadline time.Time
	request  string
	decision *dispatch.Request
	tried    map[string]bool
	random   *rand.Rand
	// key is nil for a request that may be run by any instance.
	key *requestKey
	// retryAfter is when a shed request may be sent again.
	retryAfter time.Duration

	agent     agentState
	attempt   string
	kept      *message.Answer
	delivered bool
}

// run carries out the decisions until the request has its outcome or the
// caller has left.
func (e *exchange) run(action dispatch.Action) dispatch.Outcome {
	for {
		if !e.wait(action.Wait) {
			return dispatch.Unknown
		}
		switch action.Kind {
		case dispatch.Send:
			next, done := e.send()
			if done {
				return dispatch.Done
			}
			action = next
		case dispatch.Ask:
			action = e.ask()
		case dispatch.Deliver:
			return e.deliverKept()
		case dispatch.Finish:
			if action.Outcome == dispatch.NotRun && e.key != nil && !e.key.settled {
				action = e.settle()
				continue
			}
			return e.finish(action.Outcome)
		}
	}
}

// wait returns false when the caller left.
func (e *exchange) wait(pause time.Duration) bool {
	if pause <= 0 {
		return e.r.Context().Err() == nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.r.Context().Done():
		return false
	}
}

// send makes one attempt. It returns true when the whole answer was given.
func (e *exchange) send() (dispatch.Action, bool) {
	name, found := e.choose()
	if !found {
		clear(e.tried)
		return e.decision.NoInstance(time.Now()), false
	}
	e.tried[name] = true
	agent, alive, found := e.handler.states.start(name)
	if !found {
		return e.decision.NoInstance(time.Now()), false
	}
	defer e.handler.states.end(name)
	if e.key != nil && agent.Incarnation != e.key.owner.Incarnation {
		return e.decision.NoInstance(time.Now()), false
	}
	e.agent, e.attempt = agent, uuid.NewString()
	return e.exchangeWith(alive)
}

// choose returns the instance for the next attempt: the owner of the key, or
// any that the balance prefers.
func (e *exchange) choose() (string, bool) {
	if e.key != nil {
		e.key.settled = false
		owner, found := e.handler.owners.of(e.route.Pool, e.customer, e.key.id.Key)
		e.key.owner = owner
		e.handler.states.want(owner.Instance)
		return owner.Instance, found
	}
	candidates := e.handler.states.candidates(e.route.Pool, e.random)
	chosen, found := balance.Choose(candidates, e.handler.config.AvailabilityZone, e.tried, e.random)
	return chosen.Name, found
}

func (e *exchange) exchangeWith(alive context.Context) (dispatch.Action, bool) {
	ctx, cancel := context.WithDeadline(e.r.Context(), e.deadline)
	defer cancel()
	release := context.AfterFunc(alive, cancel)
	started := time.Now()
	response, err := e.forward(ctx)
	release()
	e.observe(response, err, time.Since(started))
	if err != nil {
		return e.failed(err), false
	}
	defer response.Body.Close()
	if response.Header.Get(message.HeaderAttempt) != e.attempt {
		return e.decision.Broken(false, time.Now()), false
	}
	if running, err := strconv.Atoi(response.Header.Get(message.HeaderRunning)); err == nil {
		e.handler.states.heard(e.agent.instance.Name, running)
	}
	if refusal := message.Refusal(response.Header.Get(message.HeaderRefusal)); refusal != "" {
		return e.refused(refusal, response.Header.Get(message.HeaderKeyHolder)), false
	}
	if e.relay(response) {
		return dispatch.Action{}, true
	}
	return e.decision.Broken(e.delivered, time.Now()), false
}

// observe tells the balance how an attempt went, as far as that says something
// about the instance: not when the caller left or the agent refused.
func (e *exchange) observe(response *http.Response, err error, took time.Duration) {
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
	e.handler.states.observe(e.route.Pool, e.agent.instance.Name, took, failed)
}

func (e *exchange) forward(ctx context.Context) (*http.Response, error) {
	target := e.handler.config.Security.Scheme() + "://" + e.agent.instance.HTTPAddress + message.PathAttempt + e.r.URL.EscapedPath()
	if e.r.URL.RawQuery != "" {
		target += "?" + e.r.URL.RawQuery
	}
	request, err := http.NewRequestWithContext(ctx, e.r.Method, target, message.OnceBody(e.body))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(e.body))
	request.Header = e.attemptHeader()
	return e.handler.http.Do(request)
}

// connectionHeaders end at this process.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Authorization", "Idempotency-Key", "X-Idempotency-Key",
}

// attemptHeader returns the caller's headers with those of the attempt. No
// header of this project comes from the caller unchecked.
func (e *exchange) attemptHeader() http.Header {
	header := http.Header{}
	for name, values := range e.r.Header {
		if !message.Reserved(name) {
			header[name] = values
		}
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
	e.handler.config.Security.Authorize(header)
	header.Set(message.HeaderAttempt, e.attempt)
	header.Set(message.HeaderRequest, e.request)
	header.Set(message.HeaderIncarnation, e.agent.Incarnation)
	header.Set(message.HeaderPool, e.route.Pool)
	header.Set(message.HeaderCustomer, e.customer)
	header.Set(message.HeaderDeadline, strconv.FormatInt(e.deadline.UnixMilli(), 10))
	if key := callersKey(e.r); key != "" {
		header.Set(message.HeaderKey, key)
	}
	if e.route.Repeatable {
		header.Set(message.HeaderRepeatable, "yes")
	}
	if e.key != nil {
		e.key.addTo(header)
	}
	return header
}

// failed tells an attempt that was never delivered from one that may have
// been.
func (e *exchange) failed(err error) dispatch.Action {
	e.handler.states.distrust(e.agent.instance.Name)
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return e.notStarted()
	}
	return e.decision.Broken(false, time.Now())
}

// notStarted goes on after an attempt that certainly did not start. A key has
// one owner only, which is given time.
func (e *exchange) notStarted() dispatch.Action {
	if e.key != nil {
		return e.decision.NoInstance(time.Now())
	}
	return e.decision.NotStarted(time.Now())
}

func (e *exchange) refused(refusal message.Refusal, holder string) dispatch.Action {
	if refusal == message.RefusalDuplicate {
		return e.decision.Broken(false, time.Now())
	}
	if e.key != nil {
		if action, decided := e.refusedKey(ownership.Verdict(refusal), holder); decided {
			return action
		}
	}
	// A full instance has told its load with the refusal.
	if refusal != message.RefusalFull {
		e.handler.states.distrust(e.agent.instance.Name)
	}
	return e.notStarted()
}

// relay gives the answer to the caller and reports whether it was whole. A
// stream flows as it is made; any other answer is delivered only when whole.
func (e *exchange) relay(response *http.Response) bool {
	if streams(response.Header.Get("Content-Type")) {
		return e.relayStream(response, nil)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes))
	if err != nil {
		return false
	}
	if len(body) == maxBufferedBytes {
		return e.relayStream(response, body)
	}
	if !complete(e.r.Method, response) {
		return false
	}
	e.writeHeader(response.StatusCode, response.Header)
	_, _ = e.w.Write(body)
	return true
}

// streamTypes are the media types whose parts are passed on as they are made.
var streamTypes = []string{"text/event-stream", "application/x-ndjson", "application/jsonl", "application/stream+json"}

func streams(contentType string) bool {
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && slices.Contains(streamTypes, mediaType)
}

// complete reports whether the agent has closed the answer as whole; call it
// after the body was read to its end.
func complete(method string, response *http.Response) bool {
	if message.Bodiless(method, response.StatusCode) {
		return response.Header.Get(message.HeaderComplete) == message.Complete
	}
	return response.Trailer.Get(message.HeaderComplete) == message.Complete
}

func (e *exchange) relayStream(response *http.Response, start []byte) bool {
	controller := http.NewResponseController(e.w)
	buffer := make([]byte, copyBytes)
	e.delivered = true
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
			return complete(e.r.Method, response)
		}
		if err != nil {
			return false
		}
	}
}

// hidden are the headers of an attempt that callers do not see, besides those
// of this project.
var hidden = map[string]bool{
	"Connection":        true,
	"Content-Length":    true,
	"Transfer-Encoding": true,
	"Trailer":           true,
	"X-Engine-Manifest": true,
	"X-Engine-Whole":    true,
}

func shown(name string) bool {
	return !hidden[name] && (name == message.HeaderVersion || !message.Reserved(name))
}

func (e *exchange) writeHeader(status int, from http.Header) {
	header := e.w.Header()
	for name, values := range from {
		if shown(name) {
			header[name] = values
		}
	}
	header.Set(message.HeaderRequest, e.request)
	header.Set(message.HeaderOutcome, string(dispatch.Done))
	e.w.WriteHeader(status)
}

// askLimit bounds one question; the request's final answer is not held back
// past its deadline by it.
func (e *exchange) askLimit() time.Duration {
	return max(minAskTimeout, min(askTimeout, time.Until(e.deadline)))
}

// ask asks the agent about the last attempt.
func (e *exchange) ask() dispatch.Action {
	ctx, cancel := context.WithTimeout(context.Background(), e.askLimit())
	defer cancel()
	args := message.FateArgs{Attempt: e.attempt, Incarnation: e.agent.Incarnation, Deadline: e.deadline.UnixMilli()}
	var reply message.FateReply
	err := e.handler.client.Call(ctx, e.agent.instance.ControlAddress, message.MethodFate, args, &reply)
	if err != nil {
		return e.decision.Silent(time.Now())
	}
	e.kept = reply.Answer
	return e.decision.Told(reply.Fate, time.Now())
}

func (e *exchange) deliverKept() dispatch.Outcome {
	if e.kept == nil {
		return e.finish(dispatch.Unknown)
	}
	header := http.Header(e.kept.Header)
	e.w.Header().Set(message.HeaderVersion, e.kept.Version)
	e.writeHeader(e.kept.Status, header)
	_, _ = e.w.Write(e.kept.Body)
	return dispatch.Done
}

const (
	textNotRun  = "the request was not run; ask again after the time in Retry-After"
	textUnknown = "the request may have been run; ask again with the same key, or look the result up before sending it anew"
	textReused  = "the key was used for another request; use a new key"
)

func (e *exchange) finish(outcome dispatch.Outcome) dispatch.Outcome {
	if e.delivered {
		// A part was delivered: cutting the connection shows the caller that
		// the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	e.w.Header().Set(message.HeaderRequest, e.request)
	body := outcomeBody{Outcome: outcome, Message: textUnknown}
	status := http.StatusGatewayTimeout
	switch {
	case e.key != nil && e.key.reused:
		body.Message, status = textReused, http.StatusUnprocessableEntity
	case outcome == dispatch.NotRun:
		body.Message, status = textNotRun, http.StatusServiceUnavailable
	case e.key != nil && e.key.submissionNotRun:
		body.Submission = dispatch.NotRun
	}
	body.retryAfter = e.retryAfter
	e.handler.finish(e.w, status, body)
	return outcome
}
