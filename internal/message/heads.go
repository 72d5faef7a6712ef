package message

import (
	"bytes"
	"errors"
	"net"
	"sync/atomic"
)

const (
	// MaxHeadMemory bounds what the head of a response takes in memory: its bytes, and
	// headLineMemory for each line, which net/http keeps in a map.
	MaxHeadMemory  = 16 << 10
	headLineMemory = 128
)

var (
	statusHTTP10        = []byte("http/1.0 ")
	transferCodingField = []byte("transfer-encoding")
)

var (
	// errCodedHTTP10 means that the framing of a response is unknown.
	errCodedHTTP10 = errors.New("an HTTP/1.0 response has a transfer coding; check the server")
	// errHeadTooLarge means that the head of a response exceeds MaxHeadMemory.
	errHeadTooLarge = errors.New("the head of a response has too many bytes or lines; check the server")
)

// headConn is a connection whose reads fail within the head of a response that takes more than
// MaxHeadMemory, and at the end of that of an HTTP/1.0 response with a transfer coding. Such
// framing is faulty (RFC 9112, 6.1), but net/http takes the coded bytes for a body that ends
// with the connection.
type headConn struct {
	net.Conn
	// isNext says that the response to another request follows.
	isNext atomic.Bool
	head   headScanner
}

// expectResponse has to be called before each request that is sent. It must not be called before
// the response to the one before it has been read.
func (c *headConn) expectResponse() { c.isNext.Store(true) }

// Read implements net.Conn.
func (c *headConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if c.isNext.Swap(false) {
		c.head = headScanner{}
	}
	if scanErr := c.head.scan(data[:count]); scanErr != nil {
		return 0, scanErr
	}
	return count, err
}

// headScanner follows the bytes of a response up to the end of its head, which may follow on
// those of interim responses.
type headScanner struct {
	isComplete bool
	// memory is what the current head takes, lines the number of its complete lines.
	memory, lines int
	// line holds the beginning of the current line in lower case, length its length.
	line   [len("transfer-encoding")]byte
	length int
	// isInterim says that another head follows on the current one.
	isHTTP10, isInterim, isCoded bool
}

// scan takes further bytes of a response.
func (h *headScanner) scan(data []byte) error {
	for i := 0; i < len(data) && !h.isComplete; i++ {
		if h.memory++; h.memory > MaxHeadMemory {
			return errHeadTooLarge
		}
		if c := data[i]; c != '\n' {
			h.addByte(c)
		} else if err := h.endLine(); err != nil {
			return err
		}
	}
	return nil
}

func (h *headScanner) addByte(c byte) {
	if h.length < len(h.line) {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		h.line[h.length] = c
	}
	h.length++
}

func (h *headScanner) endLine() error {
	line := h.line[:min(h.length, len(h.line))]
	isBlank := h.length == 0 || h.length == 1 && line[0] == '\r'
	switch {
	case h.lines == 0:
		h.isHTTP10 = bytes.HasPrefix(line, statusHTTP10)
		h.isInterim = len(line) > len(statusHTTP10) && line[len(statusHTTP10)] == '1'
	case isBlank && h.isInterim:
		*h = headScanner{}
		return nil
	case isBlank:
		h.isComplete = true
		if h.isHTTP10 && h.isCoded {
			return errCodedHTTP10
		}
		return nil
	case bytes.Equal(line, transferCodingField):
		h.isCoded = true
	}
	h.lines++
	h.length = 0
	h.memory += headLineMemory
	return nil
}
