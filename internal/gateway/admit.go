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
	// admissionInterval bounds how late an expired request is removed from the
	// queue.
	admissionInterval = 50 * time.Millisecond
)

// priorityClasses orders the priorities of routes.
var priorityClasses = map[table.Priority]int{table.PriorityUrgent: 0, table.PriorityNormal: 1, table.PriorityBatch: 2}

// Admission queues requests until their pools have capacity. It is safe for
// concurrent use.
type Admission struct {
	agentStates *AgentStates
	maxWait     time.Duration
	// maxRunning limits the concurrent requests of one customer in one pool; 0
	// means no limit.
	maxRunning int

	mu     sync.Mutex
	nextID uint64
	queues map[string]*poolQueue
}

// poolQueue is the queue of one pool with the channels that notify its waiters.
type poolQueue struct {
	queue   *admission.Queue
	waiters map[uint64]chan admissionResult
}

// admissionResult ends the wait of one request.
type admissionResult struct {
	admitted   bool
	retryAfter time.Duration
}

// NewAdmission returns an admission with empty queues.
func NewAdmission(states *AgentStates, maxWait time.Duration, maxRunningPerCustomer int) *Admission {
	return &Admission{agentStates: states, maxWait: maxWait, maxRunning: maxRunningPerCustomer, queues: map[string]*poolQueue{}}
}

// Run admits or sheds queued requests, periodically and whenever agent states
// were read, until ctx ends.
func (a *Admission) Run(ctx context.Context) {
	ticker := time.NewTicker(admissionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.agentStates.stateRead:
		}
		a.mu.Lock()
		for pool, q := range a.queues {
			a.admitQueued(pool, q)
		}
		a.mu.Unlock()
	}
}

// acquire waits until the request may run. It returns the function that
// releases its capacity. That function is nil when the request was shed, with
// the time after which to retry, or when ctx ended first, with 0.
func (a *Admission) acquire(ctx context.Context, route table.Route, customer string, deadline time.Time) (release func(), retryAfter time.Duration) {
	a.mu.Lock()
	q := a.queue(route.Pool)
	a.nextID++
	id, wait := a.nextID, make(chan admissionResult, 1)
	q.waiters[id] = wait
	ticket := admission.Ticket{ID: id, Customer: customer, Route: route.Name, Class: priorityClasses[route.Priority], Deadline: deadline}
	q.notifyShed(q.queue.Offer(ticket, time.Now()))
	a.admitQueued(route.Pool, q)
	a.mu.Unlock()
	select {
	case result := <-wait:
		return a.handleResult(result, route, customer)
	case <-ctx.Done():
		return a.cancel(q, id, wait, route, customer)
	}
}

func (a *Admission) handleResult(result admissionResult, route table.Route, customer string) (release func(), retryAfter time.Duration) {
	if !result.admitted {
		return nil, max(result.retryAfter, time.Second)
	}
	started := time.Now()
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		q := a.queues[route.Pool]
		q.queue.RequestFinished(customer, route.Name, time.Since(started))
		a.admitQueued(route.Pool, q)
	}, 0
}

// cancel removes a request whose caller has disconnected.
func (a *Admission) cancel(q *poolQueue, id uint64, wait chan admissionResult, route table.Route, customer string) (func(), time.Duration) {
	a.mu.Lock()
	q.queue.Cancel(id)
	delete(q.waiters, id)
	a.mu.Unlock()
	select {
	case result := <-wait:
		if release, _ := a.handleResult(result, route, customer); release != nil {
			release()
		}
	default:
	}
	return nil, 0
}

func (a *Admission) queue(pool string) *poolQueue {
	q := a.queues[pool]
	if q == nil {
		q = &poolQueue{waiters: map[uint64]chan admissionResult{}, queue: admission.New(admission.Config{
			MaxQueued:             maxQueuedPerPool,
			MaxPerCustomer:        maxQueuedPerCustomer,
			MaxRunningPerCustomer: a.maxRunning,
			MaxWait:               a.maxWait,
		})}
		a.queues[pool] = q
	}
	return q
}

// admitQueued admits the queued requests that the pool has capacity for; the
// caller holds the lock.
func (a *Admission) admitQueued(pool string, q *poolQueue) {
	if q.queue.Queued() == 0 {
		return
	}
	started, shed := q.queue.Next(a.agentStates.capacity(pool)-q.queue.Running(), time.Now())
	for _, id := range started {
		q.notify(id, admissionResult{admitted: true})
	}
	q.notifyShed(shed)
}

func (q *poolQueue) notifyShed(shed []admission.Shed) {
	for _, dropped := range shed {
		q.notify(dropped.ID, admissionResult{retryAfter: dropped.RetryAfter})
	}
}

func (q *poolQueue) notify(id uint64, result admissionResult) {
	if wait, found := q.waiters[id]; found {
		wait <- result
		delete(q.waiters, id)
	}
}
