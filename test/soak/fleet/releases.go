package fleet

import (
	"sync"
	"time"

	"plantainrelay/internal/rollout"
	"plantainrelay/platform/standin"
	"plantainrelay/test/testfleet"
)

// Releases whose weights come late, beside short silences of engines that still serve the
// older ones. None of it excuses anything.

const (
	// maxSilence is the longest silence of a sound engine.
	maxSilence = 1600 * time.Millisecond
	// beforeSendEnd is how long before the end of the send period the first silence may begin,
	// beforeBound how long before the bound the last one does.
	beforeSendEnd = 600 * time.Millisecond
	beforeBound   = 900 * time.Millisecond
	// fillBefore is how long before the first silence the pool of engines is filled, afterBound
	// the longest time from the bound until the origin sends its chunks.
	fillBefore = fillTime + 500*time.Millisecond
	afterBound = time.Second
	// minSeriesInterval and maxSeriesInterval bound the time between two releases in series.
	minSeriesInterval = 300 * time.Millisecond
	maxSeriesInterval = 2500 * time.Millisecond
	// lateChunkDelay is the delay of each chunk of an origin that is slow.
	lateChunkDelay = 3 * time.Second
)

// silence is one silence of an engine, counted from a release. A slow engine reads requests,
// but delays the first event of each; otherwise the whole process is silent.
type silence struct {
	at, length time.Duration
	slow       bool
}

// lateRelease is a release whose weights come late, and what comes beside it. All times count
// from the release.
type lateRelease struct {
	originDelay        time.Duration
	originUntil        time.Duration
	silences           []silence
	nextAfter, tableAt time.Duration
}

// newLateRelease draws a release and what comes beside it.
func (r *run) newLateRelease() lateRelease {
	bound := r.config.Bounds.Version
	sendEnd := rollout.SendPeriod(bound)
	late := lateRelease{originUntil: r.randomTime(sendEnd, bound+afterBound)}
	if r.chance() {
		late.originDelay = lateChunkDelay
	}
	for range 1 + r.randomInt(pausedInstances) {
		late.silences = append(late.silences, silence{at: r.randomTime(sendEnd-beforeSendEnd, bound-beforeBound), length: r.randomTime(minPause, maxSilence), slow: r.chance() && r.chance()})
	}
	if r.chance() {
		late.nextAfter = r.randomTime(minSeriesInterval, maxSeriesInterval)
	}
	if r.chance() {
		late.tableAt = r.randomTime(sendEnd-beforeSendEnd, bound)
	}
	return late
}

// releaseLate names a version while the origin refuses or delays its chunks. Around the end of
// the send period some engines of the nearly full pool fall silent for a moment.
func (r *run) releaseLate() error {
	if r.config.Bounds.Version > r.config.Duration {
		r.logf("skipped: the bound of a release is longer than the run")
		return nil
	}
	origin := r.reserve("origin")
	if origin == nil {
		return nil
	}
	late, start := r.newLateRelease(), time.Now()
	r.logf("late release: %+v", late)
	var group sync.WaitGroup
	defer group.Wait()
	r.Origin.Delay.Store(int64(late.originDelay))
	r.Origin.Down.Store(late.originDelay == 0)
	at := func(after time.Duration, do func() error) {
		group.Go(func() {
			time.Sleep(time.Until(start.Add(after)))
			if err := do(); err != nil {
				r.history.addViolation("SOAK", "late release: "+err.Error())
			}
		})
	}
	at(late.originUntil, func() error {
		defer origin()
		r.Origin.Delay.Store(0)
		r.Origin.Down.Store(false)
		return nil
	})
	if late.nextAfter > 0 {
		at(late.nextAfter, r.nameVersion)
	}
	if late.tableAt > 0 {
		at(late.tableAt, r.changeRoute)
	}
	at(rollout.SendPeriod(r.config.Bounds.Version)-beforeSendEnd-fillBefore, func() error {
		return r.inFullPool(func() error { return r.silenceEngines(start, late.silences) })
	})
	return r.nameVersion()
}

// silenceEngines makes one engine silent for each of the silences.
func (r *run) silenceEngines(start time.Time, silences []silence) error {
	var group sync.WaitGroup
	defer group.Wait()
	for _, silence := range silences {
		instance, done := r.reserveInstance(r.isAgent)
		if instance == nil {
			break
		}
		group.Go(func() {
			defer done()
			time.Sleep(time.Until(start.Add(silence.at)))
			r.logf("%s is silent for %s, slow: %t", instance.Name, silence.length, silence.slow)
			if !silence.slow {
				instance.Backend.Pause(silence.length)
				time.Sleep(silence.length)
				return
			}
			instance.Backend.SetFaults(standin.BackendFaults{SilentAt: 1, SilentFor: silence.length})
			time.Sleep(silence.length)
			instance.Backend.SetFaults(standin.BackendFaults{})
		})
	}
	return nil
}

// nameVersion names the next version of the weights.
func (r *run) nameVersion() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	version := r.version + 1
	err := r.Store.Put(standin.KindReleases, testfleet.ModelWeights.Model, standin.EncodeRelease(testfleet.ModelWeights.Model, version))
	r.history.addRelease(version, time.Now())
	r.logf("version %d was released", version)
	return err
}

// besideRelease reports whether a request that an engine held ended between a release and the
// time after its bound at which the last silence beside it is over.
func (c *check) besideRelease(call Call) bool {
	held := false
	for _, execution := range c.executions[call.Attempt] {
		held = held || execution.Version > 0
	}
	if !held {
		return false
	}
	for _, release := range c.history.releases {
		if release.at.Before(call.Ended) && call.Sent.Before(release.at.Add(c.history.Bounds.Version+maxSilence)) {
			return true
		}
	}
	return false
}
