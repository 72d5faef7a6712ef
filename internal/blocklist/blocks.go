package blocklist

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// suspicionTimes is the number of times at which instances must have crashed before the
	// suspicion of a part is recorded.
	suspicionTimes = 2
	// maxSuspicionRecords bounds the parts whose suspicion is recorded at the same time.
	maxSuspicionRecords = 16
	// maxBlocks bounds the parts whose records are kept.
	maxBlocks = 1024
	// trialDelay is the time from the decision to block a part until one request with it is
	// let through, and after a trial until the next one, which takes trialDelayFactor times
	// as long. A block that was not lifted by maxTrials trials ends only by an operator.
	trialDelay       = 10 * time.Minute
	trialDelayFactor = 6
	maxTrials        = 2
	// trialTimeout is how long a granted trial may wait for a request.
	trialTimeout = 10 * time.Second
)

// Record is a decision about a part as it is kept in the store. Of two records of a part
// the one with the higher version holds.
type Record struct {
	Part
	Version int64
	// Suspected says that the part is not blocked yet, Lifted that it is not any more.
	Suspected bool
	Lifted    bool
	// Crashes is the number of times at which instances have crashed, Trials the number of
	// requests that were let through since the part was blocked.
	Crashes int
	Trials  int
}

func (r Record) blocked(crashes int) Record {
	return Record{Part: r.Part, Version: r.Version + 1, Crashes: crashes}
}

func (r Record) suspected(crashes int) Record {
	return Record{Part: r.Part, Version: r.Version + 1, Crashes: crashes, Suspected: true}
}

func (r Record) lifted() Record {
	r.Version++
	r.Lifted, r.Suspected = true, false
	return r
}

func (r Record) withTrial() Record {
	r.Version++
	r.Trials++
	return r
}

// block is the record of a part as this entry knows it.
type block struct {
	record Record
	// stored is the version in the store, 0 if it has none.
	stored int64
	// learnedAt is when this entry learned of the record.
	learnedAt time.Time
	// trialUntil is the end of the time in which one request may be let through.
	trialUntil time.Time
}

// blockedRecord returns the record of a part if it is blocked.
func (l *List) blockedRecord(part Part) (Record, bool) {
	known := l.blocks[part]
	if known == nil || known.record.Lifted || known.record.Suspected {
		return Record{}, false
	}
	return known.record, true
}

// suspectedCrashTimes returns the number of times at which instances have crashed because of
// a part, as far as its record and these crashes tell. The record may be of crashes that
// this entry does not know.
func (l *List) suspectedCrashTimes(part Part, crashes []*crash) int {
	times := countIndependent(crashes)
	known := l.blocks[part]
	if known == nil || !known.record.Suspected {
		return times
	}
	// Crashes around the time of the record may be those that it is of.
	later := slices.DeleteFunc(slices.Clone(crashes), func(one *crash) bool { return one.at.Sub(known.learnedAt) < independentAfter })
	return max(times, known.record.Crashes+countIndependent(later))
}

// suspect records that a part is suspected of crashes at so many times, which starting
// entries have to know.
func (l *List) suspect(part Part, times int, now time.Time) {
	known := l.record(part)
	if times >= suspicionTimes && !(known.Suspected && known.Crashes >= times) {
		l.decide(known.suspected(times), now)
	}
}

// endSuspicion ends the suspicion of a part that a response has cleared.
func (l *List) endSuspicion(part Part, now time.Time) {
	known := l.blocks[part]
	switch {
	case known == nil || !known.record.Suspected:
	case known.stored == 0:
		delete(l.blocks, part)
	default:
		l.decide(known.record.lifted(), now)
	}
}

// record returns the record of a part, without a version if there is none.
func (l *List) record(part Part) Record {
	if known := l.blocks[part]; known != nil {
		return known.record
	}
	return Record{Part: part}
}

// decide replaces the record of a part.
func (l *List) decide(record Record, now time.Time) Record {
	l.set(record, now)
	return record
}

func (l *List) set(record Record, now time.Time) *block {
	known := l.blocks[record.Part]
	if known == nil {
		l.makeRoom()
		known = &block{}
		l.blocks[record.Part] = known
	}
	known.record, known.learnedAt, known.trialUntil = record, now, time.Time{}
	return known
}

// makeRoom removes the record that was learned first, of a part that is not blocked if
// there is one, when there are too many.
func (l *List) makeRoom() {
	if len(l.blocks) < maxBlocks {
		return
	}
	var oldest *block
	for _, known := range l.blocks {
		if oldest == nil || !known.isBlocked() && oldest.isBlocked() || known.isBlocked() == oldest.isBlocked() && known.learnedAt.Before(oldest.learnedAt) {
			oldest = known
		}
	}
	delete(l.blocks, oldest.record.Part)
}

func (b *block) isBlocked() bool { return !b.record.Lifted && !b.record.Suspected }

// Blocked returns the first blocked one of the shared parts of a request.
func (l *List) Blocked(model string, parts []string) (Part, bool) {
	if len(l.blocks) == 0 {
		return Part{}, false
	}
	for _, id := range parts {
		part := Part{Model: model, ID: id}
		if _, blocked := l.blockedRecord(part); blocked {
			return part, true
		}
	}
	return Part{}, false
}

// Adopt takes over the decision of another entry if it is later than the known one, and
// reports whether it was.
func (l *List) Adopt(record Record, now time.Time) bool {
	if record.Version <= l.record(record.Part).Version {
		return false
	}
	l.set(record, now)
	return true
}

// StoredRecord is a record as read from the store.
type StoredRecord struct {
	Record
	// Lost says that a restore of the store has lost the record.
	Lost bool
}

// SetStored applies the records in the store. Records that it does not have any more are
// kept, and have to be written again. It returns the records that are news.
func (l *List) SetStored(records []StoredRecord, now time.Time) (news []Record) {
	stored := map[Part]bool{}
	for _, read := range records {
		known := l.blocks[read.Part]
		if known == nil || read.Version > known.record.Version || read.Version == known.record.Version && read.Record != known.record {
			known = l.set(read.Record, now)
			news = append(news, read.Record)
		}
		if !read.Lost {
			known.stored = read.Version
			stored[read.Part] = true
		}
	}
	for part, known := range l.blocks {
		if !stored[part] {
			known.stored = 0
		}
	}
	return news
}

// UnsavedRecord is a record that the store lacks.
type UnsavedRecord struct {
	Record
	// LearnedAt is when this entry learned of the record.
	LearnedAt time.Time
}

// Unsaved returns up to limit records that the store lacks, the oldest first.
func (l *List) Unsaved(limit int) []UnsavedRecord {
	var unsaved []UnsavedRecord
	for _, known := range l.blocks {
		if known.record.Version > known.stored {
			unsaved = append(unsaved, UnsavedRecord{Record: known.record, LearnedAt: known.learnedAt})
		}
	}
	slices.SortFunc(unsaved, func(a, b UnsavedRecord) int {
		return cmp.Or(a.LearnedAt.Compare(b.LearnedAt), strings.Compare(a.Model, b.Model), strings.Compare(a.ID, b.ID))
	})
	return unsaved[:min(len(unsaved), limit)]
}

// Saved records that the store has a record.
func (l *List) Saved(record Record) {
	if known := l.blocks[record.Part]; known != nil {
		known.stored = max(known.stored, record.Version)
	}
}

// Records returns the records of all parts.
func (l *List) Records() []Record {
	var records []Record
	for _, known := range l.blocks {
		records = append(records, known.record)
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(strings.Compare(a.Model, b.Model), strings.Compare(a.ID, b.ID))
	})
	return records
}

// TrialDue returns the record with which a trial of a blocked part has to be entered in
// the store, if one is due. Only the entry that has entered it may grant the trial.
func (l *List) TrialDue(part Part, now time.Time) (Record, bool) {
	record, blocked := l.blockedRecord(part)
	if !blocked || record.Trials >= maxTrials || l.blocks[part].stored < record.Version {
		return Record{}, false
	}
	delay := trialDelay
	for range record.Trials {
		delay *= trialDelayFactor
	}
	return record.withTrial(), now.Sub(l.blocks[part].learnedAt) >= delay
}

// GrantTrial lets the next request with a part through, after the record of TrialDue was
// entered in the store.
func (l *List) GrantTrial(record Record, now time.Time) {
	known := l.set(record, now)
	known.stored, known.trialUntil = record.Version, now.Add(trialTimeout)
}

// UseTrial reports whether a request with a blocked part is let through. It is true once
// for each granted trial.
func (l *List) UseTrial(part Part, now time.Time) bool {
	known := l.blocks[part]
	if known == nil || !now.Before(known.trialUntil) {
		return false
	}
	known.trialUntil = time.Time{}
	return true
}
