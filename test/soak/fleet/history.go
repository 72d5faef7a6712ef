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
	// Whole is an answer that appears to be complete. Refused is one that guarantees
	// that the request has not run. Failed is everything else.
	Whole   Outcome = "whole"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
)

// refusals are the status codes that guarantee that a request has not run.
var refusals = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// Bounds are the limits that the platform's documentation sets for the system.
type Bounds struct {
	Apply, Drain, Revoke, Version, Stable time.Duration
	// Served is the minimum share of requests that must be served after recovery
	// from the faults.
	Served float64
}

// StatedBounds are the bounds stated in the platform's documentation.
var StatedBounds = Bounds{
	Apply: 2 * time.Second, Drain: 2 * time.Second, Revoke: 5 * time.Second, Version: 8 * time.Second, Stable: 3 * time.Second, Served: 0.9,
}

// Call is one request of a caller.
type Call struct {
	Attempt, Key, Entry string
	Kind                standin.Kind
	Method, URI, Body   string
	Sent, Ended         time.Time
	Outcome             Outcome
	Status              int
	RetryAfter          time.Duration
	// Events is the number of events requested, Seen the number received. Right
	// means that the events came in order, or that the body belongs to the request.
	Events, Seen  int
	Right, Sealed bool
	Note          string
}

// Window is the time span of a fault or a graceful stop. Target is the affected
// instance; empty means all instances.
type Window struct {
	Kind, Target string
	From, To     time.Time
}

// stamped is a change of the tables or a release, with the time when the store
// accepted it.
type stamped struct {
	at      time.Time
	table   standin.Table
	version int64
}

// departure is an instance that announced its shutdown.
type departure struct {
	runner string
	at     time.Time
}

// History holds all records of a run. Its recording methods are safe for
// concurrent use.
type History struct {
	mu         sync.Mutex
	Bounds     Bounds
	CalmFrom   time.Time
	Calls      []Call
	Executions []standin.Execution
	Windows    []Window
	// Stops are the graceful stops of entries, Overdue those of them that exceeded
	// the shutdown timeout.
	Stops, Overdue []Window
	tables         []stamped
	releases       []stamped
	departures     []departure
	starts         map[string][]time.Time
	problems       []Problem
	StoreCalls     int
	OriginChunks   int64
}

func (h *History) note(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

func (h *History) noteCall(call Call) { h.note(func() { h.Calls = append(h.Calls, call) }) }

func (h *History) noteExecution(execution standin.Execution) {
	h.note(func() { h.Executions = append(h.Executions, execution) })
}

func (h *History) noteTable(table standin.Table, at time.Time) {
	h.note(func() { h.tables = append(h.tables, stamped{at: at, table: table}) })
}

func (h *History) noteRelease(version int64, at time.Time) {
	h.note(func() { h.releases = append(h.releases, stamped{at: at, version: version}) })
}

func (h *History) noteDeparture(runner string, at time.Time) {
	h.note(func() { h.departures = append(h.departures, departure{runner: runner, at: at}) })
}

func (h *History) noteStart(name string, at time.Time) {
	h.note(func() {
		if h.starts == nil {
			h.starts = map[string][]time.Time{}
		}
		h.starts[name] = append(h.starts[name], at)
	})
}

func (h *History) noteProblem(rule, text string) {
	h.note(func() { h.problems = append(h.problems, Problem{Rule: rule, Text: text}) })
}

// stallKind is the kind of windows in which the test machine was short of CPU time.
const stallKind = "machine stalled"

func (h *History) noteStall(from, to time.Time) {
	h.note(func() { h.Windows = append(h.Windows, Window{Kind: stallKind, From: from, To: to}) })
}

func (h *History) stalledSince(from time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.Windows, func(window Window) bool { return window.Kind == stallKind && window.To.After(from) })
}

func (h *History) noteStop(window Window) { h.note(func() { h.Stops = append(h.Stops, window) }) }

// noteWindow records the start of a fault and returns a function that records its
// end.
func (h *History) noteWindow(kind, target string) (end func()) {
	index := 0
	h.note(func() {
		index = len(h.Windows)
		h.Windows = append(h.Windows, Window{Kind: kind, Target: target, From: time.Now(), To: time.Now().Add(time.Hour)})
	})
	return func() { h.note(func() { h.Windows[index].To = time.Now() }) }
}
