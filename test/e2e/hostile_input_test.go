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
	idleConnections = 700
	idleBatch       = 50
	// maxGrowth bounds what a daemon's memory may grow by under attack.
	maxGrowth = 128 << 20
	hostile   = "hostile"
)

// TestHostileInput attacks every listener of live daemons while a customer is
// served. Each attack must be refused clearly, the customer must not notice,
// nothing of an attack may run, and memory must stay flat.
func TestHostileInput(t *testing.T) {
	c := qt.New(t)
	const strict = "[listen]\nmax_connections = 300\nstall_limit = 1s\n"
	fleet := start(t, cluster.Config{
		Entries: []cluster.Instance{{Name: "entry-1", AvailabilityZone: "a", Region: "north", Extra: strict}},
		Agents:  []cluster.Instance{{Name: "booking-1", AvailabilityZone: "a", Region: "north", Service: true, Extra: strict}},
	})
	_, err := fleet.Apply("entry-1", 0, twoPools("v1", "0000000000000000000000000000000000000000000000000000000000000000"))
	c.Assert(err, qt.IsNil)
	c.Assert(fleet.WaitVersion(waitContext(t), "entry-1", "", "booking-1"), qt.IsNil)
	agentURL := "http://" + fleet.Row("booking-1").HTTPAddress
	before := map[string]int64{"entry-1": residentBytes(t, fleet.AdminURL("entry-1")), "booking-1": residentBytes(t, agentURL)}

	var done atomic.Int64
	stop := keepBooking(t, fleet, &done)
	var group sync.WaitGroup
	for _, attack := range []func(*testing.T, *cluster.Cluster){
		oversizedInput, stalledInput, truncatedInput, strangers, garbageOnControl,
		func(t *testing.T, fleet *cluster.Cluster) { idleStrangers(t, fleet, &done) },
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
	c.Assert(residentBytes(t, fleet.AdminURL("entry-1")) < before["entry-1"]+maxGrowth, qt.IsTrue)
	c.Assert(residentBytes(t, agentURL) < before["booking-1"]+maxGrowth, qt.IsTrue)
	var runs []standin.Execution
	c.Assert(cluster.GetJSON(fleet.BackendURL("booking-1")+"/records/engine", &runs), qt.IsNil)
	for _, run := range runs {
		c.Assert(run.Body, qt.Equals, "site")
	}
	c.Assert(len(runs), qt.Equals, served)
}

// keepBooking makes bookings until the function returned is called, which
// returns their number. Each must be done; ended counts them.
func keepBooking(t *testing.T, fleet *cluster.Cluster, ended *atomic.Int64) func() int {
	done := make(chan struct{})
	count := make(chan int)
	// A client of its own: the others' connections may be closed at any time.
	client := &http.Client{Transport: &http.Transport{}}
	go func() {
		for number := 0; ; number++ {
			select {
			case <-done:
				count <- number
				return
			default:
			}
			if outcome, err := book(client, fleet); err != nil || outcome != "done" {
				t.Errorf("booking %d: outcome %q, %v", number, outcome, err)
			}
			ended.Add(1)
		}
	}()
	return func() int {
		close(done)
		return <-count
	}
}

func book(client *http.Client, fleet *cluster.Cluster) (outcome string, err error) {
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

// residentBytes reads a daemon's memory from its metrics.
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
	t.Fatal("no process_resident_memory_bytes")
	return 0
}

// oversizedInput sends bodies and headers beyond the limits.
func oversizedInput(t *testing.T, fleet *cluster.Cluster) {
	body := strings.Repeat(hostile, 9<<20/len(hostile))
	for range 10 {
		// The refusal may be cut off by the reset that ends the upload.
		got := call("POST", fleet.PublicURL("entry-1")+"/book", "small", "", body)
		qt.Check(t, got.err != nil || got.status == http.StatusRequestEntityTooLarge, qt.IsTrue, qt.Commentf("status %d", got.status))
	}
	request, err := http.NewRequest(http.MethodPost, fleet.PublicURL("entry-1")+"/book", strings.NewReader(hostile))
	qt.Check(t, err, qt.IsNil)
	request.Header.Set("X-Large", strings.Repeat("x", 1<<20))
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		response.Body.Close()
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	}
}

// stalledInput begins requests and does not go on.
func stalledInput(t *testing.T, fleet *cluster.Cluster) {
	const head = "POST /book HTTP/1.1\r\nHost: a\r\nX-Plantain-Customer: small\r\nContent-Length: 100\r\n\r\n" + hostile
	const refused = "POST /attempt/book HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n" + hostile
	var conns []net.Conn
	for range 50 {
		conns = append(conns, dialRaw(t, fleet.Row("entry-1").HTTPAddress, head))
		conns = append(conns, dialRaw(t, fleet.Row("booking-1").HTTPAddress, refused))
	}
	for _, conn := range conns {
		waitClosed(t, conn)
	}
}

// truncatedInput ends requests in the middle.
func truncatedInput(t *testing.T, fleet *cluster.Cluster) {
	const head = "POST /book HTTP/1.1\r\nHost: a\r\nX-Plantain-Customer: small\r\nContent-Length: 100\r\n\r\n" + hostile
	for size := 1; size <= len(head); size += 5 {
		dialRaw(t, fleet.Row("entry-1").HTTPAddress, head[:size]).Close()
	}
}

// strangers ask without credentials, or with those of another role.
func strangers(t *testing.T, fleet *cluster.Cluster) {
	agent := "http://" + fleet.Row("booking-1").HTTPAddress
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
		request, err := http.NewRequest(sample.method, sample.url, strings.NewReader(hostile))
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

// garbageOnControl sends noise to the net/rpc listeners.
func garbageOnControl(t *testing.T, fleet *cluster.Cluster) {
	for _, name := range []string{"entry-1", "booking-1"} {
		for size := 1; size < 1<<20; size *= 4 {
			conn := dialRaw(t, fleet.Row(name).ControlAddress, string(bytes.Repeat([]byte{0xa5}, size)))
			if size < 32 {
				conn.Close() // shorter than a proof of the key
				continue
			}
			waitClosed(t, conn)
		}
	}
}

// idleStrangers hold more connections than each listener takes. Bookings end
// meanwhile: their connections are never among the oldest without a request.
func idleStrangers(t *testing.T, fleet *cluster.Cluster, bookings *atomic.Int64) {
	agent := fleet.Row("booking-1")
	addresses := []string{
		fleet.Row("entry-1").HTTPAddress, fleet.Row("entry-1").ControlAddress,
		strings.TrimPrefix(fleet.AdminURL("entry-1"), "http://"), agent.HTTPAddress, agent.ControlAddress,
	}
	for _, address := range addresses {
		for range idleConnections / idleBatch {
			for range idleBatch {
				dialRaw(t, address, "")
			}
			before := bookings.Load()
			qt.Check(t, cluster.WaitFor(waitContext(t), func() (bool, string) {
				return bookings.Load() >= before+2, "no booking ends any more"
			}), qt.IsNil)
		}
	}
	got := call("POST", fleet.PublicURL("entry-1")+"/book", "", "", hostile)
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.status, qt.Equals, http.StatusUnauthorized)
	_, err := fleet.Status("entry-1")
	qt.Check(t, err, qt.IsNil)
}

// dialRaw opens a connection that ends with the test and sends text.
func dialRaw(t *testing.T, address, text string) net.Conn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Errorf("dial %s: %v", address, err)
		return &net.TCPConn{}
	}
	t.Cleanup(func() { conn.Close() })
	// A listener may close before it has read everything.
	_, _ = fmt.Fprint(conn, text)
	return conn
}

// waitClosed waits until the other side has closed conn.
func waitClosed(t *testing.T, conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	_, err := io.Copy(io.Discard, conn)
	var stuck net.Error
	if err != nil && asNetError(err, &stuck) && stuck.Timeout() {
		t.Errorf("%s keeps the connection open", conn.RemoteAddr())
	}
}

func asNetError(err error, into *net.Error) bool {
	found, ok := err.(net.Error)
	*into = found
	return ok
}
