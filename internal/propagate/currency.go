package propagate

import "time"

// CurrencyState says whether a process may serve from the tables it holds.
type CurrencyState string

// The states.
const (
	// Comparing means that newer tables may be in force: new requests wait.
	Comparing CurrencyState = "comparing"
	// Current means that the tables were compared with those of peers.
	Current CurrencyState = "current"
	// Isolated means that no peer and no store can be reached: what is held is
	// used, and comparing goes on.
	Isolated CurrencyState = "isolated"
)

const (
	// pauseLimit is the gap between two ticks that is taken for a pause.
	pauseLimit = time.Second
	// minCurrentAnswers is the number of current peers that have to answer.
	minCurrentAnswers = 2
	// minAnswers is the number of peers that have to answer when none of them
	// is current, as after a restart of the whole fleet.
	minAnswers = 4
	// isolationTimeout is how long peers are tried before a process that reaches
	// none uses what it holds.
	isolationTimeout = 3 * time.Second
	// fewAnswersTimeout is how long a process that reached some peers, but fewer than
	// it wants, waits for more.
	fewAnswersTimeout = time.Second
	// missingRevisionTimeout is how long a process that knows of newer tables waits for
	// them before it goes on with what it holds, as its peers do.
	missingRevisionTimeout = 6 * time.Second
)

// storeName stands for the store among the answers; no instance has it.
const storeName = ""

// Freshness decides whether a process may serve. A process that starts, or
// that did not run for a while, has to compare with its peers first.
type Freshness struct {
	state          CurrencyState
	lastTick       time.Time
	comparingSince time.Time
	// currentPeers and other are the peers that answered since, by name.
	currentPeers map[string]bool
	otherPeers   map[string]bool
	// highestSeen is the highest revision that a peer has answered with.
	highestSeen int64
	held        int64
	// firstAnswer is the time of the first answer since.
	firstAnswer time.Time
	// epoch counts the starts of comparing.
	epoch int
}

// Answer is a peer's answer to an exchange.
type Answer struct {
	Peer string
	// Revision is the revision of the tables that the peer holds.
	Revision int64
	// Current says that the peer itself has compared.
	Current bool
	// Epoch is the epoch at which the exchange was sent. An answer from before
	// a pause does not count after it.
	Epoch int
}

// NewFreshness returns the currency of a process that has just started.
func NewFreshness(now time.Time) *Freshness {
	c := &Freshness{lastTick: now}
	c.restart(now)
	return c
}

func (c *Freshness) restart(now time.Time) {
	c.state = Comparing
	c.comparingSince = now
	c.currentPeers, c.otherPeers = map[string]bool{}, map[string]bool{}
	c.firstAnswer = time.Time{}
	c.epoch++
}

// Epoch changes with each start of comparing.
func (c *Freshness) Epoch() int { return c.epoch }

// Paused reports whether the process has not run for a while before now.
func (c *Freshness) Paused(now time.Time) bool { return now.Sub(c.lastTick) > pauseLimit }

// State returns the state.
func (c *Freshness) State() CurrencyState { return c.state }

// Tick records that the process runs. It returns false when the process has
// not run for a while and has to compare again.
func (c *Freshness) Tick(now time.Time) bool {
	paused := c.Paused(now)
	c.lastTick = now
	if paused {
		c.restart(now)
		return false
	}
	c.decide(now)
	return true
}

// RecordRevision records the revision that the process holds.
func (c *Freshness) RecordRevision(revision int64) {
	c.held = max(c.held, revision)
	c.decide(c.lastTick)
}

// Answered records that a peer answered.
func (c *Freshness) Answered(answer Answer, now time.Time) {
	if c.Paused(now) {
		c.Tick(now)
	}
	if answer.Epoch != c.epoch {
		return
	}
	c.highestSeen = max(c.highestSeen, answer.Revision)
	if answer.Current {
		c.currentPeers[answer.Peer] = true
	} else {
		c.otherPeers[answer.Peer] = true
	}
	if c.firstAnswer.IsZero() {
		c.firstAnswer = now
	}
	c.decide(now)
}

// StoreRead records that the store was read.
func (c *Freshness) StoreRead(now time.Time) {
	c.Answered(Answer{Peer: storeName, Epoch: c.epoch}, now)
}

// decide leaves Comparing once enough peers answered and nothing newer than
// what they hold is missing, and enters Isolated when none answers.
func (c *Freshness) decide(now time.Time) {
	if c.state == Current {
		return
	}
	answers := len(c.currentPeers) + len(c.otherPeers)
	switch {
	case answers == 0:
		if now.Sub(c.comparingSince) >= isolationTimeout {
			c.state = Isolated
		}
	case c.held < c.highestSeen && now.Sub(c.firstAnswer) < missingRevisionTimeout:
		c.state = Comparing
	case len(c.currentPeers) >= minCurrentAnswers, answers >= minAnswers, now.Sub(c.firstAnswer) >= fewAnswersTimeout:
		c.state = Current
	}
}
