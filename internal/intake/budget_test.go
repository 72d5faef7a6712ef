package intake

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newTestBudget(limit int64) *Budget {
	return NewBudget(Limits{Settings: Settings{BufferBytes: limit, StallTime: 500 * time.Millisecond}})
}

// open returns the account of a request of a customer from its own address on its own route.
func open(b *Budget, number int, length int64, ms int) *Account {
	owner := Owner{Client: fmt.Sprint("client-", number), Route: fmt.Sprint("route-", number), Customer: "firm"}
	return b.Open(Request{Owner: owner, Length: length, Deadline: at(ms + 3000)}, 0, at(ms))
}

func growTo(b *Budget, account *Account, bytes int64, ms int) bool {
	granted := b.Grow(account, bytes-account.Held(), at(ms)).Granted
	if granted {
		b.Received(account, bytes-account.received, at(ms))
	}
	return granted
}

// TestNewestIsShed guards against a crowd of bodies of which none is ever complete, because
// those that are nearly complete lose their memory to later ones.
func TestNewestIsShed(t *testing.T) {
	c := qt.New(t)
	b := newTestBudget(8 << 20)
	older, newer := open(b, 1, 6<<20, 0), open(b, 2, 6<<20, 1)
	c.Assert(growTo(b, older, 3<<20, 10), qt.IsTrue)
	c.Assert(growTo(b, newer, 4<<20, 20), qt.IsTrue)
	c.Check(b.Grow(newer, 1<<20, at(30)), qt.DeepEquals, Decision{})
	decision := b.Grow(older, 1<<20, at(40))
	c.Check(decision.Granted, qt.IsFalse)
	c.Check(decision.Shed, qt.HasLen, 1)
	c.Check(newer.IsShed(), qt.IsTrue)
	// Nothing more is shed while the memory is being given back.
	c.Check(b.Grow(older, 1<<20, at(41)), qt.DeepEquals, Decision{})
	b.Close(newer)
	c.Check(b.Grow(older, 1<<20, at(42)).Granted, qt.IsTrue)
}

// TestStalledBodyIsShedFirst guards against clients that keep memory by stopping just before
// the end of their bodies.
func TestStalledBodyIsShedFirst(t *testing.T) {
	c := qt.New(t)
	b := newTestBudget(8 << 20)
	stalled, between := open(b, 1, -1, 0), open(b, 2, -1, 1)
	c.Assert(growTo(b, stalled, 3<<20, 10), qt.IsTrue)
	c.Assert(growTo(b, between, 4<<20, 400), qt.IsTrue)
	newest := open(b, 3, -1, 600)
	c.Check(b.Grow(newest, 1<<20, at(600)).Shed, qt.HasLen, 1)
	c.Check(stalled.IsShed(), qt.IsTrue)
	c.Check(between.IsShed(), qt.IsFalse)
}

// TestBodyBehindItsTimeIsShed guards against clients that keep memory with a byte now and
// then, although they cannot be complete within their time limit.
func TestBodyBehindItsTimeIsShed(t *testing.T) {
	c := qt.New(t)
	b := newTestBudget(8 << 20)
	slow := open(b, 1, 6<<20, 0)
	c.Assert(growTo(b, slow, 1<<20, 1000), qt.IsTrue)
	fast := open(b, 2, 6<<20, 1000)
	c.Check(growTo(b, fast, 6<<20, 1010), qt.IsTrue)
	third := open(b, 3, 1<<20, 1020)
	decision := b.Grow(third, 1<<20, at(1020))
	c.Check(decision.Shed, qt.HasLen, 1)
	c.Check(slow.IsShed(), qt.IsTrue)
}

// TestCompleteBodyIsNotShed guards against a request that may have run losing its body.
func TestCompleteBodyIsNotShed(t *testing.T) {
	c := qt.New(t)
	b := newTestBudget(8 << 20)
	complete := open(b, 1, 6<<20, 0)
	c.Assert(growTo(b, complete, 6<<20, 10), qt.IsTrue)
	b.Completed(complete)
	other := open(b, 2, 6<<20, 2000)
	c.Check(b.Grow(other, 3<<20, at(2000)), qt.DeepEquals, Decision{})
	c.Check(complete.IsShed(), qt.IsFalse)
}

// TestSmallRequestsAreRead guards against large bodies that leave no memory for ordinary
// requests, also of the same client and route.
func TestSmallRequestsAreRead(t *testing.T) {
	c := qt.New(t)
	b := newTestBudget(8 << 20)
	for number := range 8 {
		account := open(b, number, -1, 0)
		for growTo(b, account, account.Held()+1<<20, 0) {
		}
	}
	c.Check(growTo(b, open(b, 9, 1000, 1), 1000, 1), qt.IsTrue)

	b = newTestBudget(8 << 20)
	for range 8 {
		account := open(b, 1, -1, 0)
		for growTo(b, account, account.Held()+1<<20, 0) {
		}
	}
	c.Check(growTo(b, open(b, 1, 1000, 1), 1000, 1), qt.IsTrue)
}

// TestNoGroupUsesAll guards against one client, one route or requests without a key that use
// all memory.
func TestNoGroupUsesAll(t *testing.T) {
	for name, owner := range map[string]func(int) Owner{
		"client":    func(i int) Owner { return Owner{Client: "one", Route: fmt.Sprint(i), Customer: "firm"} },
		"route":     func(i int) Owner { return Owner{Client: fmt.Sprint(i), Route: "one", Customer: "firm"} },
		"anonymous": func(i int) Owner { return Owner{Client: fmt.Sprint(i), Route: fmt.Sprint(i)} },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newTestBudget(16 << 20)
			for i := range 16 {
				account := b.Open(Request{Owner: owner(i), Length: -1, Deadline: at(3000)}, 0, at(i))
				b.Grow(account, 4<<20, at(i))
			}
			c.Check(b.Used() <= 12<<20, qt.IsTrue, qt.Commentf("%d bytes", b.Used()))
			other := b.Open(Request{Owner: Owner{Client: "other", Route: "other", Customer: "other"}, Length: 1 << 20, Deadline: at(3000)}, 0, at(20))
			c.Check(b.Grow(other, 1<<20, at(20)).Granted, qt.IsTrue)
		})
	}
}

// TestResponsesLeaveRoomForBodies guards against responses to slow readers that leave no
// memory for a body, also of the same client and route.
func TestResponsesLeaveRoomForBodies(t *testing.T) {
	c := qt.New(t)
	b := newTestBudget(16 << 20)
	for range 100 {
		account := open(b, 1, 0, 0)
		b.Completed(account)
		b.TryCharge(account, 256<<10)
	}
	c.Check(b.Used(), qt.Equals, int64(8<<20))
	c.Check(growTo(b, open(b, 1, 4<<20, 1), 4<<20, 1), qt.IsTrue)
}

// TestBudgetHolds checks with random requests that the budget is never exceeded by bodies,
// that its sums are those of the accounts, and that nothing is left at the end.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 4 << 20
		b := newTestBudget(limit)
		var accounts []*Account
		now := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.IntRange(0, 300).Draw(t, "wait")
			if len(accounts) == 0 || rapid.IntRange(0, 3).Draw(t, "opens") == 0 {
				owner := Owner{Client: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "client")), Route: "r"}
				accounts = append(accounts, b.Open(Request{Owner: owner, Length: rapid.Int64Range(-1, limit).Draw(t, "length"), Deadline: at(now + 3000)}, 0, at(now)))
				continue
			}
			i := rapid.IntRange(0, len(accounts)-1).Draw(t, "account")
			account := accounts[i]
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				b.Close(account)
				accounts = append(accounts[:i], accounts[i+1:]...)
			case 1:
				if !account.IsShed() {
					b.Completed(account)
				}
			case 2:
				b.Return(account, rapid.Int64Range(0, 1<<20).Draw(t, "returned"))
			default:
				decision := b.Grow(account, rapid.Int64Range(1, 1<<20).Draw(t, "bytes"), at(now))
				for _, shed := range decision.Shed {
					if shed == account || !shed.isReading || shed.Held() <= SmallBytes {
						t.Fatalf("a request was shed that may not be: %+v", shed)
					}
				}
			}
			var held, freeing int64
			for _, a := range accounts {
				held += a.Held()
				if a.IsShed() {
					freeing += a.Held()
				}
			}
			if b.Used() != held || held > limit || b.freeing != freeing {
				t.Fatalf("used %d, held %d, freeing %d of %d, limit %d", b.Used(), held, b.freeing, freeing, limit)
			}
		}
		for _, account := range accounts {
			b.Close(account)
		}
		if b.Used() != 0 || b.freeing != 0 || len(b.groups) != 0 || len(b.reading) != 0 {
			t.Fatalf("left at the end: %+v", b)
		}
	})
}
