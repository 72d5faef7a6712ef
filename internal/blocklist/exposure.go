package blocklist

import (
	"math"
	"slices"
	"time"
)

const (
	// minCrashTimes and maxCrashTimes bound the number of times at which instances must
	// have crashed before a part is blocked.
	minCrashTimes = 4
	maxCrashTimes = 8
	// minSoleCrashTimes is the least number if responses have cleared all other parts that
	// were suspected of these crashes.
	minSoleCrashTimes = 3
	// maxChance is the greatest probability with which requests with a part are on
	// instances that crash only by chance, each time and without a response in between. It is
	// for maxChanceParts suspected parts, and less for each of more.
	maxChance      = 1e-4
	maxChanceParts = 16
	// exposurePeriod is the time over which it is counted how many requests are on
	// instances that crash.
	exposurePeriod  = 10 * time.Second
	exposureBuckets = 10
	// maxInterruptions bounds the interrupted requests that are kept.
	maxInterruptions = 128
	// priorResponses and priorInterruptions are added to the counts: what is expected while
	// there are few requests.
	priorResponses, priorInterruptions = 9.75, 0.25
	// minResponses is the number of responses after which weights are known to work. If
	// other weights of the model are, crashes with those that are not known to work are no
	// evidence against a part: they may crash at any request.
	minResponses = 3
	// maxExposures bounds the weights whose exposure is kept.
	maxExposures = 64
)

// weights are the weights of a model that an engine has loaded.
type weights struct {
	model   string
	version int64
}

// exposure counts the requests of this entry to engines with the same weights that were
// answered, and those interrupted by a crash before their response had begun or soon after.
type exposure struct {
	// answered is the number of requests that were answered, up to minResponses; buckets
	// holds those of exposurePeriod, up to the one with the index last.
	answered int
	buckets  [exposureBuckets]int
	last     int64
	// interruptions holds the latest requests that were interrupted, the oldest first.
	interruptions []interruption
	lastUse       time.Time
}

// interruption is a request that a crash has interrupted.
type interruption struct {
	at    time.Time
	parts []string
}

// exposureOf returns the exposure for weights, to be changed.
func (l *List) exposureOf(of weights, now time.Time) *exposure {
	known := l.exposures[of]
	if known == nil {
		l.makeExposureRoom()
		known = &exposure{}
		l.exposures[of] = known
	}
	known.lastUse = now
	return known
}

// makeExposureRoom removes the exposure that was used last the longest ago, when there are
// too many.
func (l *List) makeExposureRoom() {
	if len(l.exposures) < maxExposures {
		return
	}
	var oldest weights
	var oldestUse time.Time
	for of, known := range l.exposures {
		if oldestUse.IsZero() || known.lastUse.Before(oldestUse) {
			oldest, oldestUse = of, known.lastUse
		}
	}
	delete(l.exposures, oldest)
}

// RecordInterruption records that the crash of an instance has interrupted a request of
// this entry with these shared parts, before its response had begun or not longer than
// Window after that.
func (l *List) RecordInterruption(model string, version int64, parts []string, now time.Time) {
	known := l.exposureOf(weights{model: model, version: version}, now)
	known.interruptions = slices.DeleteFunc(known.interruptions, func(one interruption) bool { return now.Sub(one.at) >= exposurePeriod })
	known.interruptions = append(known.interruptions, interruption{at: now, parts: parts})
	if excess := len(known.interruptions) - maxInterruptions; excess > 0 {
		known.interruptions = slices.Delete(known.interruptions, 0, excess)
	}
}

func (e *exposure) addResponse(now time.Time) {
	e.answered = min(e.answered+1, minResponses)
	*e.bucketAt(now)++
}

// bucketAt clears the buckets that are older than exposurePeriod, and returns that for now.
func (e *exposure) bucketAt(now time.Time) *int {
	index := now.UnixNano() / int64(exposurePeriod/exposureBuckets)
	for expired := e.last + 1; expired <= index && expired <= e.last+exposureBuckets; expired++ {
		e.buckets[expired%exposureBuckets] = 0
	}
	e.last = max(e.last, index)
	return &e.buckets[index%exposureBuckets]
}

// answeredRecently returns how many requests were answered during exposurePeriod.
func (e *exposure) answeredRecently(now time.Time) (responses float64) {
	e.bucketAt(now)
	for _, answered := range e.buckets {
		responses += float64(answered)
	}
	return responses
}

// interruptionCount is the number of requests that were interrupted during exposurePeriod, and
// of those with each part.
type interruptionCount struct {
	all    int
	byPart map[string]int
}

// counts holds what one evaluation has counted: the suspected parts, and the interruptions for
// the weights that it has looked at.
type counts struct {
	parts         int
	interruptions map[weights]interruptionCount
}

// interruptionsWithout returns how many requests without a part were interrupted by engines with
// these weights.
func (c counts) interruptionsWithout(part string, of weights, known *exposure, now time.Time) float64 {
	count, found := c.interruptions[of]
	if !found {
		count = known.countInterruptions(now)
		c.interruptions[of] = count
	}
	return float64(count.all - count.byPart[part])
}

func (e *exposure) countInterruptions(now time.Time) interruptionCount {
	count := interruptionCount{byPart: map[string]int{}}
	for _, one := range e.interruptions {
		if now.Sub(one.at) >= exposurePeriod {
			continue
		}
		count.all++
		for _, id := range one.parts {
			count.byPart[id]++
		}
	}
	return count
}

// maxChance returns the greatest probability of chance for one of the suspected parts: the
// more there are, the more of them are on crashing instances by chance.
func (c counts) maxChance() float64 {
	return maxChance / max(1, float64(c.parts)/maxChanceParts)
}

// requiredCrashTimes returns at how many different times instances must have crashed before
// a part is blocked: the more of the other requests are on instances that crash, and the more
// parts are suspected, the more crashes come together with any part. It is out of reach if the weights may not work.
func (l *List) requiredCrashTimes(candidate evidence, counted counts, now time.Time) int {
	of, found := l.workingWeights(candidate.crashes)
	if !found {
		return math.MaxInt
	}
	responses, interruptions := priorResponses, priorInterruptions
	if known := l.exposures[of]; known != nil {
		responses += known.answeredRecently(now)
		interruptions += counted.interruptionsWithout(candidate.id, of, known, now)
	}
	chance := interruptions / (responses + interruptions)
	times := math.Ceil(math.Log(counted.maxChance()) / math.Log(chance))
	if candidate.isSole() {
		return int(min(max(times, minSoleCrashTimes), maxCrashTimes))
	}
	return int(min(max(times, minCrashTimes), maxCrashTimes))
}

// workingWeights returns the weights of the latest crash among those with weights that are
// known to work, or that no others of the model are known to be better than. It returns
// false if there is none.
func (l *List) workingWeights(crashes []*crash) (weights, bool) {
	for _, known := range slices.Backward(crashes) {
		if of := (weights{model: known.model, version: known.version}); !l.areNewlyReleased(of) {
			return of, true
		}
	}
	return weights{}, false
}

// areNewlyReleased reports whether other weights of the model are known to work, and these
// are not.
func (l *List) areNewlyReleased(of weights) bool {
	if known := l.exposures[of]; known != nil && known.answered >= minResponses {
		return false
	}
	for other, known := range l.exposures {
		if other.model == of.model && known.answered >= minResponses {
			return true
		}
	}
	return false
}
