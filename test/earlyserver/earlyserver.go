// Package earlyserver is a server for tests that responds before it has read the whole request,
// and ends the connection in a given way.
package earlyserver

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/message"
)

const (
	// RequestBytes is the size of a request body far above the buffers between a server and a
	// client that connects with SmallBuffers: the client still writes when the connection ends.
	RequestBytes = 1 << 20
	// readBytes is what a server reads of a request before it responds.
	readBytes   = 600
	smallBuffer = 4 << 10
)

// ResetDelays are the times between a response and a reset. With some a client has read the
// response before, with others it has not.
var ResetDelays = []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond}

// Server is a server that responds early.
type Server struct {
	listener *net.TCPListener
	response string
	end      func(conn *net.TCPConn)
	requests atomic.Int64
}

// Start starts a server that sends response to each request and calls end, after which it closes
// the connection. It runs until the end of the test.
func Start(t testing.TB, response string, end func(conn *net.TCPConn)) *Server {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	s := &Server{listener: listener, response: response, end: end}
	go s.serve()
	return s
}

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests that were responded to.
func (s *Server) Requests() int { return int(s.requests.Load()) }

func (s *Server) serve() {
	for {
		conn, err := s.listener.AcceptTCP()
		if err != nil {
			return
		}
		go s.respond(conn)
	}
}

func (s *Server) respond(conn *net.TCPConn) {
	defer conn.Close()
	_ = conn.SetReadBuffer(smallBuffer)
	if _, err := io.ReadFull(conn, make([]byte, readBytes)); err != nil {
		return
	}
	s.requests.Add(1)
	if _, err := io.WriteString(conn, s.response); err == nil {
		s.end(conn)
	}
}

// ResetAfter ends a connection with a reset after a response that has not ended.
func ResetAfter(delay time.Duration) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		time.Sleep(delay)
		_ = conn.SetLinger(0)
	}
}

// EndAndReadOn ends a response in order and reads the rest of the request.
func EndAndReadOn(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// EndThenReset ends a response in order, and the connection with a reset later.
func EndThenReset(delay time.Duration) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		ResetAfter(delay)(conn)
	}
}

// SmallBuffers is for message.Transport.WrapDial: connections buffer little of what is sent.
func SmallBuffers(dial message.Dial) message.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(smallBuffer)
		}
		return conn, err
	}
}
