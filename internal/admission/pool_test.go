package admission_test

import (
	"math/rand/v2"
	"strconv"
	"time"

	"plantainrelay/internal/admission"
)

// poolConfig describes a pool whose slots several entries share.
type poolConfig struct {
	entries, slots int
	// runTime is the mean duration of a request.
	runTime time.Duration
	// waitTime is how long a request may wait, returnWaitTime the same for a caller that
	// has been rejected before and returns after returnAfter.
	waitTime, returnWaitTime, returnAfter time.Duration
	// slotsForLarge is the number of free slots that a large request needs, unless it is
	// relaxed.
	slotsForLarge int
	fairOrder     bool
	// exchange makes the entries tell each other their usage.
	exchange bool
	seed     uint64
}

// load is a stream of requests.
type load struct {
	customer string
	class    int
	// perSecond is the rate at a time; entry is the only entry that they reach, or -1.
	perSecond func(at time.Duration) float64
	entry     int
	// largePart is the part of the requests that are large.
	largePart float64
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// results counts callers.
type results struct {
	calls, served, onTime, rejectedTwice int
	// passed counts the callers that were rejected twice although fresh ones of their class
	// and entry were started in the second half of their last wait.
	passed int
	// large callers of them.
	largeCalls, largeServed int
}

func (r results) share() float64      { return float64(r.served) / float64(max(r.calls, 1)) }
func (r results) largeShare() float64 { return float64(r.largeServed) / float64(max(r.largeCalls, 1)) }

type simulatedRequest struct {
	load      *load
	isLarge   bool
	returning bool
	entry     int
	queuedAt  time.Time
	waits     time.Duration
	measured  bool
	runs      time.Duration
}

type scheduled struct {
	at      time.Time
	request *simulatedRequest
}

// simulatedPool plays callers, entries and slots on a virtual clock.
type simulatedPool struct {
	config   poolConfig
	random   *rand.Rand
	queues   []*admission.Queue
	free     int
	lastID   uint64
	requests map[uint64]*simulatedRequest
	running  []scheduled
	returns  []scheduled
	// freshStart holds the last start of a first attempt by entry and class.
	freshStart map[[2]int]time.Time
	results    map[*load]*results
	sheds      map[admission.Reason]int
	onStep     func(p *simulatedPool, at time.Duration, now time.Time)
}

const (
	simulationStep = 5 * time.Millisecond
	// exchangeInterval and exchangeDelay are those of the messages between entries.
	exchangeInterval = 200 * time.Millisecond
	exchangeDelay    = 20 * time.Millisecond
	topCustomers     = 4
	// slotsPerInstance is the number of slots of which one is left by requests that yield.
	slotsPerInstance = 12
)

func newPool(config poolConfig) *simulatedPool {
	p := &simulatedPool{config: config, random: rand.New(rand.NewPCG(config.seed, 7)), free: config.slots, requests: map[uint64]*simulatedRequest{}, freshStart: map[[2]int]time.Time{}, results: map[*load]*results{}, sheds: map[admission.Reason]int{}}
	for range config.entries {
		p.queues = append(p.queues, admission.New(admission.Config{MaxQueued: 256, MaxPerCustomer: 256, MaxWait: time.Minute, FairOrder: config.fairOrder, MaxPeerAge: maxPeerAge}))
	}
	return p
}

// run plays the loads, and counts the callers that come after warmUp.
func (p *simulatedPool) run(loads []*load, warmUp, duration time.Duration) {
	for _, l := range loads {
		p.results[l] = &results{}
	}
	for at := time.Duration(0); at < duration; at += simulationStep {
		now := epoch.Add(at)
		if p.onStep != nil {
			p.onStep(p, at, now)
		}
		if p.config.exchange && at%exchangeInterval == exchangeDelay {
			p.exchangeUsage(now.Add(-exchangeDelay), now)
		}
		p.endRuns(now)
		p.offerReturns(now)
		for _, l := range loads {
			for rate := l.perSecond(at) * simulationStep.Seconds(); rate > 0; rate-- {
				if p.random.Float64() < rate {
					p.offerNew(l, at >= warmUp && at < duration-5*time.Second, now)
				}
			}
		}
		for _, entry := range p.random.Perm(len(p.queues)) {
			if p.queues[entry].Queued() > 0 {
				p.dispatch(entry, now)
			}
		}
	}
}

// exchangeUsage delivers the usage of each entry to the others.
func (p *simulatedPool) exchangeUsage(composedAt, now time.Time) {
	for sender, queue := range p.queues {
		usage, contended := queue.Usage(topCustomers, now)
		if !contended {
			usage.Class = admission.NoClass
		}
		for receiver, other := range p.queues {
			if receiver != sender {
				other.RecordPeerUsage(strconv.Itoa(sender), usage, composedAt)
			}
		}
	}
}

func (p *simulatedPool) endRuns(now time.Time) {
	kept := p.running[:0]
	for _, run := range p.running {
		if now.Before(run.at) {
			kept = append(kept, run)
			continue
		}
		p.free++
		p.queues[run.request.entry].RequestFinished(run.request.load.customer, "r", run.request.runs)
	}
	p.running = kept
}

func (p *simulatedPool) offerReturns(now time.Time) {
	waiting := p.returns
	p.returns = nil
	for _, back := range waiting {
		if now.Before(back.at) {
			p.returns = append(p.returns, back)
		} else {
			p.offer(back.request, now)
		}
	}
}

func (p *simulatedPool) offerNew(l *load, measured bool, now time.Time) {
	entry := l.entry
	if entry < 0 {
		entry = p.random.IntN(len(p.queues))
	}
	request := &simulatedRequest{load: l, entry: entry, isLarge: p.random.Float64() < l.largePart, measured: measured, runs: time.Duration((0.5 + p.random.Float64()) * float64(p.config.runTime))}
	if measured {
		p.results[l].calls++
		if request.isLarge {
			p.results[l].largeCalls++
		}
	}
	p.offer(request, now)
}

func (p *simulatedPool) offer(request *simulatedRequest, now time.Time) {
	p.lastID++
	request.queuedAt, request.waits = now, p.config.waitTime
	if request.returning {
		request.waits = p.config.returnWaitTime
	}
	p.requests[p.lastID] = request
	size := 100 + p.random.IntN(800)
	if request.isLarge {
		size = 4000 + p.random.IntN(1000)
	}
	p.shed(request.entry, p.queues[request.entry].Offer(admission.Ticket{
		ID: p.lastID, Customer: request.load.customer, Route: "r", Class: request.load.class, Retry: request.returning, Size: size,
		Deadline: now.Add(time.Minute), StartBy: now.Add(request.waits),
	}, now), now)
	p.dispatch(request.entry, now)
}

func (p *simulatedPool) dispatch(entry int, now time.Time) {
	for {
		id, found, shed := p.queues[entry].NextFair(func(id uint64, terms admission.Terms) bool {
			needed := 1
			if p.requests[id].isLarge && terms != admission.Relaxed {
				needed = max(p.config.slotsForLarge, 1)
			}
			if terms == admission.Yielding {
				needed += p.config.slots / slotsPerInstance
			}
			return p.free >= needed
		}, now)
		p.shed(entry, shed, now)
		if !found {
			return
		}
		request := p.requests[id]
		delete(p.requests, id)
		p.free--
		if !request.returning {
			p.freshStart[[2]int{entry, request.load.class}] = now
		}
		p.running = append(p.running, scheduled{at: now.Add(request.runs), request: request})
		p.count(request, true, now)
	}
}

func (p *simulatedPool) shed(entry int, shed []admission.Shed, now time.Time) {
	for _, one := range shed {
		request := p.requests[one.ID]
		delete(p.requests, one.ID)
		p.sheds[one.Reason]++
		if request.returning {
			p.count(request, false, now)
			continue
		}
		request.returning = true
		request.entry = entry
		p.returns = append(p.returns, scheduled{at: now.Add(p.config.returnAfter), request: request})
	}
}

func (p *simulatedPool) count(request *simulatedRequest, served bool, now time.Time) {
	if !request.measured {
		return
	}
	r := p.results[request.load]
	if !served {
		r.rejectedTwice++
		if fresh := p.freshStart[[2]int{request.entry, request.load.class}]; now.Sub(request.queuedAt) >= request.waits && fresh.After(request.queuedAt.Add(request.waits/2)) {
			r.passed++
		}
		return
	}
	r.served++
	if !request.returning {
		r.onTime++
	}
	if request.isLarge {
		r.largeServed++
	}
}
