package relay

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/platform/standin"
	"plantainrelay/test/earlyserver"
)

// resetRepetitions is how often a request of each case has to reach the instance: which goroutine
// of the entry learns of a reset first differs from run to run. On a busy machine a request may
// not reach it in time.
const (
	resetRepetitions = 3
	maxResetTries    = 20
)

// unframedHeads are the beginnings of responses that end with their connection.
func unframedHeads() map[string]string {
	return map[string]string{
		"HTTP/1.1":        sealed("HTTP/1.1 200 OK", "", ""),
		"HTTP/1.1, close": sealed("HTTP/1.1 201 Created", "Connection: close\r\n", ""),
		"HTTP/1.0":        sealed("HTTP/1.0 200 OK", "", ""),
	}
}

// newUploadFixture returns an entry with one instance, to which a request goes once.
func newUploadFixture(t *testing.T, instance *earlyserver.Server) *fixture {
	t.Helper()
	f := newFixture(t)
	f.allowNoRetries()
	f.frontend.sender.transport.WrapDial(earlyserver.SmallBuffers)
	f.listTimes(maxResetTries, instance.Address())
	return f
}

// upload sends a request with a long body.
func (f *fixture) upload(path string) (*http.Response, string, error) {
	return f.do(http.MethodPost, path, func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, earlyserver.RequestBytes))), earlyserver.RequestBytes
		r.Header.Set(standin.HeaderTimeLeft, "8000")
	})
}

// TestResponseResetDuringAnUploadIsNeverComplete guards against a part of a response without a
// length that reaches the caller as complete because its instance reset the connection while the
// request was still sent: the kernel reports a reset once, and it may report it to the writer.
func TestResponseResetDuringAnUploadIsNeverComplete(t *testing.T) {
	for name, head := range unframedHeads() {
		for _, path := range requestKinds {
			for _, delay := range earlyserver.ResetDelays {
				t.Run(fmt.Sprintf("%s, %s, %v", name, path, delay), func(t *testing.T) {
					t.Parallel()
					instance := earlyserver.Start(t, head+firstEvents, earlyserver.ResetAfter(delay))
					f := newUploadFixture(t, instance)
					for try := 1; try <= maxResetTries && instance.Requests() < resetRepetitions; try++ {
						response, body, err := f.upload(path)
						qt.Check(t, isComplete(response, err), qt.IsFalse, qt.Commentf("%q", body))
						qt.Check(t, instance.Requests() <= try, qt.IsTrue)
					}
					qt.Check(t, instance.Requests() >= resetRepetitions, qt.IsTrue)
				})
			}
		}
	}
}

// TestResponseBeforeTheEndOfAnUploadArrives guards against a complete response that counts as
// broken because its instance had not read the whole request when it responded.
func TestResponseBeforeTheEndOfAnUploadArrives(t *testing.T) {
	responses := map[string]string{"length": withLength(firstEvents), "chunks": sealed("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", chunked(firstEvents))}
	for name, head := range unframedHeads() {
		responses[name] = head + firstEvents
	}
	for name, raw := range responses {
		for _, path := range requestKinds {
			t.Run(name+", "+path, func(t *testing.T) {
				t.Parallel()
				response, body, err := newUploadFixture(t, earlyserver.Start(t, raw, earlyserver.EndAndReadOn)).upload(path)
				qt.Assert(t, isComplete(response, err), qt.IsTrue, qt.Commentf("%v, %v", response, err))
				qt.Check(t, body, qt.Equals, firstEvents)
			})
		}
	}
}

// TestResetAfterTheEndOfAResponse guards against a short body of a response that ended in order,
// and whose connection was reset later because the request went on: it arrives whole, or is no
// success.
func TestResetAfterTheEndOfAResponse(t *testing.T) {
	for name, head := range unframedHeads() {
		for _, path := range requestKinds {
			for _, delay := range earlyserver.ResetDelays {
				t.Run(fmt.Sprintf("%s, %s, %v", name, path, delay), func(t *testing.T) {
					t.Parallel()
					instance := earlyserver.Start(t, head+firstEvents, earlyserver.EndThenReset(delay))
					response, body, err := newUploadFixture(t, instance).upload(path)
					if isComplete(response, err) {
						qt.Check(t, body, qt.Equals, firstEvents)
					}
				})
			}
		}
	}
}
