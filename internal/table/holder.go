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

// Offering is what became of an offered snapshot.
type Offering int

// The results of an offer.
const (
	// Ignored means that nothing newer was offered.
	Ignored Offering = iota
	// Applied means that the snapshot was newer and is held now.
	Applied
	// Forked means that another edit has made the held revision. The held one
	// stays.
	Forked
)

// Offer applies snapshot when its revision is higher than the current one. A
// lower or equal revision never replaces a held one.
func (h *Holder) Offer(snapshot *Snapshot) Offering {
	switch {
	case snapshot == nil || snapshot.Revision < h.Revision() || snapshot.Revision == 0:
		return Ignored
	case snapshot.Revision > h.Revision():
		h.current = snapshot
		return Applied
	case snapshot.EditID != h.current.EditID:
		return Forked
	}
	return Ignored
}
