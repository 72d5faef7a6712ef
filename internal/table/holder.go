package table

// Holder keeps the newest snapshot that one process knows. Its methods are not
// safe for concurrent use.
type Holder struct {
	current *Snapshot
}

// Current returns the newest snapshot, or nil when none is known.
func (h *Holder) Current() *Snapshot {
	return h.current
}

// Revision returns the newest revision, or 0 when none is known.
func (h *Holder) Revision() int64 {
	if h.current == nil {
		return 0
	}
	return h.current.Revision
}

// OfferResult is the result of Holder.Offer.
type OfferResult int

// The results of an offer.
const (
	// Ignored means that the snapshot was not newer than the current one.
	Ignored OfferResult = iota
	// Applied means that the snapshot was newer and has replaced the current one.
	Applied
	// Conflicting means that a different edit made the same revision. The current
	// snapshot is kept.
	Conflicting
)

// Offer makes snapshot the current one when its revision is higher. A lower or equal
// revision never replaces the current snapshot.
func (h *Holder) Offer(snapshot *Snapshot) OfferResult {
	switch {
	case snapshot == nil || snapshot.Revision < h.Revision() || snapshot.Revision == 0:
		return Ignored
	case snapshot.Revision > h.Revision():
		h.current = snapshot
		return Applied
	case snapshot.EditID != h.current.EditID:
		return Conflicting
	}
	return Ignored
}
