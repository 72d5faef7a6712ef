package balance

import (
	"maps"
	"slices"
	"time"
)

// OutlierConfig holds the limits for ejecting slow or failing instances.
type OutlierConfig struct {
	// MinSamples is the number of outcomes required to evaluate an instance.
	MinSamples int
	// SlowFactor is how many times slower than the median of the other instances
	// an instance must be to be ejected.
	SlowFactor float64
	// MaxFailures is the share of failed attempts above which an instance is
	// ejected.
	MaxFailures float64
	// EjectFor is how long an ejected instance gets no requests. It doubles with
	// each consecutive ejection, up to MaxEject.
	EjectFor, MaxEject time.Duration
	// Reentry is the time over which an instance ramps up to its usual requests
	// after an ejection.
	Reentry time.Duration
	// MaxShare is the largest share of a pool that may be ejected.
	MaxShare float64
}

// outcomeShare is the weight of the newest outcome in the moving averages.
const outcomeShare = 0.1

type history struct {
	samples  int
	seconds  float64
	failures float64
	until    time.Time
	ejected  int
}

// Outliers ejects slow or failing instances of one pool based on the outcomes of
// their attempts. It is not safe for concurrent use.
type Outliers struct {
	config    OutlierConfig
	instances map[string]*history
}

// NewOutliers returns Outliers without any recorded outcome.
func NewOutliers(config OutlierConfig) *Outliers {
	return &Outliers{config: config, instances: map[string]*history{}}
}

// Observe records one outcome, and ejects the instance if it is slow or failing
// compared with the others in pool. took is the time to the first byte of the
// response.
func (o *Outliers) Observe(name string, took time.Duration, failed bool, pool []string, now time.Time) {
	h := o.instances[name]
	if h == nil {
		h = &history{}
		o.instances[name] = h
	}
	h.samples++
	if h.samples == 1 {
		h.seconds = took.Seconds()
	}
	failure := 0.0
	if failed {
		failure = 1
	}
	h.seconds += outcomeShare * (took.Seconds() - h.seconds)
	h.failures += outcomeShare * (failure - h.failures)
	if h.samples >= o.config.MinSamples && now.After(h.until) && o.bad(name, pool) && o.mayEject(pool, now) {
		o.eject(h, now)
	}
}

func (o *Outliers) bad(name string, pool []string) bool {
	h := o.instances[name]
	if h.failures > o.config.MaxFailures {
		return true
	}
	var others []float64
	for _, other := range pool {
		if known := o.instances[other]; other != name && known != nil && known.samples >= o.config.MinSamples {
			others = append(others, known.seconds)
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return h.seconds > o.config.SlowFactor*others[len(others)/2]
}

// mayEject reports whether one more instance may be ejected. The last instances
// of a pool are never ejected, even if they fail.
func (o *Outliers) mayEject(pool []string, now time.Time) bool {
	out := 1
	for _, name := range pool {
		if known := o.instances[name]; known != nil && now.Before(known.until) {
			out++
		}
	}
	return float64(out) <= o.config.MaxShare*float64(len(pool))
}

func (o *Outliers) eject(h *history, now time.Time) {
	wait := o.config.EjectFor << min(h.ejected, 10)
	h.until = now.Add(min(wait, o.config.MaxEject))
	h.ejected++
	h.samples, h.failures = 0, 0
}

// Share returns the share of its usual requests that an instance gets now: 0 while
// it is ejected, then rising to 1 over Reentry.
func (o *Outliers) Share(name string, now time.Time) float64 {
	h := o.instances[name]
	if h == nil || h.ejected == 0 {
		return 1
	}
	back := now.Sub(h.until)
	if back < 0 {
		return 0
	}
	if back >= o.config.Reentry {
		if h.samples >= o.config.MinSamples {
			h.ejected = 0
		}
		return 1
	}
	return max(0.05, back.Seconds()/o.config.Reentry.Seconds())
}

// Forget removes the instances for which gone returns true.
func (o *Outliers) Forget(gone func(name string) bool) {
	maps.DeleteFunc(o.instances, func(name string, _ *history) bool { return gone(name) })
}
