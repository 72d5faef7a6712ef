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

// rawInstance returns an instance that answers with the given bytes, while sound is not
// set, and ends the connection.
func rawInstance(response string, sound *atomic.Bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if sound.Load() {
			answerOK(w, r)
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		// An error means that the entry has closed the connection.
		_, _ = conn.Write([]byte(response))
	}
}

// sealed returns a response with a status line and headers that belongs to testAttempt.
func sealed(statusLine, headers, body string) string {
	return fmt.Sprintf("%s\r\n%s: %s\r\n%s: seal-i-0\r\n%s\r\n%s", statusLine, standin.HeaderAttempt, testAttempt, standin.HeaderSeal, headers, body)
}

// invalidResponses are bytes that HTTP clients parse, or nearly, and that servers must not
// send.
var invalidResponses = map[string]string{
	"status 000":              sealed("HTTP/1.1 000 OK", "Content-Length: 2\r\n", "ok"),
	"status 007":              sealed("HTTP/1.1 007 OK", "Content-Length: 2\r\n", "ok"),
	"status +99":              sealed("HTTP/1.1 +99 OK", "Content-Length: 2\r\n", "ok"),
	"status -00":              sealed("HTTP/1.1 -00 OK", "Content-Length: 2\r\n", "ok"),
	"status 099, a refusal":   sealed("HTTP/1.1 099 OK", standin.HeaderNotRun+": 1\r\nContent-Length: 2\r\n", "ok"),
	"status 101":              sealed("HTTP/1.1 101 Switching Protocols", "Connection: Upgrade\r\nUpgrade: x\r\n", "ok"),
	"status 600":              sealed("HTTP/1.1 600 OK", "Content-Length: 2\r\n", "ok"),
	"status 999":              sealed("HTTP/1.1 999 OK", "Content-Length: 2\r\n", "ok"),
	"interim responses only":  strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 3),
	"two lengths":             sealed("HTTP/1.1 200 OK", "Content-Length: 2\r\nContent-Length: 3\r\n", "ok"),
	"negative length":         sealed("HTTP/1.1 200 OK", "Content-Length: -2\r\n", "ok"),
	"huge length":             sealed("HTTP/1.1 200 OK", "Content-Length: 99999999999999999999\r\n", "ok"),
	"length above the limit":  sealed("HTTP/1.1 200 OK", "Content-Length: 9223372036854775807\r\n", "ok"),
	"negative chunk":          sealed("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "-1\r\nok\r\n0\r\n\r\n"),
	"huge chunk":              sealed("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "7fffffffffffffff\r\nok"),
	"unknown coding":          sealed("HTTP/1.1 200 OK", "Transfer-Encoding: gzip, chunked\r\n", "ok"),
	"header name with spaces": sealed("HTTP/1.1 200 OK", "a b : c\r\nContent-Length: 1\r\n", ""),
	"header value with NUL":   sealed("HTTP/1.1 200 OK", "X: \x00\r\nContent-Length: 2\r\n", "ok"),
	"body with status 204":    sealed("HTTP/1.1 204 No Content", "Content-Length: 2\r\n", "ok") + "more",
	"body with status 304":    sealed("HTTP/1.1 304 Not Modified", "Content-Length: 2\r\n", "ok") + "more",
	"forbidden trailers":      sealed("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\nTrailer: Content-Length\r\n", "2\r\nok\r\n0\r\nContent-Length: 9\r\n\r\n"),
	"no bytes":                "",
	"other protocol":          "SSH-2.0-x\r\n",
}

// TestInvalidResponsesReturnTheirSlots guards against slots of a sound instance that are
// lost for good because its response cannot be forwarded (incident 0004). No caller may get
// such a response as a success.
func TestInvalidResponsesReturnTheirSlots(t *testing.T) {
	for name, raw := range invalidResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var sound atomic.Bool
			f := newFixture(t, rawInstance(raw, &sound))
			for _, path := range []string{"/once/x", "/look/x", "/stream/x", "/fixed/x"} {
				response, body, err := f.do(http.MethodPost, path, func(r *http.Request) { r.Header.Set(standin.HeaderTimeLeft, "200") })
				if err == nil && response.StatusCode == http.StatusOK {
					c.Check(body, qt.Equals, "ok", qt.Commentf(path))
				}
				c.Check(err != nil || response.StatusCode >= 200 && response.StatusCode < 600, qt.IsTrue, qt.Commentf(path))
			}
			waitUntil(c, func() bool { return f.frontend.scheduler.ownLoad("i-0").Count == 0 })
			sound.Store(true)
			waitUntil(c, func() bool {
				response, _, err := f.do(http.MethodPost, "/once/x")
				return err == nil && response.StatusCode == http.StatusOK
			})
		})
	}
}

// TestPanicReturnsTheSlot guards against slots that are lost because forwarding a response
// panics, whatever the reason.
func TestPanicReturnsTheSlot(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, answerOK)
	request, err := http.NewRequest(http.MethodPost, "/once/x", http.NoBody)
	c.Assert(err, qt.IsNil)
	request.Host, request.RequestURI = testHost, "/once/x"
	request.Header.Set(standin.HeaderAttempt, testAttempt)
	request.Header.Set(standin.HeaderKey, "good")
	c.Assert(func() { f.frontend.ServeHTTP(panickingWriter{}, request) }, qt.PanicMatches, ".*")
	c.Assert(f.frontend.scheduler.ownLoad("i-0").Count, qt.Equals, 0)
}

// panickingWriter is a response writer that panics when a response starts.
type panickingWriter struct{}

func (panickingWriter) Header() http.Header       { return http.Header{} }
func (panickingWriter) Write([]byte) (int, error) { panic("write") }
func (panickingWriter) WriteHeader(int)           { panic("write header") }
