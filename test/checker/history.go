// Package checker judges a recorded run of the whole system against the seven
// guarantees of the brief ("What must always hold", in its order).
package checker

import (
	"time"

	"plantainrelay/internal/platform"
	"plantainrelay/internal/weights"
	"plantainrelay/test/standin"
)

// Outcome is how a call ended for its caller.
type Outcome string

// The outcomes: the three that the system names, and Broken when the
// connection ended without a whole answer.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
	Broken  Outcome = "broken"
)

// Call is one call as its caller saw it.
type Call struct {
	// ID is unique; backend servers record it with each execution.
	ID       string
	Customer string
	// Body is what was sent. Calls of one key send the same body.
	Body string
	// Key is the idempotency key of a call that may run at most once.
	Key    string
	Model  bool
	Stream bool
	Tokens int
	// Entry is the instance that took the call.
	Entry       string
	Sent, Ended time.Time
	Outcome     Outcome
	Version     string
	Answer      []byte
	// Detail is the error or the refusal's text.
	Detail string
}

// Execution is one execution that a backend server recorded.
type Execution struct {
	Instance string
	Model    bool
	standin.Execution
}

// Leave is a graceful shutdown of an instance.
type Leave struct {
	Instance string
	Entry    bool
	Asked    time.Time
	// Ended is the end of the process; zero when it did not end in time.
	Ended time.Time
	// Clean says that the process ended by itself with success.
	Clean bool
}

// Verdict is the answer to an edit of the tables.
type Verdict string

// The verdicts on an edit.
const (
	Accepted  Verdict = "accepted"
	Refused   Verdict = "refused"
	Uncertain Verdict = "uncertain"
)

// Edit is one edit as its operator saw it.
type Edit struct {
	ID          string
	Operator    int
	Expected    int64
	Sent, Ended time.Time
	Verdict     Verdict
	Revision    int64
	Detail      string
}

// Observation is the revision that an instance held at a time.
type Observation struct {
	Instance         string
	AvailabilityZone string
	// Process tells the processes of one instance apart.
	Process  int
	Started  time.Time
	At       time.Time
	Revision int64
}

// Fault is a fault that was injected.
type Fault struct {
	Kind string
	// Instances are the ones that it stopped, paused or cut off.
	Instances []string
	// CutsCalls says that the fault by its nature may break calls in progress.
	CutsCalls bool
	From, To  time.Time
}

// Usage counts answers of the outcome done and their tokens.
type Usage struct {
	Requests, Tokens int64
}

// History is all that is known of one run.
type History struct {
	Calls        []Call
	Executions   []Execution
	Leaves       []Leave
	Edits        []Edit
	Writes       []platform.Object
	Observations []Observation
	Faults       []Fault
	// Versions maps each published version to the digest of its whole weights.
	Versions map[string]weights.Digest
	// Usage is what the report says that the entries counted as done, by
	// customer.
	Usage map[string]Usage
}
