package relay

import (
	"errors"
	"io"
	"net/http"
)

// firstBufferBytes is the size of the first buffer for a response without a length. It is in
// use in any case.
const firstBufferBytes = 4 << 10

// readStart reads a response up to maxBufferedBytes, or less if no memory is left. complete
// means that it has ended. unreserve has to be called when start is not needed any more.
func (x *exchange) readStart(response *http.Response) (start []byte, complete bool, unreserve func(), err error) {
	var reserved int64
	unreserve = func() { x.body.unreserve(reserved) }
	// One byte more shows whether the response has ended.
	size := firstBufferBytes
	if length := response.ContentLength; length >= 0 {
		size = int(min(length, maxBufferedBytes)) + 1
	}
	if size > firstBufferBytes && !x.body.reserve(int64(size)) {
		size = firstBufferBytes
	} else if size > firstBufferBytes {
		reserved = int64(size)
	}
	start = make([]byte, 0, size)
	for {
		count, err := response.Body.Read(start[len(start):cap(start)])
		start = start[:len(start)+count]
		if errors.Is(err, io.EOF) {
			return start, true, unreserve, nil
		}
		if err != nil {
			return start, false, unreserve, err
		}
		if len(start) < cap(start) {
			continue
		}
		next := min(2*cap(start), maxBufferedBytes+1)
		if next == cap(start) || !x.body.reserve(int64(next)) {
			return start, false, unreserve, nil
		}
		reserved += int64(next)
		start = append(make([]byte, 0, next), start...)
	}
}

// releaseBody gives back the body if no further attempt may need it.
func (x *exchange) releaseBody() {
	if !x.isResuming() {
		x.body.release()
	}
}
