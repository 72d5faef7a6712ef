// Package usage attributes requests and tokens to customers. It does no I/O:
// events and the time go in, reports for the store come out.
//
// A source, which is one incarnation of a daemon, counts by the hour. Its
// reports are cumulative, so that one may be written again after its answer
// was lost. A source writes an hour for the last time once it is over; the
// document then adds it to its sums and remembers that it did.
package usage

import (
	"time"

	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/member"
)

// Key is what requests are counted by.
type Key struct {
	Customer string `json:"customer"`
	Pool     string `json:"pool"`
	Version  string `json:"version"`
}

// Other stands for all customers beyond the rows that a source keeps.
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

// Event is the end of one request at an entry, or of one attempt at an agent.
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

// Hour is a number of hours since the start of 1970, UTC.
type Hour int64

// HourOf returns the hour that holds t.
func HourOf(t time.Time) Hour {
	return Hour(t.Unix() / int64(time.Hour/time.Second))
}

// Time returns the start of the hour.
func (h Hour) Time() time.Time {
	return time.Unix(int64(h)*int64(time.Hour/time.Second), 0).UTC()
}

// Day returns the day of the hour, such as 20261203.
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

// Report is what a source counted in one hour, from its start until now.
type Report struct {
	Source Source
	Hour   Hour
	// Closed says that the source counts nothing more in this hour.
	Closed bool
	Rows   []Row

	changes int64
}
