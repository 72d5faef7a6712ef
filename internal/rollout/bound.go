package rollout

import (
	"time"
)

// A release has a bound: the time after which no request may begin on older weights. Engines
// switch, and entries stop sending requests to older weights, early enough before it.
const (
	// longestSilence is how long a sound instance may be silent before it goes on: a request
	// that it has received by then begins that much later and cannot be taken back.
	longestSilence = 1600 * time.Millisecond
	// firstTokenTime is the usual time from the arrival of a request at an engine to its first
	// token.
	firstTokenTime = 400 * time.Millisecond
	// lateDrain is how long after the send period the last group of engines may still drain: its
	// engines get no requests then in any case, and shorter drains cut streams of all groups.
	lateDrain = 500 * time.Millisecond
	// maxMarginShare bounds each margin to a share of the time before it, for short bounds.
	maxMarginShare = 0.5
)

// SendPeriod returns how long after a release with the given bound requests may be sent to
// older weights. One that is sent in time begins within the bound also if its engine is silent
// for longestSilence.
func SendPeriod(bound time.Duration) time.Duration {
	return before(bound, longestSilence+firstTokenTime)
}

// SwitchPeriod returns the time after a release with the given bound at which an engine switches
// whatever others do: when entries stop sending requests to its weights.
func SwitchPeriod(bound time.Duration) time.Duration { return SendPeriod(bound) }

// DrainPeriod returns the time after a release with the given bound by which the drains of all
// groups of engines should have ended.
func DrainPeriod(bound time.Duration) time.Duration {
	return SendPeriod(bound) + min(lateDrain, (bound-SendPeriod(bound))/2)
}

func before(end, margin time.Duration) time.Duration {
	return end - min(margin, time.Duration(maxMarginShare*float64(end)))
}
