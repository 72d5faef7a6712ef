package blocklist

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// evidence is what speaks for a part of one model as the cause of crashes.
type evidence struct {
	id string
	// crashes are those of which the part is suspected, by time; times is the number of
	// independent times at which they occurred.
	crashes []*crash
	times   int
}

// evaluate blocks the parts of a model that cause crashes. Crashes in which a blocked part
// is suspected are explained by it, and count against no other part any more: other parts
// of the same requests, and requests that ran on the same instances, are victims.
func (l *List) evaluate(model string, now time.Time) []Record {
	l.markExplained(model)
	for _, candidate := range l.candidates(model) {
		causes := l.causes(candidate, now)
		if len(causes) == 0 {
			continue
		}
		var blocked []Record
		for _, id := range causes {
			blocked = append(blocked, l.decide(l.record(Part{Model: model, ID: id}).blocked(candidate.times), now))
		}
		return append(blocked, l.evaluate(model, now)...)
	}
	return nil
}

// candidates returns the parts with the least evidence that can be enough, that with the
// most first.
func (l *List) candidates(model string) []evidence {
	byID := map[string][]*crash{}
	for _, known := range l.crashes {
		if known.model != model {
			continue
		}
		for id := range known.suspects {
			byID[id] = append(byID[id], known)
		}
	}
	var candidates []evidence
	for id, crashes := range byID {
		if times := countIndependent(crashes); times >= minCrashTimes {
			candidates = append(candidates, evidence{id: id, crashes: crashes, times: times})
		}
	}
	slices.SortFunc(candidates, func(a, b evidence) int {
		return cmp.Or(cmp.Compare(b.times, a.times), cmp.Compare(len(b.crashes), len(a.crashes)), strings.Compare(a.id, b.id))
	})
	return candidates
}

// countIndependent returns the number of times, independentAfter or more apart, at which
// crashes occurred.
func countIndependent(crashes []*crash) int {
	slices.SortFunc(crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	count := 0
	var last time.Time
	for _, known := range crashes {
		if count == 0 || known.at.Sub(last) >= independentAfter {
			count, last = count+1, known.at
		}
	}
	return count
}

// causes returns the parts that are to be blocked because of the evidence against one: the
// part, and those that are suspected of all the same crashes, from which it cannot be told
// apart. It returns none while the evidence is not enough, or further crashes may tell them
// apart.
func (l *List) causes(candidate evidence, now time.Time) []string {
	last := candidate.crashes[len(candidate.crashes)-1]
	required, known := l.requiredCrashTimes(weights{model: last.model, version: last.version}, now)
	if !known || candidate.times < required {
		return nil
	}
	common := maps.Clone(last.suspects)
	for _, other := range candidate.crashes {
		maps.DeleteFunc(common, func(id string, _ bool) bool { return !other.suspects[id] })
	}
	if len(common) > 1 && candidate.times < required+tieCrashTimes {
		return nil
	}
	return slices.Sorted(maps.Keys(common))
}

// markExplained marks the crashes of which a blocked part is suspected.
func (l *List) markExplained(model string) {
	for start, known := range l.crashes {
		if known.model != model || !l.isExplained(known) {
			continue
		}
		l.remove(start)
		known.explained = true
		l.crashes[start] = known
	}
}

func (l *List) isExplained(known *crash) bool {
	for id := range known.suspects {
		if _, blocked := l.blockedRecord(Part{Model: known.model, ID: id}); blocked {
			return true
		}
	}
	return false
}
