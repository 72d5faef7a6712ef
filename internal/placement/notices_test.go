package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/placement"
)

func startOf(i int) placement.InstanceStart {
	return placement.InstanceStart{ID: backend(i).ID, Start: backend(i).Start}
}

// TestLeavingNoticeOutlivesTheList guards against requests to an instance that has said
// that it leaves: its list entry lags, expires during a store outage, or disappears and
// comes back from an older copy of the store. It counts for that start only.
func TestLeavingNoticeOutlivesTheList(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(2), time.Time{}, epoch)
	c.Assert(fleet.MarkLeaving(startOf(0), epoch), qt.IsTrue)
	c.Assert(fleet.MarkLeaving(startOf(0), epoch), qt.IsFalse, qt.Commentf("it was known"))
	now := epoch
	for _, step := range []struct {
		name   string
		change func()
	}{
		{"the list lags", func() {}},
		{"the list is read again", func() { fleet.SetList(backends(2), time.Time{}, now) }},
		{"the list entry has expired", func() { fleet.SetList(backends(2)[1:], now.Add(time.Second), now) }},
		{"the list entry has come back", func() {
			fleet.SetList(nil, time.Time{}, now)
			fleet.SetList(backends(2), time.Time{}, now)
		}},
		{"the list entry has come back after an hour in the list", func() {
			now = now.Add(time.Hour)
			fleet.SetList(nil, time.Time{}, now)
			fleet.MarkLeaving(startOf(7), now)
			fleet.SetList(backends(2), time.Time{}, now)
		}},
	} {
		step.change()
		for _, kind := range []placement.Requirements{need, {Pool: "engines", Model: "m", RandomizeChoice: true}, {Pool: "engines", Model: "m", Tried: map[string]bool{"i-01": true}}} {
			for range 4 {
				if choice, found := fleet.Choose(kind, now); found {
					c.Assert(choice.Backend.ID, qt.Equals, "i-01", qt.Commentf("%s", step.name))
					fleet.AttemptFinished(choice, placement.Succeeded, now)
				}
			}
		}
	}
	unlisted := newFleet(2)
	unlisted.MarkLeaving(startOf(0), now)
	unlisted.SetList(backends(1), time.Time{}, now)
	_, found := unlisted.Choose(need, now)
	c.Assert(found, qt.IsFalse, qt.Commentf("another entry told of it before the list did"))
	restarted := backend(0)
	restarted.Start = 2
	fleet.SetList([]catalog.Backend{restarted}, time.Time{}, now)
	_, found = fleet.Choose(need, now)
	c.Assert(found, qt.IsTrue, qt.Commentf("another start"))
}

// TestLeavingNoticesEndTheirRound guards against entries that tell each other for ever
// that an instance leaves, and against messages and memory that grow with such notices.
func TestLeavingNoticesEndTheirRound(t *testing.T) {
	c := qt.New(t)
	a, b := newFleet(1), newFleet(2)
	const limit, period = 32, 10 * time.Second
	for i := range 2000 {
		a.MarkLeaving(startOf(i), epoch.Add(time.Duration(i)*time.Millisecond))
	}
	now := epoch.Add(2 * time.Second)
	recent := a.RecentlyLeaving(now.Add(-period), limit)
	c.Assert(recent, qt.HasLen, limit)
	c.Assert(recent[0], qt.Equals, startOf(1999))
	c.Assert(a.RecentlyLeaving(time.Time{}, 5000), qt.HasLen, 1024)
	told := 0
	for ; told < 100; told++ {
		toB := a.RecentlyLeaving(now.Add(-period), limit)
		for _, start := range toB {
			b.MarkLeaving(start, now)
		}
		toA := b.RecentlyLeaving(now.Add(-period), limit)
		for _, start := range toA {
			a.MarkLeaving(start, now)
		}
		if len(toA)+len(toB) == 0 {
			break
		}
		now = now.Add(time.Second)
	}
	c.Assert(told < 30, qt.IsTrue, qt.Commentf("told for %d s", told))
}

// TestResponderIsNotTheChosenInstance covers an address that another instance uses now.
func TestResponderIsNotTheChosenInstance(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	other := backend(1)
	other.Address = backend(0).Address
	fleet.SetList([]catalog.Backend{other, backend(2)}, time.Time{}, epoch)
	choice := placement.Choice{Backend: backend(0)}
	for id, want := range map[string]bool{"": true, "i-00": true, "i-01": true, "i-02": false, "i-09": false} {
		_, found := fleet.Responder(choice, id)
		c.Check(found, qt.Equals, want, qt.Commentf("%q", id))
	}
	start, _ := fleet.Responder(choice, "i-01")
	c.Assert(start, qt.Equals, startOf(1))
}

// TestWaitingInstanceGetsNothingUntilTheEnd guards against requests to an instance that has
// asked for none, also when its list entry disappears meanwhile.
func TestWaitingInstanceGetsNothingUntilTheEnd(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(1), time.Time{}, epoch)
	end := epoch.Add(3 * time.Second)
	c.Assert(fleet.RecordWait(startOf(0), end, epoch), qt.IsTrue)
	c.Assert(fleet.RecordWait(startOf(0), end.Add(-time.Second), epoch), qt.IsFalse, qt.Commentf("an earlier end"))
	fleet.SetList(nil, time.Time{}, epoch)
	fleet.SetList(backends(1), time.Time{}, epoch)
	for now := epoch; now.Before(end); now = now.Add(100 * time.Millisecond) {
		_, found := fleet.Choose(need, now)
		c.Assert(found, qt.IsFalse, qt.Commentf("after %s", now.Sub(epoch)))
	}
	_, found := fleet.Choose(need, end)
	c.Assert(found, qt.IsTrue)
}

// TestWaitIsNoFailure guards against a backoff, and longer backoffs later, for an instance
// that has asked to wait.
func TestWaitIsNoFailure(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(1), time.Time{}, epoch)
	end := epoch.Add(100 * time.Millisecond)
	for range 5 {
		choice, found := fleet.Choose(need, epoch)
		c.Assert(found, qt.IsTrue)
		fleet.AttemptFinished(choice, placement.AskedToWait, epoch)
	}
	fleet.RecordWait(startOf(0), end, epoch)
	choice, found := fleet.Choose(need, end)
	c.Assert(found, qt.IsTrue)
	fleet.AttemptFinished(choice, placement.Failed, end)
	count, _ := fleet.Usable(need, end.Add(500*time.Millisecond))
	c.Assert(count, qt.Equals, 1, qt.Commentf("the first failure has the shortest backoff"))
}

// TestReturnAfterAWaitIsPaced guards against an instance that gets all queued requests at
// the instant at which its wait ends, and asks to wait again.
func TestReturnAfterAWaitIsPaced(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(1), time.Time{}, epoch)
	end := epoch.Add(time.Second)
	fleet.RecordWait(startOf(0), end, epoch)
	placed := 0
	placeAll := func(now time.Time) int {
		for {
			if _, found := fleet.Choose(need, now); !found {
				return placed
			}
			placed++
		}
	}
	c.Assert(placeAll(end), qt.Equals, 1)
	last := 1
	for now := end; now.Before(end.Add(time.Second)); now = now.Add(100 * time.Millisecond) {
		count := placeAll(now)
		c.Assert(count-last <= 2, qt.IsTrue, qt.Commentf("%d more after %s", count-last, now.Sub(end)))
		last = count
	}
	c.Assert(placeAll(end.Add(time.Second)), qt.Equals, 16)
}

// TestWaitDoesNotOverloadTheOthers covers instances that ask to wait one after the other:
// those that are left get no more requests than they have slots.
func TestWaitDoesNotOverloadTheOthers(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(4), time.Time{}, epoch)
	placed := map[string]int{}
	for i := range 3 {
		fleet.RecordWait(startOf(i), epoch.Add(time.Minute), epoch)
		for range 100 {
			if choice, found := fleet.Choose(need, epoch); found {
				placed[choice.Backend.ID]++
			}
		}
	}
	c.Assert(placed["i-00"], qt.Equals, 0)
	for id, count := range placed {
		c.Check(count <= 16, qt.IsTrue, qt.Commentf("%s got %d", id, count))
	}
}

// TestPoolWait guards against callers that wait in vain while all instances have asked to
// wait, and against refusing those that another instance can serve.
func TestPoolWait(t *testing.T) {
	c := qt.New(t)
	at := func(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }
	tried := need
	tried.Tried = map[string]bool{"i-00": true}
	switching := placement.AgentReport{EngineStart: 1, LoadedVersion: 1, Switching: true, AgentStart: 1, Sequence: 1}
	for _, one := range []struct {
		name    string
		prepare func(*placement.Fleet)
		need    placement.Requirements
		want    placement.PoolWait
		all     bool
	}{
		{"none waits", func(*placement.Fleet) {}, need, placement.PoolWait{}, false},
		{"one waits", func(f *placement.Fleet) { f.RecordWait(startOf(0), at(4), epoch) }, need, placement.PoolWait{}, false},
		{"all wait", func(f *placement.Fleet) {
			f.RecordWait(startOf(0), at(4), epoch)
			f.RecordWait(startOf(1), at(2), epoch)
		}, need, placement.PoolWait{EndsAt: at(2), StartsAt: at(2)}, true},
		{"the one that ends first was tried", func(f *placement.Fleet) {
			f.RecordWait(startOf(0), at(2), epoch)
			f.RecordWait(startOf(1), at(4), epoch)
		}, tried, placement.PoolWait{EndsAt: at(2), StartsAt: at(4)}, true},
		{"the other one leaves", func(f *placement.Fleet) {
			f.RecordWait(startOf(0), at(4), epoch)
			f.MarkLeaving(startOf(1), epoch)
		}, tried, placement.PoolWait{EndsAt: at(4)}, true},
		{"the other one has failed", func(f *placement.Fleet) {
			f.RecordWait(startOf(0), at(4), epoch)
			f.AttemptFinished(placement.Choice{Backend: backend(1)}, placement.Failed, epoch)
		}, need, placement.PoolWait{EndsAt: epoch.Add(500 * time.Millisecond), StartsAt: epoch.Add(500 * time.Millisecond)}, true},
		{"the other one switches versions", func(f *placement.Fleet) {
			f.RecordWait(startOf(0), at(4), epoch)
			f.UpdateReport("10.0.0.1", switching, epoch)
		}, need, placement.PoolWait{}, false},
	} {
		fleet := newFleet(1)
		fleet.SetList(backends(2), time.Time{}, epoch)
		one.prepare(fleet)
		wait, all := fleet.PoolWait(one.need, epoch)
		c.Check(all, qt.Equals, one.all, qt.Commentf("%s", one.name))
		if all {
			c.Check(wait, qt.Equals, one.want, qt.Commentf("%s", one.name))
		}
	}
}

// TestNoticesAreCounted covers what monitoring shows.
func TestNoticesAreCounted(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(3), time.Time{}, epoch)
	for i := range 2 {
		fleet.RecordWait(startOf(i), epoch.Add(time.Second), epoch)
	}
	fleet.MarkLeaving(startOf(0), epoch)
	fleet.MarkLeaving(startOf(9), epoch)
	counts := func(now time.Time) string {
		leaving, waiting := fleet.NoticeCounts(now)
		return fmt.Sprint(leaving, " ", waiting, " ", fleet.HasWaiting(now))
	}
	c.Assert(counts(epoch), qt.Equals, "1 1 true")
	c.Assert(counts(epoch.Add(time.Second)), qt.Equals, "1 0 false")
}
