package daemon

import (
	"container/list"
	"net/http"
	"sync"
	"time"
)

// requestTracker knows the requests in progress of one listener.
type requestTracker struct {
	mu sync.Mutex
	// started holds the start times of the requests in progress, the oldest first.
	started *list.List
}

func newRequestTracker() *requestTracker {
	return &requestTracker{started: list.New()}
}

// track returns a handler that records each request while next handles it.
func (t *requestTracker) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer t.end(t.begin())
		next.ServeHTTP(w, r)
	})
}

func (t *requestTracker) begin() *list.Element {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.started.PushBack(time.Now())
}

func (t *requestTracker) end(request *list.Element) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started.Remove(request)
}

// inProgress returns the number of requests in progress and the start of the oldest one,
// which is zero if there are none.
func (t *requestTracker) inProgress() (count int, oldest time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if first := t.started.Front(); first != nil {
		oldest = first.Value.(time.Time)
	}
	return t.started.Len(), oldest
}
