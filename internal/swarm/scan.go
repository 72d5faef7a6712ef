package swarm

import (
	"slices"
	"time"
)

// scan looks for sources of missing chunks that their parents have not offered.
// It considers this instance's own origin fetches, other holders, and origin
// fetches taken over from failed instances.
func (p *Plan) scan(now time.Time) []Fetch {
	var fetches []Fetch
	holders := p.holders(now)
	first := p.random.IntN(p.chunks)
	for i := range p.chunks {
		if len(p.inFlight) >= p.config.MaxInFlight {
			break
		}
		chunk := (first + i) % p.chunks
		if p.have.Has(chunk) {
			continue
		}
		if _, fetching := p.inFlight[chunk]; fetching {
			continue
		}
		if name, found := p.findSource(chunk, holders, now); found {
			fetches = append(fetches, p.start(chunk, name))
		}
	}
	return fetches
}

// holders lists the sources that are not in backoff: those in this availability
// zone, in other zones of this region, and in other regions.
type holders struct {
	zone, region, far []string
}

func (p *Plan) holders(now time.Time) holders {
	var h holders
	for _, name := range sortedKeys(p.sources) {
		switch {
		case name == Origin || p.avoided(name, now):
		case p.layout.SameZone(p.config.Self, name):
			h.zone = append(h.zone, name)
		case p.layout.SameRegion(p.config.Self, name):
			h.region = append(h.region, name)
		default:
			h.far = append(h.far, name)
		}
	}
	return h
}

// findSource returns the source from which to fetch chunk now, if there is one.
func (p *Plan) findSource(chunk int, known holders, now time.Time) (string, bool) {
	late := p.late(chunk, now)
	waited := max(late, p.quiet(now))
	parent := p.parents[chunk]
	if p.positions[chunk] > 0 && waited < p.config.StealAfter && !p.avoided(parent, now) {
		return "", false
	}
	if name, found := p.holder(chunk, known.zone); found {
		return name, true
	}
	if parent == Origin && (p.turns.Has(chunk) || late >= p.config.StealAfter) {
		return Origin, !p.avoided(Origin, now)
	}
	zoneWait, originWait := p.waits(chunk, now)
	if waited < zoneWait {
		return "", false
	}
	if name, found := p.outside(chunk, parent, known, waited, now); found {
		return name, true
	}
	if p.avoided(Origin, now) || waited < originWait {
		return "", false
	}
	acting := p.positions[chunk] == 0 || originWait == p.config.Patience
	return Origin, acting || p.mayExceed(now)
}

// outside returns a holder of chunk in another availability zone, once the parent
// is in backoff or has not provided the chunk for Patience. Holders in this
// region come first.
func (p *Plan) outside(chunk int, parent string, known holders, quiet time.Duration, now time.Time) (string, bool) {
	if parent == Origin || p.avoided(parent, now) || quiet >= p.config.Patience {
		if name, found := p.holder(chunk, known.region); found {
			return name, true
		}
		return p.holder(chunk, known.far)
	}
	return "", false
}

// waits returns how long this instance has to be without progress before it
// fetches chunk from another zone, and before it fetches it from the origin.
// Both delays are one Patience for each preceding instance that is not in
// backoff; the delay for the origin is one Patience longer.
func (p *Plan) waits(chunk int, now time.Time) (zone, origin time.Duration) {
	zones, position := p.layout.turn(p.config.Self, chunk)
	own := p.layout.place[p.config.Self].zone
	before := 0
	for q := range min(position, maxTurns) {
		if !p.avoided(p.layout.at(own, q, chunk), now) {
			before++
		}
	}
	zone = time.Duration(before) * p.config.Patience
	order := p.layout.zoneOrder(chunk)
	for _, z := range order[:min(zones, maxTurns)] {
		if !p.avoided(p.layout.at(z, 0, chunk), now) {
			before++
		}
	}
	return zone, time.Duration(min(before, maxTurns)+1) * p.config.Patience
}

// mayExceed reports whether this instance may fetch a chunk from the origin for
// which another instance is responsible: within its allowance of extra copies,
// or after a long time without any progress.
func (p *Plan) mayExceed(now time.Time) bool {
	if p.extra > 0 {
		p.extra--
		return true
	}
	return p.quiet(now) >= lastResort*p.config.Patience
}

// holder returns a randomly chosen holder of chunk among names.
func (p *Plan) holder(chunk int, names []string) (string, bool) {
	if len(names) == 0 {
		return "", false
	}
	first := p.random.IntN(len(names))
	for i := range names {
		name := names[(first+i)%len(names)]
		if p.sources[name].have.Has(chunk) {
			return name, true
		}
	}
	return "", false
}

func sortedKeys[V any](entries map[string]V) []string {
	names := make([]string, 0, len(entries))
	for name := range entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
