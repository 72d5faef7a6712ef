package message

import (
	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/ownership"
)

// Names of the net/rpc methods for idempotency keys.
const (
	MethodOwners    = "Agent.Owners"
	MethodKeyStatus = "Agent.KeyFate"
)

// Headers of attempts with an idempotency key.
const (
	// HeaderKeyIssued is the key's issue time in Unix milliseconds.
	HeaderKeyIssued = "X-Plantain-Key-Issued"
	// HeaderKeyDigest is the digest of the request that carries the key.
	HeaderKeyDigest = "X-Plantain-Key-Digest"
	// HeaderKeyStamped indicates that the entry set the issue time.
	HeaderKeyStamped = "X-Plantain-Key-Stamped"
	// HeaderKeyHolder is the ID of the attempt that holds the key.
	HeaderKeyHolder = "X-Plantain-Key-Holder"
	// HeaderSubmitted is the time at which the entry received the request, in Unix
	// milliseconds.
	HeaderSubmitted = "X-Plantain-Submitted"
	// HeaderSubmission reports to a caller whether this submission of its key was run,
	// when the outcome of the key itself is unknown.
	HeaderSubmission = "X-Plantain-Submission"
)

// OwnersArgs requests the ownership map of the agent's pool and offers the sender's
// map.
type OwnersArgs struct {
	From     string
	Revision int64
	Offer    *ownership.Map
}

// OwnersReply holds the agent's map if it is newer than the sender's.
type OwnersReply struct {
	Owners   *ownership.Map
	Revision int64
}

// KeyStatusArgs requests the status of a key from its owner. If the key was never run,
// the request bars it against submissions received before the request.
type KeyStatusArgs struct {
	Incarnation string
	Submission  ownership.Submission
}

// KeyStatusReply is the status of a key at its owner: dispatch.AttemptNeverStarted, or
// the attempt that holds the key and the status of that attempt.
type KeyStatusReply struct {
	Fate   dispatch.AttemptStatus
	Holder string
	Answer *Answer
}
