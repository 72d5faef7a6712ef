// Package beat exchanges heartbeat datagrams between the system's processes: which
// processes are alive, how fresh their copies are, and their requests in progress.
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

const (
	// maxDatagram bounds the size of a datagram.
	maxDatagram = 8 << 10
	// maxTrailer bounds the size of the trailer in a datagram.
	maxTrailer = 64
)

// Role is the role of a process.
type Role int

// The roles.
const (
	Entry Role = iota
	Agent
)

// CollectionState is the state of the sender's copy of one collection.
type CollectionState struct {
	// Known is false if the sender has no copy; Content is the content revision of the
	// copy.
	Known   bool
	Content int64
	// AgeMs is the time in milliseconds since the copy was last confirmed to be
	// current.
	AgeMs int64
	// Era is the era of Content; Versions is the sum of the documents' own versions. Both
	// are 0 from processes that do not know them.
	Era      int64
	Versions int64
}

// Load describes the requests that an entry has in progress at one instance.
type Load struct {
	// Count is the number of requests; Unread is the number of prompt tokens of those
	// whose response has not started.
	Count  int
	Unread int
}

// ZoneLoad is the mean load of the instances of a pool in an availability zone.
type ZoneLoad struct {
	// Utilization is the share of the request limit that is in use, Unread the mean
	// number of prompt tokens of requests whose response has not started.
	Utilization float32
	Unread      int
}

// Release is the target version of a model's weights.
type Release struct {
	Model   string
	Version int64
	// AgeMs is the time in milliseconds since the release was first seen. If Estimated,
	// it may have come long before.
	AgeMs     int64
	Estimated bool
}

// EngineReport is the state of an engine as its agent reports it.
type EngineReport struct {
	// Born is the start time of the engine in Unix milliseconds; Loaded is the version
	// of the completely loaded weights, 0 for none. Switching is set while the engine
	// accepts no new requests because it is about to load another version. Pace is how
	// many times slower than usual the engine runs, if above 1.
	Born      int64
	Loaded    int64
	Switching bool
	Pace      float64
	// Leaving says that this start of the engine accepts no new requests.
	Leaving bool
}

// LeavingBackend is a start of a backend server instance that accepts no new requests.
type LeavingBackend struct {
	ID string
	// Born is its start time in Unix milliseconds.
	Born int64
}

// CrashedBackend is the crash of a start of a backend server instance.
type CrashedBackend struct {
	ID string
	// Born is its start time in Unix milliseconds.
	Born int64
	// Model and Version are the weights that it had loaded.
	Model   string
	Version int64
	AgeMs   int64
	// Suspects holds the IDs of the parts of prompts that may have crashed it.
	Suspects []string
}

// ClearedParts are parts of prompts that a response has shown not to crash instances with
// this version of the weights.
type ClearedParts struct {
	Model   string
	IDs     []string
	Version int64
	AgeMs   int64
}

// PartRecord is a decision about a part of prompts. A higher version replaces a lower one.
type PartRecord struct {
	Model, ID string
	Version   int64
	Lifted    bool
	Crashes   int
	Trials    int
}

// PoolUsage is the number of requests that an entry has in progress at a pool, by customer.
// Pool and Customer are hashes of the names, so that names do not make messages long.
type PoolUsage struct {
	Pool uint32
	// Top holds the customers with most of them, Rest is the number of the others'.
	Top  []CustomerUsage
	Rest int
	// WaitingClass is the most urgent class of which requests had to wait a short time ago, plus
	// one; 0 means none. SmallClass is the same for customers that have less than others.
	WaitingClass int
	SmallClass   int
}

// CustomerUsage is the number of a customer's requests in progress.
type CustomerUsage struct {
	Customer uint32
	Count    int
}

// Message is one datagram.
type Message struct {
	Role Role
	// Instance is the sender's name, Host its IP, Start its start time in
	// nanoseconds.
	Instance         string
	Host             string
	AvailabilityZone string
	Start            int64
	// Sequence orders the messages of one start.
	Sequence uint64
	// FrontAddress is the address at which an entry accepts requests.
	FrontAddress string
	Ready        bool
	Leaving      bool
	// Collections holds the states of the collections in the order of platform.Kinds, without
	// the last ones that the sender does not replicate.
	Collections []CollectionState
	// Loads holds the load of the entry by instance ID.
	Loads map[string]Load
	// LoadsOnly says that the message contains only the loads that have changed.
	LoadsOnly bool
	// Releases holds the target versions, and how long ago the sender first saw them.
	Releases []Release
	// Hosts holds the IPs of some other entries.
	Hosts  []string
	Report *EngineReport
	// StoreUnavailable says that the entry cannot read the store.
	StoreUnavailable bool
	// LoadsOmitted says that the loads did not fit into the datagram.
	LoadsOmitted bool
	// ZoneLoads holds the mean loads of the entry's availability zone by pool; only
	// entries of a large fleet send them.
	ZoneLoads map[string]ZoneLoad
	// LeavingBackends holds starts of instances that have said that they leave, and of
	// which the sender has learned a short time ago.
	LeavingBackends []LeavingBackend
	// Crashes and ClearedParts are what the sender has learned a short time ago,
	// PartRecords the decisions that it has not seen in the store.
	Crashes      []CrashedBackend
	ClearedParts []ClearedParts
	PartRecords  []PartRecord
	// PoolUsages holds the requests in progress of the pools where requests had to wait a short
	// time ago. Only regular messages to near entries have them.
	PoolUsages []PoolUsage
	// ComposedAt is the time on the sender's clock at which it started to compose the
	// message. The ages in the message refer to that time, even if the sender is
	// paused before it sends the message. Zero means the time of sending.
	ComposedAt time.Time `msgpack:"-"`
	// ComposedAfter is a lower bound, on the receiver's clock, of the time at which
	// the message was composed, regardless of its transit time; zero if unknown. Ages
	// in the message are counted from it. The receiver sets it.
	ComposedAfter time.Time `msgpack:"-"`
}

// EarliestComposed returns the earliest time at which the message can have been
// composed, or now if that is unknown.
func (m *Message) EarliestComposed(now time.Time) time.Time {
	if m.ComposedAfter.IsZero() {
		return now
	}
	return m.ComposedAfter
}

func encode(value any) ([]byte, error) {
	var raw bytes.Buffer
	encoder := msgpack.NewEncoder(&raw)
	// Structs are sent as arrays, because field names would make up most of a
	// message.
	encoder.UseArrayEncodedStructs(true)
	// Revisions and ages take nine bytes each otherwise.
	encoder.UseCompactInts(true)
	err := encoder.Encode(value)
	return raw.Bytes(), failure.Wrap(err, failure.Internal, "report this", "the message to a peer cannot be encoded")
}

// decode reads a message and the trailer that follows it. The trailer is empty if
// the message has none.
func decode(raw []byte) (*Message, trailer, error) {
	m, t := &Message{}, trailer{}
	decoder := msgpack.NewDecoder(bytes.NewReader(raw))
	if err := decoder.Decode(m); err != nil {
		return nil, t, failure.Wrap(err, failure.Invalid, "update the sender", "a peer's message cannot be decoded")
	}
	if err := decoder.Decode(&t); err != nil && !errors.Is(err, io.EOF) {
		return nil, t, failure.Wrap(err, failure.Invalid, "update the sender", "the trailer of a peer's message cannot be decoded")
	}
	m.ComposedAfter = time.Time{}
	if net.ParseIP(m.Host) == nil {
		return nil, t, failure.New(failure.Invalid, "update the sender", "a peer's message has no valid IP address")
	}
	return m, t, nil
}

// Address returns the address of a process's peer port.
func Address(host string, port int) string {
	return net.JoinHostPort(host, strconv.Itoa(port))
}
