// Package admission decides which queued request of a pool an entry starts next,
// and which requests it sheds. It does no I/O.
//
// Requests are ordered by priority class. Within a class, first attempts go before
// retries of rejected requests, which are late in any case: under lasting overload
// the number of served requests is the same, but more of them are on time. Next
// comes the customer with the fewest requests in progress relative to its weight,
// so that a customer that floods the pool only delays its own requests. A queued
// request is shed when the queue is full or when it can't start early enough to
// meet its deadline. With Config.FairOrder, order.go refines this order.
package admission

import (
	"slices"
	"time"
)

// Config holds the limits of one pool's queue.
type Config struct {
	// MaxQueued bounds the queued requests; MaxPerCustomer those of one customer.
	MaxQueued      int
	MaxPerCustomer int
	// MaxRunningPerCustomer bounds one customer's requests in progress; 0 means
	// no bound.
	MaxRunningPerCustomer int
	// MaxWait bounds the time in the queue.
	MaxWait time.Duration
	// Weights holds the weights of the customers; the default is 1.
	Weights map[string]int
	// FairOrder refines the order of NextFair and the choice of victims once requests of
	// more than one class or customer have been offered.
	FairOrder bool
	// MaxPeerAge is the age from which the requests in progress that another entry has
	// reported count for nothing.
	MaxPeerAge time.Duration
}

// Ticket describes one request to the queue.
type Ticket struct {
	ID       uint64
	Customer string
	// Route is the name of the route. Requests of one route take similar times.
	Route string
	// Class is the priority class; lower goes first.
	Class int
	// Retry says that the caller retries after a rejection.
	Retry    bool
	Deadline time.Time
	// StartBy, if set, is the latest useful start time. It replaces the estimate
	// from the duration of earlier requests.
	StartBy time.Time
	// Size is the size of the request in tokens, 0 if unknown. Requests of one route are
	// compared by it.
	Size int
}

// Shed is a request that is rejected before it starts.
type Shed struct {
	ID uint64
	// RetryAfter is the time after which the queue is expected to accept it.
	RetryAfter time.Duration
	Reason     Reason
}

// Reason is why a request is shed.
type Reason string

// The reasons.
const (
	// QueueFull means that the queue was full, CustomerLimit that the customer had the
	// maximum number of queued requests.
	QueueFull     Reason = "queue_full"
	CustomerLimit Reason = "customer_limit"
	// Waited means that the request has waited as long as it could.
	Waited Reason = "waited"
	// Late means that too many requests go before it for it to start in its time.
	Late Reason = "late"
)

type queuedRequest struct {
	Ticket
	key      CustomerKey
	queuedAt time.Time
	// isLarge says that the request is one of the largest of its route, isChecked that
	// it has been decided that it may start in its time.
	isLarge, isChecked bool
	// isStarved says that it was of a starved class or size when the queue was last ordered.
	isStarved bool
}

// newestWeight is the weight of the newest duration in the moving average.
const newestWeight = 0.1

// Queue holds the queued requests of one pool. It is not safe for concurrent
// use.
type Queue struct {
	config            Config
	queued            []queuedRequest
	runningByCustomer map[string]int
	runningTotal      int
	// averageDuration is the moving average of the duration of a request,
	// averageDurationByRoute the same for each route.
	averageDuration        time.Duration
	averageDurationByRoute map[string]time.Duration
	fairness               fairness
	peers                  map[string]peerUsage
	weightsByKey           map[CustomerKey]int
	contention             contention
}

// New returns an empty queue.
func New(config Config) *Queue {
	q := &Queue{config: config, runningByCustomer: map[string]int{}, averageDurationByRoute: map[string]time.Duration{}, fairness: newFairness(), peers: map[string]peerUsage{}}
	q.SetWeights(config.Weights)
	return q
}

// SetFairOrder sets whether the refined order applies (Config.FairOrder).
func (q *Queue) SetFairOrder(applies bool) { q.config.FairOrder = applies }

// Offer adds a request to the queue. It returns the requests that are shed to
// keep the limits, which may include the request itself.
func (q *Queue) Offer(t Ticket, now time.Time) []Shed {
	w := queuedRequest{Ticket: t, key: KeyOf(t.Customer), queuedAt: now, isLarge: q.fairness.recordOffer(t)}
	if q.queuedOf(t.Customer) >= q.config.MaxPerCustomer {
		q.fairness.recordResult(w, false, now)
		return []Shed{{ID: t.ID, RetryAfter: q.estimateWait(len(q.queued)), Reason: CustomerLimit}}
	}
	q.queued = append(q.queued, w)
	if len(q.queued) <= q.config.MaxQueued {
		return nil
	}
	victim := q.victim
	if q.ordersFairly() {
		victim = func() int { return q.fairVictim(now) }
	}
	return []Shed{q.remove(victim(), QueueFull, now)}
}

// victim returns the index of the request to shed: within the lowest priority
// class, and there among the retries if there are any, the newest request of the
// customer with the most queued requests relative to its weight.
func (q *Queue) victim() int {
	counts := map[string]int{}
	for _, w := range q.queued {
		counts[w.Customer]++
	}
	first := 0
	for i, w := range q.queued {
		if q.shedFirst(w, q.queued[first], counts) {
			first = i
		}
	}
	return first
}

func (q *Queue) shedFirst(a, b queuedRequest, counts map[string]int) bool {
	if a.Class != b.Class {
		return a.Class > b.Class
	}
	if a.Retry != b.Retry {
		return a.Retry
	}
	// Cross-multiplication compares the counts relative to the weights.
	left, right := counts[a.Customer]*q.weight(b.Customer), counts[b.Customer]*q.weight(a.Customer)
	return left > right || (left == right && a.Customer == b.Customer)
}

func (q *Queue) remove(i int, reason Reason, now time.Time) Shed {
	shed := Shed{ID: q.queued[i].ID, RetryAfter: q.estimateWait(len(q.queued)), Reason: reason}
	q.fairness.recordResult(q.queued[i], false, now)
	q.queued = slices.Delete(q.queued, i, i+1)
	return shed
}

// Next returns the requests to start now that free slots are available, and those
// that are shed because they waited too long or can't meet their deadline.
func (q *Queue) Next(free int, now time.Time) (start []uint64, shed []Shed) {
	shed = q.expire(free, now)
	for ; free > 0; free-- {
		i, found := q.best(nil)
		if !found {
			break
		}
		start = append(start, q.start(i, now))
	}
	return start, shed
}

// NextStartable returns the request to start now: the first one, in the order of the
// queue, for which startable returns true. A request that no free slot suits does not
// hold up those behind it and stays queued. NextStartable also returns the requests
// that are shed.
func (q *Queue) NextStartable(startable func(id uint64) bool, now time.Time) (id uint64, found bool, shed []Shed) {
	shed = q.expire(0, now)
	rejected := make([]bool, len(q.queued))
	for {
		i, found := q.best(rejected)
		if !found {
			return 0, false, shed
		}
		if startable(q.queued[i].ID) {
			return q.start(i, now), true, shed
		}
		rejected[i] = true
	}
}

// start removes the request from the queue and counts it as in progress.
func (q *Queue) start(i int, now time.Time) uint64 {
	next := q.queued[i]
	q.fairness.recordResult(next, true, now)
	q.queued = slices.Delete(q.queued, i, i+1)
	q.Start(next.Customer)
	return next.ID
}

// Start counts a request as in progress that has not been queued.
func (q *Queue) Start(customer string) {
	q.runningByCustomer[customer]++
	q.runningTotal++
}

// expire sheds requests that have waited too long. While there are fewer free
// slots than requests, it also sheds those that would end after their deadline if
// they started now. Requests with StartBy are shed at that time instead.
func (q *Queue) expire(free int, now time.Time) []Shed {
	var shed []Shed
	for i := 0; i < len(q.queued); {
		w := q.queued[i]
		expired := now.Sub(w.queuedAt) >= q.config.MaxWait || !now.Before(w.Deadline)
		missesDeadline := len(q.queued) > free && !now.Add(q.averageDurationByRoute[w.Route]).Before(w.Deadline)
		if !w.StartBy.IsZero() {
			missesDeadline = !now.Before(w.StartBy)
		}
		if !expired && !missesDeadline {
			i++
			continue
		}
		shed = append(shed, q.remove(i, Waited, now))
	}
	return shed
}

// best returns the index of the request to start first, without the rejected ones, which
// are given by index.
func (q *Queue) best(rejected []bool) (int, bool) {
	best := -1
	for i, w := range q.queued {
		if rejected != nil && rejected[i] {
			continue
		}
		limit := q.config.MaxRunningPerCustomer
		if limit > 0 && q.runningByCustomer[w.Customer] >= limit {
			continue
		}
		if best < 0 || q.startsBefore(w, q.queued[best]) {
			best = i
		}
	}
	return best, best >= 0
}

// startsBefore reports whether a starts before b, which was queued earlier.
func (q *Queue) startsBefore(a, b queuedRequest) bool {
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	if a.Retry != b.Retry {
		return b.Retry
	}
	return q.runningByCustomer[a.Customer]*q.weight(b.Customer) < q.runningByCustomer[b.Customer]*q.weight(a.Customer)
}

// StartFailed records that a request that Next or NextStartable returned, or that Start has
// counted, did not start. It has no duration.
func (q *Queue) StartFailed(customer string) {
	q.runningTotal--
	q.runningByCustomer[customer]--
	if q.runningByCustomer[customer] <= 0 {
		delete(q.runningByCustomer, customer)
	}
}

// RequestFinished records the end of a request that Next or NextStartable returned, or that
// Start has counted.
func (q *Queue) RequestFinished(customer, route string, duration time.Duration) {
	q.StartFailed(customer)
	q.averageDuration = average(q.averageDuration, duration)
	q.averageDurationByRoute[route] = average(q.averageDurationByRoute[route], duration)
}

func average(old, newest time.Duration) time.Duration {
	if old == 0 {
		return newest
	}
	return old + time.Duration(newestWeight*float64(newest-old))
}

// Cancel removes a queued request. It returns false if the request is not queued.
func (q *Queue) Cancel(id uint64) bool {
	i := slices.IndexFunc(q.queued, func(w queuedRequest) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	q.queued = slices.Delete(q.queued, i, i+1)
	return true
}

// Queued returns the number of queued requests.
func (q *Queue) Queued() int { return len(q.queued) }

// Running returns the number of requests in progress.
func (q *Queue) Running() int { return q.runningTotal }

// estimateWait estimates the wait of a request with queuedAhead others before it.
func (q *Queue) estimateWait(queuedAhead int) time.Duration {
	return time.Duration(queuedAhead+1) * q.averageDuration / time.Duration(max(1, q.runningTotal))
}

func (q *Queue) queuedOf(customer string) int {
	count := 0
	for _, w := range q.queued {
		if w.Customer == customer {
			count++
		}
	}
	return count
}

func (q *Queue) weight(customer string) int {
	return max(1, q.config.Weights[customer])
}
