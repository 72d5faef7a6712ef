package message_test

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/message"
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\n\r\n"
	unframed     = unframedHead + "a part"
)

// connectTo returns a connection of a transport to a server that calls serve. The server waits
// until the connection is set up: a reset would make that fail.
func connectTo(c *qt.C, serve func(conn *net.TCPConn)) net.Conn {
	connected := make(chan struct{})
	defer close(connected)
	conn, err := message.NewTransport(&net.Dialer{}).DialContext(c.Context(), "tcp", listen(c, func(conn *net.TCPConn) {
		<-connected
		serve(conn)
	}))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return conn
}

// listen starts a server that calls serve for its first connection, and returns its address.
func listen(c *qt.C, serve func(conn *net.TCPConn)) string {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		defer conn.Close()
		serve(conn)
	}()
	return listener.Addr().String()
}

// reset makes the end of a connection a reset.
func reset(conn *net.TCPConn) { _ = conn.SetLinger(0) }

// writeUntilError writes until the connection has failed.
func writeUntilError(conn net.Conn) error {
	for {
		if _, err := conn.Write([]byte("request")); err != nil {
			return err
		}
	}
}

// TestResetThatAWriteWasToldIsNoEnd guards against a read that finds an orderly end after a write
// was told of a reset. The kernel keeps what arrived before, and reports the reset once.
func TestResetThatAWriteWasToldIsNoEnd(t *testing.T) {
	c := qt.New(t)
	conn := connectTo(c, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, unframed)
		reset(conn)
	})
	c.Assert(writeUntilError(conn), qt.ErrorIs, syscall.ECONNRESET)
	received, err := io.ReadAll(conn)
	c.Check(string(received), qt.Equals, unframed)
	c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
}

// TestResetOverTLSIsNoEnd guards against the same over TLS: crypto/tls takes an end between two
// records for the end of the data.
func TestResetOverTLSIsNoEnd(t *testing.T) {
	c := qt.New(t)
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	connected := make(chan struct{})
	address := listen(c, func(conn *net.TCPConn) {
		secured := tls.Server(conn, certified.TLS)
		_ = secured.Handshake()
		<-connected
		_, _ = io.WriteString(secured, unframed)
		reset(conn)
	})
	conn, err := newTrustingTransport(certified).DialTLSContext(t.Context(), "tcp", address)
	close(connected)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Assert(writeUntilError(conn), qt.ErrorIs, syscall.ECONNRESET)
	received, err := io.ReadAll(conn)
	c.Check(string(received), qt.Equals, unframed)
	c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
}

// TestResetAfterTheEndIsNoFailure guards against a whole response that counts as cut because the
// connection was reset after its end, and a write was told.
func TestResetAfterTheEndIsNoFailure(t *testing.T) {
	c := qt.New(t)
	conn := connectTo(c, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, unframed)
		_ = conn.CloseWrite()
		reset(conn)
	})
	c.Assert(writeUntilError(conn), qt.ErrorIs, syscall.EPIPE)
	received, err := io.ReadAll(conn)
	c.Check(string(received), qt.Equals, unframed)
	c.Assert(err, qt.IsNil)
}

// TestOrderlyEndEndsTheRequest covers a write that waits for a server which has ended its side and
// reads no more: it must not hold up the response.
func TestOrderlyEndEndsTheRequest(t *testing.T) {
	c := qt.New(t)
	done := make(chan struct{})
	defer close(done)
	conn := connectTo(c, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, unframed)
		_ = conn.CloseWrite()
		<-done
	})
	written := make(chan error, 1)
	go func() { written <- writeUntilError(conn) }()
	received, err := io.ReadAll(conn)
	c.Check(string(received), qt.Equals, unframed)
	c.Assert(err, qt.IsNil)
	c.Assert(<-written, qt.ErrorIs, syscall.EPIPE)
}

// scriptedConn is a connection on which a write has taken the failure of the connection and not
// returned yet when a read finds the end.
type scriptedConn struct {
	net.Conn
	sent     *bytesOnce
	writing  chan struct{}
	deadline chan struct{}
	write    error
	noLimits bool
}

// bytesOnce returns its text, and then io.EOF.
type bytesOnce struct{ text string }

func (b *bytesOnce) Read(into []byte) (int, error) {
	if b.text == "" {
		return 0, io.EOF
	}
	count := copy(into, b.text)
	b.text = b.text[count:]
	return count, nil
}

func (s *scriptedConn) Read(into []byte) (int, error) {
	<-s.writing
	return s.sent.Read(into)
}

func (s *scriptedConn) Write([]byte) (int, error) {
	close(s.writing)
	<-s.deadline
	// The read has to wait for the write, however long that takes.
	time.Sleep(20 * time.Millisecond)
	return 0, s.write
}

func (s *scriptedConn) SetWriteDeadline(time.Time) error {
	if s.noLimits {
		return os.ErrNoDeadline
	}
	close(s.deadline)
	return nil
}

func (s *scriptedConn) Close() error { return nil }

// TestEndIsDecidedAfterTheWriteInProgress guards against an end that is decided before the result
// of a write that may have taken the failure is known.
func TestEndIsDecidedAfterTheWriteInProgress(t *testing.T) {
	for name, test := range map[string]struct {
		write    error
		noLimits bool
		want     error
	}{
		"reset":        {write: &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}, want: syscall.ECONNRESET},
		"timeout":      {write: os.NewSyscallError("write", syscall.ETIMEDOUT), want: syscall.ETIMEDOUT},
		"ended by us":  {write: os.ErrDeadlineExceeded},
		"closed by us": {write: fmt.Errorf("write: %w", net.ErrClosed)},
		"reset later":  {write: os.NewSyscallError("write", syscall.EPIPE)},
		"written":      {},
		"no deadlines": {noLimits: true, want: os.ErrNoDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			scripted := &scriptedConn{sent: &bytesOnce{unframed}, writing: make(chan struct{}), deadline: make(chan struct{}), write: test.write, noLimits: test.noLimits}
			dial := func(context.Context, string, string) (net.Conn, error) { return scripted, nil }
			conn, err := newTransportOver(dial).DialContext(t.Context(), "tcp", "")
			c.Assert(err, qt.IsNil)
			written := make(chan error, 1)
			go func() {
				_, err := conn.Write([]byte("request"))
				written <- err
			}()
			received, err := io.ReadAll(conn)
			c.Check(string(received), qt.Equals, unframed)
			c.Assert(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
			if test.noLimits {
				close(scripted.deadline)
			}
			err = <-written
			c.Assert(err != nil, qt.Equals, test.write != nil)
			c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
		})
	}
}

// TestResetThatAReadWasToldStays guards against a read that finds an orderly end after another
// read was told of a reset: bufio drops an error within a line and reads again.
func TestResetThatAReadWasToldStays(t *testing.T) {
	c := qt.New(t)
	conn := connectTo(c, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, unframed)
		reset(conn)
	})
	received, err := io.ReadAll(conn)
	c.Check(string(received), qt.Equals, unframed)
	c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
	for range 3 {
		count, err := conn.Read(make([]byte, 100))
		c.Assert(count, qt.Equals, 0)
		c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
	}
}
