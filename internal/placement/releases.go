package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"plantainrelay/internal/catalog"
)

// maxReleases bounds the versions of one model whose bounds are kept.
const maxReleases = 8

// release is one intended version of a model's weights.
type release struct {
	version int64
	// seen is when it was learned of, here or at the entry that told of it.
	seen time.Time
	// guessed says that seen is a guess, which the word of another entry replaces.
	guessed bool
}

// Releases holds the intended versions of all models, and from when on an older
// version may no longer begin on a request. It is immutable.
type Releases struct {
	// bound is the time in which a version serves everywhere.
	bound time.Duration
	// grace is the time for which a starting process is not held to the bound of
	// a version whose age it does not know.
	grace  time.Duration
	models map[string][]release
}

// NewReleases returns releases without a version.
func NewReleases(bound, grace time.Duration) *Releases {
	return &Releases{bound: bound, grace: grace, models: map[string][]release{}}
}

// Seen returns the releases with one more, learned of now. old says that it may
// have been released long ago. isNew is false for one that is known or older.
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

// Told takes in how long ago another entry learned of a release. A version that
// is older than the newest one known here counts, too: its bound may still run.
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

// Required returns the oldest version that may begin on a request now, 0 for
// any.
func (r *Releases) Required(model string, now time.Time) int64 {
	for _, known := range slices.Backward(r.models[model]) {
		if !now.Before(known.seen.Add(r.bound)) {
			return known.version
		}
	}
	return 0
}

// Newest returns the intended version of a model, 0 when none is known.
func (r *Releases) Newest(model string) int64 {
	known := r.models[model]
	if len(known) == 0 {
		return 0
	}
	return known[len(known)-1].version
}

// ReleaseAge is how long ago a release was learned of.
type ReleaseAge struct {
	catalog.Release
	Age time.Duration
}

// Ages returns the ages of the newest releases that are known.
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
