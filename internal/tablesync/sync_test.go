package tablesync

import (
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
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := member.Instance{Name: "entry-1", AvailabilityZone: "a", Role: member.RoleEntry}
	other := member.Instance{Name: "entry-2", AvailabilityZone: "a", Role: member.RoleEntry, ControlAddress: listener.Addr().String()}
	members := membership.New(membership.Config{Self: self}, nil, logrus.NewEntry(log))
	s := New(Config{Self: self, ExchangeInterval: time.Hour}, nil, members, peer.NewClient(peer.Security{}), logrus.NewEntry(log))
	s.protocol.SetTopology(propagate.NewTopology([]member.Instance{self, other}))
	s.protocol.Freshness().Tick(time.Now().Add(-time.Minute))
	c.Assert(s.State(), qt.Equals, propagate.Comparing)
	select {
	case <-called:
	case <-time.After(10 * time.Second):
		c.Fatal("the peer was not called")
	}
}
