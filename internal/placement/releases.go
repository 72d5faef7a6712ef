package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"plantainrelay/internal/catalog"
)

// maxReleasesPerModel bounds the number of recent versions kept and reported for one
// model: more than are released while the bound of the first is running.
const maxReleasesPerModel = 32

const (
	// reportSlack is the difference of two reported times below which they count as equal.
	reportSlack = 20 * time.Millisecond
	// sightingDelay is how much later than others an entry may see a release and still
	// know when it came.
	sightingDelay = 500 * time.Millisecond
)

// release is one target version of a model's weights.
type release struct {
	version int64
	// firstSeen is when this entry, or the entry that reported it, first saw the
	// version.
	firstSeen time.Time
	// estimated says that the version may have been released long before firstSeen. A
	// report of an entry that saw it appear replaces the estimate.
	estimated bool
}

// Releases holds the target versions of all models, and the times after which
// older versions must not start a request. It is immutable.
type Releases struct {
	// enforceAfter is the time from a release until only this version, or a newer
	// one, may start requests.
	enforceAfter time.Duration
	// startGrace is the time for which a process that starts, or goes on after a pause,
	// does not enforce a version whose release time it does not know.
	startGrace time.Duration
	models     map[string][]release
}

// NewReleases returns Releases without any version.
func NewReleases(enforceAfter, startGrace time.Duration) *Releases {
	return &Releases{enforceAfter: enforceAfter, startGrace: startGrace, models: map[string][]release{}}
}

// Add returns the releases with one more, which this entry first sees now. maybeOld says
// that it may have been released long ago. isNew is false if the version is known
// or older than the newest known version; the releases are then unchanged.
func (r *Releases) Add(released catalog.Release, maybeOld bool, now time.Time) (next *Releases, isNew bool) {
	known := r.models[released.Model]
	if len(known) > 0 && known[len(known)-1].version >= released.Version {
		return r, false
	}
	added := release{version: released.Version, firstSeen: now, estimated: maybeOld}
	return r.withVersions(released.Model, append(slices.Clone(known), added)), true
}

// MergePeerAge returns the releases with the age of one of them as another entry
// reported it: how long ago that entry first saw the release. A version that is
// older than the newest known version is added too, wherever it belongs, because
// enforceAfter may not have passed for it yet. A newer version is ignored.
func (r *Releases) MergePeerAge(told ReleaseAge, now time.Time) *Releases {
	known := r.models[told.Model]
	if len(known) == 0 || told.Version > known[len(known)-1].version {
		return r
	}
	reported := release{version: told.Version, firstSeen: now.Add(-told.Age), estimated: told.Estimated}
	at, found := slices.BinarySearchFunc(known, told.Version, func(known release, version int64) int { return cmp.Compare(known.version, version) })
	switch {
	case found && !reported.replaces(known[at]):
		return r
	case found:
		if reported.firstSeen.After(known[at].firstSeen) {
			// This entry has seen the release before the one that saw it appear.
			reported.firstSeen = known[at].firstSeen
		}
		versions := slices.Clone(known)
		versions[at] = reported
		return r.withVersions(told.Model, versions)
	case at == 0 && len(known) >= maxReleasesPerModel:
		return r
	}
	return r.withVersions(told.Model, slices.Insert(slices.Clone(known), at, reported))
}

// replaces reports whether a reported time is better than the known one of the same
// version. A time that another entry has not estimated is no use if this entry saw the
// version earlier: the other one has missed when it came.
func (r release) replaces(known release) bool {
	if known.estimated && !r.estimated {
		return r.firstSeen.Before(known.firstSeen.Add(sightingDelay))
	}
	return known.estimated == r.estimated && r.firstSeen.Before(known.firstSeen.Add(-reportSlack))
}

func (r release) age(model string, now time.Time) ReleaseAge {
	return ReleaseAge{Release: catalog.Release{Model: model, Version: r.version}, Age: now.Sub(r.firstSeen), Estimated: r.estimated}
}

// enforcedFrom returns the time from which older versions must not start a request.
func (r *Releases) enforcedFrom(known release) time.Time {
	if known.estimated {
		return known.firstSeen.Add(r.startGrace)
	}
	return known.firstSeen.Add(r.enforceAfter)
}

func (r *Releases) withVersions(model string, versions []release) *Releases {
	models := maps.Clone(r.models)
	models[model] = versions[max(len(versions)-maxReleasesPerModel, 0):]
	return &Releases{enforceAfter: r.enforceAfter, startGrace: r.startGrace, models: models}
}

// MinVersion returns the oldest version that may start a request now, 0 for any.
func (r *Releases) MinVersion(model string, now time.Time) int64 {
	for _, known := range slices.Backward(r.models[model]) {
		if !now.Before(r.enforcedFrom(known)) {
			return known.version
		}
	}
	return 0
}

// AllowedUntil returns the time from which a version must not start a request, because a
// newer one is enforced. limited is false if no newer version is known.
func (r *Releases) AllowedUntil(model string, version int64) (until time.Time, limited bool) {
	return r.StartBy(model, version, 0, 0)
}

// StartBy returns the time by which an instance must have started a request on a version: margin
// after the time that AllowedUntil names, or estimateMargin where the time of the newer release is
// an estimate. limited is false if no newer version is known.
func (r *Releases) StartBy(model string, version int64, margin, estimateMargin time.Duration) (by time.Time, limited bool) {
	for _, known := range r.models[model] {
		if known.version <= version {
			continue
		}
		end := r.enforcedFrom(known).Add(margin)
		if known.estimated {
			end = r.enforcedFrom(known).Add(estimateMargin)
		}
		if !limited || end.Before(by) {
			by, limited = end, true
		}
	}
	return by, limited
}

// FirstNewer returns the oldest known release that is newer than a version, with its age.
func (r *Releases) FirstNewer(model string, version int64, now time.Time) (newer ReleaseAge, found bool) {
	for _, known := range r.models[model] {
		if known.version > version {
			return known.age(model, now), true
		}
	}
	return ReleaseAge{}, false
}

// Models returns the models with a known release, in order.
func (r *Releases) Models() []string { return slices.Sorted(maps.Keys(r.models)) }

// TargetVersion returns the target version of a model, 0 if none is known.
func (r *Releases) TargetVersion(model string) int64 {
	known := r.models[model]
	if len(known) == 0 {
		return 0
	}
	return known[len(known)-1].version
}

// ReleaseAge is the time since a release was first seen.
type ReleaseAge struct {
	catalog.Release
	Age time.Duration
	// Estimated says that the release may be older than Age: it was there when the
	// reporting entry started, or went on after a pause.
	Estimated bool
}

// Ages returns the ages of the releases that decide which versions may start requests
// from now on: the one that is enforced, and all newer ones.
func (r *Releases) Ages(now time.Time) []ReleaseAge {
	var ages []ReleaseAge
	for _, model := range r.Models() {
		enforced := r.MinVersion(model, now)
		for _, known := range r.models[model] {
			if known.version >= enforced {
				ages = append(ages, known.age(model, now))
			}
		}
	}
	return ages
}
