package ownership

import (
	"slices"
	"time"
)

// ID identifies a key. Equal keys of different pools or customers are distinct.
type ID struct {
	Pool     string
	Customer string
	Key      string
}

// Submission is one arrival of a key at its owner.
type Submission struct {
	ID
	Attempt string
	// Digest identifies the request's method, path and body.
	Digest uint64
	// Issued is the key's issue time in Unix milliseconds. Stamped reports whether
	// the key carried none and the entry set the time by its own clock.
	Issued  int64
	Stamped bool
	// Submitted is when an entry received the submission, in Unix milliseconds.
	Submitted int64
}

// Verdict is the owner's decision on a submission.
type Verdict string

// The verdicts.
const (
	// Run means that the key was recorded and must be run now.
	Run Verdict = "run"
	// Duplicate means that the key is already recorded for another attempt.
	Duplicate Verdict = "duplicate_key"
	// Mismatch means that the key was used for a different request.
	Mismatch Verdict = "key_reused"
	// Barred means that the key was reported as not run after an entry had received
	// this submission.
	Barred Verdict = "key_barred"
	// NotOwner means that this instance may not run the key.
	NotOwner Verdict = "not_owner"
	// IssuedBefore means that the key was issued before this owner's period, or no
	// later than a key whose record was evicted.
	IssuedBefore Verdict = "key_issued_before"
	// Unconfirmed means that the key was issued after the time that the last proof of
	// ownership covers.
	Unconfirmed Verdict = "ownership_unconfirmed"
	// TableFull means that there is no room to record another key.
	TableFull Verdict = "keys_full"
	// NotRun is the answer to a query: the key was never run and is now barred.
	NotRun Verdict = "free"
)

type record struct {
	attempt     string
	digest      uint64
	issued      int64
	barredUntil int64
}

// KeyTable records the keys that one instance has run. It is not safe for concurrent
// use.
type KeyTable struct {
	instance    string
	incarnation string
	capacity    int

	owners        *Map
	confirmed     int64
	released      bool
	highestIssued int64
	records       map[ID]*record
	evictedUpTo   [SlotCount]int64
	// owned marks the slots that this incarnation has ever owned, and since holds
	// their Owner.Since.
	owned [SlotCount]bool
	since [SlotCount]int64
}

// NewKeyTable returns an empty table for one incarnation of an instance.
func NewKeyTable(instance, incarnation string, capacity int) *KeyTable {
	return &KeyTable{instance: instance, incarnation: incarnation, capacity: capacity, records: map[ID]*record{}}
}

// Update replaces the map with a newer one; an older or equal one is ignored.
func (t *KeyTable) Update(owners *Map) {
	if owners == nil || len(owners.Slots) != SlotCount || owners.Revision <= t.Revision() {
		return
	}
	if t.owners != nil && t.owners.Pool != owners.Pool {
		t.owned = [SlotCount]bool{}
	}
	t.owners = owners
	for slot, owner := range owners.Slots {
		if t.owns(owner) {
			t.owned[slot], t.since[slot] = true, owner.Since
		}
	}
}

// OwnsSlots reports whether the current map assigns any slot to this incarnation.
func (t *KeyTable) OwnsSlots() bool {
	return t.owners != nil && slices.ContainsFunc(t.owners.Slots, t.owns)
}

func (t *KeyTable) hasPool(pool string) bool {
	return t.owners != nil && t.owners.Pool == pool
}

func (t *KeyTable) owns(owner Owner) bool {
	return owner.Instance == t.instance && owner.Incarnation == t.incarnation
}

// Revision returns the revision of the current map, or 0 without one.
func (t *KeyTable) Revision() int64 {
	if t.owners == nil {
		return 0
	}
	return t.owners.Revision
}

// Owners returns the current map, or nil.
func (t *KeyTable) Owners() *Map {
	return t.owners
}

// Confirm records that the platform listed this instance at the given time.
func (t *KeyTable) Confirm(at time.Time) {
	t.confirmed = max(t.confirmed, at.UnixMilli())
}

// Release permanently stops the instance from running keys.
func (t *KeyTable) Release() {
	t.released = true
}

// Released reports whether Release was called.
func (t *KeyTable) Released() bool {
	return t.released
}

// HighestIssued returns the latest issue time among the recorded keys.
func (t *KeyTable) HighestIssued() int64 {
	return t.highestIssued
}

// Begin decides on a submission. With Run the key has been recorded, and evicted holds
// the attempts whose records were removed to make room. With Duplicate, holder is the
// attempt for which the key is recorded.
func (t *KeyTable) Begin(s Submission, now time.Time) (verdict Verdict, holder string, evicted []string) {
	if verdict, holder, found := t.CheckRecorded(s); found {
		return verdict, holder, nil
	}
	_, found := t.records[s.ID]
	if verdict := t.mayRun(s); verdict != Run {
		return verdict, "", nil
	}
	evicted, room := t.evictExpired(now)
	if !room && !found {
		return TableFull, "", nil
	}
	t.records[s.ID] = &record{attempt: s.Attempt, digest: s.Digest, issued: s.Issued}
	t.highestIssued = max(t.highestIssued, s.Issued)
	return Run, "", evicted
}

// CheckRecorded decides on a submission whose key is recorded and must not run. found
// is false when the records do not decide.
func (t *KeyTable) CheckRecorded(s Submission) (verdict Verdict, holder string, found bool) {
	existing := t.records[s.ID]
	switch {
	case existing == nil:
		return "", "", false
	case existing.attempt != "" && existing.digest != s.Digest:
		return Mismatch, existing.attempt, true
	case existing.attempt != "":
		return Duplicate, existing.attempt, true
	case s.Submitted <= existing.barredUntil:
		return Barred, "", true
	}
	return "", "", false
}

// QueryAndBar returns the state of a key. A key that was never run is barred:
// submissions that an entry received up to BarDuration after now are refused.
func (t *KeyTable) QueryAndBar(s Submission, now time.Time) (verdict Verdict, holder string, evicted []string) {
	existing, found := t.records[s.ID]
	if found && existing.attempt != "" && existing.digest != s.Digest {
		return Mismatch, existing.attempt, nil
	}
	if found && existing.attempt != "" {
		return Duplicate, existing.attempt, nil
	}
	until := now.Add(BarDuration).UnixMilli()
	if found {
		existing.barredUntil = max(existing.barredUntil, until)
		return NotRun, "", nil
	}
	if verdict := t.mayAnswer(s); verdict != Run {
		return verdict, "", nil
	}
	evicted, room := t.evictExpired(now)
	if !room {
		return TableFull, "", nil
	}
	t.records[s.ID] = &record{issued: s.Issued, barredUntil: until}
	t.highestIssued = max(t.highestIssued, s.Issued)
	return NotRun, "", evicted
}

// mayRun decides on a key without a record.
func (t *KeyTable) mayRun(s Submission) Verdict {
	if t.released || !t.hasPool(s.Pool) {
		return NotOwner
	}
	slot := SlotOf(s.Customer, s.Key)
	if !t.owns(t.owners.Slots[slot]) {
		return NotOwner
	}
	return t.checkIssueTime(s, slot)
}

// mayAnswer returns Run when the records of this instance alone decide whether a key
// was run. An owner that has released its slots still has the records of the keys
// issued in its own period, and its successor runs none of these.
func (t *KeyTable) mayAnswer(s Submission) Verdict {
	if !t.released {
		return t.mayRun(s)
	}
	slot := SlotOf(s.Customer, s.Key)
	if !t.hasPool(s.Pool) || !t.owned[slot] || s.Stamped || s.Issued > t.highestIssued {
		return NotOwner
	}
	return t.checkIssueTime(s, slot)
}

// checkIssueTime returns Run when the key was issued within the period of this owner.
func (t *KeyTable) checkIssueTime(s Submission, slot int) Verdict {
	since := t.since[slot]
	if s.Stamped && since > 0 {
		since += KeyRetention.Milliseconds()
	}
	if s.Issued < since || s.Issued <= t.evictedUpTo[slot] {
		return IssuedBefore
	}
	if s.Issued > t.confirmed+GracePeriod.Milliseconds() {
		return Unconfirmed
	}
	return Run
}

// RevertBegin clears the record of an attempt that is known not to have started.
func (t *KeyTable) RevertBegin(id ID, attempt string) {
	if existing := t.records[id]; existing != nil && existing.attempt == attempt {
		existing.attempt = ""
	}
}

// evictExpired removes the records of keys issued more than KeyRetention ago when the
// table is at its capacity. Keys issued up to the newest one removed are refused
// from then on, because they may have been run.
func (t *KeyTable) evictExpired(now time.Time) (evicted []string, room bool) {
	if len(t.records) < t.capacity {
		return nil, true
	}
	limit := now.Add(-KeyRetention).UnixMilli()
	for id, existing := range t.records {
		if existing.issued >= limit {
			continue
		}
		slot := SlotOf(id.Customer, id.Key)
		t.evictedUpTo[slot] = max(t.evictedUpTo[slot], existing.issued)
		if existing.attempt != "" {
			evicted = append(evicted, existing.attempt)
		}
		delete(t.records, id)
	}
	slices.Sort(evicted)
	return evicted, len(t.records) < t.capacity
}
