package beat

import (
	"math"
	"sync"
	"time"
)

// trailer follows each message on the wire. It lets the receiver bound on its own
// clock when the message was composed: the sender tells which message of the receiver's
// it had received last, and for how long it had held that one. The clocks of two
// instances are never compared.
type trailer struct {
	// Epoch names the sender's clock, which starts anew with each process; Sent is
	// when the message was composed by that clock. All times are in microseconds and
	// rounded down.
	Epoch uint32
	Sent  int64
	// EchoEpoch and EchoSent repeat the trailer that was last received from the
	// host that this message goes to; Held is the time since, below 0 when it came
	// after the message had been composed. EchoEpoch is 0 when there is none.
	EchoEpoch uint32
	EchoSent  int64
	Held      int64
}

// rateSlack is how far clocks that run at different rates may differ over an echo.
const rateSlack = 50 * time.Millisecond

// echoAge is how long the trailer of a host that keeps silent is kept.
const echoAge = time.Minute

// stamp is the trailer last received from a host.
type stamp struct {
	epoch uint32
	sent  int64
	at    time.Time
}

// echoes keeps the trailers that are echoed to hosts. It is safe for concurrent use.
type echoes struct {
	epoch uint32
	// opened is when the sender's clock was at zero.
	opened time.Time

	mu     sync.Mutex
	stamps map[string]stamp
	swept  time.Time
}

// newEchoes returns echoes whose clock starts now. The epoch is a random number
// above 0.
func newEchoes(epoch uint32, now time.Time) *echoes {
	return &echoes{epoch: epoch, opened: now, stamps: map[string]stamp{}, swept: now}
}

// outgoing returns the trailer of a message to host that was composed at the given
// time.
func (e *echoes) outgoing(host string, composed time.Time) trailer {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := trailer{Epoch: e.epoch, Sent: floorMicroseconds(composed.Sub(e.opened))}
	if last, found := e.stamps[host]; found {
		t.EchoEpoch, t.EchoSent, t.Held = last.epoch, last.sent, floorMicroseconds(composed.Sub(last.at))
	}
	return t
}

func floorMicroseconds(d time.Duration) int64 {
	return int64(math.Floor(float64(d) / float64(time.Microsecond)))
}

// incoming takes in the trailer of a message of host that was read now. It returns
// a time before which the message was not composed, zero when it can't tell.
func (e *echoes) incoming(host string, t trailer, now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweep(now)
	if last, found := e.stamps[host]; !found || last.epoch != t.Epoch || t.Sent > last.sent {
		e.stamps[host] = stamp{epoch: t.Epoch, sent: t.Sent, at: now}
	}
	if t.EchoEpoch != e.epoch || t.EchoSent < 0 {
		return time.Time{}
	}
	sent := e.opened.Add(time.Duration(t.EchoSent+t.Held) * time.Microsecond)
	switch {
	case sent.After(now.Add(rateSlack)):
		return time.Time{}
	case sent.After(now):
		return now
	}
	return sent
}

// sweep forgets hosts that keep silent. The caller holds mu.
func (e *echoes) sweep(now time.Time) {
	if now.Sub(e.swept) < echoAge {
		return
	}
	e.swept = now
	for host, last := range e.stamps {
		if now.Sub(last.at) >= echoAge {
			delete(e.stamps, host)
		}
	}
}
