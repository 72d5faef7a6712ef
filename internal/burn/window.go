package burn

import (
	"time"
)

// Window is a sliding time window over which events are counted.
type Window struct {
	Name       string        `json:"name"`
	Span       time.Duration `json:"span"`
	bucketSpan time.Duration
}

// Windows lists the windows of every report, shortest first.
var Windows = []Window{
	{Name: "5m", Span: 5 * time.Minute, bucketSpan: 10 * time.Second},
	{Name: "1h", Span: time.Hour, bucketSpan: 2 * time.Minute},
	{Name: "6h", Span: 6 * time.Hour, bucketSpan: 12 * time.Minute},
	{Name: "3d", Span: 72 * time.Hour, bucketSpan: 2 * time.Hour},
}

// Count holds the number of all events and of the bad ones.
type Count struct {
	Total uint64 `json:"total"`
	Bad   uint64 `json:"bad"`
}

func (c *Count) add(other Count) {
	c.Total += other.Total
	c.Bad += other.Bad
}

// bucketRing counts the events of one window in a ring buffer of buckets.
type bucketRing struct {
	window  Window
	buckets []Count
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
}

func newBucketRing(window Window) *bucketRing {
	return &bucketRing{window: window, buckets: make([]Count, window.Span/window.bucketSpan)}
}

// advance clears the buckets after the newest one up to that of now and returns
// the newest bucket. If the clock has stepped back, that is still the previous
// newest one.
func (r *bucketRing) advance(now time.Time) *Count {
	current := now.UnixNano() / int64(r.window.bucketSpan)
	size := int64(len(r.buckets))
	if current > r.newest {
		for cleared := max(r.newest+1, current-size+1); cleared <= current; cleared++ {
			r.buckets[cleared%size] = Count{}
		}
		r.newest = current
	}
	return &r.buckets[r.newest%size]
}

func (r *bucketRing) add(now time.Time, events Count) {
	r.advance(now).add(events)
}

// sum returns the count of the window that ends now.
func (r *bucketRing) sum(now time.Time) Count {
	r.advance(now)
	var total Count
	for _, bucket := range r.buckets {
		total.add(bucket)
	}
	return total
}
