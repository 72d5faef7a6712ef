package copies

import (
	"time"

	"plantainrelay/internal/replica"
)

// The types of this file are sent over net/rpc. Processes that do not know the eras of
// the store ignore those fields, and leave them 0.

// PullArgs asks for the changes of a collection since a revision.
type PullArgs struct {
	Kind  string
	Since int64
	Era   int64
}

// PullReply holds the changes and the age of their proof.
type PullReply struct {
	Change PulledChange
	Age    time.Duration
}

// PulledChange is a replica.Change.
type PulledChange struct {
	Whole     bool
	AsOf      int64
	Documents []PulledDocument
	Era       int64
	Retained  []PulledDocument
}

// PulledDocument is a replica.Document.
type PulledDocument struct {
	Name     string
	Revision int64
	Body     []byte
	Removed  bool
	Era      int64
	Version  int64
}

func encodeChange(change replica.Change) PulledChange {
	return PulledChange{
		Whole: change.Whole, AsOf: change.AsOf.Number, Era: change.AsOf.Era,
		Documents: encodeDocuments(change.Documents), Retained: encodeDocuments(change.Retained),
	}
}

func encodeDocuments(documents []replica.Document) []PulledDocument {
	encoded := make([]PulledDocument, 0, len(documents))
	for _, d := range documents {
		encoded = append(encoded, PulledDocument{Name: d.Name, Revision: d.Revision.Number, Era: d.Revision.Era, Body: d.Body, Removed: d.Removed, Version: d.Version})
	}
	return encoded
}

func decodeChange(change PulledChange) replica.Change {
	return replica.Change{
		Whole: change.Whole, AsOf: replica.Revision{Era: change.Era, Number: change.AsOf},
		Documents: decodeDocuments(change.Documents), Retained: decodeDocuments(change.Retained),
	}
}

func decodeDocuments(documents []PulledDocument) []replica.Document {
	decoded := make([]replica.Document, 0, len(documents))
	for _, d := range documents {
		decoded = append(decoded, replica.Document{Name: d.Name, Revision: replica.Revision{Era: d.Era, Number: d.Revision}, Body: d.Body, Removed: d.Removed, Version: d.Version})
	}
	return decoded
}

// size returns the bytes of the documents' bodies.
func (c *PulledChange) size() int {
	size := 0
	for _, documents := range [][]PulledDocument{c.Documents, c.Retained} {
		for _, document := range documents {
			size += len(document.Body)
		}
	}
	return size
}
