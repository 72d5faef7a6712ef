package blocklist

import (
	"cmp"
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

// evaluate blocks the parts of a model that cause crashes, and returns the decisions.
// Crashes in which a blocked part is suspected are explained by it, and count against no
// other part any more: other parts of the same requests, and requests that ran on the same
// instances, are victims.
func (l *List) evaluate(model string, now time.Time) []Record {
	l.explainCrashes(model)
	for _, candidate := range l.candidates(model) {
		if candidate.times < l.requiredCrashTimes(candidate, now) {
			continue
		}
		equals := candidate.equals()
		cause := Part{Model: model, ID: equals[len(equals)-1]}
		decisions := []Record{l.decide(l.record(cause).blocked(candidate.times), now)}
		decisions = append(decisions, l.liftDisplaced(model, l.explain(candidate.crashes, equals), now)...)
		return append(decisions, l.evaluate(model, now)...)
	}
	return nil
}

// candidates returns the parts with the least evidence that can be enough, that with the
// most first. At least one crash must have no explanation yet.
func (l *List) candidates(model string) []evidence {
	byID, unexplained := map[string][]*crash{}, map[string]bool{}
	for _, known := range l.crashes {
		if known.model != model {
			continue
		}
		for _, id := range known.suspects {
			byID[id] = append(byID[id], known)
			unexplained[id] = unexplained[id] || known.explainedBy == ""
		}
	}
	var candidates []evidence
	for id, crashes := range byID {
		if times := countIndependent(crashes); times >= minCrashTimes && unexplained[id] {
			candidates = append(candidates, evidence{id: id, crashes: crashes, times: times})
		}
	}
	slices.SortFunc(candidates, func(a, b evidence) int {
		return cmp.Or(cmp.Compare(b.times, a.times), cmp.Compare(len(b.crashes), len(a.crashes)), strings.Compare(a.id, b.id))
	})
	return candidates
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

// equals returns the parts that are suspected of all these crashes, from which the part
// cannot be told apart, in the order in which they stand in prompts. The last one is the
// most likely cause: parts at the beginning of a prompt are shared by more requests, and
// these would have been answered.
func (e evidence) equals() []string {
	return slices.DeleteFunc(slices.Clone(e.crashes[0].suspects), func(id string) bool {
		return slices.ContainsFunc(e.crashes, func(known *crash) bool { return !known.isSuspected(id) })
	})
}

// explainCrashes explains the crashes of which a part that is blocked is suspected.
func (l *List) explainCrashes(model string) {
	for _, known := range l.crashes {
		if known.model != model || known.explainedBy != "" {
			continue
		}
		for _, id := range known.suspects {
			if _, blocked := l.blockedRecord(Part{Model: model, ID: id}); blocked {
				l.explain([]*crash{known}, []string{id})
				break
			}
		}
	}
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
		for _, id := range slices.Clone(known.suspects) {
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
