// Package loader implements the agent on the users' platform. It fetches the target
// version of the weights, orders the model engine on the same instance to load it,
// and serves chunks to other agents.
package loader

import (
	"context"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/command"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/daemon"
	"plantainrelay/internal/depot"
	"plantainrelay/internal/duty"
	"plantainrelay/internal/intake"
	"plantainrelay/internal/logging"
	"plantainrelay/internal/message"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/ring"
	"plantainrelay/internal/rollout"
	"plantainrelay/internal/swarm"
	"plantainrelay/platform"
)

const (
	// pollInterval is the interval at which the engine and the fetch are polled
	// while a release is under way, idlePollInterval the interval when the engine
	// serves the target.
	pollInterval     = 50 * time.Millisecond
	idlePollInterval = 150 * time.Millisecond
	// reportInterval is the interval between reads of the engine's report. A read
	// is cheap on the engine's own instance, and the report changes every few
	// hundred ms.
	reportInterval     = 150 * time.Millisecond
	idleReportInterval = 300 * time.Millisecond
	// ageCheckInterval is the interval between checks of the age of the copies. The
	// agent reads the store only when it has received no message from an entry for
	// many seconds.
	ageCheckInterval = 400 * time.Millisecond
	// switchingPeriod is how long after a release other agents may still switch to
	// it.
	switchingPeriod = 15 * time.Second
	// messagesPerNeighborMessage is the number of messages to entries per message
	// to the neighbors when no release is under way.
	messagesPerNeighborMessage = 5
	// heartbeatInterval is the interval between messages to entries and neighbors
	// when nothing changes.
	heartbeatInterval = time.Second
	// entryTimeout is how long after its last message an entry still receives
	// messages.
	entryTimeout = 6 * time.Second
	// maxInFlight limits concurrent chunk fetches: a chunk takes about 35 ms of the
	// instance's link, which it shares with the engine's requests.
	maxInFlight = 3
	// metricsPort serves /metrics. deploy/system.toml names the same port.
	metricsPort = "9102"
	// leaveDelay is how long a stopped agent still answers its peers.
	leaveDelay = time.Second
	// Limits of the metrics listener, which only monitoring calls.
	drainLimit            = time.Second
	maxMetricsConnections = 8
	stallLimit            = 5 * time.Second
	// maxPeerRequestBytes bounds a request of another process: the arguments of all calls are
	// names and numbers.
	maxPeerRequestBytes = 64 << 10
	// maxConcurrentPulls allows a pull from a second peer while the first one hangs. An
	// agent's link is narrow.
	maxConcurrentPulls = 2
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = time.Second
	// startupPeerWait is how long a starting agent waits for an update from an
	// entry before it reads the store itself.
	startupPeerWait = 1500 * time.Millisecond
)

// refreshPlans holds the ages at which an agent reads the store itself. Entries
// forward updates every few hundred ms; an agent that receives none has to read the
// store.
var refreshPlans = map[platform.Kind]copies.Plan{
	platform.Tables:   {CheckInterval: ageCheckInterval, Plan: duty.Plan{MaxProofAge: 40 * time.Second, StartupPeerWait: startupPeerWait}},
	platform.Backends: {CheckInterval: ageCheckInterval, Plan: duty.Plan{MaxProofAge: 12 * time.Second, StartupPeerWait: startupPeerWait}},
	platform.Releases: {CheckInterval: ageCheckInterval, Plan: duty.Plan{MaxProofAge: 9 * time.Second, StartupPeerWait: startupPeerWait}},
}

// kinds are the collections that an agent needs.
var kinds = []platform.Kind{platform.Tables, platform.Backends, platform.Releases}

// minPullIntervals holds the minimum time between pulls. It saves bandwidth on an
// agent's link when the tables change often: an agent needs only their pools, which
// rarely change.
var minPullIntervals = map[platform.Kind]time.Duration{platform.Tables: 10 * time.Second}

// target is a version that the engine is to serve.
type target struct {
	model   string
	version int64
	// isReleased is false for a version that is only served by some instance.
	isReleased bool
	// learnedAt is when this agent learned of the version.
	learnedAt time.Time
	// lackingSince, if set, is when this agent learned of the oldest release that the engine
	// did not serve when this version became the target. Its bound holds for the switch.
	lackingSince time.Time
}

// boundFrom returns the time from which the bound on the switch to this version counts.
func (t target) boundFrom() time.Time {
	if !t.lackingSince.IsZero() {
		return t.lackingSince
	}
	return t.learnedAt
}

// supersedes reports whether t replaces the last target. A release replaces any version that
// is only served, also a newer one: the entry of the list that names it may be wrong.
func (t target) supersedes(last target) bool {
	if t.isReleased != last.isReleased {
		return t.isReleased
	}
	return t.version > last.version
}

// agent is the process that manages one model engine.
type agent struct {
	settings     platform.Settings
	log          *logrus.Entry
	socket       *beat.Socket
	copies       *copies.Copies
	puller       *copies.Puller
	client       *peer.Client
	engine       *platform.EngineClient
	origin       *platform.OriginClient
	chunks       *chunkStore
	stagingCalls *stagingCalls
	uploads      *depot.UploadLimiter
	stagedReads  *semaphore.Weighted
	metrics      *agentMetrics
	start        int64
	sendNow      chan struct{}

	mu             sync.Mutex
	backendDecoder platform.BackendDecoder
	table          *catalog.Table
	pool           catalog.Pool
	members        []swarm.Member
	newestServed   int64
	// target is the version that is fetched and loaded, newestTarget the newest
	// version known.
	target          target
	newestTarget    target
	entries         map[string]entryState
	neighbors       map[string]neighbor
	report          platform.EngineReport
	switching       bool
	sequence        uint64
	fetchInProgress *versionFetch
	// nextFetch is the fetch of the newest version, into memory only, while the target waits
	// for its switch.
	nextFetch *versionFetch
}

// entryState is an entry from which a message was received.
type entryState struct {
	availabilityZone string
	lastMessageAt    time.Time
}

// neighbor is the latest report of another agent. start and sequence order its
// messages.
type neighbor struct {
	report   beat.EngineReport
	sentAt   time.Time
	start    int64
	sequence uint64
}

// Run runs the agent until it is asked to stop.
func Run(s platform.Settings) error {
	log := logging.New(logging.NewBoundedWriter(os.Stdout), "info", s.Instance, s.AvailabilityZone)
	log.WithField("engine", s.BackendAddress).Info("agent starting")
	d := daemon.New(daemon.Config{Name: "plantain-agent", LeaveDelay: leaveDelay, DrainLimit: drainLimit, MaxConnections: maxMetricsConnections, StallLimit: stallLimit}, log)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	socket, err := beat.Open(s.IP, s.PeerPort, log)
	if err != nil {
		return err
	}
	a := newAgent(s, socket, log)
	server := peer.NewServer(peer.Security{}, log)
	limits := intake.NewLimits(intake.Machine{MemoryBytes: s.MemoryBytes, Descriptors: s.MaxDescriptors}, s.Intake)
	server.Limit(limits.Connections, maxPeerRequestBytes)
	if err := server.Register(depot.ServiceName, &Service{agent: a}); err != nil {
		return err
	}
	if err := server.Register(copies.ServiceName, copies.NewService(a.copies)); err != nil {
		return err
	}
	if err := server.Listen(beat.Address(s.IP, s.PeerPort)); err != nil {
		return err
	}
	go a.copies.Run(ctx)
	go a.socket.Receive(ctx, func(m *beat.Message) { a.handleMessage(ctx, m) })
	go a.heartbeatLoop(ctx)
	go a.switchLoop(ctx)
	go a.fetchLoop(ctx)
	command.WatchSettings(ctx, s, log, a.reload)
	err = d.Listen(daemon.Listener{
		Address: net.JoinHostPort(s.IP, metricsPort), Routes: daemon.HealthAndMetricsRoutes(daemon.NewReadiness(), a.metrics.registry), MaxBodyBytes: 1 << 10,
		HeadTime: limits.HeadTime, HeadBytes: limits.HeadBytes, ReceiveBytes: limits.ReceiveBytes,
	})
	if err != nil {
		return err
	}
	return d.Run()
}

// reload applies the settings that may change while the agent runs.
func (a *agent) reload(s platform.Settings) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settings.Seeds, a.settings.Bounds = s.Seeds, s.Bounds
	a.uploads.SetBandwidth(s.LinkBitsPerSecond)
}

func newAgent(s platform.Settings, socket *beat.Socket, log *logrus.Entry) *agent {
	dialer := &net.Dialer{Timeout: dialTimeout}
	// The origin accepts few connections; idle ones would keep other clients out.
	local, remote, origin := message.NewTransport(dialer), message.NewTransport(dialer), message.NewSingleUseTransport(dialer)
	local.MaxIdleConnsPerHost, remote.MaxIdleConnsPerHost = 4, 1
	a := &agent{
		settings: s, log: log, socket: socket, client: peer.NewClient(peer.Security{}),
		engine: platform.NewEngineClient(s.BackendAddress, local), origin: platform.NewOriginClient(origin),
		chunks: newChunkStore(), stagingCalls: newStagingCalls(), uploads: depot.NewUploadLimiter(s.LinkBitsPerSecond, depot.AgentShare), stagedReads: semaphore.NewWeighted(maxStagedReadBytes), start: time.Now().UnixNano(),
		sendNow: make(chan struct{}, 1), entries: map[string]entryState{}, neighbors: map[string]neighbor{},
	}
	store := platform.NewStoreClient(s.StoreAddress, remote)
	a.copies = copies.New(copies.Config{Store: store, Plans: refreshPlans, Kinds: kinds, Log: log, Changed: a.decodeCollections})
	a.stagingCalls.assumeEarlierCalls(clock.Now())
	a.metrics = newAgentMetrics(a)
	store.OnCall = func(method string, kind platform.Kind) { a.metrics.store.WithLabelValues(method, string(kind)).Inc() }
	a.puller = copies.NewPuller(copies.PullerConfig{
		Port: s.PeerPort, AvailabilityZone: s.AvailabilityZone, MaxConcurrent: maxConcurrentPulls, MinIntervals: minPullIntervals, Log: log,
	}, a.copies, a.client)
	return a
}

// decodeCollections decodes the collections after a change in one of them.
func (a *agent) decodeCollections(platform.Kind) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if document, found := a.copies.Documents(platform.Tables)[platform.TableName]; found {
		table, err := platform.DecodeTable(document)
		if err != nil {
			a.log.WithError(err).Error("cannot decode the tables; the last valid ones stay in force")
		} else if a.table == nil || table.Version >= a.table.Version {
			a.table = table
		}
	}
	if a.table == nil {
		return
	}
	a.pool = a.table.Pools[a.settings.Pool]
	if a.pool.Engine == nil {
		return
	}
	a.decodeMembers()
	a.decodeTarget()
}

// decodeMembers updates the list of instances that need the same weights. The
// caller holds mu.
func (a *agent) decodeMembers() {
	hosts := map[string]swarm.Member{a.settings.IP: a.member(a.settings.IP, a.settings.AvailabilityZone)}
	a.newestServed = 0
	for _, backend := range a.backendDecoder.Decode(a.copies.Documents(platform.Backends), a.table) {
		if backend.Pool != a.settings.Pool || backend.Leaving {
			continue
		}
		hosts[backend.Host] = a.member(backend.Host, backend.AvailabilityZone)
		a.newestServed = max(a.newestServed, backend.LoadedVersions[a.pool.Engine.Model])
	}
	a.members = a.members[:0:0]
	for _, host := range slices.Sorted(maps.Keys(hosts)) {
		a.members = append(a.members, hosts[host])
	}
}

func (a *agent) member(host, zone string) swarm.Member {
	return swarm.Member{Name: host, AvailabilityZone: zone, Region: a.settings.Regions[zone]}
}

// decodeTarget determines the target version: the newest one that was released or, while no
// release is known, that any instance serves. The caller holds mu.
func (a *agent) decodeTarget() {
	next := target{model: a.pool.Engine.Model, version: a.newestRelease(), learnedAt: clock.Now()}
	if next.isReleased = next.version > 0; !next.isReleased {
		next.version = a.newestServed
	}
	if !next.supersedes(a.newestTarget) {
		return
	}
	a.log.WithFields(logrus.Fields{"model": next.model, "version": next.version, "last": a.target.version, "released": next.isReleased}).Info("release seen")
	a.newestTarget = next
	a.chooseTarget(clock.Now())
	a.triggerMessage()
}

// newestRelease returns the newest released version of the engine's model, 0 if none is known.
// The caller holds mu.
func (a *agent) newestRelease() int64 {
	var newest int64
	for _, document := range a.copies.Documents(platform.Releases) {
		release, err := platform.DecodeRelease(document)
		if err != nil {
			a.log.WithError(err).Error("cannot decode a release; it is ignored")
			continue
		}
		if release.Model == a.pool.Engine.Model {
			newest = max(newest, release.Version)
		}
	}
	return newest
}

// chooseTarget moves the target to the newest version, unless the fetch of an
// earlier one is nearly complete and the newest one is not held yet, or the engine may still
// accept an order to load the target. A version that was not released is left at once
// otherwise. The caller holds mu.
func (a *agent) chooseTarget(now time.Time) {
	if !a.newestTarget.supersedes(a.target) || a.stagingCalls.pendingVersion() != 0 {
		return
	}
	isSameKind := a.newestTarget.isReleased == a.target.isReleased
	isNextHeld := a.nextFetch != nil && a.nextFetch.complete && a.nextFetch.target.version == a.newestTarget.version && !a.switching
	if f := a.fetchInProgress; isSameKind && !isNextHeld && f != nil && f.target.version == a.target.version && a.report.LoadedVersion < a.target.version {
		progress := rollout.Progress{
			Held: f.plan.Held(), Chunks: a.pool.Engine.Chunks, LastChunkAt: f.lastChunkAt,
			ServeBy: a.target.learnedAt.Add(a.settings.Bounds.VersionSwitchTime),
		}
		if progress.ShouldFinish(now) {
			return
		}
	}
	a.log.WithFields(logrus.Fields{"version": a.newestTarget.version, "last": a.target.version}).Info("target changed")
	last := a.target
	a.target = a.newestTarget
	if isSameKind && last.isReleased && a.report.Start > 0 && a.report.LoadedVersion < last.version {
		a.target.lackingSince = last.boundFrom()
	}
}

// handleMessage processes a message from an entry or another agent.
func (a *agent) handleMessage(ctx context.Context, m *beat.Message) {
	sentAt := m.EarliestComposed(clock.Now())
	if m.Role == beat.Agent {
		if m.Report != nil && m.Host != a.settings.IP {
			a.recordNeighbor(m, sentAt)
		}
		return
	}
	a.mu.Lock()
	_, known := a.entries[m.Host]
	a.entries[m.Host] = entryState{availabilityZone: m.AvailabilityZone, lastMessageAt: sentAt}
	a.mu.Unlock()
	if !known {
		a.triggerMessage()
	}
	a.puller.MessageReceived(ctx, m)
}

// recordNeighbor records another agent's report, unless a later one has already
// arrived.
func (a *agent) recordNeighbor(m *beat.Message, sentAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	last, found := a.neighbors[m.Host]
	if found && m.Start == last.start && m.Sequence <= last.sequence {
		return
	}
	a.neighbors[m.Host] = neighbor{report: *m.Report, sentAt: sentAt, start: m.Start, sequence: m.Sequence}
}

// triggerMessage makes heartbeatLoop send the next message immediately.
func (a *agent) triggerMessage() { ring.Notify(a.sendNow) }

// heartbeatLoop sends the engine's state to entries and neighbors.
func (a *agent) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		a.sendHeartbeat(turn%messagesPerNeighborMessage == 0)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.sendNow:
		}
	}
}

// upToDate reports whether the engine serves the target and no neighbor can still
// be switching. The caller holds mu.
func (a *agent) upToDate(now time.Time) bool {
	return a.target.version > 0 && a.report.LoadedVersion >= a.target.version && !a.switching && now.Sub(a.newestTarget.learnedAt) > switchingPeriod
}

// pollDelay returns the time until the engine and the fetch are polled next.
func (a *agent) pollDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.upToDate(clock.Now()) {
		return idlePollInterval
	}
	return pollInterval
}

func (a *agent) sendHeartbeat(toNeighbors bool) {
	now := clock.Now()
	a.mu.Lock()
	toNeighbors = toNeighbors || !a.upToDate(now)
	a.sequence++
	message := &beat.Message{
		Role: beat.Agent, Instance: a.settings.Instance, Host: a.settings.IP, AvailabilityZone: a.settings.AvailabilityZone,
		Start: a.start, Sequence: a.sequence, ComposedAt: now,
	}
	if a.report.Start > 0 {
		message.Report = &beat.EngineReport{Born: a.report.Start, Loaded: a.report.LoadedVersion, Switching: a.switching, Pace: a.report.Slowdown, Leaving: a.report.Leaving}
	}
	var hosts []string
	for host, entry := range a.entries {
		if now.Sub(entry.lastMessageAt) > entryTimeout {
			delete(a.entries, host)
			continue
		}
		hosts = append(hosts, host)
	}
	if len(hosts) == 0 {
		hosts = slices.Clone(a.settings.Seeds)
	}
	for _, member := range a.members {
		if toNeighbors && member.AvailabilityZone == a.settings.AvailabilityZone && member.Name != a.settings.IP {
			hosts = append(hosts, member.Name)
		}
	}
	a.mu.Unlock()
	a.socket.Send(message, hosts)
}
