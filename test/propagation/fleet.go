// Package propagation simulates a fleet of processes that run package propagate,
// in one process and on a virtual clock. Tests and benchmarks use it.
package propagation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"plantainrelay/internal/member"
	"plantainrelay/internal/propagate"
)

// Config describes a simulated fleet.
type Config struct {
	Entries, Agents int
	// Zones and Regions are the numbers of availability zones and regions; zone
	// i is in region i % Regions.
	Zones, Regions int
	// Interval is the exchange interval.
	Interval time.Duration
	// LossRate is the probability that a message is lost. A call whose request or
	// reply is lost ends at its timeout.
	LossRate float64
	Seed     uint64
}

// The one-way message delays, before jitter, and other constants of the
// simulation.
const (
	DelayInZone         = 500 * time.Microsecond
	DelayBetweenZones   = 5 * time.Millisecond
	DelayBetweenRegions = 8 * time.Millisecond
	ExchangeTimeout     = 700 * time.Millisecond
	FetchTimeout        = 5 * time.Second
	tickInterval        = 100 * time.Millisecond
	maxJitterFactor     = 1.0
	firstRevision       = 1
	firstListStamp      = 1
)

// Node is a simulated process of the fleet.
type Node struct {
	Instance member.Instance
	protocol *propagate.Protocol
	// Revision is the revision of the tables that the node holds, and ListStamp
	// the stamp of its list of instances.
	Revision, ListStamp int64
	// AppliedAt is the virtual time at which Revision was applied.
	AppliedAt     time.Time
	run           int
	paused        bool
	pendingTimers []func()
	// Exchanges and Fetches count the calls sent, Answers and Served the calls
	// answered. A call consists of two messages.
	Exchanges, Answers, Fetches, Served int64
	// Reverts counts how often a lower revision replaced a higher one.
	Reverts int
}

// State reports whether the node may serve from its tables.
func (n *Node) State() propagate.FreshnessState { return n.protocol.Freshness().State() }

// Serves reports whether the node admits a request at now because it has
// compared its tables with those of peers.
func (n *Node) Serves(now time.Time) bool {
	return !n.paused && n.State() == propagate.Current && !n.protocol.Freshness().Paused(now)
}

// Paused reports whether the node is paused.
func (n *Node) Paused() bool { return n.paused }

// Fleet is a simulated fleet on a virtual clock.
type Fleet struct {
	config       Config
	random       *rand.Rand
	now          time.Time
	events       eventQueue
	lastSequence int
	Nodes        []*Node
	byName       map[string]*Node
	watchers     []*Node
	list         []member.Instance
	topology     *propagate.Topology
	// Observe, if set, is called after each event.
	Observe func()
	// StoreDown makes the store unavailable, so that watchers are not notified
	// of edits.
	StoreDown      bool
	cut            map[[2]string]bool
	storedRevision int64
}

// New returns a fleet in which all nodes hold the first revision and the list.
func New(config Config) *Fleet {
	f := &Fleet{
		config:         config,
		random:         rand.New(rand.NewPCG(config.Seed, 1)),
		now:            time.Unix(1_000_000, 0),
		byName:         map[string]*Node{},
		cut:            map[[2]string]bool{},
		storedRevision: firstRevision,
	}
	for i := range config.Entries {
		f.list = append(f.list, f.instance(fmt.Sprintf("entry-%d", i), member.RoleEntry, i))
	}
	for i := range config.Agents {
		f.list = append(f.list, f.instance(fmt.Sprintf("agent-%d", i), member.RoleAgent, i))
	}
	f.topology = propagate.NewTopology(f.list)
	for _, instance := range f.list {
		node := &Node{Instance: instance, Revision: firstRevision, ListStamp: firstListStamp, AppliedAt: f.now}
		f.Nodes = append(f.Nodes, node)
		f.byName[instance.Name] = node
		if propagate.ShouldWatchStore(instance, f.list, 0, 0) {
			f.watchers = append(f.watchers, node)
		}
	}
	for _, node := range f.Nodes {
		f.startRun(node)
	}
	return f
}

func (f *Fleet) instance(name string, role member.Role, index int) member.Instance {
	zone := index % f.config.Zones
	return member.Instance{
		Name: name, Role: role, State: member.StateLive,
		AvailabilityZone: fmt.Sprintf("zone-%d", zone),
		Region:           fmt.Sprintf("region-%d", zone%f.config.Regions),
	}
}

// startRun starts a new run of a node with the revision and list that it holds.
func (f *Fleet) startRun(node *Node) {
	node.run++
	node.paused = false
	node.pendingTimers = nil
	node.protocol = propagate.New(propagate.Config{Self: node.Instance, Interval: f.config.Interval, Seed: f.random.Uint64()}, f.now)
	node.protocol.SetTopology(f.topology)
	f.reportHeld(node, "")
	f.tick(node, node.run)
}

// Replace starts a new run of a node, without tables and list.
func (f *Fleet) Replace(node *Node) {
	node.Revision, node.ListStamp = 0, 0
	f.startRun(node)
}

// Pause stops a node like a long SIGSTOP: messages to it are lost, and its
// timers fire when it resumes.
func (f *Fleet) Pause(node *Node) { node.paused = true }

// Resume resumes a paused node.
func (f *Fleet) Resume(node *Node) {
	if !node.paused {
		return
	}
	node.paused = false
	timers := node.pendingTimers
	node.pendingTimers = nil
	for _, event := range timers {
		event()
	}
}

// Cut partitions the network between two regions: messages between them are
// lost.
func (f *Fleet) Cut(a, b string) { f.cut[[2]string{a, b}], f.cut[[2]string{b, a}] = true, true }

// HealPartitions removes all network partitions.
func (f *Fleet) HealPartitions() { f.cut = map[[2]string]bool{} }

// Connected reports whether no network partition separates a from b.
func (f *Fleet) Connected(a, b *Node) bool {
	return !f.cut[[2]string{a.Instance.Region, b.Instance.Region}]
}

// Now returns the virtual time.
func (f *Fleet) Now() time.Time { return f.now }

// AcceptEdit simulates an edit accepted by node and returns its revision. The
// store is in region-0; the watchers that can reach it are notified of the edit.
func (f *Fleet) AcceptEdit(node *Node) int64 {
	f.storedRevision++
	revision := f.storedRevision
	f.apply(node, revision, node.ListStamp, "")
	for _, watcher := range f.watchers {
		if f.StoreDown || f.cut[[2]string{"region-0", watcher.Instance.Region}] {
			continue
		}
		f.schedule(watcher, f.jitter(DelayBetweenRegions), func() { f.apply(watcher, revision, watcher.ListStamp, "") })
	}
	return revision
}

// ChangeList simulates that node reads a changed list of instances.
func (f *Fleet) ChangeList(node *Node) {
	f.apply(node, node.Revision, node.ListStamp+1, "")
}

func (f *Fleet) apply(node *Node, revision, list int64, from string) {
	if revision > node.Revision {
		node.Revision, node.AppliedAt = revision, f.now
	}
	node.ListStamp = max(node.ListStamp, list)
	f.reportHeld(node, from)
}

func (f *Fleet) reportHeld(node *Node, from string) {
	before := node.protocol.Digest().Revision
	f.perform(node, node.protocol.DigestChanged(digest(node), from, f.now))
	if node.protocol.Digest().Revision < before {
		node.Reverts++
	}
}

func digest(node *Node) propagate.Digest {
	return propagate.Digest{Revision: node.Revision, Stamp: node.ListStamp, Hash: uint64(node.ListStamp)}
}

func (f *Fleet) tick(node *Node, incarnation int) {
	f.timer(node, tickInterval, func() { f.tick(node, incarnation) })
	f.perform(node, node.protocol.Tick(f.now))
}

func (f *Fleet) perform(node *Node, actions []propagate.Action) {
	for _, action := range actions {
		f.call(node, action)
	}
}

// call simulates a call to a peer and its reply.
func (f *Fleet) call(node *Node, action propagate.Action) {
	peer := f.byName[action.Peer.Name]
	finished := false
	timeout := ExchangeTimeout
	if action.Kind == propagate.Fetch {
		timeout = FetchTimeout
		node.Fetches++
	} else {
		node.Exchanges++
	}
	f.timer(node, timeout, func() {
		if !finished {
			finished = true
			f.perform(node, node.protocol.Failed(action, f.now))
		}
	})
	callerDigest := digest(node)
	f.send(node, peer, func() {
		handleReply := f.serve(peer, node, action, callerDigest)
		f.send(peer, node, func() {
			if !finished {
				finished = true
				handleReply()
			}
		})
	})
}

// serve simulates the peer's side of a call and returns the function that the
// caller runs when it receives the reply.
func (f *Fleet) serve(peer, node *Node, action propagate.Action, callerDigest propagate.Digest) func() {
	if action.Kind == propagate.Fetch {
		peer.Served++
		revision, list := peer.Revision, peer.ListStamp
		return func() {
			if !node.protocol.SharesList(peer.Instance) {
				list = 0
			}
			f.apply(node, revision, list, peer.Instance.Name)
			f.perform(node, node.protocol.Fetched(action.Peer, f.now))
		}
	}
	peer.Answers++
	f.perform(peer, peer.protocol.DigestReceived(node.Instance, callerDigest, f.now))
	held, current := digest(peer), peer.State() == propagate.Current
	return func() {
		f.perform(node, node.protocol.Answered(action, held, current, f.now))
	}
}

func (f *Fleet) send(from, to *Node, deliver func()) {
	if !f.Connected(from, to) || f.random.Float64() < f.config.LossRate {
		return
	}
	f.schedule(to, f.jitter(delay(from, to)), func() {
		if !to.paused {
			deliver()
		}
	})
}

func delay(a, b *Node) time.Duration {
	switch {
	case a.Instance.AvailabilityZone == b.Instance.AvailabilityZone:
		return DelayInZone
	case a.Instance.Region == b.Instance.Region:
		return DelayBetweenZones
	}
	return DelayBetweenRegions
}

func (f *Fleet) jitter(delay time.Duration) time.Duration {
	return delay + time.Duration(f.random.Float64()*maxJitterFactor*float64(delay))
}

// timer runs do at node after delay. If the node is paused then, do runs when
// it resumes.
func (f *Fleet) timer(node *Node, delay time.Duration, do func()) {
	f.schedule(node, delay, func() {
		if node.paused {
			node.pendingTimers = append(node.pendingTimers, do)
			return
		}
		do()
	})
}

// schedule runs do after delay, unless node was replaced in the meantime.
func (f *Fleet) schedule(node *Node, delay time.Duration, do func()) {
	incarnation := node.run
	event := func() {
		if node.run == incarnation {
			do()
		}
	}
	f.lastSequence++
	heap.Push(&f.events, timedEvent{at: f.now.Add(delay), sequence: f.lastSequence, run: event})
}

// Run advances the virtual clock by duration.
func (f *Fleet) Run(duration time.Duration) {
	f.RunUntil(duration, func() bool { return false })
}

// RunUntil advances the virtual clock until done returns true or limit has
// passed, and returns the elapsed time. It calls done after each step of
// tickInterval.
func (f *Fleet) RunUntil(limit time.Duration, done func() bool) time.Duration {
	begin := f.now
	for f.now.Sub(begin) < limit {
		step := f.now.Add(min(tickInterval, limit-f.now.Sub(begin)))
		for len(f.events) > 0 && !f.events[0].at.After(step) {
			next := heap.Pop(&f.events).(timedEvent)
			f.now = next.at
			next.run()
			if f.Observe != nil {
				f.Observe()
			}
		}
		f.now = step
		if done() {
			break
		}
	}
	return f.now.Sub(begin)
}

// AllHold reports whether all running nodes hold revision or a newer one.
func (f *Fleet) AllHold(revision int64) bool {
	for _, node := range f.Nodes {
		if !node.paused && node.Revision < revision {
			return false
		}
	}
	return true
}

type timedEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []timedEvent

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(timedEvent)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
