// Package rig starts the project's programs as processes on loopback addresses, with stand-ins
// of the platform's store and its instances in this process, for the cases of the review.
package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"plantainrelay/platform/standin"
)

// The exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Zone is the availability zone of all processes, Region its region.
const (
	Zone   = "a"
	Region = "north"
)

// Rig holds the processes and the stand-ins of one case.
type Rig struct {
	Store        *standin.Store
	StoreAddress string
	// Trouble is false when the case has to run without its disruption.
	Trouble bool

	dir, base string
	started   time.Time
	mu        sync.Mutex
	record    *os.File
	processes []*Process
}

// New returns a rig that writes its record to the given file.
func New(path string) (*Rig, error) {
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &Rig{
		Store: standin.NewStore(), Trouble: os.Getenv("TROUBLE") != "0", dir: dir, started: time.Now(), record: record,
		base: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	return r, r.serveStore()
}

// serveStore serves the store at StoreAddress.
func (r *Rig) serveStore() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.StoreAddress = listener.Addr().String()
	server := &http.Server{Handler: r.Store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// IP returns the loopback address of a machine.
func (r *Rig) IP(number int) string { return fmt.Sprintf("%s.%d", r.base, number) }

// Record writes a line to the record, with the time since the start of the case.
func (r *Rig) Record(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// Process is a process of the project.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// Entry describes an entry process.
type Entry struct {
	Number int
	Seeds  []int
	// MemoryMb is the memory of its machine.
	MemoryMb int
}

// Start starts a program of the deploy file with the given settings.
func (r *Rig) Start(name, program, settings string) (*Process, error) {
	path := filepath.Join(r.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join("target", program), "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), standin.SettingsVariable + "=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		r.Record("process %s ended: %s", name, cmd.ProcessState)
		close(p.exited)
	}()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	r.Record("process %s started", name)
	return p, nil
}

// StartEntry starts an entry.
func (r *Rig) StartEntry(e Entry) (*Process, error) {
	settings := standin.Settings{
		Instance: fmt.Sprintf("entry-%d", e.Number), IP: r.IP(e.Number), Zone: Zone, Zones: map[string]string{Zone: Region}, Store: r.StoreAddress,
		RevokeMs: 5000, VersionMs: 8000, GraceS: 8, MemoryMb: e.MemoryMb, MaxDescriptors: 4100,
	}
	for _, seed := range e.Seeds {
		settings.Seeds = append(settings.Seeds, r.IP(seed))
	}
	return r.Start(settings.Instance, "plantain-entry", settings.Encode())
}

// StartAgent starts an agent beside the instance at backend.
func (r *Rig) StartAgent(number int, backend, pool string, seeds ...int) (*Process, error) {
	settings := standin.Settings{
		Instance: fmt.Sprintf("agent-%d", number), IP: r.IP(number), Zone: Zone, Zones: map[string]string{Zone: Region}, Store: r.StoreAddress,
		Backend: backend, Pool: pool, RevokeMs: 5000, VersionMs: 8000, GraceS: 8, MemoryMb: 152, MaxDescriptors: 2048,
	}
	for _, seed := range seeds {
		settings.Seeds = append(settings.Seeds, r.IP(seed))
	}
	return r.Start(settings.Instance, "plantain-agent", settings.Encode())
}

// Signal sends a signal to a process that this rig has started.
func (p *Process) Signal(signal syscall.Signal) error { return p.cmd.Process.Signal(signal) }

// ChangeSettings replaces the settings file of a process.
func (r *Rig) ChangeSettings(p *Process, change func(text string) string) error {
	path := filepath.Join(r.dir, p.Name+".toml")
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(change(string(raw))), 0o600)
}

// Log returns the log of a process.
func (r *Rig) Log(p *Process) string {
	raw, _ := os.ReadFile(filepath.Join(r.dir, p.Name+".log"))
	return string(raw)
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// SignalAll sends a signal to all processes.
func (r *Rig) SignalAll(signal syscall.Signal) {
	r.mu.Lock()
	processes := r.processes
	r.mu.Unlock()
	for _, p := range processes {
		// A process that has ended needs none.
		_ = p.Signal(signal)
	}
	if signal == syscall.SIGKILL {
		for _, p := range processes {
			<-p.exited
		}
	}
}

// AwaitReady waits until an entry says that it is ready.
func (r *Rig) AwaitReady(number int, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", r.IP(number), standin.PortReady))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			r.Record("entry %d is ready", number)
			return nil
		}
	}
	return errors.New("the entry did not get ready")
}

// Front returns the address at which an entry takes requests.
func (r *Rig) Front(number int) string {
	return fmt.Sprintf("%s:%d", r.IP(number), standin.PortFront)
}

// Close ends all processes, and keeps the directory with their logs if KEEP is set.
func (r *Rig) Close() {
	for _, p := range r.processes {
		if err := p.cmd.Process.Kill(); err == nil || errors.Is(err, os.ErrProcessDone) {
			<-p.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(r.dir)
	} else {
		fmt.Fprintln(os.Stderr, r.dir)
	}
	r.record.Close()
}

// Answer is the response to a request as it was received.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Sent says that the request was sent whole, Err why the response is not complete.
	Sent bool
	Err  error
}

// Send sends the bytes of one request on a new connection and reads the response.
func Send(address, method, request string, limit time.Duration) Answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(conn, request); err != nil {
		return Answer{Err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return Answer{Sent: true, Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(body), Sent: true, Err: err}
}

// String describes an answer for the record.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("status %d, incomplete: %v", a.Status, a.Err)
	}
	return fmt.Sprintf("status %d, seal %q, body %q", a.Status, a.Header.Get("Response-Seal"), shorten(a.Body))
}

func shorten(text string) string {
	const limit = 120
	text = strings.TrimSpace(text)
	return text[:min(len(text), limit)]
}
