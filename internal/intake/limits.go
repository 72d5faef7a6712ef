// Package intake decides what an entry takes from clients that it does not know: how much
// memory heads, bodies and buffered responses may hold, whose body is given up when that is
// used up, and which connection is closed when there are too many. It does no I/O, and the
// caller passes in the current time.
package intake

import "time"

const (
	// assumedMemory and assumedDescriptors are those of a machine whose limits are unknown.
	assumedMemory      = 256 << 20
	assumedDescriptors = 4096
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// ownMemory is what the process needs without clients: 36 MB were measured with the
	// tables, the list and two versions of 64 chunks, and some of it is not in the heap.
	ownMemory = 48 << 20
	// connectionMemory is what a connection costs beside bodies: its buffers, its goroutines
	// and its head, and the same for the connection to an instance.
	connectionMemory = 32 << 10
	// connectionShare of the memory is for connections, slackShare for garbage that is not
	// collected yet.
	connectionShare, slackShare = 1.0 / 4, 1.0 / 8
	// minBufferBytes holds two bodies of the usual limit.
	minBufferBytes = 8 << 20
	// codeMemory is the part of the process that the Go runtime does not manage.
	codeMemory = 24 << 20
	// otherShare of the descriptors is for connections other than those of callers and to
	// instances; it is at least minOtherDescriptors.
	otherShare          = 1.0 / 4
	minOtherDescriptors = 60
	// ownDescriptors are those that the process needs itself: listeners, the log, the store.
	ownDescriptors = 24
	// clientShare of the connections of callers and to instances may be those of callers.
	clientShare = 3.0 / 4
)

// Machine holds the limits of the machine; 0 means unknown.
type Machine struct {
	MemoryBytes int64
	Descriptors int
}

func (m Machine) withDefaults() Machine {
	if m.MemoryBytes <= 0 {
		m.MemoryBytes = assumedMemory
	}
	if m.Descriptors <= 0 {
		m.Descriptors = assumedDescriptors
	}
	return m
}

// Settings are the limits that an operator may set; 0 means the default.
type Settings struct {
	// BufferBytes bounds the heads, bodies and responses in memory.
	BufferBytes int64
	// Clients bounds the connections of callers.
	Clients int
	// HeadTime is how long a head may take.
	HeadTime time.Duration
	// HeadBytes bounds the size of a head.
	HeadBytes int
	// ReceiveBytes bounds what a connection receives before it is read.
	ReceiveBytes int
	// WaitTime is how long a body waits for memory.
	WaitTime time.Duration
	// StallTime is the time without progress after which a body may lose its memory.
	StallTime time.Duration
}

// The defaults of the settings that do not depend on the machine.
const (
	// defaultHeadTime counts from the accept of a connection. It is above the 12 s for which
	// callers keep a connection without a request.
	defaultHeadTime = 13 * time.Second
	// defaultHeadBytes is 4 KiB above the largest head that tables allow.
	defaultHeadBytes = 20 << 10
	// defaultReceiveBytes lets a caller send 28 Mbit/s at a round trip of 18 ms.
	defaultReceiveBytes = 64 << 10
	defaultWaitTime     = time.Second
	// defaultStallTime is above the longest pause of a link that loses packets.
	defaultStallTime = 500 * time.Millisecond
)

// Limits are the limits of one process.
type Limits struct {
	Settings
	// Connections bounds the connections of callers and to instances together.
	Connections int
	// ReadyConnections, DirectoryConnections and MetricsConnections bound those of the
	// other listeners, PeerConnections those from other processes.
	ReadyConnections, DirectoryConnections, MetricsConnections, PeerConnections int
}

// NewLimits returns the limits on a machine. Settings that are not 0 replace the defaults.
func NewLimits(machine Machine, settings Settings) Limits {
	machine = machine.withDefaults()
	available := max(machine.Descriptors-reservedDescriptors, 2*minOtherDescriptors)
	other := max(int(otherShare*float64(available)), minOtherDescriptors)
	limits := Limits{
		Settings: settings, Connections: available - other,
		ReadyConnections: other / 10, DirectoryConnections: other / 5, MetricsConnections: other / 20,
	}
	limits.PeerConnections = other - ownDescriptors - limits.ReadyConnections - limits.DirectoryConnections - limits.MetricsConnections
	setDefault(&limits.Clients, min(int(clientShare*float64(limits.Connections)), int(connectionShare*float64(machine.MemoryBytes)/connectionMemory)))
	setDefault(&limits.BufferBytes, max(int64((1-connectionShare-slackShare)*float64(machine.MemoryBytes))-ownMemory, minBufferBytes))
	setDefault(&limits.HeadTime, defaultHeadTime)
	setDefault(&limits.HeadBytes, defaultHeadBytes)
	setDefault(&limits.ReceiveBytes, defaultReceiveBytes)
	setDefault(&limits.WaitTime, defaultWaitTime)
	setDefault(&limits.StallTime, defaultStallTime)
	return limits
}

func setDefault[T int | int64 | time.Duration](value *T, preset T) {
	if *value <= 0 {
		*value = preset
	}
}

// SoftMemoryBytes returns the size from which on the garbage collector works harder, 0 if
// the memory of the machine is unknown.
func (m Machine) SoftMemoryBytes() int64 {
	if m.MemoryBytes <= 0 {
		return 0
	}
	return max(m.MemoryBytes-codeMemory, m.MemoryBytes/2)
}
