// Package hostile_test checks that an entry survives clients beyond the limits: it keeps
// running within the memory and the descriptors of its machine, and answers ordinary
// callers afterwards. The crowds are small, and the limits in the settings are as low.
package hostile_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/platform/standin"
)

const (
	host        = "service.example"
	key         = "key-1"
	smallPool   = "services"
	largePool   = "large"
	slots       = 64
	backendPort = 8081

	// memoryMb and maxDescriptors are the limits of the machine in the settings.
	memoryMb       = 136
	maxDescriptors = 320
	// reservedDescriptors are those of maxDescriptors that are kept for files.
	reservedDescriptors = 200
	// maxBodyBytes and maxHeadBytes are the limits of the tables.
	maxBodyBytes = 4 << 20
	maxHeadBytes = 16 << 10
	// largeResponseBytes is the size of a response on the route to largePool.
	largeResponseBytes = 8 << 20

	timeLimit    = 3 * time.Second
	startTimeout = 30 * time.Second
)

// program is the path of plantain-entry.
var program string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hostile-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "plantain-entry")
	if out, err := exec.Command("go", "build", "-o", program, "plantainrelay/cmd/plantain-entry").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

// entry is a running plantain-entry with the stand-ins that it uses.
type entry struct {
	t       *testing.T
	address string
	cmd     *exec.Cmd
	exited  chan struct{}
	logPath string
	// maxOpen is the largest number of open descriptors that was seen.
	maxOpen atomic.Int64
}

// startEntry starts an entry and waits until it serves. Bodies are limited to maxBody.
func startEntry(t *testing.T, maxBody int64) *entry {
	t.Helper()
	c := qt.New(t)
	base := freeNetwork(t)
	ip := fmt.Sprintf("127.%d.1.1", base)
	store := standin.NewStore()
	dir := t.TempDir()
	c.Assert(store.Put(standin.KindTables, standin.TableName, newTable(maxBody)), qt.IsNil)
	startBackend(t, store, fmt.Sprintf("127.%d.1.101", base), smallPool, 0)
	startBackend(t, store, fmt.Sprintf("127.%d.1.102", base), largePool, largeResponseBytes)
	settings := standin.Settings{
		Instance: "entry-a1", IP: ip, Zone: "a", Zones: map[string]string{"a": "north"}, Seeds: []string{ip}, Store: serve(t, store),
		RevokeMs: 5000, VersionMs: 8000, GraceS: 8, MemoryMb: memoryMb, MaxDescriptors: maxDescriptors,
	}
	path := filepath.Join(dir, "entry.toml")
	c.Assert(os.WriteFile(path, []byte(settings.Encode()), 0o600), qt.IsNil)
	e := &entry{t: t, address: net.JoinHostPort(ip, strconv.Itoa(standin.PortFront)), exited: make(chan struct{}), logPath: filepath.Join(dir, "entry.log")}
	output, err := os.Create(e.logPath)
	c.Assert(err, qt.IsNil)
	defer output.Close()
	e.cmd = exec.Command(program, "platform")
	e.cmd.Env = append(os.Environ(), standin.SettingsVariable+"="+path)
	e.cmd.Stdout, e.cmd.Stderr = output, output
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Assert(e.cmd.Start(), qt.IsNil)
	go func() {
		// The exit status is in ProcessState.
		_ = e.cmd.Wait()
		close(e.exited)
	}()
	t.Cleanup(func() {
		// An error means that the process has ended already.
		_ = e.cmd.Process.Kill()
		<-e.exited
	})
	e.awaitServed(startTimeout)
	return e
}

func newTable(maxBody int64) any {
	route := func(name, pool string) standin.Route {
		return standin.Route{Name: name, Host: host, PathPrefix: "/" + name + "/", Pool: pool, Kind: standin.NonIdempotent, Timeout: timeLimit, Objective: 300 * time.Millisecond}
	}
	return standin.Table{
		Version: 3, Routes: []standin.Route{route("small", smallPool), route("large", largePool)},
		Pools: []standin.Pool{{Name: smallPool, Slots: slots}, {Name: largePool, Slots: slots}},
		Keys:  map[string][]string{"firm-1": {key}}, MaxBodyBytes: maxBody, MaxHeadBytes: maxHeadBytes,
	}.Encode()
}

func startBackend(t *testing.T, store *standin.Store, ip, pool string, responseBytes int) {
	address := net.JoinHostPort(ip, strconv.Itoa(backendPort))
	listener, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	config := standin.BackendConfig{
		ID: "i-" + pool, Pool: pool, Zone: "a", Address: address, Slots: slots, ResponseBytes: responseBytes, OnStart: func(standin.Execution) {},
	}
	backend := standin.NewBackend(config, 0, nil)
	go backend.Serve(listener)
	t.Cleanup(func() { backend.Stop() })
	qt.Assert(t, store.Put(standin.KindBackends, config.ID, backend.Document()), qt.IsNil)
}

func serve(t *testing.T, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// freeNetwork returns the second byte of a network 127.x.0.0/16 whose first address has the
// ports of an entry free.
func freeNetwork(t *testing.T) int {
	for attempt := range 200 {
		if base := 20 + (os.Getpid()+attempt)%200; isFree(base) {
			return base
		}
	}
	t.Fatal("no free loopback network")
	return 0
}

func isFree(base int) bool {
	for _, port := range []int{standin.PortReady, standin.PortFront, standin.PortDirectory, standin.PortPeers} {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", base, port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

var attempts atomic.Int64

// head returns the head of a request with a new attempt ID and further header lines.
func head(target string, lines ...string) string {
	header := http.Header{}
	standin.CallerRequest{AttemptID: fmt.Sprintf("%016x", attempts.Add(1)), APIKey: key, TimeLeft: timeLimit}.SetHeaders(header)
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\n", target, host)
	// A strings.Builder returns no errors.
	_ = header.Write(&text)
	for _, line := range lines {
		text.WriteString(line + "\r\n")
	}
	return text.String() + "\r\n"
}

// request sends one request with a body and returns the status of its complete response.
func (e *entry) request(body []byte) (int, error) {
	conn, err := net.DialTimeout("tcp", e.address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(2 * timeLimit)); err != nil {
		return 0, err
	}
	if _, err := conn.Write(append([]byte(head("/small/1", "Content-Length: "+strconv.Itoa(len(body)))), body...)); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// awaitServed sends ordinary requests until one is served.
func (e *entry) awaitServed(limit time.Duration) {
	e.t.Helper()
	for until := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		e.checkRuns()
		status, err := e.request([]byte("an ordinary request"))
		if status == http.StatusOK && err == nil {
			return
		}
		if time.Now().After(until) {
			e.t.Fatalf("no ordinary request was served: status %d, %v\n%s", status, err, e.logEnd())
		}
	}
}

func (e *entry) checkRuns() {
	e.t.Helper()
	select {
	case <-e.exited:
		e.t.Fatalf("the entry has ended: %v\n%s", e.cmd.ProcessState, e.logEnd())
	default:
	}
}

// logEnd returns the last lines of the entry's log.
func (e *entry) logEnd() string {
	// Without a log, the failure is reported without it.
	text, _ := os.ReadFile(e.logPath)
	return string(text[max(len(text)-4000, 0):])
}

// watchDescriptors records the number of open descriptors until stop is closed.
func (e *entry) watchDescriptors(stop <-chan struct{}) {
	for {
		// A process that has ended has no descriptors; checkRuns reports it.
		open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.cmd.Process.Pid))
		e.maxOpen.Store(max(e.maxOpen.Load(), int64(len(open))))
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// peakMemory returns the largest resident size that the entry has had, in bytes.
func (e *entry) peakMemory() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	qt.Assert(e.t, err, qt.IsNil)
	for line := range bytes.Lines(text) {
		if value, found := bytes.CutPrefix(line, []byte("VmHWM:")); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(string(value)), " kB"), 10, 64)
			qt.Assert(e.t, err, qt.IsNil)
			return kilobytes << 10
		}
	}
	e.t.Fatal(errors.New("the status of the process has no VmHWM"))
	return 0
}
