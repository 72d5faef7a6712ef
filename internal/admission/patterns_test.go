package admission_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fleet serves about 80 requests per second at four entries.
func fleet() poolConfig {
	config := smallPool()
	config.entries, config.slots, config.exchange = 4, 40, true
	return config
}

func total(pool *simulatedPool, loads []*load) results {
	var sum results
	for _, l := range loads {
		r := pool.results[l]
		sum.calls += r.calls
		sum.served += r.served
		sum.onTime += r.onTime
		sum.rejectedTwice += r.rejectedTwice
	}
	return sum
}

// TestFloodOfOneCustomer guards against a customer at ten times its share whose requests make
// those of others late or rejected, wherever it sends them.
func TestFloodOfOneCustomer(t *testing.T) {
	for name, entry := range map[string]int{"at all entries": -1, "at one entry": 0} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			flood := &load{customer: "flood", perSecond: steady(80), entry: entry}
			var others []*load
			for i := range 9 {
				others = append(others, &load{customer: fmt.Sprint(i), perSecond: steady(7), entry: -1})
			}
			pool := newPool(fleet())
			pool.run(append([]*load{flood}, others...), 10*time.Second, 50*time.Second)
			sum, flooding := total(pool, others), pool.results[flood]
			t.Logf("others: %.3f served, %.3f at the first time; flood: %.3f served", sum.share(), float64(sum.onTime)/float64(sum.calls), flooding.share())
			c.Check(sum.share() >= 0.97, qt.IsTrue)
			c.Check(float64(sum.onTime) >= 0.8*float64(sum.calls), qt.IsTrue)
			c.Check(sum.served+flooding.served >= 35*80*19/20, qt.IsTrue, qt.Commentf("%d served: slots were left free", sum.served+flooding.served))
		})
	}
}

// TestCustomerAtOneEntry guards against a customer that gets a fraction of its share because it
// calls one entry only, while another one calls all of them.
func TestCustomerAtOneEntry(t *testing.T) {
	c := qt.New(t)
	everywhere := &load{customer: "everywhere", perSecond: steady(120), entry: -1}
	somewhere := &load{customer: "somewhere", perSecond: steady(60), entry: 0}
	pool := newPool(fleet())
	pool.run([]*load{everywhere, somewhere}, 10*time.Second, 50*time.Second)
	a, b := pool.results[everywhere].served, pool.results[somewhere].served
	t.Logf("everywhere %d, somewhere %d served", a, b)
	c.Check(2*b >= a, qt.IsTrue)
}

// TestHundredSmallCustomers guards against customers that starve among many: with three large
// ones and an overload, each small one is served at least half as often as the small ones
// together, and no less often than the large ones.
func TestHundredSmallCustomers(t *testing.T) {
	c := qt.New(t)
	var small, large []*load
	for i := range 100 {
		small = append(small, &load{customer: fmt.Sprintf("small-%d", i), perSecond: steady(0.5), entry: -1})
	}
	for i := range 3 {
		large = append(large, &load{customer: fmt.Sprintf("large-%d", i), perSecond: steady(40), entry: -1})
	}
	pool := newPool(fleet())
	pool.run(append(large, small...), 10*time.Second, 70*time.Second)
	ofSmall, ofLarge := total(pool, small), total(pool, large)
	t.Logf("small %.3f, large %.3f served", ofSmall.share(), ofLarge.share())
	c.Check(ofSmall.share() >= 0.95, qt.IsTrue)
	c.Check(ofSmall.share() >= ofLarge.share(), qt.IsTrue)
	for _, l := range small {
		c.Check(pool.results[l].share() >= ofSmall.share()/2, qt.IsTrue, qt.Commentf("%s", l.customer))
	}
	for _, l := range large {
		c.Check(pool.results[l].share() >= ofLarge.share()/2, qt.IsTrue, qt.Commentf("%s", l.customer))
	}
}

// TestBurstOfTheLeastUrgentClass guards against a burst of less urgent requests that makes more
// urgent ones late, and against one whose own class stays rejected after it.
func TestBurstOfTheLeastUrgentClass(t *testing.T) {
	c := qt.New(t)
	urgent := &load{customer: "a", perSecond: steady(40), entry: -1}
	normal := &load{customer: "b", class: 1, perSecond: steady(25), entry: -1}
	burst := &load{customer: "c", class: 2, perSecond: func(at time.Duration) float64 {
		if at >= 20*time.Second && at < 30*time.Second {
			return 300
		}
		return 0
	}, entry: -1}
	later := &load{customer: "d", class: 2, perSecond: func(at time.Duration) float64 {
		if at < 33*time.Second {
			return 0
		}
		return 5
	}, entry: -1}
	pool := newPool(fleet())
	pool.run([]*load{urgent, normal, burst, later}, 10*time.Second, 50*time.Second)
	for _, l := range []*load{urgent, normal, burst, later} {
		r := pool.results[l]
		t.Logf("class %d: %.3f served, %.3f at the first time", l.class, r.share(), float64(r.onTime)/float64(r.calls))
	}
	c.Check(pool.results[urgent].onTime >= pool.results[urgent].calls*96/100, qt.IsTrue)
	c.Check(pool.results[normal].share() >= 0.95, qt.IsTrue)
	c.Check(pool.results[later].share() >= 0.95, qt.IsTrue)
}

// TestWeightChangedUnderWay guards against a change of a customer's weight that takes effect
// only for some entries or after a restart.
func TestWeightChangedUnderWay(t *testing.T) {
	c := qt.New(t)
	a := &load{customer: "a", perSecond: steady(100), entry: -1}
	b := &load{customer: "b", perSecond: steady(100), entry: -1}
	pool := newPool(fleet())
	var before [2]int
	pool.onStep = func(p *simulatedPool, at time.Duration, _ time.Time) {
		if at != 40*time.Second {
			return
		}
		before = [2]int{p.results[a].served, p.results[b].served}
		for _, queue := range p.queues {
			queue.SetWeights(map[string]int{"a": 3})
		}
	}
	pool.run([]*load{a, b}, 10*time.Second, 75*time.Second)
	after := [2]int{pool.results[a].served - before[0], pool.results[b].served - before[1]}
	t.Logf("served %v before, %v after", before, after)
	c.Check(10*before[0] >= 8*before[1] && 10*before[1] >= 8*before[0], qt.IsTrue)
	c.Check(10*after[0] >= 22*after[1] && 10*after[0] <= 38*after[1], qt.IsTrue)
}
