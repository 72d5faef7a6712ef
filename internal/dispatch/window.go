package dispatch

import (
	"time"
)

// windowBuckets is the number of buckets of a sliding window.
const windowBuckets = 20

// WindowBudget bounds the retries in a sliding window to a share of the requests
// in it plus a fixed number. If many attempts fail at once, as when an instance
// shuts down, the earlier requests in the window allow their retries. It is not
// safe for concurrent use.
type WindowBudget struct {
	window     time.Duration
	ratio      float64
	slack      float64
	buckets    [windowBuckets]bucket
	lastBucket int64
}

type bucket struct {
	requests, retries int
}

// NewWindowBudget returns a budget that allows ratio retries for each request in
// the last window, plus slack.
func NewWindowBudget(window time.Duration, ratio, slack float64) *WindowBudget {
	return &WindowBudget{window: window, ratio: ratio, slack: slack}
}

// SetLimits changes the window and the ratio. The retries of the last window still
// count, so that a change does not allow them once more. The requests only count if the
// window stays the same.
func (b *WindowBudget) SetLimits(window time.Duration, ratio float64, now time.Time) {
	b.ratio = ratio
	if window == b.window {
		return
	}
	b.bucketAt(now)
	_, retries := b.totals()
	b.window, b.buckets, b.lastBucket = window, [windowBuckets]bucket{}, 0
	b.bucketAt(now).retries = retries
}

// SetSlack changes the fixed number of retries.
func (b *WindowBudget) SetSlack(slack float64) { b.slack = slack }

// RecordRequest records a new request.
func (b *WindowBudget) RecordRequest(now time.Time) {
	b.bucketAt(now).requests++
}

// TryRetry reports whether one more attempt is allowed, and if so counts it.
func (b *WindowBudget) TryRetry(now time.Time) bool {
	if !b.Allows(now) {
		return false
	}
	b.bucketAt(now).retries++
	return true
}

// ReturnRetry takes back a retry that TryRetry counted at takenAt and that was not made.
func (b *WindowBudget) ReturnRetry(takenAt, now time.Time) {
	b.bucketAt(now)
	index := b.index(takenAt)
	if index <= b.lastBucket-windowBuckets {
		return
	}
	taken := &b.buckets[index%windowBuckets]
	taken.retries = max(taken.retries-1, 0)
}

// Allows reports whether TryRetry would allow one more attempt.
func (b *WindowBudget) Allows(now time.Time) bool {
	b.bucketAt(now)
	requests, retries := b.totals()
	return float64(retries+1) <= b.ratio*float64(requests)+b.slack
}

// totals returns the requests and the retries in the window.
func (b *WindowBudget) totals() (requests, retries int) {
	for _, bucket := range b.buckets {
		requests += bucket.requests
		retries += bucket.retries
	}
	return requests, retries
}

// bucketAt clears the buckets that have left the window, and returns the bucket for
// now.
func (b *WindowBudget) bucketAt(now time.Time) *bucket {
	index := b.index(now)
	for expired := b.lastBucket + 1; expired <= index && expired <= b.lastBucket+windowBuckets; expired++ {
		b.buckets[expired%windowBuckets] = bucket{}
	}
	b.lastBucket = max(b.lastBucket, index)
	return &b.buckets[index%windowBuckets]
}

func (b *WindowBudget) index(at time.Time) int64 {
	return at.UnixNano() / int64(b.window/windowBuckets)
}
