package peer

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"slices"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"
	"pgregory.net/rapid"
)

// readerConn is a connection that only reads.
type readerConn struct {
	net.Conn
	io.Reader
}

func (r readerConn) Read(buffer []byte) (int, error) { return r.Reader.Read(buffer) }
func (readerConn) SetReadDeadline(time.Time) error   { return nil }

// TestMessagesPassUnchanged checks that the framing is followed wherever the bytes are
// split: all messages below the limit pass.
func TestMessagesPassUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent bytes.Buffer
		encoder := gob.NewEncoder(&sent)
		for _, size := range rapid.SliceOfN(rapid.IntRange(0, 70_000), 1, 6).Draw(t, "sizes") {
			if err := encoder.Encode(make([]byte, size)); err != nil {
				t.Fatal(err)
			}
		}
		var source io.Reader = bytes.NewReader(sent.Bytes())
		if rapid.Bool().Draw(t, "byte by byte") {
			source = iotest.OneByteReader(source)
		}
		limited := &limitedConn{Conn: readerConn{Reader: source}}
		got, err := io.ReadAll(limited)
		if err != nil || !bytes.Equal(got, sent.Bytes()) {
			t.Fatalf("%d of %d bytes, %v", len(got), sent.Len(), err)
		}
		if limited.inMessage {
			t.Fatal("a deadline remains after the last message")
		}
	})
}

func TestMessageLimits(t *testing.T) {
	c := qt.New(t)
	for name, raw := range map[string][]byte{
		"above the limit":  {0xfc, 0x01, 0x00, 0x00, 0x00},
		"length too long":  {0xf0},
		"length of a byte": {0x80},
		"empty":            {0},
	} {
		_, err := io.ReadAll(&limitedConn{Conn: readerConn{Reader: bytes.NewReader(raw)}})
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", name))
	}
}

// TestMessageLimitOfServer guards against memory for messages that are larger than any
// request to the server.
func TestMessageLimitOfServer(t *testing.T) {
	c := qt.New(t)
	raw := append([]byte{0xfe, 0x04, 0x01}, make([]byte, 1025)...)
	_, err := io.ReadAll(&limitedConn{Conn: readerConn{Reader: bytes.NewReader(raw)}, maxBytes: 1025})
	c.Check(err, qt.IsNil)
	_, err = io.ReadAll(&limitedConn{Conn: readerConn{Reader: bytes.NewReader(raw)}, maxBytes: 1024})
	c.Check(err, qt.ErrorMatches, ".*more than 1024 bytes.*")
}

// TestLargeMessagesOfManyPeersAreBounded guards against memory for large messages that several
// peers announce at the same time and never complete, and against memory that stays taken
// after their connections have ended.
func TestLargeMessagesOfManyPeersAreBounded(t *testing.T) {
	const size = 1 << 20
	c := qt.New(t)
	large := semaphore.NewWeighted(maxLargeBytes)
	announced := []byte{0xfd, size >> 16, size >> 8 & 0xff, size & 0xff}
	var open []*limitedConn
	for range 4 * maxLargeBytes / size {
		ours, theirs := net.Pipe()
		defer theirs.Close()
		go func() { _, _ = theirs.Write(announced) }()
		conn := &limitedConn{Conn: ours, large: large}
		if _, err := io.ReadFull(conn, make([]byte, len(announced))); err == nil {
			open = append(open, conn)
		} else {
			c.Check(err, qt.ErrorMatches, ".*too many large messages.*")
			c.Check(conn.Close(), qt.IsNil)
		}
	}
	c.Assert(open, qt.HasLen, maxLargeBytes/size)
	c.Check(large.TryAcquire(1), qt.IsFalse)
	small := append([]byte{0xfe, 0xff, 0xff}, make([]byte, 0xffff)...)
	_, err := io.ReadAll(&limitedConn{Conn: readerConn{Reader: bytes.NewReader(small)}, large: large})
	c.Check(err, qt.IsNil, qt.Commentf("a small message"))
	for _, conn := range open {
		c.Check(conn.Close(), qt.IsNil)
	}
	whole := append(slices.Clone(announced), make([]byte, size)...)
	_, err = io.ReadAll(&limitedConn{Conn: readerConn{Reader: bytes.NewReader(whole)}, large: large})
	c.Check(err, qt.IsNil)
	c.Check(large.TryAcquire(maxLargeBytes), qt.IsTrue)
}

// TestLimitOfConnections guards against more connections than the process has descriptors
// for, in their handshake or after it.
func TestLimitOfConnections(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := NewServer(Security{}, logrus.NewEntry(log))
	server.Limit(16, 1024)
	c.Check(server.pending.limit, qt.Equals, 2)
	c.Check(cap(server.connSlots), qt.Equals, 14)
	server.Limit(1, 1024)
	c.Check(server.pending.limit, qt.Equals, 1)
	c.Check(cap(server.connSlots), qt.Equals, 1)
}

// serveEndless accepts connections, runs the handshake and answers each first call with
// bytes that never end. It delivers the number of bytes that it could send.
func serveEndless(t *testing.T, key, start []byte, interval time.Duration) (address string, closed chan int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	closed = make(chan int64, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if serverHandshake(conn, key) != nil {
			return
		}
		sent := int64(0)
		for part := start; err == nil; part = bytes.Repeat([]byte{0}, 64<<10) {
			if interval > 0 {
				time.Sleep(interval)
				part = part[:1]
			}
			var count int
			count, err = conn.Write(part)
			sent += int64(count)
		}
		closed <- sent
	}()
	return listener.Addr().String(), closed
}

// TestEndlessReplyIsCutOff covers a peer that announces a huge reply and sends bytes until
// the connection is closed. The call fails with a bounded number of bytes read.
func TestEndlessReplyIsCutOff(t *testing.T) {
	c := qt.New(t)
	key := []byte("key")
	address, closed := serveEndless(t, key, []byte{0xfc, 0x3f, 0xff, 0xff, 0xff}, 0)
	var reply string
	err := NewClient(Security{Key: key}).Call(t.Context(), address, "Echo.Echo", "a", &reply)
	c.Assert(err, qt.IsNotNil)
	c.Assert(<-closed <= 2*maxMessageBytes, qt.IsTrue)
}

// TestEndlessSlowReplyEndsWithTheCall covers the same byte by byte: the call ends with its
// context, and the connection is closed.
func TestEndlessSlowReplyEndsWithTheCall(t *testing.T) {
	c := qt.New(t)
	key := []byte("key")
	address, closed := serveEndless(t, key, []byte{100}, 20*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	var reply string
	c.Assert(NewClient(Security{Key: key}).Call(ctx, address, "Echo.Echo", "a", &reply), qt.IsNotNil)
	<-closed
}

// TestEndlessCallIsCutOff covers a caller that sends bytes without an end to a server. The
// server closes the connection and still serves others.
func TestEndlessCallIsCutOff(t *testing.T) {
	c := qt.New(t)
	address := freeAddress(t)
	serveEcho(t, address)
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	nonce := make([]byte, nonceBytes)
	_, err = io.ReadFull(conn, nonce)
	c.Assert(err, qt.IsNil)
	c.Assert(len(handshakeMAC([]byte("key"), nonce)), qt.Equals, sha256.Size)
	_, err = conn.Write(append(handshakeMAC([]byte("key"), nonce), 0xfc, 0x3f, 0xff, 0xff, 0xff))
	sent := 0
	for ; err == nil && sent <= 8*maxMessageBytes; sent += 64 << 10 {
		_, err = conn.Write(make([]byte, 64<<10))
	}
	c.Assert(errors.Is(err, net.ErrClosed), qt.IsFalse)
	c.Assert(sent <= 2*maxMessageBytes, qt.IsTrue, qt.Commentf("%d bytes", sent))
	var reply string
	c.Assert(NewClient(Security{Key: []byte("key")}).Call(t.Context(), address, "Echo.Echo", "a", &reply), qt.IsNil)
}
