package blocklist_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/blocklist"
)

var badPart = blocklist.Part{Model: model, ID: "bad"}

// blockedList returns a list in which badPart is blocked, not yet in the store.
func blockedList() (*blocklist.List, blocklist.Record) {
	l := newList()
	for i := range enough {
		record(l, crashAt(i, 300*i, "bad"))
	}
	return l, l.Records()[0]
}

func unsavedRecords(l *blocklist.List) (records []blocklist.Record) {
	for _, one := range l.Unsaved(10) {
		records = append(records, one.Record)
	}
	return records
}

func stored(records ...blocklist.Record) (all []blocklist.StoredRecord) {
	for _, one := range records {
		all = append(all, blocklist.StoredRecord{Record: one})
	}
	return all
}

// TestStartingEntryLearnsBlocks guards against entries that start, or were cut off, and
// learn of a block by crashing instances.
func TestStartingEntryLearnsBlocks(t *testing.T) {
	c := qt.New(t)
	_, blocked := blockedList()
	c.Assert(blocked, qt.Equals, blocklist.Record{Part: badPart, Version: blocked.Version, Crashes: enough})
	fromStore, fromPeer := blocklist.New(), blocklist.New()
	c.Assert(fromStore.SetStored(stored(blocked), at(0)), qt.DeepEquals, []blocklist.Record{blocked})
	c.Assert(isBlocked(fromStore, "bad"), qt.IsTrue)
	c.Assert(unsavedRecords(fromStore), qt.HasLen, 0)
	c.Assert(fromPeer.Adopt(blocked, at(0)), qt.IsTrue)
	c.Assert(fromPeer.Adopt(blocked, at(0)), qt.IsFalse)
	c.Assert(isBlocked(fromPeer, "bad"), qt.IsTrue)
}

// TestBlockIsWrittenUntilTheStoreHasIt guards against blocks that are lost with the entries
// that know them: because the write failed, or the store was restored from an older copy.
func TestBlockIsWrittenUntilTheStoreHasIt(t *testing.T) {
	c := qt.New(t)
	l, blocked := blockedList()
	unsaved := func() []blocklist.Record { return unsavedRecords(l) }
	c.Assert(unsaved(), qt.DeepEquals, []blocklist.Record{blocked})
	l.Saved(blocked)
	c.Assert(unsaved(), qt.HasLen, 0)
	l.SetStored(stored(blocked), at(61_000))
	c.Assert(unsaved(), qt.HasLen, 0)
	// A copy of an earlier era is kept, and one that the store does not have at all.
	c.Assert(l.SetStored([]blocklist.StoredRecord{{Record: blocked, Lost: true}}, at(62_000)), qt.HasLen, 0)
	c.Assert(unsaved(), qt.DeepEquals, []blocklist.Record{blocked})
	l.SetStored(stored(blocked), at(63_000))
	l.SetStored(nil, at(64_000))
	c.Assert(unsaved(), qt.DeepEquals, []blocklist.Record{blocked})
	c.Assert(isBlocked(l, "bad"), qt.IsTrue)
}

// TestLiftedPart covers an operator who lifts a block: all entries follow, an older record
// does not bring it back, and further crashes do.
func TestLiftedPart(t *testing.T) {
	c := qt.New(t)
	l, blocked := blockedList()
	lifted := blocked
	lifted.Version, lifted.Lifted = blocked.Version+1, true
	c.Assert(l.SetStored(stored(lifted), at(1000)), qt.DeepEquals, []blocklist.Record{lifted})
	c.Assert(isBlocked(l, "bad"), qt.IsFalse)
	c.Assert(l.Adopt(blocked, at(2000)), qt.IsFalse)
	c.Assert(l.SetStored(stored(blocked), at(3000)), qt.HasLen, 0)
	c.Assert(isBlocked(l, "bad"), qt.IsFalse)
	c.Assert(record(l, crashAt(11, 4_000, "bad"), crashAt(12, 4_500, "bad"), crashAt(14, 5_000, "bad")), qt.HasLen, 0)
	c.Assert(record(l, crashAt(13, 6_000, "bad")), qt.DeepEquals, []string{"bad"})
	c.Assert(l.Records()[0].Version > lifted.Version, qt.IsTrue)
}

// TestCompleteResponseLiftsABlock guards against parts that stay blocked by mistake, and
// against a block that a response which has only begun lifts.
func TestCompleteResponseLiftsABlock(t *testing.T) {
	c := qt.New(t)
	l, blocked := blockedList()
	l.RecordResponse(model, 1, []string{"bad"}, at(2000))
	c.Assert(isBlocked(l, "bad"), qt.IsTrue)
	lifted := l.LiftAnswered(model, []string{"first", "bad"}, at(3000))
	c.Assert(lifted, qt.HasLen, 1)
	c.Assert(lifted[0].Version, qt.Equals, blocked.Version+1)
	c.Assert(isBlocked(l, "bad"), qt.IsFalse)
	c.Assert(unsavedRecords(l), qt.DeepEquals, lifted)
}

// TestSuspicionOutlivesTheEntriesThatKnowIt guards against crashes that are counted anew
// after all entries have restarted, and against a block of other parts because of those that
// only the record tells of.
func TestSuspicionOutlivesTheEntriesThatKnowIt(t *testing.T) {
	c := qt.New(t)
	l := newList()
	c.Assert(record(l, crashAt(1, 0, "first", "bad")), qt.HasLen, 0)
	c.Assert(unsavedRecords(l), qt.HasLen, 0)
	c.Assert(record(l, crashAt(2, 1000, "bad", "x"), crashAt(3, 2000, "bad", "x")), qt.HasLen, 0)
	l.RecordResponse(model, 1, []string{"x"}, at(2500))
	suspicion := unsavedRecords(l)
	c.Assert(suspicion, qt.DeepEquals, []blocklist.Record{{Part: badPart, Version: 2, Suspected: true, Crashes: 3}})
	c.Assert(isBlocked(l, "bad"), qt.IsFalse)

	restarted := newList()
	c.Assert(restarted.SetStored(stored(suspicion...), at(5000)), qt.DeepEquals, suspicion)
	c.Assert(record(restarted, crashAt(3, 5050, "bad")), qt.HasLen, 0, qt.Commentf("it may be one of those"))
	c.Assert(record(restarted, crashAt(4, 6000, "bad", "first")), qt.DeepEquals, []string{"bad"})

	cleared := newList()
	cleared.SetStored(stored(suspicion...), at(5000))
	cleared.RecordResponse(model, 1, []string{"bad"}, at(5500))
	c.Assert(unsavedRecords(cleared), qt.DeepEquals, []blocklist.Record{{Part: badPart, Version: 3, Lifted: true, Crashes: 3}})
	c.Assert(record(cleared, crashAt(4, 6000, "bad")), qt.HasLen, 0)
}

// TestTrials guards against blocks that never end, against more than two trials of a part
// that goes on crashing instances, and against trials of several entries at once.
func TestTrials(t *testing.T) {
	c := qt.New(t)
	l, blocked := blockedList()
	minutes := func(count int) time.Time { return epoch.Add(time.Duration(count) * time.Minute) }
	_, due := l.TrialDue(badPart, minutes(30))
	c.Assert(due, qt.IsFalse, qt.Commentf("the store does not have the record"))
	l.SetStored(stored(blocked), at(1000))
	_, due = l.TrialDue(badPart, minutes(9))
	c.Assert(due, qt.IsFalse)
	trial, due := l.TrialDue(badPart, minutes(11))
	c.Assert(due, qt.IsTrue)
	c.Assert(l.UseTrial(badPart, minutes(11)), qt.IsFalse, qt.Commentf("it is not entered in the store yet"))
	l.GrantTrial(trial, minutes(11))
	c.Assert(l.UseTrial(badPart, minutes(11)), qt.IsTrue)
	c.Assert(l.UseTrial(badPart, minutes(11)), qt.IsFalse)
	c.Assert(isBlocked(l, "bad"), qt.IsTrue)
	c.Assert(record(l, crashAt(20, 700_000, "bad")), qt.HasLen, 0)

	other := blocklist.New()
	other.SetStored(stored(trial), minutes(11))
	_, due = other.TrialDue(badPart, minutes(60))
	c.Assert(due, qt.IsFalse)
	trial, due = other.TrialDue(badPart, minutes(72))
	c.Assert(due, qt.IsTrue)
	c.Assert(l.Adopt(trial, minutes(72)), qt.IsTrue)
	l.SetStored(stored(trial), minutes(72))
	_, due = l.TrialDue(badPart, minutes(100_000))
	c.Assert(due, qt.IsFalse)
}

// TestRecordsAreBounded covers more parts than are kept: those that are not blocked go
// first.
func TestRecordsAreBounded(t *testing.T) {
	c := qt.New(t)
	l := blocklist.New()
	for i := range 2000 {
		l.Adopt(blocklist.Record{Part: blocklist.Part{Model: model, ID: fmt.Sprint(i)}, Version: 1, Lifted: i%2 == 0}, at(i))
	}
	c.Assert(l.Records(), qt.HasLen, 1024)
	c.Assert(isBlocked(l, "1999"), qt.IsTrue)
	c.Assert(isBlocked(l, "1001"), qt.IsTrue)
}
