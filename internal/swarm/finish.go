package swarm

import (
	"time"
)

// Finish records the outcome of a fetch.
func (p *Plan) Finish(fetch Fetch, outcome Outcome, now time.Time) {
	delete(p.inFlight, fetch.Chunk)
	if outcome == Verified {
		p.verified(fetch, now)
		return
	}
	p.nextScan = now
	switch outcome {
	case Corrupt:
		p.corrupt++
		p.penalize(fetch.Source, corruptFactor, now)
	case Failed:
		p.penalize(fetch.Source, 1, now)
	case Busy:
		p.source(fetch.Source).avoid = now.Add(p.jitter(p.config.Penalty / 4))
	case Absent:
		if fetch.Source == Origin {
			p.penalize(Origin, 1, now)
			return
		}
		p.source(fetch.Source).have.Clear(fetch.Chunk)
	}
}

// verified records a verified chunk, offers it to others, and grants the next
// origin fetch if this instance fetched the chunk under a grant.
func (p *Plan) verified(fetch Fetch, now time.Time) {
	p.progress = now
	known := p.source(fetch.Source)
	known.failures, known.avoid = 0, time.Time{}
	if p.have.Has(fetch.Chunk) {
		return
	}
	p.have.Set(fetch.Chunk)
	p.held++
	p.pass(fetch.Chunk, now)
	p.offerOn(fetch)
	if p.turns.Has(fetch.Chunk) {
		p.turns.Clear(fetch.Chunk)
		p.passTurn(fetch.Chunk, now)
	}
}

// pass records that the distribution has reached the window of chunk.
func (p *Plan) pass(chunk int, now time.Time) {
	for len(p.passed) <= chunk/originWindow {
		p.passed = append(p.passed, now)
	}
}

// quiet returns the time since the last progress.
func (p *Plan) quiet(now time.Time) time.Duration { return now.Sub(p.progress) }

// anyLate reports whether the first missing chunk is late or progress has
// stopped.
func (p *Plan) anyLate(now time.Time) bool {
	for chunk := range p.chunks {
		if !p.have.Has(chunk) {
			return p.late(chunk, now) > p.config.StealAfter || p.quiet(now) > p.config.StealAfter
		}
	}
	return false
}

// late returns how long chunk has been overdue compared with later chunks, or 0.
func (p *Plan) late(chunk int, now time.Time) time.Duration {
	overdue := max(originWindow, min(maxOverdue, p.chunks/8))
	if window := (chunk + overdue) / originWindow; window < len(p.passed) {
		return now.Sub(p.passed[window])
	}
	return 0
}

// offerOn offers a received chunk to this instance's children. If this instance
// fetched the chunk from the origin in place of its root, it also offers it to
// the roots of all zones.
func (p *Plan) offerOn(fetch Fetch) {
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

// penalize starts or extends the backoff of a source. It doubles with each
// failure, up to a limit.
func (p *Plan) penalize(name string, factor int, now time.Time) {
	known := p.source(name)
	growth := min(factor<<min(known.failures, 16), maxPenaltyFactor)
	known.failures++
	known.avoid = now.Add(p.jitter(p.config.Penalty * time.Duration(growth)))
}

// jitter randomizes wait by up to 50% in either direction.
func (p *Plan) jitter(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (0.5 + p.random.Float64()))
}

func (p *Plan) avoided(name string, now time.Time) bool {
	known := p.sources[name]
	return known != nil && now.Before(known.avoid)
}
