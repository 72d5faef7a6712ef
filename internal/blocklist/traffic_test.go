package blocklist_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/blocklist"
)

// traffic simulates the requests of a fleet of engines, whose crashes and responses one
// list learns of at once.
type traffic struct {
	now       time.Time
	random    *rand.Rand
	list      *blocklist.List
	events    eventQueue
	instances []*engine
	starts    int
	// badShare is the share of requests that crash the engine, with one of badParts.
	badShare float64
	badParts []string
	// newParts is the share of requests with a part that hardly any other has; hotShare is
	// the share of those with one popular part.
	newParts, hotShare float64
	// longParts is the number of further parts of a prompt: most are shared by many requests, some
	// by a few.
	longParts int
	requests  int
	// crashedAt holds the times of the crashes of each of badParts, sentAt those at which
	// requests with it were sent.
	crashedAt, sentAt map[string][]time.Time
}

type engine struct {
	start   blocklist.Start
	running []*query
	downTo  time.Time
}

func (e *engine) runs(q *query) bool { return slices.Contains(e.running, q) }

type query struct {
	parts []string
	// bad is the part that crashes engines, if any.
	bad     string
	begunAt time.Time
	retried bool
}

type timedEvent struct {
	at time.Time
	do func()
}

type eventQueue []timedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newTraffic(seed uint64, instances int) *traffic {
	t := &traffic{now: epoch, random: rand.New(rand.NewPCG(seed, 1)), list: blocklist.New(), crashedAt: map[string][]time.Time{}, sentAt: map[string][]time.Time{}}
	for range instances {
		t.instances = append(t.instances, &engine{start: t.nextStart()})
	}
	return t
}

func (t *traffic) nextStart() blocklist.Start {
	t.starts++
	return blocklist.Start{Instance: fmt.Sprint("i-", t.starts), Born: int64(t.starts)}
}

func (t *traffic) after(wait time.Duration, do func()) {
	heap.Push(&t.events, timedEvent{at: t.now.Add(wait), do: do})
}

// between returns a random time in milliseconds from the given span.
func (t *traffic) between(least, most int) time.Duration {
	return time.Duration(least+t.random.IntN(most-least)) * time.Millisecond
}

// run simulates requests at the given rate for some time.
func (t *traffic) run(rate float64, duration time.Duration) {
	end := t.now.Add(duration)
	var arrive func()
	arrive = func() {
		t.send(t.newQuery())
		t.after(time.Duration(t.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	t.after(0, arrive)
	var evaluate func()
	evaluate = func() {
		t.list.Evaluate(t.now)
		t.after(evaluateInterval, evaluate)
	}
	t.after(0, evaluate)
	for len(t.events) > 0 && t.events[0].at.Before(end) {
		next := heap.Pop(&t.events).(timedEvent)
		t.now = next.at
		next.do()
	}
}

func (t *traffic) newQuery() *query {
	t.requests++
	const firstParts = 180
	q := &query{parts: []string{fmt.Sprint("first-", int(firstParts*t.random.Float64()*t.random.Float64()))}}
	if t.random.Float64() < t.newParts {
		q.parts = append(q.parts, fmt.Sprint("session-", t.requests/3))
	}
	for i := range t.longParts {
		if i%4 == 0 {
			q.parts = append(q.parts, fmt.Sprint("rare-", t.requests/3, "-", i))
		} else {
			q.parts = append(q.parts, fmt.Sprint("long-", i, "-", t.random.IntN(40)))
		}
	}
	if t.random.Float64() < t.hotShare {
		q.parts = append([]string{"hot"}, q.parts...)
	}
	if t.random.Float64() < t.badShare {
		q.bad = t.badParts[t.random.IntN(len(t.badParts))]
		q.parts = append(q.parts, q.bad)
		t.random.Shuffle(len(q.parts), func(i, j int) { q.parts[i], q.parts[j] = q.parts[j], q.parts[i] })
	}
	return q
}

func (t *traffic) send(q *query) {
	if _, blocked := t.list.Blocked(model, q.parts); blocked {
		return
	}
	var chosen *engine
	for _, candidate := range t.instances {
		if !candidate.downTo.After(t.now) && (chosen == nil || len(candidate.running) < len(chosen.running)) {
			chosen = candidate
		}
	}
	if chosen == nil {
		return
	}
	if q.bad != "" {
		t.sentAt[q.bad] = append(t.sentAt[q.bad], t.now)
	}
	chosen.running = append(chosen.running, q)
	q.begunAt = time.Time{}
	t.after(t.between(100, 600), func() { t.begin(chosen, q) })
}

func (t *traffic) begin(at *engine, q *query) {
	if !at.runs(q) {
		return
	}
	q.begunAt = t.now
	if q.bad != "" {
		start := at.start
		t.after(t.between(30, 115), func() {
			if at.start == start && at.runs(q) {
				t.crashedAt[q.bad] = append(t.crashedAt[q.bad], t.now)
				t.crash(at)
			}
		})
		return
	}
	responseTime := t.between(300, 2500)
	t.after(min(responseTime, 2*blocklist.Window(1)), func() {
		if at.runs(q) {
			t.list.RecordResponse(model, 1, q.parts, t.now)
		}
	})
	t.after(responseTime, func() {
		if at.runs(q) {
			at.running = slices.DeleteFunc(at.running, func(other *query) bool { return other == q })
			t.list.LiftAnswered(model, q.parts, t.now)
		}
	})
}

// crash ends an engine, which is back some seconds later.
func (t *traffic) crash(at *engine) {
	crashed := blocklist.Crash{Start: at.start, Model: model, Version: 1, At: t.now}
	running := at.running
	at.start, at.running, at.downTo = t.nextStart(), nil, t.now.Add(3500*time.Millisecond)
	var interrupted []*query
	for _, q := range running {
		suspect := !q.begunAt.IsZero() && t.now.Sub(q.begunAt) <= blocklist.Window(1)
		if suspect {
			crashed.Suspects = append(crashed.Suspects, q.parts...)
			t.list.RecordInterruption(model, 1, q.parts, t.now)
		}
		if !q.retried && (!suspect || t.list.HasResponse(model, 1, q.parts)) {
			interrupted = append(interrupted, q)
		}
	}
	t.list.RecordCrash(crashed, t.now)
	for _, q := range interrupted {
		q.retried = true
		t.send(q)
	}
}

// sentLate returns the number of requests with a part that were sent later than
// stableTime after the fifth crash that it has caused.
func (t *traffic) sentLate(part string) (count int) {
	crashes := t.crashedAt[part]
	if len(crashes) < 5 {
		return 0
	}
	for _, at := range t.sentAt[part] {
		if at.Sub(crashes[4]) > stableTime {
			count++
		}
	}
	return count
}

// blockedIDs returns the IDs of all blocked parts.
func (t *traffic) blockedIDs() (ids []string) {
	for _, record := range t.list.Records() {
		if !record.Lifted && !record.Suspected {
			ids = append(ids, record.ID)
		}
	}
	return ids
}

// failures are patterns of ordinary failures of engines.
var failures = map[string]func(t *traffic){
	"one after the other": func(t *traffic) {
		for i, one := range t.instances {
			t.after(3*time.Second+time.Duration(i)*400*time.Millisecond, func() { t.crash(one) })
		}
	},
	"a share at once": func(t *traffic) {
		for round := range 4 {
			for _, one := range t.instances[:len(t.instances)/3] {
				t.after(time.Duration(3+5*round)*time.Second+t.between(0, 40), func() { t.crash(one) })
			}
		}
	},
	"all at once, again and again": func(t *traffic) {
		for round := range 4 {
			for _, one := range t.instances {
				t.after(time.Duration(3+4*round)*time.Second+t.between(0, 60), func() { t.crash(one) })
			}
		}
	},
	"all, soon after their return": func(t *traffic) {
		for round := range 6 {
			for _, one := range t.instances {
				t.after(3*time.Second+time.Duration(round)*4200*time.Millisecond+t.between(0, 60), func() { t.crash(one) })
			}
		}
	},
	"at random, five a second": func(t *traffic) {
		for i := range 75 {
			t.after(3*time.Second+time.Duration(i)*200*time.Millisecond, func() { t.crash(t.instances[t.random.IntN(len(t.instances))]) })
		}
	},
}

// loads are shapes of prompts.
var loads = map[string]func(t *traffic){
	"popular parts":   func(*traffic) {},
	"rare parts":      func(t *traffic) { t.newParts = 0.7 },
	"one hot part":    func(t *traffic) { t.hotShare = 0.3 },
	"all three kinds": func(t *traffic) { t.newParts, t.hotShare = 0.5, 0.15 },
	"long prompts":    func(t *traffic) { t.longParts = 60 },
}

const (
	trafficSeeds     = 12
	trafficInstances = 24
	trafficRate      = 110.0
	evaluateInterval = 200 * time.Millisecond
	// stableTime and maxSentLate are the bound that the platform states.
	stableTime  = 3 * time.Second
	maxSentLate = 3
)

// TestOrdinaryFailuresBlockNothing guards against blocks of popular, rare and hot parts
// because of crashes that have nothing to do with them.
func TestOrdinaryFailuresBlockNothing(t *testing.T) {
	for failure, fail := range failures {
		for load, shape := range loads {
			for seed := range uint64(trafficSeeds) {
				c := qt.New(t)
				simulated := newTraffic(seed, trafficInstances)
				shape(simulated)
				fail(simulated)
				simulated.run(trafficRate, 30*time.Second)
				c.Check(simulated.blockedIDs(), qt.HasLen, 0, qt.Commentf("%s, %s, seed %d", failure, load, seed))
			}
		}
	}
}

// TestCrashingPartsAreBlocked guards against parts that go on crashing engines, and against
// blocks of what sound requests share with theirs, on their own and beside ordinary
// failures.
func TestCrashingPartsAreBlocked(t *testing.T) {
	failures := map[string]func(*traffic){"none": func(*traffic) {}, "a share at once": failures["a share at once"], "one after the other": failures["one after the other"]}
	for failure, fail := range failures {
		for load, shape := range loads {
			for _, bad := range [][]string{{"bad"}, {"bad-1", "bad-2"}} {
				for seed := range uint64(trafficSeeds) {
					c := qt.New(t)
					simulated := newTraffic(seed, trafficInstances)
					simulated.badShare, simulated.badParts = 0.03, bad
					shape(simulated)
					fail(simulated)
					simulated.run(trafficRate, 30*time.Second)
					for _, part := range bad {
						comment := qt.Commentf("%s, %s, %s of %v, seed %d: %d crashes", failure, load, part, bad, seed, len(simulated.crashedAt[part]))
						c.Check(simulated.sentLate(part) <= maxSentLate, qt.IsTrue, comment)
					}
					c.Check(simulated.blockedIDs(), qt.DeepEquals, bad, qt.Commentf("%s, %s, seed %d", failure, load, seed))
				}
			}
		}
	}
}
