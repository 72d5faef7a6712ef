package tablesync

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/member"
	"plantainrelay/internal/membership"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/propagate"
)

var (
	self  = member.Instance{Name: "entry-1", AvailabilityZone: "a", Role: member.RoleEntry}
	other = member.Instance{Name: "entry-2", AvailabilityZone: "a", Role: member.RoleEntry}
)

// newTestSync returns the Sync of self, which knows other at the given address.
func newTestSync(address string) *Sync {
	log := logrus.New()
	log.SetOutput(io.Discard)
	members := membership.New(membership.Config{Self: self}, nil, logrus.NewEntry(log))
	s := New(Config{Self: self, ExchangeInterval: time.Hour}, nil, members, peer.NewClient(peer.Security{}), logrus.NewEntry(log))
	listed := other
	listed.ControlAddress = address
	s.protocol.SetTopology(propagate.NewTopology([]member.Instance{self, listed}))
	return s
}

// makeCurrent completes the comparison of s at the given time.
func makeCurrent(s *Sync, at time.Time) {
	freshness := s.protocol.Freshness()
	freshness.Tick(at)
	for _, name := range []string{"entry-2", "entry-3"} {
		freshness.Answered(propagate.Answer{Peer: name, Current: true, Epoch: freshness.Epoch()}, at)
	}
	s.publishState()
}

// TestFetchEndedAfterAPauseAdmitsNothing covers a fetch that is in progress while the
// process is paused: its end must not admit requests before the pause is detected.
func TestFetchEndedAfterAPauseAdmitsNothing(t *testing.T) {
	c := qt.New(t)
	s := newTestSync("")
	now := time.Now()
	makeCurrent(s, now.Add(-time.Minute))
	s.fetchEnded(other, now)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(s.WaitCompared(ctx), qt.IsNotNil)
}

// TestComparisonStartsWhenARequestDetectsThePause covers a process that was paused: the
// first request after it detects the pause before the next tick. The exchanges that this
// starts have to be made, or the peers are never exchanged with again.
func TestComparisonStartsWhenARequestDetectsThePause(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	called := make(chan struct{})
	go func() {
		if conn, err := listener.Accept(); err == nil {
			conn.Close()
			close(called)
		}
	}()
	s := newTestSync(listener.Addr().String())
	s.protocol.Freshness().Tick(time.Now().Add(-time.Minute))
	c.Assert(s.State(), qt.Equals, propagate.Comparing)
	select {
	case <-called:
	case <-time.After(10 * time.Second):
		c.Fatal("the peer was not called")
	}
}

// TestStoreReadThatSpansAPauseIsNotFresh covers a watch whose answer has waited while
// the process was paused: the read counts as old as the call, and not as an answer of
// the comparison that the pause started.
func TestStoreReadThatSpansAPauseIsNotFresh(t *testing.T) {
	c := qt.New(t)
	s := newTestSync("")
	start := time.Now()
	clock := start
	s.now = func() time.Time { return clock }
	makeCurrent(s, start)
	call := s.startStoreCall()
	clock = start.Add(time.Minute)
	s.tick(clock)
	s.recordStoreCall(call, nil)
	c.Assert(s.lastStoreRead(), qt.Equals, start)
	clock = clock.Add(500 * time.Millisecond)
	s.tick(clock)
	clock = clock.Add(600 * time.Millisecond)
	s.tick(clock)
	c.Assert(s.State(), qt.Equals, propagate.Comparing)
}
