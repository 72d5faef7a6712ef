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
	// the destination host; Elapsed is the time since then, negative if it was
	// received after this message was composed. EchoEpoch is 0 if there is no such trailer.
	EchoEpoch uint32
	EchoSent  int64
	Elapsed   int64
}

// maxClockDrift is the tolerated drift between two clocks during one echo.
const maxClockDrift = 50 * time.Millisecond

// maxTrailerAge is how long the last trailer of a silent host is kept.
const maxTrailerAge = time.Minute

// maxTrailers bounds the hosts whose trailers are kept, since the addresses of datagrams can
// be forged. It is several times the number of processes of a large fleet.
const maxTrailers = 4096

// receivedTrailer is the trailer last received from a host.
type receivedTrailer struct {
	epoch      uint32
	sent       int64
	receivedAt time.Time
}

// trailerStore holds the last trailer of each host, to be echoed to it. It is safe
// for concurrent use.
type trailerStore struct {
	epoch uint32
	// clockZero is the zero of this process's trailer clock.
	clockZero time.Time

	mu       sync.Mutex
	received map[string]receivedTrailer
	prunedAt time.Time
}

// newTrailerStore returns a store whose clock starts now. epoch is a random number
// above 0.
func newTrailerStore(epoch uint32, now time.Time) *trailerStore {
	return &trailerStore{epoch: epoch, clockZero: now, received: map[string]receivedTrailer{}, prunedAt: now}
}

// newTrailer returns the trailer of a message to host that was composed at the
// given time.
func (s *trailerStore) newTrailer(host string, composed time.Time) trailer {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := trailer{Epoch: s.epoch, Sent: floorMicroseconds(composed.Sub(s.clockZero))}
	if last, found := s.received[host]; found {
		t.EchoEpoch, t.EchoSent, t.Elapsed = last.epoch, last.sent, floorMicroseconds(composed.Sub(last.receivedAt))
	}
	return t
}

func floorMicroseconds(d time.Duration) int64 {
	return int64(math.Floor(float64(d) / float64(time.Microsecond)))
}

// receive records the trailer of a message from host that was read now. It returns
// a lower bound of the time at which the message was composed, or zero if none is
// known.
func (s *trailerStore) receive(host string, t trailer, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(now)
	if last, found := s.received[host]; found && (last.epoch != t.Epoch || t.Sent > last.sent) || !found && len(s.received) < maxTrailers {
		s.received[host] = receivedTrailer{epoch: t.Epoch, sent: t.Sent, receivedAt: now}
	}
	if t.EchoEpoch != s.epoch || t.EchoSent < 0 {
		return time.Time{}
	}
	sent := s.clockZero.Add(time.Duration(t.EchoSent+t.Elapsed) * time.Microsecond)
	switch {
	case sent.After(now.Add(maxClockDrift)):
		return time.Time{}
	case sent.After(now):
		return now
	}
	return sent
}

// prune removes the trailers of silent hosts. The caller holds mu.
func (s *trailerStore) prune(now time.Time) {
	if now.Sub(s.prunedAt) < maxTrailerAge {
		return
	}
	s.prunedAt = now
	for host, last := range s.received {
		if now.Sub(last.receivedAt) >= maxTrailerAge {
			delete(s.received, host)
		}
	}
}
