// Package beat exchanges small datagrams between the system's processes: who
// is there, how current its copies are, what it has in progress.
package beat

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"plantainrelay/internal/failure"
)

// maxDatagram bounds a datagram; larger ones would be sent in fragments.
const maxDatagram = 8 << 10

// Role is what a process does.
type Role int

// The roles.
const (
	Entry Role = iota
	Agent
)

// Standing is the state of one collection at the sender.
type Standing struct {
	Known   bool
	Content int64
	// AgeMs is the age of the proof of freshness in milliseconds.
	AgeMs int64
}

// Load is what an entry has in progress at one instance.
type Load struct {
	Count  int
	Unread int
}

// Release is the intended version of a model's weights.
type Release struct {
	Model   string
	Version int64
	AgeMs   int64
}

// Report is an agent's word on the engine beside it.
type Report struct {
	Born      int64
	Loaded    int64
	Switching bool
	Pace      float64
}

// Message is one datagram.
type Message struct {
	Role Role
	// Instance is the sender's name, Host its IP, Start its start in nanoseconds.
	Instance         string
	Host             string
	AvailabilityZone string
	Start            int64
	// Sequence orders the messages of one start.
	Sequence uint64
	// Front is where an entry takes requests.
	Front   string
	Ready   bool
	Leaving bool
	// Standings holds the collections in the order of platform.Kinds.
	Standings []Standing
	// Loads holds what the entry has in progress by instance ID.
	Loads map[string]Load
	// LoadsOnly says that the message tells only the loads that have changed.
	LoadsOnly bool
	// Releases tells how long ago the sender learned of the intended versions.
	Releases []Release
	// Hosts names some other entries.
	Hosts  []string
	Report *Report
	// Lost says that an entry's own reads of the store fail.
	Lost bool
	// Composed is when the sender began to compose the message, on its own clock: the
	// ages that it tells are as of then, also when the sender stands still before it
	// sends it. Zero means the moment of sending.
	Composed time.Time `msgpack:"-"`
	// SentAfter is a time on the receiver's clock before which the message was not
	// composed, however long it was on its way; zero when that is not known. What a
	// message tells the age of is dated by it. The receiver sets it.
	SentAfter time.Time `msgpack:"-"`
}

// DatedBy returns when the message was composed at the earliest, or now when that is not
// known.
func (m *Message) DatedBy(now time.Time) time.Time {
	if m.SentAfter.IsZero() {
		return now
	}
	return m.SentAfter
}

func encode(value any) ([]byte, error) {
	var raw bytes.Buffer
	encoder := msgpack.NewEncoder(&raw)
	// Names of fields would be most of a message.
	encoder.UseArrayEncodedStructs(true)
	err := encoder.Encode(value)
	return raw.Bytes(), failure.Wrap(err, failure.Internal, "report this", "a message to a peer cannot be encoded")
}

// decode reads a message and the trailer that follows it, which is empty in messages
// of processes that send none.
func decode(raw []byte) (*Message, trailer, error) {
	m, t := &Message{}, trailer{}
	decoder := msgpack.NewDecoder(bytes.NewReader(raw))
	if err := decoder.Decode(m); err != nil {
		return nil, t, failure.Wrap(err, failure.Invalid, "update the sender", "a peer's message cannot be read")
	}
	if err := decoder.Decode(&t); err != nil && !errors.Is(err, io.EOF) {
		return nil, t, failure.Wrap(err, failure.Invalid, "update the sender", "the trailer of a peer's message cannot be read")
	}
	m.SentAfter = time.Time{}
	if net.ParseIP(m.Host) == nil {
		return nil, t, failure.New(failure.Invalid, "update the sender", "a peer's message names no address")
	}
	return m, t, nil
}

// Address returns the address of a process's port for peers.
func Address(host string, port int) string {
	return net.JoinHostPort(host, strconv.Itoa(port))
}
