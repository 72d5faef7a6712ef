package gate

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/message"
	"plantainrelay/test/earlyserver"
)

// newUpload returns the execution of an attempt with a long body.
func newUpload(c *qt.C, backend *earlyserver.Server) (run *execution, recorder *httptest.ResponseRecorder, serve func()) {
	run, recorder = newExecution(c, "http://"+backend.Address())
	transport, ok := run.handler.client.Transport.(*message.Transport)
	c.Assert(ok, qt.IsTrue)
	transport.WrapDial(earlyserver.SmallBuffers)
	return run, recorder, func() {
		run.serve(httptest.NewRequest(http.MethodPost, "/booking", nil), "/booking", make([]byte, earlyserver.RequestBytes), time.Now().Add(time.Minute))
	}
}

// TestResponseResetDuringAnUploadIsNotStored guards against a part of a response that is marked
// as complete, and stored for later requests with the same key, because the backend server reset
// the connection while the request was still sent.
func TestResponseResetDuringAnUploadIsNotStored(t *testing.T) {
	for _, delay := range earlyserver.ResetDelays {
		for i := range 5 {
			t.Run(fmt.Sprintf("%v, %d", delay, i), func(t *testing.T) {
				c := qt.New(t)
				run, recorder, serve := newUpload(c, earlyserver.Start(t, "HTTP/1.1 200 OK\r\n\r\nans", earlyserver.ResetAfter(delay)))
				c.Check(serve, qt.PanicMatches, http.ErrAbortHandler.Error())
				c.Check(run.stored, qt.IsNil)
				c.Check(recorder.Header().Get(message.HeaderComplete), qt.Equals, "")
			})
		}
	}
}

// TestResponseBeforeTheEndOfAnUploadIsStored guards against a complete response that counts as
// broken because the backend server had not read the whole request when it responded.
func TestResponseBeforeTheEndOfAnUploadIsStored(t *testing.T) {
	c := qt.New(t)
	run, recorder, serve := newUpload(c, earlyserver.Start(t, "HTTP/1.1 200 OK\r\n\r\nanswer", earlyserver.EndAndReadOn))
	serve()
	c.Assert(run.stored, qt.IsNotNil)
	c.Check(string(run.stored.Body), qt.Equals, "answer")
	c.Check(recorder.Header().Get(message.HeaderComplete), qt.Equals, message.HeaderCompleteValue)
}
