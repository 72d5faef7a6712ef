// Package tablesync keeps the newest tables in a process: it watches the
// store, exchanges revisions with peers and pushes changes to them.
package tablesync

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/logging"
	"plantainrelay/internal/member"
	"plantainrelay/internal/membership"
	"plantainrelay/internal/message"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/table"
)

// The object that holds the tables.
const (
	ObjectKind = "config"
	ObjectName = "tables"
)

const (
	callTimeout     = 2 * time.Second
	watchMargin     = 3 * time.Second
	watchRetry      = 500 * time.Millisecond
	watchersPerZone = 2
	pushesAtOnce    = 16
)

// Config holds the settings of the synchronisation.
type Config struct {
	Self             string
	AvailabilityZone string
	// Watches says that this process may watch the store.
	Watches bool
	// ExchangeInterval is the time between two revision exchanges.
	ExchangeInterval time.Duration
	// WatchWait is how long one watch call waits.
	WatchWait time.Duration
}

// Sync holds the newest tables. It is safe for concurrent use.
type Sync struct {
	config  Config
	store   platform.ObjectStore
	members *membership.View
	client  *peer.Client
	log     *logrus.Entry

	mu      sync.Mutex
	holder  table.Holder
	current atomic.Pointer[table.Snapshot]
	subs    []chan struct{}
}

// New returns a synchronisation that holds no tables yet.
func New(config Config, store platform.ObjectStore, members *membership.View, client *peer.Client, log *logrus.Entry) *Sync {
	return &Sync{config: config, store: store, members: members, client: client, log: log}
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

// Subscribe returns a channel that receives a value after each change.
// Changes in quick succession may be merged.
func (s *Sync) Subscribe() <-chan struct{} {
	changed := make(chan struct{}, 1)
	s.mu.Lock()
	s.subs = append(s.subs, changed)
	s.mu.Unlock()
	return changed
}

// Offer applies a newer snapshot and passes it on. It reports whether the
// snapshot was newer.
func (s *Sync) Offer(snapshot *table.Snapshot) bool {
	s.mu.Lock()
	applied := s.holder.Offer(snapshot)
	if applied {
		s.current.Store(snapshot)
		for _, changed := range s.subs {
			notify(changed)
		}
	}
	s.mu.Unlock()
	if applied {
		s.log.WithField(logging.FieldRevision, snapshot.Revision).Info("tables in force")
	}
	return applied
}

func notify(changed chan struct{}) {
	select {
	case changed <- struct{}{}:
	default:
	}
}

// Run keeps the tables new until ctx ends.
func (s *Sync) Run(ctx context.Context) {
	if s.config.Watches {
		go s.watch(ctx)
		go s.push(ctx)
	}
	s.exchange(ctx)
}

// Decode returns the snapshot that the store's object holds.
func Decode(object platform.Object) (*table.Snapshot, error) {
	snapshot := &table.Snapshot{}
	if err := json.Unmarshal(object.Value, snapshot); err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "write the tables again", "the tables in the store are garbled")
	}
	snapshot.Revision = object.Version
	return snapshot, nil
}

func (s *Sync) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.responsible() {
			pause(ctx, watchRetry)
			continue
		}
		if err := s.watchOnce(ctx); err != nil {
			s.log.WithError(err).Warning("the store cannot be watched; peers still pass on changes")
			pause(ctx, watchRetry)
		}
	}
}

// responsible reports whether this process is one of the watchers of its
// availability zone. Without a list it watches, to be able to start.
func (s *Sync) responsible() bool {
	var names []string
	for _, instance := range s.members.Current().Role(member.RoleEntry) {
		if instance.AvailabilityZone == s.config.AvailabilityZone && instance.State == member.StateLive {
			names = append(names, instance.Name)
		}
	}
	ranked := member.Rank("watch", names)
	if len(ranked) <= watchersPerZone {
		return true
	}
	for _, name := range ranked[:watchersPerZone] {
		if name == s.config.Self {
			return true
		}
	}
	return false
}

func (s *Sync) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.WatchWait+watchMargin)
	defer cancel()
	objects, err := s.store.Watch(ctx, ObjectKind, s.Revision(), s.config.WatchWait)
	if err != nil {
		return err
	}
	for _, object := range objects {
		if object.Name != ObjectName {
			continue
		}
		snapshot, err := Decode(object)
		if err != nil {
			return err
		}
		s.Offer(snapshot)
	}
	return nil
}

// push offers each change to all other entries.
func (s *Sync) push(ctx context.Context) {
	changed := s.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			s.pushOnce(ctx)
		}
	}
}

func (s *Sync) pushOnce(ctx context.Context) {
	args := message.OfferArgs{From: s.config.Self, Snapshot: s.Current()}
	slots := make(chan struct{}, pushesAtOnce)
	var group sync.WaitGroup
	for _, instance := range s.members.Current().Role(member.RoleEntry) {
		if instance.Name == s.config.Self {
			continue
		}
		slots <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			call, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_ = s.client.Call(call, instance.ControlAddress, message.MethodOffer, args, &message.OfferReply{})
		}()
	}
	group.Wait()
}

func (s *Sync) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		if instance, found := s.randomPeer(); found {
			s.exchangeWith(ctx, instance)
		}
		pause(ctx, s.config.ExchangeInterval)
	}
}

func (s *Sync) randomPeer() (member.Instance, bool) {
	var others []member.Instance
	for _, instance := range s.members.Current().Instances {
		if instance.Name != s.config.Self {
			others = append(others, instance)
		}
	}
	if len(others) == 0 {
		return member.Instance{}, false
	}
	return others[rand.IntN(len(others))], true
}

func (s *Sync) exchangeWith(ctx context.Context, instance member.Instance) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	args := message.ExchangeArgs{From: s.config.Self, Revision: s.Revision()}
	var reply message.ExchangeReply
	if err := s.client.Call(ctx, instance.ControlAddress, message.MethodExchange, args, &reply); err != nil {
		s.log.WithError(err).WithField("peer", instance.Name).Debug("revision exchange failed")
		return
	}
	if reply.Snapshot != nil {
		s.Offer(reply.Snapshot)
		return
	}
	if reply.Revision < s.Revision() {
		offer := message.OfferArgs{From: s.config.Self, Snapshot: s.Current()}
		_ = s.client.Call(ctx, instance.ControlAddress, message.MethodOffer, offer, &message.OfferReply{})
	}
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// Service is the net/rpc service "Tables" over a Sync.
type Service struct {
	sync *Sync
}

// NewService returns the service over s.
func NewService(s *Sync) *Service {
	return &Service{sync: s}
}

// Exchange returns this process's revision, and its snapshot when newer.
func (v *Service) Exchange(args message.ExchangeArgs, reply *message.ExchangeReply) error {
	snapshot := v.sync.Current()
	if snapshot == nil {
		return nil
	}
	reply.Revision = snapshot.Revision
	if snapshot.Revision > args.Revision {
		reply.Snapshot = snapshot
	}
	return nil
}

// Offer applies the snapshot when it is newer.
func (v *Service) Offer(args message.OfferArgs, reply *message.OfferReply) error {
	v.sync.Offer(args.Snapshot)
	reply.Revision = v.sync.Revision()
	return nil
}
