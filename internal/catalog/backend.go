package catalog

import (
	"time"

	"plantainrelay/internal/replica"
)

// Backend is one backend server instance in the platform's list.
type Backend struct {
	// ID changes with most restarts; Start is the start time in Unix milliseconds.
	ID    string
	Start int64
	Pool  string
	// Address is "IP:port"; Host is its IP.
	Address          string
	Host             string
	AvailabilityZone string
	Slots            int
	// Leaving says that the instance is shutting down and takes no new requests.
	Leaving bool
	// LoadedVersions holds the versions of the completely loaded weights, by model.
	LoadedVersions map[string]int64
	// ColdLeft is how long the instance is still cold, as its list entry says; ColdReported is
	// false if the entry does not say it. The entry was written some time before it was read.
	ColdLeft     time.Duration
	ColdReported bool
	// ListRevision is the revision of the list entry.
	ListRevision replica.Revision
}

// Release names the target version of a model's weights.
type Release struct {
	Model   string
	Version int64
}
