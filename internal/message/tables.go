package message

import (
	"plantainrelay/internal/member"
	"plantainrelay/internal/table"
)

// The net/rpc methods that spread the tables and the list of instances.
const (
	MethodExchange = "Tables.Exchange"
	MethodFetch    = "Tables.Fetch"
)

// Summary is what a process tells a peer about itself and what it holds. It
// is sent often, so it is small: gob leaves out the fields that are zero.
type Summary struct {
	// From is the name of the sender.
	From string
	// Incarnation differs between two runs of the same instance.
	Incarnation uint64
	// Revision is the revision of the tables held.
	Revision int64
	// Stamp and Hash describe the list held; see member.Directory.
	Stamp int64
	Hash  uint64
	// ReadAge is the age, in milliseconds, of the newest read of the
	// platform's list that the sender knows of, plus one; 0 when it knows none.
	ReadAge int64
	// StoreReadAge is the same for the newest read of the stored tables.
	StoreReadAge int64
	// Current says that the sender may serve from the tables it holds.
	Current bool
}

// FetchArgs asks a peer for what the caller lacks.
type FetchArgs struct {
	From     string
	Revision int64
	// Stamps are the stamps of the parts of the list held by the caller; none
	// means that it wants no parts.
	Stamps []int64
}

// FetchReply holds what the caller lacks.
type FetchReply struct {
	Snapshot *table.Snapshot
	Parts    []member.Part
}
