package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/platform/standin"
)

// invalidStatuses are no final statuses of HTTP.
var invalidStatuses = []string{"000", "001", "007", "020", "099", "600", "700", "999", "-20", "+20", "-00", "+99", "20", "2", "2000", "0200", "2xx", "0x1", "", " 200", "\t200", "200\t"}

// TestInvalidStatusIsNoAnswer guards against a response with an invalid status that reaches the
// caller, as a success or with the seal of its instance, or that counts as a promise that the
// request was not run.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range invalidStatuses {
		for _, path := range requestKinds {
			t.Run(fmt.Sprintf("%q, %s", status, path), func(t *testing.T) {
				t.Parallel()
				for name, headers := range map[string]string{
					"length":   fmt.Sprintf("Content-Length: %d\r\n", len(firstEvents)),
					"unframed": "",
					"not run":  fmt.Sprintf("%s: 1\r\nContent-Length: %d\r\n", standin.HeaderNotRun, len(firstEvents)),
				} {
					response, body, err := sendToScript(t, path, []string{sealed("HTTP/1.1 "+status+" OK", headers, firstEvents)})
					qt.Assert(t, err, qt.IsNil)
					comment := qt.Commentf("%s: %v, %q", name, response.Header, body)
					qt.Check(t, response.StatusCode, qt.Equals, http.StatusBadGateway, comment)
					qt.Check(t, response.Header.Get(standin.HeaderSeal), qt.Equals, "", comment)
					qt.Check(t, strings.Contains(body, "data:"), qt.IsFalse, comment)
				}
			})
		}
	}
}
