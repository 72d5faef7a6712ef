package duty

import "time"

const (
	// watchTimeoutShare is the watch timeout as a fraction of the time within which a
	// change must be in effect. An unresponsive store is noticed only at the end of the
	// timeout, and another process then still has to read the store and forward the
	// change.
	watchTimeoutShare = 1.0 / 3
	// proofAgeShare is the same fraction for the age of a copy that no peer renews.
	proofAgeShare = 0.9
	// maxWatchTimeout bounds the watch timeout when changes may take long, because the
	// proof of the copy can be as old as two timeouts and the validity of keys depends
	// on it.
	maxWatchTimeout = 1100 * time.Millisecond
	// maxProofAge bounds the age of the proof for the same reason.
	maxProofAge = 2900 * time.Millisecond
)

// TablesPlan returns the plan for a collection whose changes must be in effect within
// apply.
func TablesPlan(apply time.Duration) Plan {
	return Plan{
		WatchTimeout: min(time.Duration(watchTimeoutShare*float64(apply)), maxWatchTimeout),
		MaxProofAge:  min(time.Duration(proofAgeShare*float64(apply)), maxProofAge),
	}
}
