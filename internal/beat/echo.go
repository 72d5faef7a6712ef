package beat

import (
	"math"
	"sync"
	"time"
)

// trailer follows a message on the wire. It lets the receiver compute, on its own
// clock, the earliest time at which the message can have been composed: the sender
// repeats the timestamp of the last message it received from the receiver, and the
// time since then. The clocks of two instances are never compared.
type trailer struct {
	// Epoch identifies the sender's clock, which is a new one in each process; Sent
	// is the time on that clock at which the message was composed. All times are in
	// microseconds, rounded down.
	Epoch uint32
	Sent  int64
	// EchoEpoch and EchoSent repeat Epoch and Sent of the last trailer received from
	// the destination host; Held is the time since then, negative if it was received
	// after this message was composed. EchoEpoch is 0 if there is no such trailer.
	EchoEpoch uint32
	EchoSent  int64
	Held      int64
}

// rateSlack is the tolerated drift between two clocks during one echo.
const rateSlack = 50 * time.Millisecond

// echoAge is how long the last trailer of a silent host is kept.
const echoAge = time.Minute

// stamp is the trailer last received from a host.
type stamp struct {
	epoch uint32
	sent  int64
	at    time.Time
}

// echoes holds the last trailer of each host, to be echoed to it. It is safe for
// concurrent use.
type echoes struct {
	epoch uint32
	// opened is the zero of this process's trailer clock.
	opened time.Time

	mu     sync.Mutex
	stamps map[string]stamp
	swept  time.Time
}

// newEchoes returns echoes whose clock starts now. epoch is a random number above 0.
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

// incoming records the trailer of a message from host that was read now. It returns
// a lower bound of the time at which the message was composed, or zero if none is
// known.
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

// sweep removes the trailers of silent hosts. The caller holds mu.
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
