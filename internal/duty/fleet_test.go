package duty_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/duty"
	"plantainrelay/internal/peers"
	"plantainrelay/internal/replica"
)

// The simulated fleet advances in steps of virtual time. Messages, pulls and calls to
// the store take some milliseconds, as between availability zones.
const (
	step          = 10 * time.Millisecond
	beatInterval  = 200 * time.Millisecond
	messageDelay  = 10 * time.Millisecond
	pullDelay     = 30 * time.Millisecond
	storeLatency  = 10 * time.Millisecond
	answerSlack   = 700 * time.Millisecond
	batchDelay    = 100 * time.Millisecond
	checkInterval = 100 * time.Millisecond
	maxPulls      = 4
	collection    = "tables"
)

// storeFault is the way in which the store fails calls of an instance.
type storeFault string

const (
	silent storeFault = "silent"
	busy   storeFault = "busy"
)

type node struct {
	entry       peers.Entry
	peers       *peers.Directory
	copy        *replica.Replica
	reader      *duty.Reader
	call        *storeCall
	pausedUntil time.Time
	pulls       *duty.Pulls
	// silent holds the hosts to which this node has a connection that has gone silent.
	silent    map[string]bool
	lastSent  time.Time
	lastCheck time.Time
	sendNow   bool
	// appliedAt is the time at which each revision was first in effect on the node.
	appliedAt map[replica.Revision]time.Time
	// era is the latest era of the store that the node knows of.
	era int64
}

// storeCall is a call to the store in progress.
type storeCall struct {
	began, ends time.Time
	wait        time.Duration
	fault       storeFault
	// list is set when the call lists the collection; otherwise it watches from since.
	list  bool
	since replica.Revision
}

type event struct {
	at time.Time
	do func()
}

// fleet simulates entries that read one collection of the store and forward changes.
type fleet struct {
	now      time.Time
	random   *rand.Rand
	nodes    []*node
	events   []event
	revision replica.Revision
	faults   map[string]storeFault
	calls    int
	// callTimes holds the times of all calls, listings the hosts that listed the collection.
	callTimes []time.Time
	listings  []string
}

func newFleet(seed uint64, plan duty.Plan, zones ...int) *fleet {
	f := &fleet{now: time.Unix(1_000, 0), random: rand.New(rand.NewPCG(seed, 1)), revision: replica.Revision{Number: 1}, faults: map[string]storeFault{}}
	config := peers.Config{
		LiveTimeout: 900 * time.Millisecond, FarLiveTimeout: 2500 * time.Millisecond, MaxBroadcast: 16, RemoveAfter: time.Minute, ProbeTimeout: time.Minute, ProbeInterval: time.Second,
	}
	for zone, count := range zones {
		for i := range count {
			entry := peers.Entry{Host: fmt.Sprintf("10.%d.0.%d", zone, i), AvailabilityZone: fmt.Sprint(zone), Start: 1, Ready: true}
			f.nodes = append(f.nodes, &node{
				entry: entry, peers: peers.New(config, entry, []string{"10.0.0.0", "10.1.0.0"}, f.now), copy: replica.New(),
				reader: duty.NewReader(plan, f.now), pulls: duty.NewPulls(duty.PullPlan{MaxConcurrent: maxPulls}), silent: map[string]bool{}, lastSent: f.now.Add(-f.randomBelow(beatInterval)), appliedAt: map[replica.Revision]time.Time{},
			})
		}
	}
	for _, to := range f.nodes {
		for _, from := range f.nodes {
			to.peers.RecordMessage(from.entry, f.now)
		}
	}
	return f
}

// randomBelow returns a random duration below most.
func (f *fleet) randomBelow(most time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(most)))
}

func (f *fleet) after(wait time.Duration, do func()) {
	f.events = append(f.events, event{at: f.now.Add(wait), do: do})
}

func (f *fleet) run(until time.Time) {
	for f.now.Before(until) {
		f.now = f.now.Add(step)
		var due []event
		f.events = slices.DeleteFunc(f.events, func(e event) bool {
			if e.at.After(f.now) {
				return false
			}
			due = append(due, e)
			return true
		})
		for _, e := range due {
			e.do()
		}
		for _, n := range f.nodes {
			f.read(n)
			f.sendMessage(n)
		}
	}
}

// read continues the node's call to the store, or starts one when it is due.
func (f *fleet) read(n *node) {
	if n.call != nil {
		f.finish(n)
		return
	}
	if f.now.Sub(n.lastCheck) < checkInterval || f.now.Before(n.pausedUntil) {
		return
	}
	n.lastCheck = f.now
	n.peers.SetStoreUnavailable(n.reader.StoreUnavailable(f.now))
	held := duty.CopyState{Known: n.copy.Known(), Age: f.now.Sub(n.copy.Proof()), Outdated: n.copy.Known() && n.copy.AsOf().Era < n.era}
	reason, wait := n.reader.Next(held, n.peers.ShouldWatch(collection, f.now), f.now)
	if reason == duty.None || reason == duty.BackingOff {
		return
	}
	n.lastCheck = time.Time{}
	f.calls++
	f.callTimes = append(f.callTimes, f.now)
	n.reader.CallStarted(reason, wait, f.now)
	list := !n.copy.Known() || reason == duty.StoreRestored
	n.call = &storeCall{began: f.now, wait: wait, fault: f.faults[n.entry.Host], list: list, since: n.copy.AsOf()}
	if list {
		f.listings = append(f.listings, n.entry.Host)
	}
	switch n.call.fault {
	case silent:
		n.call.ends = f.now.Add(wait + answerSlack)
	case busy:
		n.call.ends = f.now.Add(storeLatency)
	default:
		n.call.ends = f.now.Add(wait + storeLatency)
	}
}

func (f *fleet) finish(n *node) {
	changed := f.revision.After(n.copy.AsOf())
	answered := n.call.fault == "" && f.faults[n.entry.Host] != silent
	if f.now.Before(n.call.ends) && (!answered || !changed || f.now.Before(n.call.began.Add(storeLatency))) {
		return
	}
	ended := n.call
	n.call = nil
	if !answered {
		n.reader.CallFailed(f.now, f.random.Float64())
		return
	}
	n.reader.CallSucceeded()
	f.recordEra(n, f.revision.Era)
	if !ended.list && ended.since.Era < f.revision.Era {
		return
	}
	f.apply(n, f.change(), ended.began)
	if changed {
		n.pausedUntil = f.now.Add(batchDelay)
	}
}

func (f *fleet) change() replica.Change {
	document := replica.Document{Name: "main", Revision: f.revision}
	return replica.Change{Whole: true, AsOf: f.revision, Documents: []replica.Document{document}}
}

// recordEra records the era that a node has seen in a response or in a message.
func (f *fleet) recordEra(n *node, era int64) {
	if era > n.era {
		n.era = era
		n.reader.StoreRestored(n.peers.ListRank(collection, f.now), f.now)
	}
}

func (f *fleet) apply(n *node, change replica.Change, proof time.Time) {
	if len(n.copy.Apply(change, proof)) > 0 {
		n.appliedAt[n.copy.Content()] = f.now
		n.sendNow = true
	}
}

// sendMessage sends the node's message at regular intervals and after each change.
func (f *fleet) sendMessage(n *node) {
	unavailable := n.reader.StoreUnavailable(f.now)
	if f.now.Sub(n.lastSent) < beatInterval && !n.sendNow && unavailable == n.entry.StoreUnavailable {
		return
	}
	n.lastSent, n.sendNow, n.entry.StoreUnavailable = f.now, false, unavailable
	n.entry.Sequence++
	entry, content, proof, known := n.entry, n.copy.Content(), n.copy.Proof(), n.copy.Known()
	targets := n.peers.NextRecipients(f.now)
	for _, to := range f.nodes {
		if slices.Contains(targets, to.entry.Host) {
			f.after(messageDelay, func() { f.receive(to, n, entry, content, proof, known) })
		}
	}
}

func (f *fleet) receive(to, from *node, entry peers.Entry, content replica.Revision, proof time.Time, known bool) {
	if current, _ := to.peers.RecordMessage(entry, f.now); !current || !known {
		return
	}
	f.recordEra(to, content.Era)
	to.copy.RecordProof(content, proof)
	if content.After(to.copy.Content()) || !to.copy.Known() {
		to.pulls.Reported(duty.Source{Host: from.entry.Host, Near: from.entry.AvailabilityZone == to.entry.AvailabilityZone, Content: content}, f.now)
		f.startPulls(to)
	}
}

// startPulls starts the pulls of a node that are due.
func (f *fleet) startPulls(n *node) {
	if n.copy.Known() {
		n.pulls.Updated(n.copy.Content(), n.copy.Versions())
	}
	pull, due := n.pulls.Next(f.now)
	if !due {
		return
	}
	f.after(duty.PullHedgeDelay, func() { f.startPulls(n) })
	if pull.NewConnection {
		delete(n.silent, pull.Host)
	}
	if n.silent[pull.Host] {
		f.after(duty.PullTimeout, func() {
			delete(n.silent, pull.Host)
			f.pullEnded(n, pull, false)
		})
		return
	}
	from := f.nodes[slices.IndexFunc(f.nodes, func(other *node) bool { return other.entry.Host == pull.Host })]
	change, proven := from.copy.Since(n.copy.AsOf()), from.copy.Proof()
	f.after(pullDelay, func() {
		f.apply(n, change, proven)
		f.pullEnded(n, pull, true)
	})
}

func (f *fleet) pullEnded(n *node, pull duty.Pull, succeeded bool) {
	n.pulls.Ended(pull, f.now, succeeded)
	if !succeeded {
		f.after(duty.PullRetryDelay, func() { f.startPulls(n) })
	}
	f.startPulls(n)
}

// silenceConnections silences the connections between all nodes.
func (f *fleet) silenceConnections() {
	for _, n := range f.nodes {
		for _, other := range f.nodes {
			n.silent[other.entry.Host] = true
		}
	}
}

// watchers returns the nodes that are assigned to watch the store now, one in each
// availability zone.
func (f *fleet) watchers() []string {
	var hosts []string
	for _, n := range f.nodes {
		if n.peers.ShouldWatch(collection, f.now) {
			hosts = append(hosts, n.entry.Host)
		}
	}
	return hosts
}

// injectFault makes the store fail a share of the entries, first those that are assigned
// to watch it.
func (f *fleet) injectFault(fault storeFault, share float64) {
	hosts := f.watchers()
	for _, i := range f.random.Perm(len(f.nodes)) {
		if host := f.nodes[i].entry.Host; !slices.Contains(hosts, host) {
			hosts = append(hosts, host)
		}
	}
	for _, host := range hosts[:int(share*float64(len(hosts)))] {
		f.faults[host] = fault
	}
}

// propagationTime returns how long after at the revision was in effect on all nodes.
func (f *fleet) propagationTime(revision replica.Revision, at time.Time) time.Duration {
	longest := time.Duration(0)
	for _, n := range f.nodes {
		appliedAt, found := n.appliedAt[revision]
		if !found {
			return time.Hour
		}
		longest = max(longest, appliedAt.Sub(at))
	}
	return longest
}

// lateChanges simulates changes of the tables while the store fails the entries that are
// assigned to watch it, and returns the changes that were in effect too late.
func lateChanges(seeds uint64, apply time.Duration, fault storeFault, share float64, zones ...int) []string {
	return lateChangesOf(duty.TablesPlan(apply), seeds, apply, fault, share, zones...)
}

// lateChangesOf does so for a collection that is kept current by a plan.
func lateChangesOf(plan duty.Plan, seeds uint64, apply time.Duration, fault storeFault, share float64, zones ...int) []string {
	var failures []string
	for seed := range seeds {
		f := newFleet(seed, plan, zones...)
		f.run(f.now.Add(5*time.Second + f.randomBelow(2*time.Second)))
		f.injectFault(fault, share)
		for change := range 3 {
			f.run(f.now.Add(f.randomBelow(3 * time.Second)))
			f.revision.Number++
			confirmed := f.now
			f.run(f.now.Add(apply + 3*time.Second))
			if took := f.propagationTime(f.revision, confirmed); took > apply {
				failures = append(failures, fmt.Sprintf("seed %d, change %d: in effect after %s", seed, change, took))
			}
		}
	}
	return failures
}

// TestChangeAppliesInTimeWhileTheStoreRejectsAssignedReaders checks that the assignment
// to watch the store does not stay with entries that are alive but can't read it.
func TestChangeAppliesInTimeWhileTheStoreRejectsAssignedReaders(t *testing.T) {
	for _, fault := range []storeFault{silent, busy} {
		for _, fleet := range []struct {
			seeds uint64
			apply time.Duration
			share float64
			zones []int
		}{
			{30, 2 * time.Second, 0.38, []int{3, 3, 2}},
			{30, 2 * time.Second, 0.63, []int{3, 3, 2}},
			{1, 3 * time.Second, 0.35, []int{14, 14, 14}},
			{1, 3 * time.Second, 0.6, []int{14, 14, 14}},
		} {
			failures := lateChanges(fleet.seeds, fleet.apply, fault, fleet.share, fleet.zones...)
			qt.Check(t, len(failures), qt.Equals, 0, qt.Commentf("%s, %.2f of %v: %s", fault, fleet.share, fleet.zones, strings.Join(failures[:min(3, len(failures))], "; ")))
		}
	}
}

// TestChangeAppliesInTimeOverSilentConnections guards against a change that single entries have too
// late because their connections to the others have gone silent since the last one.
func TestChangeAppliesInTimeOverSilentConnections(t *testing.T) {
	const bound = 2 * time.Second
	for _, fault := range []storeFault{silent, busy} {
		for _, fleet := range []struct {
			seeds uint64
			zones []int
		}{{20, []int{3, 3, 2}}, {2, []int{26, 21, 19}}} {
			for seed := range fleet.seeds {
				f := newFleet(seed, duty.TablesPlan(bound), fleet.zones...)
				f.run(f.now.Add(5 * time.Second))
				f.injectFault(fault, 0.38)
				f.run(f.now.Add(time.Second + f.randomBelow(time.Second)))
				f.silenceConnections()
				f.run(f.now.Add(3*time.Second + f.randomBelow(time.Second)))
				f.revision.Number++
				confirmed := f.now
				f.run(f.now.Add(2 * bound))
				took := f.propagationTime(f.revision, confirmed)
				qt.Check(t, took <= bound/2, qt.IsTrue, qt.Commentf("%s, %v, seed %d: in effect after %s", fault, fleet.zones, seed, took))
			}
		}
	}
}

// TestEvacuationAppliesInTimeWhileTheStoreRejectsWatchers guards against an evacuation that comes
// into force too late because the watch that should have returned it is never answered. Nothing
// but the watch itself shows the fault here; an entry also sees it in its reads of the tables.
func TestEvacuationAppliesInTimeWhileTheStoreRejectsWatchers(t *testing.T) {
	const bound = 5 * time.Second
	for _, fault := range []storeFault{silent, busy} {
		for _, zones := range [][]int{{3, 3, 2}, {10, 10, 10}} {
			failures := lateChangesOf(duty.EvacuationsPlan(bound), 10, bound, fault, 0.38, zones...)
			qt.Check(t, len(failures), qt.Equals, 0, qt.Commentf("%s, %v: %s", fault, zones, strings.Join(failures[:min(3, len(failures))], "; ")))
		}
	}
}

// TestEvacuationAppliesInTimeWhenItsWatchIsLost guards against a watch that is so long that an
// evacuation, requested right after the watch has begun, is too late if the watch is never
// answered and no other zone can tell of it.
func TestEvacuationAppliesInTimeWhenItsWatchIsLost(t *testing.T) {
	const bound = 5 * time.Second
	plan := duty.EvacuationsPlan(bound)
	for seed := range uint64(20) {
		f := newFleet(seed, plan, 4)
		f.run(f.now.Add(3 * time.Second))
		watcher := slices.IndexFunc(f.nodes, func(n *node) bool { return n.entry.Host == f.watchers()[0] })
		begins := func() bool {
			call := f.nodes[watcher].call
			return call != nil && call.began.Equal(f.now) && call.wait == plan.WatchTimeout
		}
		for range 2 * int(plan.WatchTimeout/step) {
			if f.run(f.now.Add(step)); begins() {
				break
			}
		}
		qt.Assert(t, begins(), qt.IsTrue)
		f.faults[f.nodes[watcher].entry.Host] = silent
		f.revision.Number++
		requested := f.now
		f.run(f.now.Add(2 * bound))
		took := f.propagationTime(f.revision, requested)
		qt.Check(t, took <= bound, qt.IsTrue, qt.Commentf("seed %d: in effect after %s", seed, took))
	}
}

// TestOneReaderPerZone checks that, without faults, the number of calls to the store
// does not grow with the number of entries.
func TestOneReaderPerZone(t *testing.T) {
	c := qt.New(t)
	for _, zones := range [][]int{{3, 3, 2}, {14, 14, 14}} {
		plan := duty.TablesPlan(2 * time.Second)
		f := newFleet(1, plan, zones...)
		f.run(f.now.Add(3 * time.Second))
		before := f.calls
		const span = 20 * time.Second
		f.run(f.now.Add(span))
		c.Assert(float64(f.calls-before) <= 1.1*float64(len(zones))*span.Seconds()/plan.WatchTimeout.Seconds(), qt.IsTrue, qt.Commentf("%d calls", f.calls-before))
	}
}
