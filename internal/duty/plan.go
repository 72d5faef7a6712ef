package duty

import "time"

const (
	// watchTimeoutShare is the part of the bound on a change that a watch may wait. A store
	// that falls silent shows at the end of the wait, and others then have to read it
	// and pass the change on.
	watchTimeoutShare = 1.0 / 3
	// proofAgeShare is the same part for the age of a copy that nobody renews.
	proofAgeShare = 0.9
	// maxWatchTimeout bounds the wait where changes may take long: the proof of the copy is
	// as old as two waits, and keys depend on it.
	maxWatchTimeout = 1100 * time.Millisecond
	// maxProofAge bounds the age of a copy in the same way.
	maxProofAge = 2900 * time.Millisecond
)

// TablesPlan returns the plan for a collection whose changes have to be in force
// within apply.
func TablesPlan(apply time.Duration) Plan {
	return Plan{
		Wait:   min(time.Duration(watchTimeoutShare*float64(apply)), maxWatchTimeout),
		MaxAge: min(time.Duration(proofAgeShare*float64(apply)), maxProofAge),
	}
}
