package message

import (
	"bytes"
	"io"
	"net/http"
)

// HeaderCompleteValue is the value of HeaderComplete on a complete response.
const HeaderCompleteValue = "yes"

// HeaderRunning is the number of requests in progress on the responding instance. It
// keeps entries up to date between two reads of the instance's state.
const HeaderRunning = "X-Plantain-Running"

// NonRewindableBody returns a request body that Go's HTTP client cannot rewind, so that
// the client never resends the request on its own. This also covers methods without a
// body.
func NonRewindableBody(body []byte) io.Reader {
	return &nonRewindableReader{source: bytes.NewReader(body)}
}

type nonRewindableReader struct {
	source io.Reader
}

func (o *nonRewindableReader) Read(into []byte) (int, error) {
	return o.source.Read(into)
}

// Bodiless reports whether the response to a request with this method and status has no
// body, and therefore no trailer.
func Bodiless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// IsFinal reports whether a status is one that completes a request: RFC 9110 knows 100 to
// 599, of which those below 200 are interim.
func IsFinal(status int) bool {
	return status >= http.StatusOK && status < 600
}
