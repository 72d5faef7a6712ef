package copies

import (
	"crypto/sha256"
	"slices"
	"sync"

	"plantainrelay/internal/delta"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/replica"
)

const (
	// minEncodedBytes is the size from which on documents are sent to peers compressed, or as
	// the difference from the version that the peer has.
	minEncodedBytes = 4 << 10
	// maxDocumentBytes bounds a document that a peer sends. The store sends less.
	maxDocumentBytes = 8 << 20
	// maxBaseBytes bounds the earlier versions of one document that are kept as bases of
	// differences. The last one is kept in any case.
	maxBaseBytes = 1 << 20
)

// encodings holds the large documents of a collection in the forms in which peers get them. It
// is safe for concurrent use.
type encodings struct {
	mu        sync.Mutex
	documents map[string]*encodedDocument
}

// encodedDocument is a document with its earlier versions and its encoded forms.
type encodedDocument struct {
	latest replica.Document
	// earlier holds previous versions, the last one first.
	earlier []replica.Document
	// encoded holds the latest version by the revision of its base; the zero revision stands
	// for none.
	encoded map[replica.Revision][]byte
}

func newEncodings() *encodings { return &encodings{documents: map[string]*encodedDocument{}} }

// update records documents that have changed.
func (e *encodings) update(changed []replica.Document) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, document := range changed {
		if document.Removed || len(document.Body) < minEncodedBytes {
			delete(e.documents, document.Name)
			continue
		}
		last := e.documents[document.Name]
		if last != nil && !document.Revision.After(last.latest.Revision) {
			continue
		}
		next := &encodedDocument{latest: document, encoded: map[replica.Revision][]byte{}}
		if last != nil {
			next.earlier = boundBases(append([]replica.Document{last.latest}, last.earlier...))
		}
		e.documents[document.Name] = next
	}
}

// boundBases drops the oldest versions beyond maxBaseBytes.
func boundBases(versions []replica.Document) []replica.Document {
	size := 0
	for i, version := range versions {
		if size += len(version.Body); size > maxBaseBytes && i > 0 {
			return versions[:i]
		}
	}
	return versions
}

// encode returns the document for a peer that has the given versions of documents, by name. A
// small document, or one that is no longer kept, is returned as it is.
func (e *encodings) encode(document PulledDocument, bases map[string]replica.Revision) (PulledDocument, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.documents[document.Name]
	if held == nil || document.Removed {
		return document, nil
	}
	version, found := held.version(document.revision())
	if !found {
		return document, nil
	}
	base, _ := held.version(bases[document.Name])
	encoded, err := held.encode(version, base)
	if err != nil {
		return PulledDocument{}, err
	}
	sum := sha256.Sum256(version.Body)
	document.Body, document.Encoded, document.Sum = encoded, true, sum[:]
	document.BaseRevision, document.BaseEra = base.Revision.Number, base.Revision.Era
	return document, nil
}

// encode returns a version in its encoded form, which is kept for the latest one.
func (d *encodedDocument) encode(version, base replica.Document) ([]byte, error) {
	isLatest := version.Revision == d.latest.Revision
	if encoded, found := d.encoded[base.Revision]; isLatest && found {
		return encoded, nil
	}
	encoded, err := delta.Encode(version.Body, base.Body)
	if err == nil && isLatest {
		d.encoded[base.Revision] = encoded
	}
	return encoded, err
}

// version returns the version with the given revision, if it is kept.
func (d *encodedDocument) version(revision replica.Revision) (replica.Document, bool) {
	if d.latest.Revision == revision {
		return d.latest, true
	}
	for _, version := range d.earlier {
		if version.Revision == revision {
			return version, true
		}
	}
	return replica.Document{}, false
}

// learn records the encoded form in which a peer sent a document, so that it need not be
// computed again for others.
func (e *encodings) learn(document PulledDocument) {
	if !document.Encoded {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if held := e.documents[document.Name]; held != nil && held.latest.Revision == document.revision() {
		held.encoded[document.base()] = document.Body
	}
}

// bases returns the large documents, by name, as bases of differences.
func (e *encodings) bases() map[string]replica.Document {
	e.mu.Lock()
	defer e.mu.Unlock()
	bases := make(map[string]replica.Document, len(e.documents))
	for name, held := range e.documents {
		bases[name] = held.latest
	}
	return bases
}

// decode returns the document as it was before encode, with the versions that the peer was told
// of.
func decode(document PulledDocument, bases map[string]replica.Document) (PulledDocument, error) {
	if !document.Encoded {
		return document, nil
	}
	var base replica.Document
	if document.base() != (replica.Revision{}) {
		if base = bases[document.Name]; base.Revision != document.base() {
			return PulledDocument{}, failure.New(failure.Invalid, "ask for the whole document", "%s is the difference from revision %s, which this process did not have", document.Name, document.base())
		}
	}
	body, err := delta.Decode(document.Body, base.Body, maxDocumentBytes)
	if err != nil {
		return PulledDocument{}, err
	}
	if sum := sha256.Sum256(body); !slices.Equal(sum[:], document.Sum) {
		return PulledDocument{}, failure.New(failure.Invalid, "ask for the whole document", "%s is not the same after decoding", document.Name)
	}
	document.Body, document.Encoded, document.Sum, document.BaseRevision, document.BaseEra = body, false, nil, 0, 0
	return document, nil
}
