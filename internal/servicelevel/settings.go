package servicelevel

import (
	"time"

	"plantainrelay/internal/burn"
	"plantainrelay/internal/settings"
)

const (
	section        = "objectives"
	allPerMillion  = 1_000_000
	maxBound       = 24 * time.Hour
	defaultBad     = 1000
	defaultLate    = 50_000
	defaultFirst   = 1100 * time.Millisecond
	defaultBetween = 38 * time.Millisecond
	defaultTimeToN = 5 * time.Minute
	defaultForce   = 6 * time.Second
)

// ReadTargets reads the targets of the service-level objectives.
func ReadTargets(r *settings.Reader) burn.Targets {
	share := func(key string, fallback int64) int64 {
		return r.Int(section, key, fallback, 1, allPerMillion)
	}
	bound := func(key string, fallback time.Duration) time.Duration {
		return r.Duration(section, key, fallback, time.Millisecond, maxBound)
	}
	late := share("late_per_million", defaultLate)
	return burn.Targets{
		burn.Availability:     {BadPerMillion: share("not_answered_per_million", defaultBad)},
		burn.FirstToken:       {BadPerMillion: late, Bound: bound("first_token", defaultFirst)},
		burn.BetweenTokens:    {BadPerMillion: late, Bound: bound("between_tokens", defaultBetween)},
		burn.VersionRollout:   {BadPerMillion: late, Bound: bound("time_to_n", defaultTimeToN)},
		burn.TablePropagation: {BadPerMillion: share("late_edits_per_million", defaultBad), Bound: bound("table_in_force", defaultForce)},
	}
}
