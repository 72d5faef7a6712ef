// Package message defines the messages between plantainrelay's own processes: net/rpc
// arguments and replies, and the headers of an attempt.
package message

import (
	"time"

	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/rollout"
	"plantainrelay/internal/weights"
)

// Names of the net/rpc methods.
const (
	MethodState           = "Agent.State"
	MethodAttemptStatus   = "Agent.Fate"
	MethodAnnounce        = "Tracker.Announce"
	MethodWeightsExchange = "Weights.Exchange"
	MethodManifest        = "Weights.Manifest"
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
	// HeaderDeadline is the time at which the request times out, in Unix milliseconds.
	HeaderDeadline = "X-Plantain-Deadline"
	// HeaderRefusal is the reason why an attempt was not started.
	HeaderRefusal = "X-Plantain-Refusal"
	// HeaderComplete is the trailer that marks a complete response.
	HeaderComplete = "X-Plantain-Complete"
	// HeaderOutcome reports the outcome of a request to its caller.
	HeaderOutcome = "X-Plantain-Outcome"
	// HeaderVersion reports to a caller which version of the weights produced the
	// response.
	HeaderVersion = "X-Plantain-Version"
)

// Paths of the agent's HTTP listener.
const (
	PathAttempt = "/attempt"
	PathChunk   = "/plantain/v1/chunks/:manifest/:chunk"
)

// Refusal is the reason why an agent did not start an attempt.
type Refusal string

// Refusal reasons. All but RefusalDuplicate prove that the attempt did not start.
const (
	RefusalGateClosed  Refusal = "gate_closed"
	RefusalIncarnation Refusal = "other_incarnation"
	RefusalBarred      Refusal = "barred"
	RefusalDraining    Refusal = "draining"
	RefusalDeadline    Refusal = "deadline_passed"
	RefusalFull        Refusal = "full"
	// RefusalBackend means that the backend server is unreachable.
	RefusalBackend   Refusal = "backend_unreachable"
	RefusalDuplicate Refusal = "duplicate"
)

// StateArgs requests the state of an agent.
type StateArgs struct {
	From string
	// Seen is the state known to the sender. The agent delays its reply until its state
	// differs from Seen, but at most for Hold. If Hold is zero, the agent replies
	// immediately.
	Seen RoutingState
	Hold time.Duration
}

// RoutingState is the part of an agent's state that determines request routing.
type RoutingState struct {
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
	// Open means that the gate admits new requests.
	Open bool
	// Version and Manifest identify the weights that the gate admits requests for.
	Version  string
	Manifest weights.Digest
	// Running is the number of requests in progress.
	Running int
	// MaxRunning is the limit on requests in progress.
	MaxRunning int
	// OwnersRevision is the revision of the agent's ownership map.
	OwnersRevision int64
	// Released means that the agent runs no further keys; HighestIssued is the latest
	// issue time among the keys that it has run, in Unix milliseconds.
	Released      bool
	HighestIssued int64
	Stage         rollout.Stage
	// Held is the number of the target's chunks that are present, Chunks their total
	// number.
	Held, Chunks int
	// Size is the size in bytes of the target's weights.
	Size     int64
	Failures int
	Cause    string
}

// RoutingState returns the part of the state that determines request routing.
func (r *StateReply) RoutingState() RoutingState {
	return RoutingState{Incarnation: r.Incarnation, Pool: r.Pool, Open: r.Open, Released: r.Released, OwnersRevision: r.OwnersRevision}
}

// AttemptStatusArgs requests the status of an attempt from an agent. If the agent has
// not started the attempt, the request bars it permanently.
type AttemptStatusArgs struct {
	Attempt     string
	Incarnation string
	// Deadline is the deadline of the attempt, in Unix milliseconds.
	Deadline int64
}

// AttemptStatusReply is the status of an attempt, with the stored response if it is
// done.
type AttemptStatusReply struct {
	Fate   dispatch.AttemptStatus
	Answer *Answer
}

// Answer is a complete response stored by an agent.
type Answer struct {
	Status  int
	Header  map[string][]string
	Body    []byte
	Version string
}
