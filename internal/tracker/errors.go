package tracker

import "plantainrelay/internal/failure"

var (
	errLeaving = failure.New(failure.Refused, "ask the next entry", "this entry is leaving")
	errFull    = failure.New(failure.Refused, "ask the next entry", "this tracker is full")
)
