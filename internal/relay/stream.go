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

// eventReader splits a stream into whole eventReader.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(source, 4<<10)}
}

// next returns the next whole event. Its bytes are valid until the next call.
// io.EOF means that the stream ended between events; io.ErrUnexpectedEOF that
// it ended inside one.
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

// buffered reports whether more bytes have already arrived.
func (e *eventReader) buffered() bool { return e.reader.Buffered() > 0 }
