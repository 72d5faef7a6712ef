package placement

import (
	"time"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/replica"
)

const (
	// removalHold is how long an instance that had been removed from the list, and is in a
	// restored list, gets no requests. If it is gone, the list removes it again within
	// that time; if it is alive, its list entry stays.
	removalHold = 5 * time.Second
	// removalMemory is how long removals are remembered. It is longer than the age of the
	// copies from which the platform's store is restored.
	removalMemory = time.Minute
)

// ListHistory remembers which instances the list has named as leaving, or removed, so that
// a list that was restored from an older copy does not bring them back. The zero value is
// ready to use. It is not safe for concurrent use.
type ListHistory struct {
	era       int64
	instances map[string]listedInstance
}

// listedInstance is what the list has said of one instance.
type listedInstance struct {
	start   int64
	leaving bool
	// removedAt is when the instance was first missing from the list, in the same era;
	// zero if it was not.
	removedAt time.Time
	// staleRevision is the revision of a restored entry that is older than what the list
	// has said before; the zero value if the entry is not. staleUntil is when such an entry
	// is used although it was not written again; zero for never.
	staleRevision replica.Revision
	staleUntil    time.Time
}

// stale reports whether the restored entry is still not to be used.
func (l listedInstance) stale(now time.Time) bool {
	return l.staleRevision != replica.Revision{} && (l.staleUntil.IsZero() || now.Before(l.staleUntil))
}

// Restored reports whether a list of the given era is the first one of its era, after
// others.
func (h *ListHistory) Restored(era int64) bool { return h.instances != nil && era > h.era }

// Correct marks those of the listed instances as leaving that have left as far as is known
// from lists of an earlier era, until their entries in documents are written again.
func (h *ListHistory) Correct(backends []catalog.Backend, documents map[string]replica.Document, era int64, now time.Time) {
	restored := h.Restored(era)
	if h.instances == nil {
		h.instances = map[string]listedInstance{}
	}
	h.era = era
	listed := make(map[string]bool, len(backends))
	for i := range backends {
		backend := &backends[i]
		listed[backend.ID] = true
		next := h.next(backend, documents[backend.ID].Revision, restored, now)
		h.instances[backend.ID] = next
		backend.Leaving = backend.Leaving || next.stale(now)
	}
	h.recordRemovals(listed, restored, now)
}

// next returns what is known of a listed instance.
func (h *ListHistory) next(backend *catalog.Backend, revision replica.Revision, restored bool, now time.Time) listedInstance {
	last := h.instances[backend.ID]
	next := listedInstance{start: backend.Start, leaving: backend.Leaving}
	switch {
	case last.start != backend.Start:
	case restored && last.leaving:
		next.leaving, next.staleRevision = true, revision
	case restored && !last.removedAt.IsZero():
		next.removedAt, next.staleRevision, next.staleUntil = last.removedAt, revision, now.Add(removalHold)
	case last.stale(now) && last.staleRevision == revision:
		return last
	}
	return next
}

// recordRemovals records the instances that are no longer listed. Those that a restored
// list lacks may only not have been written again yet.
func (h *ListHistory) recordRemovals(listed map[string]bool, restored bool, now time.Time) {
	for id, instance := range h.instances {
		switch {
		case listed[id]:
		case instance.removedAt.IsZero() && !restored:
			instance.removedAt = now
			h.instances[id] = instance
		case !instance.removedAt.IsZero() && now.Sub(instance.removedAt) > removalMemory:
			delete(h.instances, id)
		}
	}
}

// RecheckAt returns the earliest time at which an instance that Correct marks as leaving
// may be used although its entry was not written again, or zero if there is none.
func (h *ListHistory) RecheckAt(now time.Time) time.Time {
	var earliest time.Time
	for _, instance := range h.instances {
		if until := instance.staleUntil; instance.stale(now) && !until.IsZero() && (earliest.IsZero() || until.Before(earliest)) {
			earliest = until
		}
	}
	return earliest
}
