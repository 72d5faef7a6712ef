// Package testfleet runs the compiled programs of the system against stand-ins of
// the users' platform. Each runs as a separate process on its own loopback address.
package testfleet

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"plantainrelay/platform/standin"
	"plantainrelay/test/faultproxy"
)

// The pools of the fleet.
const (
	ModelPool  = "engines"
	PlainPool  = "bookings"
	OtherPool  = "records"
	OriginPool = "origin"
)

// Locations between which the network has links, in addition to the names of
// instances.
const (
	// Callers connect to entries, Entries to backend servers, and all processes to
	// the Store.
	Callers = "callers"
	Entries = "entries"
	Store   = "store"
)

const (
	backendPort, proxyPort = 8081, 8080
	slots                  = 8
)

// Zones maps the fleet's availability zones to their regions.
var Zones = map[string]string{"a": "north", "b": "north", "c": "south"}

// Weights describes the weights of the model pool.
var Weights = standin.Weights{Model: "model", Chunks: 16, ChunkBytes: 8 << 10, Layers: 4}

// Config describes a fleet.
type Config struct {
	// Entries and Engines are the numbers of instances in each availability zone.
	Entries, Engines int
	// Time limits in the settings of the processes: Revoke is the time after which a
	// revoked key must not be accepted, Version the time in which a new version must
	// serve everywhere, and Grace the time between SIGTERM and SIGKILL.
	Revoke, Version, Grace time.Duration
	// Bin is the directory of the programs, Dir that of the settings and logs of the
	// processes.
	Bin, Dir string
	// Executed is called for each request that a backend server starts to execute,
	// Started for each start of a process.
	Executed func(standin.Execution)
	Started  func(instance string)
}

// Place is one instance. It runs an entry, a plain backend server, or an engine
// with its agent.
type Place struct {
	Name, IP, Zone string
	// Pool is empty for an entry.
	Pool string
	// Address is the address at which a backend server accepts requests.
	Address string
	Process *Process
	Runner  *standin.Runner
	// Starts counts the starts of the backend server.
	Starts int
}

// BackendID returns the ID of the backend server since its last start.
func (p *Place) BackendID() string { return p.backendID(p.Starts) }

func (p *Place) backendID(start int) string { return fmt.Sprintf("i-%s-%d", p.Name, start) }

// Process is a started program.
type Process struct {
	Cmd *exec.Cmd
	// Exited is closed when the process has exited.
	Exited chan struct{}
}

// Fleet is a running system.
type Fleet struct {
	config        Config
	Network       *faultproxy.Network
	Store         *standin.Store
	Origin        *standin.Origin
	OriginAddress string
	storeAddress  string
	base          int
	servers       []*http.Server

	mu     sync.Mutex
	places map[string]*Place
}

// New returns a fleet without processes, so that tables can be written before
// Start.
func New(config Config) (*Fleet, error) {
	f := &Fleet{
		config: config, base: 10 + os.Getpid()%200, places: map[string]*Place{}, Store: standin.NewStore(), Origin: standin.NewOrigin(Weights),
		Network: faultproxy.NewNetwork(func(string, string) faultproxy.Path { return faultproxy.Path{Delay: time.Millisecond} }),
	}
	var err error
	if f.storeAddress, err = f.serve(f.Store); err == nil {
		f.OriginAddress, err = f.serve(f.Origin)
	}
	if err != nil {
		f.Close()
	}
	return f, err
}

// Start starts all instances.
func (f *Fleet) Start() error {
	for number, zone := range []string{"a", "b", "c"} {
		for i := range f.config.Entries {
			one := &Place{Name: fmt.Sprintf("entry-%s%d", zone, i+1), IP: f.ip(number+1, i+1), Zone: zone}
			f.add(one)
		}
		for i := range f.config.Engines {
			one := &Place{Name: fmt.Sprintf("engine-%s%d", zone, i+1), IP: f.ip(number+1, 101+i), Zone: zone, Pool: ModelPool}
			if err := f.addBackend(one, 1); err != nil {
				return err
			}
		}
		for i, pool := range []string{PlainPool, OtherPool} {
			one := &Place{Name: pool + "-" + zone, IP: f.ip(number+1, 201+i), Zone: zone, Pool: pool}
			if err := f.addBackend(one, 0); err != nil {
				return err
			}
		}
	}
	for _, one := range f.Places() {
		if one.Pool == "" || one.Pool == ModelPool {
			if err := f.StartProcess(one); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) ip(zone, host int) string { return fmt.Sprintf("127.%d.%d.%d", f.base, zone, host) }

func (f *Fleet) add(one *Place) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.places[one.Name] = one
}

// Places returns all instances, sorted by name.
func (f *Fleet) Places() []*Place {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*Place
	for _, one := range f.places {
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b *Place) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// serve serves a stand-in on a separate address and returns the address.
func (f *Fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (f *Fleet) addBackend(one *Place, version int64) error {
	f.add(one)
	one.Address = fmt.Sprintf("%s:%d", one.IP, proxyPort)
	if _, err := f.Network.AddressAt(Entries, one.Name, one.Address, fmt.Sprintf("%s:%d", one.IP, backendPort)); err != nil {
		return err
	}
	return f.StartBackend(one, version, nil)
}

// StartBackend starts or restarts a backend server under a new ID. An engine
// starts with the given loaded version, 0 for none, and the given staged chunks.
func (f *Fleet) StartBackend(one *Place, version int64, staged map[int][]byte) error {
	one.Starts++
	config := standin.RunnerConfig{
		ID: one.BackendID(), Pool: one.Pool, Zone: one.Zone, Address: one.Address, Slots: slots, Started: f.config.Executed,
	}
	if one.Pool == ModelPool {
		weights := Weights
		config.Weights = &weights
	}
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", one.IP, backendPort))
	if err != nil {
		return err
	}
	one.Runner = standin.NewRunner(config, version, staged)
	go one.Runner.Serve(listener)
	return f.List(one)
}

// List writes the record of a backend server to the platform's list, as the
// backend server itself does.
func (f *Fleet) List(one *Place) error {
	return f.Store.Put(standin.KindBackends, one.BackendID(), one.Runner.Entry())
}

// Unlist removes the record of an earlier start of a backend server.
func (f *Fleet) Unlist(one *Place, start int) {
	f.Store.Remove(standin.KindBackends, one.backendID(start))
}

// StartProcess starts the process of an instance.
func (f *Fleet) StartProcess(one *Place) error {
	store, err := f.Network.Address(one.Name, Store, f.storeAddress)
	if err != nil {
		return err
	}
	settings := standin.Settings{
		Instance: one.Name, IP: one.IP, Zone: one.Zone, Zones: Zones, Seeds: []string{f.ip(1, 1), f.ip(2, 1), f.ip(3, 1)}, Store: store,
		RevokeMs: int(f.config.Revoke.Milliseconds()), VersionMs: int(f.config.Version.Milliseconds()), GraceS: int(f.config.Grace.Seconds()),
	}
	program := "plantain-entry"
	if one.Pool != "" {
		program = "plantain-agent"
		settings.Backend, settings.Pool = fmt.Sprintf("%s:%d", one.IP, backendPort), one.Pool
	}
	path := filepath.Join(f.config.Dir, one.Name+".toml")
	output, err := os.OpenFile(filepath.Join(f.config.Dir, one.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	if err := os.WriteFile(path, []byte(settings.Encode()), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(f.config.Bin, program), "platform")
	cmd.Env = append(os.Environ(), standin.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	started := &Process{Cmd: cmd, Exited: make(chan struct{})}
	f.mu.Lock()
	one.Process = started
	f.mu.Unlock()
	f.config.Started(one.Name)
	go func() {
		// The exit status is available in Cmd.ProcessState.
		_ = cmd.Wait()
		close(started.Exited)
	}()
	return nil
}

// ProcessOf returns the process last started for an instance, nil if there is
// none.
func (f *Fleet) ProcessOf(one *Place) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return one.Process
}

// Signal sends a signal to the process that this fleet started for an instance.
func (f *Fleet) Signal(one *Place, signal syscall.Signal) error {
	return f.ProcessOf(one).Cmd.Process.Signal(signal)
}

// Close stops all processes, stand-ins and proxies of the fleet.
func (f *Fleet) Close() {
	for _, one := range f.Places() {
		if process := f.ProcessOf(one); process != nil {
			if err := process.Cmd.Process.Kill(); err == nil || errors.Is(err, os.ErrProcessDone) {
				<-process.Exited
			}
		}
		if one.Runner != nil {
			one.Runner.Stop()
		}
	}
	f.Network.Close()
	for _, server := range f.servers {
		server.Close()
	}
}
