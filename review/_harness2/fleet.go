package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"plantainrelay/platform/standin"
)

const (
	startTimeout = 20 * time.Second
	backendPort  = 8081
	callHost     = "service.example"
	apiKey       = "key-one"
	customer     = "customer-one"
	modelPool    = "engines"
	plainPool    = "bookings"
	originPool   = "origin"
)

var (
	zones = map[string]string{"a": "north", "b": "north", "c": "south"}
	model = standin.Weights{Model: "model", Chunks: 64, ChunkBytes: 32 << 10, Layers: 16}
)

// recorder writes what happens, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  io.Writer
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// connections are the open connections of a stand-in.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]bool
}

func newConnections() *connections { return &connections{open: map[net.Conn]bool{}} }

func (c *connections) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = true
	if state == http.StateClosed {
		delete(c.open, conn)
	}
}

// reset closes all connections with a reset.
func (c *connections) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// backend is one instance of a pool with its stand-in.
type backend struct {
	name, ip, zone, pool, address string
	starts                        int
	server                        *standin.Backend
	config                        standin.BackendConfig
	// reset ends the process of the stand-in: it resets all connections and refuses new ones.
	reset func()
}

func (b *backend) id() string { return fmt.Sprintf("i-%s-%d", b.name, b.starts) }

// process is one program of the project.
type process struct {
	name, ip string
	settings standin.Settings
	replace  map[string]string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	*recorder
	bin, dir     string
	base         int
	store        *standin.Store
	origin       *standin.Origin
	storeAddress string
	originHost   string
	processes    []*process
	backends     []*backend
	closers      []func()
	// wrap, when set, returns what is put before the stand-in of an instance.
	wrap func(*backend, http.Handler) http.Handler
	// edit, when set, changes the header of a client's request.
	edit func(http.Header)
}

func newFleet(bin string, record *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{recorder: record, bin: bin, dir: dir, store: standin.NewStore(), origin: standin.NewOrigin(model)}
	f.closers = append(f.closers, func() { os.RemoveAll(dir) })
	for range 50 {
		f.base = 20 + rand.IntN(200)
		probe, err := net.Listen("tcp", f.ip(1, 1)+":8005")
		if err == nil {
			probe.Close()
			break
		}
	}
	if f.storeAddress, err = f.serve(f.store); err != nil {
		return f, err
	}
	f.originHost, err = f.serve(f.origin)
	return f, err
}

func (f *fleet) ip(zone, host int) string { return fmt.Sprintf("127.%d.%d.%d", f.base, zone, host) }

func (f *fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	f.closers = append(f.closers, func() { server.Close() })
	go server.Serve(listener)
	return listener.Addr().String(), nil
}

// addBackend starts the stand-in of an instance and registers it. A model engine has the
// given version loaded.
func (f *fleet) addBackend(name, zone string, zoneNumber, host int, pool string, version int64, config standin.BackendConfig) (*backend, error) {
	b := &backend{name: name, ip: f.ip(zoneNumber, host), zone: zone, pool: pool, config: config}
	b.address = fmt.Sprintf("%s:%d", b.ip, backendPort)
	f.backends = append(f.backends, b)
	return b, f.startBackend(b, version, nil)
}

func (f *fleet) startBackend(b *backend, version int64, staged map[int][]byte) error {
	b.starts++
	config := b.config
	config.ID, config.Pool, config.Zone, config.Address = b.id(), b.pool, b.zone, b.address
	if config.Slots == 0 {
		config.Slots = 8
	}
	if b.pool == modelPool {
		weights := model
		config.Weights = &weights
	}
	if config.OnStart == nil {
		config.OnStart = func(standin.Execution) {}
	}
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.server = standin.NewBackend(config, version, staged)
	if f.wrap != nil {
		connections := newConnections()
		go (&http.Server{Handler: f.wrap(b, b.server), ConnState: connections.changed}).Serve(listener)
		b.reset = func() {
			listener.Close()
			connections.reset()
		}
	} else {
		go b.server.Serve(listener)
	}
	f.closers = append(f.closers, func() { listener.Close() })
	return f.register(b)
}

func (f *fleet) register(b *backend) error {
	return f.store.Put(standin.KindBackends, b.id(), b.server.Document())
}

// addEntry starts an entry. replace holds lines of its settings file that differ.
func (f *fleet) addEntry(name, zone string, zoneNumber, host, graceS int) (*process, error) {
	p := &process{name: name, ip: f.ip(zoneNumber, host), settings: f.settings(name, f.ip(zoneNumber, host), zone, graceS)}
	f.processes = append(f.processes, p)
	return p, f.start(p)
}

// addAgent starts the agent beside a model engine.
func (f *fleet) addAgent(b *backend, graceS int) (*process, error) {
	p := &process{name: "agent-" + b.name, ip: b.ip, settings: f.settings("agent-"+b.name, b.ip, b.zone, graceS)}
	p.settings.Backend, p.settings.Pool = b.address, b.pool
	f.processes = append(f.processes, p)
	return p, f.start(p)
}

func (f *fleet) settings(name, ip, zone string, graceS int) standin.Settings {
	return standin.Settings{
		Instance: name, IP: ip, Zone: zone, Zones: zones, Seeds: []string{f.ip(1, 1), f.ip(2, 1), f.ip(3, 1)}, Store: f.storeAddress,
		RevokeMs: 5000, VersionMs: 8000, GraceS: graceS, MaxDescriptors: 4100,
	}
}

func (p *process) isAgent() bool { return p.settings.Backend != "" }

func (f *fleet) writeSettings(p *process) error {
	return os.WriteFile(f.path(p, ".toml"), []byte(p.settings.Encode()), 0o600)
}

func (f *fleet) path(p *process, suffix string) string {
	return filepath.Join(f.dir, p.name+suffix)
}

// start starts a program with the command of the deploy file.
func (f *fleet) start(p *process) error {
	if err := f.writeSettings(p); err != nil {
		return err
	}
	output, err := os.OpenFile(f.path(p, ".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	program := "plantain-entry"
	if p.isAgent() {
		program = "plantain-agent"
	}
	cmd := exec.Command(filepath.Join(f.bin, program), "platform")
	cmd.Env = append(os.Environ(), standin.SettingsVariable+"="+f.path(p, ".toml"))
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		cmd.Wait()
		close(exited)
	}()
	f.log("started %s with process id %d", p.name, cmd.Process.Pid)
	return nil
}

func (f *fleet) signal(p *process, signal syscall.Signal) error {
	f.log("signal %v to %s", signal, p.name)
	return p.cmd.Process.Signal(signal)
}

// awaitReady waits until all entries are ready.
func (f *fleet) awaitReady() error {
	until := time.Now().Add(startTimeout)
	for _, p := range f.processes {
		for !p.isAgent() {
			response, err := http.Get(fmt.Sprintf("http://%s:%d%s", p.ip, standin.PortReady, standin.ReadyPath))
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return errors.New(p.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// printLogs copies the lines of a process's log that contain one of the words to the record.
func (f *fleet) printLogs(limit int, words ...string) {
	for _, p := range f.processes {
		raw, _ := os.ReadFile(f.path(p, ".log"))
		count := 0
		for _, line := range bytes.Split(raw, []byte("\n")) {
			for _, word := range words {
				if count < limit && bytes.Contains(line, []byte(word)) {
					count++
					f.log("log of %s: %s", p.name, line)
					break
				}
			}
		}
	}
}

// closeOnSignal ends all processes if this one is told to stop.
func (f *fleet) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	f.close()
	os.Exit(2)
}

func (f *fleet) close() {
	for _, p := range f.processes {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
	for _, b := range f.backends {
		b.server.Stop()
	}
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}

// answer is what a client has received. err is why it is not complete.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a answer) String() string {
	text := fmt.Sprintf("status %d, %d bytes", a.status, len(a.body))
	if a.err != nil {
		text += ", broken off: " + a.err.Error()
	}
	return text
}

// newClient returns a client that opens a new connection for each request.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// call sends a request to the front address of an entry.
func (f *fleet) call(client *http.Client, p *process, method, path, body string, request standin.CallerRequest) answer {
	return f.callTraced(client, p, method, path, body, request, nil)
}

// callTraced is call; gotConn, when set, is told the channel of the request.
func (f *fleet) callTraced(client *http.Client, p *process, method, path, body string, request standin.CallerRequest, gotConn func(httptrace.GotConnInfo)) answer {
	var reader io.Reader
	if body != "" {
		reader = bytes.NewReader([]byte(body))
	}
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d", p.ip, standin.PortFront), reader)
	if err != nil {
		return answer{err: err}
	}
	r.URL.Opaque, r.Host = path, callHost
	request.APIKey = apiKey
	request.SetHeaders(r.Header)
	if f.edit != nil {
		f.edit(r.Header)
	}
	if gotConn != nil {
		r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: gotConn}))
	}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: raw, err: err}
}
