package blocklist

import (
	"math"
	"time"
)

const (
	// minCrashTimes and maxCrashTimes bound the number of times at which instances must
	// have crashed before a part is blocked, tieCrashTimes is how many more there must be
	// if it cannot be told apart from another part.
	minCrashTimes = 4
	maxCrashTimes = 8
	tieCrashTimes = 2
	// maxChance is the greatest probability with which requests with a part are on
	// instances that crash only by chance, each time and without a response in between.
	maxChance = 1e-4
	// exposurePeriod is the time over which it is counted how many requests are on
	// instances that crash.
	exposurePeriod  = 10 * time.Second
	exposureBuckets = 10
	// priorResponses and priorInterruptions are added to the counts: what is expected while
	// there are few requests.
	priorResponses, priorInterruptions = 39.0, 1.0
	// minResponses is the number of responses after which weights are known to work. Those
	// that crash at any request are no evidence against a part.
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
// answered, and those interrupted by a crash soon after their response had begun.
type exposure struct {
	responses int
	buckets   [exposureBuckets]exposureBucket
	last      int64
	lastUse   time.Time
}

type exposureBucket struct{ responses, interruptions int }

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
// this entry, not longer than Window after its response had begun.
func (l *List) RecordInterruption(model string, version int64, now time.Time) {
	l.exposureOf(weights{model: model, version: version}, now).bucketAt(now).interruptions++
}

func (e *exposure) addResponse(now time.Time) {
	e.responses = min(e.responses+1, minResponses)
	e.bucketAt(now).responses++
}

// bucketAt clears the buckets that are older than exposurePeriod, and returns that for now.
func (e *exposure) bucketAt(now time.Time) *exposureBucket {
	index := now.UnixNano() / int64(exposurePeriod/exposureBuckets)
	for expired := e.last + 1; expired <= index && expired <= e.last+exposureBuckets; expired++ {
		e.buckets[expired%exposureBuckets] = exposureBucket{}
	}
	e.last = max(e.last, index)
	return &e.buckets[index%exposureBuckets]
}

// requiredCrashTimes returns at how many different times instances with these weights must
// have crashed before a part is blocked: the more of all requests are on instances that
// crash, the more crashes come together with any part. It returns false if the weights are
// not known to work.
func (l *List) requiredCrashTimes(of weights, now time.Time) (int, bool) {
	known := l.exposures[of]
	if known == nil || known.responses < minResponses {
		return 0, false
	}
	known.bucketAt(now)
	responses, interruptions := priorResponses, priorInterruptions
	for _, bucket := range known.buckets {
		responses += float64(bucket.responses)
		interruptions += float64(bucket.interruptions)
	}
	chance := interruptions / (responses + interruptions)
	times := math.Ceil(math.Log(maxChance) / math.Log(chance))
	return int(min(max(times, minCrashTimes), maxCrashTimes)), true
}
