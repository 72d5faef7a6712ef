package usage

import "bytes"

// TokenCounter counts the tokens in a stream of server-sent events. Each event
// that has data and no event name is one token.
type TokenCounter struct {
	line    []byte
	hasData bool
	hasName bool
	count   int64
}

const (
	fieldData  = "data:"
	fieldEvent = "event:"
)

// Write parses the next part of the stream. It never fails.
func (t *TokenCounter) Write(part []byte) (int, error) {
	for _, b := range part {
		if b == '\n' {
			t.endLine()
			continue
		}
		if len(t.line) < len(fieldEvent) {
			t.line = append(t.line, b)
		}
	}
	return len(part), nil
}

func (t *TokenCounter) endLine() {
	line := bytes.TrimSuffix(t.line, []byte("\r"))
	switch {
	case len(line) == 0:
		if t.hasData && !t.hasName {
			t.count++
		}
		t.hasData, t.hasName = false, false
	case bytes.HasPrefix(line, []byte(fieldData)):
		t.hasData = true
	case bytes.HasPrefix(line, []byte(fieldEvent)):
		t.hasName = true
	}
	t.line = t.line[:0]
}

// Count returns the number of tokens so far.
func (t *TokenCounter) Count() int64 {
	return t.count
}
