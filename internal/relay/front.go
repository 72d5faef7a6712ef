package relay

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/rest/httpx"

	"plantainrelay/internal/clock"
	"plantainrelay/platform"
)

const (
	// denialMargin is kept between the age of the tables' proof and the bound on changes,
	// for a request's way here, where a request is refused for good.
	denialMargin = 100 * time.Millisecond
	// revokeMargin is kept between the age of the tables' proof and the bound on
	// revoked keys, for a request's way to the backend server.
	revokeMargin = 400 * time.Millisecond
	// staleTablesRetryAfter is when a caller may return that was rejected for old tables.
	staleTablesRetryAfter = time.Second
)

// frontend takes the requests of callers.
type frontend struct {
	view      *view
	scheduler *scheduler
	sender    *sender
	log       *logrus.Entry
	metrics   *frontendMetrics
	// zone is this entry's availability zone.
	zone string
	// returningCallers tells callers that come back from others.
	returningCallers returningCallerDetector
	// revokeBound is the bound on revoked keys in nanoseconds; zero when there is none.
	revokeBound atomic.Int64
	// maxDenialProofAge is the age of the tables' proof in nanoseconds up to which a request that
	// they do not allow is refused for good; with older ones it may return later.
	maxDenialProofAge atomic.Int64
	leaving           atomic.Bool
}

// setBounds takes over the bounds on revoked keys and on changes of the tables.
func (f *frontend) setBounds(bounds platform.Bounds) {
	f.revokeBound.Store(int64(bounds.Revoke))
	f.maxDenialProofAge.Store(int64(max(bounds.Apply-denialMargin, bounds.Apply/2)))
}

// refusal is an answer of this entry's own.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// refusalBody is the body of an answer of this entry's own.
type refusalBody struct {
	Error  string `json:"error"`
	Remedy string `json:"remedy"`
}

var remedies = map[string]string{
	"no_tables":     "come back after the time in Retry-After",
	"stale_tables":  "come back after the time in Retry-After",
	"no_route":      "check the host and the path against the table of routes",
	"unknown_key":   "send a key that a customer holds",
	"body_too_big":  "send a smaller body",
	"body_too_slow": "send the body without pauses",
	"bad_target":    "send the path of the request, not a whole URL",
	"overload":      "come back after the time in Retry-After",
	"no_instance":   "come back after the time in Retry-After",
	"unknown":       "the request may have run; ask before it is sent again",
	"timeout":       "the request may have run; ask before it is sent again",
}

// ServeHTTP implements http.Handler.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	arrived := clock.Now()
	x := &exchange{frontend: f, w: w, r: r, call: platform.DecodeCall(r.Header), arrived: arrived}
	body, refused := f.readBody(r)
	if refused == nil {
		x.body = body
		refused = x.admit()
	}
	if refused != nil {
		x.refuse(*refused)
		return
	}
	x.run()
}

func (f *frontend) readBody(r *http.Request) ([]byte, *refusal) {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return nil, &refusal{status: http.StatusBadRequest, reason: "bad_target"}
	}
	reader := r.Body
	if table := f.view.table(); table != nil && table.Limits.BodyBytes > 0 {
		reader = http.MaxBytesReader(nil, r.Body, table.Limits.BodyBytes)
	}
	body, err := io.ReadAll(reader)
	if err == nil {
		return body, nil
	}
	var tooBig *http.MaxBytesError
	var network net.Error
	switch {
	case errors.As(err, &tooBig):
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_big"}
	case errors.As(err, &network) && network.Timeout():
		return nil, &refusal{status: http.StatusRequestTimeout, reason: "body_too_slow"}
	}
	// The connection broke: nobody reads an answer.
	panic(http.ErrAbortHandler)
}

// admit matches the request against the tables.
func (x *exchange) admit() *refusal {
	f := x.frontend
	table, age := f.view.tablesAndProofAge()
	if table == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no_tables", retryAfter: staleTablesRetryAfter}
	}
	x.table = table
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	route, found := table.Match(hostName(x.r.Host), path)
	if !found {
		return x.deny(http.StatusNotFound, "no_route", age)
	}
	x.route = route
	if table.NeedsKey(route) {
		if revoke := time.Duration(f.revokeBound.Load()); revoke > 0 && age > revoke-revokeMargin {
			return &refusal{status: http.StatusServiceUnavailable, reason: "stale_tables", retryAfter: staleTablesRetryAfter}
		}
		customer, known := table.Customer(x.call.Key)
		if !known {
			return x.deny(http.StatusUnauthorized, "unknown_key", age)
		}
		x.customer = customer
	}
	x.pool = route.Choose(newRandom())
	x.prepare()
	return nil
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// deny refuses what the tables do not allow. Tables that may be out of
// date refuse it for now only.
func (x *exchange) deny(status int, reason string, age time.Duration) *refusal {
	if age > time.Duration(x.frontend.maxDenialProofAge.Load()) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "stale_tables", retryAfter: staleTablesRetryAfter}
	}
	return &refusal{status: status, reason: reason}
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// refuse answers the caller in this entry's own name.
func (x *exchange) refuse(r refusal) {
	x.frontend.metrics.refused.WithLabelValues(r.reason).Inc()
	x.logOutcome(r.status, r.reason)
	if r.retryAfter > 0 {
		x.w.Header().Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 2, 64))
	}
	if x.call.ID != "" {
		x.w.Header().Set("X-Plantain-Request", x.call.ID)
	}
	httpx.WriteJson(x.w, r.status, refusalBody{Error: r.reason, Remedy: remedies[r.reason]})
}

func (x *exchange) logOutcome(status int, outcome string) {
	fields := logrus.Fields{
		"request": x.call.ID, "status": status, "outcome": outcome,
		"ms": clock.Now().Sub(x.arrived).Milliseconds(), "time_left_ms": x.call.TimeLeft.Milliseconds(), "returning": x.returning, "proof_age_ms": x.frontend.view.proofAge().Milliseconds(),
	}
	if x.table != nil {
		fields["tables"] = x.table.Version
	}
	if x.route != nil {
		fields["route"], fields["pool"] = x.route.Name, x.pool
	}
	if x.customer.Name != "" {
		fields["customer"] = x.customer.Name
	}
	if len(x.attempts) > 0 {
		fields["attempts"] = x.attempts
	}
	x.frontend.log.WithFields(fields).Info("request ended")
}
