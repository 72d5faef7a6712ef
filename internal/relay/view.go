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
	"plantainrelay/platform"
)

// view is the decoded state of the copies. The table and the releases are
// replaced as a whole, so that readers take no lock.
type view struct {
	copies    *copies.Copies
	scheduler *scheduler
	log       *logrus.Entry
	active    atomic.Pointer[activeTables]
	releases  atomic.Pointer[placement.Releases]
	// onRelease is told of each release that is new since this process's start.
	onRelease func(catalog.Release)
	// releasesLoaded says that the releases were read once: what comes later is new.
	releasesLoaded bool
	// backendsMu is held by whoever replaces the list of backend servers, releasing by
	// whoever replaces the releases.
	backendsMu sync.Mutex
	releasesMu sync.Mutex
	// keepMissingUntil is the time until which entries of the list that are missing may
	// have lapsed, in nanoseconds of the boot clock.
	keepMissingUntil atomic.Int64
}

// activeTables are the activeTables in force with the content revision and the proof of the copy
// that they were decoded from.
type activeTables struct {
	*catalog.Table
	content int64
	proof   time.Time
}

// missingGracePeriod is how long after the list's return a missing entry may only have
// lapsed: the platform says that entries are back within about two seconds.
const missingGracePeriod = 2200 * time.Millisecond

// listOutageAge is the age of the list's proof that shows that the list was away; in
// calm times it stays below two waits of a watch.
const listOutageAge = 2*backendsWatchWait + 800*time.Millisecond

func newView(scheduler *scheduler, switchBound, stable time.Duration, log *logrus.Entry) *view {
	v := &view{scheduler: scheduler, log: log, onRelease: func(catalog.Release) {}}
	v.releases.Store(placement.NewReleases(switchBound, stable))
	return v
}

// handleChange decodes a collection that has news.
func (v *view) handleChange(kind platform.Kind) {
	switch kind {
	case platform.Tables:
		v.decodeTable()
		v.decodeBackends()
	case platform.Backends:
		v.decodeBackends()
	case platform.Releases:
		v.decodeReleases()
	}
}

func (v *view) decodeTable() {
	snapshot := v.copies.Snapshot(platform.Tables)
	document, found := snapshot.Documents[platform.TableName]
	if !found {
		return
	}
	table, err := platform.DecodeTable(document)
	if err != nil {
		v.log.WithError(err).Error("the tables are ignored; the last good ones stay in force")
		return
	}
	previous := v.table()
	if previous != nil && table.Version < previous.Version {
		v.log.WithField("version", table.Version).Warning("an older version of the tables is ignored")
		return
	}
	v.active.Store(&activeTables{Table: table, content: snapshot.Content, proof: snapshot.Proof})
	v.log.WithFields(logrus.Fields{
		"version": table.Version, "revision": document.Revision, "proof_age_ms": v.proofAge().Milliseconds(),
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
	var backends []catalog.Backend
	for _, document := range snapshot.Documents {
		if backend, ok := platform.DecodeBackend(document, table); ok {
			backends = append(backends, backend)
		}
	}
	for _, change := range v.scheduler.setList(backends, time.Unix(0, v.keepMissingUntil.Load()), now) {
		v.log.WithFields(logrus.Fields{
			"backend": change.ID, "pool": change.Pool, "state": string(change.Kind),
			"revision": snapshot.Content, "proof_age_ms": now.Sub(snapshot.Proof).Milliseconds(),
		}).Info("the list of backend servers changed")
	}
}

func (v *view) decodeReleases() {
	now := clock.Now()
	v.releasesMu.Lock()
	defer v.releasesMu.Unlock()
	next := v.releases.Load()
	for _, document := range v.copies.Documents(platform.Releases) {
		decoded, err := platform.DecodeRelease(document)
		if err != nil {
			v.log.WithError(err).Error("a release is ignored")
			continue
		}
		// What this process finds at its start may have been released long before.
		updated, isNew := next.Seen(decoded, !v.releasesLoaded, now)
		if isNew {
			v.log.WithFields(logrus.Fields{"model": decoded.Model, "version": decoded.Version, "revision": document.Revision}).Info("release seen")
			if v.releasesLoaded {
				v.onRelease(decoded)
			}
		}
		next = updated
	}
	v.releasesLoaded = true
	v.releases.Store(next)
}

// detectListOutage notes when the platform's list is away: no entry can prove then that
// its copy is current.
func (v *view) detectListOutage(now time.Time) {
	status := v.copies.Standing(platform.Backends)
	if status.Known && status.Age > listOutageAge {
		v.keepMissingUntil.Store(now.Add(missingGracePeriod).UnixNano())
	}
}

// table returns the tables in force, nil when there are none yet.
func (v *view) table() *catalog.Table {
	if active := v.active.Load(); active != nil {
		return active.Table
	}
	return nil
}

// tablesAndProofAge returns the tables in force and the age of the proof that they are current;
// without tables the age is the longest that there is.
// The proof of a copy counts only for the tables that were decoded from it: newer
// ones may not be in force yet, or can't be read.
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

// engine returns what is known of the engines of a pool, nil for pools of plain
// services.
func (v *view) engine(pool string) *catalog.Engine {
	if table := v.table(); table != nil {
		return table.Pools[pool].Engine
	}
	return nil
}

// releaseAges tells the releases whose age this process knows.
func (v *view) releaseAges(now time.Time) []beat.Release {
	var ages []beat.Release
	for _, known := range v.releases.Load().Ages(now) {
		ages = append(ages, beat.Release{Model: known.Model, Version: known.Version, AgeMs: known.Age.Milliseconds()})
	}
	return ages
}

// mergeReleaseAges takes the ages of releases from an entry that knows them.
func (v *view) mergeReleaseAges(ages []beat.Release, now time.Time) {
	v.releasesMu.Lock()
	defer v.releasesMu.Unlock()
	next := v.releases.Load()
	for _, age := range ages {
		next = next.Told(catalog.Release{Model: age.Model, Version: age.Version}, time.Duration(age.AgeMs)*time.Millisecond, now)
	}
	v.releases.Store(next)
}
