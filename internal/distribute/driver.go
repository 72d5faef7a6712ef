// Package distribute fetches, verifies and stages chunks of weights on an agent,
// serves them to other agents, and switches the agent's engine to the target
// version. The decisions are made by packages swarm and rollout.
package distribute

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"plantainrelay/internal/engine"
	"plantainrelay/internal/gate"
	"plantainrelay/internal/logging"
	"plantainrelay/internal/membership"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/rollout"
	"plantainrelay/internal/swarm"
	"plantainrelay/internal/table"
	"plantainrelay/internal/tablesync"
	"plantainrelay/internal/weights"
)

const eventQueueSize = 256

// Config holds the settings of a driver.
type Config struct {
	Self             string
	AvailabilityZone string
	Region           string
	// Security authenticates the agents of the fleet to each other.
	Security peer.Security
	// Tick is the interval at which decisions are made without events.
	Tick time.Duration
	// AnnounceInterval is the shortest interval between announcements. A tracker
	// may ask for a longer one.
	AnnounceInterval time.Duration
	// EngineInterval is the interval between status queries to the engine.
	EngineInterval time.Duration
	// MaxInFlight limits the concurrent fetches of chunks, MaxUploads the
	// concurrent uploads.
	MaxInFlight, MaxUploads int
	// ChunkMemory limits the total size in bytes of buffered chunks.
	ChunkMemory int64
	// RegionRate limits the rate, in bytes per second, at which all instances of
	// a region together fetch from other regions.
	RegionRate int64
	// ChunkTimeout limits the fetch of one chunk.
	ChunkTimeout time.Duration
	// StallTimeout is the time without data after which a fetch is canceled.
	StallTimeout time.Duration
	// TakeoverDelay is the TakeoverDelay of swarm.Config. Other delays and intervals
	// of a distribution are derived from it.
	TakeoverDelay time.Duration
	// LoadTimeout limits one load order.
	LoadTimeout time.Duration
	// LoadRetryDelay is the delay before the first retry of a failed load.
	LoadRetryDelay time.Duration
}

// Driver runs the distribution on one instance. Only the goroutine of Run accesses
// the state of the decisions; other goroutines send it events.
type Driver struct {
	config        Config
	controller    engine.Controller
	origin        platform.Origin
	gate          *gate.Gate
	tables        *tablesync.Sync
	members       *membership.View
	client        *peer.Client
	chunks        *chunkClient
	log           *logrus.Entry
	events        chan event
	calls         chan peerCall
	memory        *semaphore.Weighted
	uploads       *semaphore.Weighted
	regionLimiter *rate.Limiter

	rollout           *rollout.Rollout
	fleet             fleet
	manifest          *weights.Manifest
	plan              *swarm.Plan
	cancelFetch       context.CancelFunc
	unassigned        bool
	drainCount        int
	engineEpoch       int
	engineIncarnation string
	announcing        bool
	nextAnnounce      time.Time
	announceAgain     bool
	// permitRefusal is the reason why no permit was granted, fetchProblem the
	// reason why the fetch cannot start.
	permitRefusal string
	fetchProblem  string

	mu        sync.Mutex
	status    Status
	published published
	manifests *manifests
}

// published is the state that is reported to other agents: the target manifest
// and the chunks held.
type published struct {
	digest weights.Digest
	have   weights.Bitmap
}

// Status is a summary of the driver's state.
type Status struct {
	Pool     string
	Target   rollout.Target
	Stage    rollout.Stage
	Held     int
	Chunks   int
	Bytes    int64
	Failures int
	// Cause is the cause of the last failed load, or the reason why no permit was
	// granted or why the fetch cannot start.
	Cause string
}

// New returns a driver.
func New(config Config, controller engine.Controller, origin platform.Origin, g *gate.Gate, tables *tablesync.Sync,
	members *membership.View, client *peer.Client, log *logrus.Entry) *Driver {
	return &Driver{
		config:        config,
		controller:    controller,
		origin:        origin,
		gate:          g,
		tables:        tables,
		members:       members,
		client:        client,
		chunks:        newChunkClient(config.Security, config.ChunkTimeout),
		log:           log,
		events:        make(chan event, eventQueueSize),
		calls:         make(chan peerCall, callQueueSize),
		memory:        semaphore.NewWeighted(max(config.ChunkMemory, weights.MaxChunkBytes)),
		uploads:       semaphore.NewWeighted(int64(config.MaxUploads)),
		regionLimiter: rate.NewLimiter(rate.Inf, pacedReadBytes),
		rollout:       rollout.New(config.LoadRetryDelay),
		manifests:     newManifests(),
	}
}

// Status returns a summary of the current state.
func (d *Driver) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.status
}

// event is an event from outside the driver's goroutine.
type event interface {
	apply(ctx context.Context, d *Driver)
}

// send sends an event to the driver's goroutine.
func (d *Driver) send(ctx context.Context, e event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
	}
}

// Run drives the distribution until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	for range callWorkers {
		go d.runCalls(ctx)
	}
	go d.watchEngine(ctx)
	changed := d.tables.Subscribe()
	ticker := time.NewTicker(d.config.Tick)
	defer ticker.Stop()
	d.retarget(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			d.retarget(ctx)
		case e := <-d.events:
			e.apply(ctx, d)
		case <-d.gate.Mismatched():
			// A status that was read before may still show the admitted weights.
			d.engineEpoch++
			d.perform(ctx, d.rollout.ResponseMismatched())
		case <-ticker.C:
		}
		d.step(ctx)
	}
}

// retarget reads the target version from the tables.
func (d *Driver) retarget(ctx context.Context) {
	snapshot := d.tables.Current()
	if snapshot == nil {
		return
	}
	pool, found := snapshot.PoolOf(d.config.Self)
	d.mu.Lock()
	d.status.Pool = pool.Name
	d.mu.Unlock()
	d.unassigned = !found
	if !found {
		d.gate.Close()
		return
	}
	if pool.Kind == table.KindService {
		d.gate.Open(gate.AdmittedWeights{})
		return
	}
	if d.rollout.Open() {
		d.openGate()
	}
	target := rollout.Target{Version: pool.Version, Manifest: weights.Digest(pool.Manifest), Revision: snapshot.Revision}
	d.perform(ctx, d.rollout.SetTarget(target))
}

// step starts the actions that are due now.
func (d *Driver) step(ctx context.Context) {
	now := time.Now()
	d.refreshFleet(now)
	if d.plan != nil {
		next := d.plan.Next(now)
		for _, fetch := range next.Fetches {
			d.startFetch(ctx, fetch)
		}
		d.startCalls(next)
	}
	if d.rollout.Stage() != rollout.StageIdle && !d.announcing && now.After(d.nextAnnounce) {
		d.startAnnounce(ctx)
	}
	d.publish()
}

// publish updates the state that other goroutines read.
func (d *Driver) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.status.Target = d.rollout.Target()
	d.status.Stage = d.rollout.Stage()
	d.status.Failures, d.status.Cause = d.rollout.Failures()
	switch {
	case d.status.Cause == "" && d.rollout.Stage() == rollout.StageWaiting:
		d.status.Cause = d.permitRefusal
	case d.status.Cause == "" && d.rollout.Stage() == rollout.StageFetching:
		d.status.Cause = d.fetchProblem
	}
	d.status.Held, d.status.Chunks, d.status.Bytes = 0, 0, 0
	d.published = published{}
	if d.plan != nil {
		d.status.Held, d.status.Chunks, d.status.Bytes = d.plan.Held(), len(d.manifest.Chunks), d.manifest.Size
		d.published = published{digest: d.rollout.Target().Manifest, have: d.plan.Have()}
	}
}

// perform executes actions of the rollout.
func (d *Driver) perform(ctx context.Context, actions []rollout.Action) {
	for _, action := range actions {
		switch action {
		case rollout.ActionFetch:
			d.startTarget(ctx)
		case rollout.ActionAskPermit:
			d.announceNow()
		case rollout.ActionDrain:
			d.startDrain(ctx)
		case rollout.ActionLoad:
			d.startLoad(ctx)
		case rollout.ActionCloseGate:
			d.gate.Close()
			d.log.Warning("the engine does not hold the admitted weights or does not answer; the gate is closed")
		case rollout.ActionOpenGate:
			d.openGate()
		}
	}
}

// announceNow requests an immediate announcement. If one is in progress, which
// does not contain the latest state, another one follows it.
func (d *Driver) announceNow() {
	d.nextAnnounce, d.announceAgain = time.Time{}, true
}

func (d *Driver) openGate() {
	if d.unassigned {
		return
	}
	d.announceNow()
	admitted := d.rollout.Admitted()
	d.gate.Open(gate.AdmittedWeights{Version: admitted.Version, Manifest: admitted.Manifest, Whole: admitted.Whole})
	d.log.WithField(logging.FieldVersion, admitted.Version).Info("requests are admitted")
}
