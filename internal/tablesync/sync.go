// Package tablesync keeps the tables of a process up to date: it watches the
// store, compares revisions with peers and notifies them of changes. Package
// propagate makes the decisions; this package does the I/O.
package tablesync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/logging"
	"plantainrelay/internal/member"
	"plantainrelay/internal/membership"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/propagate"
	"plantainrelay/internal/table"
)

const (
	exchangeTimeout = 700 * time.Millisecond
	fetchTimeout    = 5 * time.Second
	storeTimeout    = 2 * time.Second

	tickInterval = 100 * time.Millisecond
	// maxTickAge is the maximum age of the last tick for which requests are
	// admitted without taking the lock to check for a pause of the process.
	maxTickAge = 500 * time.Millisecond
	// maxAdmitWait is the maximum time that a request waits for the comparison
	// with peers.
	maxAdmitWait      = 5 * time.Second
	admitPollInterval = 20 * time.Millisecond
)

// Config holds the settings of a Sync.
type Config struct {
	Self member.Instance
	// Incarnation differs between two runs of the same instance.
	Incarnation uint64
	// ExchangeInterval is the mean time between two exchanges while nothing
	// changes.
	ExchangeInterval time.Duration
	// WatchWait is the long-poll timeout of one watch call.
	WatchWait time.Duration
	// VerifyInterval is the time between two reads of the stored tables by a
	// process that watches the store.
	VerifyInterval time.Duration
}

// Sync holds the newest known tables. It is safe for concurrent use.
type Sync struct {
	config  Config
	store   platform.ObjectStore
	members *membership.View
	client  *peer.Client
	log     *logrus.Entry
	now     func() time.Time
	started time.Time

	current atomic.Pointer[table.Snapshot]
	// serving and lastTick let requests be admitted without taking mu.
	serving  atomic.Bool
	lastTick atomic.Int64

	mu          sync.Mutex
	holder      table.Holder
	protocol    *propagate.Protocol
	subscribers []chan struct{}
	watch       storeState
	// received holds the last summary of each peer.
	received map[string]receivedSummary
}

// New returns a Sync without tables.
func New(config Config, store platform.ObjectStore, members *membership.View, client *peer.Client, log *logrus.Entry) *Sync {
	now := time.Now()
	protocol := propagate.New(propagate.Config{Self: config.Self, Interval: config.ExchangeInterval, Seed: rand.Uint64()}, now)
	return &Sync{config: config, store: store, members: members, client: client, log: log, now: time.Now, started: now, protocol: protocol,
		received: map[string]receivedSummary{}}
}

// Current returns the newest known snapshot, or nil. Its revision never
// decreases.
func (s *Sync) Current() *table.Snapshot {
	return s.current.Load()
}

// Revision returns the revision of the current snapshot, or 0.
func (s *Sync) Revision() int64 {
	if snapshot := s.Current(); snapshot != nil {
		return snapshot.Revision
	}
	return 0
}

// Admit returns the snapshot to serve a new request from. After a start or a
// pause of this process, it waits until the tables have been compared with
// those of peers. It returns failure.NotReachable if that takes longer than
// maxAdmitWait or no tables are known.
func (s *Sync) Admit(ctx context.Context) (*table.Snapshot, error) {
	if err := s.WaitCompared(ctx); err != nil {
		return nil, err
	}
	snapshot := s.Current()
	if snapshot == nil {
		return nil, failure.New(failure.NotReachable, "ask again", "no tables are known yet")
	}
	return snapshot, nil
}

// WaitCompared waits until the tables have been compared with those of peers.
func (s *Sync) WaitCompared(ctx context.Context) error {
	if s.serving.Load() && s.now().Sub(s.started)-time.Duration(s.lastTick.Load()) < maxTickAge {
		return nil
	}
	limit := time.After(maxAdmitWait)
	for {
		if s.State() != propagate.Comparing {
			return nil
		}
		select {
		case <-ctx.Done():
			return failure.Wrap(ctx.Err(), failure.NotReachable, "ask again", "the tables are being compared with peers")
		case <-limit:
			return failure.New(failure.NotReachable, "ask again", "the tables are being compared with peers")
		case <-time.After(admitPollInterval):
		}
	}
}

// State reports whether this process may serve from its current tables. It
// first checks whether the process was paused, and starts the comparison if so.
func (s *Sync) State() propagate.FreshnessState {
	s.mu.Lock()
	now := s.now()
	var actions []propagate.Action
	if s.protocol.Freshness().Paused(now) {
		actions = s.tick(now)
	}
	state := s.protocol.Freshness().State()
	s.mu.Unlock()
	s.startCalls(actions)
	return state
}

// tick advances the protocol to now and returns the calls that are due. The
// caller holds mu.
func (s *Sync) tick(now time.Time) []propagate.Action {
	before := s.protocol.Freshness().Epoch()
	actions := s.protocol.Tick(now)
	if s.protocol.Freshness().Epoch() != before {
		s.log.Warning("this process was paused; new requests wait until its tables have been compared with those of peers")
	}
	s.publishState()
	return actions
}

// publishState updates the fields that requests read without a lock. Only a tick
// detects a pause, so that the state is published with the time of the last one. The
// caller holds mu.
func (s *Sync) publishState() {
	freshness := s.protocol.Freshness()
	s.serving.Store(freshness.State() != propagate.Comparing)
	s.lastTick.Store(int64(freshness.LastTick().Sub(s.started)))
}

// Subscribe returns a channel that receives a value after each change of the
// tables. Changes in quick succession may be coalesced.
func (s *Sync) Subscribe() <-chan struct{} {
	changed := make(chan struct{}, 1)
	s.mu.Lock()
	s.subscribers = append(s.subscribers, changed)
	s.mu.Unlock()
	return changed
}

// ApplyIfNewer applies snapshot if it is newer than the current one and notifies
// peers. It reports whether the snapshot was applied.
func (s *Sync) ApplyIfNewer(snapshot *table.Snapshot) bool {
	return s.applyFrom(snapshot, "")
}

func (s *Sync) applyFrom(snapshot *table.Snapshot, from string) bool {
	now := s.now()
	s.mu.Lock()
	result := s.holder.Offer(snapshot)
	if result == table.Applied {
		s.current.Store(snapshot)
		for _, changed := range s.subscribers {
			notify(changed)
		}
	}
	actions := s.protocol.DigestChanged(s.digest(), from, now)
	s.mu.Unlock()
	s.startCalls(actions)
	s.logApply(result, snapshot)
	return result == table.Applied
}

func (s *Sync) logApply(result table.OfferResult, snapshot *table.Snapshot) {
	switch result {
	case table.Applied:
		s.log.WithField(logging.FieldRevision, snapshot.Revision).Info("tables in force")
	case table.Conflicting:
		s.log.WithFields(logrus.Fields{logging.FieldRevision: snapshot.Revision, "edit": snapshot.EditID}).
			Error("received a different edit with the same revision; the current tables stay in force; see docs/operators/tables.md on a restored store")
	}
}

// digest returns the digest of the tables and instance list of this process.
// The caller holds mu.
func (s *Sync) digest() propagate.Digest {
	stamp, hash := s.members.Digest()
	return propagate.Digest{Revision: s.holder.Revision(), Stamp: stamp, Hash: hash}
}

func notify(changed chan struct{}) {
	select {
	case changed <- struct{}{}:
	default:
	}
}

// Run keeps the tables up to date until ctx is done.
func (s *Sync) Run(ctx context.Context) {
	if s.config.Self.Role == member.RoleEntry {
		go s.watchStore(ctx)
		go s.verifyStore(ctx)
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.members.Changed():
			s.membersChanged()
		case <-ticker.C:
			s.step(s.now())
		}
	}
}

func (s *Sync) step(now time.Time) {
	s.mu.Lock()
	actions := s.tick(now)
	for _, instance := range s.members.Probes() {
		actions = append(actions, s.protocol.Probe(instance)...)
	}
	s.mu.Unlock()
	s.startCalls(actions)
}

func (s *Sync) membersChanged() {
	s.forgetSummaries()
	topology := propagate.NewTopology(s.members.Current().Instances)
	s.mu.Lock()
	s.protocol.SetTopology(topology)
	actions := s.protocol.DigestChanged(s.digest(), "", s.now())
	s.mu.Unlock()
	s.startCalls(actions)
}
