package swarm

import (
	"time"
)

// Next returns the actions to take now and marks the returned fetches as in
// progress.
func (p *Plan) Next(now time.Time) Step {
	step := Step{Asks: p.nextAsks(now), Offers: p.takeOffers(now)}
	if p.Complete() || !p.initialAsksDone(now) {
		return step
	}
	step.Fetches = append(p.originFetches(now), p.readyFetches(now)...)
	if len(p.inFlight) < p.config.MaxInFlight && !now.Before(p.nextScan) {
		p.nextScan = now.Add(p.config.AlternateHolderDelay)
		step.Fetches = append(step.Fetches, p.scan(now)...)
	}
	return step
}

// takeOffers removes and returns the offers that are due.
func (p *Plan) takeOffers(now time.Time) []Offer {
	var offers []Offer
	for _, name := range sortedKeys(p.offers) {
		if now.Before(p.offerRetryAt[name]) {
			continue
		}
		offers = append(offers, *p.offers[name])
		delete(p.offers, name)
	}
	return offers
}

// initialAsksDone reports whether the initial questions are answered or have
// timed out.
func (p *Plan) initialAsksDone(now time.Time) bool {
	if p.initialAsks == 0 && len(p.pendingAsks) == 0 {
		p.started = now.Add(-p.config.InitialAskTimeout)
	}
	return now.Sub(p.started) >= p.config.InitialAskTimeout
}

func (p *Plan) startFetch(chunk int, source string) Fetch {
	p.inFlight[chunk] = source
	return Fetch{Chunk: chunk, Source: source}
}

// readyFetches starts fetches of ready chunks whose parents are not in backoff.
// Chunks for which this instance is closest to the root come first, since the
// most other instances wait for them.
func (p *Plan) readyFetches(now time.Time) []Fetch {
	var fetches []Fetch
	for len(p.inFlight) < p.config.MaxInFlight {
		best, bestPosition := -1, 0
		for i, chunk := range p.ready {
			position := p.positions[chunk]
			if best >= 0 && position >= bestPosition {
				continue
			}
			if p.inBackoff(p.parents[chunk], now) {
				continue
			}
			best, bestPosition = i, position
		}
		if best < 0 {
			return fetches
		}
		chunk := p.unqueue(best)
		if _, fetching := p.inFlight[chunk]; !fetching && !p.have.Has(chunk) {
			fetches = append(fetches, p.startFetch(chunk, p.parents[chunk]))
		}
	}
	return fetches
}

// originFetches starts fetches of the chunks that this instance has to fetch from
// the origin. They come before all others, since the whole fleet waits for them.
// A holder in this zone is preferred to the origin.
func (p *Plan) originFetches(now time.Time) []Fetch {
	var fetches []Fetch
	if len(p.originQueue) == 0 || p.inBackoff(Origin, now) {
		return nil
	}
	usable := p.holders(now)
	for len(p.originQueue) > 0 && len(p.inFlight) < p.config.MaxInFlight {
		chunk := p.originQueue[0]
		p.originQueue = p.originQueue[1:]
		if _, fetching := p.inFlight[chunk]; fetching || p.have.Has(chunk) {
			continue
		}
		name, found := p.randomHolder(chunk, usable.zone)
		if !found {
			name = Origin
		}
		fetches = append(fetches, p.startFetch(chunk, name))
	}
	return fetches
}

func (p *Plan) unqueue(i int) int {
	chunk := p.ready[i]
	last := len(p.ready) - 1
	p.ready[i] = p.ready[last]
	p.ready = p.ready[:last]
	p.queued.Clear(chunk)
	return chunk
}

// nextAsks returns the members to ask now: several at the start, then one at a
// time.
func (p *Plan) nextAsks(now time.Time) []string {
	if p.Complete() || now.Before(p.nextAsk) {
		return nil
	}
	var names []string
	for range max(p.initialAsks, 1) {
		if name, found := p.pickAskTarget(now); found && !p.pendingAsks[name] {
			p.pendingAsks[name] = true
			names = append(names, name)
		}
	}
	p.initialAsks = 0
	p.nextAsk = now.Add(p.jitter(p.config.AskInterval))
	if p.hasLateChunk(now) {
		p.nextAsk = now.Add(p.jitter(p.config.AskInterval / lateAskFactor))
	}
	return names
}

// pickAskTarget returns the member to ask next: the result of missingChunkParent,
// or a random member of the zone, or any member if the zone has no other. It
// reports false if that member is this instance or in backoff.
func (p *Plan) pickAskTarget(now time.Time) (string, bool) {
	if parent, found := p.missingChunkParent(now); found && p.initialAsks == 0 {
		return parent, true
	}
	names := p.layout.Zone(p.config.Self)
	if len(names) < 2 {
		names = p.layout.Names()
	}
	name := names[p.random.IntN(len(names))]
	return name, name != p.config.Self && !p.inBackoff(name, now)
}

// missingChunkParent returns, with a probability of one half, the parent of the
// first missing chunk that is not queued or being fetched. If that parent has
// failed and the chunk is late, it returns a random zone root for the chunk.
func (p *Plan) missingChunkParent(now time.Time) (string, bool) {
	if p.random.IntN(2) == 0 {
		return "", false
	}
	for chunk := range p.chunks {
		parent := p.parents[chunk]
		if _, fetching := p.inFlight[chunk]; fetching || p.have.Has(chunk) || p.queued.Has(chunk) {
			continue
		}
		if parent != Origin && !p.inBackoff(parent, now) {
			return parent, true
		}
		if roots := p.layout.zoneRoots(chunk); p.lateness(chunk, now) > 0 || p.sinceProgress(now) > p.config.TakeoverDelay {
			root := roots[p.random.IntN(len(roots))]
			return root, root != p.config.Self && !p.inBackoff(root, now)
		}
	}
	return "", false
}
