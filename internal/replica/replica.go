// Package replica keeps a copy of one collection of the platform's store, as read
// from the store or received from peers. It does no I/O.
//
// A document in a copy is only ever replaced by one with a later revision. A copy
// has a proof of freshness: the start time of the latest read of the store that it
// reflects. The copy contains every write that the store acknowledged before that
// time and has not lost since.
//
// When the store is restored from an older copy of itself, a new era of its revisions
// begins. A copy moves to the new era with a whole listing and drops the rest, except
// documents with a version of their own that is higher than what the store has now.
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
	Revision Revision
	Body     []byte
	// Version is the document's own version, which its writer never lowers; 0 if it has
	// none.
	Version int64
	// Removed marks an object that was deleted as of Revision.
	Removed bool
}

// Change is an update of a collection.
type Change struct {
	// Whole reports whether the documents are the whole collection as of AsOf.
	// Otherwise they are the changes since an earlier revision.
	Whole     bool
	AsOf      Revision
	Documents []Document
	// Retained holds documents of earlier eras that are newer, by their own version,
	// than what the store returned.
	Retained []Document
}

// names returns the names of the documents that exist as of the change.
func (c Change) names() map[string]bool {
	names := make(map[string]bool, len(c.Documents))
	for _, document := range c.Documents {
		names[document.Name] = !document.Removed
	}
	return names
}

// Replica is the copy of one collection. It is not safe for concurrent use.
type Replica struct {
	documents  map[string]Document
	tombstones map[string]Revision
	// retained holds documents of earlier eras whose own version is higher than that of
	// the document in documents.
	retained map[string]Document
	// versions is the sum of the documents' own versions.
	versions int64
	// tombstoneFloor is the revision after which no removal is missing.
	tombstoneFloor Revision
	// asOf is the store revision up to which the copy is complete; content is the
	// latest revision of its documents and removals, in the era of asOf.
	asOf    Revision
	content Revision
	proof   time.Time
	known   bool
	// previousContent and previousProof belong to the copy before its latest change.
	previousContent Revision
	previousProof   time.Time
}

// New returns an empty copy.
func New() *Replica {
	return &Replica{documents: map[string]Document{}, tombstones: map[string]Revision{}, retained: map[string]Document{}}
}

// Apply merges a change that comes from a read of the store started at proof. It
// returns the documents that changed. Of a change of an earlier era only documents with
// a higher version of their own are used. A change that begins a new era is ignored
// unless it is whole.
func (r *Replica) Apply(change Change, proof time.Time) []Document {
	changed := r.apply(change, proof)
	r.versions = 0
	for _, document := range r.Documents() {
		r.versions += document.Version
	}
	return changed
}

func (r *Replica) apply(change Change, proof time.Time) []Document {
	newEra := change.AsOf.Era > r.asOf.Era
	if !change.Whole && (!r.known || newEra) {
		return nil
	}
	changed := r.retain(change.Retained)
	if change.AsOf.Era < r.asOf.Era {
		return append(changed, r.retain(change.Documents)...)
	}
	if r.asOf.After(change.AsOf) {
		return changed
	}
	previousContent, previousProof := r.content, r.proof
	if newEra {
		changed = append(changed, r.beginEra(change)...)
	}
	changed = append(changed, r.merge(change.Documents)...)
	if change.Whole {
		changed = append(changed, r.removeUnlisted(change)...)
		// A listing does not include the removals before it.
		r.tombstoneFloor = r.tombstoneFloor.Max(change.AsOf)
	}
	if r.content != previousContent {
		r.previousContent, r.previousProof = previousContent, previousProof
	}
	r.asOf, r.known = change.AsOf, true
	r.RecordProof(r.content, proof)
	return changed
}

// beginEra drops the documents, removals and the proof of the earlier era, and returns
// the documents that the listing of the new era does not contain. Documents with a
// version of their own are retained until the store returns that version or a higher one.
func (r *Replica) beginEra(listing Change) []Document {
	earlier := slices.Collect(maps.Values(r.documents))
	r.documents, r.tombstones = map[string]Document{}, map[string]Revision{}
	r.asOf, r.content, r.proof = Revision{Era: listing.AsOf.Era}, Revision{Era: listing.AsOf.Era}, time.Time{}
	r.retain(earlier)
	listed := listing.names()
	var removed []Document
	for _, document := range earlier {
		if !listed[document.Name] {
			removed = append(removed, Document{Name: document.Name, Revision: listing.AsOf, Removed: true})
		}
	}
	return removed
}

// retain keeps the documents whose own version is higher than that of the present ones,
// and returns them.
func (r *Replica) retain(documents []Document) []Document {
	var retained []Document
	for _, document := range documents {
		if document.Removed || document.Version <= max(r.documents[document.Name].Version, r.retained[document.Name].Version) {
			continue
		}
		r.retained[document.Name] = document
		retained = append(retained, document)
	}
	return retained
}

func (r *Replica) merge(documents []Document) []Document {
	var changed []Document
	for _, document := range documents {
		if !document.Revision.After(r.documents[document.Name].Revision) || !document.Revision.After(r.tombstones[document.Name]) {
			continue
		}
		changed = append(changed, document)
		r.content = r.content.Max(document.Revision)
		if document.Removed {
			r.addTombstone(document.Name, document.Revision)
			continue
		}
		delete(r.tombstones, document.Name)
		r.documents[document.Name] = document
		if document.Version >= r.retained[document.Name].Version {
			delete(r.retained, document.Name)
		}
	}
	return changed
}

// removeUnlisted removes the documents that are missing from a whole listing.
func (r *Replica) removeUnlisted(change Change) []Document {
	listed := change.names()
	var changed []Document
	for _, name := range slices.Sorted(maps.Keys(r.documents)) {
		if listed[name] || r.documents[name].Revision.After(change.AsOf) {
			continue
		}
		r.addTombstone(name, change.AsOf)
		r.content = r.content.Max(change.AsOf)
		changed = append(changed, Document{Name: name, Revision: change.AsOf, Removed: true})
	}
	return changed
}

func (r *Replica) addTombstone(name string, revision Revision) {
	delete(r.documents, name)
	r.tombstones[name] = revision
	if len(r.tombstones) <= maxTombstones {
		return
	}
	oldest, oldestRevision := "", Revision{}
	for name, revision := range r.tombstones {
		if oldest == "" || oldestRevision.After(revision) {
			oldest, oldestRevision = name, revision
		}
	}
	delete(r.tombstones, oldest)
	r.tombstoneFloor = r.tombstoneFloor.Max(oldestRevision)
}

// RecordProof records that a copy with the given content revision was current at
// proof. It has no effect unless this copy has the same content revision.
func (r *Replica) RecordProof(content Revision, proof time.Time) {
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
func (r *Replica) ProofOf(content Revision) (proof time.Time, known bool) {
	switch {
	case r.known && content == r.content:
		return r.proof, true
	case r.known && content == r.previousContent:
		return r.previousProof, true
	}
	return time.Time{}, false
}

// Content returns the content revision: the latest revision of the documents and
// removals, without those retained from earlier eras. Copies with the same content
// revision and the same Versions are equal.
func (r *Replica) Content() Revision { return r.content }

// AsOf returns the store revision up to which the copy is complete.
func (r *Replica) AsOf() Revision { return r.asOf }

// Versions returns the sum of the documents' own versions. A copy with a higher sum has a
// document that a copy with the same content revision lacks.
func (r *Replica) Versions() int64 { return r.versions }

// Since returns the changes for a peer whose copy is complete up to revision.
func (r *Replica) Since(revision Revision) Change {
	change := Change{AsOf: r.asOf, Whole: revision == Revision{} || revision.Era != r.asOf.Era || r.tombstoneFloor.After(revision)}
	for _, document := range r.documents {
		if change.Whole || document.Revision.After(revision) {
			change.Documents = append(change.Documents, document)
		}
	}
	if !change.Whole {
		for name, at := range r.tombstones {
			if at.After(revision) {
				change.Documents = append(change.Documents, Document{Name: name, Revision: at, Removed: true})
			}
		}
	}
	change.Retained = slices.Collect(maps.Values(r.retained))
	sortByName(change.Documents)
	sortByName(change.Retained)
	return change
}

func sortByName(documents []Document) {
	slices.SortFunc(documents, func(a, b Document) int { return strings.Compare(a.Name, b.Name) })
}

// Documents returns the documents by name. A retained document takes the place of one
// with a lower version of its own.
func (r *Replica) Documents() map[string]Document {
	if len(r.retained) == 0 {
		return r.documents
	}
	documents := maps.Clone(r.documents)
	for name, document := range r.retained {
		if document.Version > documents[name].Version {
			documents[name] = document
		}
	}
	return documents
}
