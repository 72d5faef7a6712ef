// Package replica keeps a copy of one collection of the platform's store, as
// read there or passed on by peers. It does no I/O.
//
// A copy never goes back: of each document only higher revisions are taken. A
// copy carries a proof of freshness: the start of the latest read of the store
// whose result it holds. Whatever the store had acknowledged before that time
// is in the copy.
package replica

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// maxTombstones bounds the removals that are kept to pass on; a peer that
// lacks older ones gets the whole collection.
const maxTombstones = 512

// Document is one object of the collection.
type Document struct {
	Name     string
	Revision int64
	Body     []byte
	// Removed marks an object that is gone as of Revision.
	Removed bool
}

// Change is news of a collection.
type Change struct {
	// Whole says that the documents are the whole collection as of AsOf;
	// otherwise they are the changes since an earlier revision.
	Whole     bool
	AsOf      int64
	Documents []Document
}

// Replica is the copy of one collection. It is not safe for concurrent use.
type Replica struct {
	documents  map[string]Document
	tombstones map[string]int64
	// tombstoneFloor is the revision from which on all removals are kept.
	tombstoneFloor int64
	// asOf is the revision of the store up to which the copy is complete;
	// content is the highest revision of its documents and removals.
	asOf    int64
	content int64
	proof   time.Time
	known   bool
	// previousContent and lastProof are those of the copy before its latest change.
	previousContent int64
	previousProof   time.Time
}

// New returns a copy that knows nothing.
func New() *Replica {
	return &Replica{documents: map[string]Document{}, tombstones: map[string]int64{}}
}

// Apply takes in news that a read of the store which began at proof has
// brought. It returns the documents that changed.
func (r *Replica) Apply(change Change, proof time.Time) []Document {
	if change.AsOf < r.asOf || (!r.known && !change.Whole) {
		return nil
	}
	previousContent, previousProof := r.content, r.proof
	changed := r.merge(change.Documents)
	if change.Whole {
		changed = append(changed, r.removeUnlisted(change)...)
		// A listing does not tell what was removed before it.
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

// removeUnlisted removes what a whole listing no longer has.
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
	oldest, at := "", int64(0)
	for name, revision := range r.tombstones {
		if oldest == "" || revision < at {
			oldest, at = name, revision
		}
	}
	delete(r.tombstones, oldest)
	r.tombstoneFloor = max(r.tombstoneFloor, at)
}

// RecordProof records that a copy with the given content revision was current at
// proof. It counts only for a copy with the same content.
func (r *Replica) RecordProof(content int64, proof time.Time) {
	if r.known && content == r.content && proof.After(r.proof) {
		r.proof = proof
	}
}

// Known reports whether the copy holds the collection at all.
func (r *Replica) Known() bool { return r.known }

// Proof returns the time up to which the copy is proven to be current.
func (r *Replica) Proof() time.Time { return r.proof }

// ProofOf returns the time up to which a copy with the given content revision is
// proven to have been current. It knows the present copy and the one before.
func (r *Replica) ProofOf(content int64) (proof time.Time, known bool) {
	switch {
	case r.known && content == r.content:
		return r.proof, true
	case r.known && content == r.previousContent:
		return r.previousProof, true
	}
	return time.Time{}, false
}

// Content returns the highest revision that the copy holds; copies with equal
// content are equal.
func (r *Replica) Content() int64 { return r.content }

// AsOf returns the store's revision up to which the copy is complete.
func (r *Replica) AsOf() int64 { return r.asOf }

// Since returns what a peer lacks whose copy is complete up to revision.
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
