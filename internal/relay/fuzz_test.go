package relay

import (
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/platform/standin"
)

// FuzzInstanceResponses answers requests with arbitrary bytes. The slot of the instance has
// to be free afterwards, and a success needs the instance's seal.
func FuzzInstanceResponses(f *testing.F) {
	for _, raw := range invalidResponses {
		f.Add([]byte(raw), true)
	}
	f.Add([]byte(sealed("HTTP/1.1 200 OK", "Content-Type: text/event-stream\r\n", wholeStream)), true)
	f.Add([]byte(sealed("HTTP/1.1 200 OK", "Content-Length: 2\r\n", "ok")+"HTTP/1.1 200 OK\r\n\r\n"), false)
	f.Fuzz(func(t *testing.T, raw []byte, isStream bool) {
		c := qt.New(t)
		var sound atomic.Bool
		fixture := newFixture(t, rawInstance(string(raw), &sound))
		path := "/once/x"
		if isStream {
			path = "/stream/x"
		}
		response, _, err := fixture.do(http.MethodPost, path, func(r *http.Request) { r.Header.Set(standin.HeaderTimeLeft, "30") })
		if err == nil && response.StatusCode < 300 {
			c.Assert(response.Header.Get(standin.HeaderSeal) != "", qt.IsTrue)
		}
		waitUntil(c, func() bool { return fixture.frontend.scheduler.ownLoad("i-0").Count == 0 })
	})
}
