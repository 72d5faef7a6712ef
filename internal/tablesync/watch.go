package tablesync

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/logging"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/propagate"
	"plantainrelay/internal/table"
)

// The object that holds the tables.
const (
	ObjectKind = "config"
	ObjectName = "tables"
)

const (
	watchMargin  = 3 * time.Second
	watchRetry   = 500 * time.Millisecond
	maxWatchWait = 10 * time.Second
	dutyPause    = 500 * time.Millisecond
)

// watchState is what the duties at the store have seen.
type watchState struct {
	// version is the object's version in the store.
	version int64
	// stored is the revision in the store, and reachable whether the last call
	// was answered.
	stored    int64
	reachable bool
	behind    bool
	// read is the newest read of the store that this process knows of, its own or
	// another's of its availability zone.
	read time.Time
}

// Decode returns the snapshot that the store's object holds.
func Decode(object platform.Object) (*table.Snapshot, error) {
	snapshot := &table.Snapshot{}
	if err := json.Unmarshal(object.Value, snapshot); err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "write the tables again", "the tables in the store are garbled")
	}
	return snapshot, nil
}

// watches reports whether this process is one of the watchers of its zone.
func (s *Sync) watches() bool {
	last := s.lastStoreRead()
	if last.IsZero() {
		last = s.started
	}
	return propagate.Watches(s.config.Self, s.members.Current().Instances, time.Since(last), s.config.WatchWait)
}

func (s *Sync) lastStoreRead() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch.read
}

// learnStoreRead records that some process has read the store at the given time.
func (s *Sync) learnStoreRead(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.watch.read) {
		s.watch.read = at
	}
}

func (s *Sync) watchStore(ctx context.Context) {
	wait := watchRetry
	for ctx.Err() == nil {
		if !s.watches() {
			pause(ctx, dutyPause)
			continue
		}
		if err := s.watchOnce(ctx); err != nil {
			s.log.WithError(err).Warning("the store cannot be watched; peers still pass on changes")
			pause(ctx, wait/2+rand.N(wait))
			wait = min(2*wait, maxWatchWait)
			continue
		}
		wait = watchRetry
	}
}

func (s *Sync) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.WatchWait+watchMargin)
	defer cancel()
	s.mu.Lock()
	after := s.watch.version
	s.mu.Unlock()
	objects, err := s.store.Watch(ctx, ObjectKind, after, s.config.WatchWait)
	s.noteStore(err)
	if err != nil {
		return err
	}
	for _, object := range objects {
		if object.Name != ObjectName {
			continue
		}
		if err := s.take(object, false); err != nil {
			return err
		}
	}
	return nil
}

// verifyStore reads the stored tables now and then: watch events may be lost,
// and a store that was restored to an older state sends none.
func (s *Sync) verifyStore(ctx context.Context) {
	for ctx.Err() == nil {
		if s.watches() {
			s.verifyOnce(ctx)
		}
		pause(ctx, s.config.VerifyInterval-s.config.VerifyInterval/4+rand.N(s.config.VerifyInterval/2))
	}
}

func (s *Sync) verifyOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := s.store.Get(ctx, ObjectKind, ObjectName)
	if failure.Is(err, failure.NotFound) {
		object, err = platform.Object{Kind: ObjectKind, Name: ObjectName, Value: []byte("{}")}, nil
	}
	s.noteStore(err)
	if err != nil {
		return
	}
	if err := s.take(object, true); err != nil {
		s.log.WithError(err).Error("the stored tables are not usable; the held ones stay in force")
	}
}

func (s *Sync) noteStore(err error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.reachable = err == nil
	if err == nil {
		s.watch.read = now
		s.core.Currency().StoreRead(now)
		s.noteState(now)
	}
}

// take takes in a state of the stored object. One read may be older than
// another, so only a verified read moves the watch back.
func (s *Sync) take(object platform.Object, verified bool) error {
	snapshot, err := Decode(object)
	if err != nil {
		return err
	}
	s.Offer(snapshot)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.stored = snapshot.Revision
	if verified || object.Version > s.watch.version {
		s.watch.version = object.Version
	}
	behind := snapshot.Revision < s.holder.Revision()
	if verified && behind && s.watch.behind {
		s.log.WithFields(logrus.Fields{logging.FieldRevision: s.holder.Revision(), "stored_revision": snapshot.Revision}).
			Error("the store holds older tables than the fleet, which keeps the newer ones; run plantainctl table recover")
	}
	s.watch.behind = behind
	return nil
}

// StoreStatus is what a process knows of the store.
type StoreStatus struct {
	// Watches says that this process is one of those that watch the store.
	Watches bool `json:"watches"`
	// Reachable says that the last call was answered.
	Reachable bool `json:"reachable"`
	// Behind says that the store holds older tables than the fleet.
	Behind bool `json:"behind"`
	// Revision is the revision last seen in the store.
	Revision int64 `json:"revision"`
}

// Store returns what this process knows of the store.
func (s *Sync) Store() StoreStatus {
	watches := s.watches()
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreStatus{Watches: watches, Reachable: s.watch.reachable, Behind: s.watch.behind, Revision: s.watch.stored}
}
