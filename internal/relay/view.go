package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/replica"
	"plantainrelay/internal/rollout"
	"plantainrelay/platform"
)

// view is the decoded state of the replicated collections. The table and the releases
// are replaced as a whole, so that readers take no lock.
type view struct {
	copies    *copies.Copies
	scheduler *scheduler
	blocker   *blocker
	log       *logrus.Entry
	active    atomic.Pointer[activeTables]
	releases  atomic.Pointer[placement.Releases]
	// evacuationsApplied means that the evacuations were read once and are in force.
	evacuationsApplied atomic.Bool
	// onRelease is called for each release that was published after this process had
	// started.
	onRelease func(catalog.Release)
	// releasesLoaded means that the releases were read once: any that appear later are
	// new.
	releasesLoaded bool
	// lastTick is when recordVersionLimits ran last; after a gap of more than
	// maxTickGap the process was paused until pauseEnd.
	lastTick, pauseEnd time.Time
	startGrace         time.Duration
	// sendMargin is the time from the last request that may be sent to older weights to the end
	// of the bound on them.
	sendMargin time.Duration
	// minVersions holds the oldest version of each model that may start requests, as it
	// was last logged.
	minVersions    map[string]int64
	versionMetrics *versionMetrics
	// backendsMu is held while the list of backend servers is decoded and replaced,
	// releasesMu while the releases are replaced or their limits are logged.
	backendsMu     sync.Mutex
	backendDecoder platform.BackendDecoder
	listHistory    placement.ListHistory
	releasesMu     sync.Mutex
	// keepMissingUntil is the time, in nanoseconds of the boot clock, until which
	// backend servers missing from the list are kept, since their list entries may only
	// have expired during a store outage.
	keepMissingUntil atomic.Int64
	// recheckListAt is the time, in nanoseconds of the boot clock, at which the list is
	// decoded again although it has not changed; 0 for never.
	recheckListAt atomic.Int64
}

// activeTables are the tables in force, with the content revision and the proof of the
// copy that they were decoded from.
type activeTables struct {
	*catalog.Table
	content replica.Revision
	proof   time.Time
}

// missingGracePeriod is how long after the end of a list outage a missing backend
// server may only have an expired list entry: the platform specifies that entries
// reappear within about two seconds.
const missingGracePeriod = 2200 * time.Millisecond

// maxTickGap is the time between two calls of recordVersionLimits above which the process
// was paused.
const maxTickGap = 500 * time.Millisecond

// maxTickDelay is how much later than due a call of recordVersionLimits may come without a pause.
const maxTickDelay = 50 * time.Millisecond

// wakeTime is how long after a pause the process still reads what arrived during the pause.
const wakeTime = 200 * time.Millisecond

// listOutageAge is the age of the list's proof that indicates an outage of the list. In
// normal operation the age stays below two watch timeouts.
const listOutageAge = 2*backendsWatchTimeout + 800*time.Millisecond

// newView returns a view without collections. versionBound is the time after a release from
// which no request may begin on older weights.
func newView(scheduler *scheduler, blocker *blocker, versionBound, stable time.Duration, log *logrus.Entry) *view {
	sendPeriod := rollout.SendPeriod(versionBound)
	v := &view{
		scheduler: scheduler, blocker: blocker, log: log, onRelease: func(catalog.Release) {}, minVersions: map[string]int64{}, versionMetrics: newVersionMetrics(), startGrace: stable, sendMargin: versionBound - sendPeriod,
	}
	v.releases.Store(placement.NewReleases(sendPeriod, stable))
	return v
}

// minVersion returns the oldest version of a model's weights that may start a request
// now, 0 for any.
func (v *view) minVersion(model string, now time.Time) int64 {
	return v.releases.Load().MinVersion(model, now)
}

// handleChange decodes a collection that has changed.
func (v *view) handleChange(kind platform.Kind) {
	switch kind {
	case platform.Tables:
		v.decodeTable()
		v.decodeBackends()
	case platform.Backends:
		v.decodeBackends()
	case platform.Releases:
		v.decodeReleases()
	case platform.Blocks:
		v.decodeBlocks()
	case platform.Evacuations:
		v.decodeEvacuations()
	}
}

// decodeBlocks applies the records of blocked parts.
func (v *view) decodeBlocks() {
	snapshot := v.copies.Snapshot(platform.Blocks)
	v.blocker.setStored(decodeStoredBlocks(snapshot.Documents, snapshot.Content.Era, v.log))
}

func (v *view) decodeTable() {
	snapshot := v.copies.Snapshot(platform.Tables)
	document, found := snapshot.Documents[platform.TableName]
	if !found {
		return
	}
	table, err := platform.DecodeTable(document)
	if err != nil {
		v.log.WithError(err).Error("cannot decode the tables; the last valid ones stay in force")
		return
	}
	previous := v.table()
	if previous != nil && table.Version < previous.Version {
		v.log.WithField("version", table.Version).Warning("ignoring an older version of the tables")
		return
	}
	v.active.Store(&activeTables{Table: table, content: snapshot.Content, proof: snapshot.Proof})
	needsKeys, customers := table.ListsCustomers()
	v.log.WithFields(logrus.Fields{
		"version": table.Version, "needs_keys": needsKeys, "customers": customers, "revision": document.Revision.Number, "era": document.Revision.Era, "proof_age_ms": v.proofAge().Milliseconds(),
	}).Info("tables in force")
}

func (v *view) decodeBackends() {
	v.backendsMu.Lock()
	defer v.backendsMu.Unlock()
	table := v.table()
	if table == nil {
		return
	}
	now := clock.Now()
	snapshot := v.copies.Snapshot(platform.Backends)
	backends := v.backendDecoder.Decode(snapshot.Documents, table)
	if v.listHistory.Restored(snapshot.Content.Era) {
		// The restored list lacks the instances that have registered since the copy was
		// made; they register again as after an outage.
		v.keepMissingUntil.Store(now.Add(missingGracePeriod).UnixNano())
	}
	v.listHistory.Correct(backends, snapshot.Documents, snapshot.Content.Era, now)
	v.recheckListAt.Store(unixNano(v.listHistory.RecheckAt(now)))
	for _, change := range v.scheduler.setList(backends, time.Unix(0, v.keepMissingUntil.Load()), now) {
		v.logBackendChange(change, snapshot.Content, now.Sub(snapshot.Proof))
	}
}

// backendExpired logs that an instance missing from the list is no longer kept. It takes
// no lock of the scheduler.
func (v *view) backendExpired(change placement.Change) {
	state := v.copies.CollectionState(platform.Backends)
	v.logBackendChange(change, state.Content, state.Age)
}

func (v *view) logBackendChange(change placement.Change, revision replica.Revision, proofAge time.Duration) {
	fields := logrus.Fields{
		"backend": change.ID, "pool": change.Pool, "state": string(change.Kind), "revision": revision.Number, "era": revision.Era, "proof_age_ms": proofAge.Milliseconds(),
	}
	if change.Kind == placement.Cold {
		fields["cold_left_ms"] = change.ColdLeft.Milliseconds()
	}
	v.log.WithFields(fields).Info("backend server list changed")
}

func (v *view) decodeReleases() {
	now := clock.Now()
	v.releasesMu.Lock()
	defer v.releasesMu.Unlock()
	v.detectPause(now)
	next := v.releases.Load()
	for _, document := range v.copies.Documents(platform.Releases) {
		decoded, err := platform.DecodeRelease(document)
		if err != nil {
			v.log.WithError(err).Error("cannot decode a release; it is ignored")
			continue
		}
		// A release that is present at the start of the process, or found after a pause, may
		// be old.
		updated, isNew := next.Add(decoded, !v.releasesLoaded || v.recentlyPaused(now), v.seenSince(now))
		if isNew {
			v.log.WithFields(logrus.Fields{"model": decoded.Model, "version": decoded.Version, "revision": document.Revision.Number, "era": document.Revision.Era}).Info("release seen")
			if v.releasesLoaded {
				v.onRelease(decoded)
			}
		}
		next = updated
	}
	v.releasesLoaded = true
	v.releases.Store(next)
}

// seenSince returns the earliest time at which what is read now may have come: this process may
// have stood still for less than maxTickGap. The caller holds releasesMu.
func (v *view) seenSince(now time.Time) time.Time {
	if !v.lastTick.IsZero() && now.Sub(v.lastTick) > heartbeatInterval+maxTickDelay {
		return v.lastTick
	}
	return now
}

// unixNano returns the time in nanoseconds, 0 for the zero time.
func unixNano(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixNano()
}

// recheckList decodes the list again when it is time.
func (v *view) recheckList(now time.Time) {
	if at := v.recheckListAt.Load(); at != 0 && now.UnixNano() >= at {
		v.decodeBackends()
	}
}

// detectListOutage extends the grace period for missing backend servers during an
// outage of the platform's list, in which no entry can prove that its copy is current.
func (v *view) detectListOutage(now time.Time) {
	status := v.copies.CollectionState(platform.Backends)
	if status.Known && status.Age > listOutageAge {
		v.keepMissingUntil.Store(now.Add(missingGracePeriod).UnixNano())
	}
}

// table returns the tables in force, or nil when there are none yet.
func (v *view) table() *catalog.Table {
	if active := v.active.Load(); active != nil {
		return active.Table
	}
	return nil
}

// tablesAndProofAge returns the tables in force and the age of the proof that they are
// current; without tables the age is the maximum duration. The proof of a copy counts
// only for the tables that were decoded from it: a newer revision in the copy may not
// be in force yet, or may not be decodable.
func (v *view) tablesAndProofAge() (*catalog.Table, time.Duration) {
	active := v.active.Load()
	if active == nil {
		return nil, clock.Now().Sub(time.Time{})
	}
	proof, known := v.copies.ProofOf(platform.Tables, active.content)
	if !known {
		proof = active.proof
	}
	return active.Table, clock.Now().Sub(proof)
}

// proofAge returns the age of the proof that the tables in force are current.
func (v *view) proofAge() time.Duration {
	_, age := v.tablesAndProofAge()
	return age
}

// engine returns the model engine settings of a pool, or nil for pools of plain
// services.
func (v *view) engine(pool string) *catalog.Engine {
	if table := v.table(); table != nil {
		return table.Pools[pool].Engine
	}
	return nil
}

// releaseAges returns the releases whose age this process knows.
func (v *view) releaseAges(now time.Time) []beat.Release {
	var ages []beat.Release
	for _, release := range v.releases.Load().Ages(now) {
		ages = append(ages, beat.Release{Model: release.Model, Version: release.Version, AgeMs: release.Age.Milliseconds(), Estimated: release.Estimated})
	}
	return ages
}

// mergeReleaseAges merges the release ages received from another entry.
func (v *view) mergeReleaseAges(peer string, ages []beat.Release, now time.Time) {
	v.releasesMu.Lock()
	defer v.releasesMu.Unlock()
	next := v.releases.Load()
	// A message that waited while this process stood still makes a release too young.
	v.detectPause(now)
	waited := v.recentlyPaused(now)
	for _, age := range ages {
		merged := next.MergePeerAge(placement.ReleaseAge{
			Release: catalog.Release{Model: age.Model, Version: age.Version}, Age: time.Duration(age.AgeMs) * time.Millisecond, Estimated: age.Estimated || waited,
		}, now)
		if merged != next {
			v.log.WithFields(logrus.Fields{"model": age.Model, "version": age.Version, "told_age_ms": age.AgeMs, "estimated": age.Estimated, "peer": peer}).Info("a peer reported the age of a release")
		}
		next = merged
	}
	v.releases.Store(next)
}

// detectPause notes a pause of the process that has just ended. The caller holds releasesMu.
func (v *view) detectPause(now time.Time) {
	if !v.lastTick.IsZero() && now.Sub(v.lastTick) > maxTickGap {
		v.log.WithField("ms", now.Sub(v.lastTick).Milliseconds()).Info("the process was paused")
		v.lastTick, v.pauseEnd = now, now
	}
}

// lastPauseEnd returns when the last pause of the process ended; zero without one.
func (v *view) lastPauseEnd(now time.Time) time.Time {
	v.releasesMu.Lock()
	defer v.releasesMu.Unlock()
	v.detectPause(now)
	return v.pauseEnd
}

// wasPausedSince reports whether the process may have been paused since the given time.
func (v *view) wasPausedSince(at time.Time) bool {
	return v.lastPauseEnd(clock.Now()).Add(wakeTime).After(at)
}

// recentlyPaused reports whether a pause of the process ended less than startGrace ago. The
// caller holds releasesMu.
func (v *view) recentlyPaused(now time.Time) bool {
	return !v.pauseEnd.IsZero() && now.Sub(v.pauseEnd) < v.startGrace
}

// recordVersionLimits logs the oldest versions that may start requests when they have
// changed, and updates their metrics. It has to be called at least every heartbeatInterval.
func (v *view) recordVersionLimits(now time.Time) {
	v.releasesMu.Lock()
	defer v.releasesMu.Unlock()
	v.detectPause(now)
	v.lastTick = now
	releases := v.releases.Load()
	for _, model := range releases.Models() {
		minVersion, target := releases.MinVersion(model, now), releases.TargetVersion(model)
		v.versionMetrics.minVersion.WithLabelValues(model).Set(float64(minVersion))
		v.versionMetrics.target.WithLabelValues(model).Set(float64(target))
		if last := v.minVersions[model]; last != minVersion {
			v.log.WithFields(logrus.Fields{"model": model, "min_version": minVersion, "last": last, "target": target}).Info("oldest allowed version changed")
			v.minVersions[model] = minVersion
		}
	}
}
