package daemon

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"plantainrelay/internal/intake"
)

// limitRequests limits the size of each request body and the time for which a
// connection may make no progress. It aborts a request whose body stalls or
// whose caller does not read the response. The handler may take any time to
// produce the response.
func limitRequests(next http.Handler, maxBody int64, stallLimit time.Duration, connections *ConnectionLimiter) http.Handler {
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
			if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok && connections != nil {
				body.markReading = func(isReading bool) { connections.readingBody(conn, isReading) }
			}
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
	// markReading, when set, is called when reading begins and ends.
	markReading func(isReading bool)
	isRead      bool

	mu sync.Mutex
	// deadline, when set, bounds the time for all reads.
	deadline  time.Time
	isAborted bool
}

func (b *deadlineBody) extendDeadline() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isAborted {
		return
	}
	next := time.Now().Add(b.stallLimit)
	if !b.deadline.IsZero() && b.deadline.Before(next) {
		next = b.deadline
	}
	_ = b.controller.SetReadDeadline(next)
}

// Read implements io.Reader.
func (b *deadlineBody) Read(data []byte) (int, error) {
	if !b.isRead && b.markReading != nil {
		b.markReading(true)
	}
	b.isRead = true
	b.extendDeadline()
	count, err := b.ReadCloser.Read(data)
	if err != nil && b.markReading != nil {
		b.markReading(false)
	}
	return count, err
}

// ConnectionLimiter limits the connections of one listener, and those to instances that
// the process makes for their requests. It is safe for concurrent use.
type ConnectionLimiter struct {
	mu          sync.Mutex
	connections *intake.Connections[net.Conn]
	closed      int64
	// OnClose, when set, is called with each connection that is closed to make room. It must
	// not call the limiter.
	OnClose func(net.Conn)
}

// NewConnectionLimiter returns a limiter for clients connections of callers, and limit
// connections of callers and to instances together.
func NewConnectionLimiter(clients, limit int) *ConnectionLimiter {
	return &ConnectionLimiter{connections: intake.NewConnections[net.Conn](clients, limit)}
}

func newConnectionLimiter(limit int) *ConnectionLimiter { return NewConnectionLimiter(limit, limit) }

// stateChanged tracks the state of a connection. It is the ConnState hook of an
// http.Server.
func (c *ConnectionLimiter) stateChanged(conn net.Conn, state http.ConnState) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		if closed, found := c.connections.Opened(conn, now); found {
			c.close(closed)
		}
	case http.StateIdle:
		c.connections.Idle(conn, now)
	case http.StateActive:
		c.connections.Running(conn)
	case http.StateClosed, http.StateHijacked:
		c.connections.Closed(conn)
	}
}

// readingBody records whether the body of a connection's request is still being read.
func (c *ConnectionLimiter) readingBody(conn net.Conn, isReading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isReading {
		c.connections.Reading(conn, time.Now())
	} else {
		c.connections.Running(conn)
	}
}

// close closes a connection to make room. The server reports its end later. The caller holds
// mu, so that a request that begins meanwhile finds its connection closed.
func (c *ConnectionLimiter) close(conn net.Conn) {
	c.closed++
	if c.OnClose != nil {
		c.OnClose(conn)
	}
	_ = conn.Close()
}

// Closed returns how many connections were closed to make room.
func (c *ConnectionLimiter) Closed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Counts returns the number of connections of callers, how many of them have no request, and
// that of connections to instances.
func (c *ConnectionLimiter) Counts() (clients, idle, attempts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connections.Counts()
}

// errNoDescriptors means that a connection to an instance was not made.
var errNoDescriptors = errors.New("no file descriptor is left for a connection to an instance")

// LimitDials returns a dial function whose connections count. Connections of callers without
// a request make room for them.
func (c *ConnectionLimiter) LimitDials(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if !c.beginAttempt() {
			return nil, errNoDescriptors
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			c.endAttempt()
			return nil, err
		}
		return &countedConn{Conn: conn, limiter: c}, nil
	}
}

func (c *ConnectionLimiter) beginAttempt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed, found, ok := c.connections.BeginAttempt(time.Now())
	if found {
		c.close(closed)
	}
	return ok
}

func (c *ConnectionLimiter) endAttempt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections.EndAttempt()
}

// countedConn is a connection to an instance that counts until it is closed.
type countedConn struct {
	net.Conn
	limiter *ConnectionLimiter
	closing sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.closing.Do(c.limiter.endAttempt)
	return err
}

type connKey struct{}

// withConn is the ConnContext hook of an http.Server. It bounds what the connection receives
// before it is read, and lets limitRequests find the connection of a request.
func withConn(receiveBytes int) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, conn net.Conn) context.Context {
		if tcp, ok := conn.(*net.TCPConn); ok && receiveBytes > 0 {
			// Without it, the connection receives as much as the system lets it.
			_ = tcp.SetReadBuffer(receiveBytes)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
}

// SetBodyDeadline sets the time at which reading the body of a request fails with a time-out,
// however often parts of it arrive.
func SetBodyDeadline(r *http.Request, deadline time.Time) {
	if body, ok := r.Body.(*deadlineBody); ok {
		body.mu.Lock()
		defer body.mu.Unlock()
		body.deadline = deadline
	}
}

// AbortBody makes reading the body of a request fail with a time-out now and from now on.
func AbortBody(r *http.Request) {
	if body, ok := r.Body.(*deadlineBody); ok {
		body.mu.Lock()
		defer body.mu.Unlock()
		body.isAborted = true
		_ = body.controller.SetReadDeadline(time.Now())
	}
}

// DiscardBody reads up to limit bytes of the rest of a body that nobody needs, for at most
// timeout, and reports whether that was all. An aborted body can be discarded, too.
func DiscardBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	if body, ok := r.Body.(*deadlineBody); ok {
		body.mu.Lock()
		body.isAborted, body.deadline = false, deadline
		body.mu.Unlock()
	} else if http.NewResponseController(w).SetReadDeadline(deadline) != nil {
		return false
	}
	count, err := io.CopyN(io.Discard, r.Body, limit)
	return errors.Is(err, io.EOF) && count < limit
}
