package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startEchoServer starts a server that echoes data, and returns its address.
func startEchoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func TestStallBlocksDataUntilResume(t *testing.T) {
	c := qt.New(t)
	network := NewNetwork(func(string, string) LinkConfig { return LinkConfig{Delay: time.Millisecond, BytesPerSecond: 1 << 20} })
	defer network.Close()
	upstream := startEchoServer(t)
	address, err := network.Address("a", "b", upstream)
	c.Assert(err, qt.IsNil)
	c.Assert(address, qt.Not(qt.Equals), upstream)
	c.Assert(network.Upstream(address), qt.Equals, upstream)
	direct, err := network.Address("a", "a", upstream)
	c.Assert(err, qt.IsNil)
	c.Assert(direct, qt.Equals, upstream)

	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	assertEcho(c, conn)
	resume := network.Stall("b", "a")
	_, err = conn.Write([]byte("held"))
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)), qt.IsNil)
	_, err = conn.Read(make([]byte, 4))
	c.Assert(err, qt.IsNotNil)
	resume()
	c.Assert(conn.SetReadDeadline(time.Now().Add(time.Minute)), qt.IsNil)
	answer := make([]byte, 4)
	_, err = io.ReadFull(conn, answer)
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer), qt.Equals, "held")
	c.Assert(network.Bytes("a", "b"), qt.Equals, int64(8))
	c.Assert(network.Bytes("b", "a"), qt.Equals, int64(8))
}

func assertEcho(c *qt.C, conn net.Conn) {
	_, err := conn.Write([]byte("ping"))
	c.Assert(err, qt.IsNil)
	answer := make([]byte, 4)
	_, err = io.ReadFull(conn, answer)
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer), qt.Equals, "ping")
}
