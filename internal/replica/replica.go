// Package replica keeps a copy of one collection of the platform's store, as read
// from the store or received from peers. It does no I/O.
//
// A document in a copy is only ever replaced by one with a higher revision. A copy
// has a proof of freshness: the start time of the latest read of the store that it
// reflects. The copy contains every write that the store acknowledged before that
// time.
package replica

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// maxTombstones bounds the removals that are kept for peers. A peer that lacks older
// removals is sent the whole collection.
const maxTombstones = 512

// Document is one object of the collection.
type Document struct {
	Name     string
	Revision int64
	Body     []byte
	// Removed marks an object that was deleted as of Revision.
	Removed bool
}

// Change is an update of a collection.
type Change struct {
	// Whole reports whether the documents are the whole collection as of AsOf.
	// Otherwise they are the changes since an earlier revision.
	Whole     bool
	AsOf      int64
	Documents []Document
}

// Replica is the copy of one collection. It is not safe for concurrent use.
type Replica struct {
	documents  map[string]Document
	tombstones map[string]int64
	// tombstoneFloor is the revision after which no removal is missing.
	tombstoneFloor int64
	// asOf is the store revision up to which the copy is complete; content is the
	// highest revision of its documents and removals.
	asOf    int64
	content int64
	proof   time.Time
	known   bool
	// previousContent and previousProof belong to the copy before its latest change.
	previousContent int64
	previousProof   time.Time
}

// New returns an empty copy.
func New() *Replica {
	return &Replica{documents: map[string]Document{}, tombstones: map[string]int64{}}
}

// Apply merges a change that comes from a read of the store started at proof. It
// returns the documents that changed.
func (r *Replica) Apply(change Change, proof time.Time) []Document {
	if change.AsOf < r.asOf || (!r.known && !change.Whole) {
		return nil
	}
	previousContent, previousProof := r.content, r.proof
	changed := r.merge(change.Documents)
	if change.Whole {
		changed = append(changed, r.removeUnlisted(change)...)
		// A listing does not include the removals before it.
		r.tombstoneFloor = max(r.tombstoneFloor, change.AsOf)
	}
	if r.content != previousContent {
		r.previousContent, r.previousProof = previousContent, previousProof
	}
	r.asOf, r.known = change.AsOf, true
	r.RecordProof(r.content, proof)
	return changed
}

func (r *Replica) merge(documents []Document) []Document {
	var changed []Document
	for _, document := range documents {
		if document.Revision <= r.documents[document.Name].Revision || document.Revision <= r.tombstones[document.Name] {
			continue
		}
		changed = append(changed, document)
		r.content = max(r.content, document.Revision)
		if document.Removed {
			r.addTombstone(document.Name, document.Revision)
			continue
		}
		delete(r.tombstones, document.Name)
		r.documents[document.Name] = document
	}
	return changed
}

// removeUnlisted removes the documents that are missing from a whole listing.
func (r *Replica) removeUnlisted(change Change) []Document {
	listed := map[string]bool{}
	for _, document := range change.Documents {
		listed[document.Name] = !document.Removed
	}
	var changed []Document
	for _, name := range slices.Sorted(maps.Keys(r.documents)) {
		if listed[name] || r.documents[name].Revision > change.AsOf {
			continue
		}
		r.addTombstone(name, change.AsOf)
		r.content = max(r.content, change.AsOf)
		changed = append(changed, Document{Name: name, Revision: change.AsOf, Removed: true})
	}
	return changed
}

func (r *Replica) addTombstone(name string, revision int64) {
	delete(r.documents, name)
	r.tombstones[name] = revision
	if len(r.tombstones) <= maxTombstones {
		return
	}
	oldest, oldestRevision := "", int64(0)
	for name, revision := range r.tombstones {
		if oldest == "" || revision < oldestRevision {
			oldest, oldestRevision = name, revision
		}
	}
	delete(r.tombstones, oldest)
	r.tombstoneFloor = max(r.tombstoneFloor, oldestRevision)
}

// RecordProof records that a copy with the given content revision was current at
// proof. It has no effect unless this copy has the same content revision.
func (r *Replica) RecordProof(content int64, proof time.Time) {
	if r.known && content == r.content && proof.After(r.proof) {
		r.proof = proof
	}
}

// Known reports whether the copy has received the collection.
func (r *Replica) Known() bool { return r.known }

// Proof returns the latest time at which the copy is known to have been current.
func (r *Replica) Proof() time.Time { return r.proof }

// ProofOf returns the latest time at which a copy with the given content revision is
// known to have been current. It covers the present copy and the previous one.
func (r *Replica) ProofOf(content int64) (proof time.Time, known bool) {
	switch {
	case r.known && content == r.content:
		return r.proof, true
	case r.known && content == r.previousContent:
		return r.previousProof, true
	}
	return time.Time{}, false
}

// Content returns the content revision: the highest revision of the documents and
// removals. Copies with the same content revision are equal.
func (r *Replica) Content() int64 { return r.content }

// AsOf returns the store revision up to which the copy is complete.
func (r *Replica) AsOf() int64 { return r.asOf }

// Since returns the changes for a peer whose copy is complete up to revision.
func (r *Replica) Since(revision int64) Change {
	change := Change{AsOf: r.asOf, Whole: revision < r.tombstoneFloor || revision == 0}
	for _, document := range r.documents {
		if change.Whole || document.Revision > revision {
			change.Documents = append(change.Documents, document)
		}
	}
	if !change.Whole {
		for name, at := range r.tombstones {
			if at > revision {
				change.Documents = append(change.Documents, Document{Name: name, Revision: at, Removed: true})
			}
		}
	}
	slices.SortFunc(change.Documents, func(a, b Document) int { return strings.Compare(a.Name, b.Name) })
	return change
}

// Documents returns the documents by name.
func (r *Replica) Documents() map[string]Document { return r.documents }
