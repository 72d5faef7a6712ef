package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errEventTooLarge means that an event of a stream exceeds maxEventBytes.
var errEventTooLarge = errors.New("a stream event exceeds the size limit; check the backend server")

// event is one complete event of a stream, with its bytes unchanged.
type event struct {
	raw []byte
	// id is the event's ID; hasID is false for an event without a numeric ID.
	id    int64
	hasID bool
}

// eventReader splits a stream into complete events.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(source, 4<<10)}
}

// next returns the next complete event. Its bytes are valid until the next call. io.EOF
// means that the stream ended between events; io.ErrUnexpectedEOF means that it ended
// inside an event.
func (e *eventReader) next() (event, error) {
	e.buffer = e.buffer[:0]
	current := event{}
	for {
		line, err := e.reader.ReadSlice('\n')
		e.buffer = append(e.buffer, line...)
		if len(e.buffer) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.buffer) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, isID := bytes.CutPrefix(text, []byte("id:")); isID {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				current.id, current.hasID = id, true
			}
		}
		if len(text) == 0 {
			current.raw = e.buffer
			return current, nil
		}
	}
}

// buffered reports whether further bytes have already been received.
func (e *eventReader) buffered() bool { return e.reader.Buffered() > 0 }
