package entry

import (
	"context"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/rest"

	"plantainrelay/internal/admin"
	"plantainrelay/internal/daemon"
	"plantainrelay/internal/gateway"
	"plantainrelay/internal/logging"
	"plantainrelay/internal/membership"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/tablesync"
	"plantainrelay/internal/tracker"
)

const (
	watchWait   = 10 * time.Second
	askInterval = 300 * time.Millisecond
	retryAfter  = 3 * time.Second
	readyCheck  = 200 * time.Millisecond
)

// Run runs an entry until it was told to stop and has drained.
func Run(s Settings) error {
	log := logging.New(os.Stderr, s.LogLevel, s.Instance, s.AvailabilityZone)
	operators, err := admin.LoadOperators(s.OperatorsFile)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newParts(s, log)
	if err := p.serveControl(s, log); err != nil {
		return err
	}
	d := daemon.New(daemon.Config{Name: "plantain-entry", LeaveDelay: s.LeaveDelay, DrainLimit: s.DrainLimit}, log)
	d.OnDrain(p.addresses.Leave)
	d.OnDrain(p.tracker.Leave)
	if err := p.listen(d, s, operators, log); err != nil {
		return err
	}
	p.start(ctx)
	return d.Run()
}

// parts are the duties of an entry.
type parts struct {
	store     *platform.Client
	members   *membership.View
	client    *peer.Client
	sync      *tablesync.Sync
	tracker   *tracker.Tracker
	states    *gateway.States
	owners    *gateway.Owners
	addresses *gateway.Addresses
	requests  *gateway.Handler
	readiness *daemon.Readiness
	security  peer.Security
}

func newParts(s Settings, log *logrus.Entry) *parts {
	p := &parts{readiness: daemon.NewReadiness(), security: peer.Security{Key: []byte(s.FleetKey)}}
	p.store = platform.New(platform.Config{StoreURL: s.StoreURL, OriginURL: s.OriginURL, ListURL: s.ListURL})
	p.members = membership.New(p.store, s.ListInterval, log)
	p.client = peer.NewClient(p.security)
	p.sync = tablesync.New(tablesync.Config{
		Self:             s.Instance,
		AvailabilityZone: s.AvailabilityZone,
		Watches:          true,
		ExchangeInterval: s.ExchangeInterval,
		WatchWait:        watchWait,
	}, p.store, p.members, p.client, log)
	p.tracker = tracker.New(p.sync.Current, p.members.Current, time.Now)
	p.states = gateway.NewStates(p.members, p.client, s.Instance, s.StateInterval)
	p.owners = gateway.NewOwners(s.Instance, p.store, p.sync, p.members, p.states, p.client, log)
	p.addresses = gateway.NewAddresses(p.members, s.Instance)
	p.requests = gateway.NewHandler(gateway.Config{
		Self:             s.Instance,
		AvailabilityZone: s.AvailabilityZone,
		Key:              s.FleetKey,
		MaxBodyBytes:     s.MaxBodyBytes,
		MaxAttempts:      int(s.MaxAttempts),
		AskInterval:      askInterval,
		MaxSilence:       s.MaxSilence,
		MaxWait:          s.MaxWait,
		RetryAfter:       retryAfter,
	}, p.sync, p.states, p.owners, p.client, log)
	p.readiness.Set("tables", "no tables are known yet")
	return p
}

func (p *parts) serveControl(s Settings, log *logrus.Entry) error {
	server := peer.NewServer(p.security, log)
	if err := server.Register("Tables", tablesync.NewService(p.sync)); err != nil {
		return err
	}
	if err := server.Register("Tracker", tracker.NewService(p.tracker)); err != nil {
		return err
	}
	return server.Listen(s.ControlAddress)
}

func (p *parts) listen(d *daemon.Daemon, s Settings, operators *admin.Operators, log *logrus.Entry) error {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	api := admin.New(operators, admin.NewEditor(p.store, p.sync), p.sync, p.states.All, log)
	routes := append(daemon.OperationRoutes(p.readiness, registry), api.Routes()...)
	if err := d.Listen(s.AdminAddress, routes, nil); err != nil {
		return err
	}
	return d.Listen(s.PublicAddress, []rest.Route{p.addresses.Route()}, p.requests)
}

func (p *parts) start(ctx context.Context) {
	go p.members.Run(ctx)
	go p.sync.Run(ctx)
	go p.states.Run(ctx)
	go p.owners.Run(ctx)
	go p.watchReadiness(ctx)
}

func (p *parts) watchReadiness(ctx context.Context) {
	ticker := time.NewTicker(readyCheck)
	defer ticker.Stop()
	for {
		if p.sync.Current() != nil {
			p.readiness.Set("tables", "")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
