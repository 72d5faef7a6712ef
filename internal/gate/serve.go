package gate

import (
	"bytes"
	"context"
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
	"plantainrelay/internal/peer"
)

const (
	copyBytes       = 32 << 10
	maxBackendConns = 512
	dialTimeout     = 2 * time.Second
)

// Handler passes attempts through the gate to the backend server.
type Handler struct {
	gate     *Gate
	backend  string
	security peer.Security
	usage    metering.Recorder
	client   *http.Client
	log      *logrus.Entry
}

// NewHandler returns the handler for the backend server at the URL backend.
// Only requests that security authorizes are taken; usage is told of each
// attempt that was started.
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
	attempt := r.Header.Get(message.HeaderAttempt)
	deadline := unixMillis(r.Header.Get(message.HeaderDeadline))
	// The body is read before the start, so that an attempt whose body was
	// cut off is not run.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	admitted, refusal := h.gate.begin(attempt, r.Header.Get(message.HeaderIncarnation), deadline, time.Now())
	w.Header().Set(message.HeaderAttempt, attempt)
	if refusal != "" {
		w.Header().Set(message.HeaderRefusal, string(refusal))
		w.WriteHeader(http.StatusConflict)
		return
	}
	metered := metering.Wrap(w, h.usage, r.Header.Get(message.HeaderCustomer), r.Header.Get(message.HeaderPool))
	defer metered.EndAttempt()
	run := &execution{handler: h, attempt: attempt, admitted: admitted, w: metered}
	defer func() { h.gate.end(attempt, run.kept) }()
	run.serve(r, path, body, deadline)
}

func unixMillis(text string) time.Time {
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}

// execution is one attempt that was started.
type execution struct {
	handler  *Handler
	attempt  string
	admitted Admitted
	w        http.ResponseWriter
	kept     *message.Answer
}

func (e *execution) serve(r *http.Request, path string, body []byte, deadline time.Time) {
	ctx := r.Context()
	if r.Header.Get(message.HeaderRepeatable) != "yes" {
		// The run goes on when the entry leaves, since its answer is kept.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	response, err := e.forward(ctx, r, path, body)
	if err != nil {
		e.handler.log.WithError(err).WithField(logging.FieldAttempt, e.attempt).Warning("the backend server did not answer")
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	if !e.fromAdmitted(response) {
		e.handler.log.WithField(logging.FieldAttempt, e.attempt).Error("an answer came from weights that are not admitted; it was discarded")
		panic(http.ErrAbortHandler)
	}
	e.relay(response)
}

func (e *execution) forward(ctx context.Context, r *http.Request, path string, body []byte) (*http.Response, error) {
	target := e.handler.backend + path
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the HTTP client never sends the request a second time.
	request.GetBody = nil
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

// relay copies the answer to the entry as it is made and keeps it. When the
// entry has left, it still reads the rest.
func (e *execution) relay(response *http.Response) {
	header := e.w.Header()
	fromBackend := message.WithoutReserved(response.Header)
	for name, values := range fromBackend {
		if name != "Connection" && name != "Content-Length" && name != "Transfer-Encoding" {
			header[name] = values
		}
	}
	header.Set(message.HeaderAttempt, e.attempt)
	header.Set(message.HeaderVersion, e.admitted.Version)
	header.Set("Trailer", message.HeaderComplete)
	e.w.WriteHeader(response.StatusCode)
	var kept bytes.Buffer
	whole := e.copy(response.Body, &kept)
	if !whole {
		panic(http.ErrAbortHandler)
	}
	header.Set(message.HeaderComplete, "yes")
	if kept.Len() <= e.handler.gate.config.MaxKeptBytes {
		e.kept = &message.Answer{Status: response.StatusCode, Header: fromBackend, Body: kept.Bytes(), Version: e.admitted.Version}
	}
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
