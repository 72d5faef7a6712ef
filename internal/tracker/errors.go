package tracker

import "plantainrelay/internal/failure"

var (
	errShuttingDown = failure.New(failure.Refused, "ask the next entry", "this entry is leaving")
	errLimitReached = failure.New(failure.Refused, "ask the next entry", "this tracker is full")
)
