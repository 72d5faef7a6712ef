package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/daemon"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// entryVariables hold the addresses of an entry that runs as a process of its own, and of its
// instance: a process handles signals once.
const (
	entryVariable    = "RELAY_TEST_ENTRY"
	instanceVariable = "RELAY_TEST_INSTANCE"
)

// The times of a planned stop: half of those that are usual.
const (
	stopGrace = 4 * time.Second
	// excusedUntil is the time after the signal until which a request may be cut, if its
	// instance still works on it in the last sixth of the grace period.
	excusedUntil = 1500 * time.Millisecond
	lastSixth    = stopGrace - stopGrace/6
	// stopTimeLeft is the time limit of each request.
	stopTimeLeft = 3 * time.Second
	sendInterval = 100 * time.Millisecond
	// crossingTime is how soon a connection ends whose request crosses its close.
	crossingTime = 200 * time.Millisecond
	// keptTicks is the number of intervals for which connections are kept open before the
	// signal; the last ones are idle when the leave delay ends.
	keptTicks = 16
	// lateInstances is the number of instances, so that no request waits for a slot.
	lateInstances = 400
	lateEvents    = 4
)

// instanceTimes are the times that instances take: usual and long ones, and no end.
var instanceTimes = []string{"50ms", "500ms", "2s", "1h"}

// lateRequest is a request to a stopping entry, and what its caller has got.
type lateRequest struct {
	id, path         string
	isKept           bool
	sentAt, endedAt  time.Time
	wasSent          bool
	status           int
	isWhole          bool
	err              error
	arrivals         int
	instanceWorkedAt time.Time
}

func (l *lateRequest) isOnce() bool {
	return strings.HasPrefix(l.path, "/once/") || strings.HasPrefix(l.path, "/fixed/")
}

func (l *lateRequest) String() string {
	return fmt.Sprintf("%s, kept %t, status %d, whole %t, after %s, %d arrivals, %v", l.path, l.isKept, l.status, l.isWhole, l.endedAt.Sub(l.sentAt), l.arrivals, l.err)
}

// lateInstance answers each request after the time that its path names. It records when each
// request arrived and when its connection ended.
type lateInstance struct {
	mu       sync.Mutex
	arrivals map[string]int
	workedAt map[string]time.Time
}

func (i *lateInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.HeaderAttempt)
	_, _ = io.Copy(io.Discard, r.Body)
	i.mu.Lock()
	i.arrivals[id]++
	i.mu.Unlock()
	defer func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.workedAt[id] = time.Now()
	}()
	duration, _ := time.ParseDuration(path.Base(r.URL.Path))
	writeSeal(w, r)
	if strings.HasPrefix(r.URL.Path, "/look/") || strings.HasPrefix(r.URL.Path, "/once/") {
		if waitOrClosed(r.Context(), duration) {
			_, _ = io.WriteString(w, "answer")
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEvent))
	for event := last + 1; event <= lateEvents; event++ {
		writeEvents(w, event, event)
		if !waitOrClosed(r.Context(), duration/lateEvents) {
			return
		}
	}
}

// waitOrClosed waits and reports whether the request is still wanted.
func waitOrClosed(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// TestEntryProcess is the entry of TestLateRequestsOfAPlannedStop, in a process of its own.
func TestEntryProcess(t *testing.T) {
	address := os.Getenv(entryVariable)
	if address == "" {
		return
	}
	f := newFixture(t)
	f.listTimes(lateInstances, os.Getenv(instanceVariable))
	go f.frontend.scheduler.Run(t.Context())
	settings := platform.Settings{}
	settings.Bounds.ShutdownGrace = stopGrace
	d := daemon.New(daemonConfig(settings), f.frontend.log)
	qt.Assert(t, d.Listen(daemon.Listener{Address: address, Fallback: f.frontend, MaxBodyBytes: maxBody}), qt.IsNil)
	d.OnDrain(f.frontend.shutdown.begin)
	qt.Assert(t, d.Run(), qt.IsNil)
}

// startEntry starts an entry and returns its address and process.
func startEntry(t *testing.T, instance string) (address string, process *exec.Cmd) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address = listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	process = exec.Command(os.Args[0], "-test.run=^TestEntryProcess$")
	process.Env = append(os.Environ(), entryVariable+"="+address, instanceVariable+"="+instance)
	process.Stderr = os.Stderr
	qt.Assert(t, process.Start(), qt.IsNil)
	t.Cleanup(func() { _ = process.Process.Kill() })
	waitUntil(qt.New(t), func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	return address, process
}

// lateCaller sends requests to an entry.
type lateCaller struct {
	address  string
	mu       sync.Mutex
	requests []*lateRequest
}

// open opens a connection and, to keep it, sends a request on it.
func (l *lateCaller) open(c *qt.C, id string) net.Conn {
	conn, err := net.Dial("tcp", l.address)
	c.Assert(err, qt.IsNil)
	first := &lateRequest{id: id, path: "/look/1ms"}
	first.send(conn)
	c.Assert(first.status, qt.Equals, http.StatusOK, qt.Commentf("%v", first))
	return conn
}

// send sends a request on conn, or on a fresh connection without one.
func (l *lateCaller) send(id, path string, conn net.Conn) {
	request := &lateRequest{id: id, path: path, isKept: conn != nil}
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.requests = append(l.requests, request)
	}()
	if conn == nil {
		if conn, request.err = net.Dial("tcp", l.address); request.err != nil {
			return
		}
	}
	defer conn.Close()
	request.send(conn)
}

func (l *lateRequest) send(conn net.Conn) {
	request, err := http.NewRequest(http.MethodPost, "http://"+testHost+l.path, strings.NewReader("body"))
	if err != nil {
		l.err = err
		return
	}
	standin.CallerRequest{AttemptID: l.id, APIKey: "good", TimeLeft: stopTimeLeft}.SetHeaders(request.Header)
	l.sentAt = time.Now()
	defer func() { l.endedAt = time.Now() }()
	if l.err = request.Write(conn); l.err != nil {
		return
	}
	l.wasSent = true
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		l.err = err
		return
	}
	defer response.Body.Close()
	l.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	l.err = err
	l.isWhole = err == nil && (l.status != http.StatusOK || string(body) == "answer" || strings.Count(string(body), "id: ") == lateEvents)
}

// TestLateRequestsOfAPlannedStop guards against requests that a stopping entry takes and cuts
// at its end (incident 0009). Requests of each kind are sent from the signal to the end of the
// grace period, to instances that take short, long and endless times.
func TestLateRequestsOfAPlannedStop(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	instance := &lateInstance{arrivals: map[string]int{}, workedAt: map[string]time.Time{}}
	server := httptest.NewServer(instance)
	address, process := startEntry(t, server.Listener.Addr().String())
	caller := &lateCaller{address: address}
	kept := map[string]net.Conn{}
	for tick := range keptTicks {
		for _, path := range latePaths() {
			key := fmt.Sprint(tick, path)
			kept[key] = caller.open(c, "first-"+key)
		}
	}
	qt.Assert(t, process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	signaledAt := time.Now()
	var group sync.WaitGroup
	for tick := 0; time.Since(signaledAt) < stopGrace; tick++ {
		for _, path := range latePaths() {
			key := fmt.Sprint(tick, path)
			if kept[key] != nil {
				group.Go(func() { caller.send("kept-"+key, path, kept[key]) })
			}
			group.Go(func() { caller.send("fresh-"+key, path, nil) })
		}
		time.Sleep(time.Until(signaledAt.Add(time.Duration(tick+1) * sendInterval)))
	}
	group.Wait()
	c.Check(process.Wait(), qt.IsNil)
	server.Close()
	passedOn := 0
	for _, request := range caller.requests {
		request.arrivals, request.instanceWorkedAt = instance.arrivals[request.id], instance.workedAt[request.id]
		if request.arrivals > 0 {
			passedOn++
		}
		request.check(c, signaledAt)
	}
	c.Check(passedOn > 2*len(latePaths()), qt.IsTrue, qt.Commentf("%d of %d requests were passed on", passedOn, len(caller.requests)))
}

// latePaths returns a path for each kind of request and each time of an instance.
func latePaths() []string {
	var paths []string
	for _, kind := range requestKinds {
		for _, duration := range instanceTimes {
			paths = append(paths, path.Dir(kind)+"/"+duration)
		}
	}
	return paths
}

// check compares what the caller has got with what the instances have.
func (l *lateRequest) check(c *qt.C, signaledAt time.Time) {
	if !l.wasSent {
		return
	}
	comment := qt.Commentf("sent %s after the signal: %v", l.sentAt.Sub(signaledAt), l)
	sentAfter := l.sentAt.Sub(signaledAt)
	isAtWork := sentAfter <= excusedUntil && l.instanceWorkedAt.Sub(signaledAt) >= lastSixth
	isTimedOut := l.endedAt.Sub(l.sentAt) >= stopTimeLeft
	switch {
	case l.arrivals == 0 && l.status == 0:
		c.Check(l.endedAt.Sub(l.sentAt) < crossingTime, qt.IsTrue, comment)
	case !isAtWork && !isTimedOut:
		c.Check(l.isWhole, qt.IsTrue, comment)
	}
	if l.status == http.StatusServiceUnavailable {
		c.Check(l.arrivals, qt.Equals, 0, comment)
	}
	if l.isOnce() {
		c.Check(l.arrivals <= 1, qt.IsTrue, comment)
	}
}
