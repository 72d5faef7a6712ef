// Package daemon runs the HTTP servers of a process and its graceful shutdown.
//
// The go-zero middlewares that would reject or end requests on their own (load
// shedding, circuit breaker, timeout, recover) are disabled; see
// docs/decisions/0002-go-zero.md.
package daemon

import (
	"cmp"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"plantainrelay/internal/certs"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/logging"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	forcedExitMargin  = time.Minute
	// closeMargin is the time between the end of the leave delay, when the open
	// connections are counted, and the moment at which the framework closes the
	// listeners and the idle connections.
	closeMargin = 20 * time.Millisecond
)

// Config holds the shutdown times and the connection limits of a process.
type Config struct {
	// Name appears in the framework's traces.
	Name string
	// LeaveDelay is how long the listeners still accept requests after the
	// first SIGTERM or SIGINT, so that other instances can stop sending
	// requests first.
	LeaveDelay time.Duration
	// DrainLimit bounds the time for requests in progress after LeaveDelay.
	DrainLimit time.Duration
	// MaxConnections bounds the connections of each listener.
	MaxConnections int
	// StallLimit bounds how long a connection may make no progress while a
	// request body or a response is transferred.
	StallLimit time.Duration
}

// Listener describes one HTTP server.
type Listener struct {
	// Address is "IP:port".
	Address string
	Routes  []rest.Route
	// Fallback handles the requests that match no route; nil returns 404.
	Fallback http.Handler
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// Connections limits the connections; nil means MaxConnections of the process.
	Connections *ConnectionLimiter
	// HeadTime and HeadBytes, above 0, bound the time for a head and its size.
	HeadTime  time.Duration
	HeadBytes int
	// ReceiveBytes, above 0, bounds what a connection receives before it is read.
	ReceiveBytes int
	// Certificate, when set, makes the listener use TLS with ClientAuth.
	Certificate certs.Files
	ClientAuth  tls.ClientAuthType
}

// server is a go-zero server with the listener that it was built from.
type server struct {
	restServer  *rest.Server
	listener    Listener
	connections *ConnectionLimiter
	requests    *requestTracker
}

// Daemon owns the HTTP servers of one process.
type Daemon struct {
	config     Config
	log        *logrus.Entry
	servers    []server
	drainHooks []func(Shutdown)
	signals    chan os.Signal
	draining   atomic.Bool
}

// New returns a daemon. From this call on, the process handles SIGTERM and
// SIGINT by draining.
func New(config Config, log *logrus.Entry) *Daemon {
	d := &Daemon{config: config, log: log, signals: make(chan os.Signal, 8)}
	signal.Notify(d.signals, syscall.SIGTERM, syscall.SIGINT)
	return d
}

// OnDrain registers fn to run in its own goroutine when the first SIGTERM or
// SIGINT arrives.
func (d *Daemon) OnDrain(fn func(Shutdown)) {
	d.drainHooks = append(d.drainHooks, fn)
}

// Listen adds an HTTP server. It does nothing if the process has been told to stop: Run
// would not start the server.
func (d *Daemon) Listen(listener Listener) error {
	if d.signaled() {
		return nil
	}
	host, portText, err := net.SplitHostPort(listener.Address)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "use IP:port", "address %q cannot be used", listener.Address)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "use IP:port", "address %q cannot be used", listener.Address)
	}
	options, err := listenerOptions(listener)
	if err != nil {
		return err
	}
	config := d.restConfig(host, port)
	config.CertFile, config.KeyFile = listener.Certificate.Certificate, listener.Certificate.Key
	framework, err := rest.NewServer(config, options...)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "report this", "the HTTP server cannot be set up")
	}
	// The framework reads its shutdown times without a lock when a signal arrives. It
	// loads the log level just before, so this store orders them after NewServer.
	logx.SetLevel(logx.ErrorLevel)
	framework.AddRoutes(listener.Routes)
	connections := listener.Connections
	if connections == nil {
		connections = newConnectionLimiter(d.config.MaxConnections)
	}
	d.servers = append(d.servers, server{restServer: framework, listener: listener, connections: connections, requests: newRequestTracker()})
	logging.RedirectFrameworkLogs(d.log)
	return nil
}

func listenerOptions(listener Listener) ([]rest.RunOption, error) {
	var options []rest.RunOption
	if listener.Fallback != nil {
		options = append(options, rest.WithNotFoundHandler(listener.Fallback))
	}
	config, err := listener.Certificate.Server(listener.ClientAuth)
	if err != nil {
		return nil, err
	}
	if config != nil {
		options = append(options, rest.WithTLSConfig(config))
	}
	return options, nil
}

func (d *Daemon) restConfig(host string, port int) rest.RestConf {
	total := d.config.LeaveDelay + d.config.DrainLimit + forcedExitMargin
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     d.config.Name,
			Mode:     service.ProMode,
			Log:      logx.LogConf{Mode: "console", Encoding: "json", Level: "error", Stat: false},
			Shutdown: proc.ShutdownConf{WrapUpTime: d.config.LeaveDelay + closeMargin, WaitTime: total},
		},
		Host: host,
		Port: port,
	}
}

// Run serves until the process receives SIGTERM or SIGINT and then either its
// requests in progress have ended or the drain limit has passed. It returns nil
// in both cases, and at once if the process has received a signal before.
func (d *Daemon) Run() error {
	defer d.flushLog()
	if d.signaled() {
		d.log.Info("signal received before the listeners were open; stopping")
		return nil
	}
	stopped := make(chan struct{})
	var group sync.WaitGroup
	for _, server := range d.servers {
		group.Add(1)
		go func() {
			defer group.Done()
			server.restServer.StartWithOpts(d.serverLimits(server))
		}()
	}
	go func() {
		group.Wait()
		close(stopped)
	}()
	return d.waitForStop(stopped)
}

// serverLimits returns the start option that sets the timeouts of a listener and
// limits its connections and requests.
func (d *Daemon) serverLimits(s server) rest.StartOption {
	return func(server *http.Server) {
		server.ReadHeaderTimeout = cmp.Or(s.listener.HeadTime, readHeaderTimeout)
		server.IdleTimeout = idleTimeout
		server.MaxHeaderBytes = cmp.Or(s.listener.HeadBytes, maxHeaderBytes)
		server.ConnState, server.ConnContext = s.connections.stateChanged, withConn(s.listener.ReceiveBytes)
		server.Handler = limitRequests(s.requests.track(d.closeWhileDraining(server.Handler)), s.listener.MaxBodyBytes, d.config.StallLimit, s.connections)
	}
}
