// Package swarm is the aggregate that decides, for one instance and one
// manifest, which missing chunk to fetch next, from whom, and whom to tell of
// the chunks held. It does no I/O: events and the time go in, steps come out.
package swarm

import (
	"math/rand/v2"
	"time"

	"plantainrelay/internal/weights"
)

// Origin is the source name of the origin of weights.
const Origin = ""

const (
	// originWindow is the number of chunks that the whole fleet takes from the
	// origin at once; a chunk that arrived passes its turn on.
	originWindow = 16
	// joinAsks is the number of members asked before the first fetch.
	joinAsks = 3
	// maxOverdue is how many chunks after a missing one have to arrive before
	// the missing one counts as late; fewer when the manifest has few chunks.
	maxOverdue = 4 * originWindow
	// maxOfferTries bounds how often an offer is made to a member that does
	// not take it.
	maxOfferTries = 4
	// maxTurns bounds the patience of an instance far from its turn.
	maxTurns = 6
	// lastResort is how many times the patience an instance is quiet before
	// it exceeds its allowance at the origin.
	lastResort = 10
	// lateFactor is how much more often others are asked when chunks are late.
	lateFactor = 4
	// maxPenaltyFactor bounds the growth of a penalty.
	maxPenaltyFactor = 32
	// corruptFactor multiplies the penalty of a source of corrupt chunks.
	corruptFactor = 8
)

// Config holds the limits of one plan.
type Config struct {
	// Self is the name of this instance.
	Self string
	// MaxInFlight bounds the fetches in progress.
	MaxInFlight int
	// Patience is how long this instance makes no progress before it takes
	// over from an instance that is responsible for a chunk.
	Patience time.Duration
	// StealAfter is how long this instance makes no progress before it
	// fetches chunks from other holders in its zone than their parents.
	StealAfter time.Duration
	// AskInterval is the time between two questions for what others hold.
	AskInterval time.Duration
	// JoinWait bounds the wait for the first answers of others.
	JoinWait time.Duration
	// Penalty is how long a source that failed is avoided at first.
	Penalty time.Duration
	// ExtraCopies is how many copies the whole fleet may draw from the origin
	// beyond the first.
	ExtraCopies float64
	// Seed starts the source of random choices.
	Seed uint64
}

// Fetch is one decision: get Chunk from Source (Origin or a member's name).
type Fetch struct {
	Chunk  int
	Source string
}

// Offer tells To about chunks held here. Turns are chunks that To may take
// from the origin now.
type Offer struct {
	To     string
	Chunks []int
	Turns  []int
}

// Step is what the driver has to do now.
type Step struct {
	Fetches []Fetch
	Offers  []Offer
	// Asks names the members to ask for what they hold.
	Asks []string
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
	// Absent means that the source does not hold the chunk.
	Absent
	// Busy means that the source serves too many others at the moment.
	Busy
	// Dropped means that this instance could not keep the chunk.
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

// source is what is known of one source.
type source struct {
	have     weights.Bitmap
	avoid    time.Time
	failures int
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

	// parents and positions locate this instance in the tree of each chunk.
	parents   []string
	positions []int
	// ready holds missing chunks that their parent is known to hold.
	ready  []int
	queued weights.Bitmap
	turns  weights.Bitmap
	// duties holds the chunks to take from the origin now.
	duties   []int
	offers   map[string]*Offer
	started  time.Time
	progress time.Time
	// passed holds when the first chunk of each window arrived or was offered.
	passed []time.Time
	asking map[string]bool
	// offerTries counts offers not taken; offerAfter is when to try again.
	offerTries map[string]int
	offerAfter map[string]time.Time
	toJoin     int
	nextAsk    time.Time
	nextScan   time.Time
	extra      int
	corrupt    int
}

// New returns a plan for a manifest with the given number of chunks, of which
// have are held already.
func New(config Config, layout *Layout, chunks int, have weights.Bitmap, now time.Time) *Plan {
	p := &Plan{
		config:     config,
		chunks:     chunks,
		parents:    make([]string, chunks),
		positions:  make([]int, chunks),
		have:       weights.NewBitmap(chunks),
		inFlight:   map[int]string{},
		sources:    map[string]*source{},
		random:     rand.New(rand.NewPCG(config.Seed, uint64(chunks))),
		queued:     weights.NewBitmap(chunks),
		turns:      weights.NewBitmap(chunks),
		offers:     map[string]*Offer{},
		asking:     map[string]bool{},
		offerTries: map[string]int{},
		offerAfter: map[string]time.Time{},
		started:    now,
		progress:   now,
		toJoin:     joinAsks,
		nextAsk:    now,
	}
	for chunk := range chunks {
		if have.Has(chunk) {
			p.have.Set(chunk)
		}
	}
	p.held = p.have.Count()
	p.passed = make([]time.Time, 0, chunks/originWindow+1)
	p.SetLayout(layout)
	p.extra = p.allowance()
	for chunk := range min(originWindow, chunks) {
		if layout.Root(chunk) == config.Self {
			p.takeTurn(chunk, now)
		}
	}
	return p
}

// allowance returns this instance's part of the copies that the fleet may draw
// from the origin beyond the first, rounded at random.
func (p *Plan) allowance() int {
	part := p.config.ExtraCopies * float64(p.chunks) / float64(max(p.layout.Size(), 1))
	return int(part + p.random.Float64())
}

// Complete reports whether every chunk is held.
func (p *Plan) Complete() bool { return p.held == p.chunks }

// Held returns the number of chunks held.
func (p *Plan) Held() int { return p.held }

// Have returns a copy of the held chunks.
func (p *Plan) Have() weights.Bitmap { return p.have.Clone() }

// Corrupt returns the number of corrupt chunks received.
func (p *Plan) Corrupt() int { return p.corrupt }

// SetLayout replaces the members. Chunks held and in progress stay.
func (p *Plan) SetLayout(layout *Layout) {
	p.layout = layout
	for chunk := range p.chunks {
		p.parents[chunk] = layout.Parent(p.config.Self, chunk)
		p.positions[chunk] = layout.position(p.config.Self, chunk)
	}
	p.ready = p.ready[:0]
	clear(p.queued)
	for name, known := range p.sources {
		if name == Origin {
			continue
		}
		if !layout.Knows(name) {
			delete(p.sources, name)
			continue
		}
		p.queueFrom(name, known.have)
	}
	for name := range p.asking {
		if !layout.Knows(name) {
			delete(p.asking, name)
		}
	}
	p.nextScan = time.Time{}
}

// queueFrom makes the missing chunks ready that name holds and is the parent of.
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

// Offered records that from holds chunks and grants turns at the origin.
func (p *Plan) Offered(from string, chunks, turns []int, now time.Time) {
	for _, chunk := range turns {
		if chunk >= 0 && chunk < p.chunks {
			p.takeTurn(chunk, now)
		}
	}
	if !p.layout.Knows(from) || from == p.config.Self {
		return
	}
	p.Alive(from)
	known := p.source(from)
	for _, chunk := range chunks {
		if chunk < 0 || chunk >= p.chunks {
			continue
		}
		known.have.Set(chunk)
		p.queue(from, chunk)
		p.pass(chunk, now)
	}
	if len(chunks) > 0 {
		p.progress = now
	}
}

// Told records the answer of a member that was asked.
func (p *Plan) Told(from string, have weights.Bitmap, now time.Time) {
	p.answered(from)
	if !p.layout.Knows(from) || from == p.config.Self {
		return
	}
	p.Alive(from)
	known := p.source(from)
	known.avoid, known.failures = time.Time{}, 0
	for chunk := range p.chunks {
		if have.Has(chunk) {
			known.have.Set(chunk)
		}
	}
	p.queueFrom(from, known.have)
	p.nextScan = now
}

// NotTold records that a member did not answer or does not take this manifest.
func (p *Plan) NotTold(from string, now time.Time) {
	p.answered(from)
	p.penalize(from, 1, now)
}

// Alive records that a member takes this manifest: what it did not take before
// is offered again now.
func (p *Plan) Alive(name string) {
	delete(p.offerTries, name)
	delete(p.offerAfter, name)
}

func (p *Plan) answered(from string) {
	delete(p.asking, from)
}

// OfferFailed records that an offer was not taken. It is made again; its turns
// go to the next after some tries, or at once when the member was not reached.
func (p *Plan) OfferFailed(offer Offer, reached bool, now time.Time) {
	p.offerTries[offer.To]++
	if !reached {
		p.penalize(offer.To, 1, now)
	}
	if !reached || p.offerTries[offer.To] > maxOfferTries {
		for _, chunk := range offer.Turns {
			p.passTurn(chunk, now)
		}
		offer.Turns = nil
	}
	if p.offerTries[offer.To] > maxOfferTries || !p.layout.Knows(offer.To) {
		return
	}
	late := p.offer(offer.To)
	late.Chunks = append(late.Chunks, offer.Chunks...)
	late.Turns = append(late.Turns, offer.Turns...)
	p.offerAfter[offer.To] = now.Add(p.jitter(p.config.Penalty))
}

// takeTurn records that this instance may take chunk from the origin.
func (p *Plan) takeTurn(chunk int, now time.Time) {
	if p.have.Has(chunk) {
		p.passTurn(chunk, now)
		return
	}
	p.turns.Set(chunk)
	p.duties = append(p.duties, chunk)
}

// passTurn lets the root of the next chunk in the window go to the origin.
func (p *Plan) passTurn(chunk int, now time.Time) {
	for next := chunk + originWindow; next < p.chunks; next += originWindow {
		root := p.layout.Root(next)
		if p.avoided(root, now) {
			continue
		}
		if root != p.config.Self {
			offer := p.offer(root)
			offer.Turns = append(offer.Turns, next)
			return
		}
		if !p.have.Has(next) {
			p.turns.Set(next)
			p.duties = append(p.duties, next)
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
