package loader

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/member"
	"plantainrelay/internal/swarm"
	"plantainrelay/internal/weights"
	"plantainrelay/platform"
)

const (
	// manifestPatience is how long an agent waits for another one's manifest
	// before it asks the origin itself.
	manifestPatience = 900 * time.Millisecond
	// maxMisfits is the number of chunks in a row with a wrong digest after which
	// the manifest itself is fetched again.
	maxMisfits = 6
)

// swarmConfig holds the times of the distribution: a version has to be
// everywhere in a few seconds, and a chunk takes about 35 ms of a link.
func (a *agent) swarmConfig() swarm.Config {
	seed := fnv.New64a()
	// Writing to a hash does not fail.
	_, _ = seed.Write([]byte(a.settings.IP))
	return swarm.Config{
		Self: a.settings.IP, MaxInFlight: maxInFlight, Patience: 500 * time.Millisecond, StealAfter: 150 * time.Millisecond,
		AskInterval: 300 * time.Millisecond, JoinWait: 250 * time.Millisecond, Penalty: 250 * time.Millisecond, ExtraCopies: 0.3,
		Seed: seed.Sum64(),
	}
}

// distribution is the fetch of one version.
type distribution struct {
	target  target
	plan    *swarm.Plan
	members int
	misfits int
	started time.Time
	// lastAt is when the last chunk arrived.
	lastAt time.Time
	done   bool
}

// distributes fetches the target's chunks whenever some are missing.
func (a *agent) distributes(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.mu.Lock()
		a.chooseTarget(clock.Now())
		wanted, current, lost := a.target, a.fetching, a.report.Born == 0
		a.mu.Unlock()
		if wanted.version == 0 || (current == nil && lost) {
			continue
		}
		if current == nil || current.target.version != wanted.version {
			a.begin(ctx, wanted)
			continue
		}
		a.step(ctx)
	}
}

// begin gets the manifest of a version and what is staged of it already.
func (a *agent) begin(ctx context.Context, wanted target) {
	manifest, err := a.findManifest(ctx, wanted)
	if err != nil {
		a.log.WithError(err).WithField("version", wanted.version).Debug("the manifest is not to be had yet")
		return
	}
	a.holding.add(manifest)
	if err := a.readStage(ctx, wanted, manifest); err != nil {
		a.log.WithError(err).Warning("the staged chunks could not be read")
		return
	}
	have, _ := a.holding.have(wanted.version)
	now := clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	plan := swarm.New(a.swarmConfig(), swarm.NewLayout(a.members), len(manifest.Digests), have, now)
	a.fetching = &distribution{target: wanted, plan: plan, members: len(a.members), started: now, lastAt: now}
	a.log.WithFields(logrus.Fields{"version": wanted.version, "chunks": len(manifest.Digests), "held": have.Count()}).Info("fetching a version")
}

// findManifest asks other agents, and the origin when it is this agent's turn or
// nobody has the manifest.
func (a *agent) findManifest(ctx context.Context, wanted target) (platform.Manifest, error) {
	if manifest, found := a.holding.manifest(wanted.version); found {
		return manifest, nil
	}
	a.mu.Lock()
	var zone []string
	for _, one := range a.members {
		if one.AvailabilityZone == a.settings.AvailabilityZone {
			zone = append(zone, one.Name)
		}
	}
	origin := a.table.Origin()
	a.mu.Unlock()
	ranked := member.Rank("manifest", zone)
	if ranked[0] == a.settings.IP {
		if manifest, err := a.originManifest(ctx, origin, wanted); err == nil {
			return manifest, nil
		}
	}
	for _, host := range []string{ranked[0], ranked[rand.IntN(len(ranked))]} {
		if host == a.settings.IP {
			continue
		}
		var manifest platform.Manifest
		err := a.call(ctx, host, methodManifest, callLimit, VersionArgs{Model: wanted.model, Version: wanted.version}, &manifest)
		if err == nil && manifest.Model == wanted.model && manifest.Version == wanted.version && len(manifest.Digests) > 0 {
			return manifest, nil
		}
	}
	if clock.Now().Sub(wanted.seen) < manifestPatience {
		return platform.Manifest{}, failure.New(failure.NotFound, "wait", "no neighbor has the manifest yet")
	}
	return a.originManifest(ctx, origin, wanted)
}

// originManifest fetches the manifest twice, since the origin may garble it and
// nothing else tells.
func (a *agent) originManifest(ctx context.Context, origin string, wanted target) (platform.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, chunkLimit)
	defer cancel()
	first, err := a.origin.Manifest(ctx, origin, wanted.model, wanted.version)
	if err != nil {
		return first, err
	}
	second, err := a.origin.Manifest(ctx, origin, wanted.model, wanted.version)
	if err != nil {
		return second, err
	}
	if !slices.Equal(first.Digests, second.Digests) {
		return first, failure.New(failure.Invalid, "ask again", "the origin told two manifests of %s %d", wanted.model, wanted.version)
	}
	return first, nil
}

// readStage takes over what is staged beside this agent.
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

// step does what the plan says now.
func (a *agent) step(ctx context.Context) {
	now := clock.Now()
	a.mu.Lock()
	d := a.fetching
	if d.members != len(a.members) {
		d.plan.SetLayout(swarm.NewLayout(a.members))
		d.members = len(a.members)
	}
	next := d.plan.Next(now)
	if d.plan.Complete() && !d.done {
		d.done = true
		a.log.WithFields(logrus.Fields{"version": d.target.version, "ms": now.Sub(d.started).Milliseconds()}).Info("all chunks are held")
	}
	a.mu.Unlock()
	for _, fetch := range next.Fetches {
		go a.fetch(ctx, d, fetch)
	}
	for _, offer := range next.Offers {
		go a.offer(ctx, d, offer)
	}
	for _, host := range next.Asks {
		go a.ask(ctx, d, host)
	}
}

func (d *distribution) args() VersionArgs {
	return VersionArgs{Model: d.target.model, Version: d.target.version}
}

// fetch gets one chunk, verifies and stages it.
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
		a.log.WithField("version", d.target.version).Warning("too many chunks have other digests; the manifest is fetched again")
	}
	if outcome == swarm.Verified {
		a.step(ctx)
	}
}

func (a *agent) fetchChunk(ctx context.Context, d *distribution, fetch swarm.Fetch) swarm.Outcome {
	ctx, cancel := context.WithTimeout(ctx, chunkLimit)
	defer cancel()
	data, outcome := a.receive(ctx, d, fetch)
	if data == nil {
		return outcome
	}
	if !a.holding.put(d.target.version, fetch.Chunk, data) {
		a.log.WithFields(logrus.Fields{"version": d.target.version, "chunk": fetch.Chunk, "source": fetch.Source}).Warning("a chunk has another digest")
		return swarm.Corrupt
	}
	if err := a.engine.Stage(ctx, d.target.model, fetch.Chunk, data); err != nil {
		// What is not staged now is put right before the engine loads.
		a.log.WithError(err).WithField("chunk", fetch.Chunk).Debug("a chunk could not be staged")
	}
	return swarm.Verified
}

func (a *agent) receive(ctx context.Context, d *distribution, fetch swarm.Fetch) ([]byte, swarm.Outcome) {
	if fetch.Source == swarm.Origin {
		a.mu.Lock()
		origin := a.table.Origin()
		a.mu.Unlock()
		data, err := a.origin.Chunk(ctx, origin, d.target.model, d.target.version, fetch.Chunk)
		if err != nil {
			a.log.WithError(err).WithField("chunk", fetch.Chunk).Info("the origin did not give a chunk")
			return nil, swarm.Failed
		}
		return data, swarm.Verified
	}
	var reply ChunkReply
	err := a.call(ctx, fetch.Source, methodChunk, chunkLimit, ChunkArgs{VersionArgs: d.args(), Chunk: fetch.Chunk}, &reply)
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

// offer tells another agent of chunks held here.
func (a *agent) offer(ctx context.Context, d *distribution, offer swarm.Offer) {
	err := a.call(ctx, offer.To, methodOffer, callLimit, OfferArgs{VersionArgs: d.args(), From: a.settings.IP, Chunks: offer.Chunks, Turns: offer.Turns}, &Empty{})
	if err == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	d.plan.OfferFailed(offer, failure.Is(err, failure.Refused), clock.Now())
}

// ask asks another agent for what it holds.
func (a *agent) ask(ctx context.Context, d *distribution, host string) {
	var reply HaveReply
	err := a.call(ctx, host, methodHave, callLimit, d.args(), &reply)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		d.plan.NotTold(host, clock.Now())
		return
	}
	d.plan.Told(host, weights.Bitmap(reply.Have), clock.Now())
}

// offered takes in another agent's offer. An offer of a version that this agent
// has not begun with is refused, and made again.
func (a *agent) offered(args OfferArgs) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fetching == nil || a.fetching.target.version != args.Version || a.fetching.target.model != args.Model {
		return failure.New(failure.NotFound, "offer it again later", "%s %d is not fetched here", args.Model, args.Version)
	}
	a.fetching.plan.Offered(args.From, args.Chunks, args.Turns, clock.Now())
	return nil
}
