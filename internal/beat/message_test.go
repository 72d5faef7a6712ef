package beat

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

func TestMessageRoundTrip(t *testing.T) {
	c := qt.New(t)
	sent := &Message{
		Role: Agent, Instance: "edge-1", Host: "10.0.0.1", Start: 7, Sequence: 9, Ready: true,
		Collections: []CollectionState{{Known: true, Content: 5, AgeMs: 100, Era: 2, Versions: 7}}, Loads: map[string]Load{"i-1": {Count: 3, Unread: 1200}},
		Releases: []Release{{Model: "m", Version: 2, AgeMs: 40}}, Report: &EngineReport{Born: 5, Loaded: 2, Pace: 1.5, Leaving: true},
		LeavingBackends: []LeavingBackend{{ID: "i-1", Born: 5}},
		PoolUsages:      []PoolUsage{{Pool: 1, Top: []CustomerUsage{{Customer: 4_000_000_000, Count: 12}}, Rest: 7, WaitingClass: 1, SmallClass: 2}},
	}
	raw, err := encode(sent)
	c.Assert(err, qt.IsNil)
	got, _, err := decode(raw)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, sent)
}

func TestMessageWithoutAnAddressIsRejected(t *testing.T) {
	raw, err := encode(&Message{Host: "nowhere"})
	qt.Assert(t, err, qt.IsNil)
	_, _, err = decode(raw)
	qt.Assert(t, err, qt.IsNotNil)
}

// TestOversizedLoadsAreOmitted covers an entry with requests at very many instances: its
// message still tells that it is there, and does not look like one without any loads.
func TestOversizedLoadsAreOmitted(t *testing.T) {
	c := qt.New(t)
	m := &Message{Host: "10.0.0.1", Sequence: 4, Loads: map[string]Load{}}
	for i := range 1000 {
		m.Loads[fmt.Sprintf("instance-%04d", i)] = Load{Count: 1, Unread: 1000}
	}
	raw, err := encodeWithinLimit(m)
	c.Assert(err, qt.IsNil)
	c.Assert(len(raw) <= maxDatagram-maxTrailer, qt.IsTrue)
	got, _, err := decode(raw)
	c.Assert(err, qt.IsNil)
	c.Assert(got.LoadsOmitted, qt.IsTrue)
	c.Assert(got.Sequence, qt.Equals, uint64(4))
	c.Assert(m.Loads, qt.HasLen, 1000)
	_, err = encodeWithinLimit(&Message{Host: "10.0.0.1", Hosts: []string{strings.Repeat("x", maxDatagram)}})
	c.Assert(err, qt.IsNotNil)
}

// TestOversizedNoticesAreOmitted guards against an entry that counts as gone, because the
// names of leaving instances do not fit into its message.
func TestOversizedNoticesAreOmitted(t *testing.T) {
	c := qt.New(t)
	m := &Message{Host: "10.0.0.1", Sequence: 4, LeavingBackends: []LeavingBackend{{ID: strings.Repeat("i", maxDatagram), Born: 1}}}
	raw, err := encodeWithinLimit(m)
	c.Assert(err, qt.IsNil)
	got, _, err := decode(raw)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Sequence, qt.Equals, uint64(4))
	c.Assert(got.LeavingBackends, qt.HasLen, 0)
}

// TestTrailerIsBounded checks the size that encodeWithinLimit leaves for the trailer.
func TestTrailerIsBounded(t *testing.T) {
	raw, err := encode(trailer{Epoch: math.MaxUint32, Sent: math.MaxInt64, EchoEpoch: math.MaxUint32, EchoSent: math.MaxInt64, Elapsed: math.MinInt64})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(raw) <= maxTrailer, qt.IsTrue)
}

// failingConn is a socket that cannot be read.
type failingConn struct{ reads chan struct{} }

func (f failingConn) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	f.reads <- struct{}{}
	return 0, netip.AddrPort{}, errors.New("cannot be read")
}
func (failingConn) WriteToUDP([]byte, *net.UDPAddr) (int, error) { return 0, nil }
func (failingConn) Close() error                                 { return nil }

// TestReceiveDoesNotSpin checks that reading a socket that fails for good leaves the
// processor to others: of many possible reads only a few happen.
func TestReceiveDoesNotSpin(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	conn := failingConn{reads: make(chan struct{}, 1_000)}
	ctx, cancel := context.WithTimeout(t.Context(), 4*receiveRetryDelay)
	defer cancel()
	(&Socket{conn: conn, log: logrus.NewEntry(log)}).Receive(ctx, func(*Message) {})
	c.Assert(len(conn.reads) > 0 && len(conn.reads) <= 5, qt.IsTrue, qt.Commentf("%d reads", len(conn.reads)))
}

// FuzzMessage checks that decode accepts or rejects any datagram without a panic,
// and accepts none without an address.
func FuzzMessage(f *testing.F) {
	raw, err := encode(&Message{Host: "10.0.0.1", Hosts: []string{"10.0.0.2"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0x9f, 0xc1})
	end, err := encode(trailer{Epoch: 7, Sent: 1_000, EchoEpoch: 9, EchoSent: 500, Elapsed: 20})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(slices.Concat(raw, end))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if m, _, err := decode(raw); err == nil && m.Host == "" {
			t.Fatal("a message without an address was accepted")
		}
	})
}

// TestCollectionStatesAreCompact guards against the cost of states in each message to each
// process: five of them took 191 bytes while each number took nine.
func TestCollectionStatesAreCompact(t *testing.T) {
	c := qt.New(t)
	m := &Message{Host: "10.0.0.1"}
	empty, err := encode(m)
	c.Assert(err, qt.IsNil)
	for range 5 {
		m.Collections = append(m.Collections, CollectionState{Known: true, Content: 120_000, AgeMs: 2_500, Era: 1, Versions: 40})
	}
	raw, err := encode(m)
	c.Assert(err, qt.IsNil)
	c.Assert(len(raw)-len(empty) <= 65, qt.IsTrue, qt.Commentf("%d bytes", len(raw)-len(empty)))
}
