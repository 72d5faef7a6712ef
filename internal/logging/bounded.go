package logging

import (
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// maxPendingLines limits the lines that wait to be written.
	maxPendingLines = 2048
	// maxLinesPerSecond limits the log volume under load. It is several times
	// the rate of an entry at full traffic without incidents.
	maxLinesPerSecond = 500
)

// BoundedWriter forwards log lines to a writer that may block, but never blocks
// itself. Lines beyond its limits are dropped and counted; the count is written
// before the first line of a later second.
type BoundedWriter struct {
	lines   chan timedLine
	dropped atomic.Int64
	// currentSecond is the Unix second of the last write; linesThisSecond
	// counts the lines written in it, including dropped ones.
	currentSecond   atomic.Int64
	linesThisSecond atomic.Int64
	now             func() time.Time
}

// timedLine is a line with the Unix second in which it was logged. One with written set
// has no text: written is closed when the lines before it have been written.
type timedLine struct {
	text    []byte
	second  int64
	written chan struct{}
}

// NewBoundedWriter returns a writer that forwards lines to out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan timedLine, maxPendingLines), now: time.Now}
	go b.run(out)
	return b
}

// Write implements io.Writer for one line. It never returns an error.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	second := b.now().Unix()
	if !b.admit(second) {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- timedLine{text: slices.Clone(line), second: second}:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Flush waits until the lines logged before the call have been written, for at most
// timeout.
func (b *BoundedWriter) Flush(timeout time.Duration) {
	expired := time.After(timeout)
	written := make(chan struct{})
	select {
	case b.lines <- timedLine{written: written}:
	case <-expired:
		return
	}
	select {
	case <-written:
	case <-expired:
	}
}

// Dropped returns the number of lines dropped since the last notice.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

func (b *BoundedWriter) admit(second int64) bool {
	if b.currentSecond.Swap(second) != second {
		b.linesThisSecond.Store(0)
	}
	return b.linesThisSecond.Add(1) <= maxLinesPerSecond
}

func (b *BoundedWriter) run(out io.Writer) {
	var lastSecond int64
	for line := range b.lines {
		if line.written != nil {
			close(line.written)
			continue
		}
		text := line.text
		if lastSecond != 0 && line.second != lastSecond {
			text = append(b.dropNotice(), text...)
		}
		lastSecond = line.second
		// A failed write of the log cannot be reported anywhere else.
		_, _ = out.Write(text)
	}
}

// dropNotice returns a line with the number of lines dropped since the last
// notice, or nil if there are none.
func (b *BoundedWriter) dropNotice() []byte {
	dropped := b.dropped.Swap(0)
	if dropped == 0 {
		return nil
	}
	return fmt.Appendf(nil, `{"level":"warning","msg":"log lines were dropped","dropped":%d}`+"\n", dropped)
}
