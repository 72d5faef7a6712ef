// Package testfleet runs the compiled programs of the system against stand-ins of
// the users' platform. Each program runs as a separate process on its own loopback
// address; the stand-ins run in the calling process.
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
	ModelPool    = "engines"
	BookingsPool = "bookings"
	RecordsPool  = "records"
	OriginPool   = "origin"
)

// Locations between which the network has links, in addition to the names of
// instances. Callers connect to entries, entries to backend servers, and all
// processes to the store.
const (
	NetCallers = "callers"
	NetEntries = "entries"
	NetStore   = "store"
)

const (
	backendPort, proxyPort = 8081, 8080
	slots                  = 8
)

// ZoneRegions maps the fleet's availability zones to their regions.
var ZoneRegions = map[string]string{"a": "north", "b": "north", "c": "south"}

// ModelWeights describes the weights of the model pool.
var ModelWeights = standin.Weights{Model: "model", Chunks: 16, ChunkBytes: 8 << 10, Layers: 4}

// Config describes a fleet.
type Config struct {
	// Entries and Engines are the numbers of instances in each availability zone.
	Entries, Engines int
	// Time limits in the settings of the processes: until a revoked key must no
	// longer be accepted, until all instances must serve a new version, and between
	// SIGTERM and SIGKILL.
	KeyRevokeTime, VersionSwitchTime, ShutdownGrace time.Duration
	// Bin is the directory of the programs, Dir that of the settings and logs of
	// the processes.
	Bin, Dir string
	// OnExecution is called for each request that a backend server starts to
	// execute, OnArrival, when set, for each that reaches one, OnProcessStart for each start of a process.
	OnExecution    func(standin.Execution)
	OnArrival      func(standin.Arrival)
	OnProcessStart func(instance string)
	// CrashPart is that of standin.BackendConfig for engines. OnCrash is called when one
	// crashes because of it. Then it refuses connections until StartBackend.
	CrashPart string
	OnCrash   func(instance *Instance, part string)
}

// Instance is the state of one instance of the fleet: an entry, a plain backend
// server, or an engine with its agent.
type Instance struct {
	Name, IP, Zone string
	// Pool is empty for an entry.
	Pool string
	// Address is the address at which a backend server accepts requests.
	Address string
	Process *Process
	Backend *standin.Backend
	// StartCount counts the starts of the backend server.
	StartCount int
	// accept ends the time in which connections to a crashed backend server are refused.
	accept func() error
}

// BackendID returns the ID of the backend server since its last start.
func (i *Instance) BackendID() string { return i.backendID(i.StartCount) }

func (i *Instance) backendID(start int) string { return fmt.Sprintf("i-%s-%d", i.Name, start) }

// Process is a started program.
type Process struct {
	Cmd *exec.Cmd
	// Exited is closed when the process has exited.
	Exited chan struct{}
}

// Fleet is a set of instances with the stand-ins and the network that they use.
type Fleet struct {
	config        Config
	Network       *faultproxy.Network
	Store         *standin.Store
	Origin        *standin.Origin
	OriginAddress string
	storeAddress  string
	ipBase        int
	servers       []*http.Server

	mu        sync.Mutex
	instances map[string]*Instance
}

// New returns a fleet without processes, so that tables can be written before
// Start.
func New(config Config) (*Fleet, error) {
	f := &Fleet{
		config: config, ipBase: 10 + os.Getpid()%200, instances: map[string]*Instance{}, Store: standin.NewStore(), Origin: standin.NewOrigin(ModelWeights),
		Network: faultproxy.NewNetwork(func(string, string) faultproxy.LinkConfig { return faultproxy.LinkConfig{Delay: time.Millisecond} }),
	}
	var err error
	if f.storeAddress, err = f.serveStandin(f.Store); err == nil {
		f.OriginAddress, err = f.serveStandin(f.Origin)
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
			instance := &Instance{Name: fmt.Sprintf("entry-%s%d", zone, i+1), IP: f.ip(number+1, i+1), Zone: zone}
			f.addInstance(instance)
		}
		for i := range f.config.Engines {
			instance := &Instance{Name: fmt.Sprintf("engine-%s%d", zone, i+1), IP: f.ip(number+1, 101+i), Zone: zone, Pool: ModelPool}
			if err := f.addBackend(instance, 1); err != nil {
				return err
			}
		}
		for i, pool := range []string{BookingsPool, RecordsPool} {
			instance := &Instance{Name: pool + "-" + zone, IP: f.ip(number+1, 201+i), Zone: zone, Pool: pool}
			if err := f.addBackend(instance, 0); err != nil {
				return err
			}
		}
	}
	for _, instance := range f.Instances() {
		if instance.Pool == "" || instance.Pool == ModelPool {
			if err := f.StartProcess(instance); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) ip(zone, host int) string { return fmt.Sprintf("127.%d.%d.%d", f.ipBase, zone, host) }

func (f *Fleet) addInstance(instance *Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[instance.Name] = instance
}

// Instances returns all instances, sorted by name.
func (f *Fleet) Instances() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*Instance
	for _, instance := range f.instances {
		all = append(all, instance)
	}
	slices.SortFunc(all, func(a, b *Instance) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// serveStandin serves a stand-in on a separate address and returns the address.
func (f *Fleet) serveStandin(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (f *Fleet) addBackend(instance *Instance, version int64) error {
	f.addInstance(instance)
	instance.Address = fmt.Sprintf("%s:%d", instance.IP, proxyPort)
	if _, err := f.Network.AddressAt(NetEntries, instance.Name, instance.Address, fmt.Sprintf("%s:%d", instance.IP, backendPort)); err != nil {
		return err
	}
	return f.StartBackend(instance, version, nil)
}

// StartBackend starts or restarts a backend server under a new ID. An engine
// starts with the given loaded version, 0 for none, and the given staged chunks.
func (f *Fleet) StartBackend(instance *Instance, version int64, staged map[int][]byte) error {
	instance.StartCount++
	config := standin.BackendConfig{
		ID: instance.BackendID(), Pool: instance.Pool, Zone: instance.Zone, Address: instance.Address, Slots: slots, OnStart: f.config.OnExecution, OnArrival: f.config.OnArrival,
	}
	if instance.Pool == ModelPool {
		weights := ModelWeights
		config.Weights, config.CrashPart = &weights, f.config.CrashPart
		config.BeforeCrash = func(part string) {
			f.RefuseConnections(instance)
			f.config.OnCrash(instance, part)
		}
	}
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", instance.IP, backendPort))
	if err != nil {
		return err
	}
	instance.Backend = standin.NewBackend(config, version, staged)
	go instance.Backend.Serve(listener)
	if err := f.acceptConnections(instance); err != nil {
		return err
	}
	return f.Register(instance)
}

// RefuseConnections makes a backend server refuse connections until StartBackend, as one
// whose process has ended.
func (f *Fleet) RefuseConnections(instance *Instance) {
	accept := f.Network.Refuse(NetEntries, instance.Name)
	f.mu.Lock()
	defer f.mu.Unlock()
	instance.accept = accept
}

func (f *Fleet) acceptConnections(instance *Instance) error {
	f.mu.Lock()
	accept := instance.accept
	instance.accept = nil
	f.mu.Unlock()
	if accept == nil {
		return nil
	}
	return accept()
}

// Register writes the record of a backend server to the platform's list, as the
// backend server itself does.
func (f *Fleet) Register(instance *Instance) error {
	return f.Store.Put(standin.KindBackends, instance.BackendID(), instance.Backend.Document())
}

// Deregister removes the record of an earlier start of a backend server.
func (f *Fleet) Deregister(instance *Instance, start int) {
	f.Store.Remove(standin.KindBackends, instance.backendID(start))
}

// StartProcess starts the process of an instance.
func (f *Fleet) StartProcess(instance *Instance) error {
	store, err := f.Network.Address(instance.Name, NetStore, f.storeAddress)
	if err != nil {
		return err
	}
	settings := standin.Settings{
		Instance: instance.Name, IP: instance.IP, Zone: instance.Zone, Zones: ZoneRegions, Seeds: []string{f.ip(1, 1), f.ip(2, 1), f.ip(3, 1)}, Store: store,
		RevokeMs: int(f.config.KeyRevokeTime.Milliseconds()), VersionMs: int(f.config.VersionSwitchTime.Milliseconds()), GraceS: int(f.config.ShutdownGrace.Seconds()),
	}
	program := "plantain-entry"
	if instance.Pool != "" {
		program = "plantain-agent"
		settings.Backend, settings.Pool = fmt.Sprintf("%s:%d", instance.IP, backendPort), instance.Pool
	}
	path := filepath.Join(f.config.Dir, instance.Name+".toml")
	output, err := os.OpenFile(filepath.Join(f.config.Dir, instance.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	process := &Process{Cmd: cmd, Exited: make(chan struct{})}
	f.mu.Lock()
	instance.Process = process
	f.mu.Unlock()
	f.config.OnProcessStart(instance.Name)
	go func() {
		// The exit status is available in Cmd.ProcessState.
		_ = cmd.Wait()
		close(process.Exited)
	}()
	return nil
}

// ProcessOf returns the process last started for an instance, nil if there is
// none.
func (f *Fleet) ProcessOf(instance *Instance) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return instance.Process
}

// Signal sends a signal to the process that this fleet started for an instance.
func (f *Fleet) Signal(instance *Instance, signal syscall.Signal) error {
	return f.ProcessOf(instance).Cmd.Process.Signal(signal)
}

// Close stops all processes, stand-ins and proxies of the fleet.
func (f *Fleet) Close() {
	for _, instance := range f.Instances() {
		if process := f.ProcessOf(instance); process != nil {
			if err := process.Cmd.Process.Kill(); err == nil || errors.Is(err, os.ErrProcessDone) {
				<-process.Exited
			}
		}
		if instance.Backend != nil {
			instance.Backend.Stop()
		}
	}
	f.Network.Close()
	for _, server := range f.servers {
		server.Close()
	}
}
