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
	copyBytes       = 32 << 10
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
// accepts only requests that security authorizes, and reports each attempt that was
// started to usage.
func NewHandler(gate *Gate, backend string, security peer.Security, usage metering.Recorder, log *logrus.Entry) *Handler {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxBackendConns,
		DisableCompression:  true,
	}
	return &Handler{gate: gate, backend: backend, security: security, usage: usage, client: &http.Client{Transport: transport, CheckRedirect: keepRedirect}, log: log}
}

func keepRedirect(*http.Request, []*http.Request) error {
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
		return
	}
	o := orderOf(r)
	admitted, refusal, holder := h.gate.begin(o, time.Now())
	w.Header().Set(message.HeaderAttempt, o.attempt)
	if refusal != "" {
		w.Header().Set(message.HeaderRunning, strconv.Itoa(h.gate.State().Running))
		w.Header().Set(message.HeaderRefusal, string(refusal))
		w.Header().Set(message.HeaderKeyHolder, holder)
		w.WriteHeader(http.StatusConflict)
		return
	}
	metered := metering.Wrap(w, h.usage, r.Header.Get(message.HeaderCustomer), r.Header.Get(message.HeaderPool))
	run := &execution{handler: h, attempt: o.attempt, admitted: admitted, w: metered}
	defer func() {
		if run.notStarted {
			h.gate.unstart(o)
			return
		}
		h.gate.end(o.attempt, run.kept)
		metered.EndAttempt()
	}()
	run.serve(r, path, body, o.deadline)
}

func orderOf(r *http.Request) order {
	o := order{
		repeatable:  repeatable(r),
		attempt:     r.Header.Get(message.HeaderAttempt),
		incarnation: r.Header.Get(message.HeaderIncarnation),
		deadline:    time.UnixMilli(millis(r, message.HeaderDeadline)),
	}
	key := r.Header.Get(message.HeaderKey)
	if key == "" || repeatable(r) {
		return o
	}
	o.submission = &ownership.Submission{
		ID:        ownership.ID{Pool: r.Header.Get(message.HeaderPool), Customer: r.Header.Get(message.HeaderCustomer), Key: key},
		Attempt:   o.attempt,
		Digest:    number(r, message.HeaderKeyDigest),
		Issued:    millis(r, message.HeaderKeyIssued),
		Stamped:   r.Header.Get(message.HeaderKeyStamped) != "",
		Submitted: millis(r, message.HeaderSubmitted),
	}
	return o
}

func repeatable(r *http.Request) bool {
	return r.Header.Get(message.HeaderRepeatable) == "yes"
}

// number parses a header with an unsigned number; it returns 0 if that fails.
func number(r *http.Request, name string) uint64 {
	value, err := strconv.ParseUint(r.Header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return value
}

// millis parses a header with Unix milliseconds; it returns 0 if that fails.
func millis(r *http.Request, name string) int64 {
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
	admitted Admitted
	w        http.ResponseWriter
	kept     *message.Answer
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
		e.failed(err)
		return
	}
	defer response.Body.Close()
	if !e.fromAdmitted(response) {
		e.handler.log.WithField(logging.FieldAttempt, e.attempt).Error("discarded a response that came from weights that are not admitted")
		panic(http.ErrAbortHandler)
	}
	e.relay(response, !repeatable(r))
}

// failed reports to the entry that the attempt did not start if that is certain,
// and closes the connection otherwise.
func (e *execution) failed(err error) {
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
	request, err := http.NewRequestWithContext(ctx, r.Method, target, message.OnceBody(body))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header = r.Header.Clone()
	request.Header.Del("Authorization")
	request.Header.Del("Connection")
	return e.handler.client.Do(request)
}

func (e *execution) fromAdmitted(response *http.Response) bool {
	if e.admitted.Manifest == "" {
		return true
	}
	return response.Header.Get(engine.HeaderManifest) == string(e.admitted.Manifest) &&
		response.Header.Get(engine.HeaderWhole) == string(e.admitted.Whole)
}

// relay streams the response to the entry and stores it if keep is set. If the
// entry has disconnected, it still reads the rest.
func (e *execution) relay(response *http.Response, keep bool) {
	answered := answerHeader(response.Header)
	header := e.w.Header()
	for name, values := range answered {
		header[name] = values
	}
	header.Set(message.HeaderAttempt, e.attempt)
	header.Set(message.HeaderVersion, e.admitted.Version)
	header.Set(message.HeaderRunning, strconv.Itoa(e.handler.gate.State().Running))
	if message.Bodiless(response.Request.Method, response.StatusCode) {
		header.Set(message.HeaderComplete, message.Complete)
	} else {
		header.Set("Trailer", message.HeaderComplete)
	}
	e.w.WriteHeader(response.StatusCode)
	var kept bytes.Buffer
	if !e.copy(response.Body, &kept) {
		panic(http.ErrAbortHandler)
	}
	header.Set(message.HeaderComplete, message.Complete)
	if keep && kept.Len() <= e.handler.gate.config.MaxKeptBytes {
		e.kept = &message.Answer{Status: response.StatusCode, Header: answered, Body: kept.Bytes(), Version: e.admitted.Version}
	}
}

// answerHeader returns the backend server's response headers without those of the
// connection and those that only this project may set.
func answerHeader(from http.Header) http.Header {
	kept := http.Header{}
	for name, values := range from {
		switch {
		case message.Reserved(name):
		case name == "Connection", name == "Content-Length", name == "Transfer-Encoding", name == "Trailer":
		default:
			kept[name] = values
		}
	}
	return kept
}

func (e *execution) copy(from io.Reader, kept *bytes.Buffer) bool {
	controller := http.NewResponseController(e.w)
	buffer := make([]byte, copyBytes)
	limit := e.handler.gate.config.MaxKeptBytes
	for {
		count, err := from.Read(buffer)
		if kept.Len() <= limit {
			kept.Write(buffer[:count])
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
