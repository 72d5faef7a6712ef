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

func TestBlockWithoutFieldsIsNoEvent(t *testing.T) {
	c := qt.New(t)
	for _, block := range []string{"x\n\n", "xdata: 1\n\n", "<html>\n</html>\n\n"} {
		_, err := newEventReader(strings.NewReader(block)).next()
		c.Check(err, qt.Equals, errNoEvent, qt.Commentf("%q", block))
	}
	for _, block := range []string{"\n", ": comment\n\n", "data\n\n", "data: " + strings.Repeat("x", 9000) + "\n\n", "x: 1\nid: 2\n\n", "retry: 10\r\n\r\n"} {
		got, err := newEventReader(strings.NewReader(block)).next()
		c.Assert(err, qt.IsNil, qt.Commentf("%q", block))
		c.Check(string(got.raw), qt.Equals, block)
	}
}

// TestLongLineIsNotSplit covers a line that ends where the read buffer ends: what follows
// is not an empty line.
func TestLongLineIsNotSplit(t *testing.T) {
	c := qt.New(t)
	whole := "data: " + strings.Repeat("x", readBufferBytes-len("data: ")) + "\nid: 4\n\n"
	got, err := newEventReader(strings.NewReader(whole)).next()
	c.Assert(err, qt.IsNil)
	c.Check(string(got.raw), qt.Equals, whole)
	c.Check(got.id, qt.Equals, int64(4))
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
				if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, errEventTooLarge) && !errors.Is(err, errNoEvent) {
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
