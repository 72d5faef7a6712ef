// Package distribute is the agent's driver of weights: it fetches, verifies
// and stages chunks, serves them to other agents, and takes its engine to the
// intended version through packages swarm and rollout.
package distribute

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

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

const (
	eventQueue = 256
	minBackoff = 200 * time.Millisecond
)

// Config holds the settings of a driver.
type Config struct {
	Self             string
	AvailabilityZone string
	Region           string
	HTTPAddress      string
	// Security proves membership of the fleet.
	Security peer.Security
	// Tick is the time between two decisions without events.
	Tick time.Duration
	// AnnounceInterval is the time between two announcements.
	AnnounceInterval time.Duration
	// MaxInFlight bounds the chunks fetched at once.
	MaxInFlight int
	// ChunkTimeout bounds the fetch of one chunk.
	ChunkTimeout time.Duration
	// Patience, see swarm.Config.
	Patience time.Duration
	// LoadTimeout bounds one load order.
	LoadTimeout time.Duration
	// LoadRetry is the pause after a failed load.
	LoadRetry time.Duration
}

// Driver runs the distribution on one instance. Only its own goroutine touches
// the decisions; other goroutines send it events.
type Driver struct {
	config  Config
	model   engine.Model
	origin  platform.Origin
	gate    *gate.Gate
	tables  *tablesync.Sync
	members *membership.View
	client  *peer.Client
	chunks  *chunkClient
	log     *logrus.Entry
	events  chan event

	rollout      *rollout.Rollout
	manifest     *weights.Manifest
	plan         *swarm.Plan
	addresses    map[string]string
	cancel       context.CancelFunc
	announcing   bool
	announceNext time.Time

	mu     sync.Mutex
	status Status
}

// Status is a summary of the driver.
type Status struct {
	Pool     string
	Target   rollout.Target
	Stage    rollout.Stage
	Held     int
	Chunks   int
	Failures int
	Cause    string
}

// New returns a driver.
func New(config Config, model engine.Model, origin platform.Origin, g *gate.Gate, tables *tablesync.Sync,
	members *membership.View, client *peer.Client, log *logrus.Entry) *Driver {
	return &Driver{
		config:  config,
		model:   model,
		origin:  origin,
		gate:    g,
		tables:  tables,
		members: members,
		client:  client,
		chunks:  newChunkClient(config.Security, config.ChunkTimeout),
		log:     log,
		events:  make(chan event, eventQueue),
		rollout: rollout.New(config.LoadRetry),
	}
}

// Status returns the current summary.
func (d *Driver) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.status
}

// event is something that happened outside the driver's goroutine.
type event interface {
	apply(ctx context.Context, d *Driver)
}

// send hands an event to the driver's goroutine.
func (d *Driver) send(ctx context.Context, e event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
	}
}

// Run drives the distribution until ctx ends.
func (d *Driver) Run(ctx context.Context) {
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
		case <-ticker.C:
		}
		d.step(ctx)
	}
}

// retarget reads the intended version from the tables.
func (d *Driver) retarget(ctx context.Context) {
	snapshot := d.tables.Current()
	if snapshot == nil {
		return
	}
	pool, found := snapshot.PoolOf(d.config.Self)
	d.mu.Lock()
	d.status.Pool = pool.Name
	d.mu.Unlock()
	if !found {
		d.gate.Close()
		return
	}
	if pool.Kind == table.KindService {
		d.gate.Open(gate.Admitted{})
		return
	}
	target := rollout.Target{Version: pool.Version, Manifest: weights.Digest(pool.Manifest), Revision: snapshot.Revision}
	d.act(ctx, d.rollout.SetTarget(target))
}

// step starts what the decisions ask for now.
func (d *Driver) step(ctx context.Context) {
	now := time.Now()
	if d.plan != nil {
		for _, fetch := range d.plan.Next(now) {
			d.startFetch(ctx, fetch)
		}
	}
	if d.manifest != nil && !d.announcing && now.After(d.announceNext) {
		d.startAnnounce(ctx)
	}
	d.publish()
}

func (d *Driver) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.status.Target = d.rollout.Target()
	d.status.Stage = d.rollout.Stage()
	d.status.Failures, d.status.Cause = d.rollout.Failures()
	d.status.Held, d.status.Chunks = 0, 0
	if d.plan != nil {
		d.status.Held, d.status.Chunks = d.plan.Have().Count(), len(d.manifest.Chunks)
	}
}

// act carries out an action of the rollout.
func (d *Driver) act(ctx context.Context, action rollout.Action) {
	switch action {
	case rollout.ActionFetch:
		d.startManifest(ctx)
	case rollout.ActionAskPermit:
		d.announceNext = time.Time{}
	case rollout.ActionCloseGate:
		d.startDrain(ctx)
	case rollout.ActionLoad:
		d.startLoad(ctx)
	case rollout.ActionOpenGate:
		target := d.rollout.Target()
		d.gate.Open(gate.Admitted{Version: target.Version, Manifest: target.Manifest, Whole: d.manifest.Whole})
		d.log.WithFields(logrus.Fields{logging.FieldVersion: target.Version, logging.FieldRevision: target.Revision}).Info("serving")
	}
}

// startManifest begins a fetch for a new target and gives up the former one.
func (d *Driver) startManifest(ctx context.Context) {
	if d.cancel != nil {
		d.cancel()
	}
	d.manifest, d.plan, d.addresses = nil, nil, nil
	ctx, d.cancel = context.WithCancel(ctx)
	go d.loadManifest(ctx, d.rollout.Target().Manifest)
}

// loadManifest fetches the manifest and what the engine holds, until it
// succeeds or ctx ends.
func (d *Driver) loadManifest(ctx context.Context, digest weights.Digest) {
	backoff := minBackoff
	for ctx.Err() == nil {
		ready, err := d.readManifest(ctx, digest)
		if err == nil {
			d.send(ctx, ready)
			return
		}
		d.log.WithError(err).Warning("the manifest or the engine is not available; trying again")
		sleep(ctx, backoff)
		backoff = min(2*backoff, d.config.ChunkTimeout)
	}
}

func (d *Driver) readManifest(ctx context.Context, digest weights.Digest) (manifestReady, error) {
	call, cancel := context.WithTimeout(ctx, d.config.ChunkTimeout)
	defer cancel()
	raw, err := d.origin.Manifest(call, digest)
	if err != nil {
		return manifestReady{}, err
	}
	manifest, err := weights.ParseManifest(raw, digest)
	if err != nil {
		return manifestReady{}, err
	}
	held, err := d.model.Status(call)
	if err != nil {
		return manifestReady{}, err
	}
	staged, err := d.model.Staged(call, digest)
	if err != nil {
		return manifestReady{}, err
	}
	return manifestReady{digest: digest, manifest: manifest, held: held, staged: staged}, nil
}

// manifestReady says that the target's manifest is here.
type manifestReady struct {
	digest   weights.Digest
	manifest *weights.Manifest
	held     engine.Status
	staged   []int
}

func (e manifestReady) apply(ctx context.Context, d *Driver) {
	if e.digest != d.rollout.Target().Manifest {
		return
	}
	have := weights.NewBitmap(len(e.manifest.Chunks))
	for _, chunk := range e.staged {
		have.Set(chunk)
	}
	d.manifest = e.manifest
	d.plan = swarm.New(swarm.Config{
		Self:             d.config.Self,
		AvailabilityZone: d.config.AvailabilityZone,
		Region:           d.config.Region,
		MaxInFlight:      d.config.MaxInFlight,
		Patience:         d.config.Patience,
		Penalty:          time.Second,
		Seed:             seed(d.config.Self),
	}, len(e.manifest.Chunks), have, time.Now())
	if action := d.rollout.Adopt(heldBy(e.held), e.manifest.Whole); action != rollout.ActionNone {
		d.act(ctx, action)
		return
	}
	d.checkComplete(ctx)
}

func heldBy(status engine.Status) rollout.Held {
	return rollout.Held{Version: status.Version, Manifest: status.Manifest, Whole: status.Whole, Fence: status.Fence}
}

func (d *Driver) checkComplete(ctx context.Context) {
	if d.plan.Complete() {
		d.act(ctx, d.rollout.Fetched(d.rollout.Target().Manifest))
	}
}

func seed(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
