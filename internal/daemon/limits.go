package daemon

import (
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// limitRequests limits the size of each request body and the time for which a
// connection may make no progress. It aborts a request whose body stalls or
// whose caller does not read the response. The handler may take any time to
// produce the response.
func limitRequests(next http.Handler, maxBody int64, stallLimit time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writer := &deadlineWriter{ResponseWriter: w, controller: http.NewResponseController(w), stallLimit: stallLimit}
		if errors.Is(writer.extendDeadline(), net.ErrClosed) {
			// The connection was closed as idle while the request was read, so
			// nobody would receive the response.
			panic(http.ErrAbortHandler)
		}
		if r.Body != nil && r.Body != http.NoBody {
			body := &deadlineBody{ReadCloser: http.MaxBytesReader(w, r.Body, maxBody), controller: writer.controller, stallLimit: stallLimit}
			// net/http reads the part of the body that the handler leaves
			// unread, so the deadline is set even if the handler never reads.
			body.extendDeadline()
			r.Body = body
		}
		next.ServeHTTP(writer, r)
		// net/http may read the rest of the body for one stall limit before it
		// sends the rest of the response.
		_ = writer.controller.SetWriteDeadline(time.Now().Add(2 * stallLimit))
	})
}

// deadlineWriter gives each write its own deadline.
type deadlineWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	stallLimit time.Duration
}

func (w *deadlineWriter) extendDeadline() error {
	return w.controller.SetWriteDeadline(time.Now().Add(w.stallLimit))
}

// Write implements http.ResponseWriter.
func (w *deadlineWriter) Write(data []byte) (int, error) {
	_ = w.extendDeadline()
	return w.ResponseWriter.Write(data)
}

// FlushError sends the buffered data.
func (w *deadlineWriter) FlushError() error {
	_ = w.extendDeadline()
	return w.controller.Flush()
}

// Flush implements http.Flusher.
func (w *deadlineWriter) Flush() {
	_ = w.FlushError()
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *deadlineWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// deadlineBody gives each read its own deadline. net/http clears the deadline at
// the end of the body.
type deadlineBody struct {
	io.ReadCloser
	controller *http.ResponseController
	stallLimit time.Duration
}

func (b *deadlineBody) extendDeadline() {
	_ = b.controller.SetReadDeadline(time.Now().Add(b.stallLimit))
}

// Read implements io.Reader.
func (b *deadlineBody) Read(data []byte) (int, error) {
	b.extendDeadline()
	return b.ReadCloser.Read(data)
}

// connectionLimiter limits the connections of one listener. When there are too
// many, the connection that has been idle for the longest time is closed, so
// that idle connections cannot block new clients.
type connectionLimiter struct {
	mu    sync.Mutex
	limit int
	open  int
	// idle holds the connections without a request, the longest idle first.
	idle         *list.List
	idleElements map[net.Conn]*list.Element
}

func newConnectionLimiter(limit int) *connectionLimiter {
	return &connectionLimiter{limit: limit, idle: list.New(), idleElements: map[net.Conn]*list.Element{}}
}

// stateChanged tracks the state of a connection. It is the ConnState hook of an
// http.Server.
func (c *connectionLimiter) stateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open++
		if c.open > c.limit && !c.closeLongestIdle() {
			// It is not idle: closing it once more would make room for no other.
			_ = conn.Close()
			return
		}
		c.idleElements[conn] = c.idle.PushBack(conn)
	case http.StateIdle:
		c.idleElements[conn] = c.idle.PushBack(conn)
	case http.StateActive:
		c.removeIdle(conn)
	case http.StateClosed, http.StateHijacked:
		c.removeIdle(conn)
		c.open--
	}
}

func (c *connectionLimiter) removeIdle(conn net.Conn) {
	if element, found := c.idleElements[conn]; found {
		c.idle.Remove(element)
		delete(c.idleElements, conn)
	}
}

// counts returns the number of open connections and how many of them have no request.
func (c *connectionLimiter) counts() (open, idle int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.idle.Len()
}

// closeLongestIdle closes the connection that has been idle for the longest
// time and reports whether there was one. The server reports its StateClosed
// later.
func (c *connectionLimiter) closeLongestIdle() bool {
	longestIdle := c.idle.Front()
	if longestIdle == nil {
		return false
	}
	conn := longestIdle.Value.(net.Conn)
	c.removeIdle(conn)
	_ = conn.Close()
	return true
}
