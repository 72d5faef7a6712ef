// Package tablesync keeps the newest tables in a process: it watches the
// store, compares with peers and tells them of changes. What to do is decided
// in package propagate; this package does it.
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
	// admitTick is the age of the last tick up to which requests are admitted
	// without a further look.
	admitTick = 500 * time.Millisecond
	// holdLimit bounds how long a request waits for the comparison.
	holdLimit = 5 * time.Second
	holdPause = 20 * time.Millisecond
)

// Config holds the settings of the synchronisation.
type Config struct {
	Self member.Instance
	// Incarnation differs between two runs of the same instance.
	Incarnation uint64
	// ExchangeInterval is the mean time between two exchanges at rest.
	ExchangeInterval time.Duration
	// WatchWait is how long one watch call waits.
	WatchWait time.Duration
	// VerifyInterval is the time between two reads of the stored tables by a
	// process that watches the store.
	VerifyInterval time.Duration
}

// Sync holds the newest tables. It is safe for concurrent use.
type Sync struct {
	config  Config
	store   platform.ObjectStore
	members *membership.View
	client  *peer.Client
	log     *logrus.Entry
	started time.Time

	current atomic.Pointer[table.Snapshot]
	// serving and lastTick let requests pass without a lock.
	serving  atomic.Bool
	lastTick atomic.Int64

	mu     sync.Mutex
	holder table.Holder
	core   *propagate.Core
	subs   []chan struct{}
	watch  watchState
}

// New returns a synchronisation that holds no tables yet.
func New(config Config, store platform.ObjectStore, members *membership.View, client *peer.Client, log *logrus.Entry) *Sync {
	now := time.Now()
	core := propagate.New(propagate.Config{Self: config.Self, Interval: config.ExchangeInterval, Seed: rand.Uint64()}, now)
	return &Sync{config: config, store: store, members: members, client: client, log: log, started: now, core: core}
}

// Current returns the newest snapshot, or nil. It never goes back to an older
// revision.
func (s *Sync) Current() *table.Snapshot {
	return s.current.Load()
}

// Revision returns the newest revision, or 0.
func (s *Sync) Revision() int64 {
	if snapshot := s.Current(); snapshot != nil {
		return snapshot.Revision
	}
	return 0
}

// Admit returns the snapshot that a new request is to be served from. After a
// start or a pause of this process it waits until the tables were compared
// with those of peers, and returns failure.NotReachable when that takes too
// long or no tables are known.
func (s *Sync) Admit(ctx context.Context) (*table.Snapshot, error) {
	if err := s.Compared(ctx); err != nil {
		return nil, err
	}
	snapshot := s.Current()
	if snapshot == nil {
		return nil, failure.New(failure.NotReachable, "ask again", "no tables are known yet")
	}
	return snapshot, nil
}

// Compared waits until the tables held were compared with those of peers.
func (s *Sync) Compared(ctx context.Context) error {
	if s.serving.Load() && time.Since(s.started)-time.Duration(s.lastTick.Load()) < admitTick {
		return nil
	}
	limit := time.After(holdLimit)
	for {
		if s.State() != propagate.Comparing {
			return nil
		}
		select {
		case <-ctx.Done():
			return failure.Wrap(ctx.Err(), failure.NotReachable, "ask again", "the tables are being compared with peers")
		case <-limit:
			return failure.New(failure.NotReachable, "ask again", "the tables are being compared with peers")
		case <-time.After(holdPause):
		}
	}
}

// State tells whether this process may serve from the tables it holds.
func (s *Sync) State() propagate.CurrencyState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.core.Currency().Paused(now) {
		s.tick(now)
	}
	return s.core.Currency().State()
}

// tick runs the core's clock. The caller holds mu.
func (s *Sync) tick(now time.Time) []propagate.Action {
	before := s.core.Currency().Epoch()
	actions := s.core.Tick(now)
	if s.core.Currency().Epoch() != before {
		s.log.Warning("this process did not run for a while; new requests wait until the tables were compared with peers")
	}
	s.noteState(now)
	return actions
}

// noteState publishes the state for requests. The caller holds mu.
func (s *Sync) noteState(now time.Time) {
	s.serving.Store(s.core.Currency().State() != propagate.Comparing)
	s.lastTick.Store(int64(now.Sub(s.started)))
}

// Subscribe returns a channel that receives a value after each change.
// Changes in quick succession may be merged.
func (s *Sync) Subscribe() <-chan struct{} {
	changed := make(chan struct{}, 1)
	s.mu.Lock()
	s.subs = append(s.subs, changed)
	s.mu.Unlock()
	return changed
}

// Offer applies a newer snapshot and tells peers of it. It reports whether the
// snapshot was newer.
func (s *Sync) Offer(snapshot *table.Snapshot) bool {
	return s.offerFrom(snapshot, "")
}

func (s *Sync) offerFrom(snapshot *table.Snapshot, from string) bool {
	now := time.Now()
	s.mu.Lock()
	offering := s.holder.Offer(snapshot)
	if offering == table.Applied {
		s.current.Store(snapshot)
		for _, changed := range s.subs {
			notify(changed)
		}
	}
	actions := s.core.Holds(s.digest(), from, now)
	s.mu.Unlock()
	s.run(actions)
	s.report(offering, snapshot)
	return offering == table.Applied
}

func (s *Sync) report(offering table.Offering, snapshot *table.Snapshot) {
	switch offering {
	case table.Applied:
		s.log.WithField(logging.FieldRevision, snapshot.Revision).Info("tables in force")
	case table.Forked:
		s.log.WithFields(logrus.Fields{logging.FieldRevision: snapshot.Revision, "edit": snapshot.EditID}).
			Error("another edit has made the same revision; the held one stays, see docs/operators/tables.md on a restored store")
	}
}

// digest describes what this process holds. The caller holds mu.
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

// Run keeps the tables new until ctx ends.
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
			s.step(time.Now())
		}
	}
}

func (s *Sync) step(now time.Time) {
	s.mu.Lock()
	actions := s.tick(now)
	for _, instance := range s.members.Probes() {
		actions = append(actions, s.core.Probe(instance)...)
	}
	s.mu.Unlock()
	s.run(actions)
}

func (s *Sync) membersChanged() {
	topology := propagate.NewTopology(s.members.Current().Instances)
	s.mu.Lock()
	s.core.SetTopology(topology)
	actions := s.core.Holds(s.digest(), "", time.Now())
	s.mu.Unlock()
	s.run(actions)
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
