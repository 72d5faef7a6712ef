package admission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plantainrelay/internal/admission"
)

// smallPool serves about 40 requests per second.
func smallPool() poolConfig {
	return poolConfig{
		entries: 1, slots: 20, runTime: 500 * time.Millisecond, waitTime: 200 * time.Millisecond, returnWaitTime: 800 * time.Millisecond,
		returnAfter: 400 * time.Millisecond, fairOrder: true, seed: 1,
	}
}

// TestStarvedClassGetsABoundedShare guards against a class that is served nothing while a more
// urgent one takes all slots, and against a less urgent class that takes more than its bounded
// share or is served more often than the urgent one.
func TestStarvedClassGetsABoundedShare(t *testing.T) {
	c := qt.New(t)
	for _, rate := range []float64{2, 8, 60} {
		urgent := &load{customer: "a", perSecond: steady(56), entry: -1}
		batch := &load{customer: "b", class: 1, perSecond: steady(rate), entry: -1}
		pool := newPool(smallPool())
		pool.run([]*load{urgent, batch}, 10*time.Second, 60*time.Second)
		first, second := pool.results[urgent], pool.results[batch]
		t.Logf("at %.0f requests/s: urgent %.3f, batch %.3f served", rate, first.share(), second.share())
		c.Check(second.share() <= first.share()+0.02, qt.IsTrue, qt.Commentf("at %.0f/s", rate))
		part := float64(second.served) / float64(first.served+second.served)
		c.Check(part <= 0.15, qt.IsTrue, qt.Commentf("at %.0f/s: %.3f of the starts", rate, part))
		c.Check(second.share() >= 0.4*first.share() || part >= 0.1, qt.IsTrue, qt.Commentf("at %.0f/s", rate))
	}
}

// TestUrgentClassLosesNothingWithoutStarvation guards against a less urgent class that takes
// slots from a more urgent one although it is served often enough.
func TestUrgentClassLosesNothingWithoutStarvation(t *testing.T) {
	c := qt.New(t)
	urgent := &load{customer: "a", perSecond: steady(20), entry: -1}
	batch := &load{customer: "b", class: 1, perSecond: steady(40), entry: -1}
	pool := newPool(smallPool())
	pool.run([]*load{urgent, batch}, 10*time.Second, 60*time.Second)
	t.Logf("urgent %.3f, batch %.3f served", pool.results[urgent].share(), pool.results[batch].share())
	c.Check(pool.results[urgent].share() >= 0.99, qt.IsTrue)
	c.Check(pool.results[urgent].share() >= pool.results[batch].share(), qt.IsTrue)
}

// TestLargePromptsAreServed guards against the largest prompts of a kind that never find an
// instance with enough room, because smaller ones take each slot as it becomes free.
func TestLargePromptsAreServed(t *testing.T) {
	c := qt.New(t)
	config := smallPool()
	config.slotsForLarge = 4
	a := &load{customer: "a", perSecond: steady(25), entry: -1, largePart: 0.08}
	b := &load{customer: "b", perSecond: steady(25), entry: -1, largePart: 0.08}
	pool := newPool(config)
	pool.run([]*load{a, b}, 10*time.Second, 60*time.Second)
	for _, l := range []*load{a, b} {
		r := pool.results[l]
		t.Logf("customer %s: %.3f, of the largest %.3f served", l.customer, r.share(), r.largeShare())
		c.Check(r.largeShare() >= 0.4*r.share(), qt.IsTrue)
	}
}

// TestReturningCallerIsNotPassed guards against a caller that is rejected a second time while
// fresh ones of its class are started at the same entry: room comes up after a burst.
func TestReturningCallerIsNotPassed(t *testing.T) {
	c := qt.New(t)
	burst := func(at time.Duration) float64 {
		if at%(5*time.Second) < time.Second {
			return 38
		}
		return 11
	}
	a, b := &load{customer: "a", perSecond: burst, entry: -1}, &load{customer: "b", perSecond: burst, entry: -1}
	pool := newPool(smallPool())
	pool.run([]*load{a, b}, 10*time.Second, 60*time.Second)
	for _, l := range []*load{a, b} {
		r := pool.results[l]
		t.Logf("customer %s: %d calls, %.3f served, %d at the first time, %d rejected twice, %d of them passed", l.customer, r.calls, r.share(), r.onTime, r.rejectedTwice, r.passed)
		c.Check(r.passed, qt.Equals, 0)
		c.Check(r.share() >= 0.97, qt.IsTrue)
	}
}

// TestHopelessRequestIsShedAtOnce guards against callers that wait in vain: so many requests
// are ahead that theirs cannot start in its time.
func TestHopelessRequestIsShedAtOnce(t *testing.T) {
	c := qt.New(t)
	q := admission.New(admission.Config{MaxQueued: 100, MaxPerCustomer: 100, MaxWait: time.Minute, FairOrder: true})
	none := func(uint64, admission.Terms) bool { return false }
	q.Start("a")
	q.Start("b")
	q.RequestFinished("a", "r", time.Second)
	offer := func(id uint64, class int, wait time.Duration) []admission.Shed {
		q.Offer(admission.Ticket{ID: id, Customer: string(rune('a' + id%2)), Class: class, Route: "r", Deadline: epoch.Add(time.Minute), StartBy: epoch.Add(wait)}, epoch)
		_, _, shed := q.NextFair(none, epoch)
		return shed
	}
	for id := range uint64(3) {
		c.Assert(offer(id, 1, 3*time.Second), qt.HasLen, 0)
	}
	shed := offer(3, 1, time.Second)
	c.Assert(shed, qt.HasLen, 1)
	c.Assert(shed[0].ID, qt.Equals, uint64(3))
	c.Assert(shed[0].Reason, qt.Equals, admission.Late)
	c.Assert(offer(4, 1, 3*time.Second), qt.HasLen, 0)
	c.Assert(offer(5, 0, 500*time.Millisecond), qt.HasLen, 0, qt.Commentf("more urgent than those that wait"))
}

// TestOneClassAndCustomerKeepTheOrder guards against a change of behavior where all requests
// have one class and one customer: whatever happens, the queue does the same as without the
// refined order.
func TestOneClassAndCustomerKeepTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := admission.Config{MaxQueued: 8, MaxPerCustomer: 8, MaxWait: 5 * time.Second}
		plain := admission.New(limits)
		limits.FairOrder, limits.MaxPeerAge = true, maxPeerAge
		fair := admission.New(limits)
		now, id := epoch, uint64(0)
		refused := map[uint64]bool{}
		startable := func(id uint64) bool { return !refused[id] }
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				id++
				refused[id] = rapid.Bool().Draw(t, "refused")
				class := rapid.SampledFrom([]int{2, 2, 2, -1}).Draw(t, "class")
				ticket := admission.Ticket{ID: id, Customer: "a", Route: "r", Class: class, Retry: rapid.Bool().Draw(t, "retry"), Size: rapid.IntRange(0, 9000).Draw(t, "size"), Deadline: now.Add(10 * time.Second), StartBy: now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "wait")) * time.Millisecond)}
				if a, b := plain.Offer(ticket, now), fair.Offer(ticket, now); !equalSheds(a, b) {
					t.Fatalf("shed %v and %v", a, b)
				}
			},
			"next": func(t *rapid.T) {
				firstID, first, firstShed := plain.NextStartable(startable, now)
				secondID, second, secondShed := fair.NextFair(func(id uint64, terms admission.Terms) bool { return terms != admission.Usual || startable(id) }, now)
				if firstID != secondID || first != second || !equalSheds(firstShed, secondShed) {
					t.Fatalf("%d %v %v, and %d %v %v", firstID, first, firstShed, secondID, second, secondShed)
				}
			},
			"report of another entry": func(t *rapid.T) {
				usage := running("a", rapid.IntRange(1, 50).Draw(t, "running"))
				usage.Class = 2
				fair.RecordPeerUsage("peer", usage, now)
			},
			"finish": func(t *rapid.T) {
				if plain.Running() > 0 {
					duration := time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
					plain.RequestFinished("a", "r", duration)
					fair.RequestFinished("a", "r", duration)
				}
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

func equalSheds(a, b []admission.Shed) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
