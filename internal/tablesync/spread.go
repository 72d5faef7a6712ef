package tablesync

import (
	"context"
	"time"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/member"
	"plantainrelay/internal/message"
	"plantainrelay/internal/propagate"
)

// startCalls starts the calls that the protocol requested, each in its own
// goroutine. The protocol limits the number of calls in progress.
func (s *Sync) startCalls(actions []propagate.Action) {
	for _, action := range actions {
		go s.call(action)
	}
}

func (s *Sync) call(action propagate.Action) {
	timeout := exchangeTimeout
	if action.Kind == propagate.Fetch {
		timeout = fetchTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var err error
	if action.Kind == propagate.Fetch {
		err = s.fetch(ctx, action)
	} else {
		err = s.exchange(ctx, action)
	}
	if err == nil {
		return
	}
	s.log.WithError(err).WithField("peer", action.Peer.Name).Debug("call to peer failed")
	s.members.Failed(action.Peer.Name)
	s.mu.Lock()
	actions := s.protocol.Failed(action, s.now())
	s.mu.Unlock()
	s.startCalls(actions)
}

func (s *Sync) exchange(ctx context.Context, action propagate.Action) error {
	args, sentAt := s.summary(action.Peer.Name), s.now()
	var reply message.PeerSummary
	if err := s.client.Call(ctx, action.Peer.ControlAddress, message.MethodTablesExchange, args, &reply); err != nil {
		return err
	}
	if reply.From != action.Peer.Name {
		return failure.New(failure.NotReachable, "wait for the instance list to be updated", "instance %s answered at the address of %s", reply.From, action.Peer.Name)
	}
	s.members.Answered(reply.From, reply.Incarnation)
	now := s.now()
	s.recordSummary(reply, now)
	s.recordReads(action.Peer, reply, sentAt)
	s.mu.Lock()
	actions := s.protocol.Answered(action, digestOf(reply), reply.Current, now)
	s.publishState()
	s.mu.Unlock()
	s.startCalls(actions)
	return nil
}

func (s *Sync) fetch(ctx context.Context, action propagate.Action) error {
	args := message.TablesFetchArgs{From: s.config.Self.Name, Revision: s.Revision()}
	if s.protocol.SharesList(action.Peer) {
		args.Stamps = s.members.Stamps()
	}
	var reply message.TablesFetchReply
	if err := s.client.Call(ctx, action.Peer.ControlAddress, message.MethodTablesFetch, args, &reply); err != nil {
		return err
	}
	s.members.Merge(reply.Parts)
	s.applyFrom(reply.Snapshot, action.Peer.Name)
	s.fetchEnded(action.Peer, s.now())
	return nil
}

func (s *Sync) fetchEnded(peer member.Instance, now time.Time) {
	s.mu.Lock()
	actions := s.protocol.Fetched(peer, now)
	s.publishState()
	s.mu.Unlock()
	s.startCalls(actions)
}

// summary returns the description of this process that it sends to the named peer. An
// answer needs no echo: its caller knows when it started the call.
func (s *Sync) summary(peer string) message.PeerSummary {
	composed := s.now()
	s.mu.Lock()
	digest := s.digest()
	current := s.protocol.Freshness().State() == propagate.Current
	s.mu.Unlock()
	summary := message.PeerSummary{
		From:        s.config.Self.Name,
		Incarnation: s.config.Incarnation,
		Revision:    digest.Revision,
		Stamp:       digest.Stamp,
		Hash:        digest.Hash,
		Current:     current,
	}
	summary.ReadAge, summary.StoreReadAge = s.encodeAge(s.members.LastReadTime()), s.encodeAge(s.lastStoreRead())
	s.addEcho(&summary, peer, composed)
	return summary
}

// encodeAge returns the age of a read as encoded in summaries: milliseconds plus
// one, or 0 for no read.
func (s *Sync) encodeAge(read time.Time) int64 {
	if read.IsZero() {
		return 0
	}
	return 1 + s.now().Sub(read).Milliseconds()
}

// recordReads records the latest reads of the instance list and the store that a
// peer reports. sentAt is a lower bound of the time at which the summary was composed:
// for an answer the start of the call, for a call what its echo proves. If it is zero,
// the reads are ignored.
func (s *Sync) recordReads(peer member.Instance, summary message.PeerSummary, sentAt time.Time) {
	if sentAt.IsZero() || !s.protocol.SharesList(peer) {
		return
	}
	if summary.ReadAge > 0 {
		s.members.RecordRead(sentAt.Add(-time.Duration(summary.ReadAge-1) * time.Millisecond))
	}
	if summary.StoreReadAge > 0 {
		s.recordStoreRead(sentAt.Add(-time.Duration(summary.StoreReadAge-1) * time.Millisecond))
	}
}

func digestOf(summary message.PeerSummary) propagate.Digest {
	return propagate.Digest{Revision: summary.Revision, Stamp: summary.Stamp, Hash: summary.Hash}
}

// handleSummary handles the summary of a peer that called this process.
func (s *Sync) handleSummary(summary message.PeerSummary) {
	peer, listed := s.members.Current().Find(summary.From)
	if !listed && summary.Incarnation == 0 {
		return
	}
	if !listed {
		s.members.Answered(summary.From, summary.Incarnation)
		return
	}
	now := s.now()
	s.recordReads(peer, summary, s.composedAt(summary, now))
	s.recordSummary(summary, now)
	s.mu.Lock()
	actions := s.protocol.DigestReceived(peer, digestOf(summary), now)
	s.mu.Unlock()
	s.startCalls(actions)
}

// Service exposes a Sync as the net/rpc service "Tables".
type Service struct {
	sync *Sync
}

// NewService returns the net/rpc service for s.
func NewService(s *Sync) *Service {
	return &Service{sync: s}
}

// Exchange handles a peer's summary and returns the summary of this process.
func (s *Service) Exchange(args message.PeerSummary, reply *message.PeerSummary) error {
	s.sync.handleSummary(args)
	// Detects a pause of this process first: after one, the summary must not
	// report the tables as current.
	s.sync.State()
	*reply = s.sync.summary("")
	return nil
}

// Fetch returns the tables and the parts of the instance list that are newer
// than the caller's.
func (s *Service) Fetch(args message.TablesFetchArgs, reply *message.TablesFetchReply) error {
	snapshot := s.sync.Current()
	if snapshot != nil && snapshot.Revision > args.Revision {
		reply.Snapshot = snapshot
	}
	if len(args.Stamps) > 0 {
		reply.Parts = s.sync.members.Newer(args.Stamps)
	}
	return nil
}

// StatusCounts returns the number of instances in each status.
func (s *Sync) StatusCounts() map[member.PeerStatus]int {
	return s.members.StatusCounts()
}
