// Package rawserver is a server for tests that answers requests with given bytes.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Server is a server that answers requests with given bytes.
type Server struct {
	listener    net.Listener
	responses   []string
	connections atomic.Int64
}

// Start starts a server that answers the requests on each connection with the responses in turn,
// and closes the connection after the last one. It runs until the end of the test.
func Start(t testing.TB, responses ...string) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	s := &Server{listener: listener, responses: responses}
	go s.serve()
	return s
}

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Connections returns the number of connections that were accepted.
func (s *Server) Connections() int { return int(s.connections.Load()) }

func (s *Server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go s.answer(conn)
	}
}

func (s *Server) answer(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, response := range s.responses {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		// An unread body would turn the end of the connection into a reset.
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}
