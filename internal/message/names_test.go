package message_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/message"
	"plantainrelay/test/rawserver"
)

// malformedLines are lines of heads without a valid name.
var malformedLines = []string{
	"Foo Bar: x", "Foo : x", "Foo  : x", "Foo\t: x", "Foo\tBar: x", "\x01Foo: x", "Fo\x00o: x", "Foo\x0b: x", "Fo\ro: x", "Foo\r: x", "\rFoo: x", "\r: x", "Foo\x7f: x",
	"Foo\x80: x", "Fo\xc3\xb6: x", "Foo\xa0: x", "Foo(: x", "Foo\"Bar: x", "Foo/Bar: x", "Foo@: x", "{Foo}: x", ": x", " : x", " Foo: x", "\tFoo: x", " ", "\t", "Foo", "Foo Bar",
	"Content-Length : 3", "Transfer-Encoding : chunked",
}

// withMalformedLine returns responses with the line in each place of a head or of the trailers.
func withMalformedLine(line string) map[string]string {
	const ok, length, coding = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n"
	line += "\r\n"
	return map[string]string{
		"first line":             ok + line + length + "\r\nok",
		"last line":              ok + length + line + "\r\nok",
		"before chunks":          ok + coding + line + "\r\n2\r\nok\r\n0\r\n\r\n",
		"unframed":               ok + line + "\r\nok",
		"HTTP/1.0":               "HTTP/1.0 200 OK\r\n" + line + length + "\r\nok",
		"interim head":           "HTTP/1.1 100 Continue\r\nFoo: x\r\n" + line + "\r\n" + ok + length + "\r\nok",
		"second interim head":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nFoo: x\r\n" + line + "\r\n" + ok + length + "\r\nok",
		"first trailer":          ok + coding + "\r\n2\r\nok\r\n0\r\n" + line + "\r\n",
		"last trailer":           ok + coding + "\r\n2\r\nok\r\n0\r\nX: y\r\n" + line + "\r\n",
		"trailer, many chunks":   ok + coding + "\r\n" + strings.Repeat("1\r\nx\r\n", 300) + "00\r\nX: y\r\n" + line + "\r\n",
		"trailer, odd sizes":     ok + coding + "\r\n002;a=\"b\"\r\nok\r\nA \r\n0123456789\r\n0;x\r\nX: y\r\n" + line + "\r\n",
		"trailer, LF at its end": ok + coding + "\r\n2\r\nok\r\n0\r\nX: y\n" + line + "\r\n",
	}
}

// get sends a request and reads the whole response.
func get(client *http.Client, method, address string) (string, error) {
	request, err := http.NewRequest(method, "http://"+address, http.NoBody)
	if err != nil {
		return "", err
	}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestMalformedLinesAreErrors guards against a response that is taken although a line of a head or
// of its trailers has no valid name, or continues the one before it. net/http keeps a name with
// spaces, and joins lines. Reads have a few bytes, or all.
func TestMalformedLinesAreErrors(t *testing.T) {
	for _, line := range malformedLines {
		for name, raw := range withMalformedLine(line) {
			t.Run(fmt.Sprintf("%q, %s", line, name), func(t *testing.T) {
				t.Parallel()
				for _, size := range []int{16, 4096} {
					transport := message.NewTransport(&net.Dialer{})
					transport.ReadBufferSize = size
					_, err := get(&http.Client{Transport: transport}, http.MethodGet, rawserver.Start(t, raw).Address())
					qt.Check(t, err, qt.IsNotNil)
				}
			})
		}
	}
}

// soundResponse is a response that is not malformed.
type soundResponse struct {
	method string
	raw    string
	body   string
}

func soundResponses() map[string]soundResponse {
	const ok, length, coding = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n"
	body := "a b: c\r\n\r\n0\r\n\r\n d: e\r\nHTTP/1.1 200 OK\r\na b: c\r\n"
	framed := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	return map[string]soundResponse{
		"all bytes of names":        {raw: ok + "!#$%&'*+-.^_`|~09azAZ: x\r\n" + length + "\r\nok", body: "ok"},
		"no space":                  {raw: ok + "Foo:x\r\nContent-Length:2\r\n\r\nok", body: "ok"},
		"no value":                  {raw: ok + "Foo:\r\nBar: \r\n" + length + "\r\nok", body: "ok"},
		"spaces and bytes in value": {raw: ok + "Foo: \t a b: c \xff \t\r\n" + length + "\r\nok", body: "ok"},
		"no reason":                 {raw: "HTTP/1.1 200\r\n" + length + "\r\nok", body: "ok"},
		"lines end with LF":         {raw: "HTTP/1.1 200 OK\nFoo: x\nContent-Length: 2\n\nok", body: "ok"},
		"interim heads":             {raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <x>\r\nTransfer-Encoding: chunked\r\n\r\n" + ok + length + "\r\nok", body: "ok"},
		"lines in a body":           {raw: ok + framed, body: body},
		"lines in a chunk":          {raw: ok + coding + fmt.Sprintf("\r\n%X\r\n%s\r\n0\r\n\r\n", len(body), body), body: body},
		"lines in chunks":           {raw: ok + coding + fmt.Sprintf("\r\n00%x;a=\"b c: d\"\r\n%s\r\n%X \r\n%s\r\n000\r\n\r\n", 9, body[:9], len(body)-9, body[9:]), body: body},
		"trailers":                  {raw: ok + coding + "Trailer: X\r\n\r\n2\r\nok\r\n0\r\nX: y z\r\nFoo:\r\n\r\n", body: "ok"},
		"other case":                {raw: ok + "TRANSFER-encoding:chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", body: "ok"},
		"similar names":             {raw: ok + "Transfer-Encoding2: chunked\r\nTransfer-Encodin: chunked\r\nX-Transfer-Encoding: chunked\r\n" + length + "\r\nok", body: "ok"},
		"HEAD, chunks":              {method: http.MethodHead, raw: ok + coding + "\r\n"},
		"HEAD, length":              {method: http.MethodHead, raw: ok + length + "\r\n"},
		"no content, chunks":        {raw: "HTTP/1.1 204 No Content\r\n" + coding + "\r\n"},
		"not modified, chunks":      {raw: "HTTP/1.1 304 Not Modified\r\n" + coding + "\r\n"},
		"HTTP/1.0":                  {raw: "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n" + length + "\r\nok", body: "ok"},
	}
}

// TestSoundResponsesArrive guards against responses that count as malformed because their bodies or
// their framing are taken for heads, and against a malformed response after one on the same
// connection that is not examined.
func TestSoundResponsesArrive(t *testing.T) {
	const malformed = "HTTP/1.1 200 OK\r\nFoo : x\r\nContent-Length: 2\r\n\r\nok"
	for name, test := range soundResponses() {
		for _, size := range []int{16, 4096} {
			t.Run(fmt.Sprintf("%s, %d", name, size), func(t *testing.T) {
				c := qt.New(t)
				server := rawserver.Start(t, test.raw, test.raw, malformed)
				transport := message.NewTransport(&net.Dialer{})
				transport.ReadBufferSize = size
				defer transport.CloseIdleConnections()
				client := &http.Client{Transport: transport}
				for range 2 {
					body, err := get(client, test.method, server.Address())
					c.Assert(err, qt.IsNil)
					c.Assert(body, qt.Equals, test.body)
				}
				// net/http repeats requests with some other methods on another connection.
				_, err := get(client, http.MethodPost, server.Address())
				c.Assert(err, qt.ErrorMatches, ".*no valid name.*")
				c.Assert(server.Connections(), qt.Equals, 1)
			})
		}
	}
}
