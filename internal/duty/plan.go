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
	// evacuationWatchShare is the watch timeout for evacuations as a fraction of the time
	// within which one must be in effect. A watch returns as soon as there is one. If the
	// response is lost, the rest is enough to notice that the call is overdue, and for
	// another process to read the store and forward the change, in the turns of a large
	// fleet. In the simulation 0.9 is enough, without a margin for slow machines, and 1 is
	// not.
	evacuationWatchShare = 0.7
	// evacuationProofMargin is added to two watch timeouts, the age of a proof in normal
	// operation, to get the age at which each process reads the store itself.
	evacuationProofMargin = time.Second
	// defaultEvacuationBound applies while the settings name no bound.
	defaultEvacuationBound = 5 * time.Second
)

// EvacuationsPlan returns the plan for evacuations of availability zones, which must be in
// effect within bound.
func EvacuationsPlan(bound time.Duration) Plan {
	if bound <= 0 {
		bound = defaultEvacuationBound
	}
	watchTimeout := time.Duration(evacuationWatchShare * float64(bound))
	return Plan{WatchTimeout: watchTimeout, MaxProofAge: 2*watchTimeout + evacuationProofMargin}
}

// TablesPlan returns the plan for a collection whose changes must be in effect within
// apply.
func TablesPlan(apply time.Duration) Plan {
	return Plan{
		WatchTimeout: min(time.Duration(watchTimeoutShare*float64(apply)), maxWatchTimeout),
		MaxProofAge:  min(time.Duration(proofAgeShare*float64(apply)), maxProofAge),
	}
}
