// Package propagation drives the decisions of package propagate for a whole
// fleet in one process on a virtual clock. It serves tests and benchmarks.
package propagation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"plantainrelay/internal/member"
	"plantainrelay/internal/propagate"
)

// Config describes a fleet.
type Config struct {
	Entries, Agents int
	// Zones and Regions count the availability zones and regions; zone i is in
	// region i % Regions.
	Zones, Regions int
	// Interval is the exchange interval.
	Interval time.Duration
	// Loss is the share of messages that are lost. The call of a lost message
	// ends at its timeout.
	Loss float64
	Seed uint64
}

// The delays of messages, one way, before jitter.
const (
	DelayInZone     = 500 * time.Microsecond
	DelayZones      = 5 * time.Millisecond
	DelayRegions    = 8 * time.Millisecond
	ExchangeTimeout = 700 * time.Millisecond
	FetchTimeout    = 5 * time.Second
	tickInterval    = 100 * time.Millisecond
	jitterFactor    = 1.0
	firstRevision   = 1
	firstListStamp  = 1
)

// Node is one process of the fleet.
type Node struct {
	Instance member.Instance
	core     *propagate.Core
	// Revision and List are what the node holds.
	Revision, List int64
	// Applied is the time at which Revision was applied.
	Applied     time.Time
	incarnation int
	paused      bool
	backlog     []func()
	// Sent counts messages by kind; a call is two messages.
	Exchanges, Answers, Fetches, Served int64
	// Reverts counts the times at which a lower revision replaced a higher.
	Reverts int
}

// State returns the node's currency.
func (n *Node) State() propagate.CurrencyState { return n.core.Currency().State() }

// Serves reports whether the node admits a request at now, having compared.
func (n *Node) Serves(now time.Time) bool {
	return !n.paused && n.State() == propagate.Current && !n.core.Currency().Paused(now)
}

// Paused reports whether the node does not run.
func (n *Node) Paused() bool { return n.paused }

// Fleet is a fleet on a virtual clock.
type Fleet struct {
	config   Config
	random   *rand.Rand
	now      time.Time
	events   events
	serial   int
	Nodes    []*Node
	byName   map[string]*Node
	watchers []*Node
	list     []member.Instance
	topology *propagate.Topology
	// Observe, when set, is called after each event.
	Observe func()
	// StoreDown stops the watchers from hearing of edits.
	StoreDown bool
	cut       map[[2]string]bool
	stored    int64
}

// New returns a fleet in which all nodes hold the first revision and the list.
func New(config Config) *Fleet {
	f := &Fleet{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, 1)),
		now:    time.Unix(1_000_000, 0),
		byName: map[string]*Node{},
		cut:    map[[2]string]bool{},
		stored: firstRevision,
	}
	for i := range config.Entries {
		f.list = append(f.list, f.instance(fmt.Sprintf("entry-%d", i), member.RoleEntry, i))
	}
	for i := range config.Agents {
		f.list = append(f.list, f.instance(fmt.Sprintf("agent-%d", i), member.RoleAgent, i))
	}
	f.topology = propagate.NewTopology(f.list)
	for _, instance := range f.list {
		node := &Node{Instance: instance, Revision: firstRevision, List: firstListStamp, Applied: f.now}
		f.Nodes = append(f.Nodes, node)
		f.byName[instance.Name] = node
		if propagate.Watches(instance, f.list, 0, 0) {
			f.watchers = append(f.watchers, node)
		}
	}
	for _, node := range f.Nodes {
		f.start(node)
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

// start begins a run of a node with what it holds.
func (f *Fleet) start(node *Node) {
	node.incarnation++
	node.paused = false
	node.backlog = nil
	node.core = propagate.New(propagate.Config{Self: node.Instance, Interval: f.config.Interval, Seed: f.random.Uint64()}, f.now)
	node.core.SetTopology(f.topology)
	f.hold(node, "")
	f.tick(node, node.incarnation)
}

// Replace starts a new run of a node that holds no tables.
func (f *Fleet) Replace(node *Node) {
	node.Revision, node.List = 0, 0
	f.start(node)
}

// Pause stops a node as SIGSTOP does for long; messages to it are lost, and its
// own timers fire when it resumes.
func (f *Fleet) Pause(node *Node) { node.paused = true }

// Resume lets a paused node run again.
func (f *Fleet) Resume(node *Node) {
	if !node.paused {
		return
	}
	node.paused = false
	backlog := node.backlog
	node.backlog = nil
	for _, event := range backlog {
		event()
	}
}

// Cut stops all messages between two regions.
func (f *Fleet) Cut(a, b string) { f.cut[[2]string{a, b}], f.cut[[2]string{b, a}] = true, true }

// Heal ends all cuts.
func (f *Fleet) Heal() { f.cut = map[[2]string]bool{} }

// Reaches reports whether a message from a arrives at b.
func (f *Fleet) Reaches(a, b *Node) bool {
	return !f.cut[[2]string{a.Instance.Region, b.Instance.Region}]
}

// Now returns the virtual time.
func (f *Fleet) Now() time.Time { return f.now }

// Accept makes a new revision through node, as an accepted edit does. The
// store is in region-0; watchers that reach it hear of the edit.
func (f *Fleet) Accept(node *Node) int64 {
	f.stored++
	revision := f.stored
	f.apply(node, revision, node.List, "")
	for _, watcher := range f.watchers {
		if f.StoreDown || f.cut[[2]string{"region-0", watcher.Instance.Region}] {
			continue
		}
		f.after(watcher, f.jitter(DelayRegions), func() { f.apply(watcher, revision, watcher.List, "") })
	}
	return revision
}

// ChangeList makes a new state of the list at node, which has read it.
func (f *Fleet) ChangeList(node *Node) {
	f.apply(node, node.Revision, node.List+1, "")
}

func (f *Fleet) apply(node *Node, revision, list int64, from string) {
	if revision > node.Revision {
		node.Revision, node.Applied = revision, f.now
	}
	node.List = max(node.List, list)
	f.hold(node, from)
}

func (f *Fleet) hold(node *Node, from string) {
	before := node.core.Digest().Revision
	f.perform(node, node.core.Holds(digest(node), from, f.now))
	if node.core.Digest().Revision < before {
		node.Reverts++
	}
}

func digest(node *Node) propagate.Digest {
	return propagate.Digest{Revision: node.Revision, Stamp: node.List, Hash: uint64(node.List)}
}

func (f *Fleet) tick(node *Node, incarnation int) {
	f.timer(node, tickInterval, func() { f.tick(node, incarnation) })
	f.perform(node, node.core.Tick(f.now))
}

func (f *Fleet) perform(node *Node, actions []propagate.Action) {
	for _, action := range actions {
		f.call(node, action)
	}
}

// call carries one call to a peer and its answer.
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
			f.perform(node, node.core.Failed(action, f.now))
		}
	})
	asked := digest(node)
	f.send(node, peer, func() {
		answer := f.serve(peer, node, action, asked)
		f.send(peer, node, func() {
			if !finished {
				finished = true
				answer()
			}
		})
	})
}

// serve runs the peer's side of a call and returns what the caller does with
// the answer.
func (f *Fleet) serve(peer, node *Node, action propagate.Action, asked propagate.Digest) func() {
	if action.Kind == propagate.Fetch {
		peer.Served++
		revision, list := peer.Revision, peer.List
		return func() {
			if !node.core.SharesList(peer.Instance) {
				list = 0
			}
			f.apply(node, revision, list, peer.Instance.Name)
			f.perform(node, node.core.Fetched(action.Peer, f.now))
		}
	}
	peer.Answers++
	f.perform(peer, peer.core.Heard(node.Instance, asked, f.now))
	held, current := digest(peer), peer.State() == propagate.Current
	return func() {
		f.perform(node, node.core.Answered(action, held, current, f.now))
	}
}

func (f *Fleet) send(from, to *Node, deliver func()) {
	if !f.Reaches(from, to) || f.random.Float64() < f.config.Loss {
		return
	}
	f.after(to, f.jitter(delay(from, to)), func() {
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
		return DelayZones
	}
	return DelayRegions
}

func (f *Fleet) jitter(delay time.Duration) time.Duration {
	return delay + time.Duration(f.random.Float64()*jitterFactor*float64(delay))
}

// timer runs do at node after delay. A paused node does it when it resumes.
func (f *Fleet) timer(node *Node, delay time.Duration, do func()) {
	f.after(node, delay, func() {
		if node.paused {
			node.backlog = append(node.backlog, do)
			return
		}
		do()
	})
}

// after runs do once delay has passed, unless node was replaced.
func (f *Fleet) after(node *Node, delay time.Duration, do func()) {
	incarnation := node.incarnation
	event := func() {
		if node.incarnation == incarnation {
			do()
		}
	}
	f.serial++
	heap.Push(&f.events, scheduled{at: f.now.Add(delay), serial: f.serial, do: event})
}

// Run lets duration pass.
func (f *Fleet) Run(duration time.Duration) {
	f.RunUntil(duration, func() bool { return false })
}

// RunUntil lets time pass until done is true or limit has passed, and returns
// the time that has passed. It asks done after each step of tickInterval.
func (f *Fleet) RunUntil(limit time.Duration, done func() bool) time.Duration {
	begin := f.now
	for f.now.Sub(begin) < limit {
		step := f.now.Add(min(tickInterval, limit-f.now.Sub(begin)))
		for len(f.events) > 0 && !f.events[0].at.After(step) {
			next := heap.Pop(&f.events).(scheduled)
			f.now = next.at
			next.do()
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

// Everywhere reports whether all running nodes hold revision.
func (f *Fleet) Everywhere(revision int64) bool {
	for _, node := range f.Nodes {
		if !node.paused && node.Revision < revision {
			return false
		}
	}
	return true
}

type scheduled struct {
	at     time.Time
	serial int
	do     func()
}

type events []scheduled

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].serial < e[j].serial
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(scheduled)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
