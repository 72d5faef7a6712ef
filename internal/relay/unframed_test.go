package relay

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/platform/standin"
)

// unframedResult is what a caller gets of an unframed response.
type unframedResult struct {
	status  int
	body    string
	visible bool
}

func (f *engineFixture) unframed(response *http.Response, body string, err error) unframedResult {
	result := unframedResult{body: body, visible: err != nil}
	if response != nil {
		result.status = response.StatusCode
	}
	return result
}

// TestUnframedStreams guards against a stream without a length that is cut and looks
// complete, and against one that is complete and looks cut: a second instance would generate
// it again. A cut one goes on at another instance.
func TestUnframedStreams(t *testing.T) {
	const events = 5
	var whole strings.Builder
	for id := 1; id <= events; id++ {
		whole.WriteString(standin.StreamEvent("body", id))
	}
	for name, test := range map[string]struct {
		kind     standin.UnframedResponse
		arrivals int64
	}{
		"whole":               {standin.UnframedWhole, 1},
		"cut inside an event": {standin.UnframedCut, 2},
		"reset":               {standin.UnframedReset, 2},
		"ended without event": {standin.UnframedEmpty, 2},
		"kept open":           {standin.UnframedKept, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newEngineFixture(t, 2)
			f.list(1)
			f.engines[0].SetFaults(standin.BackendFaults{Unframed: test.kind})
			done := make(chan unframedResult, 1)
			go func() {
				response, body, err := f.write("attempt", events, firstPart)
				done <- f.unframed(response, body, err)
			}()
			waitUntil(c, func() bool { return f.arrivals.Load() == 1 })
			f.list(2)
			c.Assert(<-done, qt.Equals, unframedResult{status: http.StatusOK, body: whole.String()})
			c.Assert(f.arrivals.Load(), qt.Equals, test.arrivals)
		})
	}
}

// TestCutUnframedStreamIsVisiblyBroken covers a cut stream that no other instance can go on
// with, and one above the limit.
func TestCutUnframedStreamIsVisiblyBroken(t *testing.T) {
	for name, kind := range map[string]standin.UnframedResponse{"cut inside an event": standin.UnframedCut, "reset": standin.UnframedReset, "above the limit": standin.UnframedHuge} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newEngineFixture(t, 1)
			f.engines[0].SetFaults(standin.BackendFaults{Unframed: kind})
			_, _, err := f.write("attempt", 5, firstPart)
			c.Assert(err, qt.IsNotNil)
		})
	}
}

// TestUnframedResponses is the same for responses that are not streams. A request that may
// be repeated is answered by another instance, one that may not gets no success.
func TestUnframedResponses(t *testing.T) {
	for name, test := range map[string]struct {
		kind             standin.UnframedResponse
		retried          bool
		repeatable, once int
	}{
		"whole":           {standin.UnframedWhole, false, http.StatusOK, http.StatusOK},
		"reset":           {standin.UnframedReset, true, http.StatusOK, http.StatusBadGateway},
		"kept open":       {standin.UnframedKept, true, http.StatusOK, http.StatusGatewayTimeout},
		"above the limit": {standin.UnframedHuge, false, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for path, want := range map[string]int{"/look/x": test.repeatable, "/once/x": test.once} {
				f, backends := newBackendFixture(t, 1)
				backends[0].SetFaults(standin.BackendFaults{Unframed: test.kind})
				if want == test.repeatable && test.retried {
					f, backends = newBackendFixture(t, 2)
					backends[0].SetFaults(standin.BackendFaults{Unframed: test.kind})
				}
				for backends[0].requests.Load() == 0 {
					response, body, err := f.do(http.MethodPost, path, func(r *http.Request) { r.Header.Set(standin.HeaderTimeLeft, "1500") })
					if want == 0 {
						c.Assert(err, qt.IsNotNil)
						continue
					}
					c.Assert(err, qt.IsNil)
					c.Assert(response.StatusCode, qt.Equals, want, qt.Commentf(path))
					c.Assert(want != http.StatusOK || body == standin.ResponseBody(testAttempt), qt.IsTrue, qt.Commentf(body))
				}
			}
		})
	}
}
