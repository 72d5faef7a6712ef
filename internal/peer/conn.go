// Package peer implements calls between the processes of plantainrelay over
// net/rpc, with deadlines, a shared fleet key and optional mutual TLS.
package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"io"
	"net"
	"net/rpc"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/failure"
)

const (
	nonceBytes       = 32
	handshakeTimeout = 5 * time.Second
	maxConnections   = 4096
)

// Security holds the credentials with which the processes of a fleet
// authenticate each other.
type Security struct {
	// Key is the fleet's shared key. Both sides of a connection must hold it.
	Key []byte
	// ServerTLS and ClientTLS, if set, enable TLS on every connection.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
}

func handshakeMAC(key, nonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(nonce)
	return mac.Sum(nil)
}

// serverHandshake runs the server side of the handshake: it sends a nonce and
// expects the HMAC-SHA256 of the nonce with the fleet key.
func serverHandshake(conn net.Conn, key []byte) error {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	if _, err := conn.Write(nonce); err != nil {
		return err
	}
	answer := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return err
	}
	if !hmac.Equal(answer, handshakeMAC(key, nonce)) {
		return failure.New(failure.Unauthorized, "give both processes the same fleet key", "the peer does not hold the fleet key")
	}
	return conn.SetDeadline(time.Time{})
}

// clientHandshake runs the client side of the handshake.
func clientHandshake(conn net.Conn, key []byte, deadline time.Time) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	nonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, nonce); err != nil {
		return err
	}
	if _, err := conn.Write(handshakeMAC(key, nonce)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// Server serves net/rpc to other processes of the fleet.
type Server struct {
	security  Security
	log       *logrus.Entry
	rpc       *rpc.Server
	pending   *pendingConns
	connSlots chan struct{}
	// maxRequestBytes bounds one received message.
	maxRequestBytes uint64
}

// NewServer returns a Server without services.
func NewServer(security Security, log *logrus.Entry) *Server {
	return &Server{
		security:  security,
		log:       log,
		rpc:       rpc.NewServer(),
		pending:   newPendingConns(maxPendingConns),
		connSlots: make(chan struct{}, maxConnections),
		// The largest message is a whole copy of the tables.
		maxRequestBytes: maxMessageBytes,
	}
}

// pendingShare of the connections, one in pendingShare, may be in their handshake.
const pendingShare = 8

// Limit replaces the bounds on connections and on the size of a received message. It has to
// be called before Listen.
func (s *Server) Limit(connections int, requestBytes uint64) {
	pending := max(min(connections/pendingShare, maxPendingConns), 1)
	s.pending, s.connSlots = newPendingConns(pending), make(chan struct{}, max(connections-pending, 1))
	s.maxRequestBytes = requestBytes
}

// Register registers the exported methods of service under name.
func (s *Server) Register(name string, service any) error {
	err := s.rpc.RegisterName(name, service)
	return failure.Wrap(err, failure.Internal, "report this", "service %s cannot be registered", name)
}

// Listen accepts connections at address in the background until the process
// ends.
func (s *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "free the address or change the settings", "cannot listen on the control address %s", address)
	}
	if s.security.ServerTLS != nil {
		listener = tls.NewListener(listener, s.security.ServerTLS)
	}
	go s.serve(listener)
	return nil
}

func (s *Server) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			s.log.WithError(err).Warning("a control connection could not be accepted")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go s.serveConn(conn, s.pending.add(conn))
	}
}

// serveConn runs the handshake and then serves the calls on conn. It calls
// handshakeDone when the handshake has ended.
func (s *Server) serveConn(conn net.Conn, handshakeDone func()) {
	defer conn.Close()
	err := serverHandshake(conn, s.security.Key)
	handshakeDone()
	if err != nil {
		s.log.WithError(err).Debug("control connection closed after a failed handshake")
		return
	}
	select {
	case s.connSlots <- struct{}{}:
		defer func() { <-s.connSlots }()
		s.rpc.ServeConn(&limitedConn{Conn: conn, maxBytes: s.maxRequestBytes})
	default:
		s.log.Warning("too many control connections; closed a new one")
	}
}
