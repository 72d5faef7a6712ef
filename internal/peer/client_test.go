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

// Wait returns its argument when the test sends a value to release.
func (w waiter) Wait(args string, reply *string) error {
	<-w.release
	*reply = args
	return nil
}

type waiter struct{ release chan struct{} }

// TestTimeoutDoesNotBreakOtherCalls checks that a call that times out leaves the other
// calls on the same connection alone, and that the connection takes no new calls.
func TestTimeoutDoesNotBreakOtherCalls(t *testing.T) {
	c := qt.New(t)
	address, release := freeAddress(t), make(chan struct{})
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := NewServer(Security{Key: []byte("key")}, logrus.NewEntry(log))
	c.Assert(server.Register("Wait", waiter{release: release}), qt.IsNil)
	c.Assert(server.Register("Echo", echo{}), qt.IsNil)
	c.Assert(server.Listen(address), qt.IsNil)
	client := NewClient(Security{Key: []byte("key")})
	var reply string
	c.Assert(client.Call(t.Context(), address, "Echo.Echo", "a", &reply), qt.IsNil)
	shared := client.conns[address]
	patient := make(chan error)
	go func() {
		var reply string
		patient <- client.Call(t.Context(), address, "Wait.Wait", "b", &reply)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	// The reply of a call that has timed out may still be written.
	var late string
	c.Assert(client.Call(ctx, address, "Wait.Wait", "c", &late), qt.IsNotNil)
	close(release)
	c.Assert(<-patient, qt.IsNil)
	c.Assert(client.Call(t.Context(), address, "Echo.Echo", "d", &reply), qt.IsNil)
	c.Assert(client.conns[address] != shared, qt.IsTrue)
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

// TestTimeoutOnAKeptConnectionClosesTheIdleOnes guards against calls to several processes that end
// by their timeouts one after the other, because the connections to all of them have gone silent.
func TestTimeoutOnAKeptConnectionClosesTheIdleOnes(t *testing.T) {
	c := qt.New(t)
	hanging, idle, release := freeAddress(t), freeAddress(t), make(chan struct{})
	defer close(release)
	serveEcho(t, idle)
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := NewServer(Security{Key: []byte("key")}, logrus.NewEntry(log))
	c.Assert(server.Register("Wait", waiter{release: release}), qt.IsNil)
	c.Assert(server.Listen(hanging), qt.IsNil)
	client := NewClient(Security{Key: []byte("key")})
	wait := func() {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		var late string
		c.Assert(client.Call(ctx, hanging, "Wait.Wait", "a", &late), qt.IsNotNil)
	}
	var reply string
	c.Assert(client.Call(t.Context(), idle, "Echo.Echo", "a", &reply), qt.IsNil)
	kept := client.conns[idle]
	wait()
	c.Assert(client.conns[idle], qt.Equals, kept, qt.Commentf("the connection that timed out was new"))
	// A call to a method that does not exist is answered, and leaves a kept connection.
	c.Assert(client.Call(t.Context(), hanging, "Wait.Unknown", "a", &reply), qt.IsNotNil)
	wait()
	c.Assert(client.conns, qt.HasLen, 0)
	c.Assert(client.Call(t.Context(), idle, "Echo.Echo", "a", &reply), qt.IsNil)
}
