package ownership_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plantainrelay/internal/ownership"
)

const pool = "booking"

// process is one incarnation; a paused one may come back after its instance
// was declared gone.
type process struct {
	instance    string
	incarnation string
	table       *ownership.Table
	skew        time.Duration
}

// world drives tables and planner through what may happen to them. Entries may
// send any submission to any process that still runs, since their views may be
// stale.
type world struct {
	now       time.Time
	names     int
	processes []*process
	listed    map[string]bool
	stored    *ownership.Map
	history   []*ownership.Map
	sent      []ownership.Submission
	runs      map[string]int
	toldFree  map[string]int64
}

func newWorld() *world {
	w := &world{now: time.UnixMilli(1_700_000_000_000), listed: map[string]bool{}, runs: map[string]int{}, toldFree: map[string]int64{}}
	for range 3 {
		w.join(0)
	}
	w.plan(0)
	for _, p := range w.processes {
		p.table.Offer(w.stored)
		p.table.Confirm(w.now)
	}
	return w
}

func (w *world) join(skew time.Duration) {
	w.names++
	name := fmt.Sprintf("booking-%d", w.names)
	w.listed[name] = true
	w.start(name, skew)
}

func (w *world) start(name string, skew time.Duration) {
	incarnation := fmt.Sprintf("%s/%d", name, len(w.history)+len(w.processes)+w.names*100)
	w.processes = append(w.processes, &process{instance: name, incarnation: incarnation, skew: skew, table: ownership.NewTable(name, incarnation, 1000)})
}

func (w *world) plan(skew time.Duration) {
	fleet := ownership.Fleet{Gone: map[string]bool{}}
	for _, p := range w.processes {
		if !w.listed[p.instance] {
			fleet.Gone[p.instance] = true
			continue
		}
		fleet.Agents = append(fleet.Agents, ownership.Agent{
			Instance:      p.instance,
			Incarnation:   p.incarnation,
			Eligible:      true,
			Consents:      p.table.Released(),
			HighestIssued: p.table.HighestIssued(),
		})
	}
	next, changed := ownership.Plan(w.stored, pool, fleet, w.now.Add(skew))
	if !changed {
		return
	}
	next.Revision = int64(len(w.history) + 1)
	w.stored = next
	w.history = append(w.history, next)
}

func (w *world) deliver(t *rapid.T, p *process, s ownership.Submission) {
	s.Attempt = fmt.Sprintf("attempt-%d", len(w.runs)+len(w.sent))
	verdict, _, _ := p.table.Begin(s, w.now.Add(p.skew))
	if verdict != ownership.Run {
		return
	}
	w.runs[s.Key]++
	if w.runs[s.Key] > 1 {
		t.Fatalf("key %s ran twice, the second time on %s", s.Key, p.incarnation)
	}
	if told, found := w.toldFree[s.Key]; found && s.Submitted <= told {
		t.Fatalf("key %s ran on %s after it was told not run", s.Key, p.incarnation)
	}
}

func (w *world) ask(t *rapid.T, p *process, s ownership.Submission) {
	verdict, _, _ := p.table.Ask(s, w.now.Add(p.skew))
	if verdict != ownership.Free {
		return
	}
	if w.runs[s.Key] > 0 {
		t.Fatalf("key %s ran and %s told it not run", s.Key, p.incarnation)
	}
	w.toldFree[s.Key] = max(w.toldFree[s.Key], w.now.UnixMilli())
}

func (w *world) actions(t *rapid.T) map[string]func(*rapid.T) {
	// toOwner sends as an entry does that holds the newest map or an older one.
	toOwner := func(t *rapid.T, s ownership.Submission) *process {
		held := w.stored
		if rapid.Bool().Draw(t, "stale entry") {
			held = rapid.SampledFrom(w.history).Draw(t, "entry's map")
		}
		owner := held.Slots[ownership.SlotOf(s.Customer, s.Key)]
		for _, p := range w.processes {
			if p.incarnation == owner.Incarnation {
				return p
			}
		}
		return w.processes[0]
	}
	anyProcess := func(t *rapid.T) *process { return rapid.SampledFrom(w.processes).Draw(t, "process") }
	skew := func(t *rapid.T, label string) time.Duration {
		return time.Duration(rapid.IntRange(-900, 900).Draw(t, label)) * time.Millisecond
	}
	return map[string]func(*rapid.T){
		"time passes": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		},
		"list names": func(t *rapid.T) {
			for _, p := range w.processes {
				if w.listed[p.instance] {
					p.table.Confirm(w.now.Add(p.skew))
				}
			}
		},
		"instance gone": func(t *rapid.T) {
			if p := anyProcess(t); len(w.listed) > 1 {
				delete(w.listed, p.instance)
			}
		},
		"instance joins": func(t *rapid.T) {
			if w.names < 12 {
				w.join(skew(t, "skew"))
			}
		},
		"agent restarts": func(t *rapid.T) {
			p := anyProcess(t)
			if !w.listed[p.instance] {
				return
			}
			for i, other := range w.processes {
				if other == p {
					w.processes = append(w.processes[:i:i], w.processes[i+1:]...)
					break
				}
			}
			w.start(p.instance, skew(t, "skew"))
		},
		"instance leaves": func(t *rapid.T) { anyProcess(t).table.Release() },
		"plan":            func(t *rapid.T) { w.plan(skew(t, "skew")) },
		"map arrives": func(t *rapid.T) {
			for _, p := range w.processes {
				if rapid.Bool().Draw(t, "reached") {
					p.table.Offer(w.stored)
				}
			}
		},
		"submission": func(t *rapid.T) {
			issued := w.now.Add(time.Duration(rapid.IntRange(-8000, 11000).Draw(t, "issued")) * time.Millisecond)
			s := ownership.Submission{
				ID:        ownership.ID{Pool: pool, Customer: "c", Key: fmt.Sprintf("key-%d", len(w.sent))},
				Issued:    issued.UnixMilli(),
				Submitted: w.now.UnixMilli(),
			}
			w.sent = append(w.sent, s)
			w.deliver(t, toOwner(t, s), s)
		},
		"submission again": func(t *rapid.T) {
			if len(w.sent) == 0 {
				return
			}
			s := rapid.SampledFrom(w.sent).Draw(t, "key")
			if rapid.Bool().Draw(t, "new submission") {
				s.Submitted = w.now.UnixMilli()
			}
			w.deliver(t, toOwner(t, s), s)
		},
		"question": func(t *rapid.T) {
			if len(w.sent) > 0 {
				s := rapid.SampledFrom(w.sent).Draw(t, "key")
				w.ask(t, toOwner(t, s), s)
			}
		},
	}
}

// TestKeyRunsAtMostOnce searches for a sequence of deaths, restarts, pauses,
// leavings, stale maps and stale entries in which a key runs twice, or runs
// after it was told not run.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(w.actions(t))
	})
}

func submission(key string, at time.Time) ownership.Submission {
	return ownership.Submission{
		ID:        ownership.ID{Pool: pool, Customer: "c", Key: key},
		Attempt:   "attempt of " + key,
		Issued:    at.UnixMilli(),
		Submitted: at.UnixMilli(),
	}
}

func soleOwner(c *qt.C, now time.Time, capacity int) *ownership.Table {
	table := ownership.NewTable("booking-1", "one", capacity)
	owners, changed := ownership.Plan(nil, pool, ownership.Fleet{Agents: []ownership.Agent{{Instance: "booking-1", Incarnation: "one", Eligible: true}}}, now)
	c.Assert(changed, qt.IsTrue)
	owners.Revision = 1
	table.Offer(owners)
	table.Confirm(now)
	return table
}

func TestForgottenKeyDoesNotRunAgain(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	table := soleOwner(c, now, 1)
	first := submission("first", now)
	verdict, _, _ := table.Begin(first, now)
	c.Assert(verdict, qt.Equals, ownership.Run)
	verdict, _, _ = table.Begin(submission("second", now), now)
	c.Assert(verdict, qt.Equals, ownership.Full, qt.Commentf("a key within the horizon must not be forgotten for another"))

	later := now.Add(ownership.Horizon + time.Second)
	table.Confirm(later)
	verdict, _, evicted := table.Begin(submission("third", later), later)
	c.Assert(verdict, qt.Equals, ownership.Run)
	c.Assert(evicted, qt.DeepEquals, []string{first.Attempt})
	first.Submitted = later.UnixMilli()
	verdict, _, _ = table.Begin(first, later)
	c.Assert(verdict, qt.Equals, ownership.Before)
}

func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	table := soleOwner(c, now, 10)
	s := submission("key", now)
	verdict, _, _ := table.Begin(s, now)
	c.Assert(verdict, qt.Equals, ownership.Run)
	s.Digest = 7
	verdict, _, _ = table.Begin(s, now)
	c.Assert(verdict, qt.Equals, ownership.Mismatch)
	verdict, _, _ = table.Ask(s, now)
	c.Assert(verdict, qt.Equals, ownership.Mismatch)
}

func TestBarredKeyRunsOnlyForALaterSubmission(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	table := soleOwner(c, now, 10)
	s := submission("key", now)
	verdict, _, _ := table.Ask(s, now)
	c.Assert(verdict, qt.Equals, ownership.Free)
	verdict, _, _ = table.Begin(s, now)
	c.Assert(verdict, qt.Equals, ownership.Barred)
	later := now.Add(ownership.BarTime + time.Millisecond)
	s.Submitted = later.UnixMilli()
	verdict, _, _ = table.Begin(s, later)
	c.Assert(verdict, qt.Equals, ownership.Run)
}

func TestSlotsSpreadAndStayWithTheLiving(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	fleet := ownership.Fleet{}
	for _, name := range []string{"a", "b", "c"} {
		fleet.Agents = append(fleet.Agents, ownership.Agent{Instance: name, Incarnation: name, Eligible: true})
	}
	first, changed := ownership.Plan(nil, pool, fleet, now)
	c.Assert(changed, qt.IsTrue)
	for _, count := range perOwner(first) {
		c.Assert(count >= ownership.SlotCount/3, qt.IsTrue)
	}
	fleet.Agents = fleet.Agents[1:]
	_, changed = ownership.Plan(first, pool, fleet, now)
	c.Assert(changed, qt.IsFalse, qt.Commentf("silence alone moved a slot"))
	fleet.Gone = map[string]bool{"a": true}
	second, changed := ownership.Plan(first, pool, fleet, now)
	c.Assert(changed, qt.IsTrue)
	for slot, owner := range second.Slots {
		if before := first.Slots[slot]; before.Instance != "a" {
			c.Assert(owner, qt.Equals, before)
			continue
		}
		c.Assert(owner.Since, qt.Equals, now.Add(ownership.Grace+ownership.Margin).UnixMilli())
	}
	c.Assert(perOwner(second)["a"], qt.Equals, 0)
}

func perOwner(m *ownership.Map) map[string]int {
	counts := map[string]int{}
	for _, owner := range m.Slots {
		counts[owner.Instance]++
	}
	return counts
}

// TestSuccessorDoesNotRunWhatWasToldNotRun covers a key that its owner told
// not run just before it left.
func TestSuccessorDoesNotRunWhatWasToldNotRun(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	table := soleOwner(c, now, 10)
	s := submission("key", now)
	verdict, _, _ := table.Ask(s, now)
	c.Assert(verdict, qt.Equals, ownership.Free)
	table.Release()
	next, changed := ownership.Plan(table.Owners(), pool, ownership.Fleet{Agents: []ownership.Agent{
		{Instance: "booking-1", Incarnation: "one", Consents: true, HighestIssued: table.HighestIssued()},
		{Instance: "booking-2", Incarnation: "two", Eligible: true},
	}}, now)
	c.Assert(changed, qt.IsTrue)
	next.Revision = 2
	successor := ownership.NewTable("booking-2", "two", 10)
	successor.Offer(next)
	successor.Confirm(now)
	verdict, _, _ = successor.Begin(s, now)
	c.Assert(verdict, qt.Equals, ownership.Before)
	later := submission("later", now.Add(time.Millisecond))
	verdict, _, _ = successor.Begin(later, now)
	c.Assert(verdict, qt.Equals, ownership.Run, qt.Commentf("a consented move makes no key wait"))
}

// TestSlotsWaitForStartingInstances: an instance that has just started, or started
// again, gets its share; slots of a leaving or lost owner move at once.
func TestSlotsWaitForStartingInstances(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	open := ownership.Agent{Instance: "a", Incarnation: "1", Eligible: true}
	closed := ownership.Agent{Instance: "b", Incarnation: "1"}
	_, changed := ownership.Plan(nil, "p", ownership.Fleet{Agents: []ownership.Agent{open, closed}, Starting: true}, now)
	c.Assert(changed, qt.IsFalse)
	closed.Eligible = true
	first, changed := ownership.Plan(nil, "p", ownership.Fleet{Agents: []ownership.Agent{open, closed}}, now)
	c.Assert(changed, qt.IsTrue)
	reborn := ownership.Agent{Instance: "b", Incarnation: "2"}
	_, changed = ownership.Plan(first, "p", ownership.Fleet{Agents: []ownership.Agent{open, reborn}, Starting: true}, now)
	c.Assert(changed, qt.IsFalse, qt.Commentf("it will admit requests soon"))
	reborn.Eligible = true
	next, changed := ownership.Plan(first, "p", ownership.Fleet{Agents: []ownership.Agent{open, reborn}}, now)
	c.Assert(changed, qt.IsTrue)
	owned := 0
	for _, owner := range next.Slots {
		if owner.Instance == "b" && owner.Incarnation == "2" {
			owned++
		}
	}
	c.Assert(owned, qt.Equals, ownership.SlotCount/2)
	leaving := ownership.Agent{Instance: "b", Incarnation: "1", Consents: true}
	_, changed = ownership.Plan(first, "p", ownership.Fleet{Agents: []ownership.Agent{open, leaving}, Starting: true}, now)
	c.Assert(changed, qt.IsTrue, qt.Commentf("the owner leaves"))
	_, changed = ownership.Plan(first, "p", ownership.Fleet{Agents: []ownership.Agent{open}, Gone: map[string]bool{"b": true}, Starting: true}, now)
	c.Assert(changed, qt.IsTrue, qt.Commentf("the owner is gone"))
}
