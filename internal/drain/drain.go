// Package drain decides which requests a stopping process still takes. It does no I/O:
// callers pass in the time.
//
// A request is taken only if its response can be completed before the process ends. That is
// certain if its time limit ends before, and expected of a request that may be repeated if
// all recent requests of its route would have ended before.
package drain

import (
	"time"
)

// Plan holds the times of a shutdown. Requests in progress get their final response by
// AnswerBy at the latest.
type Plan struct {
	SignaledAt, AnswerBy time.Time
}

// Request describes a request that has arrived.
type Request struct {
	// Deadline is when its caller, or its route, gives it up.
	Deadline   time.Time
	Repeatable bool
	// Longest is the longest duration of a recent request of the same route, 0 if unknown.
	Longest time.Duration
}

// Admits reports whether a request that arrives now is taken. If not, its caller should be
// told at once, so that it goes elsewhere.
func (p Plan) Admits(r Request, now time.Time) bool {
	if !now.Before(p.AnswerBy) {
		return false
	}
	if !r.Deadline.After(p.AnswerBy) {
		return true
	}
	return r.Repeatable && r.Longest > 0 && !now.Add(r.Longest).After(p.AnswerBy)
}
