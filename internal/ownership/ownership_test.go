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

// process is one incarnation of an instance. A paused one may resume after its
// instance was removed.
type process struct {
	instance    string
	incarnation string
	table       *ownership.KeyTable
	skew        time.Duration
}

// simulation applies random events to the key tables and the planner. Entries may send
// any submission to any running process, since their views may be stale.
type simulation struct {
	now            time.Time
	instanceCount  int
	processes      []*process
	listed         map[string]bool
	stored         *ownership.Map
	history        []*ownership.Map
	sent           []ownership.Submission
	runs           map[string]int
	reportedNotRun map[string]int64
}

func newSimulation() *simulation {
	sim := &simulation{now: time.UnixMilli(1_700_000_000_000), listed: map[string]bool{}, runs: map[string]int{}, reportedNotRun: map[string]int64{}}
	for range 3 {
		sim.join(0)
	}
	sim.plan(0)
	for _, p := range sim.processes {
		p.table.Update(sim.stored)
		p.table.Confirm(sim.now)
	}
	return sim
}

func (sim *simulation) join(skew time.Duration) {
	sim.instanceCount++
	name := fmt.Sprintf("booking-%d", sim.instanceCount)
	sim.listed[name] = true
	sim.start(name, skew)
}

func (sim *simulation) start(name string, skew time.Duration) {
	incarnation := fmt.Sprintf("%s/%d", name, len(sim.history)+len(sim.processes)+sim.instanceCount*100)
	sim.processes = append(sim.processes, &process{instance: name, incarnation: incarnation, skew: skew, table: ownership.NewKeyTable(name, incarnation, 1000)})
}

func (sim *simulation) plan(skew time.Duration) {
	fleet := ownership.Fleet{Removed: map[string]bool{}}
	for _, p := range sim.processes {
		if !sim.listed[p.instance] {
			fleet.Removed[p.instance] = true
			continue
		}
		fleet.Agents = append(fleet.Agents, ownership.Agent{
			Instance:      p.instance,
			Incarnation:   p.incarnation,
			Eligible:      true,
			Released:      p.table.Released(),
			HighestIssued: p.table.HighestIssued(),
		})
	}
	next, changed := ownership.Plan(sim.stored, pool, fleet, sim.now.Add(skew))
	if !changed {
		return
	}
	next.Revision = int64(len(sim.history) + 1)
	sim.stored = next
	sim.history = append(sim.history, next)
}

func (sim *simulation) deliver(t *rapid.T, p *process, s ownership.Submission) {
	s.Attempt = fmt.Sprintf("attempt-%d", len(sim.runs)+len(sim.sent))
	verdict, _, _ := p.table.Begin(s, sim.now.Add(p.skew))
	if verdict != ownership.Run {
		return
	}
	sim.runs[s.Key]++
	if sim.runs[s.Key] > 1 {
		t.Fatalf("key %s ran twice, the second time on %s", s.Key, p.incarnation)
	}
	if reported, found := sim.reportedNotRun[s.Key]; found && s.Submitted <= reported {
		t.Fatalf("key %s ran on %s after it was reported as not run", s.Key, p.incarnation)
	}
}

func (sim *simulation) query(t *rapid.T, p *process, s ownership.Submission) {
	verdict, _, _ := p.table.QueryAndBar(s, sim.now.Add(p.skew))
	if verdict != ownership.NotRun {
		return
	}
	if sim.runs[s.Key] > 0 {
		t.Fatalf("key %s ran and %s reported it as not run", s.Key, p.incarnation)
	}
	sim.reportedNotRun[s.Key] = max(sim.reportedNotRun[s.Key], sim.now.UnixMilli())
}

func (sim *simulation) actions(t *rapid.T) map[string]func(*rapid.T) {
	// toOwner returns the process to which an entry with the newest or an older map
	// sends a submission.
	toOwner := func(t *rapid.T, s ownership.Submission) *process {
		view := sim.stored
		if rapid.Bool().Draw(t, "stale entry") {
			view = rapid.SampledFrom(sim.history).Draw(t, "entry's map")
		}
		owner := view.Slots[ownership.SlotOf(s.Customer, s.Key)]
		for _, p := range sim.processes {
			if p.incarnation == owner.Incarnation {
				return p
			}
		}
		return sim.processes[0]
	}
	anyProcess := func(t *rapid.T) *process { return rapid.SampledFrom(sim.processes).Draw(t, "process") }
	skew := func(t *rapid.T, label string) time.Duration {
		return time.Duration(rapid.IntRange(-900, 900).Draw(t, label)) * time.Millisecond
	}
	return map[string]func(*rapid.T){
		"time passes": func(t *rapid.T) {
			sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		},
		"list names": func(t *rapid.T) {
			for _, p := range sim.processes {
				if sim.listed[p.instance] {
					p.table.Confirm(sim.now.Add(p.skew))
				}
			}
		},
		"instance gone": func(t *rapid.T) {
			if p := anyProcess(t); len(sim.listed) > 1 {
				delete(sim.listed, p.instance)
			}
		},
		"instance joins": func(t *rapid.T) {
			if sim.instanceCount < 12 {
				sim.join(skew(t, "skew"))
			}
		},
		"agent restarts": func(t *rapid.T) {
			p := anyProcess(t)
			if !sim.listed[p.instance] {
				return
			}
			for i, other := range sim.processes {
				if other == p {
					sim.processes = append(sim.processes[:i:i], sim.processes[i+1:]...)
					break
				}
			}
			sim.start(p.instance, skew(t, "skew"))
		},
		"instance leaves": func(t *rapid.T) { anyProcess(t).table.Release() },
		"plan":            func(t *rapid.T) { sim.plan(skew(t, "skew")) },
		"map arrives": func(t *rapid.T) {
			for _, p := range sim.processes {
				if rapid.Bool().Draw(t, "reached") {
					p.table.Update(sim.stored)
				}
			}
		},
		"submission": func(t *rapid.T) {
			issued := sim.now.Add(time.Duration(rapid.IntRange(-8000, 11000).Draw(t, "issued")) * time.Millisecond)
			s := ownership.Submission{
				ID:        ownership.ID{Pool: pool, Customer: "c", Key: fmt.Sprintf("key-%d", len(sim.sent))},
				Issued:    issued.UnixMilli(),
				Submitted: sim.now.UnixMilli(),
			}
			sim.sent = append(sim.sent, s)
			sim.deliver(t, toOwner(t, s), s)
		},
		"submission again": func(t *rapid.T) {
			if len(sim.sent) == 0 {
				return
			}
			s := rapid.SampledFrom(sim.sent).Draw(t, "key")
			if rapid.Bool().Draw(t, "new submission") {
				s.Submitted = sim.now.UnixMilli()
			}
			sim.deliver(t, toOwner(t, s), s)
		},
		"question": func(t *rapid.T) {
			if len(sim.sent) > 0 {
				s := rapid.SampledFrom(sim.sent).Draw(t, "key")
				sim.query(t, toOwner(t, s), s)
			}
		},
	}
}

// TestKeyRunsAtMostOnce searches for a sequence of removals, restarts, pauses,
// departures, stale maps and stale entries in which a key runs twice, or runs after it
// was reported as not run.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		t.Repeat(sim.actions(t))
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

func soleOwner(c *qt.C, now time.Time, capacity int) *ownership.KeyTable {
	table := ownership.NewKeyTable("booking-1", "one", capacity)
	owners, changed := ownership.Plan(nil, pool, ownership.Fleet{Agents: []ownership.Agent{{Instance: "booking-1", Incarnation: "one", Eligible: true}}}, now)
	c.Assert(changed, qt.IsTrue)
	owners.Revision = 1
	table.Update(owners)
	table.Confirm(now)
	return table
}

func TestEvictedKeyDoesNotRunAgain(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	table := soleOwner(c, now, 1)
	first := submission("first", now)
	verdict, _, _ := table.Begin(first, now)
	c.Assert(verdict, qt.Equals, ownership.Run)
	verdict, _, _ = table.Begin(submission("second", now), now)
	c.Assert(verdict, qt.Equals, ownership.TableFull, qt.Commentf("a key within KeyRetention must not be evicted for another"))

	later := now.Add(ownership.KeyRetention + time.Second)
	table.Confirm(later)
	verdict, _, evicted := table.Begin(submission("third", later), later)
	c.Assert(verdict, qt.Equals, ownership.Run)
	c.Assert(evicted, qt.DeepEquals, []string{first.Attempt})
	first.Submitted = later.UnixMilli()
	verdict, _, _ = table.Begin(first, later)
	c.Assert(verdict, qt.Equals, ownership.IssuedBefore)
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
	verdict, _, _ = table.QueryAndBar(s, now)
	c.Assert(verdict, qt.Equals, ownership.Mismatch)
}

func TestBarredKeyRunsOnlyForALaterSubmission(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	table := soleOwner(c, now, 10)
	s := submission("key", now)
	verdict, _, _ := table.QueryAndBar(s, now)
	c.Assert(verdict, qt.Equals, ownership.NotRun)
	verdict, _, _ = table.Begin(s, now)
	c.Assert(verdict, qt.Equals, ownership.Barred)
	later := now.Add(ownership.BarDuration + time.Millisecond)
	s.Submitted = later.UnixMilli()
	verdict, _, _ = table.Begin(s, later)
	c.Assert(verdict, qt.Equals, ownership.Run)
}

func TestSlotsAreBalancedAndMoveOnlyFromRemovedOwners(t *testing.T) {
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
	c.Assert(changed, qt.IsFalse, qt.Commentf("a slot moved only because the state of its owner is unknown"))
	fleet.Removed = map[string]bool{"a": true}
	second, changed := ownership.Plan(first, pool, fleet, now)
	c.Assert(changed, qt.IsTrue)
	for slot, owner := range second.Slots {
		if before := first.Slots[slot]; before.Instance != "a" {
			c.Assert(owner, qt.Equals, before)
			continue
		}
		c.Assert(owner.Since, qt.Equals, now.Add(ownership.GracePeriod+ownership.SkewMargin).UnixMilli())
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

// TestSuccessorDoesNotRunKeyReportedAsNotRun covers a key that its owner reported as
// not run just before it left.
func TestSuccessorDoesNotRunKeyReportedAsNotRun(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	table := soleOwner(c, now, 10)
	s := submission("key", now)
	verdict, _, _ := table.QueryAndBar(s, now)
	c.Assert(verdict, qt.Equals, ownership.NotRun)
	table.Release()
	next, changed := ownership.Plan(table.Owners(), pool, ownership.Fleet{Agents: []ownership.Agent{
		{Instance: "booking-1", Incarnation: "one", Released: true, HighestIssued: table.HighestIssued()},
		{Instance: "booking-2", Incarnation: "two", Eligible: true},
	}}, now)
	c.Assert(changed, qt.IsTrue)
	next.Revision = 2
	successor := ownership.NewKeyTable("booking-2", "two", 10)
	successor.Update(next)
	successor.Confirm(now)
	verdict, _, _ = successor.Begin(s, now)
	c.Assert(verdict, qt.Equals, ownership.IssuedBefore)
	later := submission("later", now.Add(time.Millisecond))
	verdict, _, _ = successor.Begin(later, now)
	c.Assert(verdict, qt.Equals, ownership.Run, qt.Commentf("later keys run at once after a released slot has moved"))
}

// TestSlotsWaitForStartingInstances checks that an instance that has just started or
// restarted gets its share of the slots, and that slots of a leaving or removed owner
// move at once.
func TestSlotsWaitForStartingInstances(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	eligible := ownership.Agent{Instance: "a", Incarnation: "1", Eligible: true}
	starting := ownership.Agent{Instance: "b", Incarnation: "1"}
	_, changed := ownership.Plan(nil, "p", ownership.Fleet{Agents: []ownership.Agent{eligible, starting}, Starting: true}, now)
	c.Assert(changed, qt.IsFalse)
	starting.Eligible = true
	first, changed := ownership.Plan(nil, "p", ownership.Fleet{Agents: []ownership.Agent{eligible, starting}}, now)
	c.Assert(changed, qt.IsTrue)
	restarted := ownership.Agent{Instance: "b", Incarnation: "2"}
	_, changed = ownership.Plan(first, "p", ownership.Fleet{Agents: []ownership.Agent{eligible, restarted}, Starting: true}, now)
	c.Assert(changed, qt.IsFalse, qt.Commentf("the restarted instance will admit requests soon"))
	restarted.Eligible = true
	next, changed := ownership.Plan(first, "p", ownership.Fleet{Agents: []ownership.Agent{eligible, restarted}}, now)
	c.Assert(changed, qt.IsTrue)
	owned := 0
	for _, owner := range next.Slots {
		if owner.Instance == "b" && owner.Incarnation == "2" {
			owned++
		}
	}
	c.Assert(owned, qt.Equals, ownership.SlotCount/2)
	leaving := ownership.Agent{Instance: "b", Incarnation: "1", Released: true}
	_, changed = ownership.Plan(first, "p", ownership.Fleet{Agents: []ownership.Agent{eligible, leaving}, Starting: true}, now)
	c.Assert(changed, qt.IsTrue, qt.Commentf("the owner is leaving"))
	_, changed = ownership.Plan(first, "p", ownership.Fleet{Agents: []ownership.Agent{eligible}, Removed: map[string]bool{"b": true}, Starting: true}, now)
	c.Assert(changed, qt.IsTrue, qt.Commentf("the owner was removed"))
}
