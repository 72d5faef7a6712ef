// Package message defines what plantainrelay's own processes say to each
// other: net/rpc arguments and replies, and the headers of an attempt.
package message

import (
	"time"

	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/rollout"
	"plantainrelay/internal/weights"
)

// The net/rpc methods.
const (
	MethodState    = "Agent.State"
	MethodFate     = "Agent.Fate"
	MethodAnnounce = "Tracker.Announce"
	MethodPeer     = "Weights.Exchange"
	MethodManifest = "Weights.Manifest"
)

// Headers between entry and agent.
const (
	HeaderAttempt     = "X-Plantain-Attempt"
	HeaderIncarnation = "X-Plantain-Incarnation"
	HeaderRequest     = "X-Plantain-Request"
	HeaderPool        = "X-Plantain-Pool"
	HeaderCustomer    = "X-Plantain-Customer"
	HeaderKey         = "X-Plantain-Key"
	HeaderRepeatable  = "X-Plantain-Repeatable"
	// HeaderDeadline is the time at which the request is given up, in Unix
	// milliseconds.
	HeaderDeadline = "X-Plantain-Deadline"
	// HeaderRefusal names the reason for which an attempt was not started.
	HeaderRefusal = "X-Plantain-Refusal"
	// HeaderComplete is the trailer that closes a whole answer.
	HeaderComplete = "X-Plantain-Complete"
	// HeaderOutcome tells a caller the outcome of its request.
	HeaderOutcome = "X-Plantain-Outcome"
	// HeaderVersion tells a caller which weights made the answer.
	HeaderVersion = "X-Plantain-Version"
)

// Paths of the agent's HTTP listener.
const (
	PathAttempt = "/attempt"
	PathChunk   = "/plantain/v1/chunks/:manifest/:chunk"
)

// Refusal is the reason for which an agent did not start an attempt.
type Refusal string

// The refusals. All but RefusalDuplicate prove that the attempt did not start.
const (
	RefusalGateClosed  Refusal = "gate_closed"
	RefusalIncarnation Refusal = "other_incarnation"
	RefusalBarred      Refusal = "barred"
	RefusalDraining    Refusal = "draining"
	RefusalDeadline    Refusal = "deadline_passed"
	RefusalFull        Refusal = "full"
	// RefusalBackend means that the backend server cannot be reached.
	RefusalBackend   Refusal = "backend_unreachable"
	RefusalDuplicate Refusal = "duplicate"
)

// StateArgs asks an agent for its state.
type StateArgs struct {
	From string
	// Seen is what the caller knows already: the agent holds its answer until it
	// differs from that, or for Hold at most. A zero Hold asks for the state now.
	Seen Standing
	Hold time.Duration
}

// Standing is the part of an agent's state that decides where requests go.
type Standing struct {
	Incarnation    string
	Pool           string
	Open           bool
	Released       bool
	OwnersRevision int64
}

// StateReply is the state of one agent.
type StateReply struct {
	Instance    string
	Incarnation string
	// Revision is the revision of the tables that the agent holds.
	Revision int64
	Pool     string
	// Open says that the gate admits new requests.
	Open bool
	// Version and Manifest name the weights that the gate admits.
	Version  string
	Manifest weights.Digest
	// Running is the number of requests in progress.
	Running int
	// MaxRunning bounds the requests in progress.
	MaxRunning int
	// OwnersRevision is the revision of the map of owners that the agent holds.
	OwnersRevision int64
	// Released says that the agent runs no further key; HighestIssued is the
	// latest issue time that it has run, in Unix milliseconds.
	Released      bool
	HighestIssued int64
	Stage         rollout.Stage
	// Held and Chunks count the target's chunks.
	Held, Chunks int
	// Size is the size in bytes of the target's weights.
	Size     int64
	Failures int
	Cause    string
}

// Standing returns the part of the state that decides where requests go.
func (r *StateReply) Standing() Standing {
	return Standing{Incarnation: r.Incarnation, Pool: r.Pool, Open: r.Open, Released: r.Released, OwnersRevision: r.OwnersRevision}
}

// FateArgs asks an agent what became of an attempt. An attempt that it has not
// started is barred for good by the question.
type FateArgs struct {
	Attempt     string
	Incarnation string
	// Deadline is the attempt's, in Unix milliseconds.
	Deadline int64
}

// FateReply is the agent's word on an attempt, with the kept answer when done.
type FateReply struct {
	Fate   dispatch.Fate
	Answer *Answer
}

// Answer is a whole answer kept by an agent.
type Answer struct {
	Status  int
	Header  map[string][]string
	Body    []byte
	Version string
}
