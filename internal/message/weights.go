package message

import (
	"time"

	"plantainrelay/internal/rollout"
	"plantainrelay/internal/weights"
)

// AnnounceArgs tells a tracker how far an agent has come, and asks for the
// permit to switch.
type AnnounceArgs struct {
	Instance         string
	Pool             string
	AvailabilityZone string
	Manifest         weights.Digest
	Stage            rollout.Stage
	// Open says that the agent admits requests.
	Open bool
	// Wants asks for the permit, or prolongs the one held while draining.
	Wants bool
	// Failures and Cause tell of failed loads of Manifest.
	Failures int
	Cause    string
}

// AnnounceReply is a tracker's answer.
type AnnounceReply struct {
	// Permit says that the agent may switch within Lifetime.
	Permit   bool
	Lifetime time.Duration
	// Refusal tells why no permit is given.
	Refusal string
	// Next is when the agent announces itself again.
	Next time.Duration
}

// PeerArgs tells another agent which chunks of a manifest the caller holds and
// which chunks the other may take from the origin now.
type PeerArgs struct {
	From     string
	Manifest weights.Digest
	Chunks   []int
	Turns    []int
	// Ask asks for the chunks that the other holds.
	Ask bool
}

// PeerReply is the answer to PeerArgs.
type PeerReply struct {
	// Known says that the other takes the same manifest.
	Known bool
	Have  weights.Bitmap
}

// ManifestArgs asks another agent for a manifest.
type ManifestArgs struct {
	Digest weights.Digest
}

// ManifestReply holds a manifest's bytes; empty when it is not known.
type ManifestReply struct {
	Raw []byte
}
