package hostile_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// manyConns exceeds the descriptors that the settings allow, manyBodies times
	// maxBodyBytes the memory.
	manyConns  = 150
	manyBodies = 100
	// finishing is the share of the clients that complete their bodies: one in finishing.
	finishing = 10
	// sendTimeout bounds how long a crowd sends.
	sendTimeout = 10 * time.Second
	// pieceBytes is the size of a piece of a body that is sent piece by piece.
	pieceBytes = 64 << 10
	// singleByteBodyBytes is smaller than maxBodyBytes, since each byte of the body is six
	// bytes on the connection.
	singleByteBodyBytes = 2 << 20
)

// play lets a crowd of clients send to an entry. Each gets its connection, which stays open
// until all have sent what they send and an ordinary request has been served.
func (e *entry) play(count int, client func(number int, conn net.Conn)) {
	e.t.Helper()
	stop := make(chan struct{})
	var watcher, crowd sync.WaitGroup
	watcher.Go(func() { e.watchDescriptors(stop) })
	var mu sync.Mutex
	var open []net.Conn
	for number := range count {
		crowd.Go(func() {
			conn, err := net.DialTimeout("tcp", e.address, time.Second)
			if err != nil {
				// The entry may refuse such clients.
				return
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			// An error means that the entry has closed the connection, which it may.
			_ = conn.SetDeadline(time.Now().Add(sendTimeout))
			client(number, conn)
		})
	}
	crowd.Wait()
	e.awaitServed(startTimeout)
	close(stop)
	watcher.Wait()
	for _, conn := range open {
		conn.Close()
	}
	e.checkBounds()
}

// checkBounds checks the memory and the descriptors that the entry has used.
func (e *entry) checkBounds() {
	e.t.Helper()
	e.checkMemory()
	descriptors := e.maxOpen.Load()
	e.t.Logf("%d open descriptors", descriptors)
	qt.Check(e.t, descriptors <= maxDescriptors-reservedDescriptors, qt.IsTrue,
		qt.Commentf("%d open descriptors, %d may be used", descriptors, maxDescriptors-reservedDescriptors))
}

func (p *process) checkMemory() {
	p.t.Helper()
	p.checkRuns()
	peak := p.peakMemory()
	p.t.Logf("peak memory %d MB", peak>>20)
	qt.Check(p.t, peak < memoryMb<<20, qt.IsTrue, qt.Commentf("peak memory %d MB, the machine has %d MB", peak>>20, memoryMb))
}

// repeat writes text until the other side closes the connection or the deadline ends.
func repeat(conn net.Conn, text string) {
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// writeInPieces writes count bytes in pieces with pause between them.
func writeInPieces(conn net.Conn, count, piece int, pause time.Duration, encode func(piece string) string) error {
	text := strings.Repeat("x", piece)
	for count > 0 {
		if _, err := io.WriteString(conn, encode(text[:min(piece, count)])); err != nil {
			return err
		}
		count -= piece
		time.Sleep(pause)
	}
	return nil
}

func plain(piece string) string { return piece }

func chunk(piece string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece) }

// sentBytes returns how much of a body a client sends: most stop just before its end.
func sentBytes(number, length int) int {
	if number%finishing == 0 {
		return length
	}
	return length - 1
}

// TestHeadsWithoutEnd guards against an entry that runs out of descriptors or memory because
// of clients whose heads do not end.
func TestHeadsWithoutEnd(t *testing.T) {
	startEntry(t, maxBodyBytes).play(manyConns, func(number int, conn net.Conn) {
		unfinished := strings.TrimSuffix(head("/small/1"), "\r\n")
		if _, err := io.WriteString(conn, unfinished); err != nil || number%2 == 0 {
			// Half of the clients send a part of a head and nothing more.
			return
		}
		repeat(conn, "X-Filler: "+strings.Repeat("y", 1000)+"\r\n")
	})
}

// TestEmptyLinesWithoutEnd guards against the same with empty lines before the request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	startEntry(t, maxBodyBytes).play(manyConns, func(_ int, conn net.Conn) { repeat(conn, strings.Repeat("\r\n", 1000)) })
}

// TestBodiesAtOnce guards against an entry that runs out of memory because of many large
// bodies within the limit that end just before their last byte.
func TestBodiesAtOnce(t *testing.T) {
	const length = maxBodyBytes - 100
	body := strings.Repeat("x", length)
	startEntry(t, maxBodyBytes).play(manyBodies, func(number int, conn net.Conn) {
		// The entry may close the connection.
		_, _ = io.WriteString(conn, head("/small/1", "Content-Length: "+strconv.Itoa(length))+body[:sentBytes(number, length)])
	})
}

// TestBodiesInPieces guards against the same where the bodies arrive piece by piece, so that
// all of them grow at the same time.
func TestBodiesInPieces(t *testing.T) {
	const length = maxBodyBytes - 100
	startEntry(t, maxBodyBytes).play(manyBodies, func(number int, conn net.Conn) {
		if _, err := io.WriteString(conn, head("/small/1", "Content-Length: "+strconv.Itoa(length))); err == nil {
			// The entry may close the connection.
			_ = writeInPieces(conn, sentBytes(number, length), pieceBytes, 20*time.Millisecond, plain)
		}
	})
}

// TestLargeChunks guards against bodies without a length in large chunks.
func TestLargeChunks(t *testing.T) {
	startEntry(t, maxBodyBytes).play(manyBodies, func(number int, conn net.Conn) {
		sendChunks(conn, number, maxBodyBytes-100, pieceBytes)
	})
}

// TestSingleByteChunks guards against bodies without a length in chunks of one byte, which
// cost the most time for each byte.
func TestSingleByteChunks(t *testing.T) {
	startEntry(t, singleByteBodyBytes).play(manyBodies, func(number int, conn net.Conn) {
		sendSingleBytes(conn, number, singleByteBodyBytes-100)
	})
}

func sendChunks(conn net.Conn, number, length, size int) {
	if _, err := io.WriteString(conn, head("/small/1", "Transfer-Encoding: chunked")); err != nil {
		return
	}
	if writeInPieces(conn, length, size, 0, chunk) == nil && number%finishing == 0 {
		// The entry may close the connection.
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// sendSingleBytes sends a body in chunks of one byte, many of them in each write.
func sendSingleBytes(conn net.Conn, number, length int) {
	if _, err := io.WriteString(conn, head("/small/1", "Transfer-Encoding: chunked")); err != nil {
		return
	}
	many := strings.Repeat(chunk("x"), 8<<10)
	for ; length > 0; length -= 8 << 10 {
		if _, err := io.WriteString(conn, many[:min(length, 8<<10)*len(chunk("x"))]); err != nil {
			return
		}
	}
	if number%finishing == 0 {
		// The entry may close the connection.
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// TestSlowReaders guards against an entry that keeps large responses in memory for clients
// that do not read them.
func TestSlowReaders(t *testing.T) {
	startEntry(t, maxBodyBytes).play(manyConns, func(number int, conn net.Conn) {
		if _, err := io.WriteString(conn, head("/large/1", "Content-Length: 0")); err != nil || number%2 == 0 {
			return
		}
		// Half of the clients read a few bytes at a time.
		for range 20 {
			if _, err := conn.Read(make([]byte, 100)); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// TestLargestBodyIsServed guards against limits that reject a single request inside the
// tables' limits.
func TestLargestBodyIsServed(t *testing.T) {
	e := startEntry(t, maxBodyBytes)
	for range 3 {
		status, err := e.request([]byte(strings.Repeat("x", maxBodyBytes-100)))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, status, qt.Equals, http.StatusOK)
	}
}
