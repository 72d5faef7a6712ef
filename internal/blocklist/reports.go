package blocklist

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// maxCleared bounds the clearings that are kept for other entries.
const maxCleared = 1024

// Cleared is a suspected part that a response has cleared.
type Cleared struct {
	Part
	// Version is the version of the weights.
	Version int64
	At      time.Time
}

// ReportLimits bounds one report to other entries.
type ReportLimits struct {
	// Crashes is the number of crashes, SuspectBytes the size of the IDs of all their suspects,
	// and ClearedBytes that of the IDs of cleared parts.
	Crashes, SuspectBytes, ClearedBytes int
}

// RecentCrashes returns the crashes with suspects that this entry has learned since the
// given time, those with the latest news first. If the suspects don't fit, those that crashes
// have in common come first, then those without a known response, and each call chooses others
// of the rest.
func (l *List) RecentCrashes(since time.Time, limits ReportLimits) []Crash {
	var recent []Start
	for start, known := range l.crashes {
		if known.explainedBy == "" && !known.changedAt.Before(since) {
			recent = append(recent, start)
		}
	}
	slices.SortFunc(recent, func(a, b Start) int {
		return cmp.Or(l.crashes[b].changedAt.Compare(l.crashes[a].changedAt), strings.Compare(a.Instance, b.Instance), cmp.Compare(a.Born, b.Born))
	})
	recent = recent[:min(len(recent), limits.Crashes)]
	l.reports++
	bytesLeft := limits.SuspectBytes
	var crashes []Crash
	for i, start := range recent {
		known := l.crashes[start]
		ids, size := l.reportedSuspects(known, bytesLeft/(len(recent)-i))
		bytesLeft -= size
		if len(ids) > 0 {
			crashes = append(crashes, Crash{Start: start, Model: known.model, Version: known.version, At: known.at, Suspects: ids})
		}
	}
	return crashes
}

// reportedSuspects returns the suspects of a crash for one report, and the size of their IDs.
func (l *List) reportedSuspects(known *crash, maxBytes int) (ids []string, size int) {
	all := known.suspects.list()
	if size = sizeOf(all, idSize); size <= maxBytes {
		return all, size
	}
	known.isPartlyReported = true
	var common, unanswered, answered []string
	for _, id := range all {
		switch {
		case l.suspected[Part{Model: known.model, ID: id}] > 1:
			common = append(common, id)
		case l.HasResponse(known.model, known.version, []string{id}):
			answered = append(answered, id)
		default:
			unanswered = append(unanswered, id)
		}
	}
	ids = fit(l.reports, maxBytes, idSize, common, unanswered, answered)
	return ids, sizeOf(ids, idSize)
}

func idSize(id string) int { return len(id) }

func sizeOf[T any](items []T, size func(T) int) (sum int) {
	for _, item := range items {
		sum += size(item)
	}
	return sum
}

// spreadFactor is 2^64 divided by the golden ratio. The upper half of its products with
// consecutive numbers is spread evenly, also over each second or third of them.
const spreadFactor = 0x9E3779B97F4A7C15

// fit returns the items of the given groups, in this order, whose sizes fit into the limit. From
// a group that does not fit whole, each report has others.
func fit[T any](report uint64, limit int, size func(T) int, groups ...[]T) (fitting []T) {
	for _, group := range groups {
		first := 0
		if sizeOf(group, size) > limit {
			first = int((report * spreadFactor >> 32) % uint64(len(group)))
		}
		for i := range group {
			item := group[(first+i)%len(group)]
			if limit -= size(item); limit < 0 {
				return fitting
			}
			fitting = append(fitting, item)
		}
	}
	return fitting
}

// RecentlyCleared returns the suspected parts that were cleared since the given time, the
// latest first. If they don't fit, those that were suspected of several crashes come first, and
// each report has others of the rest.
func (l *List) RecentlyCleared(since time.Time, limits ReportLimits) []Cleared {
	var common, others []Cleared
	for _, one := range slices.Backward(l.cleared) {
		if one.learnedAt.Before(since) {
			break
		}
		cleared := Cleared{Part: one.part.Part, Version: one.part.version, At: one.at}
		if one.isCommon {
			common = append(common, cleared)
		} else {
			others = append(others, cleared)
		}
	}
	return fit(l.reports, limits.ClearedBytes, func(cleared Cleared) int { return len(cleared.ID) }, common, others)
}

// SuspectedParts returns the number of parts that are suspected of a crash.
func (l *List) SuspectedParts() int { return len(l.suspected) }

// BlockedParts returns the number of parts that are blocked.
func (l *List) BlockedParts() int {
	count := 0
	for part := range l.blocks {
		if _, blocked := l.blockedRecord(part); blocked {
			count++
		}
	}
	return count
}
