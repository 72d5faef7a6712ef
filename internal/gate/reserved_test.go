package gate_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/gate"
	"plantainrelay/internal/message"
	"plantainrelay/internal/metering"
	"plantainrelay/internal/peer"
)

// security holds the fleet key of the tests.
var security = peer.Security{Key: []byte("key")}

// newHandler returns the handler of a gate that admits one request at a time.
func newHandler(c *qt.C, backend string) http.Handler {
	g, err := gate.New(gate.Config{Incarnation: "one", MaxRunning: 1, MaxRecords: 10, MaxKeys: 10, MaxStoredResponse: 100, MaxStoredTotal: 1000})
	c.Assert(err, qt.IsNil)
	g.Open(gate.AdmittedWeights{})
	log := logrus.New()
	log.SetOutput(io.Discard)
	return gate.NewHandler(g, backend, security, metering.Discard{}, logrus.NewEntry(log))
}

// newAttempt returns a request for an attempt that the handler admits.
func newAttempt() *http.Request {
	request := httptest.NewRequest(http.MethodPost, message.PathAttempt+"/book", http.NoBody)
	security.Authorize(request.Header)
	request.Header.Set(message.HeaderAttempt, "attempt")
	request.Header.Set(message.HeaderIncarnation, "one")
	request.Header.Set(message.HeaderDeadline, strconv.FormatInt(time.Now().Add(time.Hour).UnixMilli(), 10))
	return request
}

// TestAttemptWithAnIncompleteBodyGetsNoResponse guards against an empty response with
// status 200 for an attempt whose body could not be read.
func TestAttemptWithAnIncompleteBodyGetsNoResponse(t *testing.T) {
	c := qt.New(t)
	handler := newHandler(c, "http://127.0.0.1:1")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, 2)
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL+message.PathAttempt+"/book", strings.NewReader("too long"))
	c.Assert(err, qt.IsNil)
	security.Authorize(request.Header)
	_, err = http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNotNil)
}

// TestEndlessHeaderIsCutOff covers a backend server in trouble that sends header lines
// until its connection is closed. The attempt fails, and the connection is closed after a
// bounded number of bytes.
func TestEndlessHeaderIsCutOff(t *testing.T) {
	c := qt.New(t)
	sent := make(chan int, 1)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		total, _ := io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for count := 0; err == nil; total += count {
			count, err = io.WriteString(conn, strings.Repeat("X-Padding: x\r\n", 64))
		}
		sent <- total
	}))
	defer backend.Close()
	func() {
		defer func() { _ = recover() }()
		answer := httptest.NewRecorder()
		newHandler(c, backend.URL).ServeHTTP(answer, newAttempt())
		c.Check(answer.Code != http.StatusOK, qt.IsTrue)
	}()
	total := <-sent
	c.Check(total < 8<<20, qt.IsTrue, qt.Commentf("%d bytes", total))
}

// TestBackendCannotForgeRefusals guards against a backend server that runs a
// request and forges the headers of a refusal: the entry would believe that the
// request was not started, and would run a booking twice.
func TestBackendCannotForgeRefusals(t *testing.T) {
	c := qt.New(t)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(message.HeaderRefusal, string(message.RefusalFull))
		w.Header().Set(message.HeaderAttempt, "another")
		w.WriteHeader(http.StatusConflict)
	}))
	defer backend.Close()
	answer := httptest.NewRecorder()
	newHandler(c, backend.URL).ServeHTTP(answer, newAttempt())
	c.Assert(answer.Code, qt.Equals, http.StatusConflict)
	c.Assert(answer.Header().Get(message.HeaderRefusal), qt.Equals, "")
	c.Assert(answer.Header().Get(message.HeaderAttempt), qt.Equals, "attempt")
}
