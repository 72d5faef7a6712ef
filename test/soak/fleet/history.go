package fleet

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"plantainrelay/platform/standin"
)

// Outcome is the result of a request as its caller saw it.
type Outcome string

// The outcomes.
const (
	// Complete is an answer that appears to be complete. Refused is one that guarantees
	// that the request has not run. Failed is everything else.
	Complete Outcome = "whole"
	Refused  Outcome = "refused"
	Failed   Outcome = "failed"
)

// refusals are the status codes that guarantee that a request has not run.
var refusals = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// Bounds are the limits that the platform's documentation sets for the system.
type Bounds struct {
	Apply, Drain, Revoke, Version, Stable time.Duration
	// MinServedShare is the share of requests that must be served after recovery.
	MinServedShare float64
}

// StatedBounds are the bounds stated in the platform's documentation.
var StatedBounds = Bounds{
	Apply: 2 * time.Second, Drain: 2 * time.Second, Revoke: 5 * time.Second, Version: 8 * time.Second, Stable: 3 * time.Second, MinServedShare: 0.9,
}

// Call is one request of a caller.
type Call struct {
	Attempt, Key, Entry string
	Kind                standin.RouteKind
	Method, URI, Body   string
	// Parts holds the parts of the prompt, the request's own one last. CrashingPart is the
	// one at which instances crash, if any.
	Parts        []string
	CrashingPart string
	// Sent is the time before the connection was chosen, Written that at which the whole
	// request had been sent, zero if it was not. TimeLeft is the caller's time limit.
	Sent, Written, Ended time.Time
	TimeLeft             time.Duration
	// Kept says that the connection was open already, Lost that the entry ended it after the
	// request was sent and before the response was complete.
	Kept, Lost bool
	Outcome    Outcome
	Status     int
	RetryAfter time.Duration
	// EventsRequested and EventsReceived are numbers of events. Correct means that the
	// events came in order, or that the body belongs to the request.
	EventsRequested, EventsReceived int
	Correct, Sealed                 bool
	Detail                          string
}

// Cut is a request that ended without a complete response.
type Cut struct {
	// Excuse is what excuses it, or notExcused.
	Excuse, Text string
}

func (c Cut) String() string { return c.Excuse + ": " + c.Text }

// FaultWindow is the time span of a fault or a graceful stop. Target is the affected
// instance; empty means all instances.
type FaultWindow struct {
	Kind, Target string
	From, To     time.Time
}

// acceptedChange is a change of the tables or a release, and when it was accepted.
type acceptedChange struct {
	at      time.Time
	table   standin.Table
	version int64
}

// drainNotice records that an instance announced its shutdown.
type drainNotice struct {
	backendID string
	at        time.Time
}

// History holds all records of a run. It is safe for concurrent use during the run.
type History struct {
	mu                sync.Mutex
	Bounds            Bounds
	RecoveryCheckFrom time.Time
	Calls             []Call
	Executions        []standin.Execution
	Arrivals          []standin.Arrival
	Crashes           []PartCrash
	Windows           []FaultWindow
	// Stops are the graceful stops of entries, Overdue those that exceeded the timeout.
	Stops, Overdue []FaultWindow
	// reloads are the settings reloads of processes.
	reloads []FaultWindow
	// Cuts are the requests that ended without a complete response. Check sets them.
	Cuts         []Cut
	tables       []acceptedChange
	releases     []acceptedChange
	drainNotices []drainNotice
	starts       map[string][]time.Time
	violations   []Violation
	StoreCalls   int
	OriginChunks int64
}

func (h *History) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

func (h *History) addCall(call Call) { h.update(func() { h.Calls = append(h.Calls, call) }) }

func (h *History) addExecution(execution standin.Execution) {
	h.update(func() { h.Executions = append(h.Executions, execution) })
}

func (h *History) addArrival(arrival standin.Arrival) {
	h.update(func() { h.Arrivals = append(h.Arrivals, arrival) })
}

func (h *History) addTable(table standin.Table, at time.Time) {
	h.update(func() { h.tables = append(h.tables, acceptedChange{at: at, table: table}) })
}

func (h *History) addRelease(version int64, at time.Time) {
	h.update(func() { h.releases = append(h.releases, acceptedChange{at: at, version: version}) })
}

func (h *History) addDrainNotice(backendID string, at time.Time) {
	h.update(func() { h.drainNotices = append(h.drainNotices, drainNotice{backendID: backendID, at: at}) })
}

func (h *History) addStart(name string, at time.Time) {
	h.update(func() {
		if h.starts == nil {
			h.starts = map[string][]time.Time{}
		}
		h.starts[name] = append(h.starts[name], at)
	})
}

func (h *History) addViolation(rule, text string) {
	h.update(func() { h.violations = append(h.violations, Violation{Rule: rule, Text: text}) })
}

// stallKind is the kind of windows in which the test machine was short of CPU time, originKind
// that of those in which the origin failed. The latter excuse nothing: entries don't need it.
const (
	stallKind  = "machine stalled"
	originKind = "origin fails"
)

func (h *History) addStall(from, to time.Time) {
	h.update(func() { h.Windows = append(h.Windows, FaultWindow{Kind: stallKind, From: from, To: to}) })
}

func (h *History) stalledSince(from time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.Windows, func(window FaultWindow) bool { return window.Kind == stallKind && window.To.After(from) })
}

func (h *History) addStop(stop FaultWindow) { h.update(func() { h.Stops = append(h.Stops, stop) }) }

func (h *History) addReload(name string, at time.Time) {
	h.update(func() {
		h.reloads = append(h.reloads, FaultWindow{Kind: "settings reloaded", Target: name, From: at, To: at})
	})
}

// beginFault records the start of a fault; end records its end.
func (h *History) beginFault(kind, target string) (end func()) {
	index := 0
	h.update(func() {
		index = len(h.Windows)
		h.Windows = append(h.Windows, FaultWindow{Kind: kind, Target: target, From: time.Now(), To: time.Now().Add(time.Hour)})
	})
	return func() { h.update(func() { h.Windows[index].To = time.Now() }) }
}
