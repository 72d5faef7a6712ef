package propagate

import (
	"math/rand/v2"
	"time"

	"plantainrelay/internal/member"
)

const (
	// One in randomPeerEvery exchanges goes to a random instance instead of a
	// linked one.
	randomPeerEvery = 4
	// suspicionTimeout is how long a peer that did not answer is avoided.
	suspicionTimeout = 5 * time.Second
	// fetchHedgeDelay is how long a fetch may take before a second peer is asked
	// in parallel.
	fetchHedgeDelay = 300 * time.Millisecond
	// maxNewerPeers bounds the remembered peers that hold newer data.
	maxNewerPeers = 8
	// compareFanout is the number of peers that a process asks at once while it
	// has to compare its data before it may serve.
	compareFanout = 4
	// compareInterval is the time between two comparison rounds.
	compareInterval = 250 * time.Millisecond
	// maxExchanges bounds the concurrent exchanges.
	maxExchanges = 32
)

// Digest summarizes the data of a process. Two processes compare their digests.
type Digest struct {
	// Revision is the revision of the tables.
	Revision int64
	// Stamp and Hash describe the list of instances; see member.Directory.
	Stamp int64
	Hash  uint64
}

// Behind reports whether other describes data that d lacks.
func (d Digest) Behind(other Digest) bool {
	if other.Revision > d.Revision {
		return true
	}
	return other.Hash != d.Hash && other.Stamp >= d.Stamp
}

// ActionKind is the type of call that the driver has to make.
type ActionKind int

// The kinds of action.
const (
	// Exchange sends the local digest to the peer and returns the peer's.
	Exchange ActionKind = iota
	// Fetch retrieves the data that the peer has and this process lacks.
	Fetch
)

// Action is one call to a peer. The driver reports its result with Answered,
// Fetched or Failed.
type Action struct {
	Kind ActionKind
	Peer member.Instance
	// Epoch is the freshness epoch at the start of the call.
	Epoch int
}

// Config holds the settings of a Core.
type Config struct {
	Self member.Instance
	// Interval is the mean time between two exchanges while nothing changes.
	Interval time.Duration
	// Seed initializes the random choices and should differ between processes.
	Seed uint64
}

// Core is the gossip state machine of one process. Its methods are not safe for
// concurrent use.
type Core struct {
	config    Config
	random    *rand.Rand
	topology  *Topology
	links     []member.Instance
	digest    Digest
	freshness *Freshness

	suspects       map[string]time.Time
	linksStale     bool
	exchanging     map[string]bool
	repeatExchange map[string]bool
	newerPeers     []newerPeer
	fetchPeer      string
	fetchHedgeAt   time.Time
	nextExchange   time.Time
	exchangeCount  int
}

type newerPeer struct {
	peer   member.Instance
	digest Digest
}

// New returns a state machine that knows no peers and must compare its data before
// the process may serve.
func New(config Config, now time.Time) *Core {
	return &Core{
		config:         config,
		random:         rand.New(rand.NewPCG(config.Seed, uint64(len(config.Self.Name)))),
		topology:       NewTopology(nil),
		freshness:      NewFreshness(now),
		suspects:       map[string]time.Time{},
		exchanging:     map[string]bool{},
		repeatExchange: map[string]bool{},
		nextExchange:   now,
	}
}

// Currency returns the state that decides whether the process may serve.
func (c *Core) Currency() *Freshness { return c.freshness }

// SetTopology replaces the set of instances that may be called.
func (c *Core) SetTopology(topology *Topology) {
	c.topology = topology
	c.linksStale = true
}

// Digest returns the digest of the local data.
func (c *Core) Digest() Digest { return c.digest }

// Holds records the new digest of the local data and returns the exchanges that
// notify linked peers of a change. from names the peer that sent the change, if any.
func (c *Core) Holds(digest Digest, from string, now time.Time) []Action {
	changed := digest.Revision > c.digest.Revision || digest.Hash != c.digest.Hash
	c.digest = digest
	if !changed {
		return nil
	}
	var actions []Action
	for _, peer := range c.Links(now) {
		if peer.Name != from {
			actions = c.startExchange(actions, peer)
		}
	}
	return actions
}

// Links returns the peers that are notified of changes.
func (c *Core) Links(now time.Time) []member.Instance {
	for name, since := range c.suspects {
		if now.Sub(since) >= suspicionTimeout {
			delete(c.suspects, name)
			c.linksStale = true
		}
	}
	if c.linksStale {
		c.linksStale = false
		c.links = c.topology.Links(c.config.Self, c.suspected)
	}
	return c.links
}

func (c *Core) suspected(name string) bool {
	_, found := c.suspects[name]
	return found
}

// startExchange adds an exchange with peer. While one is in progress, the next one
// is deferred until it ends, so that a change made meanwhile is also sent.
func (c *Core) startExchange(actions []Action, peer member.Instance) []Action {
	if c.exchanging[peer.Name] {
		c.repeatExchange[peer.Name] = true
		return actions
	}
	if len(c.exchanging) >= maxExchanges {
		return actions
	}
	c.exchanging[peer.Name] = true
	return append(actions, Action{Kind: Exchange, Peer: peer, Epoch: c.freshness.Epoch()})
}

// Tick returns the exchanges that are due. The driver calls it frequently; a long
// gap between two calls is treated as a pause of the process.
func (c *Core) Tick(now time.Time) []Action {
	c.freshness.Tick(now)
	actions := c.hedgeFetch(now)
	if now.Before(c.nextExchange) {
		return actions
	}
	if c.freshness.State() != Current {
		c.nextExchange = now.Add(compareInterval)
		return c.startComparison(actions, now)
	}
	spread := time.Duration(c.random.Int64N(int64(c.config.Interval) + 1))
	c.nextExchange = now.Add(c.config.Interval/2 + spread)
	peer, found := c.nextPeer(now)
	if !found {
		return actions
	}
	return c.startExchange(actions, peer)
}

// startComparison starts exchanges with several linked and random peers.
func (c *Core) startComparison(actions []Action, now time.Time) []Action {
	for range compareFanout {
		if peer, found := c.nextPeer(now); found {
			actions = c.startExchange(actions, peer)
		}
	}
	return actions
}

func (c *Core) nextPeer(now time.Time) (member.Instance, bool) {
	c.exchangeCount++
	links := c.Links(now)
	if len(links) > 0 && c.exchangeCount%randomPeerEvery != 0 {
		return links[c.exchangeCount%len(links)], true
	}
	return c.randomPeer()
}

func (c *Core) randomPeer() (member.Instance, bool) {
	list := c.topology.list
	if len(list) == 0 {
		return member.Instance{}, false
	}
	start := c.random.IntN(len(list))
	for i := range list {
		peer := list[(start+i)%len(list)]
		if peer.Name != c.config.Self.Name {
			return peer, true
		}
	}
	return member.Instance{}, false
}

// Probe returns an exchange with peer.
func (c *Core) Probe(peer member.Instance) []Action {
	return c.startExchange(nil, peer)
}

// SharesList reports whether this process and peer exchange the list of instances.
// Each availability zone reads its own list, because the platform may return
// different addresses to each zone.
func (c *Core) SharesList(peer member.Instance) bool {
	return peer.AvailabilityZone == c.config.Self.AvailabilityZone
}

// Heard records the digest that a peer sent, and returns a fetch when the peer
// has newer data.
func (c *Core) Heard(peer member.Instance, digest Digest, now time.Time) []Action {
	if _, found := c.suspects[peer.Name]; found {
		delete(c.suspects, peer.Name)
		c.linksStale = true
	}
	if !c.SharesList(peer) {
		digest.Stamp, digest.Hash = c.digest.Stamp, c.digest.Hash
	}
	if !c.digest.Behind(digest) {
		return nil
	}
	if len(c.newerPeers) >= maxNewerPeers {
		c.newerPeers = c.newerPeers[1:]
	}
	c.newerPeers = append(c.newerPeers, newerPeer{peer: peer, digest: digest})
	return c.startFetch(nil, now)
}

// Answered records the answer to an exchange. current reports whether the peer
// itself has completed its comparison.
func (c *Core) Answered(action Action, digest Digest, current bool, now time.Time) []Action {
	actions := c.exchangeEnded(action.Peer)
	actions = append(actions, c.Heard(action.Peer, digest, now)...)
	c.freshness.Answered(Answer{Peer: action.Peer.Name, Revision: digest.Revision, Current: current, Epoch: action.Epoch}, now)
	c.freshness.RecordRevision(c.digest.Revision)
	return actions
}

// Failed records an exchange or fetch that failed.
func (c *Core) Failed(action Action, now time.Time) []Action {
	c.suspects[action.Peer.Name] = now
	c.linksStale = true
	if action.Kind == Fetch {
		return c.fetchEnded(action.Peer.Name, now)
	}
	return c.exchangeEnded(action.Peer)
}

// exchangeEnded marks an exchange as ended and starts the deferred one, if any.
func (c *Core) exchangeEnded(peer member.Instance) []Action {
	delete(c.exchanging, peer.Name)
	if !c.repeatExchange[peer.Name] {
		return nil
	}
	delete(c.repeatExchange, peer.Name)
	return c.startExchange(nil, peer)
}

// Fetched records the end of a fetch. The driver must call Holds first.
func (c *Core) Fetched(peer member.Instance, now time.Time) []Action {
	c.freshness.RecordRevision(c.digest.Revision)
	return c.fetchEnded(peer.Name, now)
}

func (c *Core) fetchEnded(name string, now time.Time) []Action {
	kept := c.newerPeers[:0]
	for _, candidate := range c.newerPeers {
		if candidate.peer.Name != name {
			kept = append(kept, candidate)
		}
	}
	c.newerPeers = kept
	if c.fetchPeer == name {
		c.fetchPeer = ""
	}
	return c.startFetch(nil, now)
}

// hedgeFetch starts a fetch from another peer with newer data when the current
// fetch takes too long.
func (c *Core) hedgeFetch(now time.Time) []Action {
	if c.fetchPeer == "" || now.Before(c.fetchHedgeAt) {
		return nil
	}
	return c.fetchEnded(c.fetchPeer, now)
}

// startFetch starts a fetch from the peer with the highest revision, unless a
// fetch is in progress.
func (c *Core) startFetch(actions []Action, now time.Time) []Action {
	if c.fetchPeer != "" {
		return actions
	}
	kept := c.newerPeers[:0]
	best := -1
	for _, candidate := range c.newerPeers {
		if !c.digest.Behind(candidate.digest) {
			continue
		}
		kept = append(kept, candidate)
		if best < 0 || candidate.digest.Revision > kept[best].digest.Revision {
			best = len(kept) - 1
		}
	}
	c.newerPeers = kept
	if best < 0 {
		return actions
	}
	peer := c.newerPeers[best].peer
	c.fetchPeer, c.fetchHedgeAt = peer.Name, now.Add(fetchHedgeDelay)
	return append(actions, Action{Kind: Fetch, Peer: peer})
}
