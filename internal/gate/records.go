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
	status dispatch.AttemptStatus
	answer *message.Answer
	// repeatable is set if the record is removed when the attempt ends.
	repeatable bool
	// expires is zero for an attempt with a key, whose record is kept as long as
	// the key.
	expires time.Time
}

func (r *record) refusal() message.Refusal {
	if r.status == dispatch.AttemptNeverStarted {
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
	capacity    int
	storedLimit int

	byAttempt     map[string]*record
	expiring      int
	lastSweep     time.Time
	storedAnswers []string
	storedBytes   int
}

func newRecords(capacity, storedLimit int) *records {
	return &records{capacity: capacity, storedLimit: storedLimit, byAttempt: map[string]*record{}}
}

func (r *records) get(attempt string) *record {
	return r.byAttempt[attempt]
}

// addRunning records the start of an attempt; it returns false when there is no
// room.
func (r *records) addRunning(info attemptInfo, now time.Time) bool {
	started := &record{status: dispatch.AttemptRunning, repeatable: info.repeatable, expires: info.deadline.Add(recordMargin)}
	return r.add(info.attempt, started, now)
}

// bar records that an attempt must not start; it returns false when there is
// no room.
func (r *records) bar(attempt string, deadline, now time.Time) bool {
	return r.add(attempt, &record{status: dispatch.AttemptNeverStarted, expires: deadline.Add(recordMargin)}, now)
}

func (r *records) add(attempt string, added *record, now time.Time) bool {
	r.sweep(now)
	if r.expiring >= r.capacity {
		return false
	}
	r.byAttempt[attempt] = added
	r.expiring++
	return true
}

// addKeyed records the start of an attempt with a key.
func (r *records) addKeyed(attempt string) {
	r.byAttempt[attempt] = &record{status: dispatch.AttemptRunning}
}

// revertStart bars an attempt that was recorded as running.
func (r *records) revertStart(attempt string, deadline time.Time) {
	existing := r.byAttempt[attempt]
	if existing == nil {
		return
	}
	if existing.expires.IsZero() {
		existing.expires = deadline.Add(recordMargin)
		r.expiring++
	}
	existing.status = dispatch.AttemptNeverStarted
}

// remove removes the attempts of evicted keys.
func (r *records) remove(attempts []string) {
	for _, attempt := range attempts {
		if existing := r.byAttempt[attempt]; existing != nil {
			r.dropAnswer(existing)
			delete(r.byAttempt, attempt)
		}
	}
}

func (r *records) finish(attempt string, answer *message.Answer) {
	existing := r.byAttempt[attempt]
	if existing == nil {
		return
	}
	if existing.repeatable {
		delete(r.byAttempt, attempt)
		r.expiring--
		return
	}
	existing.status = dispatch.AttemptUnknown
	if answer == nil {
		return
	}
	existing.status, existing.answer = dispatch.AttemptDone, answer
	r.storedAnswers = append(r.storedAnswers, attempt)
	r.storedBytes += len(answer.Body)
	for r.storedBytes > r.storedLimit && len(r.storedAnswers) > 0 {
		if oldest := r.byAttempt[r.storedAnswers[0]]; oldest != nil {
			r.dropAnswer(oldest)
		}
		r.storedAnswers = r.storedAnswers[1:]
	}
}

func (r *records) dropAnswer(existing *record) {
	if existing.answer != nil {
		r.storedBytes -= len(existing.answer.Body)
		existing.answer = nil
	}
}

func (r *records) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < sweepInterval && r.expiring < r.capacity {
		return
	}
	r.lastSweep = now
	for attempt, existing := range r.byAttempt {
		if existing.expires.IsZero() || existing.status == dispatch.AttemptRunning || now.Before(existing.expires) {
			continue
		}
		r.dropAnswer(existing)
		delete(r.byAttempt, attempt)
		r.expiring--
	}
	r.storedAnswers = r.withAnswer()
}

func (r *records) withAnswer() []string {
	var remaining []string
	for _, attempt := range r.storedAnswers {
		if existing := r.byAttempt[attempt]; existing != nil && existing.answer != nil {
			remaining = append(remaining, attempt)
		}
	}
	return remaining
}
