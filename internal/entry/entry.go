package entry

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/rest"

	"plantainrelay/internal/admin"
	"plantainrelay/internal/daemon"
	"plantainrelay/internal/gateway"
	"plantainrelay/internal/logging"
	"plantainrelay/internal/member"
	"plantainrelay/internal/membership"
	"plantainrelay/internal/metering"
	"plantainrelay/internal/metrics"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/servicelevel"
	"plantainrelay/internal/tablesync"
	"plantainrelay/internal/tracker"
	"plantainrelay/internal/usage"
)

const (
	verifyInterval     = 10 * time.Second
	watchTimeoutMargin = 10 * time.Second
	maxAdminBodyBytes  = 2 << 20
)

// Run runs an entry until it has received a stop signal and has drained.
func Run(s Settings) error {
	log := logging.New(os.Stderr, s.LogLevel, s.Instance, s.AvailabilityZone)
	operators, err := admin.LoadOperators(s.OperatorsFile)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	daemon.ConfigureDefaultClient(s.WatchWait + watchTimeoutMargin)
	p, err := newComponents(s, log)
	if err != nil {
		return err
	}
	if err := p.serveControl(s, log); err != nil {
		return err
	}
	d := daemon.New(daemonConfig(s), log)
	d.OnDrain(func(daemon.Shutdown) { p.addresses.MarkSelfLeaving() })
	d.OnDrain(func(daemon.Shutdown) { p.addresses.AnnounceLeaving(p.client) })
	d.OnDrain(func(daemon.Shutdown) { p.tracker.Stop() })
	if err := p.listen(d, s, operators, log); err != nil {
		return err
	}
	p.start(ctx)
	err = d.Run()
	p.meter.Close(ctx)
	return err
}

func daemonConfig(s Settings) daemon.Config {
	return daemon.Config{
		Name:           "plantain-entry",
		LeaveDelay:     s.LeaveDelay,
		DrainLimit:     s.DrainLimit,
		MaxConnections: int(s.MaxConnections),
		StallLimit:     s.StallLimit,
	}
}

// components holds the parts that make up an entry.
type components struct {
	store                *platform.Client
	members              *membership.View
	client               *peer.Client
	tables               *tablesync.Sync
	tracker              *tracker.Tracker
	states               *gateway.AgentStates
	admission            *gateway.Admission
	owners               *gateway.OwnershipManager
	addresses            *gateway.EntryDirectory
	requests             *gateway.Handler
	readiness            *daemon.Readiness
	security             peer.Security
	meter                *metering.Meter
	serviceLevels        *servicelevel.Recorder
	serviceLevelGatherer *servicelevel.Gatherer
	metrics              *metrics.Metrics
}

func newComponents(s Settings, log *logrus.Entry) (*components, error) {
	security, err := peer.LoadSecurity(s.FleetKey, s.FleetCertificate, s.FleetServerName)
	if err != nil {
		return nil, err
	}
	identifier, err := loadIdentifier(s)
	if err != nil {
		return nil, err
	}
	p := &components{readiness: daemon.NewReadiness(), security: security, metrics: metrics.New()}
	p.store = platform.New(platform.Config{StoreURL: s.StoreURL, OriginURL: s.OriginURL, ListURL: s.ListURL})
	source := usage.Source{Name: s.Instance + "/" + uuid.NewString()[:8], Role: member.RoleEntry}
	p.meter = metering.New(source, p.store, s.UsageInterval, log)
	self := member.Instance{
		Name: s.Instance, Role: member.RoleEntry, State: member.StateLive, Region: s.Region,
		AvailabilityZone: s.AvailabilityZone, HTTPAddress: s.PublicAddress, ControlAddress: s.ControlAddress,
	}
	p.members = membership.New(membership.Config{Self: self, Interval: s.ListInterval}, p.store, log)
	p.client = peer.NewClient(p.security)
	p.tables = tablesync.New(tablesync.Config{
		Self:             self,
		Incarnation:      rand.Uint64(),
		ExchangeInterval: s.ExchangeInterval,
		WatchWait:        s.WatchWait,
		VerifyInterval:   verifyInterval,
	}, p.store, p.members, peer.NewClient(p.security), log)
	p.tracker = tracker.New(p.tables.Current, p.members.Current, time.Now)
	p.states = gateway.NewAgentStates(p.members, p.client, s.Instance, s.StateInterval)
	p.states.LimitToSubset(s.AvailabilityZone, p.tables.Current)
	p.admission = gateway.NewAdmission(p.states, s.MaxWait, int(s.MaxRunningPerCustomer))
	p.owners = gateway.NewOwnershipManager(s.Instance, p.store, p.tables, p.members, p.states, p.client, log)
	p.addresses = gateway.NewEntryDirectory(p.members, s.Instance)
	p.requests = gateway.NewHandler(gateway.Config{
		Self:                s.Instance,
		AvailabilityZone:    s.AvailabilityZone,
		Security:            p.security,
		Identifier:          identifier,
		Usage:               p.metrics.EventCounter("requests", "Requests that ended at this entry by outcome.", p.meter),
		MaxBodyBytes:        s.MaxBodyBytes,
		MaxAttempts:         int(s.MaxAttempts),
		StatusQueryInterval: s.StatusQueryInterval,
		MaxSilence:          s.MaxSilence,
		MaxWait:             s.MaxWait,
		RetryAfter:          s.RetryAfter,
	}, p.tables, p.states, p.owners, p.admission, p.client, log)
	p.serviceLevels = servicelevel.NewRecorder(s.Objectives)
	p.serviceLevelGatherer = servicelevel.NewGatherer(s.Instance, p.serviceLevels, p.members, p.client)
	p.readiness.SetReason("tables", "no tables are known yet")
	return p, nil
}

func loadIdentifier(s Settings) (gateway.CustomerIdentifier, error) {
	if s.TrustHeader {
		return gateway.HeaderIdentifier{}, nil
	}
	return gateway.LoadTokenIdentifier(s.CustomersFile)
}

func (p *components) serveControl(s Settings, log *logrus.Entry) error {
	server := peer.NewServer(p.security, log)
	if err := server.Register("Tables", tablesync.NewService(p.tables)); err != nil {
		return err
	}
	if err := server.Register("Tracker", tracker.NewService(p.tracker)); err != nil {
		return err
	}
	if err := server.Register("Entry", gateway.NewEntryService(p.addresses)); err != nil {
		return err
	}
	if err := server.Register("ServiceLevel", servicelevel.NewService(p.serviceLevels)); err != nil {
		return err
	}
	return server.Listen(s.ControlAddress)
}

func (p *components) listen(d *daemon.Daemon, s Settings, operators *admin.Operators, log *logrus.Entry) error {
	p.registerMetrics()
	api := admin.New(operators, admin.NewEditor(p.store, p.tables), p.tables, p.states.All, log)
	routes := append(daemon.HealthAndMetricsRoutes(p.readiness, p.metrics.Registry), api.Routes()...)
	routes = append(routes, api.UsageRoute(metering.NewReporter(p.store)))
	routes = append(routes, api.ReportRoute(servicelevel.ReportPath, func(ctx context.Context) (any, error) { return p.serviceLevelGatherer.Gather(ctx) }))
	if err := d.Listen(daemon.Listener{
		Address:      s.AdminAddress,
		Routes:       routes,
		MaxBodyBytes: maxAdminBodyBytes,
		Certificate:  s.AdminCertificate,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}); err != nil {
		return err
	}
	return d.Listen(daemon.Listener{
		Address:      s.PublicAddress,
		Routes:       []rest.Route{p.addresses.Route()},
		Fallback:     p.serviceLevels.CountResponses(p.requests),
		MaxBodyBytes: s.MaxBodyBytes,
		Certificate:  s.CallersCertificate,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	})
}

func (p *components) start(ctx context.Context) {
	go p.members.Run(ctx)
	go p.tables.Run(ctx)
	go p.states.Run(ctx)
	go p.meter.Run(ctx)
	go p.owners.Run(ctx)
	go p.admission.Run(ctx)
	go p.serviceLevels.Run(ctx, p.tables.Current, p.states.All)
	go p.readiness.WatchReason(ctx, "tables", p.tablesNotReadyReason)
}
