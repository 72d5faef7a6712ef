// Package blocklist decides which parts of prompts are kept away from model engines,
// because instances crash when they begin to respond to requests with them. It combines
// the crashes and the responses that all entries have seen. It does no I/O: callers pass
// in events and the time, and get decisions back.
//
// A part is suspected when an instance crashes shortly after it has begun to respond to a
// request with that part, or before any byte of the response has arrived. A response that goes on for much longer, or is complete, clears
// all parts of its request. A part is blocked after several crashes at different times without such a
// response in between. Many crashes in quick succession, which may have one cause of their
// own, limit the requests with the part to probes until it is blocked or cleared. Guaranteed is that a part whose requests have crashed every instance
// is blocked after at most maxCrashTimes of these at different times; not that no other part
// is ever blocked. Complete responses, and crashes that a blocked part does not explain,
// correct that.
//
// What tells the cause is what crashes have in common and responses have not cleared. All parts
// of a request are suspects, wherever they stand in the prompt. If there is no room for more,
// what old crashes have in common with no other one is dropped first.
package blocklist

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// independentAfter is the time between two crashes from which on they are independent.
	// Those with a cause of their own, such as the failure of a rack, come together.
	independentAfter = 200 * time.Millisecond
	// crashWindow is the time from the beginning of a response in which an instance of
	// usual speed crashes if the response causes it, maxCrashWindow the same for the
	// slowest one.
	crashWindow    = 150 * time.Millisecond
	maxCrashWindow = time.Second
	// clearWindowFactor times the same time is how long a response must have gone on to
	// clear the parts of its request, and clearEvents the number of its events.
	clearWindowFactor = 2
	clearEvents       = 2
	// settleTime is the time from the first report of a crash until it counts: the reports
	// of other entries may name the part that explains it.
	settleTime = 250 * time.Millisecond
	// suspicionRetention is how long a crash counts.
	suspicionRetention = time.Hour
	// maxCrashes, maxSuspicions and maxResponses bound the crashes, the pairs of a crash and a
	// suspected part, and the parts with a response that are kept.
	maxCrashes    = 256
	maxSuspicions = 1 << 15
	maxResponses  = 2048
)

// Part is a part of prompts, which the engines of a model process.
type Part struct {
	Model string
	// ID identifies the part.
	ID string
}

// Start identifies one start of an instance.
type Start struct {
	Instance string
	// Born is the start time in Unix milliseconds.
	Born int64
}

// Crash is the end of one start of an instance while it was responding to requests.
type Crash struct {
	Start Start
	Model string
	// Version is the version of the weights.
	Version int64
	At      time.Time
	// Suspects holds the IDs of the shared parts of requests to which the instance had
	// begun to respond not longer than Window before, or not begun to, as far as is known
	// outside: each request's in the order of its prompt.
	Suspects []string
}

// crash is a known crash with the suspects that have not been cleared, in the order of
// Crash.Suspects.
type crash struct {
	start    Start
	model    string
	version  int64
	at       time.Time
	suspects suspects
	// hadSeveral says that several parts were suspected, isTruncated that some were dropped for
	// lack of room, and isPartlyReported that they did not fit into one report.
	hadSeveral, isTruncated, isPartlyReported bool
	// explainedBy is the blocked part that was among the suspects. Then suspects holds only
	// the parts that could not be told apart from it, and later reports of the crash are
	// ignored.
	explainedBy string
	// learnedAt is when this entry learned of the crash, changedAt when a suspect was last
	// added.
	learnedAt, changedAt time.Time
}

func (c *crash) isSuspected(id string) bool { return c.suspects.has(id) }

// versionedPart is a part as processed with one version of the weights.
type versionedPart struct {
	Part
	version int64
}

// response is the latest response of engines with some weights that has cleared a part.
type response struct {
	version int64
	at      time.Time
}

// maxVersions bounds the weights of which the latest response for a part is kept, those of
// the highest versions.
const maxVersions = 3

// clearing is a suspected part that a response has cleared.
type clearing struct {
	part versionedPart
	// isCommon says that the part was suspected of several crashes.
	isCommon bool
	// at is the time of the response, learnedAt when this entry learned of it.
	at, learnedAt time.Time
}

// List holds the blocked parts and the evidence against others. It is not safe for
// concurrent use.
type List struct {
	crashes map[Start]*crash
	// suspected counts the crashes of which a part is suspected; suspicions is the sum.
	suspected  map[Part]int
	suspicions int
	// reports is the number of reports that were composed.
	reports uint64
	// responses holds the latest responses that have cleared a part.
	responses *simplelru.LRU[Part, []response]
	// exposures holds how often requests of this entry were answered or interrupted.
	exposures map[weights]*exposure
	// cleared holds the latest clearings of suspected parts, the oldest first.
	cleared []clearing
	blocks  map[Part]*block
	// probations holds the parts whose requests are limited to probes.
	probations map[Part]*probation
}

// New returns an empty list.
func New() *List {
	responses, err := simplelru.NewLRU[Part, []response](maxResponses, nil)
	if err != nil {
		// The size is a positive constant.
		panic(err)
	}
	return &List{crashes: map[Start]*crash{}, suspected: map[Part]int{}, responses: responses, exposures: map[weights]*exposure{}, blocks: map[Part]*block{}, probations: map[Part]*probation{}}
}

// Window returns the longest time from the beginning of a response to the crash that it
// causes, at an engine that runs slower than usual by the given factor.
func Window(slowdown float64) time.Duration {
	return min(time.Duration(max(slowdown, 1)*float64(crashWindow)), maxCrashWindow)
}

// Outlives reports whether a response that has gone on for the given time, with so many
// events, shows that it does not crash its instance.
func Outlives(responseTime time.Duration, events int, slowdown float64) bool {
	return events >= clearEvents && responseTime >= clearWindowFactor*Window(slowdown)
}

// RecordResponse records, once for each request, that the response to one with these shared
// parts went on as long as Outlives requires, or was complete. It clears the parts.
func (l *List) RecordResponse(model string, version int64, parts []string, now time.Time) {
	l.exposureOf(weights{model: model, version: version}, now).addResponse(now)
	for _, id := range parts {
		l.clear(versionedPart{Part: Part{Model: model, ID: id}, version: version}, now, now)
	}
}

// LiftAnswered lifts the blocks of parts of a request whose response was complete, because
// it was sent before they were blocked, or on trial. It returns their records.
func (l *List) LiftAnswered(model string, parts []string, now time.Time) (lifted []Record) {
	for _, id := range parts {
		if record, blocked := l.blockedRecord(Part{Model: model, ID: id}); blocked {
			lifted = append(lifted, l.decide(record.lifted(), now))
		}
	}
	return lifted
}

// RecordCleared records that another entry has seen a response that clears a suspected
// part.
func (l *List) RecordCleared(cleared Cleared, now time.Time) {
	part, at := versionedPart{Part: cleared.Part, version: cleared.Version}, earlier(cleared.At, now)
	if !l.isCleared(part, at) {
		l.clear(part, at, now)
	}
}

// isCleared reports whether a response at or after the given time, of engines with the same
// or later weights, has cleared a part.
func (l *List) isCleared(part versionedPart, at time.Time) bool {
	responses, _ := l.responses.Peek(part.Part)
	return slices.ContainsFunc(responses, func(one response) bool { return one.version >= part.version && !one.at.Before(at) })
}

// addResponse keeps a response that has cleared a part.
func (l *List) addResponse(part versionedPart, at time.Time) {
	responses, _ := l.responses.Get(part.Part)
	index := slices.IndexFunc(responses, func(one response) bool { return one.version == part.version })
	if index < 0 {
		responses = append(slices.Clone(responses), response{version: part.version, at: at})
		slices.SortFunc(responses, func(a, b response) int { return cmp.Compare(b.version, a.version) })
		responses = responses[:min(len(responses), maxVersions)]
	} else if at.After(responses[index].at) {
		responses[index].at = at
	}
	l.responses.Add(part.Part, responses)
}

// clear removes a part from the suspects of the crashes up to the given time, of engines
// with the same or earlier weights.
func (l *List) clear(part versionedPart, at, now time.Time) {
	l.addResponse(part, at)
	l.endSuspicion(part.Part, now)
	if l.suspected[part.Part] == 0 {
		delete(l.probations, part.Part)
		return
	}
	isCommon := l.suspected[part.Part] > 1
	for _, known := range l.crashes {
		if known.model == part.Model && known.version <= part.version && known.isSuspected(part.ID) && !known.at.After(at) {
			l.removeSuspect(known, part.ID)
		}
	}
	if l.suspected[part.Part] == 0 {
		delete(l.probations, part.Part)
	}
	l.cleared = append(l.cleared, clearing{part: part, isCommon: isCommon, at: at, learnedAt: now})
	if excess := len(l.cleared) - maxCleared; excess > 0 {
		l.cleared = slices.Delete(l.cleared, 0, excess)
	}
}

// HasResponse reports whether a response is known for each of the shared parts, with this
// version of the weights or a later one.
func (l *List) HasResponse(model string, version int64, parts []string) bool {
	return !slices.ContainsFunc(parts, func(id string) bool {
		return !l.isCleared(versionedPart{Part: Part{Model: model, ID: id}, version: version}, time.Time{})
	})
}

// IsSuspectedElsewhere reports whether one of the suspects of a crash, for which no response
// is known, is suspected of another crash at a different time.
func (l *List) IsSuspectedElsewhere(reported Crash) bool {
	unanswered := slices.DeleteFunc(slices.Clone(reported.Suspects), func(id string) bool {
		return l.suspected[Part{Model: reported.Model, ID: id}] == 0 || l.HasResponse(reported.Model, reported.Version, []string{id})
	})
	if len(unanswered) == 0 {
		return false
	}
	for _, other := range l.crashes {
		if gap := other.at.Sub(reported.At).Abs(); other.model != reported.Model || other.start == reported.Start || gap < independentAfter {
			continue
		}
		if slices.ContainsFunc(unanswered, other.isSuspected) {
			return true
		}
	}
	return false
}

// RecordCrash records the crash of an instance, as this entry has seen it or another one
// has reported it. Several reports of a crash count once, with the suspects of all.
func (l *List) RecordCrash(reported Crash, now time.Time) {
	l.prune(now)
	if now.Sub(reported.At) > suspicionRetention {
		return
	}
	known := l.crashes[reported.Start]
	if known == nil {
		known = &crash{start: reported.Start, learnedAt: now, model: reported.Model, version: reported.Version, at: reported.At}
		l.crashes[reported.Start] = known
	}
	if known.explainedBy != "" {
		return
	}
	// A report that was delayed makes the crash seem later.
	known.at = earlier(known.at, reported.At)
	l.addSuspects(known, reported.Suspects, now)
	l.forgetIfCleared(known)
}

// addSuspects adds the suspected parts of a crash that no later response has cleared.
func (l *List) addSuspects(known *crash, ids []string, now time.Time) {
	for _, id := range ids {
		part := Part{Model: known.model, ID: id}
		if known.isSuspected(id) || l.isCleared(versionedPart{Part: part, version: known.version}, known.at) {
			continue
		}
		if !l.makeSuspicionRoom(known) {
			known.isTruncated = true
			break
		}
		known.suspects.add(id)
		known.changedAt = now
		l.countSuspect(part, 1)
		l.delayProbes(part, now)
		if l.suspected[part] > 1 {
			l.renewReports(id, now)
		}
	}
	known.hadSeveral = known.hadSeveral || known.suspects.size() > 1
}

// makeSuspicionRoom makes room for one more suspect of a crash. It drops what the oldest other
// crash does not have in common with any, or, if all of them have only that left, the oldest one.
// It returns false if there is no other.
func (l *List) makeSuspicionRoom(adding *crash) bool {
	for l.suspicions >= maxSuspicions {
		var whole, truncated *crash
		for _, known := range l.crashes {
			switch {
			case known == adding || known.suspects.size() == 0:
			case known.isTruncated:
				truncated = older(truncated, known)
			default:
				whole = older(whole, known)
			}
		}
		switch {
		case whole != nil:
			l.truncate(whole)
		case truncated != nil:
			l.remove(truncated.start)
		default:
			return false
		}
	}
	return true
}

func older(a, b *crash) *crash {
	if a == nil || b.at.Before(a.at) {
		return b
	}
	return a
}

// truncate drops what a crash does not have in common with any other.
func (l *List) truncate(known *crash) {
	known.isTruncated = true
	for _, id := range known.suspects.list() {
		if l.suspected[Part{Model: known.model, ID: id}] == 1 {
			l.removeSuspect(known, id)
		}
	}
}

// renewReports reports those crashes again that a part is suspected of, now also of another
// one, and that others may not know it of.
func (l *List) renewReports(id string, now time.Time) {
	for _, known := range l.crashes {
		if known.isPartlyReported && known.isSuspected(id) {
			known.changedAt = now
		}
	}
}

// countSuspect changes the number of crashes of which a part is suspected.
func (l *List) countSuspect(part Part, change int) {
	l.suspicions += change
	if l.suspected[part] += change; l.suspected[part] <= 0 {
		delete(l.suspected, part)
	}
}

// removeSuspect removes a suspected part of a crash, and the crash if it was the last one.
func (l *List) removeSuspect(known *crash, id string) {
	part := Part{Model: known.model, ID: id}
	known.suspects.remove(id)
	l.countSuspect(part, -1)
	l.forgetIfCleared(known)
}

// forgetIfCleared removes a crash of which no part is suspected. One that is explained is
// kept, since further reports of it count against no part.
func (l *List) forgetIfCleared(known *crash) {
	if known.suspects.size() == 0 && known.explainedBy == "" {
		delete(l.crashes, known.start)
	}
}

// prune removes old crashes, and one if there are too many: the oldest one that has no
// suspect in common with others, if there is one.
func (l *List) prune(now time.Time) {
	for start, known := range l.crashes {
		if now.Sub(known.at) > suspicionRetention {
			l.remove(start)
		}
	}
	if len(l.crashes) < maxCrashes {
		return
	}
	byAge := slices.Collect(maps.Values(l.crashes))
	slices.SortFunc(byAge, func(a, b *crash) int { return a.at.Compare(b.at) })
	index := max(slices.IndexFunc(byAge, func(known *crash) bool { return !l.hasCommonSuspect(known) }), 0)
	l.remove(byAge[index].start)
}

// hasCommonSuspect reports whether a suspect of a crash is suspected of another one, too.
func (l *List) hasCommonSuspect(known *crash) bool {
	for id := range known.suspects.index {
		if l.suspected[Part{Model: known.model, ID: id}] > 1 {
			return true
		}
	}
	return false
}

func (l *List) remove(start Start) {
	known := l.crashes[start]
	for _, id := range known.suspects.list() {
		l.removeSuspect(known, id)
	}
	delete(l.crashes, start)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
