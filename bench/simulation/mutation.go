package simulation

import "time"

// The margins before a bound in front of incident 0013.
const (
	shortSendMargin  = 900 * time.Millisecond
	lateSwitchMargin = 1500 * time.Millisecond
)

// Mutation is a fault in the decisions of the processes, put in on purpose in order to
// see that the checks find it. The zero value is none.
type Mutation string

// The mutations.
const (
	// DropBetween drops a release that a peer reports and that lies between known
	// ones, as before the incident 0002 was corrected.
	DropBetween Mutation = "drop-between"
	// IgnorePeerAges leaves the ages reported by peers out.
	IgnorePeerAges Mutation = "ignore-peer-ages"
	// NeverEnforce lets any version start requests at any time.
	NeverEnforce Mutation = "never-enforce"
	// EnforceLate enforces a version only when its whole bound has passed, without the
	// margin for requests under way.
	EnforceLate Mutation = "enforce-late"
	// ShortSendMargin lets entries send to older weights with a margin that is shorter than
	// the silence of a sound engine, as before the incident 0013 was corrected.
	ShortSendMargin Mutation = "short-send-margin"
	// SwitchLate lets engines switch only after entries have stopped sending to them.
	SwitchLate Mutation = "switch-late"
	// FoundIsNew takes the releases that a process finds at its start for new ones.
	FoundIsNew Mutation = "found-is-new"
	// KeepQueuedVersion does not apply a bound that ends while a request is queued.
	KeepQueuedVersion Mutation = "keep-queued-version"
	// IgnoreSwitchBy leaves out the time from which an engine switches regardless of
	// others.
	IgnoreSwitchBy Mutation = "ignore-switch-by"
	// KeepSwitching ends a switch only with the target, although a release may have changed
	// it while the engine was loading.
	KeepSwitching Mutation = "keep-switching"
	// WatchAlways lets all entries watch the store.
	WatchAlways Mutation = "watch-always"
	// NoBackoff calls the store again at once after a failure.
	NoBackoff Mutation = "no-backoff"
	// CountReports takes each report of a crash for a crash of its own.
	CountReports Mutation = "count-reports"
	// IgnorePeerCrashes leaves the crashes reported by peers out.
	IgnorePeerCrashes Mutation = "ignore-peer-crashes"
	// KeepSuspects lets no response clear a part of prompts.
	KeepSuspects Mutation = "keep-suspects"
	// ForgetBlocks neither reads blocked parts from the store nor enters them there.
	ForgetBlocks Mutation = "forget-blocks"
	// LapseBlocks ends all blocks after some seconds.
	LapseBlocks Mutation = "lapse-blocks"
	// IgnoreEarlyCrashes takes no notice of a crash before the header of a response.
	IgnoreEarlyCrashes Mutation = "ignore-early-crashes"
	// NoProbation sends all requests with suspected parts.
	NoProbation Mutation = "no-probation"
)

// Mutations are all mutations.
var Mutations = []Mutation{
	DropBetween, IgnorePeerAges, NeverEnforce, EnforceLate, ShortSendMargin, SwitchLate, FoundIsNew, KeepQueuedVersion, IgnoreSwitchBy, KeepSwitching, WatchAlways, NoBackoff,
	CountReports, IgnorePeerCrashes, KeepSuspects, ForgetBlocks, LapseBlocks, IgnoreEarlyCrashes, NoProbation,
}
