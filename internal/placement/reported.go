package placement

import "time"

const (
	// reportedLoadAge is the age at which a load that a response has reported no longer counts.
	reportedLoadAge = time.Second
	// idleShare is the time of a request at an idle instance of a plain service, as a share of its
	// time at a full one, where it waits as long as it is processed.
	idleShare = 1.0 / requestsPerPlainSlot
	// minSlowdown bounds the advantage of an instance that reports to be faster than usual, so
	// that not all entries choose it at once.
	minSlowdown = 0.5
)

// InstanceLoad is the load of an instance as one of its responses reports it.
type InstanceLoad struct {
	// Running and Waiting are the numbers of requests that it processes and that wait there,
	// Slots how many it processes at once.
	Running, Waiting, Slots int
	// Slowdown is the current processing time relative to the usual one; 0 if it does not say.
	Slowdown float64
}

// reportedLoad is the last load that an instance has reported to this entry.
type reportedLoad struct {
	InstanceLoad
	at time.Time
	// begun is the number of this entry's requests that have begun there since then, less those
	// that have ended.
	begun int
}

// RecordLoad records the load that a response of a start of an instance has reported at the given
// time. A report that is older than the last one is ignored.
func (f *Fleet) RecordLoad(start InstanceStart, load InstanceLoad, at time.Time) {
	inst := f.instances[start.ID]
	if inst == nil || inst.Start != start.Start || load.Slots <= 0 || at.Before(inst.reported.at) {
		return
	}
	inst.reported = reportedLoad{InstanceLoad: load, at: at}
}

// weight returns the weight of the report, which decreases from 1 to 0 with its age.
func (r *reportedLoad) weight(now time.Time) float64 {
	age := now.Sub(r.at)
	if r.at.IsZero() || age >= reportedLoadAge {
		return 0
	}
	return 1 - float64(max(age, 0))/float64(reportedLoadAge)
}

// requests returns the number of requests at the instance, as far as its report tells.
func (r *reportedLoad) requests() int { return max(r.Running+r.Waiting+r.begun, 0) }

// share returns the load of an instance as a share of its request limit: the known load, raised
// towards the reported one. A lower report does not reduce it, so that entries that get the same
// report do not all choose that instance.
func (f *Fleet) share(inst *instance, load, limit int, now time.Time) float64 {
	known := float64(load) / float64(limit)
	weight := inst.reported.weight(now)
	if weight == 0 {
		return known
	}
	limitPerSlot := float64(limit) / float64(max(inst.Slots, 1))
	reported := float64(inst.reported.requests()) / (float64(inst.reported.Slots) * limitPerSlot)
	return known + weight*max(reported-known, 0)
}

// scoredTokens returns the prompt tokens that an engine has to process before those of a request,
// for its score. The requests that it reports as waiting count with the tokens of this one.
func (f *Fleet) scoredTokens(inst *instance, need Requirements, now time.Time) int {
	known := f.pendingPromptTokens(inst, now)
	weight := inst.reported.weight(now)
	if weight == 0 {
		return known
	}
	return known + int(weight*float64(max(inst.reported.Waiting*need.PromptTokens-known, 0)))
}

// scoredSlowdown returns how many times slower than usual the instance runs, for its score: what
// its agent reports, moved towards what its last response has reported.
func (i *instance) scoredSlowdown(now time.Time) float64 {
	slowdown := i.slowdown()
	if i.reported.Slowdown > 0 {
		slowdown += i.reported.weight(now) * (max(i.reported.Slowdown, minSlowdown) - slowdown)
	}
	return slowdown
}
