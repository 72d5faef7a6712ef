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
	// Security authenticates this entry to the agents.
	Security peer.Security
	// Identifier identifies the customer of a request.
	Identifier CustomerIdentifier
	// Usage records each request that matched a route.
	Usage metering.Recorder
	// MaxBodyBytes limits the size of a request's body.
	MaxBodyBytes int64
	// MaxAttempts limits the attempts of one request.
	MaxAttempts int
	// StatusQueryInterval is the time between two status queries for one attempt.
	StatusQueryInterval time.Duration
	// MaxWait limits how long a request waits for an available instance.
	MaxWait time.Duration
	// MaxSilence limits how long status queries are repeated while the agent does
	// not respond.
	MaxSilence time.Duration
	// RetryAfter is the shortest time after which a caller may retry a request
	// that was not run.
	RetryAfter time.Duration
}

// waitInterval is the time between two checks for an available instance.
const waitInterval = 10 * time.Millisecond

// TableSource provides the tables that a new request is routed with.
type TableSource interface {
	// Admit waits until the tables are known to be current. It returns
	// failure.NotReachable when that takes too long.
	Admit(ctx context.Context) (*table.Snapshot, error)
}

// Handler serves callers' requests.
type Handler struct {
	config      Config
	tables      TableSource
	agentStates *AgentStates
	ownership   *OwnershipManager
	// admission queues requests until there is capacity.
	admission    *Admission
	retryBudgets retryBudgets
	client       *peer.Client
	http         *http.Client
	log          *logrus.Entry
}

// NewHandler returns the handler of callers' requests.
func NewHandler(config Config, tables TableSource, states *AgentStates, owners *OwnershipManager, admission *Admission, client *peer.Client, log *logrus.Entry) *Handler {
	return &Handler{config: config, tables: tables, agentStates: states, ownership: owners, admission: admission, client: client, http: newAttemptClient(config.Security), log: log}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snapshot, err := h.tables.Admit(r.Context())
	if err != nil {
		h.rejectRequest(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	customer, remedy := h.config.Identifier.Identify(r)
	if customer == "" {
		h.rejectRequest(w, http.StatusUnauthorized, remedy)
		return
	}
	route, found := snapshot.Match(table.RequestAttributes{Customer: customer, Path: r.URL.Path, Header: r.Header.Get})
	if !found {
		h.rejectRequest(w, http.StatusNotFound, "no route takes this request; check its path and customer")
		return
	}
	servicelevel.SetRoute(r.Context(), customer, route.Name)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.config.MaxBodyBytes))
	if err != nil {
		h.rejectRequest(w, http.StatusRequestEntityTooLarge, "the body could not be read; send at most "+strconv.FormatInt(h.config.MaxBodyBytes, 10)+" bytes")
		return
	}
	key, err := newIdempotencyKey(r, route, customer, body, time.Now())
	if err != nil {
		h.rejectRequest(w, http.StatusBadRequest, err.Error())
		return
	}
	h.runRequest(w, r, route, customer, body, key)
}

func (h *Handler) runRequest(w http.ResponseWriter, r *http.Request, route table.Route, customer string, body []byte, key *idempotencyKey) {
	deadline := time.Now().Add(route.Deadline)
	metered := metering.NewWriter(w, h.config.Usage, customer, route.Pool)
	outcome := dispatch.Unknown
	defer func() { metered.End(outcome) }()
	e := &exchange{
		handler:        h,
		w:              metered,
		r:              r,
		route:          route,
		customer:       customer,
		body:           body,
		deadline:       deadline,
		requestID:      uuid.NewString(),
		key:            key,
		triedInstances: map[string]bool{},
		rng:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	e.dispatcher = dispatch.New(dispatch.Config{
		Repeatable:       route.Repeatable,
		Deadline:         deadline,
		MaxAttempts:      h.config.MaxAttempts,
		MaxInterruptions: maxInterruptions,
		QueryInterval:    h.config.StatusQueryInterval,
		MaxSilence:       h.config.MaxSilence,
		MaxWait:          h.config.MaxWait,
		WaitInterval:     waitInterval,
		Retry:            h.retryBudgets.recordRequest(route.Name),
		RetryDelay:       retryDelay(),
	})
	outcome = h.admitAndRun(e)
	h.log.WithFields(logrus.Fields{
		logging.FieldRequest:  e.requestID,
		logging.FieldCustomer: customer,
		logging.FieldPool:     route.Pool,
		"outcome":             outcome,
	}).Debug("request finished")
}

// admitAndRun runs a request once it is admitted. A shed request was not run;
// if it has a key, an earlier submission may have been, and the key's owner is
// asked.
func (h *Handler) admitAndRun(e *exchange) dispatch.Outcome {
	release, retryAfter := h.admission.acquire(e.r.Context(), e.route, e.customer, e.deadline)
	if release == nil {
		e.retryAfter = retryAfter
		return e.run(dispatch.Action{Kind: dispatch.Finish, Outcome: dispatch.NotRun})
	}
	defer release()
	return e.run(e.dispatcher.Start(time.Now()))
}

// outcomeBody is the body of a response that did not come from a backend
// server.
type outcomeBody struct {
	Outcome dispatch.Outcome `json:"outcome"`
	// Submission is not_run when this submission of a key was not run while the
	// outcome of the key is unknown, because an earlier one may have been.
	Submission dispatch.Outcome `json:"submission,omitempty"`
	Message    string           `json:"message"`
	// retryAfter, when longer than Config.RetryAfter, takes its place in the
	// Retry-After header.
	retryAfter time.Duration
}

// rejectRequest responds with not_run before any attempt.
func (h *Handler) rejectRequest(w http.ResponseWriter, status int, text string) {
	h.writeOutcome(w, status, outcomeBody{Outcome: dispatch.NotRun, Message: text})
}

func (h *Handler) writeOutcome(w http.ResponseWriter, status int, body outcomeBody) {
	w.Header().Set(message.HeaderOutcome, string(body.Outcome))
	if body.Submission != "" {
		w.Header().Set(message.HeaderSubmission, string(body.Submission))
	}
	mayRetry := body.Outcome == dispatch.NotRun || body.Submission == dispatch.NotRun
	if mayRetry && status >= http.StatusInternalServerError {
		w.Header().Set("Retry-After", strconv.Itoa(ceilSeconds(max(h.config.RetryAfter, body.retryAfter))))
	}
	httpx.WriteJson(w, status, body)
}

// ceilSeconds rounds up to whole seconds, at least one.
func ceilSeconds(duration time.Duration) int {
	return max(1, int((duration+time.Second-1)/time.Second))
}
