package swarm

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"plantainrelay/internal/member"
	"plantainrelay/internal/weights"
)

// CascadeConfig holds the limits of a Cascade.
type CascadeConfig struct {
	// MaxInFlight bounds the fetches in progress.
	MaxInFlight int
	// Penalty is how long a source that failed is avoided at first; it doubles
	// with each failure in a row.
	Penalty time.Duration
	// AbsentFor is how long a source that lacked a chunk is not asked for it again.
	AbsentFor time.Duration
}

// Sources names who may be asked for chunks, the best tier first.
type Sources struct {
	// Depots keep chunks in passing and fetch what they lack, those of the own
	// availability zone apart.
	NearDepots, FarDepots []string
	// Place is this instance's place among those of its availability zone, which
	// divide the depots near by among them.
	Place int
	// NearPeers and FarPeers are instances that take the same weights.
	NearPeers, FarPeers []string
}

// The groups of sources, in the order in which they are asked.
const (
	nearDepots = iota
	nearPeers
	farDepots
	farPeers
	tiers
)

// peersAtOnce bounds the other instances of a group that may be asked for a chunk
// before the depots are asked again.
const peersAtOnce = 2

// tier returns one of the groups, in the order in which its members are asked
// for a chunk. Of the other instances it names a few, which change with turn.
func (s *Sources) tier(number, chunk, turn int) []string {
	key := strconv.Itoa(chunk)
	switch number {
	case nearDepots:
		return s.ownFirst()
	case farDepots:
		return member.Rank(key, s.FarDepots)
	case nearPeers:
		return s.some(key, turn, s.NearPeers)
	}
	return s.some(key, turn, s.FarPeers)
}

func (s *Sources) some(key string, turn int, peers []string) []string {
	ranked := member.Rank(key+"/"+strconv.Itoa(s.Place)+"/"+strconv.Itoa(turn/peersAtOnce), peers)
	return ranked[:min(peersAtOnce, len(ranked))]
}

// Kind returns what kind of source a name is, one of a few words.
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

// ownFirst returns the depots near by, this instance's own one first.
func (s *Sources) ownFirst() []string {
	if len(s.NearDepots) == 0 {
		return nil
	}
	sorted := slices.Sorted(slices.Values(s.NearDepots))
	own := s.Place % len(sorted)
	return slices.Concat(sorted[own:], sorted[:own])
}

// Cascade decides, for one instance and one version, which missing chunk to get
// next from whom: a depot near by, then other instances, then depots elsewhere,
// and the origin when nobody else can be reached. All instances ask for the
// chunks in the same order, in which depots draw them, and each asks its own
// depot first, so that no depot has to serve a whole zone. It is not safe for
// concurrent use.
type Cascade struct {
	config   CascadeConfig
	chunks   int
	have     weights.Bitmap
	held     int
	inFlight map[int]bool
	sources  Sources
	avoid    map[string]avoided
	absent   map[Fetch]time.Time
	// missing holds until when the depots are not asked for a chunk that one of
	// them could not get: they ask each other.
	missing map[int]time.Time
	// asked counts the questions for a chunk that found nothing, so that other
	// instances are asked in turn.
	asked map[int]int
	// cursor is the chunk after the last one that was asked for: a chunk that
	// cannot be had now does not hold up the others.
	cursor int
}

type avoided struct {
	until    time.Time
	failures int
}

// NewCascade returns a plan for a version with the given number of chunks, of
// which have are held already.
func NewCascade(config CascadeConfig, chunks int, have weights.Bitmap) *Cascade {
	c := &Cascade{
		config: config, chunks: chunks, have: weights.NewBitmap(chunks),
		inFlight: map[int]bool{}, avoid: map[string]avoided{}, absent: map[Fetch]time.Time{},
		missing: map[int]time.Time{}, asked: map[int]int{},
	}
	for chunk := range chunks {
		if have.Has(chunk) {
			c.have.Set(chunk)
		}
	}
	c.held = c.have.Count()
	return c
}

// SetSources replaces the sources. What is known of them stays.
func (c *Cascade) SetSources(sources Sources) { c.sources = sources }

// Held returns the number of chunks held.
func (c *Cascade) Held() int { return c.held }

// Complete reports whether every chunk is held.
func (c *Cascade) Complete() bool { return c.held == c.chunks }

// Next returns the fetches to start now.
func (c *Cascade) Next(now time.Time) []Fetch {
	var fetches []Fetch
	from := c.cursor
	for step := 0; step < c.chunks && len(c.inFlight) < c.config.MaxInFlight; step++ {
		chunk := (from + step) % c.chunks
		if c.have.Has(chunk) || c.inFlight[chunk] {
			continue
		}
		if source, found := c.source(chunk, now); found {
			c.inFlight[chunk] = true
			c.cursor = chunk + 1
			fetches = append(fetches, Fetch{Chunk: chunk, Source: source})
		}
	}
	return fetches
}

// source returns whom to ask for a chunk.
func (c *Cascade) source(chunk int, now time.Time) (string, bool) {
	depotReached := false
	for tier := range tiers {
		depots := tier == nearDepots || tier == farDepots
		for _, name := range c.sources.tier(tier, chunk, c.asked[chunk]) {
			if now.Before(c.avoid[name].until) {
				continue
			}
			depotReached = depotReached || depots
			if depots && now.Before(c.missing[chunk]) {
				break
			}
			if !now.Before(c.absent[Fetch{Chunk: chunk, Source: name}]) {
				return name, true
			}
		}
	}
	// A depot that answers asks the origin itself.
	return Origin, !depotReached && !now.Before(c.avoid[Origin].until)
}

// Finish records the outcome of a fetch.
func (c *Cascade) Finish(fetch Fetch, outcome Outcome, now time.Time) {
	delete(c.inFlight, fetch.Chunk)
	switch outcome {
	case Verified:
		delete(c.avoid, fetch.Source)
		if !c.have.Has(fetch.Chunk) {
			c.have.Set(fetch.Chunk)
			c.held++
		}
	case Absent:
		c.absent[fetch] = now.Add(c.config.AbsentFor)
		c.asked[fetch.Chunk]++
		if c.sources.isDepot(fetch.Source) {
			c.missing[fetch.Chunk] = now.Add(c.config.AbsentFor)
		}
	case Busy:
		c.absent[fetch] = now.Add(c.config.AbsentFor / 4)
	case Corrupt:
		c.penalize(fetch.Source, corruptFactor, now)
	default:
		c.penalize(fetch.Source, 1, now)
	}
	maps.DeleteFunc(c.absent, func(_ Fetch, until time.Time) bool { return !now.Before(until) })
}

func (c *Cascade) penalize(name string, factor int, now time.Time) {
	last := c.avoid[name]
	growth := min(factor<<min(last.failures, 16), maxPenaltyFactor)
	c.avoid[name] = avoided{until: now.Add(c.config.Penalty * time.Duration(growth)), failures: last.failures + 1}
}
