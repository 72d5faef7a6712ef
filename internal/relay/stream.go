package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
	"strconv"
	"sync/atomic"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 256 << 10

// readBufferBytes is the size of the read buffer of a stream.
const readBufferBytes = 4 << 10

// errEventTooLarge means that an event of a stream exceeds maxEventBytes.
var errEventTooLarge = errors.New("a stream event exceeds the size limit; check the backend server")

// errNoEventMemory means that no memory was left for the rest of an event.
var errNoEventMemory = errors.New("no memory is left for a stream event; check the backend servers, or raise the machine's memory")

// errNoEvent means that a block of lines in a stream is not an event.
var errNoEvent = errors.New("a part of the stream is not an event; check the backend server")

// eventFields are the fields of an event. An event may have other fields as well, which
// are ignored.
var eventFields = [][]byte{[]byte("data"), []byte("id"), []byte("event"), []byte("retry")}

// streamPosition is the ID of the last event that a caller has received. A standby reads it
// beside the attempt that sets it.
type streamPosition struct {
	id    atomic.Int64
	known atomic.Bool
}

func (p *streamPosition) set(id int64) {
	p.id.Store(id)
	p.known.Store(true)
}

// lastEvent returns the ID; known is false before the first event that has one.
func (p *streamPosition) lastEvent() (id int64, known bool) {
	known = p.known.Load()
	return p.id.Load(), known
}

// event is one complete event of a stream, with its bytes unchanged.
type event struct {
	raw []byte
	// id is the event's ID; hasID is false for an event without a numeric ID.
	id    int64
	hasID bool
	// isBlank is set for an empty line between events.
	isBlank bool
}

// eventReader splits a stream into complete events.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
	// reserve, when set, takes memory for a buffer above readBufferBytes, and reserved is what
	// it has taken.
	reserve  func(bytes int64) bool
	reserved int64
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(source, readBufferBytes)}
}

// next returns the next complete event. Its bytes are valid until the next call. io.EOF
// means that the stream ended between events; io.ErrUnexpectedEOF means that it ended
// inside an event, errNoEvent that a block of lines is none.
func (e *eventReader) next() (event, error) {
	e.buffer = e.buffer[:0]
	current, hasField, lineStart := event{}, false, 0
	for {
		line, err := e.reader.ReadSlice('\n')
		if err := e.add(line); err != nil {
			return event{}, err
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
		text := bytes.TrimRight(e.buffer[lineStart:], "\r\n")
		hasField = hasField || isEventField(text)
		if value, isID := bytes.CutPrefix(text, []byte("id:")); isID {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				current.id, current.hasID = id, true
			}
		}
		if len(text) == 0 {
			current.raw, current.isBlank = e.buffer, lineStart == 0
			if !hasField && !current.isBlank {
				return event{}, errNoEvent
			}
			return current, nil
		}
		lineStart = len(e.buffer)
	}
}

// add appends a part of an event to the buffer.
func (e *eventReader) add(part []byte) error {
	size := len(e.buffer) + len(part)
	if size > maxEventBytes {
		return errEventTooLarge
	}
	if size > cap(e.buffer) {
		size = min(max(size, 2*cap(e.buffer)), maxEventBytes)
		if growth := int64(size) - e.reserved; size > readBufferBytes && e.reserve != nil {
			if !e.reserve(growth) {
				return errNoEventMemory
			}
			e.reserved += growth
		}
		e.buffer = append(make([]byte, 0, size), e.buffer...)
	}
	e.buffer = append(e.buffer, part...)
	return nil
}

// isEventField reports whether a line is a field of an event or a comment.
func isEventField(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	return len(name) == 0 && len(line) > 0 || slices.ContainsFunc(eventFields, func(field []byte) bool { return bytes.Equal(name, field) })
}

// buffered reports whether further bytes have already been received.
func (e *eventReader) buffered() bool { return e.reader.Buffered() > 0 }
