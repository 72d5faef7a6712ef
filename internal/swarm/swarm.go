// Package swarm is the aggregate that decides, for one instance and one
// manifest, which missing chunk to fetch next and from whom. It does no I/O:
// events and the time go in, fetches come out.
package swarm

import (
	"math/rand/v2"
	"strconv"
	"time"

	"plantainrelay/internal/member"
	"plantainrelay/internal/weights"
)

// Origin is the source name of the origin of weights.
const Origin = ""

// Config holds the limits of one plan.
type Config struct {
	// Self is the name of this instance.
	Self string
	// AvailabilityZone and Region locate this instance.
	AvailabilityZone string
	Region           string
	// MaxInFlight bounds the fetches in progress.
	MaxInFlight int
	// Patience is how long a chunk that another instance is responsible for
	// is awaited before this instance fetches it itself.
	Patience time.Duration
	// Penalty is how long a source that failed is avoided.
	Penalty time.Duration
	// Seed starts the source of random choices.
	Seed uint64
}

// Peer is another instance that takes the same manifest.
type Peer struct {
	Name             string
	AvailabilityZone string
	Region           string
	Have             weights.Bitmap
}

// Fetch is one decision: get Chunk from Source (Origin or a peer's name).
type Fetch struct {
	Chunk  int
	Source string
}

// Outcome is the result of one fetch.
type Outcome int

// The outcomes of a fetch.
const (
	// Verified means that the chunk arrived and has its digest.
	Verified Outcome = iota
	// Corrupt means that the chunk arrived with another digest.
	Corrupt
	// Failed means that the chunk did not arrive.
	Failed
)

// Plan is the state of one distribution on one instance. It is not safe for
// concurrent use.
type Plan struct {
	config   Config
	chunks   int
	have     weights.Bitmap
	inFlight map[int]string
	peers    []Peer
	avoid    map[string]time.Time
	started  time.Time
	random   *rand.Rand
}

// New returns a plan for a manifest with the given number of chunks, of which
// have are held already.
func New(config Config, chunks int, have weights.Bitmap, now time.Time) *Plan {
	return &Plan{
		config:   config,
		chunks:   chunks,
		have:     have.Clone(),
		inFlight: map[int]string{},
		avoid:    map[string]time.Time{},
		started:  now,
		random:   rand.New(rand.NewPCG(config.Seed, uint64(chunks))),
	}
}

// Complete reports whether every chunk is held.
func (p *Plan) Complete() bool {
	return p.have.Count() == p.chunks
}

// Have returns a copy of the held chunks.
func (p *Plan) Have() weights.Bitmap {
	return p.have.Clone()
}

// SetPeers replaces what is known of the other instances.
func (p *Plan) SetPeers(peers []Peer) {
	p.peers = peers
}

// Finish records the outcome of a fetch.
func (p *Plan) Finish(fetch Fetch, outcome Outcome, now time.Time) {
	delete(p.inFlight, fetch.Chunk)
	if outcome == Verified {
		p.have.Set(fetch.Chunk)
		return
	}
	p.avoid[fetch.Source] = now.Add(p.config.Penalty)
}

// Next returns the fetches to start now and counts them as in progress.
func (p *Plan) Next(now time.Time) []Fetch {
	var fetches []Fetch
	for _, chunk := range p.order() {
		if len(p.inFlight) >= p.config.MaxInFlight {
			break
		}
		source, found := p.source(chunk, now)
		if !found {
			continue
		}
		p.inFlight[chunk] = source
		fetches = append(fetches, Fetch{Chunk: chunk, Source: source})
	}
	return fetches
}

// order returns the missing chunks in random order, so that instances of one
// availability zone hold different chunks early.
func (p *Plan) order() []int {
	var missing []int
	for chunk := range p.chunks {
		if _, fetching := p.inFlight[chunk]; !fetching && !p.have.Has(chunk) {
			missing = append(missing, chunk)
		}
	}
	p.random.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	return missing
}

func (p *Plan) source(chunk int, now time.Time) (string, bool) {
	if name, found := p.holder(chunk, now, true); found {
		return name, true
	}
	impatient := now.Sub(p.started) > p.config.Patience
	if !impatient && !p.responsible(chunk, true) {
		return "", false
	}
	if name, found := p.holder(chunk, now, false); found {
		return name, true
	}
	if !impatient && !p.responsible(chunk, false) {
		return "", false
	}
	return Origin, !p.avoided(Origin, now)
}

// holder returns a random peer that holds chunk, inside or outside this
// availability zone.
func (p *Plan) holder(chunk int, now time.Time, sameZone bool) (string, bool) {
	var names []string
	for _, peer := range p.peers {
		inZone := peer.AvailabilityZone == p.config.AvailabilityZone
		if inZone == sameZone && peer.Have.Has(chunk) && !p.avoided(peer.Name, now) {
			names = append(names, peer.Name)
		}
	}
	if len(names) == 0 {
		return "", false
	}
	return names[p.random.IntN(len(names))], true
}

// responsible reports whether this instance is the one that brings chunk into
// its availability zone, or out of the origin for all.
func (p *Plan) responsible(chunk int, zoneOnly bool) bool {
	names := []string{p.config.Self}
	for _, peer := range p.peers {
		if !zoneOnly || peer.AvailabilityZone == p.config.AvailabilityZone {
			names = append(names, peer.Name)
		}
	}
	return member.First(strconv.Itoa(chunk), names) == p.config.Self
}

func (p *Plan) avoided(source string, now time.Time) bool {
	return now.Before(p.avoid[source])
}
