package message

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// errEnded means that the server has ended its side of a connection, so that nothing more is sent.
var errEnded = fmt.Errorf("the server ended the connection before it had received the request: %w", syscall.EPIPE)

// pastTime is a deadline that ends a write in progress.
var pastTime = time.Unix(1, 0)

// endConn is a connection whose reads return io.EOF after an orderly end only. The kernel reports
// a reset, or another failure of a connection, to one call. The next read finds an end that cannot
// be told from an orderly one. Calls of Read must not overlap.
type endConn struct {
	net.Conn
	// readFailure is what a read was told.
	readFailure error
	// writing is held by a write. writeFailure, which it guards, is what a write was told.
	writing      sync.Mutex
	writeFailure error
	// hasEnded says that a read has found the end.
	hasEnded atomic.Bool
}

// Write implements net.Conn. It fails when a read has found the end.
func (c *endConn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	count, err := c.Conn.Write(data)
	if isConnectionFailure(err) {
		c.writeFailure = err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.hasEnded.Load() {
		err = errEnded
	}
	return count, err
}

// isConnectionFailure reports whether a call has failed because the connection has. To a write,
// failures that follow an orderly end, or that were reported before, are EPIPE.
func isConnectionFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read implements net.Conn. Its error after a failure of the connection wraps that of the write.
func (c *endConn) Read(data []byte) (int, error) {
	if c.readFailure != nil {
		return 0, c.readFailure
	}
	count, err := c.Conn.Read(data)
	switch {
	case errors.Is(err, io.EOF):
		err = c.endError()
	case isConnectionFailure(err):
		c.readFailure = err
	}
	return count, err
}

// endError returns io.EOF if the end that a read has found is an orderly one. A write that was
// told of a failure began before that read, so it has to return first. Writes that wait for the
// server are ended: net/http closes the connection when a response has ended with it.
func (c *endConn) endError() error {
	c.hasEnded.Store(true)
	if err := c.SetWriteDeadline(pastTime); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("the end of the connection cannot be examined: %w", err)
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeFailure != nil {
		return fmt.Errorf("the connection failed while the request was sent: %w", c.writeFailure)
	}
	return io.EOF
}
