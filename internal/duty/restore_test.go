package duty_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/duty"
	"plantainrelay/internal/replica"
)

// readsPerSecond is the platform's limit on calls of all processes together.
const readsPerSecond = 2_000

// restore lets the store go on in the next era from an older revision. The revision that
// it returns is that of the document, which the operator has written again.
func (f *fleet) restore(lost int64) replica.Revision {
	f.revision = replica.Revision{Era: f.revision.Era + 1, Number: f.revision.Number - lost + 1}
	f.callTimes, f.listings = nil, nil
	return f.revision
}

// mostCallsInASecond returns the largest number of calls in a second since the last
// restore.
func (f *fleet) mostCallsInASecond() int {
	most, first := 0, 0
	for i, at := range f.callTimes {
		for at.Sub(f.callTimes[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// setStoreDown lets the store fail the calls of all entries, or none.
func (f *fleet) setStoreDown(fault storeFault) {
	for _, n := range f.nodes {
		f.faults[n.entry.Host] = fault
	}
}

// TestRestoreIsListedByWatchersOnly guards against a burst of calls when a store with 330
// processes comes back from an older copy of itself: the watcher of each availability zone
// lists the collection, and the others receive it from their peers. An era that rises
// again meanwhile, and a process that learns of it late, cost no further calls.
func TestRestoreIsListedByWatchersOnly(t *testing.T) {
	c := qt.New(t)
	for _, outage := range []time.Duration{0, 3 * time.Second} {
		f := newFleet(1, duty.TablesPlan(2*time.Second), 110, 110, 110)
		f.revision.Number = 100
		f.run(f.now.Add(3 * time.Second))
		usual := 0
		if outage == 0 {
			f.callTimes = nil
			f.run(f.now.Add(3 * time.Second))
			usual = len(f.callTimes)
		} else {
			f.setStoreDown(busy)
			f.run(f.now.Add(outage))
			f.setStoreDown("")
		}
		restored := f.restore(10)
		at := f.now
		f.run(f.now.Add(3 * time.Second))
		comment := qt.Commentf("outage of %s: %d calls, listings by %v", outage, len(f.callTimes), f.listings)
		c.Check(len(f.listings) <= 2*3, qt.IsTrue, comment)
		c.Check(outage > 0 || len(f.callTimes) <= usual+4*3, qt.IsTrue, qt.Commentf("usual: %d; %s", usual, comment))
		c.Check(f.mostCallsInASecond() <= readsPerSecond, qt.IsTrue, comment)
		c.Check(f.propagationTime(restored, at) <= 2*time.Second, qt.IsTrue, comment)
	}
}

// TestRestoreReachesAProcessWithoutPeers guards against a process that waits for its
// peers for good.
func TestRestoreReachesAProcessWithoutPeers(t *testing.T) {
	c := qt.New(t)
	r := duty.NewReader(plan, epoch)
	outdated := duty.CopyState{Known: true, Outdated: true}
	r.StoreRestored(2, epoch)
	c.Assert(reasonOf(r, outdated, true, epoch), qt.Equals, duty.None)
	r.StoreRestored(0, epoch)
	c.Assert(reasonOf(r, outdated, false, epoch), qt.Equals, duty.StoreRestored)
	r.StoreRestored(2, epoch)
	c.Assert(reasonOf(r, outdated, false, epoch.Add(2*time.Second)), qt.Equals, duty.StoreRestored)
	c.Assert(reasonOf(r, fresh, false, epoch.Add(2*time.Second)), qt.Equals, duty.None)
}

// TestRestoreTwiceReachesAllProcesses guards against processes that stay in an earlier era
// when the store is restored twice within a second.
func TestRestoreTwiceReachesAllProcesses(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		f := newFleet(seed, duty.TablesPlan(2*time.Second), 3, 3, 2)
		f.revision.Number = 100
		f.run(f.now.Add(3*time.Second + f.randomBelow(time.Second)))
		f.restore(10)
		f.run(f.now.Add(f.randomBelow(time.Second)))
		restored, at := f.restore(20), f.now
		f.run(f.now.Add(4 * time.Second))
		c.Check(f.propagationTime(restored, at) <= 2*time.Second, qt.IsTrue, qt.Commentf("seed %d", seed))
		c.Check(slices.ContainsFunc(f.nodes, func(n *node) bool { return n.copy.AsOf().Era != 2 }), qt.IsFalse)
	}
}
