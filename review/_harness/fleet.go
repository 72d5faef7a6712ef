package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"plantainrelay/platform/standin"
)

// The pools of the deployment.
const (
	modelPool   = "engines"
	servicePool = "services"
	originPool  = "origin"
)

// backendPort is the port of each backend server on its own loopback address.
const backendPort = 8081

// firstBackendHost is the last byte of the first backend server's address.
const firstBackendHost = 101

// engineSlots is the number of requests that a model engine processes at once, serviceSlots
// the same for an instance of another service.
const engineSlots, serviceSlots = 16, 6

// expiryTime is the time after which the list drops a crashed instance: three intervals
// of 1,200 ms (HeartbeatMs) without a status report.
const expiryTime = 3600 * time.Millisecond

var (
	zones       = []string{"a", "b", "c"}
	zoneRegions = map[string]string{"a": "north", "b": "north", "c": "south"}
	// modelWeights describes the weights of the model pool.
	modelWeights = standin.Weights{Model: "model", Chunks: 16, ChunkBytes: 8 << 10, Layers: 4}
)

// process is a program of the project that this harness has started.
type process struct {
	name, ip, zone, program, backendAddress, pool string
	cmd                                           *exec.Cmd
	exited                                        chan struct{}
}

// backend is a stand-in of a backend server.
type backend struct {
	fleet          *fleet
	name, ip, zone string
	pool           string
	// handle answers the requests of callers; next is the sound stand-in of the project.
	handle func(b *backend, next http.Handler, w http.ResponseWriter, r *http.Request)

	mu     sync.Mutex
	starts int
	id     string
	server *http.Server
	// conns holds the open connections, which a crash resets.
	conns   map[net.Conn]bool
	crashed bool
	sound   *standin.Backend
}

// fleet is a small deployment on loopback addresses: the programs of the project as
// separate processes, the store, the origin of weights and the backend servers as
// stand-ins.
type fleet struct {
	record  *record
	root    string
	dir     string
	base    int
	store   *standin.Store
	servers []*http.Server
	// storeAddress and originAddress are the addresses of the stand-ins.
	storeAddress, originAddress string
	entries                     []*process
	agents                      []*process
	backends                    []*backend
}

// newFleet returns a deployment with a store and an origin, and without instances.
func newFleet(root string, record *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: record, root: root, dir: dir, store: standin.NewStore()}
	if f.base, err = freeNetwork(); err != nil {
		return nil, err
	}
	if f.storeAddress, err = f.serve(f.store); err != nil {
		return nil, err
	}
	f.originAddress, err = f.serve(publishedOnly(standin.NewOrigin(modelWeights)))
	return f, err
}

// publishedOnly answers requests for other versions than the first one with 404: no other
// one was ever named.
func publishedOnly(origin http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("Version") != "1" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		origin.ServeHTTP(w, r)
	})
}

// freeNetwork returns the second byte of a network 127.x.0.0/16 whose first address has
// the ports of an entry free.
func freeNetwork() (int, error) {
	for attempt := range 200 {
		base := 20 + (os.Getpid()+attempt)%200
		if isFree(base) {
			return base, nil
		}
	}
	return 0, errors.New("no free loopback network")
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

func (f *fleet) address(zone, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.base, zone+1, host)
}

func (f *fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// publish writes the tables, as the operator does.
func (f *fleet) publish(table map[string]any) error {
	return f.store.Put(standin.KindTables, standin.TableName, table)
}

// addEntries starts entries, one after the other in the zones.
func (f *fleet) addEntries(count int) error {
	for i := range count {
		name := fmt.Sprintf("entry-%s%d", zones[i%len(zones)], i/len(zones)+1)
		started, err := f.start(name, f.address(i%len(zones), i/len(zones)+1), zones[i%len(zones)], "plantain-entry", "", "")
		if err != nil {
			return err
		}
		f.entries = append(f.entries, started)
	}
	return nil
}

// addBackends starts backend servers of a pool. Those of the model pool hold version 1
// and get an agent each.
func (f *fleet) addBackends(pool string, count int, handle func(*backend, http.Handler, http.ResponseWriter, *http.Request)) error {
	for i := range count {
		zone := i % len(zones)
		b := &backend{fleet: f, name: fmt.Sprintf("%s-%d", pool, i+1), ip: f.address(zone, firstBackendHost+len(f.backends)), zone: zones[zone], pool: pool, handle: handle}
		version := int64(0)
		if pool == modelPool {
			version = 1
		}
		if err := b.start(version, nil); err != nil {
			return err
		}
		f.backends = append(f.backends, b)
		if pool != modelPool {
			continue
		}
		agent, err := f.start("agent-"+b.name, b.ip, b.zone, "plantain-agent", b.address(), pool)
		if err != nil {
			return err
		}
		f.agents = append(f.agents, agent)
	}
	return nil
}

// start starts a program with the command of the deploy file.
func (f *fleet) start(name, ip, zone, program, backendAddress, pool string) (*process, error) {
	settings := standin.Settings{
		Instance: name, IP: ip, Zone: zone, Zones: zoneRegions, Seeds: []string{f.address(0, 1), f.address(1, 1), f.address(2, 1)},
		Store: f.storeAddress, Backend: backendAddress, Pool: pool, RevokeMs: 5000, VersionMs: 8000, GraceS: 8,
	}
	path := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings.Encode()), 0o600); err != nil {
		return nil, err
	}
	output, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	cmd := exec.Command(filepath.Join(f.root, "target", program), "platform")
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), standin.SettingsVariable + "=" + path}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, ip: ip, zone: zone, program: program, backendAddress: backendAddress, pool: pool, cmd: cmd, exited: make(chan struct{})}
	f.record.add("start", "%s is process %d", name, cmd.Process.Pid)
	go func() {
		// The exit status is in ProcessState.
		_ = cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// restart starts a process that has ended once more.
func (f *fleet) restart(p *process) (*process, error) {
	return f.start(p.name, p.ip, p.zone, p.program, p.backendAddress, p.pool)
}

func (p *process) front() string { return fmt.Sprintf("%s:%d", p.ip, standin.PortFront) }

// hasExited reports whether the process has ended.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// waitReady waits until all entries say that they are ready.
func (f *fleet) waitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(limit)
	for _, entry := range f.entries {
		for {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", entry.ip, standin.PortReady))
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %s", entry.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// exits returns the names of the processes that have ended by themselves.
func (f *fleet) exits() (names []string) {
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		if p.hasExited() {
			names = append(names, p.name)
		}
	}
	return names
}

// close ends all processes and stand-ins that this harness has started.
func (f *fleet) close() {
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		// An error means that the process has ended already.
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	for _, b := range f.backends {
		b.stop()
	}
	for _, server := range f.servers {
		server.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		os.RemoveAll(f.dir)
	}
}

func (b *backend) address() string { return fmt.Sprintf("%s:%d", b.ip, backendPort) }

// start starts the backend server under a new ID and enters it in the list.
func (b *backend) start(version int64, staged map[int][]byte) error {
	listener, err := net.Listen("tcp", b.address())
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.starts++
	b.id, b.crashed, b.conns = fmt.Sprintf("i-%s-%d", b.name, b.starts), false, map[net.Conn]bool{}
	config := standin.BackendConfig{ID: b.id, Pool: b.pool, Zone: b.zone, Address: b.address(), Slots: serviceSlots, OnStart: b.began}
	if b.pool == modelPool {
		weights := modelWeights
		config.Weights, config.Slots = &weights, engineSlots
	}
	b.sound = standin.NewBackend(config, version, staged)
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute, ConnState: b.connChanged}
	server := b.server
	b.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return b.register()
}

// register writes the list entry, as the backend server does.
func (b *backend) register() error {
	b.mu.Lock()
	id, sound := b.id, b.sound
	b.mu.Unlock()
	return b.fleet.store.Put(standin.KindBackends, id, sound.Document())
}

func (b *backend) began(run standin.Execution) {
	b.fleet.record.add("run", "%s begins %s: %s %s", run.BackendID, run.Attempt, run.Method, run.URI)
}

func (b *backend) connChanged(conn net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		b.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(b.conns, conn)
	}
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	sound := b.sound
	b.mu.Unlock()
	if b.handle != nil && r.Header.Get(standin.HeaderAttempt) != "" {
		b.handle(b, sound, w, r)
		return
	}
	sound.ServeHTTP(w, r)
}

// crash ends the backend server as the crash of its process does: its connections are
// reset and new ones are refused. It starts again after the given time under a new ID,
// with its staged chunks and without weights. It reports whether it was running.
func (b *backend) crash(down time.Duration) bool { return b.end(down, true) }

// losePower is the same for a loss of power: what is staged is lost as well.
func (b *backend) losePower(down time.Duration) bool { return b.end(down, false) }

func (b *backend) end(down time.Duration, keepStaged bool) bool {
	b.mu.Lock()
	if b.crashed {
		b.mu.Unlock()
		return false
	}
	b.crashed = true
	for conn := range b.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// An error means that the connection is closed already.
			_ = tcp.SetLinger(0)
		}
	}
	server, sound, id := b.server, b.sound, b.id
	b.mu.Unlock()
	server.Close()
	staged := sound.Stop()
	if !keepStaged {
		staged = nil
	}
	time.AfterFunc(expiryTime, func() { b.fleet.store.Remove(standin.KindBackends, id) })
	time.AfterFunc(down, func() {
		if err := b.start(0, staged); err != nil {
			b.fleet.record.add("error", "%s cannot start again: %v", b.name, err)
		}
	})
	return true
}

func (b *backend) stop() {
	b.mu.Lock()
	server, sound := b.server, b.sound
	b.mu.Unlock()
	server.Close()
	sound.Stop()
}

// reportLoop writes the list entries regularly, since the versions in them change.
func (f *fleet) reportLoop(stop <-chan struct{}) {
	ticker := time.NewTicker(400 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for _, b := range f.backends {
			b.mu.Lock()
			crashed := b.crashed
			b.mu.Unlock()
			if !crashed {
				if err := b.register(); err != nil {
					f.record.add("error", "list entry of %s: %v", b.name, err)
				}
			}
		}
	}
}
