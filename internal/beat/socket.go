package beat

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/failure"
)

// receiveRetryDelay is the delay after a failed read.
const receiveRetryDelay = 50 * time.Millisecond

// packetConn is the part of net.UDPConn that a Socket uses.
type packetConn interface {
	ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error)
	WriteToUDP(datagram []byte, to *net.UDPAddr) (int, error)
	Close() error
}

// Socket sends and receives messages over UDP.
type Socket struct {
	conn     packetConn
	port     int
	log      *logrus.Entry
	trailers *trailerStore
}

// Open binds the peer port at ip.
func Open(ip string, port int, log *logrus.Entry) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "free the port or change the settings", "the peer port %d cannot be opened", port)
	}
	return &Socket{conn: conn, port: port, log: log, trailers: newTrailerStore(1+rand.Uint32N(math.MaxUint32), clock.Now())}, nil
}

// Send sends m to the processes at hosts. Datagrams may be lost.
func (s *Socket) Send(m *Message, hosts []string) {
	raw, err := encodeWithinLimit(m)
	if err != nil {
		s.log.WithError(err).Error("the message to peers was not sent")
		return
	}
	composed := m.ComposedAt
	if composed.IsZero() {
		composed = clock.Now()
	}
	for _, host := range hosts {
		datagram := raw
		// Loads are sent with each request that is placed, and stay valid until the
		// next message about them, so they need no trailer.
		if !m.LoadsOnly {
			datagram = s.appendTrailer(raw, host, composed)
		}
		// The error is ignored because the next datagram replaces a lost one.
		_, _ = s.conn.WriteToUDP(datagram, &net.UDPAddr{IP: net.ParseIP(host), Port: s.port})
	}
}

// encodeWithinLimit encodes a message. A message that would not fit into a datagram is
// encoded without its loads, and without the instances that leave or have crashed.
func encodeWithinLimit(m *Message) ([]byte, error) {
	raw, err := encode(m)
	if err != nil || len(raw) <= maxDatagram-maxTrailer {
		return raw, err
	}
	small := *m
	small.PoolUsages = nil
	small.Loads, small.LoadsOmitted, small.LeavingBackends, small.Crashes, small.ClearedParts = nil, true, nil, nil, nil
	if raw, err = encode(&small); err == nil && len(raw) > maxDatagram-maxTrailer {
		err = failure.New(failure.Invalid, "report this", "a message to peers has %d bytes without its loads", len(raw))
	}
	return raw, err
}

func (s *Socket) appendTrailer(raw []byte, host string, composed time.Time) []byte {
	t, err := encode(s.trailers.newTrailer(host, composed))
	if err != nil {
		s.log.WithError(err).Error("the trailer cannot be encoded; the message was sent without it")
		return raw
	}
	return slices.Concat(raw, t)
}

// Receive calls handle for each message until ctx ends.
func (s *Socket) Receive(ctx context.Context, handle func(*Message)) {
	go func() {
		<-ctx.Done()
		s.conn.Close()
	}()
	buffer := make([]byte, maxDatagram)
	failing := false
	for ctx.Err() == nil {
		count, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if !failing && ctx.Err() == nil {
				s.log.WithError(err).Warning("cannot read from the peer socket; retrying")
			}
			failing = true
			clock.Sleep(ctx, receiveRetryDelay)
			continue
		}
		failing = false
		m, t, err := decode(buffer[:count])
		if err != nil {
			s.log.WithError(err).Debug("invalid message from a peer was dropped")
			continue
		}
		if t.Epoch != 0 {
			m.ComposedAfter = s.trailers.receive(from.Addr().Unmap().String(), t, clock.Now())
		}
		handle(m)
	}
}
