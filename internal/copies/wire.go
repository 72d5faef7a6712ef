package copies

import (
	"time"

	"plantainrelay/internal/replica"
)

// The types of this file are sent over net/rpc. Processes that do not know the eras of
// the store, or encoded documents, ignore those fields and leave them 0.

// PullArgs asks for the changes of a collection since a revision.
type PullArgs struct {
	Kind  string
	Since int64
	Era   int64
	// TakesEncoded means that the documents may be encoded; Bases holds those of which a
	// difference may be sent.
	TakesEncoded bool
	Bases        []PullBase
}

// PullBase is a version of a document that a process has.
type PullBase struct {
	Name     string
	Revision int64
	Era      int64
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
	// Encoded means that Body is encoded as in package delta, and Sum is the SHA-256 sum of
	// the decoded body. Its base is the version with BaseRevision and BaseEra, or none if
	// both are 0.
	Encoded      bool
	Sum          []byte
	BaseRevision int64
	BaseEra      int64
}

func (d *PulledDocument) revision() replica.Revision {
	return replica.Revision{Era: d.Era, Number: d.Revision}
}

func (d *PulledDocument) base() replica.Revision {
	return replica.Revision{Era: d.BaseEra, Number: d.BaseRevision}
}

// encodeBases returns the versions of the documents.
func encodeBases(documents map[string]replica.Document) []PullBase {
	bases := make([]PullBase, 0, len(documents))
	for name, document := range documents {
		bases = append(bases, PullBase{Name: name, Revision: document.Revision.Number, Era: document.Revision.Era})
	}
	return bases
}

// decodeBases returns the revisions of versions by the names of their documents.
func decodeBases(bases []PullBase) map[string]replica.Revision {
	revisions := make(map[string]replica.Revision, len(bases))
	for _, base := range bases {
		revisions[base.Name] = replica.Revision{Era: base.Era, Number: base.Revision}
	}
	return revisions
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

// decode returns the change with its documents as they were before they were encoded.
func (c PulledChange) decode(bases map[string]replica.Document) (PulledChange, error) {
	decoded := make([]PulledDocument, len(c.Documents))
	for i, document := range c.Documents {
		var err error
		if decoded[i], err = decode(document, bases); err != nil {
			return PulledChange{}, err
		}
	}
	c.Documents = decoded
	return c, nil
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
