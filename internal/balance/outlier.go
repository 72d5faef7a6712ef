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
	// MaxFailureShare is the share of failed attempts above which an instance is
	// ejected.
	MaxFailureShare float64
	// EjectionTime is how long an ejected instance gets no requests. It doubles with
	// each consecutive ejection, up to MaxEjectionTime.
	EjectionTime, MaxEjectionTime time.Duration
	// RampUp is the time over which an instance ramps up to its usual requests
	// after an ejection.
	RampUp time.Duration
	// MaxEjectedShare is the largest share of a pool that may be ejected.
	MaxEjectedShare float64
}

// newestWeight is the weight of the newest outcome in the moving averages.
const newestWeight = 0.1

type instanceStats struct {
	samples        int
	averageSeconds float64
	failureShare   float64
	ejectedUntil   time.Time
	ejections      int
}

// OutlierDetector ejects slow or failing instances of one pool based on the
// outcomes of their attempts. It is not safe for concurrent use.
type OutlierDetector struct {
	config    OutlierConfig
	instances map[string]*instanceStats
}

// NewOutlierDetector returns a detector without any recorded outcome.
func NewOutlierDetector(config OutlierConfig) *OutlierDetector {
	return &OutlierDetector{config: config, instances: map[string]*instanceStats{}}
}

// Observe records one outcome, and ejects the instance if it is slow or failing
// compared with the others in pool. took is the time to the first byte of the
// response.
func (o *OutlierDetector) Observe(name string, took time.Duration, failed bool, pool []string, now time.Time) {
	h := o.instances[name]
	if h == nil {
		h = &instanceStats{}
		o.instances[name] = h
	}
	h.samples++
	if h.samples == 1 {
		h.averageSeconds = took.Seconds()
	}
	failure := 0.0
	if failed {
		failure = 1
	}
	h.averageSeconds += newestWeight * (took.Seconds() - h.averageSeconds)
	h.failureShare += newestWeight * (failure - h.failureShare)
	if h.samples >= o.config.MinSamples && now.After(h.ejectedUntil) && o.isOutlier(name, pool) && o.mayEject(pool, now) {
		o.eject(h, now)
	}
}

func (o *OutlierDetector) isOutlier(name string, pool []string) bool {
	h := o.instances[name]
	if h.failureShare > o.config.MaxFailureShare {
		return true
	}
	var others []float64
	for _, other := range pool {
		if known := o.instances[other]; other != name && known != nil && known.samples >= o.config.MinSamples {
			others = append(others, known.averageSeconds)
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return h.averageSeconds > o.config.SlowFactor*others[len(others)/2]
}

// mayEject reports whether one more instance may be ejected. The last instances
// of a pool are never ejected, even if they fail.
func (o *OutlierDetector) mayEject(pool []string, now time.Time) bool {
	ejected := 1
	for _, name := range pool {
		if known := o.instances[name]; known != nil && now.Before(known.ejectedUntil) {
			ejected++
		}
	}
	return float64(ejected) <= o.config.MaxEjectedShare*float64(len(pool))
}

func (o *OutlierDetector) eject(h *instanceStats, now time.Time) {
	wait := o.config.EjectionTime << min(h.ejections, 10)
	h.ejectedUntil = now.Add(min(wait, o.config.MaxEjectionTime))
	h.ejections++
	h.samples, h.failureShare = 0, 0
}

// TrafficShare returns the share of its usual requests that an instance gets now:
// 0 while it is ejected, then rising to 1 over RampUp.
func (o *OutlierDetector) TrafficShare(name string, now time.Time) float64 {
	h := o.instances[name]
	if h == nil || h.ejections == 0 {
		return 1
	}
	sinceReturn := now.Sub(h.ejectedUntil)
	if sinceReturn < 0 {
		return 0
	}
	if sinceReturn >= o.config.RampUp {
		if h.samples >= o.config.MinSamples {
			h.ejections = 0
		}
		return 1
	}
	return max(0.05, sinceReturn.Seconds()/o.config.RampUp.Seconds())
}

// Remove removes the instances for which gone returns true.
func (o *OutlierDetector) Remove(gone func(name string) bool) {
	maps.DeleteFunc(o.instances, func(name string, _ *instanceStats) bool { return gone(name) })
}
