package relay

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"plantainrelay/platform/standin"
)

// malformedLines are lines of heads without a valid name; message has a test with more. A line that
// begins with a space continues the one before it.
var malformedLines = []string{
	"Foo Bar: x", "Foo : x", "Foo\t: x", "Foo\x01: x", "Fo\x00o: x", "Fo\ro: x", "Fo\xc3\xb6: x", ": x", " Foo: x", "Foo", "Content Length: 3", standin.HeaderSeal + " : other",
}

// malformedResponses returns responses with a malformed line in a head or in the trailers. The
// line follows the seal.
func malformedResponses(line, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	coding := "Transfer-Encoding: chunked\r\n"
	line += "\r\n"
	responses := map[string]string{
		"interim head": "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n" + line + "\r\n" + withLength(body),
		"trailers":     sealed("HTTP/1.1 200 OK", coding, strings.TrimSuffix(chunked(body), "\r\n")+"X: y\r\n"+line+"\r\n"),
	}
	for _, status := range []string{"200 OK", "404 Not Found", "500 Internal Server Error"} {
		responses[status+", length"] = sealed("HTTP/1.1 "+status, line+length, body)
		responses[status+", chunks"] = sealed("HTTP/1.1 "+status, line+coding, chunked(body))
		responses[status+", unframed"] = sealed("HTTP/1.1 "+status, line, body)
	}
	return responses
}

// TestLogSaysWhyAnAttemptIsBroken covers the reason in the log of a request.
func TestLogSaysWhyAnAttemptIsBroken(t *testing.T) {
	c := qt.New(t)
	var reached atomic.Int32
	f := newFixture(t, rawScript(&reached, 0, sealed("HTTP/1.1 200 OK", "Foo Bar: x\r\n", "answer")))
	f.allowNoRetries()
	log := logtest.NewLocal(f.frontend.log.Logger)
	_, _, err := f.do(http.MethodPost, "/look/x")
	c.Assert(err, qt.IsNil)
	ended := log.LastEntry()
	c.Assert(ended.Message, qt.Equals, "request ended")
	attempts, ok := ended.Data["attempts"].([]attemptRecord)
	c.Assert(ok, qt.IsTrue)
	c.Assert(attempts, qt.HasLen, 1)
	c.Assert(attempts[0].Outcome, qt.Equals, string(broken))
	c.Assert(attempts[0].Error, qt.Matches, ".*no valid name.*")
}

// TestMalformedNamesAreNoAnswer guards against a response with a malformed line in its head that
// reaches the caller, with that line or without it: what the server meant is not known.
func TestMalformedNamesAreNoAnswer(t *testing.T) {
	for _, path := range requestKinds {
		for _, line := range malformedLines {
			t.Run(fmt.Sprintf("%s, %q", path, line), func(t *testing.T) {
				t.Parallel()
				for name, raw := range malformedResponses(line, firstEvents) {
					response, body, err := sendToScript(t, path, []string{raw})
					if err != nil {
						continue
					}
					comment := qt.Commentf("%s: %d, %v, %q", name, response.StatusCode, response.Header, body)
					qt.Check(t, response.StatusCode, qt.Equals, http.StatusBadGateway, comment)
					qt.Check(t, response.Header.Get(standin.HeaderSeal), qt.Equals, "", comment)
					qt.Check(t, strings.Contains(body, "data:"), qt.IsFalse, comment)
				}
			})
		}
	}
}
