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
	// maxQueued bounds the queued requests of one pool at one entry.
	maxQueued = 256
	// waitingInterval is the time between two attempts to place queued requests, which
	// may become possible when requests of other entries end; idleInterval is the same
	// while the queues are empty.
	waitingInterval = 15 * time.Millisecond
	idleInterval    = 150 * time.Millisecond
	// minRetryAfter is the shortest Retry-After of a rejected request.
	minRetryAfter = 250 * time.Millisecond
	// maxRetryAfter and retryAfterShare, a share of the caller's remaining time, bound
	// the Retry-After from above: callers wait no longer than that share. While no
	// instance is usable, the bound itself is used: a caller retries only once, and a
	// later retry is more likely to be served.
	maxRetryAfter   = 2 * time.Second
	retryAfterShare = 1.0 / 3
	// overloadEndAfter is the time without a rejection after which an overload of a
	// pool has ended; minLastingOverload is the age from which an overload is expected
	// to last.
	overloadEndAfter   = time.Second
	minLastingOverload = 500 * time.Millisecond
)

// ticket is a request that asks for a slot.
type ticket struct {
	admission.Ticket
	need placement.Need
	// placed receives the chosen instance; it is closed when the request is shed.
	placed     chan placement.Choice
	retryAfter time.Duration
}

// retryLimits bound the retries of all entries together.
type retryLimits struct {
	window       time.Duration
	ratio, slack float64
}

// scheduler places queued requests on instances: it combines the admission queues with
// the state of the fleet. It is safe for concurrent use.
type scheduler struct {
	mu           sync.Mutex
	fleet        *placement.Fleet
	queues       map[string]*admission.Queue
	tickets      map[uint64]*ticket
	nextID       uint64
	retryBudgets map[string]*dispatch.WindowBudget
	retryLimits  retryLimits
	entryCount   int
	// retrySlackFrom is when this entry may start to use its share of the slack. Before
	// that it knows neither what was retried in the window before its start nor, at
	// first, how many entries share the slack.
	retrySlackFrom time.Time
	// overloads holds the current overload of each pool.
	overloads map[string]*overload
	// requestQueued receives a value when a request starts to wait.
	requestQueued chan struct{}
	// loadChanged is called for each instance where this entry's load has changed;
	// begun means that a request was placed there, which other entries must learn
	// immediately.
	loadChanged func(id string, begun bool)
}

func newScheduler(fleet *placement.Fleet, retries retryLimits) *scheduler {
	return &scheduler{
		fleet: fleet, queues: map[string]*admission.Queue{}, tickets: map[uint64]*ticket{}, retryBudgets: map[string]*dispatch.WindowBudget{},
		retryLimits: retries, entryCount: 1, requestQueued: make(chan struct{}, 1), overloads: map[string]*overload{}, loadChanged: func(string, bool) {},
	}
}

// rejection describes why a request got no slot.
type rejection struct {
	retryAfter time.Duration
	reason     string
}

// acquire waits for a slot. It returns a rejection when the request is shed or when ctx
// ends first.
func (g *scheduler) acquire(ctx context.Context, t *ticket) (placement.Choice, *rejection) {
	g.mu.Lock()
	now := clock.Now()
	g.nextID++
	t.ID = g.nextID
	t.placed = make(chan placement.Choice, 1)
	g.tickets[t.ID] = t
	g.shed(g.queue(t.need.Pool).Offer(t.Ticket, now), now)
	g.dispatchWaiting(t.need.Pool, now)
	isWaiting := g.tickets[t.ID] != nil
	g.mu.Unlock()
	if isWaiting {
		ring.Wake(g.requestQueued)
	}
	return g.awaitSlot(ctx, t)
}

func (g *scheduler) awaitSlot(ctx context.Context, t *ticket) (placement.Choice, *rejection) {
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
		return placement.Choice{}, &rejection{retryAfter: minRetryAfter, reason: "overload"}
	}
	// The request was placed or shed at the same time.
	choice, ok := <-t.placed
	if !ok {
		return placement.Choice{}, &rejection{retryAfter: t.retryAfter, reason: "overload"}
	}
	return choice, nil
}

func (g *scheduler) queue(pool string) *admission.Queue {
	if g.queues[pool] == nil {
		g.queues[pool] = admission.New(admission.Config{MaxQueued: maxQueued, MaxPerCustomer: maxQueued, MaxWait: time.Minute})
	}
	return g.queues[pool]
}

// dispatchWaiting assigns free slots to queued requests. The caller holds mu.
func (g *scheduler) dispatchWaiting(pool string, now time.Time) {
	queue := g.queue(pool)
	for queue.Waiting() > 0 {
		free := 0
		if g.hasFreeSlot(pool, now) {
			free = 1
		}
		start, shed := queue.Next(free, now)
		g.shed(shed, now)
		if len(start) == 0 {
			return
		}
		g.place(start[0], now)
	}
}

// hasFreeSlot reports whether a slot is free for any queued request of the pool.
func (g *scheduler) hasFreeSlot(pool string, now time.Time) bool {
	for _, t := range g.tickets {
		if t.need.Pool == pool && g.fleet.Free(t.need, now) > 0 {
			return true
		}
	}
	return false
}

func (g *scheduler) place(id uint64, now time.Time) {
	t := g.tickets[id]
	delete(g.tickets, id)
	choice, found := g.fleet.Choose(t.need, now)
	if !found {
		t.retryAfter = minRetryAfter
		g.queue(t.need.Pool).Finished(t.Customer, t.Route, 0)
		close(t.placed)
		return
	}
	g.loadChanged(choice.Backend.ID, true)
	t.placed <- choice
}

// responseStarted records that a response has started.
func (g *scheduler) responseStarted(choice placement.Choice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.Began(choice)
	g.loadChanged(choice.Backend.ID, false)
}

// shed rejects requests. While no instance is usable, callers are asked to retry when
// one may be usable again.
func (g *scheduler) shed(rejected []admission.Shed, now time.Time) {
	for _, one := range rejected {
		t := g.tickets[one.ID]
		delete(g.tickets, one.ID)
		maxDelay := max(min(time.Duration(retryAfterShare*float64(t.Deadline.Sub(now))), maxRetryAfter), minRetryAfter)
		t.retryAfter = maxDelay
		if count, _ := g.fleet.Usable(t.need, now); count > 0 {
			t.retryAfter = min(max(one.RetryAfter, g.extendOverload(t.need.Pool, now), minRetryAfter), maxDelay)
		}
		close(t.placed)
	}
}

// overload is a period in which requests of a pool are repeatedly rejected.
type overload struct {
	since, lastRejection time.Time
}

// extendOverload records a rejection and returns how long the pool's overload has
// lasted. The overload is expected to continue for the same time.
func (g *scheduler) extendOverload(pool string, now time.Time) time.Duration {
	current := g.overloads[pool]
	if current == nil || now.Sub(current.lastRejection) > overloadEndAfter {
		current = &overload{since: now}
		g.overloads[pool] = current
	}
	current.lastRejection = now
	return now.Sub(current.since)
}

// isOverloaded reports whether the pool's current overload has lasted for at least
// minLastingOverload.
func (g *scheduler) isOverloaded(pool string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	current, now := g.overloads[pool], clock.Now()
	return current != nil && now.Sub(current.lastRejection) <= overloadEndAfter && now.Sub(current.since) >= minLastingOverload
}

// release records the end of an attempt that acquire has placed.
func (g *scheduler) release(t *ticket, choice placement.Choice, result placement.Result, duration time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	g.fleet.Finished(choice, result, now)
	g.loadChanged(choice.Backend.ID, false)
	g.queue(t.need.Pool).Finished(t.Customer, t.Route, duration)
	g.dispatchWaiting(t.need.Pool, now)
}

// Run places queued requests until ctx ends.
func (g *scheduler) Run(ctx context.Context) {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.requestQueued:
		}
		timer.Reset(g.dispatchAll())
	}
}

// dispatchAll places queued requests of all pools and returns the time until the next
// call.
func (g *scheduler) dispatchAll() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	g.fleet.Expire(now)
	for pool := range g.queues {
		g.dispatchWaiting(pool, now)
	}
	if len(g.tickets) > 0 {
		return waitingInterval
	}
	return idleInterval
}

// countRequest counts a request towards the retry budget of its pool.
func (g *scheduler) countRequest(pool string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(pool).Request(clock.Now())
}

// takeRetry reports whether the retry budget allows one more attempt, and counts it.
func (g *scheduler) takeRetry(pool string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget(pool).Retry(clock.Now())
}

func (g *scheduler) retryBudget(pool string) *dispatch.WindowBudget {
	if g.retryBudgets[pool] == nil {
		g.retryBudgets[pool] = dispatch.NewWindowBudget(g.retryLimits.window, g.retryLimits.ratio, g.retrySlackShare(clock.Now()))
	}
	return g.retryBudgets[pool]
}

func (g *scheduler) setList(backends []catalog.Backend, keepUntil, now time.Time) []placement.Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.SetList(backends, keepUntil, now)
}

func (g *scheduler) recordAgentReport(host string, report placement.AgentReport, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.Reported(host, report, now)
}

func (g *scheduler) recordPeerLoads(peer string, loads map[string]placement.Load, complete bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.PeerLoads(peer, loads, complete, now)
}

func (g *scheduler) ownLoads() map[string]placement.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.OwnLoads()
}

func (g *scheduler) ownLoad(id string) placement.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.OwnLoad(id)
}

// retrySlackShare returns this entry's share of the retry slack, the retries allowed
// regardless of the number of requests. The caller holds mu.
func (g *scheduler) retrySlackShare(now time.Time) float64 {
	if now.Before(g.retrySlackFrom) {
		return 0
	}
	return g.retryLimits.slack / float64(g.entryCount)
}

// setRetryLimits replaces the bounds on retries. The counts are kept when the bounds
// are unchanged.
func (g *scheduler) setRetryLimits(retries retryLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if retries != g.retryLimits {
		g.retryLimits = retries
		clear(g.retryBudgets)
	}
}

// setEntryCount records how many entries share the retry budget.
func (g *scheduler) setEntryCount(count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entryCount = count
	slack := g.retrySlackShare(clock.Now())
	for _, budget := range g.retryBudgets {
		budget.SetSlack(slack)
	}
}

// engineHosts returns the IPs of the instances with model engines in an
// availability zone, or in all when zone is empty.
func (g *scheduler) engineHosts(zone string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.EngineHosts(zone)
}
