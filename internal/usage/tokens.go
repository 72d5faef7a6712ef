package usage

import "bytes"

// StreamTokens counts the tokens in a stream of server-sent events. Each event
// that has data and no event name is one token.
type StreamTokens struct {
	line  []byte
	data  bool
	named bool
	count int64
}

const (
	fieldData  = "data:"
	fieldEvent = "event:"
)

// Write parses the next part of the stream. It never fails.
func (t *StreamTokens) Write(part []byte) (int, error) {
	for _, char := range part {
		if char == '\n' {
			t.endLine()
			continue
		}
		if len(t.line) < len(fieldEvent) {
			t.line = append(t.line, char)
		}
	}
	return len(part), nil
}

func (t *StreamTokens) endLine() {
	line := bytes.TrimSuffix(t.line, []byte("\r"))
	switch {
	case len(line) == 0:
		if t.data && !t.named {
			t.count++
		}
		t.data, t.named = false, false
	case bytes.HasPrefix(line, []byte(fieldData)):
		t.data = true
	case bytes.HasPrefix(line, []byte(fieldEvent)):
		t.named = true
	}
	t.line = t.line[:0]
}

// Count returns the number of tokens so far.
func (t *StreamTokens) Count() int64 {
	return t.count
}
