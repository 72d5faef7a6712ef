// Package swarm decides, for one instance and one manifest, which missing chunks
// to fetch next, from which sources, and to which instances to offer the held
// chunks. It does no I/O: its input is events and the current time, its output
// the steps to take.
package swarm

import (
	"math/rand/v2"
	"time"

	"plantainrelay/internal/weights"
)

// Origin is the source name of the origin server of the weights.
const Origin = ""

const (
	// originWindow is the number of chunks that the whole fleet fetches from the
	// origin concurrently. A chunk that arrives grants the fetch of the chunk
	// originWindow positions later.
	originWindow = 16
	// initialAskCount is the number of members asked before the first fetch.
	initialAskCount = 3
	// maxLateDistance is the largest distance to a later chunk that has to arrive
	// before a missing chunk counts as late. The distance is shorter for manifests
	// with few chunks.
	maxLateDistance = 4 * originWindow
	// maxOfferTries limits how often an offer that a member does not accept is
	// repeated.
	maxOfferTries = 4
	// maxPredecessors limits the number of preceding instances for which an
	// instance waits before it takes over a chunk.
	maxPredecessors = 6
	// lastResortFactor is the time without progress, in multiples of the takeover
	// delay, after which an instance exceeds its allowance of origin fetches.
	lastResortFactor = 10
	// lateAskFactor is the factor by which questions become more frequent when
	// chunks are late.
	lateAskFactor = 4
	// maxBackoffFactor limits the growth of a backoff.
	maxBackoffFactor = 32
	// corruptBackoffFactor multiplies the backoff of a source of corrupt chunks.
	corruptBackoffFactor = 8
)

// Config holds the settings of a plan.
type Config struct {
	// Self is the name of this instance.
	Self string
	// MaxInFlight limits the number of concurrent fetches.
	MaxInFlight int
	// TakeoverDelay is the time without progress after which this instance takes
	// over from an instance that is responsible for a chunk.
	TakeoverDelay time.Duration
	// AlternateHolderDelay is the time without progress after which this instance
	// fetches a chunk from any holder in its zone instead of the chunk's parent.
	AlternateHolderDelay time.Duration
	// AskInterval is the interval at which other members are asked for their
	// held chunks.
	AskInterval time.Duration
	// InitialAskTimeout limits the wait for the initial answers of other members.
	InitialAskTimeout time.Duration
	// InitialBackoff is the backoff of a source after its first failure.
	InitialBackoff time.Duration
	// ExtraCopies is the number of copies that the whole fleet may fetch from
	// the origin beyond the first.
	ExtraCopies float64
	// Seed is the seed of the random number generator.
	Seed uint64
}

// Fetch is a decision to fetch Chunk from Source, which is Origin or the name of
// a member.
type Fetch struct {
	Chunk  int
	Source string
}

// Offer tells the member To which chunks this instance holds, and which chunks To
// may now fetch from the origin.
type Offer struct {
	To           string
	Chunks       []int
	OriginGrants []int
}

// Step holds the actions that the driver has to take now.
type Step struct {
	Fetches []Fetch
	Offers  []Offer
	// Asks lists the members to ask for their held chunks.
	Asks []string
}

// Outcome is the result of one fetch.
type Outcome int

// The outcomes of a fetch.
const (
	// Verified means that the chunk arrived with the expected digest.
	Verified Outcome = iota
	// Corrupt means that the chunk arrived with a wrong digest.
	Corrupt
	// Failed means that the chunk could not be received.
	Failed
	// Absent means that the source does not hold the chunk.
	Absent
	// Busy means that the source is overloaded.
	Busy
	// Dropped means that this instance could not store the chunk.
	Dropped
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	names := [...]string{"verified", "corrupt", "failed", "absent", "busy", "dropped"}
	if int(o) < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// source is the state of one source: its known chunks and its backoff.
type source struct {
	have         weights.Bitmap
	backoffUntil time.Time
	failures     int
	// answered is set if the last failure was the answer that the member does not take
	// part in the distribution yet.
	answered bool
}

// Plan is the state of one distribution on one instance. It is not safe for
// concurrent use.
type Plan struct {
	config   Config
	chunks   int
	layout   *Layout
	have     weights.Bitmap
	held     int
	inFlight map[int]string
	sources  map[string]*source
	random   *rand.Rand

	// parents and positions are this instance's parent and position in the tree
	// of each chunk.
	parents   []string
	positions []int
	// ready holds the missing chunks that their parents are known to hold.
	ready  []int
	queued weights.Bitmap
	// originGrants holds the chunks that this instance may fetch from the origin.
	originGrants weights.Bitmap
	// originQueue is the queue of chunks to fetch from the origin.
	originQueue  []int
	offers       map[string]*Offer
	started      time.Time
	lastProgress time.Time
	// windowReachedAt holds, for each window, the time when its first chunk, or
	// one of a later window, arrived or was offered.
	windowReachedAt []time.Time
	pendingAsks     map[string]bool
	// offerTries counts the offers that a member did not accept; offerRetryAt is
	// the time of the next attempt.
	offerTries   map[string]int
	offerRetryAt map[string]time.Time
	initialAsks  int
	nextAsk      time.Time
	nextScan     time.Time
	extraFetches int
	corrupt      int
}

// New returns a plan for a manifest with the given number of chunks. The chunks
// set in have are already held.
func New(config Config, layout *Layout, chunks int, have weights.Bitmap, now time.Time) *Plan {
	p := &Plan{
		config:       config,
		chunks:       chunks,
		parents:      make([]string, chunks),
		positions:    make([]int, chunks),
		have:         weights.NewBitmap(chunks),
		inFlight:     map[int]string{},
		sources:      map[string]*source{},
		random:       rand.New(rand.NewPCG(config.Seed, uint64(chunks))),
		queued:       weights.NewBitmap(chunks),
		originGrants: weights.NewBitmap(chunks),
		offers:       map[string]*Offer{},
		pendingAsks:  map[string]bool{},
		offerTries:   map[string]int{},
		offerRetryAt: map[string]time.Time{},
		started:      now,
		lastProgress: now,
		initialAsks:  initialAskCount,
		nextAsk:      now,
	}
	for chunk := range chunks {
		if have.Has(chunk) {
			p.have.Set(chunk)
		}
	}
	p.held = p.have.Count()
	p.windowReachedAt = make([]time.Time, 0, chunks/originWindow+1)
	p.SetLayout(layout)
	p.extraFetches = p.allowance()
	for chunk := range min(originWindow, chunks) {
		if layout.Root(chunk) == config.Self {
			p.acceptGrant(chunk, now)
		}
	}
	return p
}

// allowance returns the number of extra chunks that this instance may fetch from
// the origin: its share of ExtraCopies, rounded up or down at random.
func (p *Plan) allowance() int {
	part := p.config.ExtraCopies * float64(p.chunks) / float64(max(p.layout.Size(), 1))
	return int(part + p.random.Float64())
}

// Complete reports whether every chunk is held.
func (p *Plan) Complete() bool { return p.held == p.chunks }

// Held returns the number of chunks held.
func (p *Plan) Held() int { return p.held }

// Have returns a copy of the bitmap of held chunks.
func (p *Plan) Have() weights.Bitmap { return p.have.Clone() }

// Corrupt returns the number of corrupt chunks received.
func (p *Plan) Corrupt() int { return p.corrupt }

// SetLayout replaces the members. Held chunks and fetches in progress are kept.
func (p *Plan) SetLayout(layout *Layout) {
	p.layout = layout
	for chunk := range p.chunks {
		p.parents[chunk] = layout.Parent(p.config.Self, chunk)
		p.positions[chunk] = layout.position(p.config.Self, chunk)
	}
	p.ready = p.ready[:0]
	clear(p.queued)
	for name, state := range p.sources {
		if name == Origin {
			continue
		}
		if !layout.Contains(name) {
			delete(p.sources, name)
			continue
		}
		p.queueFrom(name, state.have)
	}
	for name := range p.pendingAsks {
		if !layout.Contains(name) {
			delete(p.pendingAsks, name)
		}
	}
	p.nextScan = time.Time{}
}

// queueFrom marks as ready the missing chunks that name holds and for which it is
// the parent.
func (p *Plan) queueFrom(name string, have weights.Bitmap) {
	for chunk := range p.chunks {
		if have.Has(chunk) {
			p.queue(name, chunk)
		}
	}
}

func (p *Plan) queue(name string, chunk int) {
	if p.have.Has(chunk) || p.queued.Has(chunk) || p.parents[chunk] != name {
		return
	}
	if _, fetching := p.inFlight[chunk]; fetching {
		return
	}
	p.queued.Set(chunk)
	p.ready = append(p.ready, chunk)
}

func (p *Plan) source(name string) *source {
	if p.sources[name] == nil {
		p.sources[name] = &source{have: weights.NewBitmap(p.chunks)}
	}
	return p.sources[name]
}

// RecordOffer records that the member from holds chunks, and that this instance
// may fetch the chunks in grants from the origin.
func (p *Plan) RecordOffer(from string, chunks, grants []int, now time.Time) {
	for _, chunk := range grants {
		if chunk >= 0 && chunk < p.chunks {
			p.acceptGrant(chunk, now)
		}
	}
	if !p.layout.Contains(from) || from == p.config.Self {
		return
	}
	p.RecordParticipant(from)
	state := p.source(from)
	for _, chunk := range chunks {
		if chunk < 0 || chunk >= p.chunks {
			continue
		}
		state.have.Set(chunk)
		p.queue(from, chunk)
		p.reachWindow(chunk, now)
	}
	if len(chunks) > 0 {
		p.lastProgress = now
	}
}

// RecordAnswer records a member's answer to a question for its held chunks.
func (p *Plan) RecordAnswer(from string, have weights.Bitmap, now time.Time) {
	p.askDone(from)
	if !p.layout.Contains(from) || from == p.config.Self {
		return
	}
	p.RecordParticipant(from)
	known := p.source(from)
	known.backoffUntil, known.failures = time.Time{}, 0
	for chunk := range p.chunks {
		if have.Has(chunk) {
			known.have.Set(chunk)
		}
	}
	p.queueFrom(from, known.have)
	p.nextScan = now
}

// RecordAskFailure records that a member did not answer or, if it was reached, does not
// take part in the distribution of this manifest.
func (p *Plan) RecordAskFailure(from string, reached bool, now time.Time) {
	p.askDone(from)
	p.backOff(from, 1, now)
	p.source(from).answered = reached
}

// RecordParticipant records that a member takes part in the distribution of this
// manifest. Offers that it did not accept before are repeated immediately.
func (p *Plan) RecordParticipant(name string) {
	delete(p.offerTries, name)
	delete(p.offerRetryAt, name)
}

func (p *Plan) askDone(from string) {
	delete(p.pendingAsks, from)
}

// RecordOfferFailure records that an offer was not accepted. The offer is repeated
// up to maxOfferTries times. Its grants go to other members after that, or
// immediately if the member was not reachable.
func (p *Plan) RecordOfferFailure(offer Offer, reached bool, now time.Time) {
	p.offerTries[offer.To]++
	if !reached {
		p.backOff(offer.To, 1, now)
	}
	if !reached || p.offerTries[offer.To] > maxOfferTries {
		for _, chunk := range offer.OriginGrants {
			p.grantNext(chunk, now)
		}
		offer.OriginGrants = nil
	}
	if p.offerTries[offer.To] > maxOfferTries || !p.layout.Contains(offer.To) {
		return
	}
	retry := p.offer(offer.To)
	retry.Chunks = append(retry.Chunks, offer.Chunks...)
	retry.OriginGrants = append(retry.OriginGrants, offer.OriginGrants...)
	p.offerRetryAt[offer.To] = now.Add(p.jitter(p.config.InitialBackoff))
}

// acceptGrant records that this instance may fetch chunk from the origin.
func (p *Plan) acceptGrant(chunk int, now time.Time) {
	if p.have.Has(chunk) {
		p.grantNext(chunk, now)
		return
	}
	p.originGrants.Set(chunk)
	p.originQueue = append(p.originQueue, chunk)
}

// grantNext lets the root of the chunk originWindow positions later fetch that
// chunk from the origin. It skips chunks whose root is unreachable, and those of its
// own that it already holds. A root that does not take part yet gets the grant when it
// does: nobody else would fetch the chunk before the takeover delay has passed.
func (p *Plan) grantNext(chunk int, now time.Time) {
	for next := chunk + originWindow; next < p.chunks; next += originWindow {
		root := p.layout.Root(next)
		if p.inBackoff(root, now) && !p.sources[root].answered {
			continue
		}
		if root != p.config.Self {
			offer := p.offer(root)
			offer.OriginGrants = append(offer.OriginGrants, next)
			return
		}
		if !p.have.Has(next) {
			p.originGrants.Set(next)
			p.originQueue = append(p.originQueue, next)
			return
		}
	}
}

func (p *Plan) offer(to string) *Offer {
	if p.offers[to] == nil {
		p.offers[to] = &Offer{To: to}
	}
	return p.offers[to]
}
