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
var errEventTooLarge = errors.New("an event of the stream is larger than the limit; check the backend server")

// event is one whole event of a stream, with its bytes as they came.
type event struct {
	raw []byte
	// id is the event's ID; hasID is false for an event without a number.
	id    int64
	hasID bool
}

// events splits a stream into whole events.
type events struct {
	reader *bufio.Reader
	buffer []byte
}

func newEvents(from io.Reader) *events {
	return &events{reader: bufio.NewReaderSize(from, 4<<10)}
}

// next returns the next whole event. Its bytes are valid until the next call.
// io.EOF means that the stream ended between events; io.ErrUnexpectedEOF that
// it ended inside one.
func (e *events) next() (event, error) {
	e.buffer = e.buffer[:0]
	found := event{}
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
				found.id, found.hasID = id, true
			}
		}
		if len(text) == 0 {
			found.raw = e.buffer
			return found, nil
		}
	}
}

// buffered reports whether more bytes have already arrived.
func (e *events) buffered() bool { return e.reader.Buffered() > 0 }
