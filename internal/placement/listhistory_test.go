package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/replica"
)

var listEpoch = time.Unix(1_000, 0)

// usable lists one instance at a revision, or none, and reports whether it may be used.
func usable(h *placement.ListHistory, era, number int64, now time.Time, listed ...catalog.Backend) bool {
	documents := map[string]replica.Document{"a": {Name: "a", Revision: replica.Revision{Era: era, Number: number}}}
	h.Correct(listed, documents, era, now)
	return len(listed) > 0 && !listed[0].Leaving
}

// TestRestoredListKeepsInstancesLeaving guards against requests to an instance that is
// shutting down, which a list that was restored from an older copy names as ready.
func TestRestoredListKeepsInstancesLeaving(t *testing.T) {
	c := qt.New(t)
	ready, leaving := catalog.Backend{ID: "a", Start: 1}, catalog.Backend{ID: "a", Start: 1, Leaving: true}
	var h placement.ListHistory
	c.Assert(usable(&h, 0, 5, listEpoch, ready), qt.IsTrue)
	c.Assert(usable(&h, 0, 6, listEpoch, leaving), qt.IsFalse)
	c.Assert(usable(&h, 1, 5, listEpoch, ready), qt.IsFalse)
	c.Assert(usable(&h, 1, 5, listEpoch.Add(time.Hour), ready), qt.IsFalse, qt.Commentf("not written again"))
	c.Assert(usable(&h, 2, 5, listEpoch.Add(time.Hour), ready), qt.IsFalse, qt.Commentf("restored again"))
	c.Assert(usable(&h, 2, 7, listEpoch.Add(time.Hour), ready), qt.IsTrue, qt.Commentf("written again"))
	c.Assert(usable(&h, 2, 8, listEpoch, leaving), qt.IsFalse)
	c.Assert(usable(&h, 3, 8, listEpoch, catalog.Backend{ID: "a", Start: 2}), qt.IsTrue, qt.Commentf("another start"))
}

// TestRestoredListHoldsRemovedInstancesBack guards against requests to an instance that
// has ended, which a restored list names until it removes it again.
func TestRestoredListHoldsRemovedInstancesBack(t *testing.T) {
	c := qt.New(t)
	ready := catalog.Backend{ID: "a", Start: 1}
	var h placement.ListHistory
	usable(&h, 0, 5, listEpoch, ready)
	usable(&h, 0, 0, listEpoch)
	c.Assert(usable(&h, 0, 7, listEpoch, ready), qt.IsTrue, qt.Commentf("expired during an outage and back in the same era"))
	usable(&h, 0, 0, listEpoch)
	c.Assert(usable(&h, 1, 5, listEpoch, ready), qt.IsFalse)
	c.Assert(usable(&h, 2, 5, listEpoch, ready), qt.IsFalse, qt.Commentf("restored again"))
	at := h.RecheckAt(listEpoch)
	c.Assert(at.After(listEpoch), qt.IsTrue)
	c.Assert(usable(&h, 2, 5, at, ready), qt.IsTrue)
	c.Assert(h.RecheckAt(at).IsZero(), qt.IsTrue)
}

// TestInstanceMissingInARestoredListIsNoRemoval guards against an alive instance that is
// held back because a restored list did not have its entry yet.
func TestInstanceMissingInARestoredListIsNoRemoval(t *testing.T) {
	c := qt.New(t)
	ready := catalog.Backend{ID: "a", Start: 1}
	var h placement.ListHistory
	usable(&h, 0, 5, listEpoch, ready)
	usable(&h, 1, 0, listEpoch)
	c.Assert(usable(&h, 2, 5, listEpoch, ready), qt.IsTrue)
}
