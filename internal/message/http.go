package message

import (
	"bytes"
	"io"
	"net/http"
)

// Complete is the value of HeaderComplete on a whole answer.
const Complete = "yes"

// HeaderRunning is the number of requests in progress on the instance that
// answers, so that entries learn it between two reads of its state.
const HeaderRunning = "X-Plantain-Running"

// OnceBody returns a request body that Go's HTTP client cannot rewind, so that
// it never sends the request a second time by itself; that holds for methods
// without a body as well.
func OnceBody(body []byte) io.Reader {
	return &nonRewindableReader{source: bytes.NewReader(body)}
}

type nonRewindableReader struct {
	source io.Reader
}

func (o *nonRewindableReader) Read(into []byte) (int, error) {
	return o.source.Read(into)
}

// Bodiless reports whether the answer to a request of this method and status
// carries no body, and so no trailer either.
func Bodiless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}
