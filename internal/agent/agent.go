package agent

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/daemon"
	"plantainrelay/internal/distribute"
	"plantainrelay/internal/engine"
	"plantainrelay/internal/gate"
	"plantainrelay/internal/logging"
	"plantainrelay/internal/member"
	"plantainrelay/internal/membership"
	"plantainrelay/internal/message"
	"plantainrelay/internal/metering"
	"plantainrelay/internal/metrics"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/tablesync"
	"plantainrelay/internal/usage"
)

const (
	maxKeys         = 100000
	confirmInterval = 250 * time.Millisecond
	successorLimit  = 10 * time.Second
	successorCheck  = 50 * time.Millisecond
	decisionTick    = 50 * time.Millisecond
	engineInterval  = 500 * time.Millisecond
	// maxHold limits how long a response about the state is delayed, whatever the
	// caller requests: it must not exceed the time that entries wait for it.
	maxHold = 2 * time.Second
)

// Run runs an agent until it is asked to stop and has drained.
func Run(s Settings) error {
	log := logging.New(os.Stderr, s.LogLevel, s.Instance, s.AvailabilityZone)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	daemon.BoundDefaultTransport(s.LoadTimeout)
	p, err := newParts(s, log)
	if err != nil {
		return err
	}
	if err := p.serveControl(s, log); err != nil {
		return err
	}
	d := daemon.New(daemonConfig(s), log)
	d.OnDrain(p.gate.Leave)
	if err := p.listen(d, s, log); err != nil {
		return err
	}
	p.start(ctx)
	err = d.Run()
	p.awaitSuccessors(ctx)
	p.meter.Close(ctx)
	return err
}

func daemonConfig(s Settings) daemon.Config {
	return daemon.Config{
		Name:           "plantain-agent",
		LeaveDelay:     s.LeaveDelay,
		DrainLimit:     s.DrainLimit,
		MaxConnections: int(s.MaxConnections),
		StallLimit:     s.StallLimit,
	}
}

// parts are the components of an agent.
type parts struct {
	settings    Settings
	incarnation string
	security    peer.Security
	members     *membership.View
	sync        *tablesync.Sync
	gate        *gate.Gate
	driver      *distribute.Driver
	readiness   *daemon.Readiness
	meter       *metering.Meter
	metrics     *metrics.Metrics
}

func newParts(s Settings, log *logrus.Entry) (*parts, error) {
	security, err := peer.LoadSecurity(s.FleetKey, s.FleetCertificate, s.FleetServerName)
	if err != nil {
		return nil, err
	}
	p := &parts{
		settings:    s,
		incarnation: uuid.NewString(),
		security:    security,
		readiness:   daemon.NewReadiness(),
		metrics:     metrics.New(),
	}
	outside := platform.New(platform.Config{StoreURL: s.StoreURL, OriginURL: s.OriginURL, ListURL: s.ListURL})
	source := usage.Source{Name: s.Instance + "/" + p.incarnation[:8], Role: member.RoleAgent}
	p.meter = metering.New(source, outside, s.UsageInterval, log)
	client := peer.NewClient(p.security)
	self := member.Instance{
		Name: s.Instance, Role: member.RoleAgent, State: member.StateLive, Region: s.Region,
		AvailabilityZone: s.AvailabilityZone, HTTPAddress: s.HTTPAddress, ControlAddress: s.ControlAddress,
	}
	p.members = membership.New(membership.Config{Self: self, Interval: s.ListInterval}, outside, log)
	p.sync = tablesync.New(tablesync.Config{
		Self:             self,
		Incarnation:      rand.Uint64(),
		ExchangeInterval: s.ExchangeInterval,
	}, outside, p.members, peer.NewClient(p.security), log)
	p.gate, err = gate.New(gate.Config{
		Instance:     s.Instance,
		Incarnation:  p.incarnation,
		MaxRunning:   int(s.MaxRunning),
		MaxRecords:   int(s.MaxRecords),
		MaxKeys:      maxKeys,
		MaxKeptBytes: int(s.MaxKept),
		MaxKeptTotal: int(s.MaxKeptTotal),
	})
	if err != nil {
		return nil, err
	}
	p.driver = distribute.New(distribute.Config{
		Self:             s.Instance,
		AvailabilityZone: s.AvailabilityZone,
		Region:           s.Region,
		Security:         p.security,
		Tick:             decisionTick,
		AnnounceInterval: s.AnnounceInterval,
		EngineInterval:   engineInterval,
		MaxInFlight:      int(s.MaxInFlight),
		MaxUploads:       int(s.MaxUploads),
		ChunkMemory:      s.ChunkMemory,
		RegionRate:       s.RegionRate,
		ChunkTimeout:     s.ChunkTimeout,
		StallTimeout:     s.StallTimeout,
		Patience:         s.Patience,
		LoadTimeout:      s.LoadTimeout,
		LoadRetry:        s.LoadRetry,
	}, engine.New(s.BackendURL), outside, p.gate, p.sync, p.members, client, log)
	return p, nil
}

func (p *parts) serveControl(s Settings, log *logrus.Entry) error {
	server := peer.NewServer(p.security, log)
	if err := server.Register("Tables", tablesync.NewService(p.sync)); err != nil {
		return err
	}
	if err := server.Register("Weights", distribute.NewService(p.driver)); err != nil {
		return err
	}
	if err := server.Register("Agent", &Service{parts: p}); err != nil {
		return err
	}
	return server.Listen(s.ControlAddress)
}

func (p *parts) listen(d *daemon.Daemon, s Settings, log *logrus.Entry) error {
	p.register()
	attempts := p.metrics.Requests("attempts", "Attempts that ended at this agent by outcome.", p.meter)
	routes := append(daemon.OperationRoutes(p.readiness, p.metrics.Registry), p.driver.ChunkRoute())
	return d.Listen(daemon.Listener{
		Address:      s.HTTPAddress,
		Routes:       routes,
		Fallback:     gate.NewHandler(p.gate, s.BackendURL, p.security, attempts, log),
		MaxBodyBytes: s.MaxBodyBytes,
		Certificate:  s.FleetCertificate,
		ClientAuth:   tls.VerifyClientCertIfGiven,
	})
}

func (p *parts) start(ctx context.Context) {
	go p.members.Run(ctx)
	go p.sync.Run(ctx)
	go p.driver.Run(ctx)
	go p.meter.Run(ctx)
	go p.readiness.Watch(ctx, "gate", p.notReady)
	go p.confirmOwnership(ctx)
}

func (p *parts) notReady() string {
	if p.sync.Current() == nil {
		return "no tables are known yet"
	}
	if !p.gate.State().Open {
		return "the gate is closed; the distribution is at stage " + string(p.driver.Status().Stage)
	}
	return ""
}

// Service is the net/rpc service "Agent".
type Service struct {
	parts *parts
}

// State returns the state of this agent: immediately, or once it differs from the
// state that the caller has seen.
func (s *Service) State(args message.StateArgs, reply *message.StateReply) error {
	held := time.NewTimer(min(args.Hold, maxHold))
	defer held.Stop()
	for {
		changed := s.parts.gate.Changed()
		*reply = s.state()
		if args.Hold <= 0 || reply.Standing() != args.Seen {
			return nil
		}
		select {
		case <-changed:
		case <-held.C:
			*reply = s.state()
			return nil
		}
	}
}

func (s *Service) state() message.StateReply {
	state, status := s.parts.gate.State(), s.parts.driver.Status()
	return message.StateReply{
		Instance:    s.parts.settings.Instance,
		Incarnation: s.parts.incarnation,
		Revision:    s.parts.sync.Revision(),
		Pool:        status.Pool,
		Open:        state.Open,
		Version:     state.Admitted.Version,
		Manifest:    state.Admitted.Manifest,
		Running:     state.Running,

		MaxRunning:     int(s.parts.settings.MaxRunning),
		OwnersRevision: state.OwnersRevision,
		Released:       state.Released,
		HighestIssued:  state.HighestIssued,

		Stage:    status.Stage,
		Held:     status.Held,
		Chunks:   status.Chunks,
		Size:     status.Bytes,
		Failures: status.Failures,
		Cause:    status.Cause,
	}
}

// Fate returns the status of an attempt and bars it if it has not started.
func (s *Service) Fate(args message.FateArgs, reply *message.FateReply) error {
	*reply = s.parts.gate.Fate(args)
	return nil
}
