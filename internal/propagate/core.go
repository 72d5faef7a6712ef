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
	// compareFanout is the number of peers that a process contacts at once while it
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
	// Stamp and Hash describe the list of instances; see member.ReplicatedList.
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

// Config holds the settings of a Protocol.
type Config struct {
	Self member.Instance
	// Interval is the mean time between two exchanges while nothing changes.
	Interval time.Duration
	// Seed initializes the random choices and should differ between processes.
	Seed uint64
}

// Protocol is the gossip state machine of one process. Its methods are not safe
// for concurrent use.
type Protocol struct {
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
	// waitingPeers holds the peers to exchange with when fewer exchanges are in
	// progress.
	waitingPeers  map[string]member.Instance
	newerPeers    []newerPeer
	fetchPeer     string
	fetchHedgeAt  time.Time
	nextExchange  time.Time
	exchangeCount int
}

type newerPeer struct {
	peer   member.Instance
	digest Digest
}

// New returns a Protocol that knows no peers. Its process must compare its data
// with peers before it may serve.
func New(config Config, now time.Time) *Protocol {
	return &Protocol{
		config:         config,
		random:         rand.New(rand.NewPCG(config.Seed, uint64(len(config.Self.Name)))),
		topology:       NewTopology(nil),
		freshness:      NewFreshness(now),
		suspects:       map[string]time.Time{},
		exchanging:     map[string]bool{},
		repeatExchange: map[string]bool{},
		waitingPeers:   map[string]member.Instance{},
		nextExchange:   now,
	}
}

// Freshness returns the state that decides whether the process may serve.
func (p *Protocol) Freshness() *Freshness { return p.freshness }

// SetTopology replaces the set of instances that may be called.
func (p *Protocol) SetTopology(topology *Topology) {
	p.topology = topology
	p.linksStale = true
}

// Digest returns the digest of the local data.
func (p *Protocol) Digest() Digest { return p.digest }

// DigestChanged records the new digest of the local data and returns the exchanges
// that notify linked peers of a change. from names the peer that sent the change,
// if any.
func (p *Protocol) DigestChanged(digest Digest, from string, now time.Time) []Action {
	changed := digest.Revision > p.digest.Revision || digest.Hash != p.digest.Hash
	p.digest = digest
	if !changed {
		return nil
	}
	var actions []Action
	for _, peer := range p.Links(now) {
		if peer.Name != from {
			actions = p.startExchange(actions, peer)
		}
	}
	return actions
}

// Links returns the peers that are notified of changes.
func (p *Protocol) Links(now time.Time) []member.Instance {
	for name, since := range p.suspects {
		if now.Sub(since) >= suspicionTimeout {
			delete(p.suspects, name)
			p.linksStale = true
		}
	}
	if p.linksStale {
		p.linksStale = false
		p.links = p.topology.Links(p.config.Self, p.suspected)
	}
	return p.links
}

func (p *Protocol) suspected(name string) bool {
	_, found := p.suspects[name]
	return found
}

// startExchange adds an exchange with peer. While one is in progress, the next one
// is deferred until it ends, so that a change made meanwhile is also sent. While
// maxExchanges are in progress, it is deferred until one of them ends.
func (p *Protocol) startExchange(actions []Action, peer member.Instance) []Action {
	if p.exchanging[peer.Name] {
		p.repeatExchange[peer.Name] = true
		return actions
	}
	if len(p.exchanging) >= maxExchanges {
		p.waitingPeers[peer.Name] = peer
		return actions
	}
	delete(p.waitingPeers, peer.Name)
	p.exchanging[peer.Name] = true
	return append(actions, Action{Kind: Exchange, Peer: peer, Epoch: p.freshness.Epoch()})
}

// Tick returns the exchanges that are due. The driver calls it frequently; a long
// gap between two calls is treated as a pause of the process.
func (p *Protocol) Tick(now time.Time) []Action {
	p.freshness.Tick(now)
	actions := p.hedgeFetch(now)
	if now.Before(p.nextExchange) {
		return actions
	}
	if p.freshness.State() != Current {
		p.nextExchange = now.Add(compareInterval)
		return p.startComparison(actions, now)
	}
	spread := time.Duration(p.random.Int64N(int64(p.config.Interval) + 1))
	p.nextExchange = now.Add(p.config.Interval/2 + spread)
	peer, found := p.nextPeer(now)
	if !found {
		return actions
	}
	return p.startExchange(actions, peer)
}

// startComparison starts exchanges with several linked and random peers.
func (p *Protocol) startComparison(actions []Action, now time.Time) []Action {
	for range compareFanout {
		if peer, found := p.nextPeer(now); found {
			actions = p.startExchange(actions, peer)
		}
	}
	return actions
}

func (p *Protocol) nextPeer(now time.Time) (member.Instance, bool) {
	p.exchangeCount++
	links := p.Links(now)
	if len(links) > 0 && p.exchangeCount%randomPeerEvery != 0 {
		return links[p.exchangeCount%len(links)], true
	}
	return p.randomPeer()
}

func (p *Protocol) randomPeer() (member.Instance, bool) {
	list := p.topology.list
	if len(list) == 0 {
		return member.Instance{}, false
	}
	start := p.random.IntN(len(list))
	for i := range list {
		peer := list[(start+i)%len(list)]
		if peer.Name != p.config.Self.Name {
			return peer, true
		}
	}
	return member.Instance{}, false
}

// Probe returns an exchange with peer.
func (p *Protocol) Probe(peer member.Instance) []Action {
	return p.startExchange(nil, peer)
}

// SharesList reports whether this process and peer exchange the list of instances.
// Each availability zone reads its own list, because the platform may return
// different addresses to each zone.
func (p *Protocol) SharesList(peer member.Instance) bool {
	return peer.AvailabilityZone == p.config.Self.AvailabilityZone
}

// DigestReceived records the digest that a peer sent, and returns a fetch when the
// peer has newer data.
func (p *Protocol) DigestReceived(peer member.Instance, digest Digest, now time.Time) []Action {
	if _, found := p.suspects[peer.Name]; found {
		delete(p.suspects, peer.Name)
		p.linksStale = true
	}
	if !p.SharesList(peer) {
		digest.Stamp, digest.Hash = p.digest.Stamp, p.digest.Hash
	}
	if !p.digest.Behind(digest) {
		return nil
	}
	if len(p.newerPeers) >= maxNewerPeers {
		p.newerPeers = p.newerPeers[1:]
	}
	p.newerPeers = append(p.newerPeers, newerPeer{peer: peer, digest: digest})
	return p.startFetch(nil, now)
}

// Answered records the answer to an exchange. current reports whether the peer
// itself has completed its comparison.
func (p *Protocol) Answered(action Action, digest Digest, current bool, now time.Time) []Action {
	actions := p.exchangeEnded(action.Peer)
	actions = append(actions, p.DigestReceived(action.Peer, digest, now)...)
	p.freshness.Answered(Answer{Peer: action.Peer.Name, Revision: digest.Revision, Current: current, Epoch: action.Epoch}, now)
	p.freshness.RecordRevision(p.digest.Revision)
	return actions
}

// Failed records an exchange or fetch that failed.
func (p *Protocol) Failed(action Action, now time.Time) []Action {
	p.suspects[action.Peer.Name] = now
	p.linksStale = true
	if action.Kind == Fetch {
		return p.fetchEnded(action.Peer.Name, now)
	}
	return p.exchangeEnded(action.Peer)
}

// exchangeEnded marks an exchange as ended and starts deferred ones, if any.
func (p *Protocol) exchangeEnded(peer member.Instance) []Action {
	delete(p.exchanging, peer.Name)
	if p.repeatExchange[peer.Name] {
		delete(p.repeatExchange, peer.Name)
		p.waitingPeers[peer.Name] = peer
	}
	var actions []Action
	for _, waiting := range p.waitingPeers {
		if len(p.exchanging) >= maxExchanges {
			break
		}
		actions = p.startExchange(actions, waiting)
	}
	return actions
}

// Fetched records the end of a fetch. The driver must record the new digest first.
func (p *Protocol) Fetched(peer member.Instance, now time.Time) []Action {
	p.freshness.RecordRevision(p.digest.Revision)
	return p.fetchEnded(peer.Name, now)
}

func (p *Protocol) fetchEnded(name string, now time.Time) []Action {
	kept := p.newerPeers[:0]
	for _, candidate := range p.newerPeers {
		if candidate.peer.Name != name {
			kept = append(kept, candidate)
		}
	}
	p.newerPeers = kept
	if p.fetchPeer == name {
		p.fetchPeer = ""
	}
	return p.startFetch(nil, now)
}

// hedgeFetch starts a fetch from another peer with newer data when the current
// fetch takes too long.
func (p *Protocol) hedgeFetch(now time.Time) []Action {
	if p.fetchPeer == "" || now.Before(p.fetchHedgeAt) {
		return nil
	}
	return p.fetchEnded(p.fetchPeer, now)
}

// startFetch starts a fetch from the peer with the highest revision, unless a
// fetch is in progress.
func (p *Protocol) startFetch(actions []Action, now time.Time) []Action {
	if p.fetchPeer != "" {
		return actions
	}
	kept := p.newerPeers[:0]
	best := -1
	for _, candidate := range p.newerPeers {
		if !p.digest.Behind(candidate.digest) {
			continue
		}
		kept = append(kept, candidate)
		if best < 0 || candidate.digest.Revision > kept[best].digest.Revision {
			best = len(kept) - 1
		}
	}
	p.newerPeers = kept
	if best < 0 {
		return actions
	}
	peer := p.newerPeers[best].peer
	p.fetchPeer, p.fetchHedgeAt = peer.Name, now.Add(fetchHedgeDelay)
	return append(actions, Action{Kind: Fetch, Peer: peer})
}
