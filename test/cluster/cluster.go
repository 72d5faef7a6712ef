// Package cluster runs the compiled programs of this project on loopback against
// stand-ins of the platform, for end-to-end tests, benchmarks and the demo.
package cluster

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"

	"plantainrelay/internal/admin"
	"plantainrelay/internal/member"
	"plantainrelay/internal/table"
	"plantainrelay/internal/weights"
)

// Programs lists the programs that Build compiles.
var Programs = []string{"plantain-entry", "plantain-agent", "plantainctl", "plantain-standin"}

// Build compiles the programs into dir.
func Build(dir string) error {
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	for _, program := range Programs {
		args = append(args, "plantainrelay/cmd/"+program)
	}
	output, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("build: %w\n%s", err, output)
	}
	return nil
}

// Instance describes one process to run.
type Instance struct {
	Name             string
	AvailabilityZone string
	Region           string
	// Service makes the backend server a plain service instead of a model engine.
	// It applies to agents only.
	Service bool
	// ExtraSettings is appended to the settings file, for example
	// "[weights]\npatience = 2s".
	ExtraSettings string
}

// Config describes a cluster.
type Config struct {
	// IP is the loopback address of all listeners; if empty, the cluster gets a
	// unique one.
	IP string
	// BinDir is the directory of the compiled programs.
	BinDir string
	// Dir is the directory for settings and logs.
	Dir     string
	Entries []Instance
	Agents  []Instance
	// Network, if set, connects the availability zones. The platform is located
	// in StoreZone.
	Network   Network
	StoreZone string
	// RecordExecutions makes the backend servers record their executions in files,
	// so that the records are available after a backend server was killed.
	RecordExecutions bool
	// Client is used for requests to entries and agents over HTTPS; nil means
	// http.DefaultClient over plain HTTP.
	Client *http.Client
	// CustomerSettings replaces the content of the settings section customers, which
	// by default trusts the header that names the customer.
	CustomerSettings string
}

func (c Config) customerSettings() string {
	if c.CustomerSettings != "" {
		return c.CustomerSettings
	}
	return "trust_header = yes"
}

// Process is one started program.
type Process struct {
	Name    string
	Command *exec.Cmd
	LogPath string
	exited  chan struct{}
	err     error
}

// Cluster is a running cluster.
type Cluster struct {
	config Config
	// ip is the loopback address of all listeners.
	ip string
	// PlatformURL is the base URL of the platform stand-in.
	PlatformURL string
	// Token authenticates the operator with the role editor.
	Token string

	listURL    string
	listServer *http.Server
	listBytes  map[string]int64

	mu          sync.Mutex
	processes   map[string]*Process
	instances   map[string]member.Instance
	backendURLs map[string]string
	adminURLs   map[string]string
}

const (
	fleetKey    = "test fleet key"
	editorToken = "test editor token"
	viewerToken = "test viewer token"
	// StartTimeout is the timeout for a started process to respond.
	StartTimeout = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Start starts the stand-ins and all entries and agents of config.
func Start(config Config) (*Cluster, error) {
	c := &Cluster{
		config:      config,
		ip:          config.IP,
		Token:       editorToken,
		processes:   map[string]*Process{},
		instances:   map[string]member.Instance{},
		backendURLs: map[string]string{},
		adminURLs:   map[string]string{},
		listBytes:   map[string]int64{},
	}
	if c.ip == "" {
		c.ip = UniqueLoopbackIP()
	}
	if err := c.writeSecrets(); err != nil {
		return nil, err
	}
	if err := c.startPlatform(); err != nil {
		return nil, err
	}
	if err := c.startListServer(); err != nil {
		return c, err
	}
	for _, instance := range config.Entries {
		if err := c.StartEntry(instance); err != nil {
			return c, err
		}
	}
	for _, instance := range config.Agents {
		if err := c.StartAgent(instance); err != nil {
			return c, err
		}
	}
	return c, c.PublishList()
}

func (c *Cluster) writeSecrets() error {
	hash := func(token string) string {
		sum := sha256.Sum256([]byte(token))
		return hex.EncodeToString(sum[:])
	}
	operators := fmt.Sprintf("[operator alice]\nrole = editor\ntoken_sha256 = %s\n[operator bob]\nrole = viewer\ntoken_sha256 = %s\n",
		hash(editorToken), hash(viewerToken))
	return errors.Join(
		os.WriteFile(c.path("fleet.key"), []byte(fleetKey), 0o600),
		os.WriteFile(c.path("operators.ini"), []byte(operators), 0o600),
		os.WriteFile(c.path("editor.token"), []byte(editorToken), 0o600),
		os.WriteFile(c.path("viewer.token"), []byte(viewerToken), 0o600),
	)
}

func (c *Cluster) path(name string) string {
	return filepath.Join(c.config.Dir, name)
}

// TokenFile returns the path of the editor's token file.
func (c *Cluster) TokenFile() string { return c.path("editor.token") }

// clusters counts the clusters that this process has started.
var clusters atomic.Int64

// UniqueLoopbackIP returns a loopback address that no other cluster uses, not
// even in another process, so that clusters that run concurrently never take each
// other's ports.
func UniqueLoopbackIP() string {
	const perByte = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%perByte, 1+pid/perByte%perByte, 1+clusters.Add(1)%perByte)
}

// freeAddresses returns addresses with unused ports on the cluster's IP.
func (c *Cluster) freeAddresses(count int) ([]string, error) {
	var listeners []net.Listener
	var addresses []string
	defer func() {
		for _, listener := range listeners {
			listener.Close()
		}
	}()
	for range count {
		listener, err := net.Listen("tcp", c.ip+":0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func (c *Cluster) startPlatform() error {
	addresses, err := c.freeAddresses(1)
	if err != nil {
		return err
	}
	address := addresses[0]
	c.PlatformURL = "http://" + address
	if _, err := c.startProcess("platform", "plantain-standin", "platform", "--listen", address); err != nil {
		return err
	}
	return WaitHTTP(c.PlatformURL + "/instances")
}

func (c *Cluster) startProcess(name, program string, args ...string) (*Process, error) {
	logPath := c.path(name + ".log")
	file, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	command := exec.Command(filepath.Join(c.config.BinDir, program), args...)
	command.Stdout, command.Stderr = file, file
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	process := &Process{Name: name, Command: command, LogPath: logPath, exited: make(chan struct{})}
	go func() {
		process.err = command.Wait()
		close(process.exited)
	}()
	c.mu.Lock()
	c.processes[name] = process
	c.mu.Unlock()
	return process, nil
}

func (c *Cluster) commonSettings(instance Instance, control string, platform platformURLs) string {
	return fmt.Sprintf(`[instance]
name = %s
availability_zone = %s
region = %s
[log]
level = debug
[fleet]
key_file = %s
[platform]
store_url = %s
origin_url = %s
list_url = %s
[control]
exchange_interval = 200ms
list_interval = 200ms
[shutdown]
leave_delay = 1s
drain_limit = 2m
[listen]
control = %s
`, instance.Name, instance.AvailabilityZone, instance.Region, c.path("fleet.key"), platform.store, platform.origin, platform.list, control)
}

// StartEntry starts an entry. PublishList adds it to the platform's list.
func (c *Cluster) StartEntry(instance Instance) error {
	addresses, err := c.freeAddresses(3)
	if err != nil {
		return err
	}
	control, public, adminAddress := addresses[0], addresses[1], addresses[2]
	platform, err := c.platformURLsFor(instance)
	if err != nil {
		return err
	}
	text := c.commonSettings(instance, control, platform) + fmt.Sprintf("public = %s\nadmin = %s\n[admin]\noperators_file = %s\n[customers]\n%s\n%s\n",
		public, adminAddress, c.path("operators.ini"), c.config.customerSettings(), instance.ExtraSettings)
	if err := c.startDaemon(instance.Name, "plantain-entry", text); err != nil {
		return err
	}
	c.mu.Lock()
	c.instances[instance.Name] = c.listedInstance(instance, member.RoleEntry, public, control)
	c.adminURLs[instance.Name] = c.scheme() + adminAddress
	c.mu.Unlock()
	return c.waitHTTP(c.scheme() + adminAddress + "/healthz")
}

// StartAgent starts an agent and its backend server. PublishList adds the agent
// to the platform's list.
func (c *Cluster) StartAgent(instance Instance) error {
	addresses, err := c.freeAddresses(3)
	if err != nil {
		return err
	}
	control, public, backend := addresses[0], addresses[1], addresses[2]
	kind := "engine"
	if instance.Service {
		kind = "service"
	}
	platform, err := c.platformURLsFor(instance)
	if err != nil {
		return err
	}
	args := []string{kind, "--listen", backend}
	if c.config.RecordExecutions {
		args = append(args, "--records", c.RecordsPath(instance.Name))
	}
	if _, err := c.startProcess(instance.Name+"-backend", "plantain-standin", args...); err != nil {
		return err
	}
	if err := WaitHTTP("http://" + backend + "/v1/status"); err != nil {
		return err
	}
	text := c.commonSettings(instance, control, platform) + fmt.Sprintf("http = %s\n[backend]\nurl = http://%s\n%s\n", public, backend, instance.ExtraSettings)
	if err := c.startDaemon(instance.Name, "plantain-agent", text); err != nil {
		return err
	}
	c.mu.Lock()
	c.instances[instance.Name] = c.listedInstance(instance, member.RoleAgent, public, control)
	c.backendURLs[instance.Name] = "http://" + backend
	c.mu.Unlock()
	return c.waitHTTP(c.scheme() + public + "/healthz")
}

// RestartDaemon restarts an entry or agent that has exited, with the same
// settings.
func (c *Cluster) RestartDaemon(name string) error {
	c.mu.Lock()
	instance := c.instances[name]
	c.mu.Unlock()
	_, err := c.startProcess(name, "plantain-"+string(instance.Role), "--settings", c.path(name+".ini"))
	return err
}

func (c *Cluster) startDaemon(name, program, text string) error {
	path := c.path(name + ".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	_, err := c.startProcess(name, program, "--settings", path)
	return err
}

func (c *Cluster) listedInstance(instance Instance, role member.Role, public, control string) member.Instance {
	return member.Instance{
		Name:             instance.Name,
		Role:             role,
		State:            member.StateLive,
		Region:           instance.Region,
		AvailabilityZone: instance.AvailabilityZone,
		HTTPAddress:      public,
		ControlAddress:   control,
	}
}

// SetListedState changes the state of an instance in the list; an empty state
// removes the instance from the list. PublishList makes the change visible.
func (c *Cluster) SetListedState(name string, state member.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == "" {
		delete(c.instances, name)
		return
	}
	instance := c.instances[name]
	instance.State = state
	c.instances[name] = instance
}

// SetListedAddresses changes the addresses of an instance in the list, for
// example to those of a proxy in front of it. An empty argument leaves the address
// unchanged. PublishList makes the change visible.
func (c *Cluster) SetListedAddresses(name, public, control string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	instance := c.instances[name]
	if public != "" {
		instance.HTTPAddress = public
	}
	if control != "" {
		instance.ControlAddress = control
	}
	c.instances[name] = instance
}

// PublishList writes the current instances to the platform's list.
func (c *Cluster) PublishList() error {
	c.mu.Lock()
	var list member.List
	for _, instance := range c.instances {
		list.Instances = append(list.Instances, instance)
	}
	c.mu.Unlock()
	return PutJSON(c.PlatformURL+"/instances", list)
}

// Listed returns an instance as PublishList writes it to the platform's list.
func (c *Cluster) Listed(name string) member.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[name]
}

// PublicURL returns the base URL of an entry's public listener.
func (c *Cluster) PublicURL(entry string) string { return c.scheme() + c.Listed(entry).HTTPAddress }

func (c *Cluster) scheme() string {
	if c.config.Client != nil {
		return "https://"
	}
	return "http://"
}

func (c *Cluster) client() *http.Client {
	if c.config.Client != nil {
		return c.config.Client
	}
	return http.DefaultClient
}

// AdminURL returns the base URL of an entry's administration listener.
func (c *Cluster) AdminURL(entry string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.adminURLs[entry]
}

// BackendURL returns the base URL of an agent's backend server.
func (c *Cluster) BackendURL(agent string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.backendURLs[agent]
}

// Process returns the process last started under the given name.
func (c *Cluster) Process(name string) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// Signal sends a signal to the process of the given name.
func (c *Cluster) Signal(name string, signal syscall.Signal) error {
	return c.Process(name).Command.Process.Signal(signal)
}

// Kill kills the process of the given name and waits until it has exited. It returns an
// error if the process ended before, or in another way.
func (c *Cluster) Kill(name string) error {
	process := c.Process(name)
	if err := c.Signal(name, syscall.SIGKILL); err != nil {
		return fmt.Errorf("%s was not killed: %w", name, err)
	}
	<-process.exited
	if status, ok := process.Command.ProcessState.Sys().(syscall.WaitStatus); !ok || status.Signal() != syscall.SIGKILL {
		return fmt.Errorf("%s was not killed: it ended with %s", name, process.Command.ProcessState)
	}
	return nil
}

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Err returns the result of exec.Cmd.Wait. It is valid only once Exited is
// closed.
func (p *Process) Err() error { return p.err }

// Stop kills all processes and waits for them to exit.
func (c *Cluster) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, process := range c.processes {
		_ = process.Command.Process.Kill()
		<-process.exited
	}
	if c.listServer != nil {
		_ = c.listServer.Close()
	}
}

// Publish uploads weights to the origin and returns the digest of their manifest.
func (c *Cluster) Publish(version string, base weights.Digest, data []byte, chunkSize int64) (weights.Digest, error) {
	manifest, raw, digest, err := weights.Build(version, base, data, chunkSize)
	if err != nil {
		return "", err
	}
	for i, chunk := range manifest.Chunks {
		start := int64(i) * chunkSize
		if err := put(c.PlatformURL+"/chunks/"+string(chunk), data[start:start+manifest.ChunkBytes(i)]); err != nil {
			return "", err
		}
	}
	return digest, put(c.PlatformURL+"/manifests/"+string(digest), raw)
}

// Apply edits the tables through an entry and returns the new revision.
func (c *Cluster) Apply(entry string, expected int64, tables table.Tables) (int64, error) {
	revision, _, err := c.apply(entry, admin.Edit{ExpectedRevision: expected, Tables: tables})
	return revision, err
}

// ApplyWithRetries is like Apply, but retries the edit under the same ID while
// the response says that it is unknown whether the edit was accepted.
func (c *Cluster) ApplyWithRetries(entry string, expected int64, tables table.Tables) (revision int64, err error) {
	const attempts = 5
	edit := admin.Edit{ID: uuid.NewString(), ExpectedRevision: expected, Tables: tables}
	for range attempts {
		var status int
		if revision, status, err = c.apply(entry, edit); status != http.StatusGatewayTimeout {
			return revision, err
		}
	}
	return 0, err
}

func (c *Cluster) apply(entry string, edit admin.Edit) (revision int64, status int, err error) {
	raw, err := json.Marshal(edit)
	if err != nil {
		return 0, 0, err
	}
	request, err := http.NewRequest(http.MethodPut, c.AdminURL(entry)+"/v1/tables", bytes.NewReader(raw))
	if err != nil {
		return 0, 0, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := c.client().Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, response.StatusCode, fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	var accepted admin.Accepted
	err = json.Unmarshal(body, &accepted)
	return accepted.Revision, response.StatusCode, err
}

// Status returns the fleet's status as reported by an entry.
func (c *Cluster) Status(entry string) (admin.Status, error) {
	var status admin.Status
	request, err := http.NewRequest(http.MethodGet, c.AdminURL(entry)+"/v1/status", nil)
	if err != nil {
		return status, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := c.client().Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// WaitVersion waits until entry reports that all named agents serve version.
func (c *Cluster) WaitVersion(ctx context.Context, entry, version string, agents ...string) error {
	return WaitFor(ctx, func() (bool, string) {
		status, err := c.Status(entry)
		if err != nil {
			return false, err.Error()
		}
		for _, name := range agents {
			agent, found := status.Agents[name]
			if !found || !agent.Open || agent.Version != version {
				return false, fmt.Sprintf("%s: %+v", name, agent)
			}
		}
		return true, ""
	})
}

// WaitFor polls check until it returns true or ctx ends. The text that check
// returns says what is missing and goes into the error.
func WaitFor(ctx context.Context, check func() (bool, string)) error {
	for {
		ok, missing := check()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("timed out waiting: %s", missing)
		case <-time.After(pollInterval):
		}
	}
}

// WaitHTTP waits until a GET request to url gets a response with any status.
func WaitHTTP(url string) error {
	return waitHTTP(http.DefaultClient, url)
}

func (c *Cluster) waitHTTP(url string) error {
	return waitHTTP(c.client(), url)
}

func waitHTTP(client *http.Client, url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), StartTimeout)
	defer cancel()
	return WaitFor(ctx, func() (bool, string) {
		response, err := client.Get(url)
		if err != nil {
			return false, err.Error()
		}
		response.Body.Close()
		return true, ""
	})
}

// PutJSON sends value as JSON to url with PUT.
func PutJSON(url string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return put(url, raw)
}

func put(url string, body []byte) error {
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(text)))
	}
	return nil
}

// GetJSON requests url and decodes the JSON response into value.
func GetJSON(url string, value any) error {
	response, err := http.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(value)
}
