package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// dueShare is the share of its time in the queue after which a request is due: one that
	// others have passed until then may be moved forward.
	dueShare = 0.5
	// rescueShare is the share of starts up to which due requests of starved classes and sizes
	// start out of their order. Starts of starved requests in their order count towards it: a
	// burst of the least urgent class is no reason to delay others. With 0.25 such a burst made
	// a fifth of the urgent callers in TestBurstOfTheLeastUrgentClass return.
	rescueShare = 0.125
	// maxRescueCredit bounds the rescues in a row, and how many starts in order are remembered.
	maxRescueCredit = 4
	// starvedRatio is the served share of a class relative to that of the more urgent ones,
	// or of the largest requests of a route relative to the whole route, below which it counts
	// as starved. A less urgent class is therefore never served more often than a more urgent
	// one because of rescues. The aim is half as often; with 0.5 the largest requests were
	// served 0.48 times as often in TestLargePromptsAreServed.
	starvedRatio = 0.6
	// resultWindow is the time constant with which served shares forget earlier results.
	resultWindow = 5 * time.Second
	// largeShare is the share of a route's requests that count as large, sizeStep the relative
	// step of the estimate of their smallest size, minSizes the number of sizes before the
	// estimate is used.
	largeShare = 0.1
	sizeStep   = 0.1
	minSizes   = 20
	// lateFactor times its remaining time is how long a request has to be expected to wait for
	// being shed at once; minAhead is how many requests have to be before it. The expected wait
	// is uncertain, and a request that is shed by mistake is lost.
	lateFactor = 2
	minAhead   = 2
	// lastingOverload is the age of an overload from which returning callers go before fresh
	// ones no longer; it has ended when no request of the class has been shed for overloadEnd.
	// In a lasting overload the precedence serves no more callers, since each place that it
	// takes makes a fresh caller return: at 1.3 times the capacity all requests were late, and
	// as many callers were rejected twice.
	lastingOverload = 3 * time.Second
	overloadEnd     = time.Second
	// shareTolerance is how far a customer may be above its fair share, relative to it and
	// beside one request, before its requests go after those of others; belowShare is the part
	// of it under which they go before them.
	shareTolerance = 1.5
	belowShare     = 0.5
)

// fairness holds what the refined order depends on.
type fairness struct {
	// hasFirst is set after the first offered request; isMixed once another one had a
	// different customer or class.
	hasFirst, isMixed bool
	firstCustomer     string
	firstClass        int
	byClass           map[int]*classResults
	byRoute           map[string]*routeSizes
	// credit is the number of rescues that are allowed now.
	credit float64
}

// classResults holds which requests of a class are served, and since when it is overloaded.
type classResults struct {
	servedShare
	overloadedSince, lastShed time.Time
}

func (r *classResults) recordShed(now time.Time) {
	if now.Sub(r.lastShed) >= overloadEnd {
		r.overloadedSince = now
	}
	r.lastShed = now
}

// returnsGoFirst reports whether returning callers of the class go before fresh ones.
func (r *classResults) returnsGoFirst(now time.Time) bool {
	return now.Sub(r.lastShed) >= overloadEnd || now.Sub(r.overloadedSince) < lastingOverload
}

// routeSizes holds the estimate of the size from which requests of a route are large, and
// which of its requests are served.
type routeSizes struct {
	largeFrom  float64
	sizes      int
	all, large servedShare
}

// servedShare counts results; earlier ones count less.
type servedShare struct {
	started, ended float64
	at             time.Time
}

func (s *servedShare) decay(now time.Time) {
	if age := now.Sub(s.at); age > 0 {
		keep := math.Exp(-float64(age) / float64(resultWindow))
		s.started, s.ended, s.at = s.started*keep, s.ended*keep, now
	}
}

func (s *servedShare) record(started bool, now time.Time) {
	s.decay(now)
	s.ended++
	if started {
		s.started++
	}
}

// share returns the share of requests that were started. One more counts as started, so that
// it is 1 without results.
func (s *servedShare) share() float64 { return (s.started + 1) / (s.ended + 1) }

func newFairness() fairness {
	return fairness{byClass: map[int]*classResults{}, byRoute: map[string]*routeSizes{}, credit: 1}
}

// recordOffer records an offered request and reports whether it is a large one of its route.
func (f *fairness) recordOffer(t Ticket) (isLarge bool) {
	if t.Class >= 0 {
		if !f.hasFirst {
			f.hasFirst, f.firstCustomer, f.firstClass = true, t.Customer, t.Class
		}
		f.isMixed = f.isMixed || t.Customer != f.firstCustomer || t.Class != f.firstClass
	}
	if t.Size <= 0 {
		return false
	}
	size := float64(t.Size)
	route := f.byRoute[t.Route]
	if route == nil {
		route = &routeSizes{largeFrom: size}
		f.byRoute[t.Route] = route
	}
	isLarge = size > route.largeFrom
	// The estimate rises and falls equally often when largeShare of the sizes are above it.
	if isLarge {
		route.largeFrom *= 1 + sizeStep*(1-largeShare)
	} else {
		route.largeFrom *= 1 - sizeStep*largeShare
	}
	route.sizes++
	return isLarge && route.sizes > minSizes
}

// recordResult records that a queued request was started or shed.
func (f *fairness) recordResult(w queuedRequest, started bool, now time.Time) {
	if started {
		f.credit = min(f.credit+rescueShare, maxRescueCredit)
		if w.isStarved {
			f.credit = max(f.credit-1, -maxRescueCredit)
		}
	}
	if w.Class < 0 {
		return
	}
	class := f.byClass[w.Class]
	if class == nil {
		class = &classResults{}
		f.byClass[w.Class] = class
	}
	class.record(started, now)
	if !started {
		class.recordShed(now)
	}
	if route := f.byRoute[w.Route]; route != nil && w.Size > 0 {
		route.all.record(started, now)
		if w.isLarge {
			route.large.record(started, now)
		}
	}
}

// starvedClasses returns the classes whose requests are served so much less often
// than those of the more urgent classes together.
func (f *fairness) starvedClasses(now time.Time) map[int]bool {
	starved := map[int]bool{}
	classes := make([]int, 0, len(f.byClass))
	for class, results := range f.byClass {
		results.decay(now)
		classes = append(classes, class)
	}
	slices.Sort(classes)
	var urgent servedShare
	for i, class := range classes {
		results := f.byClass[class]
		starved[class] = i > 0 && results.share() < starvedRatio*urgent.share()
		urgent.started, urgent.ended = urgent.started+results.started, urgent.ended+results.ended
	}
	return starved
}

// returnsGoFirst reports whether returning callers of a class go before fresh ones.
func (f *fairness) returnsGoFirst(class int, now time.Time) bool {
	results := f.byClass[class]
	return results == nil || results.returnsGoFirst(now)
}

// isLargeStarved reports whether the large requests of a route are served less often than all
// of them by starvedRatio.
func (f *fairness) isLargeStarved(name string, now time.Time) bool {
	route := f.byRoute[name]
	if route == nil {
		return false
	}
	route.all.decay(now)
	route.large.decay(now)
	return route.large.share() < starvedRatio*route.all.share()
}

// ordersFairly reports whether the refined order applies. Where all requests have one class
// and one customer, the order of the queue is sufficient.
func (q *Queue) ordersFairly() bool { return q.config.FairOrder && q.fairness.isMixed }

// candidate is a queued request with its place in the refined order.
type candidate struct {
	*queuedRequest
	index int
	// isRescuedClass and isRescuedSize say that the request is due and of a starved class or
	// size.
	isRescuedClass, isRescuedSize bool
	// standing is how many of the requests in progress the customer has, compared with its
	// fair share.
	standing standing
	// isDueReturn says that the caller has been rejected before, and would soon be again.
	isDueReturn bool
	// isDominant says that the customer has more of them than an even division would give it.
	isDominant bool
	// isPassedOver says that it is not dominant, and another customer is.
	isPassedOver bool
	// yields says that the request leaves room for others, which have to wait at some entry.
	yields bool
	// usage is the number of the customer's requests in progress relative to its weight.
	usage float64
}

func (c *candidate) isRescued() bool { return c.isRescuedClass || c.isRescuedSize }

// compare orders two candidates. Requests that must go on (negative classes) go first, then due
// requests of starved classes, then by class. Within a class: due requests of a starved size,
// customers below their share and those above it last, due returning callers, first attempts, the customer with the
// fewest requests in progress relative to its weight, and the oldest.
func compare(a, b candidate) int {
	return cmp.Or(
		compareBool(a.Class < 0, b.Class < 0),
		compareBool(a.isRescuedClass, b.isRescuedClass),
		cmp.Compare(a.Class, b.Class),
		compareBool(a.isRescuedSize, b.isRescuedSize),
		cmp.Compare(a.standing, b.standing),
		compareBool(a.isDueReturn, b.isDueReturn),
		compareBool(!a.Retry, !b.Retry),
		cmp.Compare(a.usage, b.usage),
		cmp.Compare(a.index, b.index),
	)
}

// compareBool returns -1 if only a is true, and 1 if only b is.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// order returns the queued requests in the refined order.
func (q *Queue) order(now time.Time) []candidate {
	starved := q.fairness.starvedClasses(now)
	mayRescue := q.fairness.credit >= 1
	shares := q.shares(now)
	hasDominant := shares.hasDominant()
	largeStarved := map[string]bool{}
	waiting := q.waiting(now)
	candidates := make([]candidate, len(q.queued))
	for i := range q.queued {
		w := &q.queued[i]
		c := candidate{queuedRequest: w, index: i}
		isDue := w.isDue(now, q.config.MaxWait)
		if _, known := largeStarved[w.Route]; w.isLarge && !known {
			largeStarved[w.Route] = q.fairness.isLargeStarved(w.Route, now)
		}
		isStarvedSize := w.isLarge && largeStarved[w.Route]
		w.isStarved = w.Class >= 0 && (starved[w.Class] || isStarvedSize)
		if isDue && mayRescue && w.isStarved {
			c.isRescuedClass, c.isRescuedSize = starved[w.Class], isStarvedSize
		}
		c.isDominant = shares.isDominant(w.key)
		c.isPassedOver = hasDominant && !c.isDominant
		c.yields = w.Class >= 0 && (w.Class > waiting.Class || c.isDominant && w.Class >= waiting.SmallClass)
		c.standing, c.usage = shares.standing(w.key), shares.relative(w.key)
		c.isDueReturn = w.Retry && isDue && q.fairness.returnsGoFirst(w.Class, now)
		candidates[i] = c
	}
	slices.SortFunc(candidates, compare)
	return candidates
}

// latestStart returns the latest useful start time.
func (w *queuedRequest) latestStart(maxWait time.Duration) time.Time {
	if !w.StartBy.IsZero() {
		return w.StartBy
	}
	if latest := w.queuedAt.Add(maxWait); latest.Before(w.Deadline) {
		return latest
	}
	return w.Deadline
}

func (w *queuedRequest) isDue(now time.Time, maxWait time.Duration) bool {
	total := w.latestStart(maxWait).Sub(w.queuedAt)
	return now.Sub(w.queuedAt) >= time.Duration(dueShare*float64(total))
}

// Terms are the terms on which a request may start.
type Terms int

// The terms.
const (
	// Usual terms are those of the request.
	Usual Terms = iota
	// Yielding requests leave room at each instance for others, which have to wait at some
	// entry.
	Yielding
	// Relaxed requests may take an instance that makes the response late, and room that is left
	// for others.
	Relaxed
)

// NextFair returns the request to start now like NextStartable. With Config.FairOrder it uses
// the refined order: the first request for which startable returns true on its terms. Requests
// that are due, and of a starved class or size or of a caller that returns, may also start on
// relaxed terms. Requests that cannot start in their time are shed at once.
func (q *Queue) NextFair(startable func(id uint64, terms Terms) bool, now time.Time) (id uint64, found bool, shed []Shed) {
	if !q.ordersFairly() && !q.yieldsToPeers(now) {
		id, found, shed = q.NextStartable(func(id uint64) bool { return startable(id, Usual) }, now)
		if !found && len(q.queued) > 0 {
			q.recordWaiting(nil, now)
		}
		return id, found, shed
	}
	shed = q.expire(0, now)
	candidates := q.order(now)
	for i := range candidates {
		c := &candidates[i]
		if limit := q.config.MaxRunningPerCustomer; limit > 0 && q.runningByCustomer[c.Customer] >= limit {
			continue
		}
		if startable(c.ID, c.terms()) || c.mayRelax() && startable(c.ID, Relaxed) {
			return q.start(c.index, now), true, shed
		}
	}
	if len(q.queued) > 0 {
		q.recordWaiting(candidates, now)
	}
	return 0, false, append(shed, q.shedLate(candidates, now)...)
}

func (c *candidate) terms() Terms {
	if c.yields && !c.isRescued() {
		return Yielding
	}
	return Usual
}

func (c *candidate) mayRelax() bool {
	return c.isRescued() || c.isDueReturn && c.standing != aboveShare && !c.yields
}

// shedLate sheds the requests that have not been checked yet and that so many others precede
// that they cannot start in their time. Starved classes and sizes are exempt: they are rescued
// when they are due.
func (q *Queue) shedLate(candidates []candidate, now time.Time) []Shed {
	if q.runningTotal == 0 || q.averageDuration == 0 {
		return nil
	}
	starved := q.fairness.starvedClasses(now)
	var late []uint64
	ahead := 0
	for i := range candidates {
		c := &candidates[i]
		if !c.isChecked && c.Class >= 0 && !starved[c.Class] && !(c.isLarge && q.fairness.isLargeStarved(c.Route, now)) {
			before := ahead
			if c.Retry && c.standing != aboveShare && q.fairness.returnsGoFirst(c.Class, now) {
				before = countBeforeReturn(candidates, c)
			}
			left := c.latestStart(q.config.MaxWait).Sub(now)
			if before >= minAhead && q.estimateWait(before) > lateFactor*left {
				late = append(late, c.ID)
				continue
			}
		}
		c.isChecked = true
		ahead++
	}
	var shed []Shed
	for _, id := range late {
		i := slices.IndexFunc(q.queued, func(w queuedRequest) bool { return w.ID == id })
		shed = append(shed, q.remove(i, Late, now))
	}
	return shed
}

// countBeforeReturn returns how many requests go before a returning caller once it is due: those
// of more urgent classes, and the other returning callers of its class.
func countBeforeReturn(candidates []candidate, c *candidate) int {
	count := 0
	for i := range candidates {
		other := &candidates[i]
		if other.Class < c.Class || other.Class == c.Class && other.Retry && other.index < c.index {
			count++
		}
	}
	return count
}

// fairVictim returns the index of the request to shed: of the least urgent class, there of the
// customers above their share first, first attempts before returning callers, the newest request
// of the customer with the most requests in progress and queued relative to its weight.
func (q *Queue) fairVictim(now time.Time) int {
	shares := q.shares(now)
	last := slices.MinFunc(q.order(now), func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(b.Class, a.Class),
			compareBool(shares.isOverdrawn(a.key), shares.isOverdrawn(b.key)),
			compareBool(!a.Retry, !b.Retry),
			cmp.Compare(shares.relativeDemand(b.key), shares.relativeDemand(a.key)),
			cmp.Compare(b.index, a.index),
		)
	})
	return last.index
}
