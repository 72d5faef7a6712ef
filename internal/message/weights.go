package message

import (
	"time"

	"plantainrelay/internal/rollout"
	"plantainrelay/internal/weights"
)

// AnnounceArgs reports an agent's loading progress to a tracker and may request the
// permit to switch.
type AnnounceArgs struct {
	Instance         string
	Pool             string
	AvailabilityZone string
	Manifest         weights.Digest
	Stage            rollout.Stage
	// Open means that the agent admits requests.
	Open bool
	// Wants requests the permit, or renews the one held while draining.
	Wants bool
	// Failures is the number of failed loads of Manifest, Cause the reason for the
	// failure.
	Failures int
	Cause    string
}

// AnnounceReply is the reply of a tracker.
type AnnounceReply struct {
	// Permit means that the agent may switch within Lifetime.
	Permit   bool
	Lifetime time.Duration
	// Refusal is the reason why no permit is granted.
	Refusal string
	// Next is the time until the agent's next announcement.
	Next time.Duration
}

// WeightsExchangeArgs lists the chunks of a manifest that the sender holds and the
// chunks that the receiver may now fetch from the origin.
type WeightsExchangeArgs struct {
	From     string
	Manifest weights.Digest
	// Chunks lists the chunks that the sender holds.
	Chunks []int
	// Turns lists the chunks that the receiver may fetch from the origin: its origin
	// grants.
	Turns []int
	// Ask requests the list of chunks that the receiver holds.
	Ask bool
}

// WeightsExchangeReply is the reply to WeightsExchangeArgs.
type WeightsExchangeReply struct {
	// Known means that the receiver is loading the same manifest.
	Known bool
	Have  weights.Bitmap
}

// ManifestArgs requests a manifest from another agent.
type ManifestArgs struct {
	Digest weights.Digest
}

// ManifestReply holds the bytes of a manifest; empty if it is unknown.
type ManifestReply struct {
	Raw []byte
}
