package propagate

import (
	"math/rand/v2"
	"time"

	"plantainrelay/internal/member"
)

const (
	// randomPeerEvery is the share of exchanges that go to a random instance in
	// place of a link: one in randomPeerEvery.
	randomPeerEvery = 4
	// suspicionTimeout is how long a peer that did not answer is passed over.
	suspicionTimeout = 5 * time.Second
	// fetchHedgeDelay is how long a fetch may take before another peer is asked
	// as well.
	fetchHedgeDelay = 300 * time.Millisecond
	// maxNewerPeers bounds the remembered peers that hold something newer.
	maxNewerPeers = 8
	// compareFanout is the number of peers asked at once by a process that has
	// to compare before it serves.
	compareFanout = 4
	// compareInterval is the time between two rounds of comparing.
	compareInterval = 250 * time.Millisecond
	// maxExchanges bounds the exchanges in progress.
	maxExchanges = 32
)

// Digest is what two processes compare.
type Digest struct {
	// Revision is the revision of the tables held.
	Revision int64
	// Stamp and Hash describe the list held; see member.Directory.
	Stamp int64
	Hash  uint64
}

// Behind reports whether the holder of d lacks something that other has.
func (d Digest) Behind(other Digest) bool {
	if other.Revision > d.Revision {
		return true
	}
	return other.Hash != d.Hash && other.Stamp >= d.Stamp
}

// ActionKind says what the driver has to do.
type ActionKind int

// The kinds of action.
const (
	// Exchange sends the own digest to the peer and returns the peer's.
	Exchange ActionKind = iota
	// Fetch gets what the peer holds and this process lacks.
	Fetch
)

// Action is one call to a peer. The driver reports its end with Answered,
// Fetched or Failed.
type Action struct {
	Kind ActionKind
	Peer member.Instance
	// Epoch is the currency's epoch at the start of the call.
	Epoch int
}

// Config holds the settings of a Core.
type Config struct {
	Self member.Instance
	// Interval is the mean time between two exchanges at rest.
	Interval time.Duration
	// Seed makes the random choices differ between processes.
	Seed uint64
}

// Core decides for one process. Its methods are not safe for concurrent use.
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

// New returns a core that knows no peers and must compare before it serves.
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

// Currency tells whether the process may serve from what it holds.
func (c *Core) Currency() *Freshness { return c.freshness }

// SetTopology replaces the instances that may be called.
func (c *Core) SetTopology(topology *Topology) {
	c.topology = topology
	c.linksStale = true
}

// Digest returns what the process holds.
func (c *Core) Digest() Digest { return c.digest }

// Holds records what the process holds now, and returns the exchanges that
// tell its links of a change. from names the peer that it came from, if any.
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

// Links returns the peers that are told of changes.
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

// startExchange adds an startExchange with peer. While one is in progress the next one
// waits for its end, so that a change in between is told too.
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

// Tick returns the exchanges that are due. The driver calls it often; a long
// gap between two calls is taken for a pause of the process.
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

// startComparison asks several peers at once, links and random ones.
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

// SharesList reports whether the list of instances is passed on between this
// process and peer. Each availability zone reads its own, since the platform
// may name other addresses to it.
func (c *Core) SharesList(peer member.Instance) bool {
	return peer.AvailabilityZone == c.config.Self.AvailabilityZone
}

// Heard records the digest of a peer that sent an exchange, and returns a
// fetch when the peer holds something newer.
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

// Answered records the answer to an exchange. current says that the peer
// itself has compared.
func (c *Core) Answered(action Action, digest Digest, current bool, now time.Time) []Action {
	actions := c.exchangeEnded(action.Peer)
	actions = append(actions, c.Heard(action.Peer, digest, now)...)
	c.freshness.Answered(Answer{Peer: action.Peer.Name, Revision: digest.Revision, Current: current, Epoch: action.Epoch}, now)
	c.freshness.RecordRevision(c.digest.Revision)
	return actions
}

// Failed records an exchange or a fetch that was not answered.
func (c *Core) Failed(action Action, now time.Time) []Action {
	c.suspects[action.Peer.Name] = now
	c.linksStale = true
	if action.Kind == Fetch {
		return c.fetchEnded(action.Peer.Name, now)
	}
	return c.exchangeEnded(action.Peer)
}

// exchangeEnded follows an exchange; a change that came meanwhile is told now.
func (c *Core) exchangeEnded(peer member.Instance) []Action {
	delete(c.exchanging, peer.Name)
	if !c.repeatExchange[peer.Name] {
		return nil
	}
	delete(c.repeatExchange, peer.Name)
	return c.startExchange(nil, peer)
}

// Fetched records the end of a fetch; the driver has called Holds before.
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

// hedgeFetch follows a fetch that takes long: another peer that is ahead
// is asked too.
func (c *Core) hedgeFetch(now time.Time) []Action {
	if c.fetchPeer == "" || now.Before(c.fetchHedgeAt) {
		return nil
	}
	return c.fetchEnded(c.fetchPeer, now)
}

// startFetch starts a startFetch from the newest peer that is ahead, one at a time.
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
