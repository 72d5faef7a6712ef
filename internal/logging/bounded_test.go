package logging

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFullPipeDoesNotBlock checks that logging does not block the process when
// the output is not read: it writes more lines than a pipe and the queue hold.
func TestFullPipeDoesNotBlock(t *testing.T) {
	c := qt.New(t)
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	defer reader.Close()
	b := NewBoundedWriter(writer)
	second := int64(0)
	b.now = func() time.Time { second++; return time.Unix(second, 0) }
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 3 * maxPendingLines {
		count, err := b.Write(line)
		c.Assert(err, qt.IsNil)
		c.Assert(count, qt.Equals, len(line))
	}
	c.Assert(b.Dropped() > 0, qt.IsTrue)
}

// lineRecorder records the lines written to it and closes done at a line that
// starts with "last".
type lineRecorder struct {
	mu    sync.Mutex
	lines []string
	done  chan struct{}
}

func (l *lineRecorder) Write(raw []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(string(raw)) {
		l.lines = append(l.lines, line)
		if strings.HasPrefix(line, "last") {
			close(l.done)
		}
	}
	return len(raw), nil
}

// TestLinesPerSecondAreLimited writes ten times the limit within one second and
// checks that the excess is dropped and that a notice gives the number of
// dropped lines.
func TestLinesPerSecondAreLimited(t *testing.T) {
	c := qt.New(t)
	out := &lineRecorder{done: make(chan struct{})}
	b := NewBoundedWriter(out)
	now := time.Unix(100, 0)
	b.now = func() time.Time { return now }
	for i := range 10 * maxLinesPerSecond {
		fmt.Fprintf(b, "line %d\n", i)
	}
	now = now.Add(time.Second)
	fmt.Fprintln(b, "last")
	<-out.done
	c.Assert(len(out.lines) <= maxLinesPerSecond+2, qt.IsTrue, qt.Commentf("%d lines", len(out.lines)))
	c.Assert(strings.Contains(strings.Join(out.lines, ""), `"dropped":`), qt.IsTrue)
}

// TestFlushWaitsForLines guards against a process that exits before its last lines are
// written.
func TestFlushWaitsForLines(t *testing.T) {
	c := qt.New(t)
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	defer reader.Close()
	b := NewBoundedWriter(writer)
	_, _ = b.Write([]byte("last line\n"))
	b.Flush(time.Minute)
	c.Assert(reader.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
	line := make([]byte, 10)
	_, err = reader.Read(line)
	c.Assert(err, qt.IsNil)
	c.Check(string(line), qt.Equals, "last line\n")
}

// TestFlushOfFullPipeEnds guards against a process that cannot exit because nobody reads
// its output.
func TestFlushOfFullPipeEnds(t *testing.T) {
	c := qt.New(t)
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	defer reader.Close()
	b := NewBoundedWriter(writer)
	second := int64(0)
	b.now = func() time.Time { second++; return time.Unix(second, 0) }
	for range 3 * maxPendingLines {
		_, _ = b.Write([]byte(strings.Repeat("x", 1023) + "\n"))
	}
	began := time.Now()
	b.Flush(20 * time.Millisecond)
	c.Check(time.Since(began) < 10*time.Second, qt.IsTrue)
}
