package beat

import (
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

// TestMessageIsNeverDatedAfterItWasSent guards against ages that are underestimated
// because a message was delayed on a link or in a socket: two instances exchange
// messages that are delayed, lost, reordered and read late.
func TestMessageIsNeverDatedAfterItWasSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		up := [2]time.Duration{3 * time.Hour, 5 * time.Second}
		var sides [2]*echoes
		for side := range sides {
			sides[side] = newEchoes(uint32(side+1), clockOf(up[side], 0))
		}
		type message struct {
			to            int
			trailer       trailer
			sent, arrives time.Duration
		}
		var onTheWay []message
		now, dated := time.Duration(0), 0
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 2_000).Draw(t, "pause")) * time.Millisecond
			var left []message
			for _, m := range onTheWay {
				if m.arrives > now {
					left = append(left, m)
					continue
				}
				bound := sides[m.to].incoming("peer", m.trailer, clockOf(up[m.to], now))
				if bound.IsZero() {
					continue
				}
				dated++
				if bound.After(clockOf(up[m.to], m.sent)) {
					t.Fatalf("a message sent at %s is dated %s or later", m.sent, bound.Sub(clockOf(up[m.to], 0)))
				}
			}
			onTheWay = left
			from := rapid.IntRange(0, 1).Draw(t, "sender")
			if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				continue
			}
			delay := time.Duration(rapid.IntRange(0, 9_000).Draw(t, "delay")) * time.Millisecond
			onTheWay = append(onTheWay, message{
				to: 1 - from, trailer: sides[from].outgoing("peer", clockOf(up[from], now)), sent: now, arrives: now + delay,
			})
		}
	})
}

// TestDateIsCloseOnAFastLink checks that on a fast link a message is dated at most
// one round trip too early.
func TestDateIsCloseOnAFastLink(t *testing.T) {
	c := qt.New(t)
	const oneWay = 5 * time.Millisecond
	start := time.Unix(1_000, 0)
	a, b := newEchoes(1, start), newEchoes(2, start)
	c.Assert(b.incoming("a", a.outgoing("b", start), start.Add(oneWay)).IsZero(), qt.IsTrue, qt.Commentf("nothing has been echoed yet"))
	answered := start.Add(150 * time.Millisecond)
	bound := a.incoming("b", b.outgoing("a", answered), answered.Add(oneWay))
	c.Assert(bound, qt.Equals, answered.Add(-oneWay))
}

// TestEchoOfAnEarlierStartTellsNothing checks that echoes from before a restart are
// ignored, because a restarted process has a new clock.
func TestEchoOfAnEarlierStartTellsNothing(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_000, 0)
	a, b := newEchoes(1, start), newEchoes(2, start)
	b.incoming("a", a.outgoing("b", start), start)
	again := newEchoes(3, start.Add(time.Second))
	c.Assert(again.incoming("b", b.outgoing("a", start.Add(2*time.Second)), start.Add(2*time.Second)).IsZero(), qt.IsTrue)
}

func TestSilentHostsAreForgotten(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_000, 0)
	a, b := newEchoes(1, start), newEchoes(2, start)
	a.incoming("gone", b.outgoing("a", start), start)
	a.incoming("b", b.outgoing("a", start), start.Add(echoAge))
	c.Assert(a.stamps, qt.HasLen, 1)
}

// TestMessageIsDatedByItsComposition guards against ages that are underestimated
// because the sender was paused between computing and sending them.
func TestMessageIsDatedByItsComposition(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_000, 0)
	a, b := newEchoes(1, start), newEchoes(2, start)
	received := start.Add(10 * time.Second)
	b.incoming("a", a.outgoing("b", received), received)
	before, after := received.Add(-5*time.Second), received.Add(time.Second)
	for _, composed := range []time.Time{before, after} {
		bound := a.incoming("b", b.outgoing("a", composed), received.Add(8*time.Second))
		c.Assert(bound.IsZero(), qt.IsFalse)
		c.Assert(bound.After(composed), qt.IsFalse)
	}
}

// TestMessageThatWaitedInTheSocketIsOld simulates a paused process: its messages
// stay in the socket buffer and are read when the process resumes.
func TestMessageThatWaitedInTheSocketIsOld(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	port := free.LocalAddr().(*net.UDPAddr).Port
	c.Assert(free.Close(), qt.IsNil)
	awake, err := Open("127.0.0.1", port, logrus.NewEntry(log))
	c.Assert(err, qt.IsNil)
	frozen, err := Open("127.0.0.2", port, logrus.NewEntry(log))
	c.Assert(err, qt.IsNil)
	echoed, late := make(chan *Message, 8), make(chan *Message, 8)
	frozen.Send(&Message{Host: "127.0.0.2"}, []string{"127.0.0.1"})
	go awake.Receive(t.Context(), func(m *Message) { echoed <- m })
	<-echoed
	composed := clock.Now().Add(-time.Second)
	awake.Send(&Message{Host: "127.0.0.1", Composed: composed}, []string{"127.0.0.2"})
	const stands = 300 * time.Millisecond
	time.Sleep(stands)
	go frozen.Receive(t.Context(), func(m *Message) { late <- m })
	m := <-late
	c.Assert(m.SentAfter.IsZero(), qt.IsFalse)
	c.Assert(m.SentAfter.After(composed), qt.IsFalse, qt.Commentf("composed %s before its date", m.SentAfter.Sub(composed)))
}
