package relay

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/platform/standin"
)

// TestErrorsDoNotEnterAStream guards against the error of a second instance, or its whole
// head, in the middle of a stream that broke off at the first one, and against a stream that
// ends there as if it were complete (incident 0008).
func TestErrorsDoNotEnterAStream(t *testing.T) {
	const words = "error: out of memory\n\n"
	write := func(status int, contentType, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			writeSeal(w, r)
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(status)
			fmt.Fprint(w, body)
		}
	}
	for name, second := range map[string]http.HandlerFunc{
		"error":                  write(http.StatusInternalServerError, "text/plain", words),
		"error as an event":      write(http.StatusInternalServerError, "text/event-stream", "id: 3\ndata: "+words),
		"not found":              write(http.StatusNotFound, "text/plain", words),
		"other success":          write(http.StatusAccepted, "text/event-stream", "id: 3\ndata: 3\n\n"),
		"error text as a stream": write(http.StatusOK, "text/event-stream", words),
		"head as a stream":       write(http.StatusOK, "text/event-stream", "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"+words),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var calls atomic.Int32
			handler := func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) > 1 {
					second(w, r)
					return
				}
				writeSeal(w, r)
				writeEvents(w, 1, 2)
				resetConnection(w)
			}
			f := newFixture(t, handler, handler)
			_, body, err := f.do(http.MethodPost, "/stream/")
			c.Assert(err, qt.IsNotNil, qt.Commentf("the stream looks complete: %s", body))
			c.Assert(body, qt.Equals, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
			c.Assert(calls.Load(), qt.Equals, int32(2))
		})
	}
}

// TestRefusalOfAnotherRequestProvesNothing guards against a request that an instance runs,
// though its caller is told that it has not run, or that runs at a second instance, because
// the instance has written the refusal of an earlier request once more (incident 0008).
func TestRefusalOfAnotherRequestProvesNothing(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusTooManyRequests} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			c := qt.New(t)
			var runs atomic.Int32
			run := func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				w.Header().Set(standin.HeaderAttempt, "earlier")
				w.Header().Set(standin.HeaderNotRun, "1")
				w.WriteHeader(status)
			}
			f := newFixture(t, run, run)
			response, body, err := f.do(http.MethodPost, "/once/")
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf(body))
			c.Assert(strings.Contains(body, "may have run"), qt.IsTrue)
			c.Assert(runs.Load(), qt.Equals, int32(1))
		})
	}
}
