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
	// shortOverload is the age up to which an overload may be the return after an
	// outage, whose queues soon empty.
	shortOverload = 3 * time.Second
)

// ticket is a request that asks for a slot.
type ticket struct {
	admission.Ticket
	need placement.Requirements
	// maxReturnWait bounds the wait of a returning caller.
	maxReturnWait time.Duration
	// placed receives the chosen instance; it is closed when the request is shed.
	placed     chan placement.Choice
	retryAfter time.Duration
	// reason is why the request was shed, shedFor the same in the terms of the queue.
	reason  string
	shedFor admission.Reason
	// isRejectable means that the request has certainly not run.
	isRejectable bool
	// restrict updates the requirements by the tables in force; nil when it has none to
	// update. It is called with the scheduler's mu held.
	restrict func(*placement.Requirements)
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
	slackSharers slackSharers
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
	// minVersion returns the oldest version of a model's weights that may start a request.
	minVersion func(model string, now time.Time) int64
	// ordersFairly reports whether the order of a pool's queue is refined (admission.Config).
	ordersFairly func(pool string) bool
	// backendExpired is called for each instance that was missing from the list and is
	// no longer kept.
	backendExpired func(placement.Change)
	// requestShed is called for each request that the queue sheds.
	requestShed func(class int, reason admission.Reason)
}

func newScheduler(fleet *placement.Fleet, retries retryLimits) *scheduler {
	return &scheduler{
		fleet: fleet, queues: map[string]*admission.Queue{}, tickets: map[uint64]*ticket{}, retryBudgets: map[string]*dispatch.WindowBudget{},
		retryLimits: retries, slackSharers: slackSharers{count: 1}, requestQueued: make(chan struct{}, 1), overloads: map[string]*overload{}, loadChanged: func(string, bool) {},
		ordersFairly: func(string) bool { return true }, backendExpired: func(placement.Change) {}, requestShed: func(int, admission.Reason) {}, minVersion: func(string, time.Time) int64 { return 0 },
	}
}

// The reasons why a request gets no slot.
const (
	reasonOverload      = "overload"
	reasonInstancesWait = "instances_wait"
)

// rejection describes why a request got no slot.
type rejection struct {
	retryAfter time.Duration
	reason     string
	// shedFor is why the queue has shed the request, if it has.
	shedFor admission.Reason
}

// acquire waits for a slot. It returns a rejection when the request is shed or when ctx
// ends first.
func (s *scheduler) acquire(ctx context.Context, t *ticket) (placement.Choice, *rejection) {
	if isWaiting := s.enqueue(t); isWaiting {
		ring.Notify(s.requestQueued)
	}
	return s.awaitSlot(ctx, t)
}

// enqueue queues a request, and places it at once if a slot is free. It reports whether the
// request waits.
func (s *scheduler) enqueue(t *ticket) (isWaiting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.nextID++
	t.ID = s.nextID
	t.placed, t.reason = make(chan placement.Choice, 1), reasonOverload
	s.tickets[t.ID] = t
	s.updateNeed(t, now)
	s.extendQueueTime(t, now)
	if s.rejectWithoutHome(t, now) {
		return false
	}
	s.shed(s.queue(t.need.Pool).Offer(t.Ticket, now), now)
	s.dispatchWaiting(t.need.Pool, now)
	return s.tickets[t.ID] != nil
}

// extendQueueTime lets a returning caller wait longer while no instance is usable, or
// while the pool's overload is short, as after an outage: callers do not return twice.
func (s *scheduler) extendQueueTime(t *ticket, now time.Time) {
	if !t.Retry {
		return
	}
	if count, _ := s.fleet.Usable(t.need, now); count > 0 && s.overloadAge(t.need.Pool, now) > shortOverload {
		return
	}
	if startBy := now.Add(min(t.maxReturnWait, maxReturnDelay(t, now))); startBy.After(t.StartBy) {
		t.StartBy = startBy
	}
}

// overloadAge returns how long the current overload of a pool has lasted.
func (s *scheduler) overloadAge(pool string, now time.Time) time.Duration {
	current := s.overloads[pool]
	if current == nil || now.Sub(current.lastRejection) > overloadEndAfter {
		return 0
	}
	return now.Sub(current.since)
}

// maxReturnDelay returns the longest time after which a caller is asked to return.
func maxReturnDelay(t *ticket, now time.Time) time.Duration {
	return max(min(time.Duration(retryAfterShare*float64(t.Deadline.Sub(now))), maxRetryAfter), minRetryAfter)
}

func (s *scheduler) awaitSlot(ctx context.Context, t *ticket) (placement.Choice, *rejection) {
	select {
	case choice, ok := <-t.placed:
		if ok {
			return choice, nil
		}
		return placement.Choice{}, t.rejection()
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue(t.need.Pool).Cancel(t.ID) {
		delete(s.tickets, t.ID)
		return placement.Choice{}, &rejection{retryAfter: minRetryAfter, reason: reasonOverload}
	}
	// The request was placed or shed at the same time.
	choice, ok := <-t.placed
	if !ok {
		return placement.Choice{}, t.rejection()
	}
	return choice, nil
}

func (t *ticket) rejection() *rejection {
	return &rejection{retryAfter: t.retryAfter, reason: t.reason, shedFor: t.shedFor}
}

func (s *scheduler) queue(pool string) *admission.Queue {
	if s.queues[pool] == nil {
		s.queues[pool] = admission.New(admission.Config{MaxQueued: maxQueued, MaxPerCustomer: maxQueued, MaxWait: time.Minute, FairOrder: s.ordersFairly(pool), MaxPeerAge: maxPeerLoadAge})
	}
	return s.queues[pool]
}

// dispatchWaiting assigns free slots to queued requests. The caller holds mu.
func (s *scheduler) dispatchWaiting(pool string, now time.Time) {
	queue := s.queue(pool)
	queue.SetFairOrder(s.ordersFairly(pool))
	s.rejectWhileAllWait(pool, now)
	for queue.Queued() > 0 {
		id, found, shed := queue.NextFair(func(id uint64, terms admission.Terms) bool { return s.isStartable(s.tickets[id], terms, now) }, now)
		s.shed(shed, now)
		if !found {
			return
		}
		s.place(id, now)
	}
}

// updateNeed applies the bounds that have ended, and the home regions that have changed, while
// a request was queued. The caller holds mu.
func (s *scheduler) updateNeed(t *ticket, now time.Time) {
	if t.restrict != nil {
		t.restrict(&t.need)
	}
	if t.need.Model != "" {
		t.need.MinVersion = s.minVersion(t.need.Model, now)
	}
}

func (s *scheduler) place(id uint64, now time.Time) {
	t := s.tickets[id]
	delete(s.tickets, id)
	choice, found := s.fleet.Choose(t.need, now)
	if !found {
		t.retryAfter = minRetryAfter
		s.queue(t.need.Pool).StartFailed(t.Customer)
		close(t.placed)
		return
	}
	s.loadChanged(choice.Backend.ID, true)
	t.placed <- choice
}

// responseStarted records that a response has started.
func (s *scheduler) responseStarted(choice placement.Choice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.ResponseStarted(choice)
	s.loadChanged(choice.Backend.ID, false)
}

// promptProcessed records that the instance has begun a response with success, for which it has
// read the whole prompt.
func (s *scheduler) promptProcessed(choice placement.Choice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.PromptProcessed(choice, clock.Now())
}

// shed rejects requests. While no instance is usable, callers are asked to retry when
// one may be usable again.
func (s *scheduler) shed(rejected []admission.Shed, now time.Time) {
	for _, one := range rejected {
		t := s.tickets[one.ID]
		delete(s.tickets, one.ID)
		maxDelay := maxReturnDelay(t, now)
		t.retryAfter, t.shedFor = maxDelay, one.Reason
		s.requestShed(t.Class, one.Reason)
		if count, _ := s.fleet.Usable(t.need, now); count > 0 {
			t.retryAfter = min(max(one.RetryAfter, s.extendOverload(t.need.Pool, now), minRetryAfter), maxDelay)
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
func (s *scheduler) extendOverload(pool string, now time.Time) time.Duration {
	current := s.overloads[pool]
	if current == nil || now.Sub(current.lastRejection) > overloadEndAfter {
		current = &overload{since: now}
		s.overloads[pool] = current
	}
	current.lastRejection = now
	return now.Sub(current.since)
}

// isOverloaded reports whether the pool's current overload has lasted for at least
// minLastingOverload.
func (s *scheduler) isOverloaded(pool string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overloadAge(pool, clock.Now()) >= minLastingOverload
}

// release records the end of an attempt that acquire has placed.
func (s *scheduler) release(t *ticket, choice placement.Choice, result placement.Result, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.fleet.AttemptFinished(choice, result, now)
	s.loadChanged(choice.Backend.ID, false)
	s.queue(t.need.Pool).RequestFinished(t.Customer, t.Route, duration)
	s.dispatchWaiting(t.need.Pool, now)
}

// Run places queued requests until ctx ends.
func (s *scheduler) Run(ctx context.Context) {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.requestQueued:
		}
		timer.Reset(s.dispatchAll())
	}
}

// dispatchAll places queued requests of all pools and returns the time until the next
// call.
func (s *scheduler) dispatchAll() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	for _, change := range s.fleet.Expire(now) {
		s.backendExpired(change)
	}
	s.rejectAllWithoutHome(now)
	for pool := range s.queues {
		s.dispatchWaiting(pool, now)
	}
	if len(s.tickets) > 0 {
		return waitingInterval
	}
	return idleInterval
}

// countRequest counts a request towards the retry budget of its pool.
func (s *scheduler) countRequest(pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(pool).RecordRequest(clock.Now())
}

// takeRetry reports whether the retry budget allows one more attempt, and counts it.
func (s *scheduler) takeRetry(pool string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget(pool).TryRetry(clock.Now())
}

// renewRetry takes a retry now instead of one that was taken before, and reports whether the
// budget allows it. The earlier one is returned in any case.
func (s *scheduler) renewRetry(pool string, takenAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, budget := clock.Now(), s.retryBudget(pool)
	budget.ReturnRetry(takenAt, now)
	return budget.TryRetry(now)
}

// returnSlot returns a slot that no attempt has used.
func (s *scheduler) returnSlot(t *ticket, choice placement.Choice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slotReturned(t, choice, placement.NotUsed, clock.Now())
}

// slotReturned records that a slot was not used, or not to the end. The caller holds mu.
func (s *scheduler) slotReturned(t *ticket, choice placement.Choice, result placement.Result, now time.Time) {
	s.fleet.AttemptFinished(choice, result, now)
	s.queue(t.need.Pool).StartFailed(t.Customer)
	s.loadChanged(choice.Backend.ID, false)
	s.dispatchWaiting(t.need.Pool, now)
}

func (s *scheduler) retryBudget(pool string) *dispatch.WindowBudget {
	if s.retryBudgets[pool] == nil {
		s.retryBudgets[pool] = dispatch.NewWindowBudget(s.retryLimits.window, s.retryLimits.ratio, s.retrySlackShare(clock.Now()))
	}
	return s.retryBudgets[pool]
}

func (s *scheduler) setList(backends []catalog.Backend, keepUntil, now time.Time) []placement.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.SetList(backends, keepUntil, now)
}

func (s *scheduler) recordAgentReport(host string, report placement.AgentReport, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.UpdateReport(host, report, now)
}

func (s *scheduler) recordPeerLoads(peer string, loads map[string]placement.Load, complete bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.UpdatePeerLoads(peer, loads, complete, now)
}

func (s *scheduler) recordZoneLoads(zone string, loads map[string]placement.ZoneLoad, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.UpdateZoneLoads(zone, loads, now)
}

func (s *scheduler) zoneLoads() map[string]placement.ZoneLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.ZoneLoads(clock.Now())
}

func (s *scheduler) ownLoads() map[string]placement.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.OwnLoads()
}

func (s *scheduler) ownLoad(id string) placement.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.OwnLoad(id)
}

// engineHosts returns the IPs of the instances with model engines in an
// availability zone, or in all when zone is empty.
func (s *scheduler) engineHosts(zone string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.EngineHosts(zone)
}
