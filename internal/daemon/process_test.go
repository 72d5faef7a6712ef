package daemon

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/logging"
)

// childVariable holds the configuration of a test process, as JSON. Signals and the
// framework's shutdown are global to a process, so each test that needs them starts its
// own.
const childVariable = "DAEMON_TEST_CHILD"

// childConfig is what a test process runs.
type childConfig struct {
	Address                string
	LeaveDelay, DrainLimit time.Duration
	// BeforeNew and BeforeRun delay the start.
	BeforeNew, BeforeRun time.Duration
	// RecordPath names the file to which the handler writes each request that it begins.
	RecordPath string
}

func TestMain(m *testing.M) {
	if raw := os.Getenv(childVariable); raw != "" {
		runChild(raw)
		return
	}
	os.Exit(m.Run())
}

func runChild(raw string) {
	var config childConfig
	if err := json.Unmarshal([]byte(raw), &config); err != nil {
		panic(err)
	}
	record, err := os.OpenFile(config.RecordPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	fmt.Println("started")
	time.Sleep(config.BeforeNew)
	log := logging.New(logging.NewBoundedWriter(os.Stdout), "info", "i-1", "zone-1")
	d := New(Config{Name: "test", LeaveDelay: config.LeaveDelay, DrainLimit: config.DrainLimit, MaxConnections: 2000, StallLimit: testStallLimit}, log)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintln(record, r.Header.Get("Id"))
		delay, _ := time.ParseDuration(r.Header.Get("Delay"))
		time.Sleep(delay)
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "answer")
	})
	if err := d.Listen(Listener{Address: config.Address, Fallback: handler, MaxBodyBytes: 1000}); err != nil {
		panic(err)
	}
	time.Sleep(config.BeforeRun)
	if err := d.Run(); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
}

// child is a running test process.
type child struct {
	config  childConfig
	command *exec.Cmd
	output  *lockedBuffer
	// exited is closed when the process has ended, at exitedAt.
	exited   chan struct{}
	exitedAt time.Time
}

type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func startChild(t testing.TB, config childConfig) *child {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	config.Address = listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	config.RecordPath = filepath.Join(t.TempDir(), "record")
	raw, err := json.Marshal(config)
	qt.Assert(t, err, qt.IsNil)
	c := &child{config: config, command: exec.Command(os.Args[0]), output: &lockedBuffer{}, exited: make(chan struct{})}
	c.command.Env = append(os.Environ(), childVariable+"="+string(raw))
	c.command.Stdout, c.command.Stderr = c.output, c.output
	qt.Assert(t, c.command.Start(), qt.IsNil)
	go func() {
		_ = c.command.Wait()
		c.exitedAt = time.Now()
		close(c.exited)
	}()
	t.Cleanup(func() {
		_ = c.command.Process.Kill()
		<-c.exited
	})
	return c
}

func (c *child) waitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("timeout: %s; output:\n%s", what, c.output)
		}
		time.Sleep(time.Millisecond)
	}
}

func (c *child) waitOutput(t testing.TB, text string) {
	t.Helper()
	c.waitFor(t, text, func() bool { return strings.Contains(c.output.String(), text) })
}

func (c *child) waitListening(t testing.TB) {
	t.Helper()
	c.waitFor(t, "listening", func() bool {
		conn, err := net.Dial("tcp", c.config.Address)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
}

func (c *child) signal(t testing.TB, signal syscall.Signal) time.Time {
	t.Helper()
	at := time.Now()
	qt.Assert(t, c.command.Process.Signal(signal), qt.IsNil)
	return at
}

// waitExit returns the exit code and the time since then.
func (c *child) waitExit(t testing.TB, since time.Time) (int, time.Duration) {
	t.Helper()
	select {
	case <-c.exited:
	case <-time.After(testTimeout):
		t.Fatalf("the process did not exit; output:\n%s", c.output)
	}
	return c.command.ProcessState.ExitCode(), c.exitedAt.Sub(since)
}

// begun returns the IDs of the requests that the handler has begun.
func (c *child) begun(t testing.TB) map[string]bool {
	t.Helper()
	raw, err := os.ReadFile(c.config.RecordPath)
	qt.Assert(t, err, qt.IsNil)
	ids := map[string]bool{}
	for id := range strings.FieldsSeq(string(raw)) {
		ids[id] = true
	}
	return ids
}

func (c *child) countBegun(t testing.TB) int {
	t.Helper()
	raw, err := os.ReadFile(c.config.RecordPath)
	qt.Assert(t, err, qt.IsNil)
	return strings.Count(string(raw), "\n")
}

// keptConnection is a client connection that is used for several requests.
type keptConnection struct {
	conn   net.Conn
	reader *bufio.Reader
	// closing reports whether the last response announced the end of the connection.
	closing bool
}

func (c *child) dial(t testing.TB) *keptConnection {
	t.Helper()
	conn, err := net.Dial("tcp", c.config.Address)
	qt.Assert(t, err, qt.IsNil)
	return &keptConnection{conn: conn, reader: bufio.NewReader(conn)}
}

func (k *keptConnection) send(id string, delay time.Duration) error {
	_, err := fmt.Fprintf(k.conn, "GET / HTTP/1.1\r\nHost: a\r\nId: %s\r\nDelay: %s\r\n\r\n", id, delay)
	return err
}

func (k *keptConnection) receive() error {
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	k.closing = response.Close
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
