package rollout

import (
	"time"
)

const (
	// minFinishFraction is the fraction of a version's chunks that has to be held
	// for the version to be finished before a newer one is started.
	minFinishFraction = 0.4
	// stallTimeout is the time without a received chunk after which the version
	// is abandoned for the newer one.
	stallTimeout = 1200 * time.Millisecond
)

// Progress is the progress of an instance with a version when a newer version is
// released.
type Progress struct {
	Held, Chunks int
	// LastChunkAt is the time when the last chunk arrived.
	LastChunkAt time.Time
	// ServeBy is the deadline for serving the version.
	ServeBy time.Time
}

// ShouldFinish reports whether the version should be finished before the newer one
// is started. If versions are released faster than one can be fetched, each would
// otherwise be abandoned for the next, and none would serve before its deadline.
func (p Progress) ShouldFinish(now time.Time) bool {
	if !now.Before(p.ServeBy) || p.Chunks == 0 {
		return false
	}
	if p.Held >= p.Chunks {
		return true
	}
	return float64(p.Held) >= minFinishFraction*float64(p.Chunks) && now.Sub(p.LastChunkAt) < stallTimeout
}
