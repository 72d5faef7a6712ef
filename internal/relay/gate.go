package relay

import (
	"context"
	"sync"
	"time"

	"plantainrelay/internal/admission"
	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/ring"
)

const (
	// maxQueued bounds the waiting requests of one pool at one entry.
	maxQueued = 256
	// pumpInterval is the time between two looks at waiting requests, which may
	// go on when other entries' requests have ended; idleInterval the same while
	// none waits.
	pumpInterval = 15 * time.Millisecond
	idleInterval = 150 * time.Millisecond
	// minReturn is the shortest time after which a rejected caller may return.
	minReturn = 250 * time.Millisecond
	// maxReturn and returnShare, a part of the time that a caller has left, bound
	// the return: callers wait no longer than that part. While no instance is usable
	// it is the return itself: a caller comes back once, and the later it does, the
	// more likely it is served.
	maxReturn   = 2 * time.Second
	returnShare = 1.0 / 3
	// calmTime without a rejection ends an overload of a pool; lasting is the age
	// from which one is expected to last.
	calmTime = time.Second
	lasting  = 500 * time.Millisecond
)

// ticket is a request that asks for a place.
type ticket struct {
	admission.Ticket
	need placement.Need
	// placed receives the choice; it is closed when the request is shed.
	placed     chan placement.Choice
	retryAfter time.Duration
}

// retryLimits bound the repeated attempts of all entries together.
type retryLimits struct {
	window       time.Duration
	ratio, slack float64
}

// gate joins the view of the instances with the queues of waiting requests. It
// is safe for concurrent use.
type gate struct {
	mu      sync.Mutex
	fleet   *placement.Fleet
	queues  map[string]*admission.Queue
	tickets map[uint64]*ticket
	nextID  uint64
	budgets map[string]*dispatch.WindowBudget
	retries retryLimits
	entries int
	// slackFrom is when this entry may use its part of the slack: it does not know
	// what was repeated in the window before its start, nor at first how many
	// entries share the slack.
	slackFrom time.Time
	// overloads holds the overloads under way by pool.
	overloads map[string]*overload
	// queued receives a value when a request begins to wait.
	queued chan struct{}
	// moved is told of each instance where this entry's load has changed; begun
	// says that a request was placed there, which others have to know at once.
	moved func(id string, begun bool)
}

func newGate(fleet *placement.Fleet, retries retryLimits) *gate {
	return &gate{
		fleet: fleet, queues: map[string]*admission.Queue{}, tickets: map[uint64]*ticket{}, budgets: map[string]*dispatch.WindowBudget{},
		retries: retries, entries: 1, queued: make(chan struct{}, 1), overloads: map[string]*overload{}, moved: func(string, bool) {},
	}
}

// rejection says that a request got no place.
type rejection struct {
	retryAfter time.Duration
	reason     string
}

// enter waits for a place. It returns a rejection when the request is shed or
// ctx ends first.
func (g *gate) enter(ctx context.Context, t *ticket) (placement.Choice, *rejection) {
	g.mu.Lock()
	now := clock.Now()
	g.nextID++
	t.ID = g.nextID
	t.placed = make(chan placement.Choice, 1)
	g.tickets[t.ID] = t
	g.shed(g.queue(t.need.Pool).Offer(t.Ticket, now), now)
	g.pump(t.need.Pool, now)
	waits := g.tickets[t.ID] != nil
	g.mu.Unlock()
	if waits {
		ring.Wake(g.queued)
	}
	return g.await(ctx, t)
}

func (g *gate) await(ctx context.Context, t *ticket) (placement.Choice, *rejection) {
	select {
	case choice, ok := <-t.placed:
		if ok {
			return choice, nil
		}
		return placement.Choice{}, &rejection{retryAfter: t.retryAfter, reason: "overload"}
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue(t.need.Pool).Cancel(t.ID) {
		delete(g.tickets, t.ID)
		return placement.Choice{}, &rejection{retryAfter: minReturn, reason: "overload"}
	}
	// The place was given at the same moment.
	choice, ok := <-t.placed
	if !ok {
		return placement.Choice{}, &rejection{retryAfter: t.retryAfter, reason: "overload"}
	}
	return choice, nil
}

func (g *gate) queue(pool string) *admission.Queue {
	if g.queues[pool] == nil {
		g.queues[pool] = admission.New(admission.Config{MaxQueued: maxQueued, MaxPerCustomer: maxQueued, MaxWait: time.Minute})
	}
	return g.queues[pool]
}

// pump gives free places to waiting requests. The caller holds mu.
func (g *gate) pump(pool string, now time.Time) {
	queue := g.queue(pool)
	for queue.Waiting() > 0 {
		free := 0
		if g.anyFree(pool, now) {
			free = 1
		}
		start, shed := queue.Next(free, now)
		g.shed(shed, now)
		if len(start) == 0 {
			return
		}
		g.start(start[0], now)
	}
}

// anyFree reports whether some waiting request of the pool finds a place.
func (g *gate) anyFree(pool string, now time.Time) bool {
	for _, t := range g.tickets {
		if t.need.Pool == pool && g.fleet.Free(t.need, now) > 0 {
			return true
		}
	}
	return false
}

func (g *gate) start(id uint64, now time.Time) {
	t := g.tickets[id]
	delete(g.tickets, id)
	choice, found := g.fleet.Choose(t.need, now)
	if !found {
		t.retryAfter = minReturn
		g.queue(t.need.Pool).Finished(t.Customer, t.Route, 0)
		close(t.placed)
		return
	}
	g.moved(choice.Backend.ID, true)
	t.placed <- choice
}

// began records that an answer has begun.
func (g *gate) began(choice placement.Choice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.Began(choice)
	g.moved(choice.Backend.ID, false)
}

// shed rejects requests. While no instance is usable at all, callers are told to
// return when one may be again.
func (g *gate) shed(shed []admission.Shed, now time.Time) {
	for _, one := range shed {
		t := g.tickets[one.ID]
		delete(g.tickets, one.ID)
		most := max(min(time.Duration(returnShare*float64(t.Deadline.Sub(now))), maxReturn), minReturn)
		t.retryAfter = most
		if count, _ := g.fleet.Usable(t.need, now); count > 0 {
			t.retryAfter = min(max(one.RetryAfter, g.overloadAge(t.need.Pool, now), minReturn), most)
		}
		close(t.placed)
	}
}

// overload is a time in which requests of a pool are rejected again and again.
type overload struct {
	since, last time.Time
}

// overloadAge returns how long the pool's overload has lasted, which is also how
// long it is expected to last on.
func (g *gate) overloadAge(pool string, now time.Time) time.Duration {
	current := g.overloads[pool]
	if current == nil || now.Sub(current.last) > calmTime {
		current = &overload{since: now}
		g.overloads[pool] = current
	}
	current.last = now
	return now.Sub(current.since)
}

// overloaded reports whether requests of the pool have been rejected for a while.
func (g *gate) overloaded(pool string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	current, now := g.overloads[pool], clock.Now()
	return current != nil && now.Sub(current.last) <= calmTime && now.Sub(current.since) >= lasting
}

// leave records the end of an attempt that enter has placed.
func (g *gate) leave(t *ticket, choice placement.Choice, result placement.Result, ran time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	g.fleet.Finished(choice, result, now)
	g.moved(choice.Backend.ID, false)
	g.queue(t.need.Pool).Finished(t.Customer, t.Route, ran)
	g.pump(t.need.Pool, now)
}

// Run looks after the waiting requests until ctx ends.
func (g *gate) Run(ctx context.Context) {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.queued:
		}
		timer.Reset(g.lookAfter())
	}
}

// lookAfter looks after all queues and returns the time until the next look.
func (g *gate) lookAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	g.fleet.Expire(now)
	for pool := range g.queues {
		g.pump(pool, now)
	}
	if len(g.tickets) > 0 {
		return pumpInterval
	}
	return idleInterval
}

// requested counts a request for the retry budget of its pool.
func (g *gate) requested(pool string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(pool).Request(clock.Now())
}

// mayRepeat reports whether one more attempt is within the retry budget, and
// counts it.
func (g *gate) mayRepeat(pool string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(pool).Retry(clock.Now())
}

func (g *gate) budget(pool string) *dispatch.WindowBudget {
	if g.budgets[pool] == nil {
		g.budgets[pool] = dispatch.NewWindowBudget(g.retries.window, g.retries.ratio, g.slack(clock.Now()))
	}
	return g.budgets[pool]
}

func (g *gate) setList(backends []catalog.Backend, keepUntil, now time.Time) []placement.Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.SetList(backends, keepUntil, now)
}

func (g *gate) reported(host string, report placement.AgentReport, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.Reported(host, report, now)
}

func (g *gate) peerLoads(peer string, loads map[string]placement.Load, whole bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.PeerLoads(peer, loads, whole, now)
}

func (g *gate) ownLoads() map[string]placement.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.OwnLoads()
}

func (g *gate) ownLoad(id string) placement.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.OwnLoad(id)
}

// slack returns this entry's part of the fixed repeats. The caller holds mu.
func (g *gate) slack(now time.Time) float64 {
	if now.Before(g.slackFrom) {
		return 0
	}
	return g.retries.slack / float64(g.entries)
}

// setRetries replaces the bounds on repeated attempts. What was repeated stays
// counted when they are the same.
func (g *gate) setRetries(retries retryLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if retries != g.retries {
		g.retries = retries
		clear(g.budgets)
	}
}

// setEntries records how many entries share the retry budget.
func (g *gate) setEntries(count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entries = count
	slack := g.slack(clock.Now())
	for _, budget := range g.budgets {
		budget.SetSlack(slack)
	}
}

// engineHosts returns the IPs of the instances with model engines in an
// availability zone, or in all when zone is empty.
func (g *gate) engineHosts(zone string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.EngineHosts(zone)
}
