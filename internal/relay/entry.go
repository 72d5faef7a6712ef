// Package relay implements the entry on the users' platform: a reverse proxy that
// accepts the requests of callers and sends them directly to backend server instances.
package relay

import (
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/rest"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/command"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/daemon"
	"plantainrelay/internal/depot"
	"plantainrelay/internal/duty"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/intake"
	"plantainrelay/internal/logging"
	"plantainrelay/internal/message"
	"plantainrelay/internal/metrics"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/peers"
	"plantainrelay/internal/placement"
	"plantainrelay/platform"
)

const (
	// metricsPort serves /metrics; deploy/system.toml names the same port.
	metricsPort = "9102"
	// defaultAddressTTL is how long callers cache a response of the address directory.
	// It is short, so that they soon stop using an entry that shuts down.
	defaultAddressTTL = 2 * time.Second
	// maxBody bounds a request body where the tables set no limit, and is the highest
	// limit that they can set: bodies are kept in memory until a response has started.
	maxBody = 16 << 20
	// stallTimeout bounds how long a connection may make no progress within a request
	// body or a response.
	stallTimeout = 5 * time.Second
	// leaveGraceShare is the share of the grace period in which a stopping entry still
	// accepts requests from callers that have cached its address.
	leaveGraceShare = 0.3
	// exitMargin is the time between the end of the drain and the end of the grace
	// period.
	exitMargin = 300 * time.Millisecond
	// stablePeriodMargin is subtracted from the start-up period in which a process need
	// not enforce the switch bound of a version whose age it does not know, so that
	// enforcement begins before that period ends.
	stablePeriodMargin = 800 * time.Millisecond
	// retryRatioFactor and retrySlackFactor are the parts of the platform's retry
	// budget that entries use. The rest is a margin: the platform's time windows are
	// not aligned with those of an entry, and entries learn of each other with a delay.
	retryRatioFactor = 0.85
	retrySlackFactor = 0.7
)

// How long a watch of the store waits for a change, and with it the interval at which
// the watcher confirms the copy. The tables are confirmed most often, since the
// validity of API keys depends on them.
const (
	backendsWatchTimeout = 1500 * time.Millisecond
	releasesWatchTimeout = 3 * time.Second
	// blocksWatchTimeout is long: any entry that blocks a part tells the others at once.
	blocksWatchTimeout = 25 * time.Second
	// maxConcurrentPulls allows a pull from another peer whenever the last one hangs.
	maxConcurrentPulls = int(duty.PullTimeout/duty.PullHedgeDelay) + 1
	// storeIdleTimeout is how long an unused connection to the store is kept. The watcher of
	// a collection uses its own one all the time; one that has been unused for longer may
	// have gone silent.
	storeIdleTimeout = time.Second
	// dutyCheckInterval is the time between two checks of which entry is the watcher of
	// a collection and how old the proof of the copy is.
	dutyCheckInterval = 100 * time.Millisecond
)

// newPlans returns the plans by which the copies of the collections are kept current.
// When an entry cannot read the store, this shows first in the tables, which have the
// shortest watch timeout, and another entry becomes the watcher of all collections.
func newPlans(bounds platform.Bounds) map[platform.Kind]copies.Plan {
	return map[platform.Kind]copies.Plan{
		platform.Tables:      {Plan: duty.TablesPlan(bounds.ConfigApplyTime), CheckInterval: dutyCheckInterval, BatchDelay: 100 * time.Millisecond},
		platform.Backends:    {Plan: duty.Plan{WatchTimeout: backendsWatchTimeout, MaxProofAge: 4 * time.Second}, CheckInterval: dutyCheckInterval, BatchDelay: 350 * time.Millisecond},
		platform.Releases:    {Plan: duty.Plan{WatchTimeout: releasesWatchTimeout, MaxProofAge: 8 * time.Second}, CheckInterval: dutyCheckInterval, BatchDelay: 100 * time.Millisecond},
		platform.Evacuations: {Plan: duty.EvacuationsPlan(bounds.EvacuateTime), CheckInterval: dutyCheckInterval, BatchDelay: 100 * time.Millisecond},
		platform.Blocks:      {Plan: duty.Plan{WatchTimeout: blocksWatchTimeout, MaxProofAge: 3 * blocksWatchTimeout}, CheckInterval: dutyCheckInterval, BatchDelay: 350 * time.Millisecond},
	}
}

// Run runs the entry until it receives a signal to stop.
func Run(s platform.Settings) error {
	log := logging.New(logging.NewBoundedWriter(os.Stdout), "info", s.Instance, s.AvailabilityZone)
	log.WithField("front", s.FrontAddress).Info("entry starting")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := daemon.New(daemonConfig(s), log)
	socket, err := beat.Open(s.IP, s.PeerPort, log)
	if err != nil {
		return err
	}
	e, err := newEntry(s, socket, log)
	if err != nil {
		return err
	}
	server := peer.NewServer(peer.Security{}, log)
	server.Limit(newLimits(s).PeerConnections, maxPeerRequestBytes)
	if err := server.Register(copies.ServiceName, copies.NewService(e.copies)); err != nil {
		return err
	}
	if err := server.Register(depot.ServiceName, e.depot); err != nil {
		return err
	}
	if err := server.Listen(beat.Address(s.IP, s.PeerPort)); err != nil {
		return err
	}
	if err := e.listen(d, s); err != nil {
		return err
	}
	d.OnDrain(e.beginLeaving)
	command.WatchSettings(ctx, s, log, e.reload)
	go e.copies.Run(ctx)
	go e.heartbeats.Run(ctx)
	go e.scheduler.Run(ctx)
	go e.saver.Run(ctx)
	go e.frontend.bodies.run(ctx)
	return d.Run()
}

func daemonConfig(s platform.Settings) daemon.Config {
	leave := time.Duration(leaveGraceShare * float64(s.Bounds.ShutdownGrace))
	return daemon.Config{
		Name: "plantain-entry", LeaveDelay: leave, DrainLimit: s.Bounds.ShutdownGrace - leave - exitMargin,
		MaxConnections: newLimits(s).MetricsConnections, StallLimit: stallTimeout,
	}
}

type entry struct {
	copies     *copies.Copies
	view       *view
	scheduler  *scheduler
	blocker    *blocker
	saver      *blockSaver
	frontend   *frontend
	heartbeats *heartbeater
	depot      *depot.Depot
	metrics    *metrics.Metrics
	limits     intake.Limits
	// connections limits those of callers and to instances.
	connections *daemon.ConnectionLimiter
	// addressTTL is how long callers may cache a response of the address directory.
	addressTTL time.Duration
}

func newEntry(s platform.Settings, socket *beat.Socket, log *logrus.Entry) (*entry, error) {
	e := &entry{metrics: metrics.New(), addressTTL: defaultAddressTTL}
	if maxTTL := s.Bounds.MaxAddressAge; maxTTL > 0 {
		e.addressTTL = min(defaultAddressTTL, maxTTL)
	}
	counts := newFrontendMetrics(e.metrics)
	start := time.Now().UnixNano()
	e.scheduler = newScheduler(placement.New(placement.Config{
		AvailabilityZone: s.AvailabilityZone, MaxPeerLoadAge: maxPeerLoadAge,
		FailureBackoff: 500 * time.Millisecond, MaxFailureBackoff: 6 * time.Second, Seed: uint64(start),
		Engine:    func(pool string) *catalog.Engine { return e.view.engine(pool) },
		ColdLimit: func(pool string) placement.ColdLimit { return e.view.coldLimit(pool) },
		ColdBound: placement.ColdBound{Overshoot: s.Bounds.ColdOvershoot, Slack: s.Bounds.ColdSlack}, Regions: s.Regions, PromptRetention: s.PromptRetention,
	}), newRetryLimits(s.Bounds))
	e.scheduler.retrySlackFrom = clock.Now().Add(s.Bounds.RetryWindow)
	e.blocker = newBlocker(log, counts.blocks)
	e.view = newView(e.scheduler, e.blocker, s.Bounds.VersionSwitchTime, s.Bounds.StableTime-stablePeriodMargin, log)
	e.metrics.Registry.MustRegister(e.view.versionMetrics.minVersion, e.view.versionMetrics.target)
	e.frontend = &frontend{view: e.view, scheduler: e.scheduler, blocker: e.blocker, blockGate: &blockGate{view: e.view, learnBy: clock.Now().Add(s.Bounds.StableTime)}, sender: newSender(), log: log, metrics: counts, zone: s.AvailabilityZone, returningCallers: newReturningCallerDetector(), shutdown: newShutdown(), usesHeldPrompts: s.PromptRetention > 0}
	e.frontend.setBounds(s.Bounds)
	e.limitClients(s, log)
	e.heartbeats = &heartbeater{socket: socket, view: e.view, scheduler: e.scheduler, frontend: e.frontend, log: log, start: start, regions: s.Regions, sendNow: make(chan struct{}, 1), loadChanges: make(chan string, maxPendingLoadChanges), placed: make(chan struct{}, 1)}
	e.scheduler.requestShed = newShedCounter(e.metrics)
	e.scheduler.ordersFairly = func(pool string) bool {
		table := e.view.table()
		return s.FairOrder && table != nil && table.HasSeveralClasses(pool)
	}
	e.scheduler.loadChanged = e.heartbeats.recordLoadChange
	e.scheduler.backendExpired, e.scheduler.minVersion = e.view.backendExpired, e.view.minVersion
	e.metrics.Gauge("active_tables_version", "Version of the tables in force; 0 before the first ones.", func() float64 {
		if table := e.view.table(); table != nil {
			return float64(table.Version)
		}
		return 0
	})
	e.metrics.Gauge("tables_proof_age_seconds", "Age of the proof that the tables are current.", func() float64 { return e.view.proofAge().Seconds() })
	registerNoticeGauges(e.metrics, e.scheduler)
	registerColdMetrics(e.metrics, e.scheduler)
	e.scheduler.fleet.ExpectEntries(s.Seeds)
	registerBlockGauges(e.metrics, e.blocker)
	registerEvacuationGauge(e.metrics, e.scheduler)
	store := platform.NewStoreClient(s.StoreAddress, newStoreTransport())
	store.OnCall = func(method string, kind platform.Kind) { counts.storeCalls.WithLabelValues(method, string(kind)).Inc() }
	e.copies = copies.New(copies.Config{
		Store: store, Plans: newPlans(s.Bounds), Kinds: entryKinds(s.Bounds), Log: log, ShouldWatch: e.heartbeats.shouldWatch, ListRank: e.heartbeats.listRank, StoreAvailabilityChanged: e.heartbeats.triggerSend,
		Changed: func(kind platform.Kind) {
			e.view.handleChange(kind)
			e.heartbeats.triggerSend()
		},
	})
	e.view.copies, e.heartbeats.copies, e.frontend.blockGate.copies = e.copies, e.copies, e.copies
	e.frontend.evacuationGate = newEvacuationGate(s.Bounds, e.view, e.copies)
	e.saver = newBlockSaver(e.blocker, e.copies, store, e.heartbeats.blockRank, log)
	e.blocker.decided, e.blocker.claimTrial, e.blocker.turn = e.heartbeats.announceBlocks, e.saver.claimTrial, e.heartbeats.blockRank
	e.metrics.Gauge("store_era", "Latest era of the store's revisions that this process knows of; it rises when the store is restored from an older copy.", func() float64 { return float64(e.copies.Era()) })
	client := peer.NewClient(peer.Security{})
	e.heartbeats.puller = copies.NewPuller(copies.PullerConfig{
		Port: s.PeerPort, AvailabilityZone: s.AvailabilityZone, MaxConcurrent: maxConcurrentPulls, Log: log,
		OnPull: func(kind platform.Kind, succeeded bool) {
			counts.pulls.WithLabelValues(string(kind), strconv.FormatBool(succeeded)).Inc()
		},
	}, e.copies, client)
	weightsDepot, err := depot.New(depot.Config{
		Host: s.IP, Port: s.PeerPort, Uploads: depot.NewUploadLimiter(s.LinkBitsPerSecond, depot.EntryShare), Upstream: e.upstream,
	}, platform.NewOriginClient(newOriginTransport()), client, log)
	if err != nil {
		return nil, err
	}
	e.depot = weightsDepot
	e.view.onRelease = func(release catalog.Release) {
		weightsDepot.Prefetch(depot.VersionArgs{Model: release.Model, Version: release.Version})
	}
	e.heartbeats.directory = peers.New(peers.Config{
		LiveTimeout: 900 * time.Millisecond, FarLiveTimeout: 2500 * time.Millisecond, MaxBroadcast: maxNearbyPeers, RemoveAfter: time.Minute, ProbeTimeout: time.Minute, ProbeInterval: time.Second, MinProbeInterval: 150 * time.Millisecond,
	}, peers.Entry{
		Instance: s.Instance, Host: s.IP, AvailabilityZone: s.AvailabilityZone, Region: s.Region, FrontAddress: s.FrontAddress, Start: start,
	}, s.Seeds, clock.Now())
	return e, nil
}

// upstream returns the current sources of model weights.
func (e *entry) upstream() depot.Upstream {
	table := e.view.table()
	if table == nil {
		return depot.Upstream{}
	}
	zone := e.heartbeats.availabilityZone()
	return depot.Upstream{Origin: table.Origin(), OriginFetchers: e.heartbeats.zoneHosts(table.OriginZone()), Neighbors: e.heartbeats.zoneHosts(zone)}
}

// newOriginTransport returns a transport that keeps no idle connections: the origin
// accepts only a few connections, and idle ones would block other clients.
func newOriginTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: time.Second, Control: setUserTimeout}
	return message.NewSingleUseTransport(dialer)
}

func newStoreTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	transport := message.NewTransport(dialer)
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = len(platform.Kinds), storeIdleTimeout
	return transport
}

// reload applies the settings that may change at run time: the bounds on retries, on
// revoked keys and on table changes, and the seed hosts.
func (e *entry) reload(s platform.Settings) {
	e.scheduler.setRetryLimits(newRetryLimits(s.Bounds))
	e.frontend.setBounds(s.Bounds)
	e.copies.SetPlans(newPlans(s.Bounds))
	e.heartbeats.addCandidateHosts(s.Seeds)
}

func newRetryLimits(bounds platform.Bounds) retryLimits {
	return retryLimits{window: bounds.RetryWindow, ratio: retryRatioFactor * bounds.RetryRatio, slack: retrySlackFactor * bounds.RetrySlack}
}

// beginLeaving removes this entry from the addresses handed out to callers, and limits the
// requests that it takes.
func (e *entry) beginLeaving(times daemon.Shutdown) {
	e.frontend.shutdown.begin(times)
	e.heartbeats.triggerSend()
}

func (e *entry) listen(d *daemon.Daemon, s platform.Settings) error {
	host, _, err := net.SplitHostPort(s.FrontAddress)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "correct the settings file", "the setting Listen.Front of an entry is not a host:port address")
	}
	ready := rest.Route{Method: http.MethodGet, Path: platform.ReadyPath, Handler: e.serveReady}
	address := rest.Route{Method: http.MethodGet, Path: platform.AddressPath, Handler: e.serveAddresses}
	listeners := []daemon.Listener{
		{Address: s.FrontAddress, Fallback: e.frontend, MaxBodyBytes: maxBody, Connections: e.connections},
		{Address: s.ReadyAddress, Routes: []rest.Route{ready}, MaxBodyBytes: 1 << 10, Connections: e.newLimiter(e.limits.ReadyConnections)},
		{Address: s.DirectoryAddress, Routes: []rest.Route{address}, MaxBodyBytes: 1 << 10, Connections: e.newLimiter(e.limits.DirectoryConnections)},
		{Address: net.JoinHostPort(host, metricsPort), Routes: daemon.HealthAndMetricsRoutes(daemon.NewReadiness(), e.metrics.Registry), MaxBodyBytes: 1 << 10},
	}
	for _, listener := range listeners {
		listener.HeadTime, listener.HeadBytes, listener.ReceiveBytes = e.limits.HeadTime, e.limits.HeadBytes, e.limits.ReceiveBytes
		if listener.Address == "" {
			continue
		}
		if err := d.Listen(listener); err != nil {
			return err
		}
	}
	return nil
}

func (e *entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.heartbeats.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
