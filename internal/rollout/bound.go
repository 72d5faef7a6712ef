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
	// switchTime is the time from the decision that an engine switches until it takes requests
	// again: the order, the load and the first report.
	switchTime = 600 * time.Millisecond
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
// whatever others do, so that it serves the release when the send period ends.
func SwitchPeriod(bound time.Duration) time.Duration { return before(SendPeriod(bound), switchTime) }

func before(end, margin time.Duration) time.Duration {
	return end - min(margin, time.Duration(maxMarginShare*float64(end)))
}
