package daemon

import (
	"container/list"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// boundRequests limits the body of each request and the time for which a
// connection may make no progress: a body that stalls and a caller that does
// not read are given up, while an answer may be made for any length of time.
func boundRequests(next http.Handler, maxBody int64, stall time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		bounded := &boundedWriter{ResponseWriter: w, controller: http.NewResponseController(w), stall: stall}
		bounded.extend()
		if r.Body != nil && r.Body != http.NoBody {
			body := &boundedBody{ReadCloser: http.MaxBytesReader(w, r.Body, maxBody), controller: bounded.controller, stall: stall}
			// The server itself reads what a handler leaves unread.
			body.extend()
			r.Body = body
		}
		next.ServeHTTP(bounded, r)
		// The server may read on for one stall limit before it sends the rest.
		_ = bounded.controller.SetWriteDeadline(time.Now().Add(2 * stall))
	})
}

// boundedWriter gives each write its own deadline.
type boundedWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	stall      time.Duration
}

func (w *boundedWriter) extend() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.stall))
}

// Write implements http.ResponseWriter.
func (w *boundedWriter) Write(data []byte) (int, error) {
	w.extend()
	return w.ResponseWriter.Write(data)
}

// FlushError sends what was written.
func (w *boundedWriter) FlushError() error {
	w.extend()
	return w.controller.Flush()
}

// Flush implements http.Flusher.
func (w *boundedWriter) Flush() {
	_ = w.FlushError()
}

// Unwrap gives http.ResponseController the framework's writer.
func (w *boundedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// boundedBody gives each read its own deadline. The server lifts it at the end
// of the body.
type boundedBody struct {
	io.ReadCloser
	controller *http.ResponseController
	stall      time.Duration
}

func (b *boundedBody) extend() {
	_ = b.controller.SetReadDeadline(time.Now().Add(b.stall))
}

// Read implements io.Reader.
func (b *boundedBody) Read(data []byte) (int, error) {
	b.extend()
	return b.ReadCloser.Read(data)
}

// connections bounds the connections of one listener. When there are too many,
// the one that has been without a request for the longest time is closed, so
// that idle connections cannot keep others out.
type connections struct {
	mu    sync.Mutex
	limit int
	open  int
	// resting holds connections without a request, the oldest first.
	resting *list.List
	element map[net.Conn]*list.Element
}

func newConnections(limit int) *connections {
	return &connections{limit: limit, resting: list.New(), element: map[net.Conn]*list.Element{}}
}

// changed follows the state of a connection. It is an http.Server's ConnState.
func (c *connections) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open++
		if c.open > c.limit && !c.closeOldest() {
			_ = conn.Close()
		}
		c.element[conn] = c.resting.PushBack(conn)
	case http.StateIdle:
		c.element[conn] = c.resting.PushBack(conn)
	case http.StateActive:
		c.forget(conn)
	case http.StateClosed, http.StateHijacked:
		c.forget(conn)
		c.open--
	}
}

func (c *connections) forget(conn net.Conn) {
	if element, found := c.element[conn]; found {
		c.resting.Remove(element)
		delete(c.element, conn)
	}
}

// closeOldest closes one resting connection; its end is reported later.
func (c *connections) closeOldest() bool {
	oldest := c.resting.Front()
	if oldest == nil {
		return false
	}
	conn := oldest.Value.(net.Conn)
	c.forget(conn)
	_ = conn.Close()
	return true
}
