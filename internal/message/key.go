package message

import (
	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/ownership"
)

// The net/rpc methods about keys.
const (
	MethodOwners  = "Agent.Owners"
	MethodKeyFate = "Agent.KeyFate"
)

// Headers of keyed attempts.
const (
	// HeaderKeyIssued is the key's issue time in Unix milliseconds.
	HeaderKeyIssued = "X-Plantain-Key-Issued"
	// HeaderKeyDigest identifies the request that bears the key.
	HeaderKeyDigest = "X-Plantain-Key-Digest"
	// HeaderKeyStamped says that the entry put the issue time.
	HeaderKeyStamped = "X-Plantain-Key-Stamped"
	// HeaderKeyHolder names the attempt that holds the key.
	HeaderKeyHolder = "X-Plantain-Key-Holder"
	// HeaderSubmitted is when the entry received the request, in Unix
	// milliseconds.
	HeaderSubmitted = "X-Plantain-Submitted"
	// HeaderSubmission tells a caller whether this submission of its key was
	// run, when the outcome of the key itself is unknown.
	HeaderSubmission = "X-Plantain-Submission"
)

// OwnersArgs asks an agent for the map of owners of its pool, and offers one.
type OwnersArgs struct {
	From     string
	Revision int64
	Offer    *ownership.Map
}

// OwnersReply holds the agent's map when it is newer than the caller's.
type OwnersReply struct {
	Owners   *ownership.Map
	Revision int64
}

// KeyFateArgs asks an owner what became of a key. A key that was never run is
// barred against submissions received before the question.
type KeyFateArgs struct {
	Incarnation string
	Submission  ownership.Submission
}

// KeyFateReply is the owner's word on a key: FateNeverStarted, or the attempt
// that holds it with its fate.
type KeyFateReply struct {
	Fate   dispatch.Fate
	Holder string
	Answer *Answer
}
