package loader

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/depot"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/member"
	"plantainrelay/internal/swarm"
	"plantainrelay/platform"
)

const (
	// maxDigestMismatches is the number of consecutive chunks with a wrong digest
	// after which the manifest is fetched again.
	maxDigestMismatches = 6
)

// fetchConfig holds the limits of a fetch: a version has to reach all instances
// within a few seconds, and a chunk takes about 35 ms of a link.
var fetchConfig = swarm.TieredConfig{MaxInFlight: maxInFlight, InitialBackoff: 200 * time.Millisecond, AbsentRetryDelay: 300 * time.Millisecond}

// versionFetch is the state of the fetch of one version.
type versionFetch struct {
	target           target
	plan             *swarm.TieredPlan
	digestMismatches int
	started          time.Time
	// lastChunkAt is when the last chunk arrived.
	lastChunkAt time.Time
	complete    bool
	// staged is the verification of the staged chunks, if all were staged already.
	staged verification
}

// fetchLoop fetches missing chunks of the target until ctx is done.
func (a *agent) fetchLoop(ctx context.Context) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(a.pollDelay())
		a.mu.Lock()
		a.chooseTarget(clock.Now())
		wanted, current, engineDown := a.target, a.fetchInProgress, a.report.Start == 0
		served := !engineDown && a.report.LoadedVersion >= wanted.version
		a.mu.Unlock()
		if wanted.version == 0 || (current == nil && engineDown) {
			continue
		}
		if served {
			a.dropFetchedChunks(ctx, wanted)
			continue
		}
		if current == nil || current.target.version != wanted.version {
			a.startFetch(ctx, wanted)
			continue
		}
		a.startPlannedFetches(ctx, current)
		a.fetchNext(ctx)
	}
}

// fetchNext fetches the newest version into memory while the target, whose chunks are all held,
// waits for its switch: it is complete earlier, which leaves the instances more time to switch
// one after the other.
func (a *agent) fetchNext(ctx context.Context) {
	a.mu.Lock()
	newest, next := a.newestTarget, a.nextFetch
	isDue := a.fetchInProgress != nil && a.fetchInProgress.complete && newest.isReleased && newest.supersedes(a.target)
	a.mu.Unlock()
	switch {
	case !isDue:
	case next != nil && next.target.version == newest.version:
		a.startPlannedFetches(ctx, next)
	default:
		a.startNextFetch(ctx, newest)
	}
}

// startNextFetch starts the fetch of the newest version into memory.
func (a *agent) startNextFetch(ctx context.Context, newest target) {
	manifest, err := a.findManifest(ctx, newest)
	if err != nil {
		a.log.WithError(err).WithField("version", newest.version).Debug("cannot get the manifest yet; retrying")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.nextFetch != nil {
		// Only two versions are held.
		a.chunks.removeVersion(a.nextFetch.target.version)
	}
	a.chunks.addVersion(manifest)
	have, _ := a.chunks.bitmap(newest.version)
	now := clock.Now()
	a.nextFetch = &versionFetch{target: newest, plan: swarm.NewTieredPlan(fetchConfig, len(manifest.Digests), have), started: now, lastChunkAt: now}
	a.log.WithFields(logrus.Fields{"version": newest.version, "chunks": len(manifest.Digests), "held": have.Count(), "target": a.target.version}).
		Info("fetching the next version while the target waits for its switch")
}

// takeNextFetch makes the fetch of the next version that of the target, and stages the chunks
// that are held. It returns false if there is none.
func (a *agent) takeNextFetch(ctx context.Context, wanted target) bool {
	a.mu.Lock()
	next := a.nextFetch
	a.nextFetch = nil
	if next == nil || next.target.version != wanted.version {
		a.mu.Unlock()
		return false
	}
	a.fetchInProgress = next
	isComplete, chunks := next.complete, a.pool.Engine.Chunks
	a.mu.Unlock()
	a.log.WithFields(logrus.Fields{"version": wanted.version, "complete": isComplete}).Info("the next version is the target now")
	go func() {
		for chunk := range chunks {
			if data, held := a.chunks.chunk(wanted.version, chunk); held {
				a.stageChunk(ctx, wanted, chunk, data)
			}
		}
	}()
	return true
}

// dropFetchedChunks drops all but the manifest of the version that the engine
// serves. Its chunks are in the engine's staging area, and the process has little
// memory.
func (a *agent) dropFetchedChunks(ctx context.Context, served target) {
	a.mu.Lock()
	fetched := a.fetchInProgress != nil
	a.fetchInProgress = nil
	if a.nextFetch != nil && a.nextFetch.target.version <= served.version {
		a.nextFetch = nil
	}
	a.mu.Unlock()
	if fetched {
		a.chunks.dropChunks(served.version)
	}
	if _, known := a.chunks.manifest(served.version); known {
		return
	}
	manifest, err := a.findManifest(ctx, served)
	if err != nil {
		a.log.WithError(err).WithField("version", served.version).Debug("cannot get the manifest yet; retrying")
		return
	}
	a.chunks.addVersion(manifest)
}

// startFetch starts the fetch of a version: it gets the manifest and the chunks
// that are staged already.
func (a *agent) startFetch(ctx context.Context, wanted target) {
	if a.takeNextFetch(ctx, wanted) {
		return
	}
	manifest, err := a.findManifest(ctx, wanted)
	if err != nil {
		a.log.WithError(err).WithField("version", wanted.version).Debug("cannot get the manifest yet; retrying")
		return
	}
	a.chunks.addVersion(manifest)
	began := clock.Now()
	count, err := a.readStagedChunks(ctx, wanted, manifest)
	if err != nil {
		a.log.WithError(err).Warning("cannot read the staged chunks")
		return
	}
	staged := verification{}
	if count == len(manifest.Digests) {
		staged = verification{version: wanted.version, at: began}
	}
	have, _ := a.chunks.bitmap(wanted.version)
	now := clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fetchInProgress = &versionFetch{target: wanted, plan: swarm.NewTieredPlan(fetchConfig, len(manifest.Digests), have), started: now, lastChunkAt: now, staged: staged}
	a.log.WithFields(logrus.Fields{"version": wanted.version, "chunks": len(manifest.Digests), "held": have.Count()}).Info("fetching a version")
}

// findManifest requests the manifest from the entries, then from other agents, and
// from the origin if none of them has it.
func (a *agent) findManifest(ctx context.Context, wanted target) (platform.Manifest, error) {
	if manifest, found := a.chunks.manifest(wanted.version); found {
		return manifest, nil
	}
	args := depot.VersionArgs{Model: wanted.model, Version: wanted.version}
	a.mu.Lock()
	sources, origin := a.sources(), a.table.Origin()
	a.mu.Unlock()
	hosts := slices.Concat(
		member.Rank("manifest", sources.NearDepots), sample(sources.NearPeers), member.Rank("manifest", sources.FarDepots), sample(sources.FarPeers))
	for _, host := range hosts {
		var manifest platform.Manifest
		err := a.call(ctx, host, depot.MethodManifest, callTimeout, args, &manifest)
		if err == nil && manifest.Model == wanted.model && manifest.Version == wanted.version && len(manifest.Digests) > 0 {
			return manifest, nil
		}
	}
	return depot.OriginManifest(a.origin, origin, args)
}

// sample returns a random sample of hosts.
func sample(hosts []string) []string {
	const sampleSize = 2
	chosen := slices.Clone(hosts)
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:min(sampleSize, len(chosen))]
}

// sources lists the hosts from which chunks can be fetched. The caller holds mu.
func (a *agent) sources() swarm.Sources {
	var s swarm.Sources
	now := clock.Now()
	for _, host := range slices.Sorted(maps.Keys(a.entries)) {
		entry := a.entries[host]
		switch {
		case now.Sub(entry.lastMessageAt) > entryTimeout:
		case entry.availabilityZone == a.settings.AvailabilityZone:
			s.NearDepots = append(s.NearDepots, host)
		default:
			s.FarDepots = append(s.FarDepots, host)
		}
	}
	for _, other := range a.members {
		switch {
		case other.Name == a.settings.IP:
			s.ZoneIndex = len(s.NearPeers)
		case other.AvailabilityZone == a.settings.AvailabilityZone:
			s.NearPeers = append(s.NearPeers, other.Name)
		default:
			s.FarPeers = append(s.FarPeers, other.Name)
		}
	}
	return s
}

// readStagedChunks adds the chunks that are in the engine's staging area, and returns
// how many of them match their digests.
func (a *agent) readStagedChunks(ctx context.Context, wanted target, manifest platform.Manifest) (count int, err error) {
	for chunk := range manifest.Digests {
		if _, held := a.chunks.chunk(wanted.version, chunk); held {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
		data, err := a.engine.ReadStaged(ctx, wanted.model, chunk, a.chunkLimit())
		cancel()
		if err == nil && a.chunks.put(wanted.version, chunk, data) == stored {
			count++
		} else if err != nil && !failure.Is(err, failure.NotFound) {
			return count, err
		}
	}
	return count, nil
}

// startPlannedFetches starts the fetches that the plan of a version allows now.
func (a *agent) startPlannedFetches(ctx context.Context, f *versionFetch) {
	now := clock.Now()
	a.mu.Lock()
	if f == nil || f != a.fetchInProgress && f != a.nextFetch {
		a.mu.Unlock()
		return
	}
	f.plan.SetSources(a.sources())
	fetches := f.plan.Next(now)
	if f.plan.Complete() && !f.complete {
		f.complete = true
		observeSince(a.metrics.fetchTime, f.target.learnedAt, now)
		a.log.WithFields(logrus.Fields{"version": f.target.version, "ms": now.Sub(f.started).Milliseconds()}).Info("all chunks have been fetched")
	}
	a.mu.Unlock()
	for _, fetch := range fetches {
		go a.fetchAndStage(ctx, f, fetch)
	}
}

func (f *versionFetch) args() depot.VersionArgs {
	return depot.VersionArgs{Model: f.target.model, Version: f.target.version}
}

// fetchAndStage fetches one chunk, verifies and stages it.
func (a *agent) fetchAndStage(ctx context.Context, f *versionFetch, fetch swarm.Fetch) {
	outcome := a.fetchChunk(ctx, f, fetch)
	a.mu.Lock()
	f.plan.FinishFetch(fetch, outcome, clock.Now())
	if outcome == swarm.Corrupt {
		f.digestMismatches++
	} else if outcome == swarm.Verified {
		f.digestMismatches, f.lastChunkAt = 0, clock.Now()
	}
	manifestSuspect := f.digestMismatches >= maxDigestMismatches
	if manifestSuspect && (a.fetchInProgress == f || a.nextFetch == f) {
		a.chunks.removeVersion(f.target.version)
		if a.fetchInProgress == f {
			a.fetchInProgress = nil
		} else {
			a.nextFetch = nil
		}
	}
	a.mu.Unlock()
	if manifestSuspect {
		a.log.WithField("version", f.target.version).Warning("too many chunks do not match their digests; fetching the manifest again")
	}
	if outcome == swarm.Verified {
		a.startPlannedFetches(ctx, f)
	}
}

func (a *agent) fetchChunk(ctx context.Context, f *versionFetch, fetch swarm.Fetch) (outcome swarm.Outcome) {
	size := 0
	defer func() {
		a.mu.Lock()
		sources := a.sources()
		a.mu.Unlock()
		a.metrics.countFetch(sources.Kind(fetch.Source), outcome, size)
	}()
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	data, outcome := a.requestChunk(ctx, f, fetch)
	size = len(data)
	if data == nil {
		return outcome
	}
	switch a.chunks.put(f.target.version, fetch.Chunk, data) {
	case versionNotHeld:
		return swarm.Failed
	case corrupt:
		a.log.WithFields(logrus.Fields{"version": f.target.version, "chunk": fetch.Chunk, "source": fetch.Source}).Warning("received a corrupt chunk; fetching it again")
		return swarm.Corrupt
	case stored:
	}
	a.stageChunk(ctx, f.target, fetch.Chunk, data)
	return swarm.Verified
}

// stageChunk copies a chunk to the engine's staging area, unless another version
// has become the target or is being ordered. A chunk that is not staged here is
// staged by verifyStagedChunks before the engine loads.
func (a *agent) stageChunk(ctx context.Context, wanted target, chunk int, data []byte) {
	if a.currentTarget().version != wanted.version {
		return
	}
	if err := a.stage(ctx, wanted, chunk, data); err != nil {
		a.log.WithError(err).WithField("chunk", chunk).Debug("cannot stage a chunk")
	}
}

func (a *agent) requestChunk(ctx context.Context, f *versionFetch, fetch swarm.Fetch) ([]byte, swarm.Outcome) {
	if fetch.Source == swarm.Origin {
		a.mu.Lock()
		origin := a.table.Origin()
		a.mu.Unlock()
		data, err := a.origin.Chunk(ctx, origin, f.target.model, f.target.version, fetch.Chunk, a.chunkLimit())
		if err != nil {
			a.log.WithError(err).WithField("chunk", fetch.Chunk).Info("cannot fetch a chunk from the origin")
			return nil, swarm.Failed
		}
		return data, swarm.Verified
	}
	var reply depot.ChunkReply
	err := a.call(ctx, fetch.Source, depot.MethodChunk, chunkTimeout, depot.ChunkArgs{VersionArgs: f.args(), Chunk: fetch.Chunk}, &reply)
	switch {
	case failure.Is(err, failure.Refused):
		return nil, swarm.Absent
	case err != nil:
		return nil, swarm.Failed
	case reply.Busy:
		return nil, swarm.Busy
	}
	return reply.Data, swarm.Verified
}
