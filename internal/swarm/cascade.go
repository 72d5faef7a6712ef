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
	// NearPeers and FarPeers are instances that take the same weights.
	NearPeers, FarPeers []string
}

// Cascade decides, for one instance and one version, which missing chunk to get
// next from whom: a depot near by, then other instances, then depots elsewhere,
// and the origin when nobody else can be reached. All instances ask for the
// chunks in the same order, so that a depot draws each one once. It is not safe
// for concurrent use.
type Cascade struct {
	config   CascadeConfig
	chunks   int
	have     weights.Bitmap
	held     int
	inFlight map[int]bool
	sources  Sources
	avoid    map[string]avoided
	absent   map[Fetch]time.Time
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
	for chunk := 0; chunk < c.chunks && len(c.inFlight) < c.config.MaxInFlight; chunk++ {
		if c.have.Has(chunk) || c.inFlight[chunk] {
			continue
		}
		if source, found := c.source(chunk, now); found {
			c.inFlight[chunk] = true
			fetches = append(fetches, Fetch{Chunk: chunk, Source: source})
		}
	}
	return fetches
}

// source returns whom to ask for a chunk.
func (c *Cascade) source(chunk int, now time.Time) (string, bool) {
	key := strconv.Itoa(chunk)
	depotReached := false
	for _, tier := range [][]string{c.sources.NearDepots, c.sources.NearPeers, c.sources.FarDepots, c.sources.FarPeers} {
		for _, name := range member.Rank(key, slices.Clone(tier)) {
			if now.Before(c.avoid[name].until) {
				continue
			}
			if !now.Before(c.absent[Fetch{Chunk: chunk, Source: name}]) {
				return name, true
			}
			depotReached = depotReached || slices.Contains(c.sources.NearDepots, name) || slices.Contains(c.sources.FarDepots, name)
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
