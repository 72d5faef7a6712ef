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
	mu         sync.Mutex
	aggregator *burn.Aggregator
}

// NewRecorder returns a recorder for the given targets.
func NewRecorder(targets burn.Targets) *Recorder {
	return &Recorder{aggregator: burn.NewAggregator(targets, maxSeries)}
}

// Report returns the counts of this entry.
func (r *Recorder) Report() (burn.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report, err := r.aggregator.Report(time.Now())
	return report, failure.Wrap(err, failure.Internal, "report this", "the report cannot be made")
}

func (r *Recorder) recordDuration(key burn.Key, duration time.Duration) {
	r.mu.Lock()
	r.aggregator.RecordDuration(time.Now(), key, duration)
	r.mu.Unlock()
}

func (r *Recorder) recordRequest(customer, route string, complete bool) {
	r.mu.Lock()
	r.aggregator.RecordRequest(time.Now(), customer, route, complete)
	r.mu.Unlock()
}

// Run measures how long changes of the tables and of pool versions take to
// reach all instances, until ctx ends.
func (r *Recorder) Run(ctx context.Context, tables func() *table.Snapshot, states func() map[string]message.StateReply) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	convergence := burn.NewConvergence()
	for {
		if snapshot := tables(); snapshot != nil {
			r.mu.Lock()
			convergence.Observe(time.Now(), desiredState(snapshot), instanceStates(states()), r.aggregator)
			r.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func desiredState(snapshot *table.Snapshot) burn.DesiredState {
	desired := burn.DesiredState{Revision: snapshot.Revision, Versions: map[string]string{}}
	for _, pool := range snapshot.Pools {
		if pool.Kind == table.KindModel {
			desired.Versions[pool.Name] = pool.Version
		}
	}
	return desired
}

func instanceStates(states map[string]message.StateReply) map[string]burn.InstanceState {
	instances := make(map[string]burn.InstanceState, len(states))
	for name, state := range states {
		instance := burn.InstanceState{Revision: state.Revision, Pool: state.Pool}
		if state.Open {
			instance.Version = state.Version
		}
		instances[name] = instance
	}
	return instances
}

// observedRequest records the response to one request. Only the goroutine that
// serves the request may use it.
type observedRequest struct {
	recorder *Recorder
	http.ResponseWriter
	started  time.Time
	customer string

	route     string
	status    int
	isStream  bool
	lastToken time.Time
}

type contextKey struct{}

// SetRoute sets the customer and the route under which the request of ctx is
// counted. A request without a route is not counted.
func SetRoute(ctx context.Context, customer, route string) {
	if observed, ok := ctx.Value(contextKey{}).(*observedRequest); ok {
		observed.customer, observed.route = customerLabel(customer), route
	}
}

// CountResponses returns a handler that calls next and counts each response.
func (r *Recorder) CountResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		observed := &observedRequest{recorder: r, ResponseWriter: w, started: time.Now()}
		// The handler panics to abort a response. The deferred call counts the
		// response and lets the panic propagate.
		finished := false
		defer func() { observed.end(request.Context(), finished) }()
		next.ServeHTTP(observed, request.WithContext(context.WithValue(request.Context(), contextKey{}, observed)))
		finished = true
	})
}

// customerLabel replaces a customer name that is too long.
func customerLabel(customer string) string {
	if len(customer) <= maxCustomerBytes {
		return customer
	}
	return burn.Other
}

// Unwrap returns the underlying writer for http.ResponseController.
func (q *observedRequest) Unwrap() http.ResponseWriter { return q.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (q *observedRequest) WriteHeader(status int) {
	if q.status == 0 {
		q.status = status
		q.isStream = strings.HasPrefix(q.Header().Get("Content-Type"), "text/event-stream")
	}
	q.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. Each write to a stream counts as one
// token.
func (q *observedRequest) Write(data []byte) (int, error) {
	if q.status == 0 {
		q.WriteHeader(http.StatusOK)
	}
	if q.isStream && len(data) > 0 {
		q.recordToken(time.Now())
	}
	return q.ResponseWriter.Write(data)
}

func (q *observedRequest) recordToken(now time.Time) {
	key := burn.Key{Objective: burn.BetweenTokens, Customer: q.customer, Route: q.route}
	since := q.lastToken
	if since.IsZero() {
		key.Objective, since = burn.FirstToken, q.started
	}
	q.lastToken = now
	q.recorder.recordDuration(key, now.Sub(since))
}

// end counts the request. It ignores requests whose caller disconnected or
// exceeded its own limit, because they say nothing about the service.
func (q *observedRequest) end(ctx context.Context, finished bool) {
	if q.route == "" || ctx.Err() != nil || q.status == http.StatusTooManyRequests {
		return
	}
	outcome := dispatch.Outcome(q.Header().Get(message.HeaderOutcome))
	q.recorder.recordRequest(q.customer, q.route, finished && outcome == dispatch.Done)
}
