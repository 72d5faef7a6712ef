package peer

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOldestPendingIsClosed checks that unauthenticated clients can hold only a
// limited number of connections, and that a connection that has completed the
// handshake is not closed.
func TestOldestPendingIsClosed(t *testing.T) {
	c := qt.New(t)
	p := newPendingConns(2)
	var near, far []net.Conn
	var handshakeDone []func()
	for range 4 {
		one, other := net.Pipe()
		defer one.Close()
		defer other.Close()
		near, far = append(near, one), append(far, other)
		handshakeDone = append(handshakeDone, p.add(one))
		if len(handshakeDone) == 1 {
			handshakeDone[0]() // the first one completes the handshake
		}
	}
	c.Assert(p.order.Len(), qt.Equals, 2)
	_, err := far[1].Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil) // the oldest one without a handshake is closed
	go func() { _, _ = near[0].Write([]byte("x")) }()
	_, err = far[0].Read(make([]byte, 1))
	c.Assert(err, qt.IsNil) // the one with a completed handshake stays open
	handshakeDone[1]()
	c.Assert(p.order.Len(), qt.Equals, 2)
}
