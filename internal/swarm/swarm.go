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

// pass records that the distribution has come as far as chunk.
func (p *Plan) pass(chunk int, now time.Time) {
	for len(p.passed) <= chunk/originWindow {
		p.passed = append(p.passed, now)
	}
}

// quiet returns for how long nothing has come.
func (p *Plan) quiet(now time.Time) time.Duration { return now.Sub(p.progress) }

// anyLate reports whether the first missing chunk is late or nothing comes.
func (p *Plan) anyLate(now time.Time) bool {
	for chunk := range p.chunks {
		if !p.have.Has(chunk) {
			return p.late(chunk, now) > p.config.StealAfter || p.quiet(now) > p.config.StealAfter
		}
	}
	return false
}

// late returns for how long chunk is late compared with the others, or 0.
func (p *Plan) late(chunk int, now time.Time) time.Duration {
	overdue := max(originWindow, min(maxOverdue, p.chunks/8))
	if window := (chunk + overdue) / originWindow; window < len(p.passed) {
		return now.Sub(p.passed[window])
	}
	return 0
}

// offerOn offers a chunk that arrived to this instance's children; one that
// was drawn in place of its root, to the roots of all zones.
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

// penalize avoids a source for a time that doubles with each failure.
func (p *Plan) penalize(name string, factor int, now time.Time) {
	known := p.source(name)
	growth := min(factor<<min(known.failures, 16), maxPenaltyFactor)
	known.failures++
	known.avoid = now.Add(p.jitter(p.config.Penalty * time.Duration(growth)))
}

// jitter returns wait lengthened or shortened by up to a half.
func (p *Plan) jitter(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (0.5 + p.random.Float64()))
}

func (p *Plan) avoided(name string, now time.Time) bool {
	known := p.sources[name]
	return known != nil && now.Before(known.avoid)
}

// Next returns what to do now and counts its fetches as in progress.
func (p *Plan) Next(now time.Time) Step {
	step := Step{Asks: p.asks(now), Offers: p.takeOffers(now)}
	if p.Complete() || !p.joined(now) {
		return step
	}
	step.Fetches = append(p.dutyFetches(now), p.readyFetches(now)...)
	if len(p.inFlight) < p.config.MaxInFlight && !now.Before(p.nextScan) {
		p.nextScan = now.Add(p.config.StealAfter)
		step.Fetches = append(step.Fetches, p.scan(now)...)
	}
	return step
}

func (p *Plan) takeOffers(now time.Time) []Offer {
	var offers []Offer
	for _, name := range sortedKeys(p.offers) {
		if now.Before(p.offerAfter[name]) {
			continue
		}
		offers = append(offers, *p.offers[name])
		delete(p.offers, name)
	}
	return offers
}

// joined reports whether the first answers of others are here or overdue.
func (p *Plan) joined(now time.Time) bool {
	if p.toJoin == 0 && len(p.asking) == 0 {
		p.started = now.Add(-p.config.JoinWait)
	}
	return now.Sub(p.started) >= p.config.JoinWait
}

func (p *Plan) start(chunk int, source string) Fetch {
	p.inFlight[chunk] = source
	return Fetch{Chunk: chunk, Source: source}
}

// readyFetches takes the ready chunks whose parents are not avoided, those
// that the most others wait for first.
func (p *Plan) readyFetches(now time.Time) []Fetch {
	var fetches []Fetch
	for len(p.inFlight) < p.config.MaxInFlight {
		best, bestPosition := -1, 0
		for i, chunk := range p.ready {
			position := p.positions[chunk]
			if best >= 0 && position >= bestPosition {
				continue
			}
			if p.avoided(p.parents[chunk], now) {
				continue
			}
			best, bestPosition = i, position
		}
		if best < 0 {
			return fetches
		}
		chunk := p.unqueue(best)
		if _, fetching := p.inFlight[chunk]; !fetching && !p.have.Has(chunk) {
			fetches = append(fetches, p.start(chunk, p.parents[chunk]))
		}
	}
	return fetches
}

// dutyFetches starts what this instance is to take from the origin, before all
// else, since the whole fleet waits for it.
func (p *Plan) dutyFetches(now time.Time) []Fetch {
	var fetches []Fetch
	if len(p.duties) == 0 || p.avoided(Origin, now) {
		return nil
	}
	known := p.holders(now)
	for len(p.duties) > 0 && len(p.inFlight) < p.config.MaxInFlight {
		chunk := p.duties[0]
		p.duties = p.duties[1:]
		if _, fetching := p.inFlight[chunk]; fetching || p.have.Has(chunk) {
			continue
		}
		name, found := p.holder(chunk, known.zone)
		if !found {
			name = Origin
		}
		fetches = append(fetches, p.start(chunk, name))
	}
	return fetches
}

func (p *Plan) unqueue(i int) int {
	chunk := p.ready[i]
	last := len(p.ready) - 1
	p.ready[i] = p.ready[last]
	p.ready = p.ready[:last]
	p.queued.Clear(chunk)
	return chunk
}

// asks returns the members to ask now: some at the start, then one at a time.
func (p *Plan) asks(now time.Time) []string {
	if p.Complete() || now.Before(p.nextAsk) {
		return nil
	}
	var names []string
	for range max(p.toJoin, 1) {
		if name, found := p.toAsk(now); found && !p.asking[name] {
			p.asking[name] = true
			names = append(names, name)
		}
	}
	p.toJoin = 0
	p.nextAsk = now.Add(p.jitter(p.config.AskInterval))
	if p.anyLate(now) {
		p.nextAsk = now.Add(p.jitter(p.config.AskInterval / lateFactor))
	}
	return names
}

// toAsk returns the parent of the first missing chunk that has one, or a random
// member of the zone, or any member.
func (p *Plan) toAsk(now time.Time) (string, bool) {
	if parent, found := p.lateParent(now); found && p.toJoin == 0 {
		return parent, true
	}
	names := p.layout.Zone(p.config.Self)
	if len(names) < 2 {
		names = p.layout.Names()
	}
	name := names[p.random.IntN(len(names))]
	return name, name != p.config.Self && !p.avoided(name, now)
}

// lateParent returns, every other time, the parent of the first missing chunk,
// or, when that failed and the chunk is late, the root of some zone.
func (p *Plan) lateParent(now time.Time) (string, bool) {
	if p.random.IntN(2) == 0 {
		return "", false
	}
	for chunk := range p.chunks {
		parent := p.parents[chunk]
		if _, fetching := p.inFlight[chunk]; fetching || p.have.Has(chunk) || p.queued.Has(chunk) {
			continue
		}
		if parent != Origin && !p.avoided(parent, now) {
			return parent, true
		}
		if roots := p.layout.zoneRoots(chunk); p.late(chunk, now) > 0 || p.quiet(now) > p.config.Patience {
			root := roots[p.random.IntN(len(roots))]
			return root, root != p.config.Self && !p.avoided(root, now)
		}
	}
	return "", false
}
