// Package servicelevel feeds package burn: it records the responses to callers
// and the state of the fleet, and reports the burn rates of the error budgets
// over all entries.
package servicelevel

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"plantainrelay/internal/burn"
	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/message"
	"plantainrelay/internal/table"
)

const (
	// maxSeries bounds the series of one entry.
	maxSeries = 512
	// maxCustomerBytes bounds the length of a customer's name, because callers
	// choose it.
	maxCustomerBytes = 64
	observeInterval  = 200 * time.Millisecond
)

// Recorder counts the service levels of one entry. It is safe for concurrent
// use.
type Recorder struct {
	mu     sync.Mutex
	ledger *burn.Aggregator
}

// NewRecorder returns a recorder for the given targets.
func NewRecorder(targets burn.Targets) *Recorder {
	return &Recorder{ledger: burn.NewAggregator(targets, maxSeries)}
}

// Report returns the counts of this entry.
func (r *Recorder) Report() (burn.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report, err := r.ledger.Report(time.Now())
	return report, failure.Wrap(err, failure.Internal, "report this", "the service-level report cannot be encoded")
}

func (r *Recorder) took(key burn.Key, took time.Duration) {
	r.mu.Lock()
	r.ledger.RecordDuration(time.Now(), key, took)
	r.mu.Unlock()
}

func (r *Recorder) answered(customer, route string, whole bool) {
	r.mu.Lock()
	r.ledger.RecordRequest(time.Now(), customer, route, whole)
	r.mu.Unlock()
}

// Run measures how long changes of the tables and of pool versions take to reach
// all instances, until ctx ends.
func (r *Recorder) Run(ctx context.Context, tables func() *table.Snapshot, states func() map[string]message.StateReply) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	convergence := burn.NewConvergence()
	for {
		if snapshot := tables(); snapshot != nil {
			r.mu.Lock()
			convergence.Observe(time.Now(), wanted(snapshot), holders(states()), r.ledger)
			r.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func wanted(snapshot *table.Snapshot) burn.DesiredState {
	wanted := burn.DesiredState{Revision: snapshot.Revision, Versions: map[string]string{}}
	for _, pool := range snapshot.Pools {
		if pool.Kind == table.KindModel {
			wanted.Versions[pool.Name] = pool.Version
		}
	}
	return wanted
}

func holders(states map[string]message.StateReply) map[string]burn.InstanceState {
	holders := make(map[string]burn.InstanceState, len(states))
	for name, state := range states {
		holder := burn.InstanceState{Revision: state.Revision, Pool: state.Pool}
		if state.Open {
			holder.Version = state.Version
		}
		holders[name] = holder
	}
	return holders
}

// request records the response to one request. Only the goroutine that serves
// the request may use it.
type request struct {
	recorder *Recorder
	http.ResponseWriter
	started  time.Time
	customer string

	route  string
	status int
	stream bool
	last   time.Time
}

type contextKey struct{}

// SetRoute sets the customer and the route under which the request of ctx is
// counted. A request without a route is not counted.
func SetRoute(ctx context.Context, customer, route string) {
	if watched, ok := ctx.Value(contextKey{}).(*request); ok {
		watched.customer, watched.route = bounded(customer), route
	}
}

// Wrap returns a handler that calls next and counts each response.
func (r *Recorder) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, from *http.Request) {
		watched := &request{recorder: r, ResponseWriter: w, started: time.Now()}
		// The handler panics to abort a response. The deferred call counts the
		// response and lets the panic propagate.
		finished := false
		defer func() { watched.end(from.Context(), finished) }()
		next.ServeHTTP(watched, from.WithContext(context.WithValue(from.Context(), contextKey{}, watched)))
		finished = true
	})
}

// bounded replaces a customer name that is too long.
func bounded(customer string) string {
	if len(customer) <= maxCustomerBytes {
		return customer
	}
	return burn.Other
}

// Unwrap returns the underlying writer for http.ResponseController.
func (q *request) Unwrap() http.ResponseWriter { return q.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (q *request) WriteHeader(status int) {
	if q.status == 0 {
		q.status = status
		q.stream = strings.HasPrefix(q.Header().Get("Content-Type"), "text/event-stream")
	}
	q.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. Each write to a stream counts as one
// token.
func (q *request) Write(data []byte) (int, error) {
	if q.status == 0 {
		q.WriteHeader(http.StatusOK)
	}
	if q.stream && len(data) > 0 {
		q.token(time.Now())
	}
	return q.ResponseWriter.Write(data)
}

func (q *request) token(now time.Time) {
	key := burn.Key{Objective: burn.BetweenTokens, Customer: q.customer, Route: q.route}
	since := q.last
	if since.IsZero() {
		key.Objective, since = burn.FirstToken, q.started
	}
	q.last = now
	q.recorder.took(key, now.Sub(since))
}

// end counts the request. It ignores requests whose caller disconnected or
// exceeded its own limit, because they say nothing about the service.
func (q *request) end(ctx context.Context, finished bool) {
	if q.route == "" || ctx.Err() != nil || q.status == http.StatusTooManyRequests {
		return
	}
	outcome := dispatch.Outcome(q.Header().Get(message.HeaderOutcome))
	q.recorder.answered(q.customer, q.route, finished && outcome == dispatch.Done)
}
