package peer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

type echo struct{}

// Echo returns its argument.
func (echo) Echo(args string, reply *string) error {
	*reply = args
	return nil
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	return listener.Addr().String()
}

func serveEcho(t *testing.T, address string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := NewServer(Security{Key: []byte("key")}, logrus.NewEntry(log))
	qt.Assert(t, server.Register("Echo", echo{}), qt.IsNil)
	qt.Assert(t, server.Listen(address), qt.IsNil)
}

// TestUnusedConnectionsAreClosed checks that idle connections are closed.
// Otherwise exchanges with random peers would keep a connection open to every
// instance of the fleet.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	addresses := []string{freeAddress(t), freeAddress(t)}
	client := NewClient(Security{Key: []byte("key")})
	client.idleTimeout = 0
	for _, address := range addresses {
		serveEcho(t, address)
		for range 2 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			var reply string
			qt.Assert(t, client.Call(ctx, address, "Echo.Echo", "a", &reply), qt.IsNil)
			cancel()
			qt.Check(t, reply, qt.Equals, "a")
		}
	}
	qt.Check(t, client.conns, qt.HasLen, 1)
	qt.Check(t, client.conns[addresses[1]].activeCalls, qt.Equals, 0)
}
