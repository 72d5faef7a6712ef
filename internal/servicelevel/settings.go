package servicelevel

import (
	"time"

	"plantainrelay/internal/burn"
	"plantainrelay/internal/settings"
)

const (
	section                 = "objectives"
	perMillion              = 1_000_000
	maxBound                = 24 * time.Hour
	defaultBadPerMillion    = 1000
	defaultLatePerMillion   = 50_000
	defaultFirstToken       = 1100 * time.Millisecond
	defaultBetweenTokens    = 38 * time.Millisecond
	defaultVersionRollout   = 5 * time.Minute
	defaultTablePropagation = 6 * time.Second
)

// ReadTargets reads the targets of the service-level objectives.
func ReadTargets(r *settings.Reader) burn.Targets {
	share := func(key string, fallback int64) int64 {
		return r.Int(section, key, fallback, 1, perMillion)
	}
	bound := func(key string, fallback time.Duration) time.Duration {
		return r.Duration(section, key, fallback, time.Millisecond, maxBound)
	}
	late := share("late_per_million", defaultLatePerMillion)
	return burn.Targets{
		burn.Availability:     {BadPerMillion: share("not_answered_per_million", defaultBadPerMillion)},
		burn.FirstToken:       {BadPerMillion: late, Bound: bound("first_token", defaultFirstToken)},
		burn.BetweenTokens:    {BadPerMillion: late, Bound: bound("between_tokens", defaultBetweenTokens)},
		burn.VersionRollout:   {BadPerMillion: late, Bound: bound("time_to_n", defaultVersionRollout)},
		burn.TablePropagation: {BadPerMillion: share("late_edits_per_million", defaultBadPerMillion), Bound: bound("table_in_force", defaultTablePropagation)},
	}
}
