package rollout

import (
	"time"
)

const (
	// minFinishFraction is the part of a version's chunks that has to be held for the
	// version to be finished before a newer one is begun with.
	minFinishFraction = 0.4
	// stallTimeout is the time without a chunk after which it is not finished.
	stallTimeout = 1200 * time.Millisecond
)

// Progress is how far an instance has come with a version when a newer one is
// released.
type Progress struct {
	Held, Chunks int
	// LastAt is when the last chunk arrived.
	LastAt time.Time
	// Latest is the time by which the version has to serve.
	Latest time.Time
}

// Finish reports whether the version should be finished first. Versions that
// follow each other within the time that one takes would otherwise all be given
// up in turn, while none of them serves in its time.
func (p Progress) Finish(now time.Time) bool {
	if !now.Before(p.Latest) || p.Chunks == 0 {
		return false
	}
	if p.Held >= p.Chunks {
		return true
	}
	return float64(p.Held) >= minFinishFraction*float64(p.Chunks) && now.Sub(p.LastAt) < stallTimeout
}
