package gateway

import (
	"context"
	"sync"
	"time"

	"plantainrelay/internal/admission"
	"plantainrelay/internal/table"
)

const (
	maxQueuedPerPool     = 1024
	maxQueuedPerCustomer = 512
	// admissionTick bounds how late a waiting request is shed.
	admissionTick = 50 * time.Millisecond
)

// classes orders the priorities of routes.
var classes = map[table.Priority]int{table.PriorityUrgent: 0, table.PriorityNormal: 1, table.PriorityBatch: 2}

// Admission lets requests in as the pools have room. It is safe for concurrent
// use.
type Admission struct {
	states  *States
	maxWait time.Duration
	// maxRunning bounds one customer's requests in progress in one pool; 0
	// means no bound.
	maxRunning int

	mu     sync.Mutex
	next   uint64
	queues map[string]*poolQueue
}

// poolQueue is the queue of one pool with what its waiters wait on.
type poolQueue struct {
	queue   *admission.Queue
	waiters map[uint64]chan ruling
}

// ruling ends the wait of one request.
type ruling struct {
	start      bool
	retryAfter time.Duration
}

// NewAdmission returns an admission without requests.
func NewAdmission(states *States, maxWait time.Duration, maxRunningPerCustomer int) *Admission {
	return &Admission{states: states, maxWait: maxWait, maxRunning: maxRunningPerCustomer, queues: map[string]*poolQueue{}}
}

// Run passes on capacity that was learned of, and time, until ctx ends.
func (a *Admission) Run(ctx context.Context) {
	ticker := time.NewTicker(admissionTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.states.changed:
		}
		a.mu.Lock()
		for pool, q := range a.queues {
			a.pass(pool, q)
		}
		a.mu.Unlock()
	}
}

// enter waits until the request may be handed over. It returns how to leave
// again, or a nil function and the time after which to try again, or a nil
// function and 0 when ctx ended first.
func (a *Admission) enter(ctx context.Context, route table.Route, customer string, deadline time.Time) (leave func(), retryAfter time.Duration) {
	a.mu.Lock()
	q := a.queue(route.Pool)
	a.next++
	id, wait := a.next, make(chan ruling, 1)
	q.waiters[id] = wait
	ticket := admission.Ticket{ID: id, Customer: customer, Route: route.Name, Class: classes[route.Priority], Deadline: deadline}
	q.shed(q.queue.Offer(ticket, time.Now()))
	a.pass(route.Pool, q)
	a.mu.Unlock()
	select {
	case ruled := <-wait:
		return a.ruled(ruled, route, customer)
	case <-ctx.Done():
		return a.cancel(q, id, wait, route, customer)
	}
}

func (a *Admission) ruled(ruled ruling, route table.Route, customer string) (leave func(), retryAfter time.Duration) {
	if !ruled.start {
		return nil, max(ruled.retryAfter, time.Second)
	}
	started := time.Now()
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		q := a.queues[route.Pool]
		q.queue.Finished(customer, route.Name, time.Since(started))
		a.pass(route.Pool, q)
	}, 0
}

// cancel takes back a request whose caller left.
func (a *Admission) cancel(q *poolQueue, id uint64, wait chan ruling, route table.Route, customer string) (func(), time.Duration) {
	a.mu.Lock()
	q.queue.Cancel(id)
	delete(q.waiters, id)
	a.mu.Unlock()
	select {
	case ruled := <-wait:
		if leave, _ := a.ruled(ruled, route, customer); leave != nil {
			leave()
		}
	default:
	}
	return nil, 0
}

func (a *Admission) queue(pool string) *poolQueue {
	q := a.queues[pool]
	if q == nil {
		q = &poolQueue{waiters: map[uint64]chan ruling{}, queue: admission.New(admission.Config{
			MaxQueued:             maxQueuedPerPool,
			MaxPerCustomer:        maxQueuedPerCustomer,
			MaxRunningPerCustomer: a.maxRunning,
			MaxWait:               a.maxWait,
		})}
		a.queues[pool] = q
	}
	return q
}

// pass hands over what has room now; the caller holds the lock.
func (a *Admission) pass(pool string, q *poolQueue) {
	if q.queue.Waiting() == 0 {
		return
	}
	started, shed := q.queue.Next(a.states.capacity(pool)-q.queue.Running(), time.Now())
	for _, id := range started {
		q.rule(id, ruling{start: true})
	}
	q.shed(shed)
}

func (q *poolQueue) shed(shed []admission.Shed) {
	for _, one := range shed {
		q.rule(one.ID, ruling{retryAfter: one.RetryAfter})
	}
}

func (q *poolQueue) rule(id uint64, ruled ruling) {
	if wait, found := q.waiters[id]; found {
		wait <- ruled
		delete(q.waiters, id)
	}
}
