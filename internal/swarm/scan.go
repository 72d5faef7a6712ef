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
			fetches = append(fetches, p.startFetch(chunk, name))
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
		case name == Origin || p.inBackoff(name, now):
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
func (p *Plan) findSource(chunk int, usable holders, now time.Time) (string, bool) {
	late := p.lateness(chunk, now)
	waited := max(late, p.sinceProgress(now))
	parent := p.parents[chunk]
	if p.positions[chunk] > 0 && waited < p.config.AlternateHolderDelay && !p.inBackoff(parent, now) {
		return "", false
	}
	if name, found := p.randomHolder(chunk, usable.zone); found {
		return name, true
	}
	if parent == Origin && (p.originGrants.Has(chunk) || late >= p.config.AlternateHolderDelay) {
		return Origin, !p.inBackoff(Origin, now)
	}
	zoneWait, originWait := p.takeoverDelays(chunk, now)
	if waited < zoneWait {
		return "", false
	}
	if name, found := p.remoteHolder(chunk, parent, usable, waited, now); found {
		return name, true
	}
	if p.inBackoff(Origin, now) || waited < originWait {
		return "", false
	}
	acting := p.positions[chunk] == 0 || originWait == p.config.TakeoverDelay
	return Origin, acting || p.mayExceedAllowance(now)
}

// remoteHolder returns a holder of chunk in another availability zone, once the
// parent is in backoff or has not provided the chunk within the takeover delay.
// Holders in this region come first.
func (p *Plan) remoteHolder(chunk int, parent string, usable holders, waited time.Duration, now time.Time) (string, bool) {
	if parent == Origin || p.inBackoff(parent, now) || waited >= p.config.TakeoverDelay {
		if name, found := p.randomHolder(chunk, usable.region); found {
			return name, true
		}
		return p.randomHolder(chunk, usable.far)
	}
	return "", false
}

// takeoverDelays returns how long this instance has to be without progress before
// it fetches chunk from another zone, and before it fetches it from the origin
// for the fleet. Each delay is one takeover delay per preceding instance that
// is not in backoff; the delay for the origin also counts the roots of the
// preceding zones and is one takeover delay longer.
func (p *Plan) takeoverDelays(chunk int, now time.Time) (zone, origin time.Duration) {
	zones, position := p.layout.predecessors(p.config.Self, chunk)
	ownZone := p.layout.locations[p.config.Self].zone
	before := 0
	for q := range min(position, maxPredecessors) {
		if !p.inBackoff(p.layout.memberAt(ownZone, q, chunk), now) {
			before++
		}
	}
	zone = time.Duration(before) * p.config.TakeoverDelay
	order := p.layout.zoneOrder(chunk)
	for _, z := range order[:min(zones, maxPredecessors)] {
		if !p.inBackoff(p.layout.memberAt(z, 0, chunk), now) {
			before++
		}
	}
	return zone, time.Duration(min(before, maxPredecessors)+1) * p.config.TakeoverDelay
}

// mayExceedAllowance reports whether this instance may fetch a chunk from the
// origin for which another instance is responsible: within its allowance of
// extra copies, or after a long time without any progress.
func (p *Plan) mayExceedAllowance(now time.Time) bool {
	if p.extraFetches > 0 {
		p.extraFetches--
		return true
	}
	return p.sinceProgress(now) >= lastResortFactor*p.config.TakeoverDelay
}

// randomHolder returns a randomly chosen holder of chunk among names.
func (p *Plan) randomHolder(chunk int, names []string) (string, bool) {
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
