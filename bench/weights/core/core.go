// Package core simulates a distribution of weights: it runs the plans of
// package swarm for many instances in one process on a virtual clock. Links are
// first-in-first-out queues with fixed rates; nothing else of a fleet is
// modelled.
package core

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"plantainrelay/internal/swarm"
)

// Config describes one simulation.
type Config struct {
	Instances int
	Chunks    int
	// Zones and Regions are the numbers of availability zones and regions.
	Zones, Regions int
	// Unit is the time to transfer one copy of the weights over an instance's
	// link.
	Unit time.Duration
	// OriginCopies and RegionCopies are the copies that the origin's link and
	// each region's link in each direction carry in one unit; 0 means no limit.
	OriginCopies, RegionCopies float64
	// Plan holds the limits of the plans; Run sets Self and Seed.
	Plan swarm.Config
	// MaxUploads limits the uploads that are queued at one instance.
	MaxUploads int
	// MaxStartDelay is the time within which the instances learn of the version,
	// each at a random moment.
	MaxStartDelay time.Duration
	Seed          uint64
	// DeadShare is the share of the listed instances that never answer.
	DeadShare float64
	// FailAt, if above 0, is the time at which the share FailShare of the
	// instances fails.
	FailAt    time.Duration
	FailShare float64
	// CorruptShare is the share of transfers that arrive corrupted.
	CorruptShare float64
	// OriginStopsAfter, if above 0, is the number of copies after which the
	// origin stops serving.
	OriginStopsAfter float64
	// TimeLimit ends a simulation that does not complete.
	TimeLimit time.Duration
}

// Result is the cost of one simulation. Times are in units, volumes in copies.
type Result struct {
	Complete               int
	Live                   int
	Time, MedianTime       float64
	OriginCopies           float64
	MaxCrossings           float64
	MeanCrossings          float64
	MaxUploads             float64
	Messages, MessageBytes float64
	ProcessorTime          time.Duration
	Steps                  int
}

const (
	latency       = 5 * time.Millisecond
	tickInterval  = 250 * time.Millisecond
	baseCallBytes = 160
	dialTimeout   = 2 * time.Second
)

// link is a first-in-first-out queue that transfers one chunk at a time.
type link struct {
	perChunk time.Duration
	freeAt   time.Duration
}

// transmit queues a chunk that starts to arrive at the link at the time at and
// returns when it has left the link.
func (l *link) transmit(at time.Duration) time.Duration {
	l.freeAt = max(l.freeAt, at) + l.perChunk
	return l.freeAt
}

type node struct {
	index           int
	name            string
	zone            string
	region          string
	plan            *swarm.Plan
	inLink, outLink link
	queuedUploads   int
	finishedUploads int
	dead            bool
	started         bool
	completedAt     time.Duration
	messages        int
	messageBytes    int
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	*q = (*q)[:last]
	return item
}

type simulation struct {
	config         Config
	now            time.Duration
	events         queue
	seq            int
	nodes          []*node
	byName         map[string]*node
	originLink     link
	regionInLinks  map[string]*link
	regionOutLinks map[string]*link
	originChunks   int
	crossings      map[string][]int
	random         *rand.Rand
	decisionTime   time.Duration
	steps          int
	incomplete     int
}

var epoch = time.Unix(0, 0)

// DefaultPlan returns the default limits of a plan with the given number of
// extra copies.
func DefaultPlan(extraCopies float64) swarm.Config {
	return swarm.Config{
		MaxInFlight:          16,
		TakeoverDelay:        10 * time.Second,
		AlternateHolderDelay: 2 * time.Second,
		AskInterval:          2 * time.Second,
		InitialAskTimeout:    time.Second,
		InitialBackoff:       time.Second,
		ExtraCopies:          extraCopies,
	}
}

// DefaultConfig returns a distribution over the given number of instances in at
// most 8 zones of 3 regions. The origin's link has twice the rate of an
// instance's link.
func DefaultConfig(instances int, seed uint64) Config {
	const zones, regions = 8, 3
	return Config{
		Instances:     instances,
		Chunks:        512,
		Zones:         min(zones, instances),
		Regions:       min(regions, instances),
		Unit:          100 * time.Second,
		OriginCopies:  2,
		Plan:          DefaultPlan(0.1),
		MaxUploads:    64,
		MaxStartDelay: time.Second,
		Seed:          seed,
		TimeLimit:     4000 * time.Second,
	}
}

// Run simulates one distribution.
func Run(config Config) Result {
	r := &simulation{
		config:         config,
		byName:         map[string]*node{},
		regionInLinks:  map[string]*link{},
		regionOutLinks: map[string]*link{},
		crossings:      map[string][]int{},
		random:         rand.New(rand.NewPCG(config.Seed, 1)),
	}
	r.build()
	for len(r.events) > 0 && r.incomplete > 0 {
		next := heap.Pop(&r.events).(event)
		if next.at > config.TimeLimit {
			break
		}
		r.now = next.at
		next.run()
	}
	return r.result()
}

func (r *simulation) perChunk(copies float64) time.Duration {
	if copies == 0 {
		return 0
	}
	return time.Duration(float64(r.config.Unit) / copies / float64(r.config.Chunks))
}

func (r *simulation) build() {
	r.originLink = link{perChunk: r.perChunk(r.config.OriginCopies)}
	var members []swarm.Member
	for i := range r.config.Instances {
		z := i % r.config.Zones
		n := &node{
			index:   i,
			name:    fmt.Sprintf("instance-%04d", i),
			zone:    fmt.Sprintf("zone-%d", z),
			region:  fmt.Sprintf("region-%d", z%r.config.Regions),
			inLink:  link{perChunk: r.perChunk(1)},
			outLink: link{perChunk: r.perChunk(1)},
			dead:    r.random.Float64() < r.config.DeadShare,
		}
		r.nodes = append(r.nodes, n)
		r.byName[n.name] = n
		members = append(members, swarm.Member{Name: n.name, AvailabilityZone: n.zone, Region: n.region})
		if r.regionInLinks[n.region] == nil {
			r.regionInLinks[n.region] = &link{perChunk: r.perChunk(r.config.RegionCopies)}
			r.regionOutLinks[n.region] = &link{perChunk: r.perChunk(r.config.RegionCopies)}
		}
		if r.crossings[n.zone] == nil {
			r.crossings[n.zone] = make([]int, r.config.Chunks)
		}
	}
	layout := swarm.NewLayout(members)
	for _, n := range r.nodes {
		if !n.dead {
			r.incomplete++
			r.schedule(time.Duration(r.random.Float64()*float64(r.config.MaxStartDelay)), func() { r.startNode(n, layout) })
		}
	}
	if r.config.FailAt > 0 {
		r.schedule(r.config.FailAt, r.failNodes)
	}
}

func (r *simulation) failNodes() {
	for _, n := range r.nodes {
		if !n.dead && r.random.Float64() < r.config.FailShare {
			n.dead = true
			if n.completedAt == 0 {
				r.incomplete--
			}
		}
	}
}

func (r *simulation) startNode(n *node, layout *swarm.Layout) {
	config := r.config.Plan
	config.Self = n.name
	config.Seed = r.config.Seed*1000003 + uint64(n.index)
	n.plan = swarm.New(config, layout, r.config.Chunks, nil, epoch.Add(r.now))
	n.started = true
	r.stepPeriodically(n)
}

func (r *simulation) stepPeriodically(n *node) {
	if n.dead {
		return
	}
	r.step(n)
	if n.completedAt == 0 {
		r.schedule(r.now+tickInterval, func() { r.stepPeriodically(n) })
	}
}

func (r *simulation) schedule(at time.Duration, action func()) {
	r.seq++
	heap.Push(&r.events, event{at: at, seq: r.seq, run: action})
}

// step asks the plan of one node for its next actions and starts them.
func (r *simulation) step(n *node) {
	if n.dead || !n.started {
		return
	}
	start := time.Now()
	step := n.plan.Next(epoch.Add(r.now))
	r.decisionTime += time.Since(start)
	r.steps++
	for _, fetch := range step.Fetches {
		r.fetch(n, fetch)
	}
	for _, offer := range step.Offers {
		r.offer(n, offer)
	}
	for _, name := range step.Asks {
		r.ask(n, r.byName[name])
	}
	if n.completedAt == 0 && n.plan.Complete() {
		n.completedAt = r.now
		r.incomplete--
	}
}

func (r *simulation) countMessage(n *node, size int) {
	n.messages++
	n.messageBytes += size
}

func (r *simulation) offer(n *node, offer swarm.Offer) {
	r.countMessage(n, baseCallBytes+3*(len(offer.Chunks)+len(offer.OriginGrants)))
	to := r.byName[offer.To]
	if to.dead || !to.started {
		wait := latency
		if to.dead {
			wait = dialTimeout
		}
		r.schedule(r.now+wait, func() {
			n.plan.RecordOfferFailure(offer, !to.dead, epoch.Add(r.now))
			r.step(n)
		})
		return
	}
	r.schedule(r.now+latency, func() {
		if to.dead {
			return
		}
		start := time.Now()
		to.plan.RecordOffer(n.name, offer.Chunks, offer.OriginGrants, epoch.Add(r.now))
		r.decisionTime += time.Since(start)
		r.step(to)
	})
}

func (r *simulation) ask(n, to *node) {
	r.countMessage(n, baseCallBytes)
	if to.dead || !to.started {
		wait := 2 * latency
		if to.dead {
			wait = dialTimeout
		}
		r.schedule(r.now+wait, func() {
			n.plan.RecordAskFailure(to.name, !to.dead, epoch.Add(r.now))
			r.step(n)
		})
		return
	}
	r.countMessage(to, baseCallBytes+r.config.Chunks/8)
	to.plan.RecordParticipant(n.name)
	r.schedule(r.now+2*latency, func() {
		start := time.Now()
		n.plan.RecordAnswer(to.name, to.plan.Have(), epoch.Add(r.now))
		r.decisionTime += time.Since(start)
		r.step(n)
	})
}

func (r *simulation) finish(n *node, fetch swarm.Fetch, outcome swarm.Outcome, at time.Duration) {
	r.schedule(at, func() {
		if n.dead {
			return
		}
		if outcome == swarm.Verified && r.random.Float64() < r.config.CorruptShare {
			outcome = swarm.Corrupt
		}
		start := time.Now()
		n.plan.FinishFetch(fetch, outcome, epoch.Add(r.now))
		r.decisionTime += time.Since(start)
		r.step(n)
	})
}

func (r *simulation) fetch(n *node, fetch swarm.Fetch) {
	r.countMessage(n, baseCallBytes)
	if fetch.Source == swarm.Origin {
		r.fetchOrigin(n, fetch)
		return
	}
	from := r.byName[fetch.Source]
	switch {
	case from.dead:
		r.finish(n, fetch, swarm.Failed, r.now+dialTimeout)
	case !from.started || !from.plan.Have().Has(fetch.Chunk):
		r.finish(n, fetch, swarm.Absent, r.now+2*latency)
	case from.queuedUploads >= r.config.MaxUploads:
		r.finish(n, fetch, swarm.Busy, r.now+2*latency)
	default:
		r.transfer(n, from, fetch)
	}
}

func (r *simulation) fetchOrigin(n *node, fetch swarm.Fetch) {
	limit := r.config.OriginStopsAfter * float64(r.config.Chunks)
	if limit > 0 && float64(r.originChunks) >= limit {
		r.finish(n, fetch, swarm.Failed, r.now+2*latency)
		return
	}
	r.originChunks++
	r.crossings[n.zone][fetch.Chunk]++
	sentAt := r.originLink.transmit(r.now + latency)
	r.finish(n, fetch, swarm.Verified, n.inLink.transmit(max(r.now, sentAt-n.inLink.perChunk)))
}

// transfer moves a chunk through the links between two instances. Links are
// pipelined: each starts to receive the chunk while the link before it is still
// sending.
func (r *simulation) transfer(n, from *node, fetch swarm.Fetch) {
	from.queuedUploads++
	sentAt := from.outLink.transmit(r.now + latency)
	r.schedule(sentAt, func() {
		from.queuedUploads--
		from.finishedUploads++
		arrivedAt := sentAt
		if from.region != n.region {
			out, in := r.regionOutLinks[from.region], r.regionInLinks[n.region]
			arrivedAt = out.transmit(max(r.now, arrivedAt-out.perChunk))
			arrivedAt = in.transmit(max(r.now, arrivedAt-in.perChunk))
		}
		if from.zone != n.zone {
			r.crossings[n.zone][fetch.Chunk]++
		}
		r.finish(n, fetch, swarm.Verified, n.inLink.transmit(max(r.now, arrivedAt-n.inLink.perChunk)))
	})
}
