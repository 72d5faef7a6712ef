package distribute

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/engine"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/member"
	"plantainrelay/internal/message"
	"plantainrelay/internal/rollout"
	"plantainrelay/internal/swarm"
	"plantainrelay/internal/table"
	"plantainrelay/internal/weights"
)

const (
	minBackoff   = 200 * time.Millisecond
	maxManifests = 4
	// extraCopiesForTime and extraCopiesForBytes are the numbers of copies that a
	// pool may fetch from the origin beyond the first, depending on whether it
	// prefers a short distribution time or little traffic.
	extraCopiesForTime  = 1.8
	extraCopiesForBytes = 0.1
	sourceBackoff       = 500 * time.Millisecond
)

// manifests caches the most recently used manifests, parsed and in raw form.
type manifests struct {
	parsed *lru.Cache[weights.Digest, *weights.Manifest]
	raw    *lru.Cache[weights.Digest, []byte]
}

func newManifests() *manifests {
	parsed, _ := lru.New[weights.Digest, *weights.Manifest](maxManifests)
	raw, _ := lru.New[weights.Digest, []byte](maxManifests)
	return &manifests{parsed: parsed, raw: raw}
}

// readManifest returns a manifest from the cache, from another agent, or, if
// mayUseOrigin is set, from the origin.
func (d *Driver) readManifest(ctx context.Context, digest weights.Digest, mayUseOrigin bool) (*weights.Manifest, error) {
	if manifest, found := d.manifests.parsed.Get(digest); found {
		return manifest, nil
	}
	raw := d.manifestFromPeers(ctx, digest)
	if raw == nil {
		if !mayUseOrigin {
			return nil, failure.New(failure.NotReachable, "wait", "no other agent holds the manifest yet")
		}
		var err error
		if raw, err = d.origin.Manifest(ctx, digest); err != nil {
			return nil, err
		}
	}
	manifest, err := weights.ParseManifest(raw, digest)
	if err != nil {
		return nil, err
	}
	d.manifests.parsed.Add(digest, manifest)
	d.manifests.raw.Add(digest, raw)
	return manifest, nil
}

// manifestFromPeers asks the member of this zone that is responsible for the
// manifest, and one random member.
func (d *Driver) manifestFromPeers(ctx context.Context, digest weights.Digest) []byte {
	names := d.zoneMembers()
	if len(names) < 2 {
		return nil
	}
	for _, name := range []string{member.First(string(digest), names), names[rand.IntN(len(names))]} {
		instance, found := d.members.Current().Find(name)
		if !found || name == d.config.Self {
			continue
		}
		var reply message.ManifestReply
		call, cancel := context.WithTimeout(ctx, dialTimeout)
		err := d.client.Call(call, instance.ControlAddress, message.MethodManifest, message.ManifestArgs{Digest: digest}, &reply)
		cancel()
		if err == nil && weights.DigestOf(reply.Raw) == digest {
			return reply.Raw
		}
	}
	return nil
}

// zoneMembers returns the names of the live agents of this pool in this
// availability zone.
func (d *Driver) zoneMembers() []string {
	snapshot := d.tables.Current()
	if snapshot == nil {
		return nil
	}
	members, _ := d.poolMembers(d.members.Current(), snapshot)
	var names []string
	for _, other := range members {
		if other.AvailabilityZone == d.config.AvailabilityZone {
			names = append(names, other.Name)
		}
	}
	return names
}

// startTarget cancels the fetch of the previous target and starts the fetch of the
// current one.
func (d *Driver) startTarget(ctx context.Context) {
	if d.cancelFetch != nil {
		d.cancelFetch()
	}
	d.manifest, d.plan, d.fetchProblem = nil, nil, ""
	ctx, d.cancelFetch = context.WithCancel(ctx)
	go d.prepareTarget(ctx, d.rollout.Target())
}

// prepareTarget reads the manifest and the state of the engine, and retries until
// it succeeds or ctx ends. Only the member of the zone that is responsible for the
// manifest asks the origin immediately; the others do so after a delay.
func (d *Driver) prepareTarget(ctx context.Context, target rollout.Target) {
	d.awaitInstances(ctx)
	started := time.Now()
	backoff := minBackoff
	for ctx.Err() == nil {
		overdue := time.Since(started) > d.config.TakeoverDelay/2
		responsible := member.First(string(target.Manifest), d.zoneMembers()) == d.config.Self
		ready, err := d.prepare(ctx, target, overdue || responsible)
		if err == nil {
			d.send(ctx, ready)
			return
		}
		d.log.WithError(err).Debug("the manifest or the engine is not available; retrying")
		d.send(ctx, prepareFailed{manifest: target.Manifest, cause: err.Error()})
		clock.Sleep(ctx, time.Duration(float64(backoff)*(0.5+rand.Float64())))
		backoff = min(2*backoff, d.config.TakeoverDelay)
	}
}

// awaitInstances waits, for at most TakeoverDelay, until the list of instances is
// not empty.
func (d *Driver) awaitInstances(ctx context.Context) {
	deadline := time.Now().Add(d.config.TakeoverDelay)
	for ctx.Err() == nil && time.Now().Before(deadline) && len(d.members.Current().Instances) == 0 {
		clock.Sleep(ctx, d.config.Tick)
	}
}

// prepare reads the state of the engine, the manifest, and the staged chunks.
func (d *Driver) prepare(ctx context.Context, target rollout.Target, mayUseOrigin bool) (manifestReady, error) {
	call, cancel := context.WithTimeout(ctx, d.config.ChunkTimeout)
	defer cancel()
	status, err := d.controller.Status(call)
	if err != nil {
		return manifestReady{}, err
	}
	served, known := d.servedWeights(call, status)
	if known {
		// The engine serves complete weights. Admit requests for them during the
		// fetch.
		d.send(ctx, engineServing{served: served, reported: engineWeights(status)})
	}
	manifest, err := d.readManifest(call, target.Manifest, mayUseOrigin)
	if err != nil {
		return manifestReady{}, err
	}
	if err := d.checkBase(manifest, status); err != nil {
		return manifestReady{}, err
	}
	have, err := d.stagedChunks(call, target.Manifest, manifest)
	if err != nil {
		return manifestReady{}, err
	}
	return manifestReady{target: target, manifest: manifest, have: have}, nil
}

// servedWeights returns the weights that the engine serves if they are complete.
// This is the case, for example, after a restart of this process while the engine
// keeps running.
func (d *Driver) servedWeights(ctx context.Context, status engine.Status) (rollout.WeightsID, bool) {
	if !status.Manifest.Valid() {
		return rollout.WeightsID{}, false
	}
	manifest, err := d.readManifest(ctx, status.Manifest, true)
	if err != nil || manifest.Whole != status.Whole {
		return rollout.WeightsID{}, false
	}
	return rollout.WeightsID{Version: status.Version, Manifest: status.Manifest, Whole: status.Whole}, true
}

// checkBase rejects an adapter unless the engine serves its base or an adapter of
// the same base.
func (d *Driver) checkBase(manifest *weights.Manifest, status engine.Status) error {
	if manifest.Base == "" || manifest.Base == status.Manifest {
		return nil
	}
	if current, found := d.manifests.parsed.Get(status.Manifest); found && current.Base == manifest.Base {
		return nil
	}
	return failure.New(failure.Refused, "release the base version first, or publish the adapter for the version served",
		"%s is an adapter of the base %s, which the engine does not serve", manifest.Version, manifest.Base)
}

// stagedChunks returns the chunks that are staged in the engine for the manifest.
// Missing chunks that are staged for other manifests are copied and included.
func (d *Driver) stagedChunks(ctx context.Context, digest weights.Digest, manifest *weights.Manifest) (weights.Bitmap, error) {
	staged, err := d.controller.Staged(ctx, digest)
	if err != nil {
		return nil, err
	}
	have := weights.NewBitmap(len(manifest.Chunks))
	for _, chunk := range staged {
		have.Set(chunk)
	}
	for _, other := range d.manifests.parsed.Keys() {
		if other != digest {
			d.reuseChunks(ctx, digest, manifest, other, have)
		}
	}
	return have, nil
}

// reuseChunks stages the missing chunks of the manifest that the engine holds for
// the manifest from, and sets them in have.
func (d *Driver) reuseChunks(ctx context.Context, digest weights.Digest, manifest *weights.Manifest, from weights.Digest, have weights.Bitmap) {
	source, found := d.manifests.parsed.Peek(from)
	staged, err := d.controller.Staged(ctx, from)
	if !found || err != nil {
		return
	}
	held := map[weights.Digest]int{}
	for _, chunk := range staged {
		if chunk >= 0 && chunk < len(source.Chunks) {
			held[source.Chunks[chunk]] = chunk
		}
	}
	for chunk, wanted := range manifest.Chunks {
		index, found := held[wanted]
		if !found || have.Has(chunk) {
			continue
		}
		if d.restage(ctx, from, index, digest, chunk, wanted, manifest.ChunkBytes(chunk)) == nil {
			have.Set(chunk)
		}
	}
}

// restage copies a staged chunk to another manifest after verifying its digest.
func (d *Driver) restage(ctx context.Context, from weights.Digest, index int, to weights.Digest, chunk int, wanted weights.Digest, size int64) error {
	if err := d.memory.Acquire(ctx, size); err != nil {
		return err
	}
	defer d.memory.Release(size)
	body, err := d.controller.ReadStaged(ctx, from, index)
	if err != nil {
		return err
	}
	defer body.Close()
	data, err := readChunk(body, size)
	if err != nil {
		return err
	}
	if weights.DigestOf(data) != wanted {
		return failure.New(failure.Invalid, "fetch it again", "a staged chunk does not match its digest")
	}
	return d.controller.Stage(ctx, to, chunk, data)
}

// prepareFailed is the event that the fetch cannot start yet.
type prepareFailed struct {
	manifest weights.Digest
	cause    string
}

func (e prepareFailed) apply(_ context.Context, d *Driver) {
	if e.manifest == d.rollout.Target().Manifest {
		d.fetchProblem = e.cause
	}
}

// engineServing is the event that the engine serves complete weights.
type engineServing struct {
	served   rollout.WeightsID
	reported rollout.EngineWeights
}

func (e engineServing) apply(ctx context.Context, d *Driver) {
	d.rollout.AddComplete(e.served)
	d.perform(ctx, d.rollout.EngineReported(e.reported, false))
}

// manifestReady is the event that the target's manifest and the staged chunks are
// known.
type manifestReady struct {
	target   rollout.Target
	manifest *weights.Manifest
	have     weights.Bitmap
}

func (e manifestReady) apply(ctx context.Context, d *Driver) {
	target := d.rollout.Target()
	stage := d.rollout.Stage()
	if e.target.Manifest != target.Manifest || (stage != rollout.StageFetching && stage != rollout.StageServing) {
		return
	}
	d.rollout.AddComplete(rollout.WeightsID{Version: target.Version, Manifest: target.Manifest, Whole: e.manifest.Whole})
	d.refreshFleet(time.Now())
	d.manifest, d.fetchProblem = e.manifest, ""
	d.plan = swarm.New(d.planConfig(), d.fleet.layout, len(e.manifest.Chunks), e.have, time.Now())
	d.reportIfComplete(ctx)
}

func (d *Driver) planConfig() swarm.Config {
	pool, _ := d.fleet.tables.PoolOf(d.config.Self)
	config := swarm.Config{
		Self:                 d.config.Self,
		MaxInFlight:          d.config.MaxInFlight,
		TakeoverDelay:        d.config.TakeoverDelay,
		AlternateHolderDelay: d.config.TakeoverDelay / 5,
		AskInterval:          d.config.TakeoverDelay / 5,
		InitialAskTimeout:    d.config.TakeoverDelay / 10,
		InitialBackoff:       sourceBackoff,
		ExtraCopies:          extraCopiesForBytes,
		Seed:                 seed(d.config.Self),
	}
	if pool.Prefer == table.PreferTime {
		config.ExtraCopies = extraCopiesForTime
	}
	return config
}

// reportIfComplete reports to the rollout when all chunks are held.
func (d *Driver) reportIfComplete(ctx context.Context) {
	if d.plan != nil && d.plan.Complete() {
		d.perform(ctx, d.rollout.Fetched(d.rollout.Target().Manifest))
	}
}

func seed(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}
