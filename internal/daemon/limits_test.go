package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	testStallLimit = 200 * time.Millisecond
	testTimeout    = 30 * time.Second
)

func serve(t *testing.T, handler http.HandlerFunc, maxConnections int) *httptest.Server {
	limiter := newConnectionLimiter(maxConnections)
	server := httptest.NewUnstartedServer(limitRequests(handler, 1000, testStallLimit, limiter))
	server.Config.ConnState, server.Config.ConnContext = limiter.stateChanged, withConn(0)
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	return server
}

func TestOversizedBodyIsRejected(t *testing.T) {
	read := make(chan error, 1)
	server := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		read <- err
	}, 10)
	response, err := http.Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("x", 1001)))
	qt.Assert(t, err, qt.IsNil)
	response.Body.Close()
	qt.Assert(t, <-read, qt.ErrorMatches, "http: request body too large")
}

func TestStalledBodyIsAborted(t *testing.T) {
	read := make(chan error, 1)
	server := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		read <- err
	}, 10)
	conn := dial(t, server)
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc")
	select {
	case err := <-read:
		qt.Assert(t, err, qt.IsNotNil)
	case <-time.After(testTimeout):
		t.Fatal("the handler is still waiting for the body")
	}
}

// TestStalledBodyOfRejectedRequestIsAborted checks that an unauthenticated
// client cannot hold a connection open with a stalled body that the handler
// never reads.
func TestStalledBodyOfRejectedRequestIsAborted(t *testing.T) {
	server := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "refused", http.StatusUnauthorized)
	}, 10)
	conn := dial(t, server)
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nabc")
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	raw, err := io.ReadAll(conn)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(raw), qt.Contains, "401 Unauthorized")
}

func TestClientThatDoesNotReadIsDisconnected(t *testing.T) {
	written := make(chan error, 1)
	server := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		var err error
		for err == nil {
			_, err = w.Write(make([]byte, 1<<20))
		}
		written <- err
	}, 10)
	conn := dial(t, server)
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	select {
	case err := <-written:
		qt.Assert(t, err, qt.IsNotNil)
	case <-time.After(testTimeout):
		t.Fatal("the handler is still writing")
	}
}

// TestResponseWithPausesIsNotCutOff checks that a response with pauses longer
// than the stall limit arrives complete and that its connection can be reused.
func TestResponseWithPausesIsNotCutOff(t *testing.T) {
	server := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		for range 3 {
			fmt.Fprint(w, "part ")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(2 * testStallLimit)
		}
		if r.Context().Err() == nil {
			fmt.Fprint(w, "end")
		}
	}, 10)
	conn := dial(t, server)
	reader := bufio.NewReader(conn)
	for range 2 {
		fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
		response, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(body), qt.Equals, "part part part end")
		time.Sleep(2 * testStallLimit)
	}
}

// TestIdleConnectionsDoNotBlockNewClients checks that a new client is served
// although idle connections of other clients have used up the limit, and that a
// request in progress is not cut off.
func TestIdleConnectionsDoNotBlockNewClients(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	server := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(started)
			<-finish
		}
		fmt.Fprint(w, "answer")
	}, 4)
	long := dial(t, server)
	fmt.Fprint(long, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	for range 20 {
		dial(t, server)
	}
	response, err := http.Get(server.URL)
	qt.Assert(t, err, qt.IsNil)
	response.Body.Close()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
	close(finish)
	answer, err := http.ReadResponse(bufio.NewReader(long), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.StatusCode, qt.Equals, http.StatusOK)
}

func dial(t *testing.T, server *httptest.Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// closeCounter is a connection that counts how often it is closed.
type closeCounter struct {
	net.Conn
	closed int
}

func (c *closeCounter) Close() error {
	c.closed++
	return nil
}

// TestRejectedConnectionMakesNoRoom covers new connections while all others have
// requests: each of them is closed, and none in place of one that was closed before.
func TestRejectedConnectionMakesNoRoom(t *testing.T) {
	c := qt.New(t)
	limiter := newConnectionLimiter(1)
	busy, first, second := &closeCounter{}, &closeCounter{}, &closeCounter{}
	limiter.stateChanged(busy, http.StateNew)
	limiter.stateChanged(busy, http.StateActive)
	limiter.stateChanged(first, http.StateNew)
	limiter.stateChanged(second, http.StateNew)
	c.Check(busy.closed, qt.Equals, 0)
	c.Check(first.closed, qt.Equals, 1)
	c.Check(second.closed, qt.Equals, 1)
	for _, conn := range []*closeCounter{first, second} {
		limiter.stateChanged(conn, http.StateClosed)
	}
	limiter.stateChanged(busy, http.StateIdle)
	third := &closeCounter{}
	limiter.stateChanged(third, http.StateNew)
	c.Check(third.closed, qt.Equals, 0)
	c.Check(busy.closed, qt.Equals, 1)
}

// TestRequestOnClosedConnectionDoesNotBegin guards against a request that is handled
// although its connection was closed as idle while its header was read: nobody would get
// the response.
func TestRequestOnClosedConnectionDoesNotBegin(t *testing.T) {
	c := qt.New(t)
	var begun atomic.Int32
	server := httptest.NewUnstartedServer(limitRequests(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun.Add(1)
	}), 1000, testStallLimit, nil))
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateActive {
			conn.Close()
		}
	}
	server.Start()
	conn := dial(t, server)
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	c.Assert(conn.SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	raw, _ := io.ReadAll(conn)
	c.Check(string(raw), qt.Equals, "")
	server.Close()
	c.Check(begun.Load(), qt.Equals, int32(0))
}

// TestBodyDeadline guards against a client that keeps its request by sending a byte before
// each stall limit ends.
func TestBodyDeadline(t *testing.T) {
	read := make(chan error, 1)
	server := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		SetBodyDeadline(r, time.Now().Add(2*testStallLimit))
		_, err := io.ReadAll(r.Body)
		read <- err
	}, 10)
	conn := dial(t, server)
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n")
	for range 1000 {
		select {
		case err := <-read:
			qt.Assert(t, err, qt.ErrorMatches, ".*timeout.*")
			return
		case <-time.After(testStallLimit / 4):
			fmt.Fprint(conn, "x")
		}
	}
	t.Fatal("the handler is still waiting for the body")
}

// TestAbortBody guards against a body whose reads go on after it has lost its memory, and
// against a response that is lost with it.
func TestAbortBody(t *testing.T) {
	begun, read := make(chan *http.Request, 1), make(chan error, 1)
	server := serve(t, func(w http.ResponseWriter, r *http.Request) {
		begun <- r
		_, err := io.ReadAll(r.Body)
		read <- err
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	}, 10)
	conn := dial(t, server)
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nabc")
	AbortBody(<-begun)
	qt.Assert(t, <-read, qt.ErrorMatches, ".*timeout.*")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}

// TestDialsCountUntilClosed guards against descriptors of connections to instances that are
// not counted, or counted after their end.
func TestDialsCountUntilClosed(t *testing.T) {
	c := qt.New(t)
	limiter := NewConnectionLimiter(1, 2)
	idle := &closeCounter{}
	limiter.stateChanged(idle, http.StateNew)
	dial := limiter.LimitDials(func(context.Context, string, string) (net.Conn, error) { return &closeCounter{}, nil })
	first, err := dial(context.Background(), "tcp", "")
	c.Assert(err, qt.IsNil)
	c.Check(idle.closed, qt.Equals, 0)
	second, err := dial(context.Background(), "tcp", "")
	c.Assert(err, qt.IsNil)
	c.Check(idle.closed, qt.Equals, 1)
	_, err = dial(context.Background(), "tcp", "")
	c.Check(err, qt.Equals, errNoDescriptors)
	c.Check(first.Close(), qt.IsNil)
	c.Check(first.Close(), qt.IsNil)
	_, _, attempts := limiter.Counts()
	c.Check(attempts, qt.Equals, 1)
	c.Check(second.Close(), qt.IsNil)
	failing := limiter.LimitDials(func(context.Context, string, string) (net.Conn, error) { return nil, io.EOF })
	_, err = failing(context.Background(), "tcp", "")
	c.Check(err, qt.Equals, io.EOF)
	_, _, attempts = limiter.Counts()
	c.Check(attempts, qt.Equals, 0)
}
