package peer_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/peer"
)

const testTimeout = 30 * time.Second

// Echo is a net/rpc service for the tests.
type Echo struct{}

// Say returns its argument.
func (Echo) Say(text string, reply *string) error {
	*reply = text
	return nil
}

func listen(t *testing.T, security peer.Security) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := peer.NewServer(security, logrus.NewEntry(log))
	qt.Assert(t, server.Register("Echo", Echo{}), qt.IsNil)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := free.Addr().String()
	free.Close()
	qt.Assert(t, server.Listen(address), qt.IsNil)
	return address
}

func say(address string, security peer.Security) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var reply string
	return peer.NewClient(security).Call(ctx, address, "Echo.Say", "hello", &reply)
}

func TestOnlyClientsWithFleetKeyAreServed(t *testing.T) {
	c := qt.New(t)
	address := listen(t, peer.Security{Key: []byte("right")})
	c.Assert(say(address, peer.Security{Key: []byte("right")}), qt.IsNil)
	err := say(address, peer.Security{Key: []byte("wrong")})
	c.Assert(err, qt.IsNotNil)
	c.Assert(failure.Is(err, failure.Refused), qt.IsFalse)
}

func TestInvalidHandshakeClosesConnection(t *testing.T) {
	c := qt.New(t)
	address := listen(t, peer.Security{Key: []byte("right")})
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, _ = conn.Write(bytes.Repeat([]byte{0xff}, 1<<16))
	c.Assert(conn.SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	_, err = io.Copy(io.Discard, conn)
	var broken net.Error
	c.Assert(errors.As(err, &broken) && broken.Timeout(), qt.IsFalse)
	c.Assert(say(address, peer.Security{Key: []byte("right")}), qt.IsNil)
}

// TestIdleConnectionsDoNotLockOutMembers checks that a member of the fleet is
// served while more unauthenticated connections are open than may be pending.
func TestIdleConnectionsDoNotLockOutMembers(t *testing.T) {
	c := qt.New(t)
	address := listen(t, peer.Security{Key: []byte("right")})
	for range 600 {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
	}
	c.Assert(say(address, peer.Security{Key: []byte("right")}), qt.IsNil)
}

func TestAuthorized(t *testing.T) {
	c := qt.New(t)
	security := peer.Security{Key: []byte("right")}
	request := func(authorization string) *http.Request {
		return &http.Request{Header: http.Header{"Authorization": {authorization}}}
	}
	c.Check(security.Authorized(request("Bearer right")), qt.IsTrue)
	for _, wrong := range []string{"", "Bearer ", "Bearer wrong", "right", "Bearer right "} {
		c.Check(security.Authorized(request(wrong)), qt.IsFalse, qt.Commentf("%q", wrong))
	}
	security.ServerTLS = &tls.Config{}
	withoutCertificate := request("Bearer right")
	c.Check(security.Authorized(withoutCertificate), qt.IsFalse)
	withoutCertificate.TLS = &tls.ConnectionState{}
	c.Check(security.Authorized(withoutCertificate), qt.IsFalse)
	withoutCertificate.TLS.VerifiedChains = [][]*x509.Certificate{{{}}}
	c.Check(security.Authorized(withoutCertificate), qt.IsTrue)
}
