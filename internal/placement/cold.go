package placement

import (
	"maps"
	"slices"
	"time"

	"plantainrelay/internal/member"
	"plantainrelay/internal/replica"
)

const (
	// sharerMemory is how long an entry that is not heard any more keeps its share of the
	// requests to cold instances: it may be partitioned from this entry and still send.
	sharerMemory = 5 * time.Minute
	// sharingDelay is the time after the start of this entry in which it sends nothing to
	// cold instances, since it does not know the entries that it shares them with: ten
	// heartbeats, each of which names up to 16 entries.
	sharingDelay = 2 * time.Second
	// maxTickInterval is the time between two calls of RecordEntries above which this
	// process was paused.
	maxTickInterval = time.Second
	// maxListAge is how old a list entry can be when it is read. For that time after a pause
	// the list does not tell which instances have become cold during the pause.
	maxListAge = 2 * time.Second
	// sharePeriod is the time in which an entry sends its share of the requests of one
	// second. The excess over a second is more than the variation of the delay between this
	// entry and an instance, so that no second at the instance has more.
	sharePeriod = 1020 * time.Millisecond
	// coldStateRetention is how long the state of a start is kept after the list has last
	// named it: list entries that disappear in an outage come back.
	coldStateRetention = 10 * time.Minute
)

// ColdLimit is the limit on requests to cold instances of a pool.
type ColdLimit struct {
	// Time is how long an instance is cold after its start.
	Time time.Duration
	// RequestsPerSecond is what a cold instance accepts from all entries.
	RequestsPerSecond float64
}

func (l ColdLimit) isSet() bool { return l.Time > 0 && l.RequestsPerSecond > 0 }

// ColdBound is what a cold instance must not get more than in one second: the requests that it
// accepts times Overshoot, plus Slack. The zero value means that the bound is unknown.
type ColdBound struct{ Overshoot, Slack float64 }

// coldState is what is known of one start of an instance, and this entry's use of it.
type coldState struct {
	// until is the end of the time in which it is cold.
	until time.Time
	// revision is that of the last list entry that was read.
	revision replica.Revision
	neededAt time.Time
	// isReported is set while the instance is reported to be cold.
	isReported bool
	// share is the number of requests that this entry may send in each period, and rank its rank
	// among the sharers, computed for a revision of them and a number of requests per period.
	share, rank, sharersRevision, perPeriod int
	// nextAt is when this entry may send the next request.
	nextAt time.Time
	// lastTicket is the last request sent, and beforeLast the value of nextAt before it.
	lastTicket uint64
	beforeLast time.Time
}

// sharers are the entries among which the requests to cold instances are divided: those that are
// live, or may be. Each entry that knows all live ones, and possibly others, sends at most its
// share: further names only make a share smaller.
type sharers struct {
	self string
	// heard is when each entry was last heard, by running, the time for which this process
	// has run without its pauses: others were not heard during a pause.
	heard   map[string]time.Duration
	running time.Duration
	// leaving holds the entries that have said that they are about to end.
	leaving  map[string]bool
	hosts    []string
	revision int
	// lastAt is the time of the last update, readyAt the time from which the entries are
	// known.
	lastAt, readyAt time.Time
}

// ExpectEntries names entries that may be live although they have not been heard.
func (f *Fleet) ExpectEntries(hosts []string) {
	for _, host := range hosts {
		f.sharers.heard[host] = 0
	}
}

// RecordEntries records the entries that are live, self among them, and those of them that are
// about to end. It has to be called regularly, several times a second.
func (f *Fleet) RecordEntries(self string, live, leaving []string, now time.Time) {
	f.detectPause(now)
	s := &f.sharers
	if s.lastAt.IsZero() {
		s.readyAt = now.Add(sharingDelay)
	} else {
		s.running += min(now.Sub(s.lastAt), maxTickInterval)
	}
	s.self, s.lastAt = self, now
	isLive := map[string]bool{self: true}
	for _, host := range live {
		isLive[host], s.heard[host] = true, s.running
		delete(s.leaving, host)
	}
	for _, host := range leaving {
		s.leaving[host] = true
	}
	for host, at := range s.heard {
		if !isLive[host] && (s.leaving[host] || s.running-at > sharerMemory) {
			delete(s.heard, host)
			delete(s.leaving, host)
		}
	}
	s.heard[self] = s.running
	if len(s.hosts) == len(s.heard) && !slices.ContainsFunc(s.hosts, func(host string) bool { _, found := s.heard[host]; return !found }) {
		return
	}
	s.hosts = slices.Sorted(maps.Keys(s.heard))
	s.revision++
}

// detectPause makes all instances that may be cold count as cold after a pause of this process,
// until the list is certainly newer than the pause.
func (f *Fleet) detectPause(now time.Time) {
	if last := f.sharers.lastAt; !last.IsZero() && now.Sub(last) > maxTickInterval {
		f.coldUnknownUntil = later(f.coldUnknownUntil, now.Add(maxListAge))
	}
}

// MarkCold makes the instances of a zone count as cold until the given time, or until their list
// entries have changed and say that they are not.
func (f *Fleet) MarkCold(zone string, until, now time.Time) {
	f.coldZones[zone] = until
	for _, inst := range f.instances {
		if inst.AvailabilityZone == zone && inst.cold != nil {
			f.extendCold(inst, until, now)
		}
	}
}

// RecordCold records that a start of an instance has said that it is cold for a time.
func (f *Fleet) RecordCold(start InstanceStart, left time.Duration, now time.Time) {
	if inst := f.instances[start.ID]; inst != nil && inst.Start == start.Start && inst.cold != nil {
		f.extendCold(inst, now.Add(left), now)
	}
}

// coldLimit returns the limit on requests to cold instances of a pool, and whether it has one.
func (f *Fleet) coldLimit(pool string) (ColdLimit, bool) {
	if f.config.ColdLimit == nil {
		return ColdLimit{}, false
	}
	limit := f.config.ColdLimit(pool)
	if bound := f.config.ColdBound; bound.Overshoot > 0 {
		limit.RequestsPerSecond = min(limit.RequestsPerSecond, limit.RequestsPerSecond*bound.Overshoot+bound.Slack)
	}
	return limit, limit.isSet()
}

// updateCold applies the list entry of an instance. isNew says that the start was not known before
// although there had been a list.
func (f *Fleet) updateCold(inst *instance, isNew bool, now time.Time) {
	limit, hasLimit := f.coldLimit(inst.Pool)
	if !hasLimit {
		inst.cold = nil
		return
	}
	state, isFirst := f.coldStates[inst.start()], false
	if state == nil {
		state, isFirst = &coldState{}, true
		f.coldStates[inst.start()] = state
	}
	inst.cold, state.neededAt = state, now
	if isFirst {
		if isNew {
			f.extendCold(inst, now.Add(limit.Time), now)
		}
		f.extendCold(inst, f.coldZones[inst.AvailabilityZone], now)
	}
	if isFirst || inst.ListRevision != state.revision {
		f.applyColdLeft(inst, isFirst, now)
	}
}

// applyColdLeft applies what a new list entry says. The first entry of a start is not believed to
// say that it is not cold, since it may have been written before the start became cold; neither is
// an entry of a restored list.
func (f *Fleet) applyColdLeft(inst *instance, isFirst bool, now time.Time) {
	state := inst.cold
	isRestored := inst.ListRevision.Era != state.revision.Era
	state.revision = inst.ListRevision
	switch {
	case !inst.ColdReported:
	case inst.ColdLeft > 0 && (isFirst || isRestored):
		f.extendCold(inst, now.Add(inst.ColdLeft), now)
	case inst.ColdLeft > 0:
		if !now.Before(state.until) {
			f.beginCold(inst, now)
		}
		state.until = now.Add(inst.ColdLeft)
	case !isFirst && !isRestored:
		state.until = time.Time{}
	}
}

// extendCold makes an instance count as cold until the given time at least.
func (f *Fleet) extendCold(inst *instance, until, now time.Time) {
	if !until.After(now) {
		return
	}
	if !now.Before(inst.cold.until) {
		f.beginCold(inst, now)
	}
	inst.cold.until = later(inst.cold.until, until)
}

// beginCold spreads the first requests of the entries, which learn at the same time that an
// instance is cold, over the time between two requests of one entry.
func (f *Fleet) beginCold(inst *instance, now time.Time) {
	state := inst.cold
	limit, _ := f.coldLimit(inst.Pool)
	f.updateShare(inst, limit, now)
	if state.share > 0 {
		senders := min(len(f.sharers.hosts), limit.perPeriod())
		offset := limit.period() / time.Duration(state.share) * time.Duration(state.rank) / time.Duration(senders)
		state.nextAt = later(state.nextAt, now.Add(offset))
	}
}

// perPeriod is the number of requests that all entries send in one period.
func (l ColdLimit) perPeriod() int { return max(int(l.RequestsPerSecond), 1) }

// period is the time in which they are sent: longer than a second if less than one request per
// second is accepted.
func (l ColdLimit) period() time.Duration {
	return time.Duration(float64(sharePeriod) * max(1, 1/l.RequestsPerSecond))
}

// updateShare computes the share of this entry if the sharers have changed. A share that has become
// larger, because another entry has gone, is used only after that entry's last requests.
func (f *Fleet) updateShare(inst *instance, limit ColdLimit, now time.Time) {
	state, sharers := inst.cold, &f.sharers
	if state.sharersRevision == sharers.revision && state.perPeriod == limit.perPeriod() {
		return
	}
	before, isFirst := state.share, state.sharersRevision == 0
	state.sharersRevision, state.perPeriod = sharers.revision, limit.perPeriod()
	state.rank = slices.Index(member.Rank(inst.ID, sharers.hosts), sharers.self)
	state.share = 0
	if count := len(sharers.hosts); state.rank >= 0 && state.rank < limit.perPeriod() {
		state.share = (limit.perPeriod() - state.rank + count - 1) / count
	}
	if state.share > before && !isFirst {
		state.nextAt = later(state.nextAt, now.Add(limit.period()))
	}
}

// isCold reports whether an instance counts as cold.
func (f *Fleet) isCold(inst *instance, now time.Time) bool {
	if inst.cold == nil {
		return false
	}
	return now.Before(inst.cold.until) || now.Before(f.coldUnknownUntil)
}

// coldAllows reports whether this entry may send a request to the instance now, as far as the limit
// on cold instances is concerned.
func (f *Fleet) coldAllows(inst *instance, now time.Time) bool {
	f.detectPause(now)
	if !f.isCold(inst, now) {
		return true
	}
	limit, hasLimit := f.coldLimit(inst.Pool)
	if !hasLimit {
		return true
	}
	if f.sharers.lastAt.IsZero() || now.Before(f.sharers.readyAt) {
		return false
	}
	f.updateShare(inst, limit, now)
	return inst.cold.share > 0 && !now.Before(inst.cold.nextAt)
}

// coldSent counts a request that is sent to the instance. It reports whether the instance counts as
// cold.
func (f *Fleet) coldSent(inst *instance, ticket uint64, now time.Time) bool {
	limit, hasLimit := f.coldLimit(inst.Pool)
	if !hasLimit || !f.isCold(inst, now) {
		return false
	}
	state := inst.cold
	state.lastTicket, state.beforeLast = ticket, state.nextAt
	state.nextAt = now.Add(limit.period() / time.Duration(max(state.share, 1)))
	f.coldSends++
	return true
}

// coldNotSent takes back the count of a request that was not sent, if it was the last one.
func (f *Fleet) coldNotSent(choice Choice) {
	state := f.coldStates[InstanceStart{ID: choice.Backend.ID, Start: choice.Backend.Start}]
	if choice.Cold && state != nil && state.lastTicket == choice.ticket {
		state.nextAt, state.lastTicket = state.beforeLast, 0
	}
}

// coldChanges returns the instances that have become cold or have ceased to be.
func (f *Fleet) coldChanges(now time.Time) []Change {
	var changes []Change
	for id, inst := range f.instances {
		if inst.cold == nil {
			continue
		}
		isCold := now.Before(inst.cold.until)
		if isCold == inst.cold.isReported {
			continue
		}
		inst.cold.isReported = isCold
		change := Change{ID: id, Pool: inst.Pool, Kind: Warm}
		if isCold {
			change.Kind, change.ColdLeft = Cold, inst.cold.until.Sub(now)
		}
		changes = append(changes, change)
	}
	return changes
}

// pruneColdStates removes the states of starts that are no longer listed.
func (f *Fleet) pruneColdStates(now time.Time) {
	maps.DeleteFunc(f.coldStates, func(_ InstanceStart, state *coldState) bool {
		return now.Sub(state.neededAt) > coldStateRetention
	})
}

// ColdInstances returns the number of instances that count as cold.
func (f *Fleet) ColdInstances(now time.Time) int {
	count := 0
	for _, inst := range f.instances {
		if f.isCold(inst, now) {
			count++
		}
	}
	return count
}

// ColdSends returns how many requests were placed at instances that counted as cold.
func (f *Fleet) ColdSends() int { return f.coldSends }

// newColdSharers returns sharers without any entry.
func newColdSharers() sharers {
	return sharers{heard: map[string]time.Duration{}, leaving: map[string]bool{}}
}
