package simulation

import (
	"fmt"
	"strings"
	"time"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/rollout"
)

// The bounds of the platform, and the margin with which package relay applies that on stability.
const (
	versionBound       = 8 * time.Second
	stablePeriod       = 3 * time.Second
	stablePeriodMargin = 800 * time.Millisecond
)

// versions holds the releases that an entry knows, as relay.view does.
type versions struct {
	releases *placement.Releases
	mutation Mutation
	// loaded is set once the releases have been read.
	loaded bool
	// known holds the known versions, for DropBetween.
	known []int64
}

func newVersions(mutation Mutation) *versions {
	enforceAfter := rollout.SendPeriod(versionBound)
	switch mutation {
	case EnforceLate:
		enforceAfter = versionBound
	case ShortSendMargin:
		enforceAfter = versionBound - shortSendMargin
	}
	return &versions{releases: placement.NewReleases(enforceAfter, stablePeriod-stablePeriodMargin), mutation: mutation}
}

// add applies the release in the copy of the store. It reports whether it is new.
func (v *versions) add(version int64, now time.Time) (isNew bool) {
	found := !v.loaded && v.mutation != FoundIsNew
	v.releases, isNew = v.releases.Add(catalog.Release{Model: model, Version: version}, found, now)
	v.loaded = true
	if isNew {
		v.known = append(v.known, version)
	}
	return isNew
}

// merge applies the age of a release as a peer reported it. It reports whether that
// changed anything.
func (v *versions) merge(age placement.ReleaseAge, now time.Time) bool {
	if v.mutation == IgnorePeerAges || v.mutation == DropBetween && v.liesBetween(age.Version) {
		return false
	}
	merged := v.releases.MergePeerAge(age, now)
	if merged == v.releases {
		return false
	}
	v.releases = merged
	v.known = append(v.known, age.Version)
	return true
}

// liesBetween reports whether a version is unknown, with known ones before and after it.
func (v *versions) liesBetween(version int64) bool {
	older, newer := false, false
	for _, known := range v.known {
		if known == version {
			return false
		}
		older, newer = older || known < version, newer || known > version
	}
	return older && newer
}

func (v *versions) minVersion(now time.Time) int64 {
	if v.mutation == NeverEnforce {
		return 0
	}
	return v.releases.MinVersion(model, now)
}

// describe returns the releases with their ages, for timelines.
func (v *versions) describe(now time.Time) string {
	var known []string
	for _, age := range v.releases.Ages(now) {
		text := fmt.Sprintf("%d aged %d ms", age.Version, age.Age.Milliseconds())
		if age.Estimated {
			text += " (estimated)"
		}
		known = append(known, text)
	}
	return fmt.Sprintf("oldest allowed version %d, releases: %s", v.minVersion(now), strings.Join(known, ", "))
}
