package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/rest/httpx"

	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/logging"
	"plantainrelay/internal/message"
	"plantainrelay/internal/metering"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/servicelevel"
	"plantainrelay/internal/table"
)

// Config holds the settings of the request path.
type Config struct {
	Self             string
	AvailabilityZone string
	// Security proves membership of the fleet.
	Security peer.Security
	// Customers identifies the customer of a request.
	Customers Customers
	// Usage is told of each request that a route took.
	Usage metering.Recorder
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// AskInterval is the pause between two questions about one attempt.
	AskInterval time.Duration
	// MaxWait bounds how long a request waits for an available instance.
	MaxWait time.Duration
	// MaxSilence bounds how long a silent agent is asked about an attempt.
	MaxSilence time.Duration
	// RetryAfter is the time after which a caller may ask again.
	RetryAfter time.Duration
}

// waitInterval is the pause between two looks for an available instance.
const waitInterval = 10 * time.Millisecond

// Tables gives the snapshot that a new request is served from.
type Tables interface {
	// Admit waits until the tables may be served from. It returns
	// failure.NotReachable when that takes too long.
	Admit(ctx context.Context) (*table.Snapshot, error)
}

// Handler takes callers' requests.
type Handler struct {
	config Config
	tables Tables
	states *States
	owners *Owners
	// admission lets requests in.
	admission *Admission
	budgets   budgets
	client    *peer.Client
	http      *http.Client
	log       *logrus.Entry
}

// NewHandler returns the handler of callers' requests.
func NewHandler(config Config, tables Tables, states *States, owners *Owners, admission *Admission, client *peer.Client, log *logrus.Entry) *Handler {
	return &Handler{config: config, tables: tables, states: states, owners: owners, admission: admission, client: client, http: newAttemptClient(config.Security), log: log}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snapshot, err := h.tables.Admit(r.Context())
	if err != nil {
		h.refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	customer, remedy := h.config.Customers.Identify(r)
	if customer == "" {
		h.refuse(w, http.StatusUnauthorized, remedy)
		return
	}
	route, found := snapshot.Match(table.Request{Customer: customer, Path: r.URL.Path, Header: r.Header.Get})
	if !found {
		h.refuse(w, http.StatusNotFound, "no route takes this request; check its path and customer")
		return
	}
	servicelevel.SetRoute(r.Context(), customer, route.Name)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.config.MaxBodyBytes))
	if err != nil {
		h.refuse(w, http.StatusRequestEntityTooLarge, "the body could not be read; send at most "+strconv.FormatInt(h.config.MaxBodyBytes, 10)+" bytes")
		return
	}
	key, err := keyOf(r, route, customer, body, time.Now())
	if err != nil {
		h.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	h.run(w, r, route, customer, body, key)
}

func (h *Handler) run(w http.ResponseWriter, r *http.Request, route table.Route, customer string, body []byte, key *requestKey) {
	deadline := time.Now().Add(route.Deadline)
	metered := metering.Wrap(w, h.config.Usage, customer, route.Pool)
	outcome := dispatch.Unknown
	defer func() { metered.End(outcome) }()
	e := &exchange{
		handler:  h,
		w:        metered,
		r:        r,
		route:    route,
		customer: customer,
		body:     body,
		deadline: deadline,
		request:  uuid.NewString(),
		key:      key,
		tried:    map[string]bool{},
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	e.decision = dispatch.New(dispatch.Config{
		Repeatable:   route.Repeatable,
		Deadline:     deadline,
		MaxAttempts:  h.config.MaxAttempts,
		AskInterval:  h.config.AskInterval,
		MaxSilence:   h.config.MaxSilence,
		MaxWait:      h.config.MaxWait,
		WaitInterval: waitInterval,
		Retry:        h.budgets.request(route.Name),
		Backoff:      backoff(),
	})
	outcome = h.admit(e)
	h.log.WithFields(logrus.Fields{
		logging.FieldRequest:  e.request,
		logging.FieldCustomer: customer,
		logging.FieldPool:     route.Pool,
		"outcome":             outcome,
	}).Debug("request finished")
}

// admit runs a request once it was let in. A shed request was not run; of a
// key that may have been submitted before, the owner is asked.
func (h *Handler) admit(e *exchange) dispatch.Outcome {
	leave, retryAfter := h.admission.enter(e.r.Context(), e.route, e.customer, e.deadline)
	if leave == nil {
		e.retryAfter = retryAfter
		return e.run(dispatch.Action{Kind: dispatch.Finish, Outcome: dispatch.NotRun})
	}
	defer leave()
	return e.run(e.decision.Start(time.Now()))
}

// outcomeBody is the body of an answer that did not come from a backend
// server.
type outcomeBody struct {
	Outcome dispatch.Outcome `json:"outcome"`
	// Submission is not_run when this submission of a key was not run while the
	// outcome of the key is unknown, since an earlier one may have been.
	Submission dispatch.Outcome `json:"submission,omitempty"`
	Message    string           `json:"message"`
	// retryAfter, when longer than the usual time, is when to come back.
	retryAfter time.Duration
}

// refuse answers not_run without any attempt.
func (h *Handler) refuse(w http.ResponseWriter, status int, text string) {
	h.finish(w, status, outcomeBody{Outcome: dispatch.NotRun, Message: text})
}

func (h *Handler) finish(w http.ResponseWriter, status int, body outcomeBody) {
	w.Header().Set(message.HeaderOutcome, string(body.Outcome))
	if body.Submission != "" {
		w.Header().Set(message.HeaderSubmission, string(body.Submission))
	}
	again := body.Outcome == dispatch.NotRun || body.Submission == dispatch.NotRun
	if again && status >= http.StatusInternalServerError {
		w.Header().Set("Retry-After", strconv.Itoa(seconds(max(h.config.RetryAfter, body.retryAfter))))
	}
	httpx.WriteJson(w, status, body)
}

// seconds rounds up to whole seconds, at least one.
func seconds(wait time.Duration) int {
	return max(1, int((wait+time.Second-1)/time.Second))
}
