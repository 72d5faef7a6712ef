package e2e_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/message"
	"plantainrelay/test/cluster"
	"plantainrelay/test/standin"
)

const (
	idleConnections     = 700
	idleConnectionBatch = 50
	// maxMemoryGrowth limits the growth of a daemon's resident memory under attack.
	maxMemoryGrowth = 128 << 20
	hostileBody     = "hostile"
)

// TestHostileInput sends hostile input to every listener of running daemons
// while a customer is served. Each attack must be rejected clearly, with an error
// status or a closed connection. The customer's bookings must all succeed, no
// hostile request may reach a backend server, and memory growth must stay within
// maxMemoryGrowth.
func TestHostileInput(t *testing.T) {
	c := qt.New(t)
	const strictListenSettings = "[listen]\nmax_connections = 300\nstall_limit = 1s\n"
	fleet := startCluster(t, cluster.Config{
		Entries: []cluster.Instance{{Name: "entry-1", AvailabilityZone: "a", Region: "north", ExtraSettings: strictListenSettings}},
		Agents:  []cluster.Instance{{Name: "booking-1", AvailabilityZone: "a", Region: "north", Service: true, ExtraSettings: strictListenSettings}},
	})
	_, err := fleet.Apply("entry-1", 0, modelAndBookingTables("v1", "0000000000000000000000000000000000000000000000000000000000000000"))
	c.Assert(err, qt.IsNil)
	c.Assert(fleet.WaitVersion(waitContext(t), "entry-1", "", "booking-1"), qt.IsNil)
	agentURL := "http://" + fleet.Listed("booking-1").HTTPAddress
	before := map[string]int64{"entry-1": residentBytes(t, fleet.AdminURL("entry-1")), "booking-1": residentBytes(t, agentURL)}

	var done atomic.Int64
	stop := bookContinuously(t, fleet, &done)
	var group sync.WaitGroup
	for _, attack := range []func(*testing.T, *cluster.Cluster){
		oversizedInput, stalledInput, truncatedInput, unauthorizedRequests, garbageToControlPort,
		func(t *testing.T, fleet *cluster.Cluster) { tooManyIdleConnections(t, fleet, &done) },
	} {
		group.Add(1)
		go func() {
			defer group.Done()
			attack(t, fleet)
		}()
	}
	group.Wait()
	served := stop()

	c.Assert(served > 0, qt.IsTrue)
	c.Assert(residentBytes(t, fleet.AdminURL("entry-1")) < before["entry-1"]+maxMemoryGrowth, qt.IsTrue)
	c.Assert(residentBytes(t, agentURL) < before["booking-1"]+maxMemoryGrowth, qt.IsTrue)
	var executions []standin.Execution
	c.Assert(cluster.GetJSON(fleet.BackendURL("booking-1")+"/records/engine", &executions), qt.IsNil)
	for _, execution := range executions {
		c.Assert(execution.Body, qt.Equals, "site")
	}
	c.Assert(len(executions), qt.Equals, served)
}

// bookContinuously sends bookings until the returned function is called, which
// returns their number. Each must have the outcome done. completed counts the
// bookings that have ended so far.
func bookContinuously(t *testing.T, fleet *cluster.Cluster, completed *atomic.Int64) func() int {
	done := make(chan struct{})
	count := make(chan int)
	// A separate client, because the daemons may close the connections of the
	// shared one at any time.
	client := &http.Client{Transport: &http.Transport{}}
	go func() {
		for number := 0; ; number++ {
			select {
			case <-done:
				count <- number
				return
			default:
			}
			if outcome, err := sendBooking(client, fleet); err != nil || outcome != "done" {
				t.Errorf("booking %d: outcome %q, %v", number, outcome, err)
			}
			completed.Add(1)
		}
	}()
	return func() int {
		close(done)
		return <-count
	}
}

func sendBooking(client *http.Client, fleet *cluster.Cluster) (outcome string, err error) {
	request, err := http.NewRequest(http.MethodPost, fleet.PublicURL("entry-1")+"/book", strings.NewReader("site"))
	if err != nil {
		return "", err
	}
	request.Header.Set(message.HeaderCustomer, "small")
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.Header.Get(message.HeaderOutcome), err
}

// residentBytes reads a daemon's resident memory from its metrics endpoint.
func residentBytes(t *testing.T, base string) int64 {
	t.Helper()
	response, err := http.Get(base + "/metrics")
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), "process_resident_memory_bytes "); found {
			bytes, err := strconv.ParseFloat(value, 64)
			qt.Assert(t, err, qt.IsNil)
			return int64(bytes)
		}
	}
	t.Fatal("metrics lack process_resident_memory_bytes")
	return 0
}

// oversizedInput sends bodies and headers that exceed the size limits.
func oversizedInput(t *testing.T, fleet *cluster.Cluster) {
	body := strings.Repeat(hostileBody, 9<<20/len(hostileBody))
	for range 10 {
		// The server resets the connection to stop the upload, which may cut off
		// the response.
		got := call("POST", fleet.PublicURL("entry-1")+"/book", "small", "", body)
		qt.Check(t, got.err != nil || got.status == http.StatusRequestEntityTooLarge, qt.IsTrue, qt.Commentf("status %d", got.status))
	}
	request, err := http.NewRequest(http.MethodPost, fleet.PublicURL("entry-1")+"/book", strings.NewReader(hostileBody))
	qt.Check(t, err, qt.IsNil)
	request.Header.Set("X-Large", strings.Repeat("x", 1<<20))
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		response.Body.Close()
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	}
}

// stalledInput starts requests and never completes their bodies.
func stalledInput(t *testing.T, fleet *cluster.Cluster) {
	const head = "POST /book HTTP/1.1\r\nHost: a\r\nX-Plantain-Customer: small\r\nContent-Length: 100\r\n\r\n" + hostileBody
	const unauthenticatedHead = "POST /attempt/book HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n" + hostileBody
	var conns []net.Conn
	for range 50 {
		conns = append(conns, dialRaw(t, fleet.Listed("entry-1").HTTPAddress, head))
		conns = append(conns, dialRaw(t, fleet.Listed("booking-1").HTTPAddress, unauthenticatedHead))
	}
	for _, conn := range conns {
		waitClosed(t, conn)
	}
}

// truncatedInput closes connections in the middle of a request.
func truncatedInput(t *testing.T, fleet *cluster.Cluster) {
	const head = "POST /book HTTP/1.1\r\nHost: a\r\nX-Plantain-Customer: small\r\nContent-Length: 100\r\n\r\n" + hostileBody
	for size := 1; size <= len(head); size += 5 {
		dialRaw(t, fleet.Listed("entry-1").HTTPAddress, head[:size]).Close()
	}
}

// unauthorizedRequests sends requests without credentials or with those of
// another role.
func unauthorizedRequests(t *testing.T, fleet *cluster.Cluster) {
	agent := "http://" + fleet.Listed("booking-1").HTTPAddress
	zeros := strings.Repeat("0", 64)
	for _, sample := range []struct {
		method, url, token string
		status             int
	}{
		{"GET", fleet.AdminURL("entry-1") + "/v1/tables", "", http.StatusUnauthorized},
		{"GET", fleet.AdminURL("entry-1") + "/v1/usage", "guess", http.StatusUnauthorized},
		{"PUT", fleet.AdminURL("entry-1") + "/v1/tables", "test viewer token", http.StatusForbidden},
		{"PUT", fleet.AdminURL("entry-1") + "/v1/tables", "test fleet key", http.StatusUnauthorized},
		{"POST", agent + message.PathAttempt + "/book", "", http.StatusUnauthorized},
		{"POST", agent + message.PathAttempt + "/book", "test editor token", http.StatusUnauthorized},
		{"GET", agent + "/plantain/v1/chunks/" + zeros + "/0", "guess", http.StatusUnauthorized},
		{"GET", agent + "/plantain/v1/chunks/" + zeros + "/-1", "test fleet key", http.StatusBadRequest},
		{"GET", agent + "/plantain/v1/chunks/" + zeros + "/0", "test fleet key", http.StatusNotFound},
		{"POST", fleet.PublicURL("entry-1") + "/book", "", http.StatusUnauthorized},
	} {
		request, err := http.NewRequest(sample.method, sample.url, strings.NewReader(hostileBody))
		qt.Check(t, err, qt.IsNil)
		request.Header.Set("Authorization", "Bearer "+sample.token)
		request.Close = true
		response, err := http.DefaultClient.Do(request)
		if !qt.Check(t, err, qt.IsNil) {
			continue
		}
		response.Body.Close()
		qt.Check(t, response.StatusCode, qt.Equals, sample.status, qt.Commentf("%s %s", sample.method, sample.url))
	}
}

// garbageToControlPort sends invalid bytes to the net/rpc listeners.
func garbageToControlPort(t *testing.T, fleet *cluster.Cluster) {
	for _, name := range []string{"entry-1", "booking-1"} {
		for size := 1; size < 1<<20; size *= 4 {
			conn := dialRaw(t, fleet.Listed(name).ControlAddress, string(bytes.Repeat([]byte{0xa5}, size)))
			if size < 32 {
				conn.Close() // shorter than the MAC of the handshake, so the server still waits for more
				continue
			}
			waitClosed(t, conn)
		}
	}
}

// tooManyIdleConnections opens more idle connections than each listener accepts.
// Bookings must still complete: a full listener closes the oldest connections
// without a request, and those of the bookings are never among them.
func tooManyIdleConnections(t *testing.T, fleet *cluster.Cluster, bookings *atomic.Int64) {
	agent := fleet.Listed("booking-1")
	addresses := []string{
		fleet.Listed("entry-1").HTTPAddress, fleet.Listed("entry-1").ControlAddress,
		strings.TrimPrefix(fleet.AdminURL("entry-1"), "http://"), agent.HTTPAddress, agent.ControlAddress,
	}
	for _, address := range addresses {
		for range idleConnections / idleConnectionBatch {
			for range idleConnectionBatch {
				dialRaw(t, address, "")
			}
			before := bookings.Load()
			qt.Check(t, cluster.WaitFor(waitContext(t), func() (bool, string) {
				return bookings.Load() >= before+2, "no booking completes any more"
			}), qt.IsNil)
		}
	}
	got := call("POST", fleet.PublicURL("entry-1")+"/book", "", "", hostileBody)
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.status, qt.Equals, http.StatusUnauthorized)
	_, err := fleet.Status("entry-1")
	qt.Check(t, err, qt.IsNil)
}

// dialRaw opens a connection, sends text and closes the connection when the test
// ends.
func dialRaw(t *testing.T, address, text string) net.Conn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Errorf("dial %s: %v", address, err)
		return &net.TCPConn{}
	}
	t.Cleanup(func() { conn.Close() })
	// A write error is expected: the listener may close the connection before it
	// has read everything.
	_, _ = fmt.Fprint(conn, text)
	return conn
}

// waitClosed waits until the peer has closed conn.
func waitClosed(t *testing.T, conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	_, err := io.Copy(io.Discard, conn)
	var netErr net.Error
	if err != nil && asNetError(err, &netErr) && netErr.Timeout() {
		t.Errorf("%s did not close the connection", conn.RemoteAddr())
	}
}

func asNetError(err error, into *net.Error) bool {
	found, ok := err.(net.Error)
	*into = found
	return ok
}
