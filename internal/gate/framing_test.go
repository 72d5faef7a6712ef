package gate

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/message"
	"plantainrelay/internal/peer"
)

// newExecution returns an attempt that was started at the backend server.
func newExecution(c *qt.C, backend string) (*execution, *httptest.ResponseRecorder) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := openGate(c, Config{MaxRunning: 10, MaxRecords: 10, MaxStoredResponse: 100})
	recorder := httptest.NewRecorder()
	return &execution{handler: NewHandler(g, backend, peer.Security{}, nil, logrus.NewEntry(log)), attempt: "a", w: recorder}, recorder
}

// TestCutResponseIsNotMarkedComplete guards against a response of the backend server that was
// cut in its head or body, or whose framing, status or head is malformed, and is marked as complete
// or stored.
func TestCutResponseIsNotMarkedComplete(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"
	responses := []string{
		"HTTP/1.1 200 OK\r\nContent-Length : 6\r\n\r\nans", "HTTP/1.1 200 OK\r\ncontent-length  : 6\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n6\r\nans", "HTTP/1.1 103 Early Hints\r\n\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 6\r\n\r\nanswer", "HTTP/1.1 099 OK\r\n\r\nanswer", "HTTP/1.1 600 OK\r\nContent-Length: 6\r\n\r\nanswer",
		"HTTP/1.1 200 OK\r\nFoo Bar: x\r\nContent-Length: 6\r\n\r\nanswer", "HTTP/1.1 200 OK\r\nFoo: x\r\n y: z\r\nContent-Length: 6\r\n\r\nanswer",
	}
	for cut := range whole {
		responses = append(responses, whole[:cut])
	}
	for _, raw := range responses {
		c := qt.New(t)
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			conn, _, err := w.(http.Hijacker).Hijack()
			c.Check(err, qt.IsNil)
			_, _ = io.WriteString(conn, raw)
			conn.Close()
		}))
		e, recorder := newExecution(c, backend.URL)
		request := httptest.NewRequest(http.MethodPost, "/booking", nil)
		c.Check(func() { e.serve(request, "/booking", nil, time.Now().Add(time.Minute)) }, qt.PanicMatches, http.ErrAbortHandler.Error(), qt.Commentf("%q", raw))
		c.Check(e.stored, qt.IsNil)
		c.Check(recorder.Header().Get(message.HeaderComplete), qt.Equals, "")
		backend.Close()
	}
}
