// Package usage attributes requests and tokens to customers. It does no I/O:
// callers pass in events and the current time, and get reports to store.
//
// A source is one incarnation of a daemon. It counts events by hour. Its
// reports are cumulative, so that a report can be written again if the response
// to the first write was lost. After the end of an hour the source writes a
// closed report. The document adds a closed report to its sums once and records
// that it has done so.
package usage

import (
	"time"

	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/member"
)

// Key identifies the totals that a request is added to.
type Key struct {
	Customer string `json:"customer"`
	Pool     string `json:"pool"`
	Version  string `json:"version"`
}

// Other replaces the customer of all keys beyond the row limit of a source.
const Other = "(other)"

// Counts are the totals of one key.
type Counts struct {
	Done      int64 `json:"done"`
	NotRun    int64 `json:"not_run"`
	Unknown   int64 `json:"unknown"`
	TokensIn  int64 `json:"tokens_in"`
	TokensOut int64 `json:"tokens_out"`
}

// Requests returns the number of requests of any outcome.
func (c Counts) Requests() int64 {
	return c.Done + c.NotRun + c.Unknown
}

// Add returns the sum of both.
func (c Counts) Add(other Counts) Counts {
	return Counts{
		Done:      c.Done + other.Done,
		NotRun:    c.NotRun + other.NotRun,
		Unknown:   c.Unknown + other.Unknown,
		TokensIn:  c.TokensIn + other.TokensIn,
		TokensOut: c.TokensOut + other.TokensOut,
	}
}

// Event is the result of one request at an entry, or of one attempt at an
// agent.
type Event struct {
	Key
	Outcome   dispatch.Outcome
	TokensIn  int64
	TokensOut int64
}

func (e Event) counts() Counts {
	counts := Counts{TokensIn: e.TokensIn, TokensOut: e.TokensOut}
	switch e.Outcome {
	case dispatch.Done:
		counts.Done = 1
	case dispatch.NotRun:
		counts.NotRun = 1
	default:
		counts.Unknown = 1
	}
	return counts
}

// Hour is an hour in UTC, counted from the Unix epoch.
type Hour int64

// HourOf returns the hour that contains t.
func HourOf(t time.Time) Hour {
	return Hour(t.Unix() / int64(time.Hour/time.Second))
}

// Time returns the start of the hour.
func (h Hour) Time() time.Time {
	return time.Unix(int64(h)*int64(time.Hour/time.Second), 0).UTC()
}

// Day returns the date of the hour in UTC, such as 20261203.
func (h Hour) Day() string {
	return h.Time().Format("20060102")
}

// Source identifies one incarnation of a daemon.
type Source struct {
	Name string
	Role member.Role
}

// Row is one key with its totals.
type Row struct {
	Key
	Counts
}

// Report holds all that a source has counted in one hour so far.
type Report struct {
	Source Source
	Hour   Hour
	// Closed is true if the source counts no further events in this hour.
	Closed bool
	Rows   []Row

	events int64
}
