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

// programs is the folder with the programs.
var programs string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hostile-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs = dir
	if out, err := exec.Command("go", "build", "-o", dir+"/", "plantainrelay/cmd/plantain-entry", "plantainrelay/cmd/plantain-agent").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

// process is a running program.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	exited  chan struct{}
	logPath string
}

// entry is a running plantain-entry with the stand-ins that it uses.
type entry struct {
	*process
	address string
	// maxOpen is the largest number of open descriptors that was seen.
	maxOpen atomic.Int64
}

// startEntry starts an entry and waits until it serves. Bodies are limited to maxBody.
func startEntry(t *testing.T, maxBody int64) *entry {
	t.Helper()
	store := standin.NewStore()
	return startEntryAt(t, freeNetwork(t), store, store, newTable(maxBody), maxDescriptors)
}

// startEntryAt does so on the network 127.base.0.0/16, with a store that it reaches through a
// handler, with these tables, and on a machine with so many descriptors.
func startEntryAt(t *testing.T, base int, store *standin.Store, handler http.Handler, table standin.Table, descriptors int) *entry {
	t.Helper()
	c := qt.New(t)
	ip := fmt.Sprintf("127.%d.1.1", base)
	c.Assert(store.Put(standin.KindTables, standin.TableName, table.Encode()), qt.IsNil)
	startBackend(t, store, fmt.Sprintf("127.%d.1.101", base), smallPool, 0)
	startBackend(t, store, fmt.Sprintf("127.%d.1.102", base), largePool, largeResponseBytes)
	settings := standin.Settings{
		Instance: "entry-a1", IP: ip, Zone: "a", Zones: map[string]string{"a": "north"}, Seeds: []string{ip}, Store: serve(t, handler),
		RevokeMs: 5000, VersionMs: 8000, GraceS: 8, MemoryMb: memoryMb, MaxDescriptors: descriptors,
	}
	e := &entry{process: startProgram(t, "plantain-entry", settings), address: net.JoinHostPort(ip, strconv.Itoa(standin.PortFront))}
	e.awaitServed(startTimeout)
	return e
}

// startProgram starts a program with its settings.
func startProgram(t *testing.T, program string, settings standin.Settings) *process {
	t.Helper()
	c := qt.New(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.toml")
	c.Assert(os.WriteFile(path, []byte(settings.Encode()), 0o600), qt.IsNil)
	p := &process{t: t, exited: make(chan struct{}), logPath: filepath.Join(dir, "log")}
	output, err := os.Create(p.logPath)
	c.Assert(err, qt.IsNil)
	defer output.Close()
	p.cmd = exec.Command(filepath.Join(programs, program), "platform")
	p.cmd.Env = append(os.Environ(), standin.SettingsVariable+"="+path)
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Assert(p.cmd.Start(), qt.IsNil)
	go func() {
		// The exit status is in ProcessState.
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		// An error means that the process has ended already.
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	return p
}

func newTable(maxBody int64) standin.Table {
	route := func(name, pool string) standin.Route {
		return standin.Route{Name: name, Host: host, PathPrefix: "/" + name + "/", Pool: pool, Kind: standin.NonIdempotent, Timeout: timeLimit, Objective: 300 * time.Millisecond}
	}
	return standin.Table{
		Version: 3, Routes: []standin.Route{route("small", smallPool), route("large", largePool)},
		Pools: []standin.Pool{{Name: smallPool, Slots: slots}, {Name: largePool, Slots: slots}},
		Keys:  map[string][]string{"firm-1": {key}}, MaxBodyBytes: maxBody, MaxHeadBytes: maxHeadBytes,
	}
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

func (p *process) checkRuns() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatalf("the process has ended: %v\n%s", p.cmd.ProcessState, p.logEnd())
	default:
	}
}

// logEnd returns the last lines of the process's log.
func (p *process) logEnd() string {
	// Without a log, the failure is reported without it.
	text, _ := os.ReadFile(p.logPath)
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

// peakMemory returns the largest resident size that the process has had, in bytes.
func (p *process) peakMemory() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	qt.Assert(p.t, err, qt.IsNil)
	for line := range bytes.Lines(text) {
		if value, found := bytes.CutPrefix(line, []byte("VmHWM:")); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(string(value)), " kB"), 10, 64)
			qt.Assert(p.t, err, qt.IsNil)
			return kilobytes << 10
		}
	}
	p.t.Fatal(errors.New("the status of the process has no VmHWM"))
	return 0
}
