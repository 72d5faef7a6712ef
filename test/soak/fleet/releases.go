package fleet

import (
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

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
	originUntil time.Duration
	// originDelay is the delay of each chunk; 0 says that the origin refuses them.
	originDelay time.Duration
	silences    []silence
	// nextAfter is when another release follows, tableAt when the tables change, 0 for never.
	nextAfter, tableAt time.Duration
}

// newLateRelease draws a release and what comes beside it.
func (r *run) newLateRelease() lateRelease {
	bound := r.config.VersionSwitchTime
	sendEnd := rollout.SendPeriod(bound)
	late := lateRelease{originUntil: r.randomTime(sendEnd, bound+afterBound)}
	if r.chance() {
		late.originDelay = lateChunkDelay
	}
	for range 1 + r.randomInt(pausedInstances) {
		next := silence{at: r.randomTime(sendEnd-beforeSendEnd, bound-beforeBound), length: r.randomTime(minPause, maxSilence)}
		if r.chance() {
			next.slow = r.chance()
		}
		late.silences = append(late.silences, next)
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
	if r.config.VersionSwitchTime > r.config.Duration {
		r.logf("skipped: the bound of a release is longer than the run")
		return nil
	}
	release := r.reserve("origin")
	if release == nil {
		return nil
	}
	late, start := r.newLateRelease(), time.Now()
	r.logf("late release: %+v", late)
	r.setOrigin(late.originDelay == 0, late.originDelay)
	fillAt := rollout.SendPeriod(r.config.VersionSwitchTime) - beforeSendEnd - fillBefore
	steps := []step{
		{0, r.nameVersion},
		{fillAt, func() error {
			return r.inFullPool(func() error { return r.silenceEngines(start, late.silences) })
		}},
		{late.originUntil, func() error {
			defer release()
			r.setOrigin(false, 0)
			return nil
		}},
	}
	if late.nextAfter > 0 {
		steps = append(steps, step{late.nextAfter, r.nameVersion})
	}
	if late.tableAt > 0 {
		steps = append(steps, step{late.tableAt, r.changeRoute})
	}
	return performAt(start, steps)
}

// setOrigin makes the origin refuse or delay chunks.
func (r *run) setOrigin(down bool, delay time.Duration) {
	r.Origin.Down.Store(down)
	r.Origin.Delay.Store(int64(delay))
}

// step is what is done at a time after a start.
type step struct {
	after time.Duration
	do    func() error
}

// performAt performs steps at their times and waits until all have ended.
func performAt(start time.Time, steps []step) error {
	var group errgroup.Group
	for _, next := range steps {
		group.Go(func() error {
			time.Sleep(time.Until(start.Add(next.after)))
			return next.do()
		})
	}
	return group.Wait()
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
