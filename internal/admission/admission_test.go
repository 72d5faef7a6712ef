package admission_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plantainrelay/internal/admission"
)

var epoch = time.Unix(1_700_000_000, 0)

func config() admission.Config {
	return admission.Config{MaxQueued: 100, MaxPerCustomer: 60, MaxWait: 5 * time.Second}
}

// TestLargeCustomerDoesNotDelaySmallOnes keeps ten slots busy with requests of one
// second. The large customer always has as many queued requests as it may have,
// each small one a single request.
func TestLargeCustomerDoesNotDelaySmallOnes(t *testing.T) {
	c := qt.New(t)
	const slots, smallCustomers = 10, 9
	q := admission.New(config())
	customers := map[uint64]string{}
	id := uint64(0)
	offer := func(customer string, now time.Time) {
		id++
		customers[id] = customer
		q.Offer(admission.Ticket{ID: id, Customer: customer, Deadline: now.Add(time.Minute)}, now)
	}
	ran := map[string]int{}
	var inProgress []string
	for round := range 50 {
		now := epoch.Add(time.Duration(round) * time.Second)
		for range 60 {
			offer("large", now)
		}
		for small := range smallCustomers {
			offer(fmt.Sprintf("small-%d", small), now)
		}
		for _, customer := range inProgress {
			q.RequestFinished(customer, "", time.Second)
		}
		started, _ := q.Next(slots, now)
		inProgress = nil
		for _, ticket := range started {
			inProgress = append(inProgress, customers[ticket])
			ran[customers[ticket]]++
		}
		for small := range smallCustomers {
			c.Assert(ran[fmt.Sprintf("small-%d", small)], qt.Equals, round+1, qt.Commentf("a small customer waited behind the large one"))
		}
	}
	c.Assert(ran["large"], qt.Equals, 50, qt.Commentf("the large customer did not get the remaining slots"))
}

func TestUrgentGoesFirstAndIsShedLast(t *testing.T) {
	c := qt.New(t)
	q := admission.New(admission.Config{MaxQueued: 2, MaxPerCustomer: 10, MaxWait: time.Minute})
	deadline := epoch.Add(time.Minute)
	c.Assert(q.Offer(admission.Ticket{ID: 1, Customer: "a", Class: 2, Deadline: deadline}, epoch), qt.HasLen, 0)
	c.Assert(q.Offer(admission.Ticket{ID: 2, Customer: "a", Class: 1, Deadline: deadline}, epoch), qt.HasLen, 0)
	shed := q.Offer(admission.Ticket{ID: 3, Customer: "a", Class: 0, Deadline: deadline}, epoch)
	c.Assert(shed, qt.HasLen, 1)
	c.Assert(shed[0].ID, qt.Equals, uint64(1))
	started, _ := q.Next(1, epoch)
	c.Assert(started, qt.DeepEquals, []uint64{3})
}

func TestRequestThatMissesItsDeadlineIsShed(t *testing.T) {
	c := qt.New(t)
	q := admission.New(config())
	q.Offer(admission.Ticket{ID: 1, Customer: "a", Deadline: epoch.Add(time.Minute)}, epoch)
	q.Next(1, epoch)
	q.RequestFinished("a", "", 10*time.Second)
	q.Offer(admission.Ticket{ID: 2, Customer: "a", Deadline: epoch.Add(9 * time.Second)}, epoch)
	q.Offer(admission.Ticket{ID: 3, Customer: "a", Deadline: epoch.Add(11 * time.Second)}, epoch)
	started, shed := q.Next(1, epoch)
	c.Assert(started, qt.DeepEquals, []uint64{3})
	c.Assert(shed, qt.HasLen, 1)
	c.Assert(shed[0].ID, qt.Equals, uint64(2))
}

// TestEveryRequestEndsOnce runs random operations on a queue: each request is
// started, shed or cancelled exactly once, and no limit is exceeded.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := admission.Config{MaxQueued: 8, MaxPerCustomer: 4, MaxRunningPerCustomer: 3, MaxWait: 5 * time.Second}
		q := admission.New(limits)
		now, id := epoch, uint64(0)
		customers, ended := map[uint64]string{}, map[uint64]bool{}
		running := map[string]int{}
		end := func(id uint64) {
			if ended[id] {
				t.Fatalf("request %d ended twice", id)
			}
			ended[id] = true
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				id++
				customers[id] = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
				ticket := admission.Ticket{ID: id, Customer: customers[id], Class: rapid.IntRange(0, 2).Draw(t, "class"), Deadline: now.Add(10 * time.Second)}
				for _, shed := range q.Offer(ticket, now) {
					end(shed.ID)
				}
			},
			"next": func(t *rapid.T) {
				started, shed := q.Next(rapid.IntRange(0, 4).Draw(t, "free"), now)
				for _, one := range shed {
					end(one.ID)
				}
				for _, one := range started {
					end(one)
					running[customers[one]]++
				}
			},
			"finish": func(t *rapid.T) {
				customer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
				if running[customer] > 0 {
					running[customer]--
					q.RequestFinished(customer, "", time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms"))*time.Millisecond)
				}
			},
			"cancel": func(t *rapid.T) {
				one := uint64(rapid.IntRange(1, int(id)+1).Draw(t, "id"))
				if q.Cancel(one) {
					end(one)
				}
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if q.Queued() > limits.MaxQueued || int(id)-len(ended) != q.Queued() {
					t.Fatalf("%d of %d requests ended, %d are queued", len(ended), id, q.Queued())
				}
				for customer, count := range running {
					if count > limits.MaxRunningPerCustomer {
						t.Fatalf("customer %s has %d in progress", customer, count)
					}
				}
			},
		})
	})
}

// TestOverloadServesFirstAttemptsBeforeRetries guards against retries that take the
// slots of requests that can still be on time. The load stays above the capacity of
// the engines, and each rejected caller retries once.
func TestOverloadServesFirstAttemptsBeforeRetries(t *testing.T) {
	c := qt.New(t)
	const (
		slots, perRound, rounds = 10, 13, 200
		round                   = 250 * time.Millisecond
	)
	q := admission.New(config())
	isRetry := map[uint64]bool{}
	id, inProgress := uint64(0), 0
	offer := func(retries bool, now time.Time) {
		id++
		isRetry[id] = retries
		q.Offer(admission.Ticket{ID: id, Customer: "a", Retry: retries, Deadline: now.Add(time.Minute), StartBy: now.Add(round)}, now)
	}
	onTime, late, rejected := 0, 0, 0
	for number := range rounds {
		now := epoch.Add(time.Duration(number) * round)
		for range inProgress {
			q.RequestFinished("a", "", round)
		}
		retries := rejected
		rejected = 0
		for range retries {
			offer(true, now)
		}
		for range perRound {
			offer(false, now)
		}
		started, shed := q.Next(slots, now)
		inProgress = len(started)
		for _, ticket := range started {
			if isRetry[ticket] {
				late++
			} else {
				onTime++
			}
		}
		for _, one := range shed {
			if !isRetry[one.ID] {
				rejected++
			}
		}
	}
	c.Assert(onTime+late, qt.Equals, slots*rounds, qt.Commentf("slots were left free"))
	c.Assert(onTime >= slots*rounds*19/20, qt.IsTrue, qt.Commentf("%d on time, %d late", onTime, late))
}

// TestBlockedRequestDoesNotHoldUpOthers covers overload with requests of different needs:
// free slots suit only some of them. The others wait instead of being started, and
// nothing that may start waits behind them.
func TestBlockedRequestDoesNotHoldUpOthers(t *testing.T) {
	c := qt.New(t)
	q := admission.New(config())
	deadline := epoch.Add(time.Minute)
	for id, class := range []int{0, 0, 1, 2} {
		q.Offer(admission.Ticket{ID: uint64(id), Customer: "c", Class: class, Deadline: deadline}, epoch)
	}
	large := map[uint64]bool{0: true, 2: true}
	startable := func(id uint64) bool { return !large[id] }
	for _, want := range []uint64{1, 3} {
		id, found, shed := q.NextStartable(startable, epoch)
		c.Assert(found, qt.IsTrue)
		c.Assert(id, qt.Equals, want)
		c.Assert(shed, qt.HasLen, 0)
	}
	_, found, _ := q.NextStartable(startable, epoch)
	c.Assert(found, qt.IsFalse)
	c.Assert(q.Queued(), qt.Equals, 2)
	c.Assert(q.Running(), qt.Equals, 2)
	_, _, shed := q.NextStartable(startable, deadline)
	c.Assert(shed, qt.HasLen, 2)
}

// TestFailedStartHasNoDuration guards against a request that did not start and counts
// with a duration of zero, which would make callers return too early.
func TestFailedStartHasNoDuration(t *testing.T) {
	c := qt.New(t)
	q := admission.New(admission.Config{MaxQueued: 1, MaxPerCustomer: 9, MaxWait: time.Second})
	deadline := epoch.Add(time.Minute)
	start := func(id uint64) {
		q.Offer(admission.Ticket{ID: id, Customer: "c", Deadline: deadline}, epoch)
		_, found, _ := q.NextStartable(func(uint64) bool { return true }, epoch)
		c.Assert(found, qt.IsTrue)
	}
	start(1)
	q.RequestFinished("c", "", time.Second)
	for id := range uint64(50) {
		start(10 + id)
		q.StartFailed("c")
	}
	q.Offer(admission.Ticket{ID: 100, Customer: "c", Deadline: deadline}, epoch)
	shed := q.Offer(admission.Ticket{ID: 101, Customer: "c", Deadline: deadline}, epoch)
	c.Assert(shed, qt.HasLen, 1)
	c.Assert(shed[0].RetryAfter >= time.Second, qt.IsTrue, qt.Commentf("%s", shed[0].RetryAfter))
}
