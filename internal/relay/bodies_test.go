package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"plantainrelay/internal/intake"
	"plantainrelay/platform/standin"
)

func newTestBodies(bufferBytes int64) *bodyStore {
	return newBodyStore(intake.NewLimits(intake.Machine{}, intake.Settings{BufferBytes: bufferBytes, WaitTime: 100 * time.Millisecond}))
}

func testOwner(client string) intake.Request {
	return intake.Request{Owner: intake.Owner{Client: client, Route: client, Customer: "firm"}, Length: -1, Deadline: time.Now().Add(time.Minute)}
}

// fill adds text to a body.
func fill(b *body, text []byte) error {
	for len(text) > 0 {
		if len(b.free()) == 0 {
			if err := b.grow(int64(len(text))); err != nil {
				return err
			}
		}
		count := copy(b.free(), text)
		b.received(count)
		text = text[count:]
	}
	return nil
}

func randomText(length int) []byte {
	text := make([]byte, length)
	for i := range text {
		text[i] = byte(rand.N(256))
	}
	return text
}

// TestReaderKeepsSegments guards against segments that are used again while an attempt that
// was given up still sends them.
func TestReaderKeepsSegments(t *testing.T) {
	c := qt.New(t)
	store := newTestBodies(8 << 20)
	text := randomText(5*segmentBytes + 17)
	b := store.open(testOwner("a"), 0, func() {})
	c.Assert(fill(b, text), qt.IsNil)
	c.Assert(b.completed(), qt.IsNil)
	first, second := b.newReader(), b.newReader()
	b.close()
	held, _ := store.used()
	c.Check(held >= int64(len(text)), qt.IsTrue)
	other := store.open(testOwner("b"), 0, func() {})
	c.Assert(fill(other, randomText(len(text))), qt.IsNil)
	for _, reader := range []io.ReadCloser{first, second} {
		got, err := io.ReadAll(reader)
		c.Check(err, qt.IsNil)
		c.Check(bytes.Equal(got, text), qt.IsTrue)
		c.Check(reader.Close(), qt.IsNil)
		c.Check(reader.Close(), qt.IsNil)
	}
	_, err := first.Read(make([]byte, 1))
	c.Check(err, qt.IsNotNil)
	other.close()
	held, unused := store.used()
	c.Check(held, qt.Equals, int64(0))
	c.Check(unused, qt.Equals, int64(12*segmentBytes))
	for range 100 {
		store.trim()
	}
	_, unused = store.used()
	c.Check(unused, qt.Equals, int64(0))
}

// TestBodyWaitsForMemory guards against a body that is refused although memory is given back
// in time, and against one that waits for good.
func TestBodyWaitsForMemory(t *testing.T) {
	c := qt.New(t)
	store := newTestBodies(1 << 20)
	first := store.open(testOwner("a"), 0, func() {})
	c.Assert(fill(first, make([]byte, 700<<10)), qt.IsNil)
	c.Assert(first.completed(), qt.IsNil)
	second := store.open(testOwner("b"), 0, func() {})
	c.Check(fill(second, make([]byte, 700<<10)), qt.Equals, errNoMemory)
	time.AfterFunc(20*time.Millisecond, first.close)
	c.Check(fill(second, make([]byte, 300<<10)), qt.IsNil)
	second.close()
}

// TestShedBodyIsAborted guards against a body that keeps its memory although it has to give
// it to another one, and against its request being sent to an instance nevertheless.
func TestShedBodyIsAborted(t *testing.T) {
	c := qt.New(t)
	store := newTestBodies(1 << 20)
	older := store.open(testOwner("a"), 0, func() {})
	var aborted atomic.Int32
	newer := store.open(testOwner("b"), 0, func() { aborted.Add(1) })
	c.Assert(fill(older, make([]byte, 200<<10)), qt.IsNil)
	c.Assert(fill(newer, make([]byte, 600<<10)), qt.IsNil)
	time.AfterFunc(20*time.Millisecond, newer.close)
	c.Check(fill(older, make([]byte, 400<<10)), qt.IsNil)
	c.Check(aborted.Load(), qt.Equals, int32(1))
	c.Check(newer.completed(), qt.Equals, errNoMemory)
}

// TestLargeBodyIsRepeatedWhole guards against a second attempt that gets another body than
// the caller has sent, with a length or in chunks.
func TestLargeBodyIsRepeatedWhole(t *testing.T) {
	for _, isChunked := range []bool{false, true} {
		for _, size := range []int{1, segmentBytes - 1, segmentBytes, segmentBytes + 1, 1 << 20} {
			t.Run(fmt.Sprintf("chunked %v, %d bytes", isChunked, size), func(t *testing.T) {
				c := qt.New(t)
				text := randomText(size)
				var runs, equal atomic.Int32
				handler := func(w http.ResponseWriter, r *http.Request) {
					got, _ := io.ReadAll(r.Body)
					if bytes.Equal(got, text) {
						equal.Add(1)
					}
					if runs.Add(1) == 1 {
						rejectAsFull(w, r)
						return
					}
					answerOK(w, r)
				}
				f := newFixture(t, handler, handler)
				response, _, err := f.do(http.MethodPost, "/look/", func(r *http.Request) {
					r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(text)), int64(size)
					if isChunked {
						r.ContentLength = -1
					}
				})
				c.Assert(err, qt.IsNil)
				c.Check(response.StatusCode, qt.Equals, http.StatusOK)
				c.Check(equal.Load(), qt.Equals, int32(2))
			})
		}
	}
}

// sendRaw sends the beginning of a request and returns the response.
func (f *fixture) sendRaw(c *qt.C, text string) *http.Response {
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(time.Minute)), qt.IsNil)
	_, err = io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	c.Assert(err, qt.IsNil)
	_, err = io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response
}

// TestHeadDecidesBeforeTheBody guards against a request that is refused only when its body has
// arrived: none of these bodies ever does.
func TestHeadDecidesBeforeTheBody(t *testing.T) {
	f := newFixture(t, func(http.ResponseWriter, *http.Request) { t.Error("an instance got the request") })
	for name, test := range map[string]struct {
		path, key, framing string
		status             int
	}{
		"unknown key":      {"/look/", "bad", "Content-Length: 1000000", http.StatusUnauthorized},
		"in chunks":        {"/look/", "bad", "Transfer-Encoding: chunked", http.StatusUnauthorized},
		"small":            {"/look/", "bad", "Content-Length: 10", http.StatusUnauthorized},
		"no route":         {"/nowhere/", "good", "Content-Length: 1000000", http.StatusNotFound},
		"too large":        {"/look/", "good", fmt.Sprintf("Content-Length: %d", maxBody+1), http.StatusRequestEntityTooLarge},
		"waits to be told": {"/look/", "bad", "Expect: 100-continue\r\nContent-Length: 1000000", http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			response := f.sendRaw(c, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s\r\n\r\n", test.path, testHost, standin.HeaderKey, test.key, test.framing))
			c.Check(response.StatusCode, qt.Equals, test.status)
			c.Check(response.Close, qt.IsTrue)
		})
	}
	// The caller may read the refusal before the handler has given its memory back.
	waitUntil(qt.New(t), func() bool {
		held, _ := f.frontend.bodies.used()
		return held == 0
	})
}

// TestRefusedSmallRequestKeepsItsConnection guards against callers that need a new connection
// after each refusal.
func TestRefusedSmallRequestKeepsItsConnection(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	response := f.sendRaw(c, fmt.Sprintf("POST /look/ HTTP/1.1\r\nHost: %s\r\n%s: bad\r\nContent-Length: 3\r\n\r\nabc", testHost, standin.HeaderKey))
	c.Check(response.StatusCode, qt.Equals, http.StatusUnauthorized)
	c.Check(response.Close, qt.IsFalse)
}

// TestNoMemoryRefusesBeforeTheRun guards against a request without memory that reaches an
// instance, and against memory that is not given back.
func TestNoMemoryRefusesBeforeTheRun(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, func(http.ResponseWriter, *http.Request) { t.Error("an instance got the request") })
	f.frontend.bodies = newTestBodies(256 << 10)
	response, _, err := f.do(http.MethodPost, "/look/", func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, 1<<20))), 1<<20
	})
	c.Assert(err, qt.IsNil)
	c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	for range 100 {
		if held, _ := f.frontend.bodies.used(); held == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("memory is not given back")
}

// TestChunkedBodyAboveTheLimitIsRefused guards against a body without a length that is taken
// beyond the limit.
func TestChunkedBodyAboveTheLimitIsRefused(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, func(http.ResponseWriter, *http.Request) { t.Error("an instance got the request") })
	response, _, err := f.do(http.MethodPost, "/look/", func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, maxBody+1))), -1
	})
	c.Assert(err, qt.IsNil)
	c.Check(response.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
}

// TestRefusalsAreLoggedOnceASecond guards against a log that grows with each client beyond
// the limits.
func TestRefusalsAreLoggedOnceASecond(t *testing.T) {
	c := qt.New(t)
	logger, hook := test.NewNullLogger()
	l := newRefusalLog(logrus.NewEntry(logger))
	for range 100 {
		l.add("one", "a", nil)
	}
	l.add("other", "a", nil)
	c.Check(hook.AllEntries(), qt.HasLen, 2)
	l.last["one"] = l.last["one"].Add(-refusalLogInterval)
	l.add("one", "b", nil)
	c.Check(hook.LastEntry().Data["count"], qt.Equals, 100)
	c.Check(hook.LastEntry().Data["client"], qt.Equals, "b")
}

// TestReleasedBodyIsNotSent guards against an attempt beside a response that has begun: the body
// of its request has been given back, and would be sent empty.
func TestReleasedBodyIsNotSent(t *testing.T) {
	c := qt.New(t)
	store := newTestBodies(1 << 20)
	held := store.open(intake.Request{Length: 3, Deadline: time.Now().Add(time.Second)}, 100, func() {})
	c.Assert(held.grow(3), qt.IsNil)
	copy(held.free()[:3], "abc")
	held.received(3)
	c.Assert(newRequest(t.Context(), &http.Request{Method: http.MethodPost, RequestURI: "/x"}, "127.0.0.1:1", held, nil), qt.IsNotNil)
	held.release()
	c.Assert(newRequest(t.Context(), &http.Request{Method: http.MethodPost, RequestURI: "/x"}, "127.0.0.1:1", held, nil), qt.IsNil)
}
