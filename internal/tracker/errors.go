package tracker

import "plantainrelay/internal/failure"

var (
	errShuttingDown = failure.New(failure.Refused, "ask the next entry", "this entry is shutting down")
	errLimitReached = failure.New(failure.Refused, "ask the next entry", "this tracker has reached its limit of pools or instances")
)
