package beat

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"plantainrelay/internal/clock"
)

// clockOf returns the time on the clock of an instance that was up for a time
// before the test, after the given time has elapsed.
func clockOf(up, elapsed time.Duration) time.Time { return time.Unix(0, 0).Add(up + elapsed) }

// TestLowerBoundIsNeverAfterComposition guards against ages that are underestimated
// because a message was delayed on a link or in a socket: two instances exchange
// messages that are delayed, lost, reordered and read late.
func TestLowerBoundIsNeverAfterComposition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		up := [2]time.Duration{3 * time.Hour, 5 * time.Second}
		var sides [2]*trailerStore
		for side := range sides {
			sides[side] = newTrailerStore(uint32(side+1), clockOf(up[side], 0))
		}
		type message struct {
			to            int
			trailer       trailer
			sent, arrives time.Duration
		}
		var inTransit []message
		now, dated := time.Duration(0), 0
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 2_000).Draw(t, "pause")) * time.Millisecond
			var remaining []message
			for _, m := range inTransit {
				if m.arrives > now {
					remaining = append(remaining, m)
					continue
				}
				bound := sides[m.to].receive("peer", m.trailer, clockOf(up[m.to], now))
				if bound.IsZero() {
					continue
				}
				dated++
				if bound.After(clockOf(up[m.to], m.sent)) {
					t.Fatalf("a message sent at %s is dated %s or later", m.sent, bound.Sub(clockOf(up[m.to], 0)))
				}
			}
			inTransit = remaining
			from := rapid.IntRange(0, 1).Draw(t, "sender")
			if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				continue
			}
			delay := time.Duration(rapid.IntRange(0, 9_000).Draw(t, "delay")) * time.Millisecond
			inTransit = append(inTransit, message{
				to: 1 - from, trailer: sides[from].newTrailer("peer", clockOf(up[from], now)), sent: now, arrives: now + delay,
			})
		}
	})
}

// TestLowerBoundIsWithinARoundTrip checks that on a fast link a message is dated at
// most one round trip too early.
func TestLowerBoundIsWithinARoundTrip(t *testing.T) {
	c := qt.New(t)
	const oneWay = 5 * time.Millisecond
	start := time.Unix(1_000, 0)
	a, b := newTrailerStore(1, start), newTrailerStore(2, start)
	c.Assert(b.receive("a", a.newTrailer("b", start), start.Add(oneWay)).IsZero(), qt.IsTrue, qt.Commentf("nothing has been echoed yet"))
	answered := start.Add(150 * time.Millisecond)
	bound := a.receive("b", b.newTrailer("a", answered), answered.Add(oneWay))
	c.Assert(bound, qt.Equals, answered.Add(-oneWay))
}

// TestEchoOfAnEarlierStartIsIgnored checks that echoes from before a restart are
// ignored, because a restarted process has a new clock.
func TestEchoOfAnEarlierStartIsIgnored(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_000, 0)
	a, b := newTrailerStore(1, start), newTrailerStore(2, start)
	b.receive("a", a.newTrailer("b", start), start)
	restarted := newTrailerStore(3, start.Add(time.Second))
	c.Assert(restarted.receive("b", b.newTrailer("a", start.Add(2*time.Second)), start.Add(2*time.Second)).IsZero(), qt.IsTrue)
}

func TestTrailersOfSilentHostsArePruned(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_000, 0)
	a, b := newTrailerStore(1, start), newTrailerStore(2, start)
	a.receive("gone", b.newTrailer("a", start), start)
	a.receive("b", b.newTrailer("a", start), start.Add(maxTrailerAge))
	c.Assert(a.received, qt.HasLen, 1)
}

// TestLowerBoundUsesTheTimeOfComposition guards against ages that are underestimated
// because the sender was paused between computing and sending them.
func TestLowerBoundUsesTheTimeOfComposition(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_000, 0)
	a, b := newTrailerStore(1, start), newTrailerStore(2, start)
	received := start.Add(10 * time.Second)
	b.receive("a", a.newTrailer("b", received), received)
	before, after := received.Add(-5*time.Second), received.Add(time.Second)
	for _, composed := range []time.Time{before, after} {
		bound := a.receive("b", b.newTrailer("a", composed), received.Add(8*time.Second))
		c.Assert(bound.IsZero(), qt.IsFalse)
		c.Assert(bound.After(composed), qt.IsFalse)
	}
}

// TestMessageDelayedInTheSocketBuffer simulates a paused process: its messages
// stay in the socket buffer and are read when the process resumes.
func TestMessageDelayedInTheSocketBuffer(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	listener, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	port := listener.LocalAddr().(*net.UDPAddr).Port
	c.Assert(listener.Close(), qt.IsNil)
	running, err := Open("127.0.0.1", port, logrus.NewEntry(log))
	c.Assert(err, qt.IsNil)
	paused, err := Open("127.0.0.2", port, logrus.NewEntry(log))
	c.Assert(err, qt.IsNil)
	echoed, late := make(chan *Message, 8), make(chan *Message, 8)
	paused.Send(&Message{Host: "127.0.0.2"}, []string{"127.0.0.1"})
	go running.Receive(t.Context(), func(m *Message) { echoed <- m })
	<-echoed
	composed := clock.Now().Add(-time.Second)
	running.Send(&Message{Host: "127.0.0.1", ComposedAt: composed}, []string{"127.0.0.2"})
	const pause = 300 * time.Millisecond
	time.Sleep(pause)
	go paused.Receive(t.Context(), func(m *Message) { late <- m })
	m := <-late
	c.Assert(m.ComposedAfter.IsZero(), qt.IsFalse)
	c.Assert(m.ComposedAfter.After(composed), qt.IsFalse, qt.Commentf("composed %s before its date", m.ComposedAfter.Sub(composed)))
}

// TestForgedAddressesUseNoMemory guards against a process that keeps a trailer for each of
// any number of addresses.
func TestForgedAddressesUseNoMemory(t *testing.T) {
	c := qt.New(t)
	s := newTrailerStore(1, clockOf(0, 0))
	for host := range 2 * maxTrailers {
		s.receive(fmt.Sprint("host-", host), trailer{Epoch: 2, Sent: 1}, clockOf(0, time.Second))
	}
	c.Check(len(s.received), qt.Equals, maxTrailers)
	s.receive("host-0", trailer{Epoch: 2, Sent: 5}, clockOf(0, 2*time.Second))
	c.Check(s.received["host-0"].sent, qt.Equals, int64(5))
}
