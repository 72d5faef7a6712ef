package message

import (
	"errors"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"
)

const (
	// MaxHeadMemory bounds what the head of a response takes in memory: its bytes, and
	// headLineMemory for each line, which net/http keeps in a map. The same bound holds for its
	// trailers.
	MaxHeadMemory  = 16 << 10
	headLineMemory = 128
	// maxChunkBytes bounds one chunk of a body.
	maxChunkBytes = math.MaxInt64 >> 8
)

// statusLineStart is the form of the beginning of a status line; d stands for a digit.
const statusLineStart = "HTTP/d.d ddd"

const transferCodingField = "transfer-encoding"

var (
	// errCodedHTTP10 means that the framing of a response is unknown.
	errCodedHTTP10 = errors.New("an HTTP/1.0 response has a transfer coding; check the server")
	// errHeadTooLarge means that the head of a response exceeds MaxHeadMemory.
	errHeadTooLarge = errors.New("the head of a response has too many bytes or lines; check the server")
	// errStatusLine means that a status line does not begin as statusLineStart says, so that it is
	// not known whether net/http takes its head for an interim one.
	errStatusLine = errors.New("the status line of a response is malformed; check the server")
	// errFieldLine means that a line of a head has no name that is a token (RFC 9110, 5.6.2), or
	// continues the line before it.
	errFieldLine = errors.New("a line in the head or the trailers of a response has no valid name; check the server")
	// errChunkTooLarge means that a chunk exceeds maxChunkBytes.
	errChunkTooLarge = errors.New("a chunk of a response is too large; check the server")
)

// responseConn is a connection whose reads fail at a response that is malformed in a way which
// net/http passes over: it keeps names with spaces, joins continued lines, and drops interim heads
// and the transfer coding of HTTP/1.0. They also fail within a head that takes more than
// MaxHeadMemory.
type responseConn struct {
	net.Conn
	// next is the method of a request whose response follows, nil if none has been sent since.
	next    atomic.Pointer[string]
	scanner responseScanner
	// failure is the error of the first malformed response. Reads go on failing, since bufio drops
	// an error that it gets within a line.
	failure error
}

// expectResponse has to be called before each request that is sent, with its method. It must not
// be called before the response to the one before it has been read.
func (c *responseConn) expectResponse(method string) { c.next.Store(&method) }

// Read implements net.Conn.
func (c *responseConn) Read(data []byte) (int, error) {
	if c.failure != nil {
		return 0, c.failure
	}
	count, err := c.Conn.Read(data)
	if method := c.next.Swap(nil); method != nil {
		c.scanner = responseScanner{hasNoBody: *method == http.MethodHead}
	}
	if c.failure = c.scanner.scan(data[:count]); c.failure != nil {
		return 0, c.failure
	}
	return count, err
}

// section is a part of a response.
type section int

const (
	inStatusLine section = iota
	inFields
	inChunkSize
	inChunkData
	inTrailers
	// inRest is a body without chunks, or what follows on the response. It is not examined.
	inRest
)

// responseScanner follows the bytes of a response: its head, which may follow on those of interim
// responses, and the framing of its chunks up to the end of the trailers.
type responseScanner struct {
	section section
	// hasNoBody says that the response has no body whatever its head says.
	hasNoBody bool
	// memory is what the current head or the trailers take.
	memory int
	line   headLine
	// status holds the beginning of the status line. isCoded says that the head names a transfer
	// coding.
	status  [len(statusLineStart)]byte
	isCoded bool
	// chunk is the size of the current chunk while that is read, and then what is left of it and
	// of the end of its line. hasSize says that the digits of the size have ended.
	chunk   int64
	hasSize bool
}

// scan takes further bytes of a response.
func (s *responseScanner) scan(data []byte) error {
	for len(data) > 0 && s.section != inRest {
		if s.section == inChunkData {
			data = data[s.skipChunk(len(data)):]
			continue
		}
		if err := s.addByte(data[0]); err != nil {
			return err
		}
		data = data[1:]
	}
	return nil
}

// skipChunk passes over at most count bytes of a chunk and returns their number.
func (s *responseScanner) skipChunk(count int) int {
	skipped := min(int64(count), s.chunk)
	if s.chunk -= skipped; s.chunk == 0 {
		s.beginChunk()
	}
	return int(skipped)
}

func (s *responseScanner) beginChunk() { s.section, s.chunk, s.hasSize = inChunkSize, 0, false }

func (s *responseScanner) addByte(c byte) error {
	if s.section == inChunkSize {
		return s.addSizeByte(c)
	}
	if s.memory++; s.memory > MaxHeadMemory {
		return errHeadTooLarge
	}
	switch {
	case c == '\n':
		s.memory += headLineMemory
		return s.endLine()
	case s.section == inStatusLine:
		return s.addStatusByte(c)
	}
	return s.line.add(c)
}

// addSizeByte takes a byte of the line with the size of a chunk. Lines that net/http rejects need
// not be told from others.
func (s *responseScanner) addSizeByte(c byte) error {
	digit := strings.IndexByte("0123456789abcdef", toLower(c))
	switch {
	case c == '\n' && s.chunk == 0:
		s.section, s.line, s.memory = inTrailers, headLine{}, 0
	case c == '\n':
		s.section, s.chunk = inChunkData, s.chunk+int64(len("\r\n"))
	case digit < 0:
		s.hasSize = true
	case s.hasSize:
	case s.chunk > maxChunkBytes>>4:
		return errChunkTooLarge
	default:
		s.chunk = s.chunk<<4 + int64(digit)
	}
	return nil
}

func (s *responseScanner) addStatusByte(c byte) error {
	if at := s.line.length; at < len(statusLineStart) {
		isDigit := '0' <= c && c <= '9'
		if want := statusLineStart[at]; c != want && (want != 'd' || !isDigit) {
			return errStatusLine
		}
		s.status[at] = c
	}
	s.line.length++
	return nil
}

func (s *responseScanner) endLine() error {
	line := s.line
	s.line = headLine{}
	switch {
	case s.section == inStatusLine && line.length < len(statusLineStart):
		return errStatusLine
	case s.section == inStatusLine:
		s.section = inFields
	case line.length == 0 || line.isBlank:
		return s.endHead()
	case !line.hasName:
		return errFieldLine
	case string(line.name[:]) == transferCodingField && line.nameLength == len(transferCodingField):
		s.isCoded = true
	}
	return nil
}

// endHead takes the empty line at the end of a head or of the trailers.
func (s *responseScanner) endHead() error {
	version, code := string(s.status[len("HTTP/"):len("HTTP/d.d")]), string(s.status[len("HTTP/d.d "):])
	switch {
	case s.section == inTrailers, code == "101":
		s.section = inRest
	case code[0] == '1':
		*s = responseScanner{hasNoBody: s.hasNoBody}
	case s.isCoded && version < "1.1":
		return errCodedHTTP10
	case s.isCoded && !s.hasNoBody && code != "204" && code != "304":
		s.beginChunk()
	default:
		s.section = inRest
	}
	return nil
}

// headLine is the current line of a head. Of a status line, only length is used.
type headLine struct {
	length int
	// isBlank says that the line begins with a CR, which only its end may follow.
	isBlank bool
	// hasName says that the name has ended, nameLength is its length. name holds its first bytes
	// in lower case.
	hasName    bool
	nameLength int
	name       [len(transferCodingField)]byte
}

// add takes a byte of a line with a field.
func (l *headLine) add(c byte) error {
	switch {
	case l.hasName:
	case l.isBlank:
		return errFieldLine
	case c == '\r' && l.length == 0:
		l.isBlank = true
	case c == ':' && l.length > 0:
		l.hasName, l.nameLength = true, l.length
	case !httpguts.IsTokenRune(rune(c)):
		return errFieldLine
	case l.length < len(l.name):
		l.name[l.length] = toLower(c)
	}
	l.length++
	return nil
}

func toLower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		c += 'a' - 'A'
	}
	return c
}
