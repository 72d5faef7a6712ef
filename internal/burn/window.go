package burn

import (
	"time"
)

// Window is a sliding time window over which events are counted.
type Window struct {
	Name   string        `json:"name"`
	Span   time.Duration `json:"span"`
	bucket time.Duration
}

// Windows lists the windows of every report, shortest first.
var Windows = []Window{
	{Name: "5m", Span: 5 * time.Minute, bucket: 10 * time.Second},
	{Name: "1h", Span: time.Hour, bucket: 2 * time.Minute},
	{Name: "6h", Span: 6 * time.Hour, bucket: 12 * time.Minute},
	{Name: "3d", Span: 72 * time.Hour, bucket: 2 * time.Hour},
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

// wheel counts the events of one window in a ring buffer of buckets.
type wheel struct {
	window  Window
	buckets []Count
	// last is the number of the newest bucket, counted from the Unix epoch.
	last int64
}

func newWheel(window Window) *wheel {
	return &wheel{window: window, buckets: make([]Count, window.Span/window.bucket)}
}

// advance clears the buckets after the newest one up to that of now and returns
// the newest bucket. If the clock has stepped back, that is still the previous
// newest one.
func (w *wheel) advance(now time.Time) *Count {
	number := now.UnixNano() / int64(w.window.bucket)
	size := int64(len(w.buckets))
	if number > w.last {
		for empty := max(w.last+1, number-size+1); empty <= number; empty++ {
			w.buckets[empty%size] = Count{}
		}
		w.last = number
	}
	return &w.buckets[w.last%size]
}

func (w *wheel) add(now time.Time, events Count) {
	w.advance(now).add(events)
}

// sum returns the count of the window that ends now.
func (w *wheel) sum(now time.Time) Count {
	w.advance(now)
	var total Count
	for _, bucket := range w.buckets {
		total.add(bucket)
	}
	return total
}
