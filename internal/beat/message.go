// Package beat exchanges small datagrams between the system's processes: who
// is there, how current its copies are, what it has in progress.
package beat

import (
	"bytes"
	"net"
	"strconv"

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
}

func encode(m *Message) ([]byte, error) {
	var raw bytes.Buffer
	encoder := msgpack.NewEncoder(&raw)
	// Names of fields would be most of a message.
	encoder.UseArrayEncodedStructs(true)
	err := encoder.Encode(m)
	return raw.Bytes(), failure.Wrap(err, failure.Internal, "report this", "a message to a peer cannot be encoded")
}

func decode(raw []byte) (*Message, error) {
	m := &Message{}
	if err := msgpack.Unmarshal(raw, m); err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "update the sender", "a peer's message cannot be read")
	}
	if net.ParseIP(m.Host) == nil {
		return nil, failure.New(failure.Invalid, "update the sender", "a peer's message names no address")
	}
	return m, nil
}

// Address returns the address of a process's port for peers.
func Address(host string, port int) string {
	return net.JoinHostPort(host, strconv.Itoa(port))
}
