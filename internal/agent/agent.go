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
	maxKeys               = 100000
	confirmInterval       = 250 * time.Millisecond
	successorTimeout      = 10 * time.Second
	successorPollInterval = 50 * time.Millisecond
	decisionInterval      = 50 * time.Millisecond
	engineInterval        = 500 * time.Millisecond
	// maxStateWait limits how long a response about the state is delayed, whatever
	// the caller requests: it must not exceed the time that entries wait for it.
	maxStateWait = 2 * time.Second
)

// Run runs an agent until it is asked to stop and has drained.
func Run(s Settings) error {
	log := logging.New(os.Stderr, s.LogLevel, s.Instance, s.AvailabilityZone)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	daemon.ConfigureDefaultClient(s.LoadTimeout)
	c, err := newComponents(s, log)
	if err != nil {
		return err
	}
	if err := c.serveControl(s, log); err != nil {
		return err
	}
	d := daemon.New(daemonConfig(s), log)
	d.OnDrain(func(daemon.Shutdown) { c.gate.Drain() })
	if err := c.listen(d, s, log); err != nil {
		return err
	}
	c.start(ctx)
	err = d.Run()
	c.awaitSuccessors(ctx)
	c.meter.Close(ctx)
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

// components holds the components of an agent.
type components struct {
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

func newComponents(s Settings, log *logrus.Entry) (*components, error) {
	security, err := peer.LoadSecurity(s.FleetKey, s.FleetCertificate, s.FleetServerName)
	if err != nil {
		return nil, err
	}
	c := &components{
		settings:    s,
		incarnation: uuid.NewString(),
		security:    security,
		readiness:   daemon.NewReadiness(),
		metrics:     metrics.New(),
	}
	platformClient := platform.New(platform.Config{StoreURL: s.StoreURL, OriginURL: s.OriginURL, ListURL: s.ListURL})
	source := usage.Source{Name: s.Instance + "/" + c.incarnation[:8], Role: member.RoleAgent}
	c.meter = metering.New(source, platformClient, s.UsageInterval, log)
	client := peer.NewClient(c.security)
	self := member.Instance{
		Name: s.Instance, Role: member.RoleAgent, State: member.StateLive, Region: s.Region,
		AvailabilityZone: s.AvailabilityZone, HTTPAddress: s.HTTPAddress, ControlAddress: s.ControlAddress,
	}
	c.members = membership.New(membership.Config{Self: self, Interval: s.ListInterval}, platformClient, log)
	c.sync = tablesync.New(tablesync.Config{
		Self:             self,
		Incarnation:      rand.Uint64(),
		ExchangeInterval: s.ExchangeInterval,
	}, platformClient, c.members, peer.NewClient(c.security), log)
	c.gate, err = gate.New(gate.Config{
		Instance:          s.Instance,
		Incarnation:       c.incarnation,
		MaxRunning:        int(s.MaxRunning),
		MaxRecords:        int(s.MaxRecords),
		MaxKeys:           maxKeys,
		MaxStoredResponse: int(s.MaxStoredResponse),
		MaxStoredTotal:    int(s.MaxStoredTotal),
	})
	if err != nil {
		return nil, err
	}
	c.driver = distribute.New(distribute.Config{
		Self:             s.Instance,
		AvailabilityZone: s.AvailabilityZone,
		Region:           s.Region,
		Security:         c.security,
		Tick:             decisionInterval,
		AnnounceInterval: s.AnnounceInterval,
		EngineInterval:   engineInterval,
		MaxInFlight:      int(s.MaxInFlight),
		MaxUploads:       int(s.MaxUploads),
		ChunkMemory:      s.ChunkMemory,
		RegionRate:       s.RegionRate,
		ChunkTimeout:     s.ChunkTimeout,
		StallTimeout:     s.StallTimeout,
		TakeoverDelay:    s.TakeoverDelay,
		LoadTimeout:      s.LoadTimeout,
		LoadRetryDelay:   s.LoadRetryDelay,
	}, engine.New(s.BackendURL), platformClient, c.gate, c.sync, c.members, client, log)
	return c, nil
}

func (c *components) serveControl(s Settings, log *logrus.Entry) error {
	server := peer.NewServer(c.security, log)
	if err := server.Register("Tables", tablesync.NewService(c.sync)); err != nil {
		return err
	}
	if err := server.Register("Weights", distribute.NewService(c.driver)); err != nil {
		return err
	}
	if err := server.Register("Agent", &Service{components: c}); err != nil {
		return err
	}
	return server.Listen(s.ControlAddress)
}

func (c *components) listen(d *daemon.Daemon, s Settings, log *logrus.Entry) error {
	c.registerMetrics()
	attempts := c.metrics.EventCounter("attempts", "Attempts that ended at this agent by outcome.", c.meter)
	routes := append(daemon.HealthAndMetricsRoutes(c.readiness, c.metrics.Registry), c.driver.ChunkRoute())
	return d.Listen(daemon.Listener{
		Address:      s.HTTPAddress,
		Routes:       routes,
		Fallback:     gate.NewHandler(c.gate, s.BackendURL, c.security, attempts, log),
		MaxBodyBytes: s.MaxBodyBytes,
		Certificate:  s.FleetCertificate,
		ClientAuth:   tls.VerifyClientCertIfGiven,
	})
}

func (c *components) start(ctx context.Context) {
	go c.members.Run(ctx)
	go c.sync.Run(ctx)
	go c.driver.Run(ctx)
	go c.meter.Run(ctx)
	go c.readiness.WatchReason(ctx, "gate", c.notReadyReason)
	go c.confirmOwnership(ctx)
}

func (c *components) notReadyReason() string {
	if c.sync.Current() == nil {
		return "no tables are known yet"
	}
	if !c.gate.State().Open {
		return "the gate is closed; the distribution is at stage " + string(c.driver.Status().Stage)
	}
	return ""
}

// Service is the net/rpc service "Agent".
type Service struct {
	components *components
}

// State returns the state of this agent: immediately, or, if args.Hold is set, once
// its routing state differs from the one that the caller has seen. It waits at most
// args.Hold or maxStateWait, whichever is shorter.
func (s *Service) State(args message.StateArgs, reply *message.StateReply) error {
	timeout := time.NewTimer(min(args.Hold, maxStateWait))
	defer timeout.Stop()
	for {
		changed := s.components.gate.Changed()
		*reply = s.state()
		if args.Hold <= 0 || reply.RoutingState() != args.Seen {
			return nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			*reply = s.state()
			return nil
		}
	}
}

func (s *Service) state() message.StateReply {
	state, status := s.components.gate.State(), s.components.driver.Status()
	return message.StateReply{
		Instance:    s.components.settings.Instance,
		Incarnation: s.components.incarnation,
		Revision:    s.components.sync.Revision(),
		Pool:        status.Pool,
		Open:        state.Open,
		Version:     state.Admitted.Version,
		Manifest:    state.Admitted.Manifest,
		Running:     state.Running,

		MaxRunning:     int(s.components.settings.MaxRunning),
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
func (s *Service) Fate(args message.AttemptStatusArgs, reply *message.AttemptStatusReply) error {
	*reply = s.components.gate.AttemptStatus(args)
	return nil
}
