package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/replica"
)

const (
	coldTime = 8 * time.Second
	coldRate = 18
	// coldBound is the most that a cold instance may get in one second.
	coldBound = 32
	// turn is the time between two attempts of an entry to place queued requests.
	turn = 15 * time.Millisecond
)

// coldEntries are entries that have more requests queued than they can send.
type coldEntries struct {
	c      *qt.C
	hosts  []string
	fleets []*placement.Fleet
	now    time.Time
	nextAt []time.Time
	// live returns the other entries that an entry hears, and whether it is running.
	live    func(i int) []string
	running func(i int) bool
	// sent holds the times of the requests sent to an instance, by its ID, and sentBy those of
	// one entry.
	sent   map[string][]time.Time
	sentBy map[int][]time.Time
}

func newColdEntries(c *qt.C, count int) *coldEntries {
	e := &coldEntries{c: c, now: epoch, sent: map[string][]time.Time{}, sentBy: map[int][]time.Time{}, running: func(int) bool { return true }}
	e.live = func(int) []string { return e.hosts }
	for i := range count {
		e.add(i)
	}
	return e
}

// add adds an entry that has not heard of the others.
func (e *coldEntries) add(i int) {
	e.hosts = append(e.hosts, fmt.Sprintf("10.1.0.%d", i))
	fleet := placement.New(placement.Config{
		AvailabilityZone: "z1", MaxPeerLoadAge: time.Second, Seed: uint64(i), Engine: func(string) *catalog.Engine { return nil },
		ColdLimit: func(pool string) placement.ColdLimit {
			if pool != "engines" {
				return placement.ColdLimit{}
			}
			return placement.ColdLimit{Time: coldTime, RequestsPerSecond: coldRate}
		},
		ColdBound: placement.ColdBound{Overshoot: 1.5, Slack: 5},
	})
	fleet.SetList(nil, time.Time{}, e.now)
	e.fleets, e.nextAt = append(e.fleets, fleet), append(e.nextAt, e.now.Add(time.Duration(i)*time.Millisecond))
}

// setList gives all entries a list.
func (e *coldEntries) setList(all ...catalog.Backend) {
	for i, fleet := range e.fleets {
		if e.running(i) {
			fleet.SetList(all, time.Time{}, e.now)
		}
	}
}

// run lets the entries send for a time.
func (e *coldEntries) run(duration time.Duration) {
	request := placement.Requirements{Pool: "engines"}
	for end := e.now.Add(duration); e.now.Before(end); e.now = e.now.Add(time.Millisecond) {
		for i, fleet := range e.fleets {
			if !e.running(i) || e.now.Before(e.nextAt[i]) {
				continue
			}
			e.nextAt[i] = e.now.Add(turn)
			// Queued requests are placed before the entry has sent a heartbeat after a pause.
			for range 20 {
				choice, found := fleet.Choose(request, e.now)
				if !found {
					break
				}
				e.sent[choice.Backend.ID] = append(e.sent[choice.Backend.ID], e.now)
				e.sentBy[i] = append(e.sentBy[i], e.now)
				fleet.AttemptFinished(choice, placement.Succeeded, e.now)
			}
			fleet.RecordEntries(e.hosts[i], e.live(i), nil, e.now)
		}
	}
}

// perSecond returns the most requests in any second from the given time on.
func perSecond(sent []time.Time, from time.Time) int {
	most, first := 0, 0
	for i, at := range sent {
		for sent[first].Before(from) && first < i || at.Sub(sent[first]) >= time.Second {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

func coldBackend(revision int64, left time.Duration) catalog.Backend {
	inst := backend(0)
	inst.ColdReported, inst.ColdLeft, inst.ListRevision = true, left, replica.Revision{Number: revision}
	return inst
}

// TestColdInstanceGetsNoMoreThanItAccepts guards against a new instance that gets requests from
// all entries at once, and against one that stays unused.
func TestColdInstanceGetsNoMoreThanItAccepts(t *testing.T) {
	for _, count := range []int{1, 3, 4, 17, 30, 66} {
		t.Run(fmt.Sprint(count, " entries"), func(t *testing.T) {
			c := qt.New(t)
			entries := newColdEntries(c, count)
			entries.run(3 * time.Second)
			inst := backend(0)
			entries.setList(inst)
			listed := entries.now
			entries.run(coldTime)
			sent := entries.sent[inst.ID]
			c.Assert(perSecond(sent, listed) <= coldRate, qt.IsTrue, qt.Commentf("%d in one second", perSecond(sent, listed)))
			c.Assert(len(sent) >= coldRate*int(coldTime/time.Second)*8/10, qt.IsTrue, qt.Commentf("%d in all", len(sent)))
			entries.run(200 * time.Millisecond)
			c.Assert(perSecond(entries.sent[inst.ID], listed.Add(coldTime)) > 10*coldRate, qt.IsTrue, qt.Commentf("it is no longer cold"))
		})
	}
}

// TestPartitionedEntriesKeepTheirShares covers entries in two and three zones that do not hear each
// other any more: each part must not take the share of the others.
func TestPartitionedEntriesKeepTheirShares(t *testing.T) {
	for _, parts := range []int{2, 3} {
		t.Run(fmt.Sprint(parts, " parts"), func(t *testing.T) {
			c := qt.New(t)
			entries := newColdEntries(c, 12)
			entries.run(3 * time.Second)
			entries.live = func(i int) []string {
				var heard []string
				for j, host := range entries.hosts {
					if i%parts == j%parts {
						heard = append(heard, host)
					}
				}
				return heard
			}
			entries.run(10 * time.Second)
			entries.setList(backend(0))
			entries.run(coldTime)
			most := perSecond(entries.sent["i-00"], epoch)
			c.Assert(most <= coldRate, qt.IsTrue, qt.Commentf("%d in one second", most))
		})
	}
}

// TestStartingEntryDoesNotSendAsIfAlone covers entries that start and have not heard the others
// yet, or hear none of them for long.
func TestStartingEntryDoesNotSendAsIfAlone(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		t.Run(fmt.Sprint("partitioned ", partitioned), func(t *testing.T) {
			c := qt.New(t)
			entries := newColdEntries(c, 4)
			entries.run(3 * time.Second)
			seeds, startedAt := entries.hosts[:4], entries.now
			for i := 4; i < 7; i++ {
				entries.add(i)
				entries.fleets[i].ExpectEntries(seeds)
			}
			entries.live = func(i int) []string {
				if partitioned || entries.now.Sub(startedAt) < time.Second {
					if i >= 4 {
						return []string{entries.hosts[i]}
					}
					return seeds
				}
				return entries.hosts
			}
			entries.setList(backend(0))
			entries.run(coldTime)
			most := perSecond(entries.sent["i-00"], epoch)
			limit := coldRate
			if partitioned {
				limit = coldBound
			}
			c.Assert(most <= limit, qt.IsTrue, qt.Commentf("%d in one second", most))
		})
	}
}

// TestPausedEntrySendsNoBurst covers an entry that holds a full share, stands still and goes on:
// what it has queued, and the time that has passed, allow it no more than its share.
func TestPausedEntrySendsNoBurst(t *testing.T) {
	c := qt.New(t)
	entries := newColdEntries(c, 3)
	entries.run(3 * time.Second)
	entries.setList(coldBackend(1, time.Minute))
	entries.run(2 * time.Second)
	isPaused := true
	entries.running = func(i int) bool { return i != 0 || !isPaused }
	entries.run(20 * time.Second)
	isPaused = false
	wokenAt := entries.now
	entries.run(3 * time.Second)
	most := perSecond(entries.sent["i-00"], epoch)
	c.Assert(most <= coldRate, qt.IsTrue, qt.Commentf("%d in one second", most))
	most = perSecond(entries.sentBy[0], wokenAt)
	c.Assert(most <= coldRate/3, qt.IsTrue, qt.Commentf("%d in one second from the entry that was paused", most))
}

// TestPausedEntryExpectsColdInstances covers an instance that has become cold while an entry stood
// still: the entry goes on with a list from before.
func TestPausedEntryExpectsColdInstances(t *testing.T) {
	c := qt.New(t)
	entries := newColdEntries(c, 3)
	entries.setList(coldBackend(1, 0))
	entries.run(coldTime + time.Second)
	isPaused := true
	entries.running = func(i int) bool { return i != 0 || !isPaused }
	entries.run(10 * time.Second)
	entries.setList(coldBackend(2, coldTime))
	turnedCold := entries.now
	entries.run(time.Second)
	isPaused = false
	entries.run(time.Second)
	entries.setList(coldBackend(2, coldTime))
	entries.run(2 * time.Second)
	most := perSecond(entries.sent["i-00"], turnedCold.Add(time.Millisecond))
	c.Assert(most <= coldRate, qt.IsTrue, qt.Commentf("%d in one second", most))
}

// TestPauseLongerThanTheMemoryForgetsNobody covers an entry that has heard nobody for longer than
// others keep their shares, because it stood still.
func TestPauseLongerThanTheMemoryForgetsNobody(t *testing.T) {
	c := qt.New(t)
	entries := newColdEntries(c, 3)
	entries.run(3 * time.Second)
	entries.running = func(int) bool { return false }
	entries.run(10 * time.Minute)
	entries.running = func(i int) bool { return i == 0 }
	entries.live = func(i int) []string { return entries.hosts[i : i+1] }
	entries.setList(coldBackend(1, time.Minute))
	entries.run(5 * time.Second)
	most := perSecond(entries.sentBy[0], epoch)
	c.Assert(most > 0 && most <= coldRate/3, qt.IsTrue, qt.Commentf("%d in one second", most))
}

// TestInstanceThatTurnsColdIsLimitedFromThenOn covers an instance that becomes cold during traffic.
// The first requests of the entries, which learn of it together, are spread over a second.
func TestInstanceThatTurnsColdIsLimitedFromThenOn(t *testing.T) {
	c := qt.New(t)
	entries := newColdEntries(c, 18)
	entries.setList(coldBackend(1, 0))
	entries.run(coldTime + time.Second)
	for revision := int64(2); revision < 6; revision++ {
		entries.setList(coldBackend(revision, 3*time.Second))
		turnedCold := entries.now
		entries.run(3 * time.Second)
		sent := entries.sent["i-00"]
		most := perSecond(sent, turnedCold)
		c.Assert(most <= coldRate, qt.IsTrue, qt.Commentf("%d in one second", most))
		atOnce := 0
		for _, at := range sent {
			if since := at.Sub(turnedCold); since >= 0 && since < 100*time.Millisecond {
				atOnce++
			}
		}
		c.Assert(atOnce <= 4, qt.IsTrue, qt.Commentf("%d within 100 ms", atOnce))
		entries.run(time.Second)
	}
}

// isLimited reports whether an entry sends no more than the limit to the instance of a fleet.
func isLimited(fleet *placement.Fleet, now time.Time) bool {
	for range 5 {
		choice, found := fleet.Choose(placement.Requirements{Pool: "engines"}, now)
		if !found {
			return true
		}
		fleet.AttemptFinished(choice, placement.Succeeded, now)
	}
	return false
}

// TestOldListDoesNotEndTheTimeTooEarly covers list entries that were written before they are read:
// the entry of a new start may be older than the time in which it is cold, and one that is decoded
// again says nothing new.
func TestOldListDoesNotEndTheTimeTooEarly(t *testing.T) {
	unknown := func(revision int64) catalog.Backend {
		inst := coldBackend(revision, 0)
		inst.ColdReported = false
		return inst
	}
	restored := coldBackend(1, 0)
	restored.ListRevision.Era = 1
	type step struct {
		at        time.Duration
		list      []catalog.Backend
		isLimited bool
	}
	for name, steps := range map[string][]step{
		"a new start":                          {{0, []catalog.Backend{unknown(1)}, true}, {coldTime - 1, nil, true}, {coldTime, nil, false}},
		"its first list entry says 0":          {{0, []catalog.Backend{coldBackend(1, 0)}, true}, {coldTime - 1, nil, true}, {coldTime, nil, false}},
		"a changed list entry says 0":          {{0, []catalog.Backend{coldBackend(1, 0)}, true}, {time.Second, []catalog.Backend{coldBackend(2, 0)}, false}},
		"a changed list entry says nothing":    {{0, []catalog.Backend{unknown(1)}, true}, {time.Second, []catalog.Backend{unknown(2)}, true}, {coldTime, nil, false}},
		"the same list entry is decoded again": {{0, []catalog.Backend{coldBackend(1, coldTime)}, true}, {5 * time.Second, []catalog.Backend{coldBackend(1, coldTime)}, true}, {coldTime, nil, false}},
		"a changed list entry is later":        {{0, []catalog.Backend{coldBackend(1, coldTime)}, true}, {5 * time.Second, []catalog.Backend{coldBackend(2, coldTime)}, true}, {coldTime + time.Second, nil, true}, {5*time.Second + coldTime, nil, false}},
		"a restored list says 0":               {{0, []catalog.Backend{coldBackend(5, coldTime)}, true}, {time.Second, []catalog.Backend{restored}, true}, {coldTime, nil, false}},
		"it disappears and comes back":         {{0, []catalog.Backend{coldBackend(1, 0)}, true}, {coldTime, []catalog.Backend{}, true}, {coldTime + time.Second, []catalog.Backend{coldBackend(1, 0)}, false}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			entries := newColdEntries(c, 1)
			entries.run(3 * time.Second)
			from := entries.now
			for _, step := range steps {
				now := from.Add(step.at)
				for at := entries.now; at.Before(now); at = at.Add(200 * time.Millisecond) {
					entries.fleets[0].RecordEntries(entries.hosts[0], entries.hosts, nil, at)
				}
				entries.now = now
				if step.list != nil {
					entries.fleets[0].SetList(step.list, time.Time{}, now)
				}
				c.Assert(isLimited(entries.fleets[0], now), qt.Equals, step.isLimited, qt.Commentf("at %s", step.at))
			}
		})
	}
}

// TestInstancesOfTheFirstListAreColdOnlyIfTheySaySo covers an entry that starts during traffic: it
// does not slow down instances that run for long.
func TestInstancesOfTheFirstListAreColdOnlyIfTheySaySo(t *testing.T) {
	for _, left := range []time.Duration{0, time.Minute} {
		t.Run(left.String(), func(t *testing.T) {
			c := qt.New(t)
			fleet := placement.New(placement.Config{ColdLimit: func(string) placement.ColdLimit {
				return placement.ColdLimit{Time: coldTime, RequestsPerSecond: coldRate}
			}})
			fleet.RecordEntries("10.1.0.0", nil, nil, epoch)
			fleet.SetList([]catalog.Backend{coldBackend(1, left)}, time.Time{}, epoch)
			c.Assert(isLimited(fleet, epoch), qt.Equals, left > 0)
		})
	}
}

// TestZoneIsColdAfterAnEvacuation covers instances that get the whole load again when their zone
// comes back.
func TestZoneIsColdAfterAnEvacuation(t *testing.T) {
	c := qt.New(t)
	entries := newColdEntries(c, 1)
	entries.setList(coldBackend(1, 0))
	entries.run(coldTime + time.Second)
	fleet := entries.fleets[0]
	c.Assert(isLimited(fleet, entries.now), qt.IsFalse)
	fleet.MarkCold("z2", entries.now.Add(coldTime), entries.now)
	c.Assert(isLimited(fleet, entries.now), qt.IsFalse, qt.Commentf("another zone"))
	fleet.MarkCold("z1", entries.now.Add(coldTime), entries.now)
	c.Assert(isLimited(fleet, entries.now), qt.IsTrue)
	entries.setList(coldBackend(1, 0))
	c.Assert(isLimited(fleet, entries.now), qt.IsTrue, qt.Commentf("the list says nothing new"))
	entries.setList(coldBackend(2, 0))
	c.Assert(isLimited(fleet, entries.now), qt.IsFalse, qt.Commentf("the list says that it is not cold"))
}

// TestUnusedSlotOfAColdInstanceIsNotCounted covers a reservation that is withdrawn: the share of the
// second must not be lost.
func TestUnusedSlotOfAColdInstanceIsNotCounted(t *testing.T) {
	c := qt.New(t)
	entries := newColdEntries(c, 1)
	entries.run(3 * time.Second)
	entries.setList(backend(0))
	request := placement.Requirements{Pool: "engines"}
	choice, found := entries.fleets[0].Choose(request, entries.now)
	c.Assert(found && choice.Cold, qt.IsTrue)
	entries.fleets[0].AttemptFinished(choice, placement.NotUsed, entries.now)
	_, found = entries.fleets[0].Choose(request, entries.now)
	c.Assert(found, qt.IsTrue)
}

// TestShareOfAnEndedEntryIsUsedAgain covers entries that end: the share of one that has said so goes
// to the others at once, though not together with its last requests.
func TestShareOfAnEndedEntryIsUsedAgain(t *testing.T) {
	for _, isLeaving := range []bool{true, false} {
		t.Run(fmt.Sprint("leaving ", isLeaving), func(t *testing.T) {
			c := qt.New(t)
			fleet := newColdEntries(c, 1).fleets[0]
			fleet.SetList([]catalog.Backend{}, time.Time{}, epoch)
			now := epoch
			hosts := []string{"10.1.0.0", "10.1.0.1", "10.1.0.2"}
			for ; now.Sub(epoch) < 3*time.Second; now = now.Add(200 * time.Millisecond) {
				fleet.RecordEntries(hosts[0], hosts, nil, now)
			}
			if isLeaving {
				fleet.RecordEntries(hosts[0], hosts, hosts[1:], now)
			}
			fleet.SetList([]catalog.Backend{coldBackend(1, time.Minute)}, time.Time{}, now)
			sent, from := 0, now.Add(2*time.Second)
			for ; now.Sub(from) < time.Second; now = now.Add(turn) {
				fleet.RecordEntries(hosts[0], hosts[:1], nil, now)
				if choice, found := fleet.Choose(placement.Requirements{Pool: "engines"}, now); found {
					fleet.AttemptFinished(choice, placement.Succeeded, now)
					if !now.Before(from) {
						sent++
					}
				}
			}
			if isLeaving {
				c.Assert(sent > coldRate*8/10, qt.IsTrue, qt.Commentf("%d", sent))
			} else {
				c.Assert(sent <= coldRate/3, qt.IsTrue, qt.Commentf("%d", sent))
			}
		})
	}
}

// TestColdInstancesAreReportedOnce guards against a log line for each list entry that counts the
// remaining time down.
func TestColdInstancesAreReportedOnce(t *testing.T) {
	c := qt.New(t)
	fleet := newColdEntries(c, 1).fleets[0]
	var kinds []placement.ChangeKind
	record := func(changes []placement.Change) {
		for _, change := range changes {
			kinds = append(kinds, change.Kind)
		}
	}
	for second := range 10 {
		now := epoch.Add(time.Duration(second) * time.Second)
		record(fleet.SetList([]catalog.Backend{coldBackend(int64(second+1), max(coldTime-now.Sub(epoch), 0))}, time.Time{}, now))
		record(fleet.Expire(now.Add(time.Millisecond)))
	}
	c.Assert(kinds, qt.DeepEquals, []placement.ChangeKind{placement.Joined, placement.Cold, placement.Warm})
}

// TestZoneThatReturnsIsCold guards against the load of a whole zone that goes at once to instances
// that have become cold while their zone was evacuated.
func TestZoneThatReturnsIsCold(t *testing.T) {
	c := qt.New(t)
	e := newColdEntries(c, 8)
	e.setList(coldBackend(1, 0))
	e.run(10 * time.Second)
	for _, fleet := range e.fleets {
		fleet.SetEvacuated([]string{"z1"}, e.now)
	}
	e.run(time.Second)
	for _, fleet := range e.fleets {
		fleet.SetEvacuated(nil, e.now)
		c.Assert(fleet.ColdInstances(e.now), qt.Equals, 1)
	}
	e.run(2 * time.Second)
	for _, fleet := range e.fleets {
		c.Assert(fleet.ColdInstances(e.now), qt.Equals, 1)
	}
	e.setList(coldBackend(2, 0))
	for _, fleet := range e.fleets {
		c.Assert(fleet.ColdInstances(e.now), qt.Equals, 0, qt.Commentf("its list entry says that it is not cold"))
	}
}
