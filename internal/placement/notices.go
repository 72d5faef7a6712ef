package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// maxNotices bounds the starts of instances whose notices are kept.
	maxNotices = 1024
	// noticeRetention is how long a notice is kept after the list has last named its
	// start, or after it was learned: list entries that disappear may come back.
	noticeRetention = 10 * time.Minute
	// rampPeriod is the time after the end of a wait in which the number of this entry's
	// requests in progress at the instance may grow from one to the request limit.
	rampPeriod = time.Second
)

// InstanceStart identifies one start of an instance.
type InstanceStart struct {
	ID string
	// Start is the start time in Unix milliseconds.
	Start int64
}

// notice is what a start of an instance has said about itself.
type notice struct {
	leaving bool
	// learnedAt is when this entry learned that the instance leaves.
	learnedAt time.Time
	// waitUntil is the end of the time in which the instance wants no requests from this
	// entry.
	waitUntil time.Time
	// neededAt is when the notice was last changed, or its start last in the list.
	neededAt time.Time
}

// start identifies the start of the instance.
func (i *instance) start() InstanceStart { return InstanceStart{ID: i.ID, Start: i.Start} }

// notice returns the notice of a start of an instance, to be changed.
func (f *Fleet) notice(start InstanceStart, now time.Time) *notice {
	known := f.notices[start]
	if known == nil {
		f.pruneNotices(now)
		known = &notice{}
		f.notices[start] = known
		if inst := f.instances[start.ID]; inst != nil && inst.Start == start.Start {
			inst.notice = known
		}
	}
	known.neededAt = now
	return known
}

// pruneNotices makes room for one more notice: it removes those that are no longer needed
// and, if there are still too many, the one that was needed last the longest ago.
func (f *Fleet) pruneNotices(now time.Time) {
	f.extendNotices(now)
	var oldest InstanceStart
	var oldestAt time.Time
	for start, known := range f.notices {
		if now.Sub(known.neededAt) > noticeRetention {
			delete(f.notices, start)
			continue
		}
		if oldestAt.IsZero() || known.neededAt.Before(oldestAt) {
			oldest, oldestAt = start, known.neededAt
		}
	}
	if len(f.notices) >= maxNotices {
		delete(f.notices, oldest)
	}
}

// extendNotices records that the notices of the listed starts are needed.
func (f *Fleet) extendNotices(now time.Time) {
	for start, known := range f.notices {
		if inst := f.instances[start.ID]; inst != nil && inst.Start == start.Start {
			known.neededAt = now
		}
	}
}

// Responder returns the start of the instance that responded to an attempt: the chosen
// one unless the response names another. It returns false if that one is not listed at
// the address.
func (f *Fleet) Responder(choice Choice, id string) (InstanceStart, bool) {
	if id == "" || id == choice.Backend.ID {
		return InstanceStart{ID: choice.Backend.ID, Start: choice.Backend.Start}, true
	}
	inst := f.instances[id]
	if inst == nil || inst.Address != choice.Backend.Address {
		return InstanceStart{}, false
	}
	return inst.start(), true
}

// InstanceAt returns the instance at host if it is the given start.
func (f *Fleet) InstanceAt(host string, start int64) (InstanceStart, bool) {
	if inst := f.byHost[host]; inst != nil && inst.Start == start {
		return inst.start(), true
	}
	return InstanceStart{}, false
}

// MarkLeaving records that a start of an instance accepts no new requests, whatever the
// list says. It returns false if that was known.
func (f *Fleet) MarkLeaving(start InstanceStart, now time.Time) bool {
	if known := f.notices[start]; known != nil && known.leaving {
		return false
	}
	known := f.notice(start, now)
	known.leaving, known.learnedAt = true, now
	return true
}

// saysLeaving reports whether this start of the instance has said that it leaves.
func (i *instance) saysLeaving() bool { return i.notice != nil && i.notice.leaving }

// EndsUnexpectedly reports whether the chosen start of an instance is in use, so that nobody
// expects it to end.
func (f *Fleet) EndsUnexpectedly(choice Choice) bool {
	inst := f.instances[choice.Backend.ID]
	return inst != nil && inst.Start == choice.Backend.Start && !inst.Leaving && !inst.saysLeaving() && !inst.switching() && !inst.addressReused
}

// HasEnded reports whether the chosen start of an instance has certainly ended: a later one
// has its ID, or another instance its address. One that is not listed any more may go on for
// a while.
func (f *Fleet) HasEnded(choice Choice) bool {
	inst := f.instances[choice.Backend.ID]
	return inst != nil && (inst.Start > choice.Backend.Start || inst.addressReused)
}

// HasSwitched reports whether the chosen start of an instance is switching from the version of its
// weights at the time of the choice, or has done so.
func (f *Fleet) HasSwitched(choice Choice) bool {
	inst := f.instances[choice.Backend.ID]
	return inst != nil && inst.Start == choice.Backend.Start && inst.lastReport.EngineStart == inst.Start &&
		(inst.lastReport.Switching || inst.lastReport.LoadedVersion > choice.Version)
}

// RecentlyLeaving returns the starts that were marked as leaving at the given time or
// later, the newest first, at most limit.
func (f *Fleet) RecentlyLeaving(since time.Time, limit int) []InstanceStart {
	var recent []InstanceStart
	for start, known := range f.notices {
		if known.leaving && !known.learnedAt.Before(since) {
			recent = append(recent, start)
		}
	}
	slices.SortFunc(recent, func(a, b InstanceStart) int {
		if order := f.notices[b].learnedAt.Compare(f.notices[a].learnedAt); order != 0 {
			return order
		}
		return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.Start, b.Start))
	})
	return recent[:min(len(recent), limit)]
}

// RecordWait records that a start of an instance wants no requests from this entry until
// the given time. An earlier end is ignored, and false is returned: the later one was
// asked for, too. It does not count as a failure.
func (f *Fleet) RecordWait(start InstanceStart, until, now time.Time) bool {
	if known := f.notices[start]; known != nil && !until.After(known.waitUntil) || !until.After(now) {
		return false
	}
	f.notice(start, now).waitUntil = until
	f.waitsEnd = later(f.waitsEnd, until)
	return true
}

// waitUntil returns the end of the last time in which the instance wanted no requests.
func (i *instance) waitUntil() time.Time {
	if i.notice == nil {
		return time.Time{}
	}
	return i.notice.waitUntil
}

// isWaiting reports whether the instance wants no requests now.
func (i *instance) isWaiting(now time.Time) bool { return now.Before(i.waitUntil()) }

// rampLimit returns how many requests this entry may have in progress at an instance whose
// wait, or the evacuation of whose zone, has ended a short time ago, so that it does not get all queued requests at once. It
// returns false when there is no such limit.
func (f *Fleet) rampLimit(inst *instance, now time.Time) (int, bool) {
	ended := later(inst.waitUntil(), f.evacuationEndedAt(inst))
	if ended.IsZero() || now.Before(ended) || now.Sub(ended) >= rampPeriod {
		return 0, false
	}
	return 1 + int(float64(f.limit(inst)-1)*float64(now.Sub(ended))/float64(rampPeriod)), true
}

// NoticeCounts returns the number of listed instances that have said that they leave, and
// of those that want no requests now.
func (f *Fleet) NoticeCounts(now time.Time) (leaving, waiting int) {
	for start, known := range f.notices {
		if inst := f.instances[start.ID]; inst == nil || inst.Start != start.Start {
			continue
		}
		if known.leaving {
			leaving++
		} else if now.Before(known.waitUntil) {
			waiting++
		}
	}
	return leaving, waiting
}

// HasWaiting reports whether any instance may want no requests now. It is cheap.
func (f *Fleet) HasWaiting(now time.Time) bool { return now.Before(f.waitsEnd) }

// PoolWait says when a request can be taken that no instance may take now.
type PoolWait struct {
	// EndsAt is when the first instance may get requests again.
	EndsAt time.Time
	// StartsAt is the same for this request, without the instances that it has tried;
	// zero if it has tried all.
	StartsAt time.Time
}

// PoolWait returns when a request can be taken. It returns false unless instances have
// asked to wait and no other one may take the request, or may do so at an unknown time.
func (f *Fleet) PoolWait(need Requirements, now time.Time) (PoolWait, bool) {
	var wait PoolWait
	hasWaiting := false
	for _, inst := range f.instances {
		if !f.accepts(inst, need) {
			continue
		}
		if need.Model != "" && inst.switching() {
			if !need.Tried[inst.ID] {
				return PoolWait{}, false
			}
			continue
		}
		if !inst.hasVersion(need) {
			continue
		}
		from := later(inst.usableFrom(), now)
		if !need.Tried[inst.ID] {
			if from.Equal(now) {
				return PoolWait{}, false
			}
			wait.StartsAt = earlier(wait.StartsAt, from)
		}
		wait.EndsAt = earlier(wait.EndsAt, from)
		hasWaiting = hasWaiting || inst.isWaiting(now)
	}
	return wait, hasWaiting
}

// usableFrom returns the time from which the instance may get requests, as far as its
// wait and the backoff after failures are concerned.
func (i *instance) usableFrom() time.Time { return later(i.avoidUntil, i.waitUntil()) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times; a zero time counts as unset.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
