package gate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/engine"
	"plantainrelay/internal/logging"
	"plantainrelay/internal/message"
	"plantainrelay/internal/metering"
	"plantainrelay/internal/ownership"
	"plantainrelay/internal/peer"
)

const (
	copyBufferBytes = 32 << 10
	maxBackendConns = 512
	dialTimeout     = 2 * time.Second
)

// Handler forwards attempts through the gate to the backend server.
type Handler struct {
	gate     *Gate
	backend  string
	security peer.Security
	usage    metering.Recorder
	client   *http.Client
	log      *logrus.Entry
}

// NewHandler returns the handler for the backend server at the URL backend. It
// accepts only requests that security authorizes, and reports to usage each attempt
// that was started.
func NewHandler(gate *Gate, backend string, security peer.Security, usage metering.Recorder, log *logrus.Entry) *Handler {
	transport := message.NewTransport(&net.Dialer{Timeout: dialTimeout})
	transport.MaxIdleConnsPerHost = maxBackendConns
	return &Handler{gate: gate, backend: backend, security: security, usage: usage, client: &http.Client{Transport: transport, CheckRedirect: returnRedirect}, log: log}
}

func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// ServeHTTP implements http.Handler for paths below message.PathAttempt.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.security.Authorized(r) {
		http.Error(w, "the fleet's key or certificate is missing or wrong", http.StatusUnauthorized)
		return
	}
	path, found := strings.CutPrefix(r.URL.EscapedPath(), message.PathAttempt)
	if !found {
		http.NotFound(w, r)
		return
	}
	// The body is read before the attempt starts, so that an attempt with an
	// incomplete body is not run.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		h.log.WithError(err).Info("the body of an attempt is incomplete; closing its connection")
		panic(http.ErrAbortHandler)
	}
	info := parseAttemptInfo(r)
	admitted, refusal, holder := h.gate.begin(info, time.Now())
	w.Header().Set(message.HeaderAttempt, info.attempt)
	if refusal != "" {
		w.Header().Set(message.HeaderRunning, strconv.Itoa(h.gate.State().Running))
		w.Header().Set(message.HeaderRefusal, string(refusal))
		w.Header().Set(message.HeaderKeyHolder, holder)
		w.WriteHeader(http.StatusConflict)
		return
	}
	metered := metering.NewWriter(w, h.usage, r.Header.Get(message.HeaderCustomer), r.Header.Get(message.HeaderPool))
	run := &execution{handler: h, attempt: info.attempt, admitted: admitted, w: metered}
	defer func() {
		if run.notStarted {
			h.gate.revertBegin(info)
			return
		}
		h.gate.end(info.attempt, run.stored)
		metered.EndAttempt()
	}()
	run.serve(r, path, body, info.deadline)
}

func parseAttemptInfo(r *http.Request) attemptInfo {
	info := attemptInfo{
		repeatable:  repeatable(r),
		attempt:     r.Header.Get(message.HeaderAttempt),
		incarnation: r.Header.Get(message.HeaderIncarnation),
		deadline:    time.UnixMilli(parseMillis(r, message.HeaderDeadline)),
	}
	key := r.Header.Get(message.HeaderKey)
	if key == "" || repeatable(r) {
		return info
	}
	info.submission = &ownership.Submission{
		ID:        ownership.ID{Pool: r.Header.Get(message.HeaderPool), Customer: r.Header.Get(message.HeaderCustomer), Key: key},
		Attempt:   info.attempt,
		Digest:    parseUint(r, message.HeaderKeyDigest),
		Issued:    parseMillis(r, message.HeaderKeyIssued),
		Stamped:   r.Header.Get(message.HeaderKeyStamped) != "",
		Submitted: parseMillis(r, message.HeaderSubmitted),
	}
	return info
}

func repeatable(r *http.Request) bool {
	return r.Header.Get(message.HeaderRepeatable) == "yes"
}

// parseUint parses a header with an unsigned number; it returns 0 if that fails.
func parseUint(r *http.Request, name string) uint64 {
	value, err := strconv.ParseUint(r.Header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return value
}

// parseMillis parses a header with Unix milliseconds; it returns 0 if that fails.
func parseMillis(r *http.Request, name string) int64 {
	value, err := strconv.ParseInt(r.Header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return value
}

// execution is one attempt that was started.
type execution struct {
	handler  *Handler
	attempt  string
	admitted AdmittedWeights
	w        http.ResponseWriter
	stored   *message.Answer
	// notStarted is set if the backend server certainly did not receive the
	// request.
	notStarted bool
}

func (e *execution) serve(r *http.Request, path string, body []byte, deadline time.Time) {
	ctx := r.Context()
	if !repeatable(r) {
		// The execution continues when the entry disconnects, since its response is
		// stored.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	response, err := e.forward(ctx, r, path, body)
	if err != nil {
		e.handler.log.WithError(err).WithField(logging.FieldAttempt, e.attempt).Warning("the backend server did not respond")
		e.reportFailure(err)
		return
	}
	defer response.Body.Close()
	if !message.IsFinal(response.StatusCode) {
		e.handler.log.WithFields(logrus.Fields{logging.FieldAttempt: e.attempt, "status": response.StatusCode}).Error("discarded a response with an invalid status; check the backend server")
		panic(http.ErrAbortHandler)
	}
	if !e.fromAdmittedWeights(response) {
		e.handler.log.WithField(logging.FieldAttempt, e.attempt).Error("discarded a response that came from weights that are not admitted")
		e.handler.gate.reportMismatch(e.admitted)
		panic(http.ErrAbortHandler)
	}
	e.relay(response, !repeatable(r))
}

// reportFailure reports to the entry that the attempt did not start if that is
// certain, and closes the connection otherwise.
func (e *execution) reportFailure(err error) {
	var operation *net.OpError
	if !errors.As(err, &operation) || operation.Op != "dial" {
		panic(http.ErrAbortHandler)
	}
	e.notStarted = true
	e.w.Header().Set(message.HeaderAttempt, e.attempt)
	e.w.Header().Set(message.HeaderRefusal, string(message.RefusalBackend))
	e.w.WriteHeader(http.StatusConflict)
}

func (e *execution) forward(ctx context.Context, r *http.Request, path string, body []byte) (*http.Response, error) {
	target := e.handler.backend + path
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, target, message.NonRewindableBody(body))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header = r.Header.Clone()
	request.Header.Del("Authorization")
	request.Header.Del("Connection")
	return e.handler.client.Do(request)
}

func (e *execution) fromAdmittedWeights(response *http.Response) bool {
	if e.admitted.Manifest == "" {
		return true
	}
	return response.Header.Get(engine.HeaderManifest) == string(e.admitted.Manifest) &&
		response.Header.Get(engine.HeaderWhole) == string(e.admitted.Whole)
}

// relay streams the response to the entry and stores it if store is set. If the
// entry has disconnected, it still reads the rest.
func (e *execution) relay(response *http.Response, store bool) {
	responseHeaders := filterHeaders(response.Header)
	header := e.w.Header()
	for name, values := range responseHeaders {
		header[name] = values
	}
	header.Set(message.HeaderAttempt, e.attempt)
	header.Set(message.HeaderVersion, e.admitted.Version)
	header.Set(message.HeaderRunning, strconv.Itoa(e.handler.gate.State().Running))
	if message.Bodiless(response.Request.Method, response.StatusCode) {
		header.Set(message.HeaderComplete, message.HeaderCompleteValue)
	} else {
		header.Set("Trailer", message.HeaderComplete)
	}
	e.w.WriteHeader(response.StatusCode)
	var stored bytes.Buffer
	if !e.copy(response.Body, &stored) {
		panic(http.ErrAbortHandler)
	}
	header.Set(message.HeaderComplete, message.HeaderCompleteValue)
	if store && stored.Len() <= e.handler.gate.config.MaxStoredResponse {
		e.stored = &message.Answer{Status: response.StatusCode, Header: responseHeaders, Body: stored.Bytes(), Version: e.admitted.Version}
	}
}

// filterHeaders returns the backend server's response headers without those of the
// connection and those that only processes of the fleet may set.
func filterHeaders(from http.Header) http.Header {
	filtered := http.Header{}
	for name, values := range from {
		switch {
		case message.IsReservedHeader(name):
		case name == "Connection", name == "Content-Length", name == "Transfer-Encoding", name == "Trailer":
		default:
			filtered[name] = values
		}
	}
	return filtered
}

func (e *execution) copy(from io.Reader, stored *bytes.Buffer) bool {
	controller := http.NewResponseController(e.w)
	buffer := make([]byte, copyBufferBytes)
	limit := e.handler.gate.config.MaxStoredResponse
	for {
		count, err := from.Read(buffer)
		if stored.Len() <= limit {
			stored.Write(buffer[:count])
		}
		if count > 0 {
			_, _ = e.w.Write(buffer[:count])
			_ = controller.Flush()
		}
		if err != nil {
			return err == io.EOF
		}
	}
}
