package swarm

import (
	"time"
)

// FinishFetch records the outcome of a fetch.
func (p *Plan) FinishFetch(fetch Fetch, outcome Outcome, now time.Time) {
	delete(p.inFlight, fetch.Chunk)
	if outcome == Verified {
		p.finishVerified(fetch, now)
		return
	}
	p.nextScan = now
	switch outcome {
	case Corrupt:
		p.corrupt++
		p.backOff(fetch.Source, corruptBackoffFactor, now)
	case Failed:
		p.backOff(fetch.Source, 1, now)
	case Busy:
		p.source(fetch.Source).backoffUntil = now.Add(p.jitter(p.config.InitialBackoff / 4))
	case Absent:
		if fetch.Source == Origin {
			p.backOff(Origin, 1, now)
			return
		}
		p.source(fetch.Source).have.Clear(fetch.Chunk)
	}
}

// finishVerified records a verified chunk, offers it to others, and grants the
// next origin fetch if this instance held the grant for the chunk.
func (p *Plan) finishVerified(fetch Fetch, now time.Time) {
	p.lastProgress = now
	state := p.source(fetch.Source)
	state.failures, state.backoffUntil = 0, time.Time{}
	if p.have.Has(fetch.Chunk) {
		return
	}
	p.have.Set(fetch.Chunk)
	p.held++
	p.reachWindow(fetch.Chunk, now)
	p.offerToChildren(fetch)
	if p.originGrants.Has(fetch.Chunk) {
		p.originGrants.Clear(fetch.Chunk)
		p.grantNext(fetch.Chunk, now)
	}
}

// reachWindow records that the distribution has reached the window of chunk.
func (p *Plan) reachWindow(chunk int, now time.Time) {
	for len(p.windowReachedAt) <= chunk/originWindow {
		p.windowReachedAt = append(p.windowReachedAt, now)
	}
}

// sinceProgress returns the time since the last progress.
func (p *Plan) sinceProgress(now time.Time) time.Duration { return now.Sub(p.lastProgress) }

// hasLateChunk reports whether the first missing chunk is late or progress has
// stopped.
func (p *Plan) hasLateChunk(now time.Time) bool {
	for chunk := range p.chunks {
		if !p.have.Has(chunk) {
			return p.lateness(chunk, now) > p.config.AlternateHolderDelay || p.sinceProgress(now) > p.config.AlternateHolderDelay
		}
	}
	return false
}

// lateness returns how long chunk has been overdue compared with later chunks,
// or 0.
func (p *Plan) lateness(chunk int, now time.Time) time.Duration {
	distance := max(originWindow, min(maxLateDistance, p.chunks/8))
	if window := (chunk + distance) / originWindow; window < len(p.windowReachedAt) {
		return now.Sub(p.windowReachedAt[window])
	}
	return 0
}

// offerToChildren offers a received chunk to this instance's children. If this
// instance fetched the chunk from the origin in place of its root, it also
// offers it to the roots of all zones.
func (p *Plan) offerToChildren(fetch Fetch) {
	names := p.layout.Children(p.config.Self, fetch.Chunk)
	if fetch.Source == Origin && p.parents[fetch.Chunk] != Origin {
		names = append(names, p.layout.zoneRoots(fetch.Chunk)...)
	}
	for _, name := range names {
		if name != p.config.Self {
			offer := p.offer(name)
			offer.Chunks = append(offer.Chunks, fetch.Chunk)
		}
	}
}

// backOff starts or extends the backoff of a source. It doubles with each
// failure, up to a limit.
func (p *Plan) backOff(name string, factor int, now time.Time) {
	state := p.source(name)
	growth := min(factor<<min(state.failures, 16), maxBackoffFactor)
	state.failures++
	state.answered = false
	state.backoffUntil = now.Add(p.jitter(p.config.InitialBackoff * time.Duration(growth)))
}

// jitter randomizes wait by up to 50% in either direction.
func (p *Plan) jitter(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (0.5 + p.random.Float64()))
}

func (p *Plan) inBackoff(name string, now time.Time) bool {
	known := p.sources[name]
	return known != nil && now.Before(known.backoffUntil)
}
