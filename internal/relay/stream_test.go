package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

func TestEventsAreSplit(t *testing.T) {
	c := qt.New(t)
	reader := newEventReader(iotest.OneByteReader(strings.NewReader("id: 7\ndata: a\n\ndata: b\r\n\r\nid: 8\nda")))
	first, err := reader.next()
	c.Assert(err, qt.IsNil)
	c.Assert(string(first.raw), qt.Equals, "id: 7\ndata: a\n\n")
	c.Assert(first.id, qt.Equals, int64(7))
	second, err := reader.next()
	c.Assert(err, qt.IsNil)
	c.Assert(second.hasID, qt.IsFalse)
	c.Assert(string(second.raw), qt.Equals, "data: b\r\n\r\n")
	_, err = reader.next()
	c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
}

func TestEndBetweenEventsIsEOF(t *testing.T) {
	_, err := newEventReader(strings.NewReader("")).next()
	qt.Assert(t, err, qt.Equals, io.EOF)
}

func TestEventSizeIsLimited(t *testing.T) {
	_, err := newEventReader(strings.NewReader(strings.Repeat("x", maxEventBytes+1))).next()
	qt.Assert(t, err, qt.Equals, errEventTooLarge)
}

// FuzzEvents checks that the concatenated events are the bytes of the stream up to the
// end of the last complete event.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\n\n"))
	f.Add([]byte("\n\n\nid:9223372036854775808\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		reader := newEventReader(strings.NewReader(string(raw)))
		var joined strings.Builder
		for {
			next, err := reader.next()
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, errEventTooLarge) {
					t.Fatal(err)
				}
				break
			}
			joined.Write(next.raw)
		}
		if !strings.HasPrefix(string(raw), joined.String()) {
			t.Fatal("the concatenated events are not a prefix of the stream")
		}
	})
}
