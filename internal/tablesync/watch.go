package tablesync

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/logging"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/propagate"
	"plantainrelay/internal/table"
)

// ObjectKind and ObjectName identify the store object that holds the tables.
const (
	ObjectKind = "config"
	ObjectName = "tables"
)

const (
	watchTimeoutMargin   = 3 * time.Second
	initialWatchBackoff  = 500 * time.Millisecond
	maxWatchBackoff      = 10 * time.Second
	watcherCheckInterval = 500 * time.Millisecond
)

// storeState is the state of the store as last observed by this process.
type storeState struct {
	// version is the version of the store object from which watching continues.
	version int64
	// storedRevision is the revision in the store. reachable reports whether the
	// last call to the store succeeded.
	storedRevision int64
	reachable      bool
	behind         bool
	// lastRead is the time of the latest read of the store, by this process or by
	// another one in its availability zone.
	lastRead time.Time
}

// Decode returns the snapshot encoded in a store object.
func Decode(object platform.Object) (*table.Snapshot, error) {
	snapshot := &table.Snapshot{}
	if err := json.Unmarshal(object.Value, snapshot); err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "write the tables again", "the tables in the store cannot be decoded")
	}
	return snapshot, nil
}

// isWatcher reports whether this process is one of the processes of its
// availability zone that watch the store.
func (s *Sync) isWatcher() bool {
	last := s.lastStoreRead()
	if last.IsZero() {
		last = s.started
	}
	return propagate.ShouldWatchStore(s.config.Self, s.members.Current().Instances, s.now().Sub(last), s.config.WatchWait)
}

func (s *Sync) lastStoreRead() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch.lastRead
}

// recordStoreRead records that a process read the store at the given time.
func (s *Sync) recordStoreRead(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.watch.lastRead) {
		s.watch.lastRead = at
	}
}

func (s *Sync) watchStore(ctx context.Context) {
	backoff := initialWatchBackoff
	for ctx.Err() == nil {
		if !s.isWatcher() {
			clock.Sleep(ctx, watcherCheckInterval)
			continue
		}
		if err := s.watchOnce(ctx); err != nil {
			s.log.WithError(err).Warning("store watch failed; changes still arrive from peers")
			clock.Sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxWatchBackoff)
			continue
		}
		backoff = initialWatchBackoff
	}
}

func (s *Sync) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.WatchWait+watchTimeoutMargin)
	defer cancel()
	s.mu.Lock()
	afterVersion := s.watch.version
	s.mu.Unlock()
	call := s.startStoreCall()
	objects, err := s.store.Watch(ctx, ObjectKind, afterVersion, s.config.WatchWait)
	s.recordStoreCall(call, err)
	if err != nil {
		return err
	}
	for _, object := range objects {
		if object.Name != ObjectName {
			continue
		}
		if err := s.applyObject(object, false); err != nil {
			return err
		}
	}
	return nil
}

// verifyStore reads the stored tables periodically, because watch events may be
// lost and a store that was restored to an older state sends none.
func (s *Sync) verifyStore(ctx context.Context) {
	for ctx.Err() == nil {
		if s.isWatcher() {
			s.verifyOnce(ctx)
		}
		clock.Sleep(ctx, s.config.VerifyInterval-s.config.VerifyInterval/4+rand.N(s.config.VerifyInterval/2))
	}
}

func (s *Sync) verifyOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	call := s.startStoreCall()
	object, err := s.store.Get(ctx, ObjectKind, ObjectName)
	if failure.Is(err, failure.NotFound) {
		object, err = platform.Object{Kind: ObjectKind, Name: ObjectName, Value: []byte("{}")}, nil
	}
	s.recordStoreCall(call, err)
	if err != nil {
		return
	}
	if err := s.applyObject(object, true); err != nil {
		s.log.WithError(err).Error("the stored tables cannot be decoded; the current tables stay in force")
	}
}

// storeCall is a call to the store in progress.
type storeCall struct {
	startedAt time.Time
	// epoch is the freshness epoch at the start of the call.
	epoch int
}

func (s *Sync) startStoreCall() storeCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCall{startedAt: s.now(), epoch: s.protocol.Freshness().Epoch()}
}

// recordStoreCall records the end of a call to the store. If the process was paused
// during the call, the answer may be as old as the call.
func (s *Sync) recordStoreCall(call storeCall, err error) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.reachable = err == nil
	if err != nil {
		return
	}
	freshness := s.protocol.Freshness()
	readAt := now
	if freshness.Paused(now) || freshness.Epoch() != call.epoch {
		readAt = call.startedAt
	}
	if readAt.After(s.watch.lastRead) {
		s.watch.lastRead = readAt
	}
	freshness.StoreRead(call.epoch, now)
	s.publishState()
}

// applyObject applies a state of the stored object. Reads may be stale, so only
// a verified read may set the watched version back to a lower one.
func (s *Sync) applyObject(object platform.Object, verified bool) error {
	snapshot, err := Decode(object)
	if err != nil {
		return err
	}
	s.ApplyIfNewer(snapshot)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.storedRevision = snapshot.Revision
	if verified || object.Version > s.watch.version {
		s.watch.version = object.Version
	}
	behind := snapshot.Revision < s.holder.Revision()
	if verified && behind && s.watch.behind {
		s.log.WithFields(logrus.Fields{logging.FieldRevision: s.holder.Revision(), "stored_revision": snapshot.Revision}).
			Error("the store holds older tables than the fleet; the newer tables stay in force; run plantainctl table recover")
	}
	s.watch.behind = behind
	return nil
}

// StoreStatus is the state of the store as last observed by a process.
type StoreStatus struct {
	// Watches reports whether this process is one of those that watch the store.
	Watches bool `json:"watches"`
	// Reachable reports whether the last call to the store succeeded.
	Reachable bool `json:"reachable"`
	// Behind reports whether the store holds older tables than this process.
	Behind bool `json:"behind"`
	// Revision is the revision last read from the store.
	Revision int64 `json:"revision"`
}

// Store returns the state of the store as last observed by this process.
func (s *Sync) Store() StoreStatus {
	watches := s.isWatcher()
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreStatus{Watches: watches, Reachable: s.watch.reachable, Behind: s.watch.behind, Revision: s.watch.storedRevision}
}
