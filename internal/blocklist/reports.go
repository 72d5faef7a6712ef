package blocklist

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// maxCleared bounds the clearings that are kept for other entries.
const maxCleared = 64

// Cleared is a suspected part that a response has cleared.
type Cleared struct {
	Part
	// Version is the version of the weights.
	Version int64
	At      time.Time
}

// RecentCrashes returns the crashes with suspects that this entry has learned since the
// given time, those with the latest news first, at most limit.
func (l *List) RecentCrashes(since time.Time, limit int) []Crash {
	var recent []Start
	for start, known := range l.crashes {
		if known.explainedBy == "" && !known.changedAt.Before(since) {
			recent = append(recent, start)
		}
	}
	slices.SortFunc(recent, func(a, b Start) int {
		return cmp.Or(l.crashes[b].changedAt.Compare(l.crashes[a].changedAt), strings.Compare(a.Instance, b.Instance), cmp.Compare(a.Born, b.Born))
	})
	var crashes []Crash
	for _, start := range recent[:min(len(recent), limit)] {
		known := l.crashes[start]
		crashes = append(crashes, Crash{Start: start, Model: known.model, Version: known.version, At: known.at, Suspects: slices.Clone(known.suspects)})
	}
	return crashes
}

// RecentlyCleared returns the suspected parts that were cleared since the given time, the
// latest first, at most limit.
func (l *List) RecentlyCleared(since time.Time, limit int) []Cleared {
	var recent []Cleared
	for _, one := range slices.Backward(l.cleared) {
		if one.learnedAt.Before(since) || len(recent) == limit {
			break
		}
		recent = append(recent, Cleared{Part: one.part.Part, Version: one.part.version, At: one.at})
	}
	return recent
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
