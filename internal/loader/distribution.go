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
	// maxMisfits is the number of consecutive chunks with a wrong digest after
	// which the manifest is fetched again.
	maxMisfits = 6
)

// cascade holds the limits of a fetch: a version has to reach all instances within
// a few seconds, and a chunk takes about 35 ms of a link.
var cascade = swarm.CascadeConfig{MaxInFlight: maxInFlight, Penalty: 200 * time.Millisecond, AbsentFor: 300 * time.Millisecond}

// distribution is the state of the fetch of one version.
type distribution struct {
	target  target
	plan    *swarm.Cascade
	misfits int
	started time.Time
	// lastAt is when the last chunk arrived.
	lastAt time.Time
	done   bool
}

// distributes fetches missing chunks of the target until ctx is done.
func (a *agent) distributes(ctx context.Context) {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(a.pause())
		a.mu.Lock()
		a.chooseTarget(clock.Now())
		wanted, current, lost := a.target, a.fetching, a.report.Born == 0
		served := !lost && a.report.Loaded >= wanted.version
		a.mu.Unlock()
		if wanted.version == 0 || (current == nil && lost) {
			continue
		}
		if served {
			a.settle(ctx, wanted)
			continue
		}
		if current == nil || current.target.version != wanted.version {
			a.begin(ctx, wanted)
			continue
		}
		a.step(ctx)
	}
}

// settle drops all but the manifest of the version that the engine serves. Its
// chunks are in the engine's staging area, and the process has little memory.
func (a *agent) settle(ctx context.Context, served target) {
	a.mu.Lock()
	fetched := a.fetching != nil
	a.fetching = nil
	a.mu.Unlock()
	if fetched {
		a.holding.release(served.version)
	}
	if _, known := a.holding.manifest(served.version); known {
		return
	}
	manifest, err := a.findManifest(ctx, served)
	if err != nil {
		a.log.WithError(err).WithField("version", served.version).Debug("cannot get the manifest yet; will retry")
		return
	}
	a.holding.add(manifest)
}

// begin starts the fetch of a version: it gets the manifest and the chunks that are
// staged already.
func (a *agent) begin(ctx context.Context, wanted target) {
	manifest, err := a.findManifest(ctx, wanted)
	if err != nil {
		a.log.WithError(err).WithField("version", wanted.version).Debug("cannot get the manifest yet; will retry")
		return
	}
	a.holding.add(manifest)
	if err := a.readStage(ctx, wanted, manifest); err != nil {
		a.log.WithError(err).Warning("cannot read the staged chunks")
		return
	}
	have, _ := a.holding.have(wanted.version)
	now := clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fetching = &distribution{target: wanted, plan: swarm.NewCascade(cascade, len(manifest.Digests), have), started: now, lastAt: now}
	a.log.WithFields(logrus.Fields{"version": wanted.version, "chunks": len(manifest.Digests), "held": have.Count()}).Info("fetching a version")
}

// findManifest requests the manifest from the entries, then from other agents, and
// from the origin if none of them has it.
func (a *agent) findManifest(ctx context.Context, wanted target) (platform.Manifest, error) {
	if manifest, found := a.holding.manifest(wanted.version); found {
		return manifest, nil
	}
	args := depot.VersionArgs{Model: wanted.model, Version: wanted.version}
	a.mu.Lock()
	sources, origin := a.sources(), a.table.Origin()
	a.mu.Unlock()
	asked := slices.Concat(
		member.Rank("manifest", sources.NearDepots), some(sources.NearPeers), member.Rank("manifest", sources.FarDepots), some(sources.FarPeers))
	for _, host := range asked {
		var manifest platform.Manifest
		err := a.call(ctx, host, depot.MethodManifest, callLimit, args, &manifest)
		if err == nil && manifest.Model == wanted.model && manifest.Version == wanted.version && len(manifest.Digests) > 0 {
			return manifest, nil
		}
	}
	return depot.OriginManifest(a.origin, origin, args)
}

// some returns a random sample of hosts.
func some(hosts []string) []string {
	const few = 2
	chosen := slices.Clone(hosts)
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:min(few, len(chosen))]
}

// sources lists the hosts from which chunks can be fetched. The caller holds mu.
func (a *agent) sources() swarm.Sources {
	var s swarm.Sources
	now := clock.Now()
	for _, host := range slices.Sorted(maps.Keys(a.entries)) {
		entry := a.entries[host]
		switch {
		case now.Sub(entry.at) > entryAge:
		case entry.availabilityZone == a.settings.AvailabilityZone:
			s.NearDepots = append(s.NearDepots, host)
		default:
			s.FarDepots = append(s.FarDepots, host)
		}
	}
	for _, one := range a.members {
		switch {
		case one.Name == a.settings.IP:
			s.Place = len(s.NearPeers)
		case one.AvailabilityZone == a.settings.AvailabilityZone:
			s.NearPeers = append(s.NearPeers, one.Name)
		default:
			s.FarPeers = append(s.FarPeers, one.Name)
		}
	}
	return s
}

// readStage adds the chunks that are in the engine's staging area.
func (a *agent) readStage(ctx context.Context, wanted target, manifest platform.Manifest) error {
	for chunk := range manifest.Digests {
		if _, held := a.holding.chunk(wanted.version, chunk); held {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, localLimit)
		data, err := a.engine.Staged(ctx, wanted.model, chunk)
		cancel()
		if err == nil {
			a.holding.put(wanted.version, chunk, data)
		} else if !failure.Is(err, failure.NotFound) {
			return err
		}
	}
	return nil
}

// step starts the fetches that the plan allows now.
func (a *agent) step(ctx context.Context) {
	now := clock.Now()
	a.mu.Lock()
	d := a.fetching
	if d == nil {
		a.mu.Unlock()
		return
	}
	d.plan.SetSources(a.sources())
	fetches := d.plan.Next(now)
	if d.plan.Complete() && !d.done {
		d.done = true
		since(a.metrics.spread, d.target.seen, now)
		a.log.WithFields(logrus.Fields{"version": d.target.version, "ms": now.Sub(d.started).Milliseconds()}).Info("all chunks have been fetched")
	}
	a.mu.Unlock()
	for _, fetch := range fetches {
		go a.fetch(ctx, d, fetch)
	}
}

func (d *distribution) args() depot.VersionArgs {
	return depot.VersionArgs{Model: d.target.model, Version: d.target.version}
}

// fetch fetches one chunk, verifies and stages it.
func (a *agent) fetch(ctx context.Context, d *distribution, fetch swarm.Fetch) {
	outcome := a.fetchChunk(ctx, d, fetch)
	a.mu.Lock()
	d.plan.Finish(fetch, outcome, clock.Now())
	if outcome == swarm.Corrupt {
		d.misfits++
	} else if outcome == swarm.Verified {
		d.misfits, d.lastAt = 0, clock.Now()
	}
	wrong := d.misfits >= maxMisfits
	if wrong && a.fetching == d {
		a.fetching = nil
		a.holding.forget(d.target.version)
	}
	a.mu.Unlock()
	if wrong {
		a.log.WithField("version", d.target.version).Warning("too many chunks do not match their digests; fetching the manifest again")
	}
	if outcome == swarm.Verified {
		a.step(ctx)
	}
}

func (a *agent) fetchChunk(ctx context.Context, d *distribution, fetch swarm.Fetch) (outcome swarm.Outcome) {
	size := 0
	defer func() {
		a.mu.Lock()
		sources := a.sources()
		a.mu.Unlock()
		a.metrics.fetched(sources.Kind(fetch.Source), outcome, size)
	}()
	ctx, cancel := context.WithTimeout(ctx, chunkLimit)
	defer cancel()
	data, outcome := a.receive(ctx, d, fetch)
	size = len(data)
	if data == nil {
		return outcome
	}
	if !a.holding.put(d.target.version, fetch.Chunk, data) {
		a.log.WithFields(logrus.Fields{"version": d.target.version, "chunk": fetch.Chunk, "source": fetch.Source}).Warning("a chunk does not match its digest")
		return swarm.Corrupt
	}
	a.stage(ctx, d.target, fetch.Chunk, data)
	return swarm.Verified
}

// stage copies a chunk to the engine's staging area, unless another version has
// become the target. A chunk that fails to be staged here is staged by verifyStage
// before the engine loads.
func (a *agent) stage(ctx context.Context, wanted target, chunk int, data []byte) {
	a.stages.begin(wanted.version)
	defer func() { a.stages.end(wanted.version, clock.Now()) }()
	if a.currentTarget().version != wanted.version {
		return
	}
	if err := a.engine.Stage(ctx, wanted.model, chunk, data); err != nil {
		a.log.WithError(err).WithField("chunk", chunk).Debug("cannot stage a chunk")
	}
}

func (a *agent) receive(ctx context.Context, d *distribution, fetch swarm.Fetch) ([]byte, swarm.Outcome) {
	if fetch.Source == swarm.Origin {
		a.mu.Lock()
		origin := a.table.Origin()
		a.mu.Unlock()
		data, err := a.origin.Chunk(ctx, origin, d.target.model, d.target.version, fetch.Chunk)
		if err != nil {
			a.log.WithError(err).WithField("chunk", fetch.Chunk).Info("cannot fetch a chunk from the origin")
			return nil, swarm.Failed
		}
		return data, swarm.Verified
	}
	var reply depot.ChunkReply
	err := a.call(ctx, fetch.Source, depot.MethodChunk, chunkLimit, depot.ChunkArgs{VersionArgs: d.args(), Chunk: fetch.Chunk}, &reply)
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
