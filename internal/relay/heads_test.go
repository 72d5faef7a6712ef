package relay

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// The events of a stream are also the body of responses that are not streams.
const (
	firstEvents = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	lastEvents  = "id: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"
)

// stopsAndGoesOn is the silence in the middle of a head; shortPause is one where the head is
// not what the test is about.
const (
	stopsAndGoesOn = 1200 * time.Millisecond
	shortPause     = 50 * time.Millisecond
)

// requestKinds are the paths of a lookup, of a request that may run once, of a stream that
// may be resumed and of one that may not.
var requestKinds = []string{"/look/x", "/once/x", "/stream/x", "/fixed/x"}

// rawScript returns an instance that reads a request, sends the parts with a pause between
// them and closes the connection. reached counts the requests.
func rawScript(reached *atomic.Int32, pause time.Duration, parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// An unread body would turn the end of the connection into a reset.
		_, _ = io.Copy(io.Discard, r.Body)
		reached.Add(1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		for i, part := range parts {
			if i > 0 {
				time.Sleep(pause)
			}
			// An error means that the entry has closed the connection.
			_, _ = io.WriteString(conn, part)
		}
	}
}

// chunked encodes a body in two chunks.
func chunked(body string) string {
	half := len(body) / 2
	return fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
}

// withLength returns a complete response with a length.
func withLength(body string) string {
	return sealed("HTTP/1.1 200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
}

// allowNoRetries makes the first attempt of each request its last one.
func (f *fixture) allowNoRetries() {
	f.frontend.scheduler.setRetryLimits(retryLimits{window: time.Minute})
}

// shortTimeLeft bounds the time for which a cut stream waits for another instance.
func shortTimeLeft(r *http.Request) { r.Header.Set(standin.HeaderTimeLeft, "100") }

// isComplete reports whether the caller has got a success that looks complete.
func isComplete(response *http.Response, err error) bool {
	return err == nil && response.StatusCode/100 == 2
}

// headsToCut are complete responses of each framing. An unframed body is complete wherever
// its connection ends, so only heads and framed bodies are cut.
func headsToCut(body string) map[string]string {
	unframed := sealed("HTTP/1.1 200 OK", "Connection: close\r\n", "")
	return map[string]string{
		"length":                  withLength(body),
		"chunks":                  sealed("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", chunked(body)),
		"unframed":                unframed,
		"HTTP/1.0":                sealed("HTTP/1.0 200 OK", "Connection: keep-alive\r\n", ""),
		"HTTP/1.0, length":        sealed("HTTP/1.0 200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body),
		"no content":              sealed("HTTP/1.1 204 No Content", "", ""),
		"length comes last":       strings.Replace(withLength(body), "\r\n\r\n", "\r\nDate: x\r\n\r\n", 1),
		"after an interim head":   "HTTP/1.1 100 Continue\r\n\r\n" + withLength(body),
		"after two interim heads": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + withLength(body),
		"lines end with LF":       strings.ReplaceAll(withLength(body), "\r\n", "\n"),
		"trailers":                sealed("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\nTrailer: X\r\n", strings.TrimSuffix(chunked(body), "\r\n")+"X: y\r\n\r\n"),
	}
}

// TestCutHeadIsNeverComplete guards against a success with an empty or short body when an
// instance closes the connection after any byte of its response.
func TestCutHeadIsNeverComplete(t *testing.T) {
	for name, whole := range headsToCut(firstEvents) {
		for _, path := range requestKinds {
			t.Run(name+", "+path, func(t *testing.T) {
				t.Parallel()
				cutEachByte(t, http.MethodPost, path, whole, len(whole))
			})
		}
		t.Run(name+", HEAD", func(t *testing.T) {
			t.Parallel()
			// Such a response ends with its head.
			cutEachByte(t, http.MethodHead, "/look/x", whole, strings.LastIndex(whole, "seal-i-0"))
		})
	}
}

// cutEachByte sends requests to instances that close the connection after 0, 1, 2 and more
// bytes of a response.
func cutEachByte(t *testing.T, method, path, whole string, end int) {
	c := qt.New(t)
	arrivals := newArrivals()
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrivals.add(r.URL.RawQuery)
		cut, _ := strconv.Atoi(r.URL.Query().Get("cut"))
		var reached atomic.Int32
		rawScript(&reached, 0, whole[:cut])(w, r)
	}))
	defer instance.Close()
	f := newFixture(t)
	f.allowNoRetries()
	// The tables are not renewed during the test.
	f.frontend.setBounds(platform.Bounds{KeyRevokeTime: time.Hour})
	f.listTimes(2*end, instance.Listener.Addr().String())
	for cut := range end {
		// On a busy machine a request may not reach the instance in time.
		for try := range 20 {
			query := fmt.Sprintf("cut=%d&try=%d", cut, try)
			response, body, err := f.do(method, path+"?"+query, shortTimeLeft)
			c.Assert(isComplete(response, err), qt.IsFalse, qt.Commentf("cut at %d of %d: %q", cut, len(whole), body))
			if arrivals.of(query) > 0 {
				break
			}
		}
	}
	c.Assert(arrivals.cuts(), qt.Equals, end)
	c.Assert(arrivals.most() <= 1, qt.IsTrue)
}

// arrivals counts the requests that have reached an instance, by query.
type arrivals struct {
	mu     sync.Mutex
	counts map[string]int
}

func newArrivals() *arrivals { return &arrivals{counts: map[string]int{}} }

func (a *arrivals) add(query string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[query]++
}

func (a *arrivals) of(query string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts[query]
}

// cuts returns the number of different cuts, and most the most arrivals of one request.
func (a *arrivals) cuts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	cuts := map[string]bool{}
	for query := range a.counts {
		cut, _, _ := strings.Cut(query, "&")
		cuts[cut] = true
	}
	return len(cuts)
}

func (a *arrivals) most() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Max(slices.Collect(maps.Values(a.counts)))
}

// listTimes lists the instance at address under count IDs: one that fails is not used for some
// time.
func (f *fixture) listTimes(count int, address string) {
	backends := f.frontend.view.copies
	revision := replica.Revision{Number: backends.AsOf(platform.Backends).Number + 1}
	change := replica.Change{Whole: true, AsOf: revision}
	for i := range count {
		change.Documents = append(change.Documents, replica.Document{Name: fmt.Sprintf("i-%d", i), Revision: revision, Body: []byte(standin.EntryTestBackend(address))})
	}
	backends.ApplyFromPeer(platform.Backends, change, clock.Now(), "peer")
}

// oddHead is a response whose head is unusual. Its body is firstEvents or a part of it.
type oddHead struct {
	parts []string
	// mustArrive says that the caller gets the response. Otherwise it gets it whole, or no
	// success.
	mustArrive bool
}

// oddHeads returns complete responses.
func oddHeads(body string) map[string]oddHead {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	whole := withLength(body)
	ok := func(headers, body string) []string { return []string{sealed("HTTP/1.1 200 OK", headers, body)} }
	interim := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	inName, inValue := strings.Index(whole, standin.HeaderSeal)+4, strings.Index(whole, "seal-")+2
	return map[string]oddHead{
		"interim heads":                {[]string{interim, whole}, true},
		"interim head with a length":   {[]string{sealed("HTTP/1.1 103 Early Hints", "Content-Length: 0\r\n", ""), whole}, true},
		"pause before the head":        {[]string{"", whole}, true},
		"pause within the status line": {[]string{whole[:7], whole[7:]}, true},
		"pause within a name":          {[]string{whole[:inName], whole[inName:]}, true},
		"pause within a value":         {[]string{whole[:inValue], whole[inValue:]}, true},
		"pause after interim heads":    {[]string{interim, whole}, true},
		"pause within an interim head": {[]string{interim[:30], interim[30:] + whole}, true},
		"equal lengths":                {ok(length+length, body), false},
		"list of equal lengths":        {ok(fmt.Sprintf("Content-Length: %d, %d\r\n", len(body), len(body)), body), false},
		"upper case":                   {ok(strings.ToUpper(length), body), true},
		"lower case":                   {ok(strings.ToLower(length), body), true},
		"upper case, chunks":           {ok("TRANSFER-ENCODING: CHUNKED\r\n", chunked(body)), true},
		"length and chunks":            {ok("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", chunked(body)), false},
		"folded length":                {ok(fmt.Sprintf("Content-Length:\r\n %d\r\n", len(body)), body), false},
		"folded coding":                {ok("Transfer-Encoding:\r\n\tchunked\r\n", chunked(body)), false},
		"blank name":                   {ok(": x\r\n"+length, body), false},
		"blank name, chunks":           {ok("Transfer-Encoding: chunked\r\n: x\r\n", chunked(body)), false},
		"name with a space":            {ok(fmt.Sprintf("Content-Length : %d\r\n", len(body)), body), false},
		"name with a tab":              {ok(fmt.Sprintf("Content-Length\t: %d\r\n", len(body)), body), false},
		"chunks, name with a space":    {ok("Transfer-Encoding : chunked\r\n", chunked(body)), false},
		"chunks, name with spaces":     {ok("transfer-encoding  : chunked\r\n", chunked(body)), false},
		"lines end with LF":            {[]string{strings.Replace(whole, "\r\n", "\n", 5)}, false},
		"HTTP/1.0":                     {[]string{sealed("HTTP/1.0 200 OK", "", body)}, true},
		"HTTP/1.0, kept":               {[]string{sealed("HTTP/1.0 200 OK", "Connection: keep-alive\r\n", body)}, true},
		"HTTP/1.0, length":             {[]string{sealed("HTTP/1.0 200 OK", length, body)}, true},
		"other coding":                 {ok("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunked(body)), false},
		"bytes after the end":          {ok(length, body+whole), true},
		"interim heads, failure":       {[]string{interim + sealed("HTTP/1.1 500 Internal Server Error", "Content-Length: 0\r\n", "")}, false},
	}
}

// cutHeads returns responses that the instance has not completed, or that contradict
// themselves.
func cutHeads(body string) map[string]oddHead {
	half := body[:len(body)/2]
	whole := withLength(body)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	ok := func(headers, body string) []string { return []string{sealed("HTTP/1.1 200 OK", headers, body)} }
	return map[string]oddHead{
		"interim head only":                {parts: []string{"HTTP/1.1 103 Early Hints\r\n\r\n"}},
		"many interim heads":               {parts: []string{strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 5000)}},
		"sealed interim head only":         {parts: []string{sealed("HTTP/1.1 103 Early Hints", "Content-Length: 0\r\n", "")}},
		"status line only":                 {parts: []string{"HTTP/1.1 200 OK\r\n\r\n"}},
		"pause, cut":                       {parts: []string{whole[:30], ""}},
		"pause, cut in the next line":      {parts: []string{whole[:30], whole[30:80]}},
		"shorter second length":            {parts: ok(length+"Content-Length: 3\r\n", half)},
		"shorter first length":             {parts: ok("Content-Length: 3\r\n"+length, half)},
		"length, other case, shorter":      {parts: ok(length+"content-length: 3\r\n", half)},
		"length and cut chunks":            {parts: ok(fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(half)), "ff\r\n"+half)},
		"folded length, cut":               {parts: ok(fmt.Sprintf("Content-Length:\r\n %d\r\n", len(body)), half)},
		"name with a space, cut":           {parts: ok(fmt.Sprintf("Content-Length : %d\r\n", len(body)), half)},
		"name with a space, empty":         {parts: ok(fmt.Sprintf("Content-Length : %d\r\n", len(body)), "")},
		"name with a tab, cut":             {parts: ok(fmt.Sprintf("Content-Length\t: %d\r\n", len(body)), half)},
		"chunks, name with a space, cut":   {parts: ok("Transfer-Encoding : chunked\r\n", "ff\r\n"+half)},
		"chunks, name with a space, empty": {parts: ok("Transfer-Encoding : chunked\r\n", "")},
		"HTTP/1.0, cut length":             {parts: []string{sealed("HTTP/1.0 200 OK", length, half)}},
		"empty length":                     {parts: ok("Content-Length:\r\n", half)},
		"signed length":                    {parts: ok("Content-Length: +3\r\n", half)},
		"length with a unit":               {parts: ok("Content-Length: 3;\r\n", half)},
		"empty coding":                     {parts: ok("Transfer-Encoding:\r\n", half)},
		"identity coding":                  {parts: ok("Transfer-Encoding: identity\r\n", half)},
		"CR within a head":                 {parts: ok("X: y\r"+length, half)},
		"two heads in one":                 {parts: []string{whole[:strings.Index(whole, "\r\n\r\n")+2] + whole}},
		"head cut, another one follows":    {parts: []string{strings.Replace(whole, "\r\n\r\n", "\r\nDate: 1", 1)[:len(whole)-len(body)+4] + strings.Replace(withLength("x"), testAttempt, "other", 1)}},
		"two attempts":                     {parts: ok(standin.HeaderAttempt+": other\r\n"+length, body)},
		"two seals":                        {parts: ok(standin.HeaderSeal+": other\r\n"+length, body)},
	}
}

// TestOddHeadsArriveWhole guards against a response with interim heads, repeated or odd
// headers, or a pause in its head that reaches the caller as complete with another body.
func TestOddHeadsArriveWhole(t *testing.T) {
	for name, test := range oddHeads(firstEvents) {
		for _, path := range requestKinds {
			t.Run(name+", "+path, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				response, body, err := sendToScript(t, path, test.parts)
				if isComplete(response, err) {
					c.Check(body, qt.Equals, firstEvents)
				}
				c.Check(isComplete(response, err) || !test.mustArrive, qt.IsTrue, qt.Commentf("%v", err))
			})
		}
	}
}

// TestCutHeadsAreNeverComplete guards against the same for responses that were cut, or whose
// framing cannot be known.
func TestCutHeadsAreNeverComplete(t *testing.T) {
	for name, test := range cutHeads(firstEvents) {
		for _, path := range requestKinds {
			t.Run(name+", "+path, func(t *testing.T) {
				t.Parallel()
				response, body, err := sendToScript(t, path, test.parts)
				qt.Check(t, isComplete(response, err), qt.IsFalse, qt.Commentf("%q", body))
			})
		}
	}
}

// TestCodedHTTP10ResponseIsNeverComplete guards against the bytes of chunks that are forwarded
// as a body: HTTP/1.0 has no transfer codings, so the framing of such a response is unknown.
func TestCodedHTTP10ResponseIsNeverComplete(t *testing.T) {
	for _, body := range []string{chunked(firstEvents), "ff\r\n" + firstEvents, ""} {
		for _, path := range requestKinds {
			raw := sealed("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", body)
			response, body, err := sendToScript(t, path, []string{raw})
			qt.Check(t, isComplete(response, err) && body != firstEvents, qt.IsFalse, qt.Commentf("%s: %q", path, body))
		}
	}
}

// sendToScript sends a request to the only instance, which answers with the parts.
func sendToScript(t *testing.T, path string, parts []string) (*http.Response, string, error) {
	var reached atomic.Int32
	f := newFixture(t, rawScript(&reached, stopsAndGoesOn, parts...))
	f.allowNoRetries()
	response, body, err := f.do(http.MethodPost, path)
	qt.Check(t, reached.Load(), qt.Equals, int32(1))
	return response, body, err
}

// resumeAtScript sends a request for a stream that ends after firstEvents, and goes on at an
// instance that answers with the parts.
func resumeAtScript(t *testing.T, parts []string) (*http.Response, string, error) {
	var reached atomic.Int32
	first := sealed("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(firstEvents), firstEvents))
	handler := func(w http.ResponseWriter, r *http.Request) {
		if reached.Load() == 0 {
			rawScript(&reached, 0, first)(w, r)
			return
		}
		rawScript(&reached, shortPause, parts...)(w, r)
	}
	f := newFixture(t, handler, handler)
	response, body, err := f.do(http.MethodPost, "/stream/x")
	qt.Check(t, reached.Load(), qt.Equals, int32(2))
	return response, body, err
}

// TestResumedStreamIsNeverShort guards against a stream that ends as complete, or goes on with
// other bytes, because the head or the body of the second response was cut or unusual.
func TestResumedStreamIsNeverShort(t *testing.T) {
	scripts := map[string][]string{}
	for name, test := range oddHeads(lastEvents) {
		scripts[name] = test.parts
	}
	for name, test := range cutHeads(lastEvents) {
		scripts["cut: "+name] = test.parts
	}
	whole := withLength(lastEvents)
	for cut := range whole {
		scripts[fmt.Sprintf("cut at %d", cut)] = []string{whole[:cut]}
	}
	for name, parts := range scripts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			response, body, err := resumeAtScript(t, parts)
			if isComplete(response, err) {
				qt.Check(t, body, qt.Equals, firstEvents+lastEvents)
			}
			qt.Check(t, strings.HasPrefix(firstEvents+lastEvents, body), qt.IsTrue, qt.Commentf("%q", body))
		})
	}
}

// bodilessResponses are complete responses without a body, some of which have a length or
// bytes after their end.
func bodilessResponses() map[string]oddHead {
	return map[string]oddHead{
		"no content":                {parts: []string{sealed("HTTP/1.1 204 No Content", "", "")}},
		"no content, bytes follow":  {parts: []string{sealed("HTTP/1.1 204 No Content", "Content-Length: 5\r\n", "hello")}},
		"reset content":             {parts: []string{sealed("HTTP/1.1 205 Reset Content", "Content-Length: 0\r\n", "")}},
		"reset content, body":       {parts: []string{sealed("HTTP/1.1 205 Reset Content", "", "hello")}},
		"not modified":              {parts: []string{sealed("HTTP/1.1 304 Not Modified", "Content-Length: 500\r\n", "")}},
		"not modified, bytes":       {parts: []string{sealed("HTTP/1.1 304 Not Modified", "", withLength("hello"))}},
		"an empty body":             {parts: []string{sealed("HTTP/1.1 200 OK", "Content-Length: 0\r\n", "")}},
		"an error without a length": {parts: []string{sealed("HTTP/1.1 500 Internal Server Error", "", "hello")}},
	}
}

// TestNextRequestOnAKeptConnectionGetsItsOwnResponse guards against bytes of a cut or unusual
// response that stay on the caller's connection, where the next response is due. The two
// requests are sent one after the other, and together.
func TestNextRequestOnAKeptConnectionGetsItsOwnResponse(t *testing.T) {
	for _, scripts := range []map[string]oddHead{oddHeads(firstEvents), cutHeads(firstEvents), bodilessResponses()} {
		for name, test := range scripts {
			for _, method := range []string{http.MethodPost, http.MethodHead} {
				for _, isPipelined := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %s, pipelined %t", name, method, isPipelined), func(t *testing.T) {
						t.Parallel()
						sendTwo(qt.New(t), method, isPipelined, test.parts)
					})
				}
			}
		}
	}
}

// sendTwo sends a request that is answered with the parts and another one on the same
// connection, which the entry may close in between.
func sendTwo(c *qt.C, method string, isPipelined bool, parts []string) {
	var reached atomic.Int32
	f := newFixture(c.TB.(*testing.T), func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/odd") {
			rawScript(&reached, shortPause, parts...)(w, r)
			return
		}
		answerOK(w, r)
	})
	f.allowNoRetries()
	go f.frontend.scheduler.Run(c.TB.(*testing.T).Context())
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Assert(conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	reader := bufio.NewReader(conn)
	odd, next := newCallerRequest(c, method, "/once/odd", testAttempt), newCallerRequest(c, http.MethodPost, "/once/next", "attempt-2")
	c.Assert(odd.Write(conn), qt.IsNil)
	if isPipelined {
		c.Assert(next.Write(conn), qt.IsNil)
	}
	if _, _, err := readWhole(reader, odd); err != nil {
		// The connection ends with a response that cannot be complete.
		return
	}
	// The instance is not used for a while after a failure.
	if !isPipelined {
		time.Sleep(150 * time.Millisecond)
		if next.Write(conn) != nil {
			return
		}
	}
	response, body, err := readWhole(reader, next)
	if err != nil {
		c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
		return
	}
	if response.StatusCode == http.StatusOK {
		c.Assert(body, qt.Equals, "answer")
		c.Assert(response.Header.Get(standin.HeaderAttempt), qt.Equals, "attempt-2")
	} else {
		c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	}
	c.Assert(reader.Buffered(), qt.Equals, 0)
}

func newCallerRequest(c *qt.C, method, path, attempt string) *http.Request {
	request, err := http.NewRequest(method, "http://"+testHost+path, http.NoBody)
	c.Assert(err, qt.IsNil)
	standin.CallerRequest{AttemptID: attempt, APIKey: "good", TimeLeft: 2500 * time.Millisecond}.SetHeaders(request.Header)
	return request
}

func readWhole(reader *bufio.Reader, request *http.Request) (*http.Response, string, error) {
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}
