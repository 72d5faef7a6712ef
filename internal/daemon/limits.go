package daemon

import (
	"container/list"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// boundRequests limits the size of each request body and the time for which a
// connection may make no progress. It aborts a request whose body stalls or whose
// caller does not read the response. The handler may take any time to produce the
// response.
func boundRequests(next http.Handler, maxBody int64, stall time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		bounded := &boundedWriter{ResponseWriter: w, controller: http.NewResponseController(w), stall: stall}
		bounded.extend()
		if r.Body != nil && r.Body != http.NoBody {
			body := &boundedBody{ReadCloser: http.MaxBytesReader(w, r.Body, maxBody), controller: bounded.controller, stall: stall}
			// net/http reads the part of the body that the handler leaves unread, so
			// the deadline is set even if the handler never reads.
			body.extend()
			r.Body = body
		}
		next.ServeHTTP(bounded, r)
		// net/http may read the rest of the body for one stall limit before it
		// sends the rest of the response.
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

// FlushError sends the buffered data.
func (w *boundedWriter) FlushError() error {
	w.extend()
	return w.controller.Flush()
}

// Flush implements http.Flusher.
func (w *boundedWriter) Flush() {
	_ = w.FlushError()
}

// Unwrap returns the framework's writer to http.ResponseController.
func (w *boundedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// boundedBody gives each read its own deadline. net/http clears the deadline at
// the end of the body.
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

// connections limits the connections of one listener. When there are too many,
// the connection that has been idle for the longest time is closed, so that idle
// connections cannot block new clients.
type connections struct {
	mu    sync.Mutex
	limit int
	open  int
	// resting holds the connections without a request, the longest idle first.
	resting *list.List
	element map[net.Conn]*list.Element
}

func newConnections(limit int) *connections {
	return &connections{limit: limit, resting: list.New(), element: map[net.Conn]*list.Element{}}
}

// changed tracks the state of a connection. It is the ConnState hook of an
// http.Server.
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

// closeOldest closes the connection that has been idle for the longest time and
// reports whether there was one. The server reports its StateClosed later.
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
