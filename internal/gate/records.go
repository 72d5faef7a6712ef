package gate

import (
	"time"

	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/message"
)

const (
	// recordMargin is how long past its deadline an attempt stays recorded.
	recordMargin = time.Minute
	// sweepInterval is the minimum time between two removals of expired records.
	sweepInterval = time.Second
)

// record is the state of one attempt.
type record struct {
	fate   dispatch.Fate
	answer *message.Answer
	// repeatable is set if the record is removed when the attempt ends.
	repeatable bool
	// expires is zero for an attempt with a key, whose record is kept as long as
	// the key.
	expires time.Time
}

func (r *record) refusal() message.Refusal {
	if r.fate == dispatch.FateNeverStarted {
		return message.RefusalBarred
	}
	return message.RefusalDuplicate
}

// records holds the records of attempts. A record is never evicted to make room: it
// expires after its attempt's deadline, past which the gate starts nothing, and a
// new attempt is refused when there is no room. The record of a repeatable request
// is removed when the request ends, since nobody queries its status. Stored
// responses are evicted, oldest first; the records of their attempts stay.
type records struct {
	capacity  int
	keptLimit int

	all       map[string]*record
	temporary int
	swept     time.Time
	kept      []string
	keptBytes int
}

func newRecords(capacity, keptLimit int) *records {
	return &records{capacity: capacity, keptLimit: keptLimit, all: map[string]*record{}}
}

func (r *records) get(attempt string) *record {
	return r.all[attempt]
}

// addRunning records the start of an attempt; it returns false when there is no
// room.
func (r *records) addRunning(o order, now time.Time) bool {
	started := &record{fate: dispatch.FateRunning, repeatable: o.repeatable, expires: o.deadline.Add(recordMargin)}
	return r.add(o.attempt, started, now)
}

// bar records that an attempt must not start; it returns false when there is
// no room.
func (r *records) bar(attempt string, deadline, now time.Time) bool {
	return r.add(attempt, &record{fate: dispatch.FateNeverStarted, expires: deadline.Add(recordMargin)}, now)
}

func (r *records) add(attempt string, added *record, now time.Time) bool {
	r.sweep(now)
	if r.temporary >= r.capacity {
		return false
	}
	r.all[attempt] = added
	r.temporary++
	return true
}

// addKeyed records the start of an attempt with a key.
func (r *records) addKeyed(attempt string) {
	r.all[attempt] = &record{fate: dispatch.FateRunning}
}

// unstart bars an attempt that was recorded as running.
func (r *records) unstart(attempt string, deadline time.Time) {
	known := r.all[attempt]
	if known == nil {
		return
	}
	if known.expires.IsZero() {
		known.expires = deadline.Add(recordMargin)
		r.temporary++
	}
	known.fate = dispatch.FateNeverStarted
}

// forget removes the attempts of evicted keys.
func (r *records) forget(attempts []string) {
	for _, attempt := range attempts {
		if known := r.all[attempt]; known != nil {
			r.dropAnswer(known)
			delete(r.all, attempt)
		}
	}
}

func (r *records) finish(attempt string, answer *message.Answer) {
	known := r.all[attempt]
	if known == nil {
		return
	}
	if known.repeatable {
		delete(r.all, attempt)
		r.temporary--
		return
	}
	known.fate = dispatch.FateUnknown
	if answer == nil {
		return
	}
	known.fate, known.answer = dispatch.FateDone, answer
	r.kept = append(r.kept, attempt)
	r.keptBytes += len(answer.Body)
	for r.keptBytes > r.keptLimit && len(r.kept) > 0 {
		if oldest := r.all[r.kept[0]]; oldest != nil {
			r.dropAnswer(oldest)
		}
		r.kept = r.kept[1:]
	}
}

func (r *records) dropAnswer(known *record) {
	if known.answer != nil {
		r.keptBytes -= len(known.answer.Body)
		known.answer = nil
	}
}

func (r *records) sweep(now time.Time) {
	if now.Sub(r.swept) < sweepInterval && r.temporary < r.capacity {
		return
	}
	r.swept = now
	for attempt, known := range r.all {
		if known.expires.IsZero() || known.fate == dispatch.FateRunning || now.Before(known.expires) {
			continue
		}
		r.dropAnswer(known)
		delete(r.all, attempt)
		r.temporary--
	}
	r.kept = r.withAnswer()
}

func (r *records) withAnswer() []string {
	var still []string
	for _, attempt := range r.kept {
		if known := r.all[attempt]; known != nil && known.answer != nil {
			still = append(still, attempt)
		}
	}
	return still
}
