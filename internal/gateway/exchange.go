package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"plantainrelay/internal/balance"
	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/message"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/table"
)

const (
	dialTimeout      = 2 * time.Second
	askTimeout       = 2 * time.Second
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

	agent     agentState
	attempt   string
	kept      *message.Answer
	delivered bool
}

// run carries out the decisions until the request has its outcome.
func (e *exchange) run() dispatch.Outcome {
	action := e.decision.Start(time.Now())
	for {
		switch action.Kind {
		case dispatch.Send:
			e.wait(action.Wait)
			next, done := e.send()
			if done {
				return dispatch.Done
			}
			action = next
		case dispatch.Ask:
			e.wait(action.Wait)
			action = e.ask()
		case dispatch.Deliver:
			return e.deliverKept()
		case dispatch.Finish:
			return e.finish(action.Outcome)
		}
	}
}

func (e *exchange) wait(pause time.Duration) {
	if pause > 0 {
		time.Sleep(pause)
	}
}

// send makes one attempt. It returns true when the whole answer was given.
func (e *exchange) send() (dispatch.Action, bool) {
	candidates := e.handler.states.candidates(e.route.Pool)
	chosen, found := balance.Choose(candidates, e.handler.config.AvailabilityZone, e.tried, e.random)
	if !found {
		clear(e.tried)
		return e.decision.NoInstance(time.Now()), false
	}
	e.tried[chosen.Name] = true
	agent, found := e.handler.states.start(chosen.Name)
	if !found {
		return e.decision.NotStarted(time.Now()), false
	}
	defer e.handler.states.end(chosen.Name)
	e.agent, e.attempt = agent, uuid.NewString()
	return e.exchangeWith()
}

func (e *exchange) exchangeWith() (dispatch.Action, bool) {
	ctx, cancel := context.WithDeadline(e.r.Context(), e.deadline)
	defer cancel()
	response, err := e.forward(ctx)
	if err != nil {
		return e.failed(err), false
	}
	defer response.Body.Close()
	if response.Header.Get(message.HeaderAttempt) != e.attempt {
		return e.decision.Broken(false, time.Now()), false
	}
	if refusal := message.Refusal(response.Header.Get(message.HeaderRefusal)); refusal != "" {
		return e.refused(refusal), false
	}
	if e.relay(response) {
		return dispatch.Action{}, true
	}
	return e.decision.Broken(e.delivered, time.Now()), false
}

func (e *exchange) forward(ctx context.Context) (*http.Response, error) {
	target := e.handler.config.Security.Scheme() + "://" + e.agent.instance.HTTPAddress + message.PathAttempt + e.r.URL.EscapedPath()
	if e.r.URL.RawQuery != "" {
		target += "?" + e.r.URL.RawQuery
	}
	request, err := http.NewRequestWithContext(ctx, e.r.Method, target, bytes.NewReader(e.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, and without the header that marks a request as
	// idempotent to it, the HTTP client never sends the request a second time.
	request.GetBody = nil
	request.Header = e.attemptHeader()
	return e.handler.http.Do(request)
}

func (e *exchange) attemptHeader() http.Header {
	header := callerHeader(e.r.Header)
	for _, name := range []string{"Connection", "Idempotency-Key", "X-Idempotency-Key", "Te", "Trailer", "Transfer-Encoding", "Upgrade"} {
		header.Del(name)
	}
	if key := e.r.Header.Get("Idempotency-Key"); key != "" && header.Get(message.HeaderKey) == "" {
		header.Set(message.HeaderKey, key)
	}
	e.handler.config.Security.Authorize(header)
	header.Set(message.HeaderAttempt, e.attempt)
	header.Set(message.HeaderRequest, e.request)
	header.Set(message.HeaderIncarnation, e.agent.Incarnation)
	header.Set(message.HeaderPool, e.route.Pool)
	header.Set(message.HeaderCustomer, e.customer)
	header.Set(message.HeaderDeadline, strconv.FormatInt(e.deadline.UnixMilli(), 10))
	header.Del(message.HeaderRepeatable)
	if e.route.Repeatable {
		header.Set(message.HeaderRepeatable, "yes")
	}
	return header
}

// failed tells an attempt that was never delivered from one that may have
// been.
func (e *exchange) failed(err error) dispatch.Action {
	e.handler.states.distrust(e.agent.instance.Name)
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return e.decision.NotStarted(time.Now())
	}
	return e.decision.Broken(false, time.Now())
}

func (e *exchange) refused(refusal message.Refusal) dispatch.Action {
	if refusal == message.RefusalDuplicate {
		return e.decision.Broken(false, time.Now())
	}
	e.handler.states.distrust(e.agent.instance.Name)
	return e.decision.NotStarted(time.Now())
}

// relay gives the answer to the caller and reports whether it was whole. A
// stream flows as it is made; any other answer is delivered only when whole.
func (e *exchange) relay(response *http.Response) bool {
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return e.relayStream(response, nil)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes))
	if err != nil {
		return false
	}
	if len(body) == maxBufferedBytes {
		return e.relayStream(response, body)
	}
	if response.Trailer.Get(message.HeaderComplete) != "yes" {
		return false
	}
	e.writeHeader(response.StatusCode, response.Header)
	_, _ = e.w.Write(body)
	return true
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
			return response.Trailer.Get(message.HeaderComplete) == "yes"
		}
		if err != nil {
			return false
		}
	}
}

// hidden are the headers of an attempt that callers do not see.
var hidden = map[string]bool{
	"Connection":             true,
	"Content-Length":         true,
	"Transfer-Encoding":      true,
	"Trailer":                true,
	message.HeaderAttempt:    true,
	message.HeaderComplete:   true,
	"X-Engine-Manifest":      true,
	"X-Engine-Whole":         true,
	message.HeaderRefusal:    true,
	message.HeaderRepeatable: true,
}

func (e *exchange) writeHeader(status int, from http.Header) {
	header := e.w.Header()
	for name, values := range from {
		if !hidden[name] {
			header[name] = values
		}
	}
	header.Set(message.HeaderRequest, e.request)
	header.Set(message.HeaderOutcome, string(dispatch.Done))
	e.w.WriteHeader(status)
}

// ask asks the agent about the last attempt.
func (e *exchange) ask() dispatch.Action {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	args := message.FateArgs{Attempt: e.attempt, Incarnation: e.agent.Incarnation}
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

func (e *exchange) finish(outcome dispatch.Outcome) dispatch.Outcome {
	if e.delivered {
		// A part was delivered: cutting the connection shows the caller that
		// the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	e.w.Header().Set(message.HeaderRequest, e.request)
	if outcome == dispatch.NotRun {
		e.handler.finish(e.w, http.StatusServiceUnavailable, outcome, "the request was not run; ask again after the time in Retry-After")
		return outcome
	}
	e.handler.finish(e.w, http.StatusGatewayTimeout, outcome, "the request may have been run; ask again with the same key, or look the result up before sending it anew")
	return outcome
}
