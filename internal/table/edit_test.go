package table

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/failure"
)

func draft(id string, expected int64, pool string) Draft {
	return Draft{ID: id, Author: "alice", Expected: expected, Tables: Tables{Pools: []Pool{{Name: pool}}}}
}

func accept(t *testing.T, base *Snapshot, d Draft) *Snapshot {
	next, accepted, err := ApplyDraft(base, d)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, accepted, qt.IsNil)
	return next
}

func TestEditsIncrementTheRevision(t *testing.T) {
	base := &Snapshot{}
	for i := int64(0); i < 3*MaxEditRecords; i++ {
		base = accept(t, base, draft(string(rune('A'+i)), i, "p"))
		qt.Assert(t, base.Revision, qt.Equals, i+1)
		qt.Assert(t, len(base.Edits) <= MaxEditRecords, qt.IsTrue)
	}
}

func TestRepeatedEditIsAcceptedOnceAlsoAfterOthers(t *testing.T) {
	first := accept(t, &Snapshot{}, draft("one", 0, "p"))
	second := accept(t, first, draft("two", 1, "q"))
	next, accepted, err := ApplyDraft(second, draft("one", 0, "p"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, next, qt.IsNil)
	qt.Check(t, accepted.Revision, qt.Equals, int64(1))
	_, _, err = ApplyDraft(second, draft("one", 0, "other"))
	qt.Check(t, failure.Is(err, failure.Invalid), qt.IsTrue)
}

func TestConcurrentEditGetsAConflict(t *testing.T) {
	first := accept(t, &Snapshot{}, draft("one", 0, "p"))
	_, _, err := ApplyDraft(first, draft("two", 0, "q"))
	qt.Check(t, failure.Is(err, failure.Conflict), qt.IsTrue)
}

func TestHolderKeepsTheHighestRevision(t *testing.T) {
	var holder Holder
	qt.Check(t, holder.Offer(&Snapshot{Revision: 5, EditID: "five"}), qt.Equals, Applied)
	qt.Check(t, holder.Offer(&Snapshot{Revision: 4, EditID: "four"}), qt.Equals, Ignored)
	qt.Check(t, holder.Offer(&Snapshot{Revision: 5, EditID: "five"}), qt.Equals, Ignored)
	qt.Check(t, holder.Offer(&Snapshot{Revision: 5, EditID: "other"}), qt.Equals, Conflicting)
	qt.Check(t, holder.Current().EditID, qt.Equals, "five")
}
