package blocklist

import "time"

const (
	// minProbationCrashes is the number of crashes from which on requests with a suspected
	// part are limited to probes. They must have occurred at minProbationTimes independent
	// times, unless no response is known for the part.
	minProbationCrashes = 4
	minProbationTimes   = 2
	// probeInterval is the time from a crash until the turn of the first entry to probe a part,
	// and between the turns of two entries: all of them learn meanwhile how a probe has ended.
	// A turn lasts half of it, since entries learn of a crash at different times.
	probeInterval = 600 * time.Millisecond
	// probeRest is the time without a crash after which entries do not wait for their turn.
	probeRest = 30 * time.Second
)

// probation is a part whose requests are limited to probes: it is suspected of many crashes
// that are too close together to count as independent.
type probation struct {
	// lastCrash is when this entry learned of the latest crash of which the part is
	// suspected, probedAt when it sent its last probe.
	lastCrash, probedAt time.Time
}

// Turn returns the position of this entry among those that probe a part, from 0, and their
// number.
type Turn func(part Part) (rank, entries int)

// OnProbation returns those shared parts of a request because of which it can only be sent
// as a probe.
func (l *List) OnProbation(model string, parts []string) (limited []Part) {
	if len(l.probations) == 0 {
		return nil
	}
	for _, id := range parts {
		part := Part{Model: model, ID: id}
		if l.probations[part] != nil {
			limited = append(limited, part)
		}
	}
	return limited
}

// ProbationParts returns the number of parts that are on probation.
func (l *List) ProbationParts() int { return len(l.probations) }

// ProbeDue reports whether a request with these shared parts may be sent now: none of them is
// on probation, or it is the turn of this entry to probe all that are.
func (l *List) ProbeDue(model string, parts []string, turn Turn, now time.Time) bool {
	for _, part := range l.OnProbation(model, parts) {
		rank, entries := turn(part)
		if !l.probations[part].isDue(rank, max(entries, 1), now) {
			return false
		}
	}
	return true
}

// StartProbe is like ProbeDue and records that the request is sent.
func (l *List) StartProbe(model string, parts []string, turn Turn, now time.Time) bool {
	if !l.ProbeDue(model, parts, turn, now) {
		return false
	}
	for _, part := range l.OnProbation(model, parts) {
		l.probations[part].probedAt = now
	}
	return true
}

func (p *probation) isDue(rank, entries int, now time.Time) bool {
	elapsed := now.Sub(p.lastCrash)
	if elapsed < probeInterval || now.Sub(p.probedAt) < probeInterval {
		return false
	}
	isOwnTurn := int(elapsed/probeInterval)%entries == rank && elapsed%probeInterval < probeInterval/2
	return isOwnTurn || elapsed >= probeRest
}

// updateProbations puts those candidates of a model on probation that are not blocked though
// many crashes speak against them, and ends that of all others.
func (l *List) updateProbations(model string, candidates []evidence) {
	updated := map[Part]*probation{}
	for _, candidate := range candidates {
		part, unexplained := Part{Model: model, ID: candidate.id}, candidate.unexplained()
		if !l.needsProbation(part, unexplained) {
			continue
		}
		known := l.probations[part]
		if known == nil {
			known = &probation{}
		}
		for _, one := range unexplained {
			known.lastCrash = later(known.lastCrash, one.learnedAt)
		}
		updated[part] = known
	}
	l.endProbations(model)
	for part, known := range updated {
		l.probations[part] = known
	}
}

// delayProbes records that a crash of which a part is suspected was learned now.
func (l *List) delayProbes(part Part, now time.Time) {
	if known := l.probations[part]; known != nil {
		known.lastCrash = later(known.lastCrash, now)
	}
}

// needsProbation reports whether the crashes without an explanation of which a part is
// suspected limit its requests to probes.
func (l *List) needsProbation(part Part, crashes []*crash) bool {
	if len(crashes) < minProbationCrashes {
		return false
	}
	of, working := l.workingWeights(crashes)
	return working && (countIndependent(crashes) >= minProbationTimes || !l.HasResponse(part.Model, of.version, []string{part.ID}))
}

// endProbations ends the probation of all parts of a model.
func (l *List) endProbations(model string) {
	for part := range l.probations {
		if part.Model == model {
			delete(l.probations, part)
		}
	}
}

// unexplained returns the crashes that no blocked part explains.
func (e evidence) unexplained() (crashes []*crash) {
	for _, known := range e.crashes {
		if known.explainedBy == "" {
			crashes = append(crashes, known)
		}
	}
	return crashes
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
