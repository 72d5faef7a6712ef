package dispatch

import (
	"time"
)

// windowBuckets is the number of parts in which a window is counted.
const windowBuckets = 20

// WindowBudget bounds the repeated attempts in a sliding window to a share of
// the requests in it plus a fixed part. Many attempts that fail at once, as when
// an instance leaves, are then repeated as long as requests came before. It is
// not safe for concurrent use.
type WindowBudget struct {
	window time.Duration
	ratio  float64
	slack  float64
	counts [windowBuckets]windowCount
	last   int64
}

type windowCount struct {
	requests, repeats int
}

// NewWindowBudget returns a budget that allows ratio repeats for each request
// of the last window, and slack more.
func NewWindowBudget(window time.Duration, ratio, slack float64) *WindowBudget {
	return &WindowBudget{window: window, ratio: ratio, slack: slack}
}

// SetSlack changes the fixed part.
func (b *WindowBudget) SetSlack(slack float64) { b.slack = slack }

// Request notes a new request.
func (b *WindowBudget) Request(now time.Time) {
	b.at(now).requests++
}

// Retry reports whether one more attempt is allowed, and counts it.
func (b *WindowBudget) Retry(now time.Time) bool {
	current := b.at(now)
	requests, repeats := 0, 0
	for _, count := range b.counts {
		requests += count.requests
		repeats += count.repeats
	}
	if float64(repeats+1) > b.ratio*float64(requests)+b.slack {
		return false
	}
	current.repeats++
	return true
}

// at returns the part of the window that now falls in, after the parts that are
// over were cleared.
func (b *WindowBudget) at(now time.Time) *windowCount {
	index := now.UnixNano() / int64(b.window/windowBuckets)
	for passed := b.last + 1; passed <= index && passed <= b.last+windowBuckets; passed++ {
		b.counts[passed%windowBuckets] = windowCount{}
	}
	b.last = max(b.last, index)
	return &b.counts[index%windowBuckets]
}
