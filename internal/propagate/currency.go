package propagate

import "time"

// FreshnessState says whether a process may serve from its copy of the tables.
type FreshnessState string

// The states.
const (
	// Comparing means that newer tables may be in effect; new requests wait.
	Comparing FreshnessState = "comparing"
	// Current means that the tables have been compared with those of peers.
	Current FreshnessState = "current"
	// Isolated means that neither a peer nor the store can be reached. The process
	// serves from its copy and keeps trying to compare.
	Isolated FreshnessState = "isolated"
)

const (
	// pauseLimit is the longest gap between two ticks that is not treated as a pause
	// of the process.
	pauseLimit = time.Second
	// minCurrentAnswers is the number of peers in state Current that must answer.
	minCurrentAnswers = 2
	// minAnswers is the number of peers that must answer when none of them is
	// Current, as after a restart of the whole fleet.
	minAnswers = 4
	// isolationTimeout is how long a process that reaches no peer keeps trying
	// before it serves from its copy.
	isolationTimeout = 3 * time.Second
	// fewAnswersTimeout is how long a process that got some answers, but fewer than
	// required, waits for more.
	fewAnswersTimeout = time.Second
	// missingRevisionTimeout is how long a process that knows of newer tables waits for
	// them before it serves from its copy, as its peers do.
	missingRevisionTimeout = 6 * time.Second
)

// storeName represents the store among the answers; no instance has this name.
const storeName = ""

// Freshness decides whether a process may serve. A process that has just started or
// was paused must first compare its data with its peers.
type Freshness struct {
	state          FreshnessState
	lastTick       time.Time
	comparingSince time.Time
	// currentPeers and otherPeers are the peers that have answered since
	// comparingSince, by name.
	currentPeers map[string]bool
	otherPeers   map[string]bool
	// highestSeen is the highest revision that a peer has reported.
	highestSeen  int64
	heldRevision int64
	// firstAnswer is the time of the first answer since comparingSince.
	firstAnswer time.Time
	// epoch counts how often the process has started to compare.
	epoch int
}

// Answer is a peer's answer to an exchange.
type Answer struct {
	Peer string
	// Revision is the revision of the tables that the peer holds.
	Revision int64
	// Current reports whether the peer itself has completed its comparison.
	Current bool
	// Epoch is the epoch in which the exchange was sent. The answer to an exchange
	// sent before a pause is ignored after it.
	Epoch int
}

// NewFreshness returns the state of a process that has just started.
func NewFreshness(now time.Time) *Freshness {
	f := &Freshness{lastTick: now}
	f.restart(now)
	return f
}

func (f *Freshness) restart(now time.Time) {
	f.state = Comparing
	f.comparingSince = now
	f.currentPeers, f.otherPeers = map[string]bool{}, map[string]bool{}
	f.firstAnswer = time.Time{}
	f.epoch++
}

// Epoch returns a number that increases each time the process starts to compare.
func (f *Freshness) Epoch() int { return f.epoch }

// Paused reports whether the last tick is so long ago that the process must have
// been paused.
func (f *Freshness) Paused(now time.Time) bool { return now.Sub(f.lastTick) > pauseLimit }

// LastTick returns the time of the last tick.
func (f *Freshness) LastTick() time.Time { return f.lastTick }

// State returns the current state.
func (f *Freshness) State() FreshnessState { return f.state }

// Tick records that the process is running. It returns false when the process was
// paused and must compare again.
func (f *Freshness) Tick(now time.Time) bool {
	paused := f.Paused(now)
	f.lastTick = now
	if paused {
		f.restart(now)
		return false
	}
	f.decide(now)
	return true
}

// RecordRevision records the revision of the local copy.
func (f *Freshness) RecordRevision(revision int64) {
	f.heldRevision = max(f.heldRevision, revision)
	f.decide(f.lastTick)
}

// Answered records a peer's answer.
func (f *Freshness) Answered(answer Answer, now time.Time) {
	if f.Paused(now) {
		f.Tick(now)
	}
	if answer.Epoch != f.epoch {
		return
	}
	f.highestSeen = max(f.highestSeen, answer.Revision)
	if answer.Current {
		f.currentPeers[answer.Peer] = true
	} else {
		f.otherPeers[answer.Peer] = true
	}
	if f.firstAnswer.IsZero() {
		f.firstAnswer = now
	}
	f.decide(now)
}

// StoreRead records a successful read of the store that was started in the given epoch.
func (f *Freshness) StoreRead(epoch int, now time.Time) {
	f.Answered(Answer{Peer: storeName, Epoch: epoch}, now)
}

// decide enters Current once enough peers have answered and the local copy has the
// highest revision that they reported, or missingRevisionTimeout has passed. It
// enters Isolated when no peer answers in time.
func (f *Freshness) decide(now time.Time) {
	if f.state == Current {
		return
	}
	answers := len(f.currentPeers) + len(f.otherPeers)
	switch {
	case answers == 0:
		if now.Sub(f.comparingSince) >= isolationTimeout {
			f.state = Isolated
		}
	case f.heldRevision < f.highestSeen && now.Sub(f.firstAnswer) < missingRevisionTimeout:
		f.state = Comparing
	case len(f.currentPeers) >= minCurrentAnswers, answers >= minAnswers, now.Sub(f.firstAnswer) >= fewAnswersTimeout:
		f.state = Current
	}
}
