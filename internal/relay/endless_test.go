package relay

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/platform/standin"
)

// maxReadBytes bounds what is read of a response: the largest one, and read buffers.
const maxReadBytes = maxResponseBytes + 256<<10

// endlessTimeLeft is the caller's time limit, in milliseconds, for responses without an
// end. The request has to reach the instance within it.
const endlessTimeLeft = "2000"

// endlessInstance returns an instance whose responses have no end. started receives a
// value when a request has reached it, closed when its connection was closed.
func endlessInstance(id string, kind standin.EndlessResponse, interval time.Duration) (instance *standin.Backend, started, closed chan struct{}) {
	started, closed = make(chan struct{}, 16), make(chan struct{}, 16)
	instance = standin.NewBackend(standin.BackendConfig{
		ID: id, Pool: "s", Slots: 4, OnStart: func(standin.Execution) { started <- struct{}{} }, OnEndlessClosed: func() { closed <- struct{}{} },
	}, 0, nil)
	instance.SetFaults(standin.BackendFaults{Endless: kind, EndlessInterval: interval})
	return instance, started, closed
}

// countReads counts what the fixture reads from its instances.
func (f *fixture) countReads() *atomic.Int64 {
	count, read := standin.CountReads()
	f.frontend.sender.transport.WrapDial(count)
	return read
}

func newSoundInstance(id string) *standin.Backend {
	return standin.NewBackend(standin.BackendConfig{ID: id, Pool: "s", Slots: 4, OnStart: func(standin.Execution) {}}, 0, nil)
}

// endlessCases calls test for each kind of response without an end, at full speed and
// byte by byte.
func endlessCases(t *testing.T, test func(c *qt.C, kind standin.EndlessResponse, interval time.Duration)) {
	for _, kind := range standin.EndlessResponses {
		for _, interval := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("kind %d, interval %s", kind, interval), func(t *testing.T) {
				t.Parallel()
				test(qt.New(t), kind, interval)
			})
		}
	}
}

// TestEndlessResponseIsNeverTakenForComplete covers a request that may run once only. The
// caller learns within its time limit that the outcome is unknown, by status or by a
// connection that ends early; the instance's connection is closed after a bounded number
// of bytes, and another request is answered by a sound instance.
func TestEndlessResponseIsNeverTakenForComplete(t *testing.T) {
	endlessCases(t, func(c *qt.C, kind standin.EndlessResponse, interval time.Duration) {
		instance, started, closed := endlessInstance("i-0", kind, interval)
		f := newFixture(c.TB.(*testing.T), instance.ServeHTTP)
		read := f.countReads()
		response, _, err := f.do(http.MethodPost, "/once/", func(r *http.Request) { r.Header.Set(standin.HeaderTimeLeft, endlessTimeLeft) })
		if err == nil {
			c.Check(response.StatusCode == http.StatusBadGateway || response.StatusCode == http.StatusGatewayTimeout, qt.IsTrue, qt.Commentf("%d", response.StatusCode))
		}
		c.Assert(len(started), qt.Equals, 1)
		<-closed
		c.Check(read.Load() <= maxReadBytes, qt.IsTrue, qt.Commentf("%d bytes", read.Load()))
	})
}

// TestEndlessResponseIsRetriedElsewhere covers a lookup: no part of a short or slow
// response has reached the caller, so another instance answers it.
func TestEndlessResponseIsRetriedElsewhere(t *testing.T) {
	endlessCases(t, func(c *qt.C, kind standin.EndlessResponse, interval time.Duration) {
		if interval == 0 && kind >= standin.EndlessChunkedBody {
			// The start of a large body has been forwarded before the size is known.
			return
		}
		instance, _, closed := endlessInstance("i-0", kind, interval)
		f := newFixture(c.TB.(*testing.T), instance.ServeHTTP, newSoundInstance("i-1").ServeHTTP)
		// The choice between two idle instances is random.
		for {
			response, body, err := f.do(http.MethodGet, "/look/")
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, http.StatusOK)
			c.Check(body, qt.Equals, standin.ResponseBody(testAttempt))
			select {
			case <-closed:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
}

// TestEndlessStreamIsAborted covers streams: bytes that are no events are not forwarded
// without a bound, and the stream does not look complete.
func TestEndlessStreamIsAborted(t *testing.T) {
	endlessCases(t, func(c *qt.C, kind standin.EndlessResponse, interval time.Duration) {
		instance, started, closed := endlessInstance("i-0", kind, interval)
		f := newFixture(c.TB.(*testing.T), instance.ServeHTTP)
		read := f.countReads()
		response, _, err := f.do(http.MethodPost, "/fixed/", func(r *http.Request) { r.Header.Set(standin.HeaderTimeLeft, endlessTimeLeft) })
		if err == nil {
			c.Check(response.StatusCode >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%d", response.StatusCode))
		}
		c.Assert(len(started), qt.Equals, 1)
		<-closed
		c.Check(read.Load() <= maxReadBytes, qt.IsTrue, qt.Commentf("%d bytes", read.Load()))
	})
}

// TestLargeResponseIsForwardedWhole covers responses on both sides of the size from which
// a response is forwarded while it is read.
func TestLargeResponseIsForwardedWhole(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{maxBufferedBytes - 1, maxBufferedBytes, maxBufferedBytes + 1, 3 * maxBufferedBytes} {
		f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
			writeSeal(w, r)
			_, _ = w.Write(make([]byte, size))
		})
		response, body, err := f.do(http.MethodPost, "/once/")
		c.Assert(err, qt.IsNil)
		c.Check(response.StatusCode, qt.Equals, http.StatusOK)
		c.Check(len(body), qt.Equals, size)
	}
}

// TestTooLargeResponseIsNotTakenForComplete guards against a response that was cut at the
// size limit and looked complete.
func TestTooLargeResponseIsNotTakenForComplete(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		writeSeal(w, r)
		_, _ = w.Write(make([]byte, maxResponseBytes+1))
	})
	response, _, err := f.do(http.MethodPost, "/once/")
	c.Assert(err != nil || response.StatusCode == http.StatusBadGateway, qt.IsTrue)
}

// TestLargeResponseThatBreaksOffIsAborted guards against a second response, or a
// complete-looking part, after the start of a large response was forwarded.
func TestLargeResponseThatBreaksOffIsAborted(t *testing.T) {
	c := qt.New(t)
	for _, path := range []string{"/once/", "/look/", "/stream/"} {
		handler := func(w http.ResponseWriter, r *http.Request) {
			writeSeal(w, r)
			if path == "/stream/" {
				w.WriteHeader(http.StatusAccepted)
			}
			_, _ = w.Write(make([]byte, 2*maxBufferedBytes))
			w.(http.Flusher).Flush()
			resetConnection(w)
		}
		f := newFixture(t, handler, handler)
		_, body, err := f.do(http.MethodPost, path)
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", path))
		c.Check(len(body) <= 2*maxBufferedBytes, qt.IsTrue, qt.Commentf("%s: %d", path, len(body)))
	}
}
