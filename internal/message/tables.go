package message

import (
	"plantainrelay/internal/member"
	"plantainrelay/internal/table"
)

// Names of the net/rpc methods that distribute the tables and the list of instances.
const (
	MethodTablesExchange = "Tables.Exchange"
	MethodTablesFetch    = "Tables.Fetch"
)

// PeerSummary describes the sender of an exchange and what it holds. It is sent often
// and therefore small: gob omits fields that are zero.
type PeerSummary struct {
	// From is the name of the sender.
	From string
	// Incarnation differs between two runs of the same instance.
	Incarnation uint64
	// Revision is the revision of the tables held.
	Revision int64
	// Stamp and Hash identify the list held; see member.ReplicatedList.
	Stamp int64
	Hash  uint64
	// ReadAge is one plus the age, in milliseconds, of the newest read of the
	// platform's list that the sender knows of; 0 means that it knows none.
	ReadAge int64
	// StoreReadAge is the same for the newest read of the stored tables.
	StoreReadAge int64
	// Current means that the sender may serve requests with the tables it holds.
	Current bool
	// Sent is the time since the start of the sender, in milliseconds, at which the
	// summary was composed.
	Sent int64
	// EchoIncarnation and EchoSent repeat Incarnation and Sent of the last summary that
	// the sender received from the process that it calls; Elapsed is the time since then
	// in milliseconds. EchoIncarnation is 0 if there is none.
	EchoIncarnation uint64
	EchoSent        int64
	Elapsed         int64
}

// TablesFetchArgs requests the data that the sender lacks.
type TablesFetchArgs struct {
	From     string
	Revision int64
	// Stamps are the stamps of the list parts held by the sender; none means that it
	// requests no parts.
	Stamps []int64
}

// TablesFetchReply holds the data that the requesting process lacks.
type TablesFetchReply struct {
	Snapshot *table.Snapshot
	Parts    []member.Part
}
