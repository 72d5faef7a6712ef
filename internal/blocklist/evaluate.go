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
	// independent times at which they occurred, with those that only its record tells of.
	crashes []*crash
	times   int
}

// Evaluate blocks the parts that cause crashes, and returns the decisions. It has to be
// called a few times a second.
func (l *List) Evaluate(now time.Time) (decisions []Record) {
	models := map[string]bool{}
	for _, known := range l.crashes {
		models[known.model] = models[known.model] || known.explainedBy == "" && known.isSettled(now)
	}
	for part := range l.probations {
		if !models[part.Model] {
			delete(l.probations, part)
		}
	}
	for _, model := range slices.Sorted(maps.Keys(models)) {
		if models[model] {
			decisions = append(decisions, l.evaluate(model, now)...)
		}
	}
	return decisions
}

func (c *crash) isSettled(now time.Time) bool { return now.Sub(c.learnedAt) >= settleTime }

// evaluate blocks the parts of a model that cause crashes, and returns the decisions.
// Crashes in which a blocked part is suspected are explained by it, and count against no
// other part any more: other parts of the same requests, and requests that ran on the same
// instances, are victims.
func (l *List) evaluate(model string, now time.Time) []Record {
	l.explainCrashes(model)
	candidates, parts := l.candidates(model, now)
	counted := counts{parts: parts, interruptions: map[weights]interruptionCount{}}
	for _, candidate := range candidates {
		if candidate.times < suspicionTimes || candidate.times < l.requiredCrashTimes(candidate, counted, now) {
			continue
		}
		equals := l.equals(model, candidate)
		cause := Part{Model: model, ID: equals[len(equals)-1]}
		decisions := []Record{l.decide(l.record(cause).blocked(candidate.times), now)}
		decisions = append(decisions, l.liftDisplaced(model, l.explain(candidate.crashes, equals), now)...)
		return append(decisions, l.evaluate(model, now)...)
	}
	l.updateProbations(model, candidates)
	likeliest := slices.IndexFunc(candidates, func(candidate evidence) bool { return candidate.times < candidates[0].times })
	if likeliest < 0 {
		likeliest = len(candidates)
	}
	// So many parts that can't be told apart yet are not worth a record each in the store.
	if likeliest <= maxSuspicionRecords {
		for _, candidate := range candidates[:likeliest] {
			l.suspect(Part{Model: model, ID: candidate.id}, candidate.times, now)
		}
	}
	return nil
}

// isSole reports whether responses have cleared other parts that were suspected of each of
// the crashes, and none but this one is left.
func (e evidence) isSole() bool {
	return !slices.ContainsFunc(e.crashes, func(known *crash) bool { return known.suspects.size() > 1 || known.isTruncated || !known.hadSeveral })
}

// candidates returns the parts that are suspected of several crashes, as far as known here or
// from their records, that of crashes at the most times first. At least one crash must have no
// explanation yet. parts is the number of all parts that are suspected.
func (l *List) candidates(model string, now time.Time) (candidates []evidence, parts int) {
	byID, unexplained := map[string][]*crash{}, map[string]bool{}
	for _, known := range l.crashes {
		if known.model != model || !known.isSettled(now) {
			continue
		}
		for id := range known.suspects.index {
			if part := (Part{Model: model, ID: id}); l.suspected[part] < suspicionTimes && l.blocks[part] == nil {
				parts++
				continue
			}
			byID[id] = append(byID[id], known)
			unexplained[id] = unexplained[id] || known.explainedBy == ""
		}
	}
	for id, crashes := range byID {
		if unexplained[id] {
			candidates = append(candidates, evidence{id: id, crashes: crashes, times: l.suspectedCrashTimes(Part{Model: model, ID: id}, crashes)})
		}
	}
	slices.SortFunc(candidates, func(a, b evidence) int {
		return cmp.Or(cmp.Compare(b.times, a.times), cmp.Compare(len(b.crashes), len(a.crashes)), strings.Compare(a.id, b.id))
	})
	return candidates, parts + len(byID)
}

// countIndependent sorts crashes by time, and returns the number of times, independentAfter
// or more apart, at which they occurred.
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

// equals returns the parts that are suspected of all the same crashes, from which the
// candidate cannot be told apart, in the order in which they stand in prompts. The last one
// is the most likely cause: parts at the beginning of a prompt are shared by more requests,
// and these would have been answered.
func (l *List) equals(model string, candidate evidence) []string {
	return slices.DeleteFunc(candidate.crashes[0].suspects.list(), func(id string) bool {
		if slices.ContainsFunc(candidate.crashes, func(known *crash) bool { return !known.isSuspected(id) }) {
			return true
		}
		return l.suspectedCrashTimes(Part{Model: model, ID: id}, candidate.crashes) < candidate.times
	})
}

// explainCrashes explains the crashes of which a part that is blocked is suspected.
func (l *List) explainCrashes(model string) {
	if !l.suspectsBlocked(model) {
		return
	}
	for _, known := range l.crashes {
		if known.model != model || known.explainedBy != "" {
			continue
		}
		for _, id := range known.suspects.list() {
			if _, blocked := l.blockedRecord(Part{Model: model, ID: id}); blocked {
				l.explain([]*crash{known}, []string{id})
				break
			}
		}
	}
}

// suspectsBlocked reports whether a blocked part is suspected of a crash.
func (l *List) suspectsBlocked(model string) bool {
	for part, known := range l.blocks {
		if part.Model == model && known.isBlocked() && l.suspected[part] > 0 {
			return true
		}
	}
	return false
}

// explain records that crashes are explained by the last one of the given parts, and
// returns what has explained them before. The other parts cannot be told apart from it.
func (l *List) explain(crashes []*crash, equals []string) (displaced map[string]bool) {
	cause, others := equals[len(equals)-1], equals[:len(equals)-1]
	displaced = map[string]bool{}
	for _, known := range crashes {
		if known.explainedBy != "" {
			displaced[known.explainedBy] = true
		}
		known.explainedBy = cause
		for _, id := range known.suspects.list() {
			if !slices.Contains(others, id) {
				l.removeSuspect(known, id)
			}
		}
	}
	return displaced
}

// liftDisplaced lifts the blocks of those parts that do not explain any crash any more.
func (l *List) liftDisplaced(model string, displaced map[string]bool, now time.Time) (lifted []Record) {
	for _, known := range l.crashes {
		if known.model == model {
			delete(displaced, known.explainedBy)
		}
	}
	for id := range displaced {
		if record, blocked := l.blockedRecord(Part{Model: model, ID: id}); blocked {
			lifted = append(lifted, l.decide(record.lifted(), now))
		}
	}
	return lifted
}
