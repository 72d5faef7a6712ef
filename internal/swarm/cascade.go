package swarm

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"plantainrelay/internal/member"
	"plantainrelay/internal/weights"
)

// TieredConfig holds the limits for fetches from tiered sources.
type TieredConfig struct {
	// MaxInFlight limits the number of concurrent fetches.
	MaxInFlight int
	// InitialBackoff is the backoff of a source after its first failure. It doubles
	// with each consecutive failure.
	InitialBackoff time.Duration
	// AbsentRetryDelay is the delay before a source that did not hold a chunk is
	// asked for that chunk again.
	AbsentRetryDelay time.Duration
}

// Sources lists the sources of chunks by tier.
type Sources struct {
	// NearDepots are the depots of this instance's availability zone, FarDepots
	// the depots of other zones. A depot caches chunks and fetches missing ones
	// on demand.
	NearDepots, FarDepots []string
	// ZoneIndex is this instance's index among the instances of its availability
	// zone. It distributes the instances over the near depots.
	ZoneIndex int
	// NearPeers and FarPeers are the instances, in this availability zone and in
	// other zones, that receive the same weights.
	NearPeers, FarPeers []string
}

// The tiers of sources, in the order in which they are asked.
const (
	nearDepots = iota
	nearPeers
	farDepots
	farPeers
	tiers
)

// peersPerRound limits how many peers of a tier are asked for a chunk before the
// depots are asked again.
const peersPerRound = 2

// inTier returns the sources of one tier in the order in which they are asked
// for chunk. For a tier of peers it returns a small subset that changes with
// round.
func (s *Sources) inTier(tier, chunk, round int) []string {
	key := strconv.Itoa(chunk)
	switch tier {
	case nearDepots:
		return s.rotatedNearDepots()
	case farDepots:
		return member.Rank(key, s.FarDepots)
	case nearPeers:
		return s.peerSubset(key, round, s.NearPeers)
	}
	return s.peerSubset(key, round, s.FarPeers)
}

// peerSubset returns the peers to ask for a chunk, at most peersPerRound of them.
func (s *Sources) peerSubset(key string, round int, peers []string) []string {
	ranked := member.Rank(key+"/"+strconv.Itoa(s.ZoneIndex)+"/"+strconv.Itoa(round/peersPerRound), peers)
	return ranked[:min(peersPerRound, len(ranked))]
}

// Kind returns the tier of a source, as used in logs and metrics.
func (s *Sources) Kind(name string) string {
	switch {
	case name == Origin:
		return "origin"
	case slices.Contains(s.NearDepots, name):
		return "near_depot"
	case slices.Contains(s.FarDepots, name):
		return "far_depot"
	case slices.Contains(s.NearPeers, name):
		return "near_peer"
	}
	return "far_peer"
}

func (s *Sources) isDepot(name string) bool {
	return slices.Contains(s.NearDepots, name) || slices.Contains(s.FarDepots, name)
}

// rotatedNearDepots returns the near depots in a rotated order, starting with
// the depot assigned to this instance.
func (s *Sources) rotatedNearDepots() []string {
	if len(s.NearDepots) == 0 {
		return nil
	}
	sorted := slices.Sorted(slices.Values(s.NearDepots))
	own := s.ZoneIndex % len(sorted)
	return slices.Concat(sorted[own:], sorted[:own])
}

// TieredPlan selects, for one instance and one version, the next chunks to fetch
// and their sources. It tries near depots, near peers, far depots and far peers,
// and the origin when no depot is reachable. All instances request the chunks
// in the same order, which is the order in which the depots fetch them. Each
// instance asks its assigned depot first, so that no depot has to serve a whole
// zone. It is not safe for concurrent use.
type TieredPlan struct {
	config      TieredConfig
	chunks      int
	have        weights.Bitmap
	held        int
	inFlight    map[int]bool
	sources     Sources
	backoffs    map[string]backoff
	absentUntil map[Fetch]time.Time
	// depotsAbsentUntil holds the time before which no depot is asked for a chunk
	// that one depot could not provide. Other depots could not provide it either,
	// because depots fetch missing chunks from each other.
	depotsAbsentUntil map[int]time.Time
	// absentAnswers counts the requests for a chunk that were answered with
	// Absent, so that different peers are asked in the next round.
	absentAnswers map[int]int
	// cursor is the chunk after the last requested one, so that an unavailable
	// chunk does not block the others.
	cursor int
}

type backoff struct {
	until    time.Time
	failures int
}

// NewTieredPlan returns a plan for a version with the given number of chunks. The
// chunks set in have are already held.
func NewTieredPlan(config TieredConfig, chunks int, have weights.Bitmap) *TieredPlan {
	p := &TieredPlan{
		config: config, chunks: chunks, have: weights.NewBitmap(chunks),
		inFlight: map[int]bool{}, backoffs: map[string]backoff{}, absentUntil: map[Fetch]time.Time{},
		depotsAbsentUntil: map[int]time.Time{}, absentAnswers: map[int]int{},
	}
	for chunk := range chunks {
		if have.Has(chunk) {
			p.have.Set(chunk)
		}
	}
	p.held = p.have.Count()
	return p
}

// SetSources replaces the sources. Recorded failures and absent chunks are kept.
func (p *TieredPlan) SetSources(sources Sources) { p.sources = sources }

// Held returns the number of chunks held.
func (p *TieredPlan) Held() int { return p.held }

// Complete reports whether every chunk is held.
func (p *TieredPlan) Complete() bool { return p.held == p.chunks }

// Next returns the fetches to start now.
func (p *TieredPlan) Next(now time.Time) []Fetch {
	var fetches []Fetch
	from := p.cursor
	for step := 0; step < p.chunks && len(p.inFlight) < p.config.MaxInFlight; step++ {
		chunk := (from + step) % p.chunks
		if p.have.Has(chunk) || p.inFlight[chunk] {
			continue
		}
		if source, found := p.pickSource(chunk, now); found {
			p.inFlight[chunk] = true
			p.cursor = chunk + 1
			fetches = append(fetches, Fetch{Chunk: chunk, Source: source})
		}
	}
	return fetches
}

// pickSource returns the source to ask for a chunk, if one is available now.
func (p *TieredPlan) pickSource(chunk int, now time.Time) (string, bool) {
	depotReachable := false
	for tier := range tiers {
		depots := tier == nearDepots || tier == farDepots
		for _, name := range p.sources.inTier(tier, chunk, p.absentAnswers[chunk]) {
			if now.Before(p.backoffs[name].until) {
				continue
			}
			depotReachable = depotReachable || depots
			if depots && now.Before(p.depotsAbsentUntil[chunk]) {
				break
			}
			if !now.Before(p.absentUntil[Fetch{Chunk: chunk, Source: name}]) {
				return name, true
			}
		}
	}
	// A reachable depot fetches the chunk from the origin itself.
	return Origin, !depotReachable && !now.Before(p.backoffs[Origin].until)
}

// FinishFetch records the outcome of a fetch.
func (p *TieredPlan) FinishFetch(fetch Fetch, outcome Outcome, now time.Time) {
	delete(p.inFlight, fetch.Chunk)
	switch outcome {
	case Verified:
		delete(p.backoffs, fetch.Source)
		if !p.have.Has(fetch.Chunk) {
			p.have.Set(fetch.Chunk)
			p.held++
		}
	case Absent:
		p.absentUntil[fetch] = now.Add(p.config.AbsentRetryDelay)
		p.absentAnswers[fetch.Chunk]++
		if p.sources.isDepot(fetch.Source) {
			p.depotsAbsentUntil[fetch.Chunk] = now.Add(p.config.AbsentRetryDelay)
		}
	case Busy:
		p.absentUntil[fetch] = now.Add(p.config.AbsentRetryDelay / 4)
	case Corrupt:
		p.backOff(fetch.Source, corruptBackoffFactor, now)
	default:
		p.backOff(fetch.Source, 1, now)
	}
	maps.DeleteFunc(p.absentUntil, func(_ Fetch, until time.Time) bool { return !now.Before(until) })
}

// backOff starts or extends the backoff of a source. It doubles with each
// failure, up to a limit.
func (p *TieredPlan) backOff(name string, factor int, now time.Time) {
	last := p.backoffs[name]
	growth := min(factor<<min(last.failures, 16), maxBackoffFactor)
	p.backoffs[name] = backoff{until: now.Add(p.config.InitialBackoff * time.Duration(growth)), failures: last.failures + 1}
}
