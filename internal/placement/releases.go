package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"plantainrelay/internal/catalog"
)

// maxReleases bounds the number of recent versions kept for one model.
const maxReleases = 8

// release is one target version of a model's weights.
type release struct {
	version int64
	// seen is when this entry, or the entry that reported it, first saw the version.
	seen time.Time
	// guessed says that seen is an estimate, which a report of another entry
	// replaces.
	guessed bool
}

// Releases holds the target versions of all models, and the times after which
// older versions must not start a request. It is immutable.
type Releases struct {
	// bound is the time from a release until only this version, or a newer one,
	// may start requests.
	bound time.Duration
	// grace is the time for which a starting process does not enforce a version
	// whose release time it does not know.
	grace  time.Duration
	models map[string][]release
}

// NewReleases returns Releases without any version.
func NewReleases(bound, grace time.Duration) *Releases {
	return &Releases{bound: bound, grace: grace, models: map[string][]release{}}
}

// Seen returns the releases with one more, first seen now. old says that it may
// have been released long ago. isNew is false if the version is known or older
// than the newest one.
func (r *Releases) Seen(one catalog.Release, old bool, now time.Time) (next *Releases, isNew bool) {
	known := r.models[one.Model]
	if len(known) > 0 && known[len(known)-1].version >= one.Version {
		return r, false
	}
	added := release{version: one.Version, seen: now, guessed: old}
	if old {
		added.seen = now.Add(r.grace - r.bound)
	}
	versions := append(slices.Clone(known), added)
	return r.with(one.Model, versions[max(len(versions)-maxReleases, 0):]), true
}

// Told records how long ago another entry first saw a release. A version that is
// older than the newest one known here is recorded too, because its bound may not
// have passed yet.
func (r *Releases) Told(one catalog.Release, age time.Duration, now time.Time) *Releases {
	const slack = 20 * time.Millisecond
	known := r.models[one.Model]
	if len(known) == 0 || one.Version > known[len(known)-1].version {
		return r
	}
	told := release{version: one.Version, seen: now.Add(-age)}
	at, found := slices.BinarySearchFunc(known, one.Version, func(known release, version int64) int { return cmp.Compare(known.version, version) })
	versions := slices.Clone(known)
	switch {
	case !found && (at > 0 || len(known) >= maxReleases):
		return r
	case !found:
		versions = slices.Insert(versions, at, told)
	case !known[at].guessed && !told.seen.Before(known[at].seen.Add(-slack)):
		return r
	default:
		versions[at] = told
	}
	return r.with(one.Model, versions)
}

func (r *Releases) with(model string, versions []release) *Releases {
	models := maps.Clone(r.models)
	models[model] = versions
	return &Releases{bound: r.bound, grace: r.grace, models: models}
}

// Required returns the oldest version that may start a request now, 0 for any.
func (r *Releases) Required(model string, now time.Time) int64 {
	for _, known := range slices.Backward(r.models[model]) {
		if !now.Before(known.seen.Add(r.bound)) {
			return known.version
		}
	}
	return 0
}

// Newest returns the target version of a model, 0 if none is known.
func (r *Releases) Newest(model string) int64 {
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
}

// Ages returns the ages of the newest releases whose time is known. Estimates
// are left out, so that other entries do not take them over.
func (r *Releases) Ages(now time.Time) []ReleaseAge {
	const most = 3
	var ages []ReleaseAge
	for _, model := range slices.Sorted(maps.Keys(r.models)) {
		versions := r.models[model]
		for _, known := range versions[max(len(versions)-most, 0):] {
			if !known.guessed {
				ages = append(ages, ReleaseAge{Release: catalog.Release{Model: model, Version: known.version}, Age: now.Sub(known.seen)})
			}
		}
	}
	return ages
}
