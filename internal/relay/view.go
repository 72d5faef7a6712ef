package relay

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
)

// release is the intended version of one model's weights.
type release struct {
	version int64
	// seen is when it was learned of, here or at the entry that told of it.
	seen time.Time
	// guessed says that seen is a guess: this process has begun since.
	guessed bool
}

// view is the decoded state of the copies. The table and the releases are
// replaced as a whole, so that readers take no lock.
type view struct {
	copies *copies.Copies
	// switchBound is the time in which a new version serves everywhere, stable
	// the time for which a process has to run before it is held to that.
	switchBound time.Duration
	stable      time.Duration
	gate        *gate
	log         *logrus.Entry
	table       atomic.Pointer[catalog.Table]
	releases    atomic.Pointer[map[string]release]
	// listed says that the releases were read once: what comes later is new.
	listed bool
	// awayUntil is the time until which entries of the list that are missing may
	// have lapsed, in nanoseconds of the boot clock.
	awayUntil atomic.Int64
}

// lapseWindow is how long after the list was away a missing entry may only have
// lapsed: the platform says that entries are back within about two seconds.
const lapseWindow = 3 * time.Second

// awayAge is the age of the list's proof that shows that the list was away; in
// calm times it stays below two waits of a watch.
const awayAge = 2*backendsWait + 800*time.Millisecond

// ageSlack is the difference between two words on a release's age that does not
// matter.
const ageSlack = 20 * time.Millisecond

func newView(gate *gate, log *logrus.Entry) *view {
	v := &view{gate: gate, log: log}
	v.releases.Store(&map[string]release{})
	return v
}

// changed decodes a collection that has news.
func (v *view) changed(kind platform.Kind) {
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
	document, found := v.copies.Documents(platform.Tables)[platform.TableName]
	if !found {
		return
	}
	table, err := platform.DecodeTable(document)
	if err != nil {
		v.log.WithError(err).Error("the tables are ignored; the last good ones stay in force")
		return
	}
	last := v.table.Load()
	if last != nil && table.Version < last.Version {
		v.log.WithField("version", table.Version).Warning("an older version of the tables is ignored")
		return
	}
	v.table.Store(table)
	v.log.WithFields(logrus.Fields{"version": table.Version, "revision": document.Revision}).Info("tables in force")
}

func (v *view) decodeBackends() {
	table := v.table.Load()
	if table == nil {
		return
	}
	now := clock.Now()
	var backends []catalog.Backend
	for _, document := range v.copies.Documents(platform.Backends) {
		if backend, ok := platform.DecodeBackend(document, table); ok {
			backends = append(backends, backend)
		}
	}
	v.gate.setList(backends, now.UnixNano() < v.awayUntil.Load(), now)
}

func (v *view) decodeReleases() {
	now := clock.Now()
	last := *v.releases.Load()
	next := map[string]release{}
	for model, known := range last {
		next[model] = known
	}
	for _, document := range v.copies.Documents(platform.Releases) {
		v.decodeRelease(document, next, now)
	}
	v.listed = true
	v.releases.Store(&next)
}

func (v *view) decodeRelease(document replica.Document, into map[string]release, now time.Time) {
	decoded, err := platform.DecodeRelease(document)
	if err != nil {
		v.log.WithError(err).Error("a release is ignored")
		return
	}
	if decoded.Version > into[decoded.Model].version {
		next := release{version: decoded.Version, seen: now}
		if !v.listed {
			// It may have been released long before this process began.
			next.seen, next.guessed = now.Add(v.stable-v.switchBound), true
		}
		into[decoded.Model] = next
		v.log.WithFields(logrus.Fields{"model": decoded.Model, "version": decoded.Version, "revision": document.Revision}).Info("release seen")
	}
}

// watchList notes when the platform's list is away.
func (v *view) watchList(now time.Time) {
	standing := v.copies.Standing(platform.Backends)
	failed := v.copies.FailedAt(platform.Backends)
	if standing.Age > awayAge || (!failed.IsZero() && now.Sub(failed) < lapseWindow) {
		v.awayUntil.Store(now.Add(lapseWindow).UnixNano())
	}
}

// proofAge returns the age of the proof that the tables are current.
func (v *view) proofAge() time.Duration {
	return v.copies.Standing(platform.Tables).Age
}

// engine returns what is known of the engines of a pool, nil for pools of plain
// services.
func (v *view) engine(pool string) *catalog.Engine {
	if table := v.table.Load(); table != nil {
		return table.Pools[pool].Engine
	}
	return nil
}

// releaseAges tells the releases whose age this process knows.
func (v *view) releaseAges(now time.Time) []beat.Release {
	var ages []beat.Release
	for model, known := range *v.releases.Load() {
		if !known.guessed {
			ages = append(ages, beat.Release{Model: model, Version: known.version, AgeMs: now.Sub(known.seen).Milliseconds()})
		}
	}
	return ages
}

// heardReleases takes the ages of releases from an entry that knows them.
func (v *view) heardReleases(ages []beat.Release, now time.Time) {
	last := *v.releases.Load()
	for _, age := range ages {
		known, found := last[age.Model]
		if !found || known.version != age.Version {
			continue
		}
		seen := now.Add(-time.Duration(age.AgeMs) * time.Millisecond)
		if !known.guessed && !seen.Before(known.seen.Add(-ageSlack)) {
			continue
		}
		next := maps.Clone(last)
		next[age.Model] = release{version: known.version, seen: seen}
		v.releases.Store(&next)
		last = next
	}
}
