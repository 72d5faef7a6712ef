// Package gate implements the agent's request path. Every request to the backend
// server passes through the gate, which records the attempts that were started.
package gate

import (
	"sync"
	"time"

	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/message"
	"plantainrelay/internal/ownership"
	"plantainrelay/internal/weights"
)

// AdmittedWeights identifies the weights whose responses the gate lets through.
type AdmittedWeights struct {
	Version  string
	Manifest weights.Digest
	Whole    weights.Digest
}

// Config holds the limits of a gate.
type Config struct {
	Instance    string
	Incarnation string
	// MaxRunning limits the requests in progress.
	MaxRunning int
	// MaxRecords limits the recorded attempts without a key.
	MaxRecords int
	// MaxKeys limits the recorded keys.
	MaxKeys int
	// MaxStoredResponse limits the body of one stored response.
	MaxStoredResponse int
	// MaxStoredTotal limits the total size of the bodies of all stored responses.
	MaxStoredTotal int
}

// Gate admits attempts and records them. It is safe for concurrent use.
type Gate struct {
	config Config

	mu          sync.Mutex
	open        bool
	draining    bool
	admitted    AdmittedWeights
	running     int
	idleWaiters []chan struct{}
	records     *records
	keys        *ownership.KeyTable
	latestTime  time.Time
	// changed is closed and replaced when the state changes for any reason other
	// than the start or end of an attempt.
	changed    chan struct{}
	mismatched chan struct{}
}

// New returns a closed gate.
func New(config Config) (*Gate, error) {
	if config.MaxRecords < 1 || config.MaxKeys < 1 {
		return nil, failure.New(failure.Invalid, "set both limits above 0", "the gate cannot work with limits of %d attempts and %d keys", config.MaxRecords, config.MaxKeys)
	}
	return &Gate{
		config:  config,
		records: newRecords(config.MaxRecords, config.MaxStoredTotal),
		keys:    ownership.NewKeyTable(config.Instance, config.Incarnation, config.MaxKeys),
		changed: make(chan struct{}),

		mismatched: make(chan struct{}, 1),
	}, nil
}

// Changed returns a channel that is closed when the gate opens or closes, when it
// releases its keys and when it applies a newer map of owners.
func (g *Gate) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// Mismatched returns a channel that receives a value after a response came from other
// weights than those that the gate still admits requests for. It supports a single
// receiver.
func (g *Gate) Mismatched() <-chan struct{} { return g.mismatched }

// reportMismatch reports that the response to an attempt, which was admitted for the
// given weights, came from others.
func (g *Gate) reportMismatch(admitted AdmittedWeights) {
	g.mu.Lock()
	current := g.open && g.admitted == admitted
	g.mu.Unlock()
	if !current {
		return
	}
	select {
	case g.mismatched <- struct{}{}:
	default:
	}
}

// notifyWaiters wakes the callers that wait for a change. The caller holds mu.
func (g *Gate) notifyWaiters() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Open admits new attempts. Their responses must come from the weights in admitted.
func (g *Gate) Open(admitted AdmittedWeights) {
	g.mu.Lock()
	g.open, g.admitted = true, admitted
	g.notifyWaiters()
	g.mu.Unlock()
}

// Close rejects new attempts. The returned channel is closed once no attempt is in
// progress.
func (g *Gate) Close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	g.notifyWaiters()
	idle := make(chan struct{})
	if g.running == 0 {
		close(idle)
		return idle
	}
	g.idleWaiters = append(g.idleWaiters, idle)
	return idle
}

// Drain permanently rejects new attempts and releases the ownership of keys.
func (g *Gate) Drain() {
	g.mu.Lock()
	g.draining = true
	g.keys.Release()
	g.notifyWaiters()
	g.mu.Unlock()
}

// State is a summary of the gate.
type State struct {
	Open     bool
	Admitted AdmittedWeights
	Running  int
	// Released is set once the gate no longer starts requests with keys.
	// HighestIssued is the latest issue time of a key that was run.
	Released       bool
	HighestIssued  int64
	OwnersRevision int64
}

// State returns the current summary.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{
		Open:           g.open && !g.draining,
		Admitted:       g.admitted,
		Running:        g.running,
		Released:       g.keys.Released(),
		HighestIssued:  g.keys.HighestIssued(),
		OwnersRevision: g.keys.Revision(),
	}
}

// attemptInfo describes an attempt that an entry sends.
type attemptInfo struct {
	attempt     string
	incarnation string
	deadline    time.Time
	// repeatable is set if the request may run more than once.
	repeatable bool
	// submission is set if the request has a key and is not repeatable.
	submission *ownership.Submission
}

// begin admits an attempt and records it as running, or returns the reason for the
// refusal. If another attempt holds the key, holder is that attempt.
func (g *Gate) begin(info attemptInfo, now time.Time) (admitted AdmittedWeights, refusal message.Refusal, holder string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now = g.advanceClock(now)
	if existing := g.records.get(info.attempt); existing != nil {
		return AdmittedWeights{}, existing.refusal(), ""
	}
	if info.submission != nil && info.incarnation == g.config.Incarnation {
		if verdict, holder := g.lookUpKey(*info.submission); verdict != ownership.Run {
			return AdmittedWeights{}, message.Refusal(verdict), holder
		}
	}
	if refusal := g.checkAdmission(info, now); refusal != "" {
		return AdmittedWeights{}, refusal, ""
	}
	if info.submission == nil {
		if !g.records.addRunning(info, now) {
			return AdmittedWeights{}, message.RefusalFull, ""
		}
		g.running++
		return g.admitted, "", ""
	}
	verdict, holder, evicted := g.keys.Begin(*info.submission, now)
	g.records.remove(evicted)
	if verdict != ownership.Run {
		return AdmittedWeights{}, message.Refusal(verdict), holder
	}
	g.records.addKeyed(info.attempt)
	g.running++
	return g.admitted, "", ""
}

// lookUpKey looks up a key that was already run. It also works while the gate is
// closed.
func (g *Gate) lookUpKey(s ownership.Submission) (ownership.Verdict, string) {
	if verdict, holder, found := g.keys.CheckRecorded(s); found {
		return verdict, holder
	}
	return ownership.Run, ""
}

// advanceClock returns the latest time seen so far. It never goes back, so that an
// expired record stays expired.
func (g *Gate) advanceClock(now time.Time) time.Time {
	if now.After(g.latestTime) {
		g.latestTime = now
	}
	return g.latestTime
}

func (g *Gate) checkAdmission(info attemptInfo, now time.Time) message.Refusal {
	switch {
	case info.incarnation != g.config.Incarnation:
		return message.RefusalIncarnation
	case g.draining:
		return message.RefusalDraining
	case !g.open:
		return message.RefusalGateClosed
	case !now.Before(info.deadline):
		return message.RefusalDeadline
	case g.running >= g.config.MaxRunning:
		return message.RefusalFull
	}
	return ""
}

// end records the result of an attempt; a nil answer means that the outcome is
// unknown.
func (g *Gate) end(attempt string, answer *message.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records.finish(attempt, answer)
	g.attemptEnded()
}

// revertBegin records that an admitted attempt certainly did not reach the backend
// server. The attempt is barred; another attempt may run its key.
func (g *Gate) revertBegin(info attemptInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records.revertStart(info.attempt, info.deadline)
	if info.submission != nil {
		g.keys.RevertBegin(info.submission.ID, info.attempt)
	}
	g.attemptEnded()
}

func (g *Gate) attemptEnded() {
	g.running--
	if g.running > 0 {
		return
	}
	for _, idle := range g.idleWaiters {
		close(idle)
	}
	g.idleWaiters = nil
}

// AttemptStatus returns the status of an attempt. An attempt that has not started
// is barred: it is refused if it arrives later.
func (g *Gate) AttemptStatus(args message.AttemptStatusArgs) message.AttemptStatusReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.advanceClock(time.Now())
	if args.Incarnation != g.config.Incarnation {
		return message.AttemptStatusReply{Fate: dispatch.AttemptUnknown}
	}
	if existing := g.records.get(args.Attempt); existing != nil {
		return message.AttemptStatusReply{Fate: existing.status, Answer: existing.answer}
	}
	deadline := time.UnixMilli(args.Deadline)
	if deadline.Add(recordMargin).Before(now) || !g.records.bar(args.Attempt, deadline, now) {
		return message.AttemptStatusReply{Fate: dispatch.AttemptUnknown}
	}
	return message.AttemptStatusReply{Fate: dispatch.AttemptNeverStarted}
}

// KeyStatus returns the status of a key. A key that was never run is barred for
// submissions received before now.
func (g *Gate) KeyStatus(args message.KeyStatusArgs) message.KeyStatusReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if args.Incarnation != g.config.Incarnation {
		return message.KeyStatusReply{Fate: dispatch.AttemptUnknown}
	}
	verdict, holder, evicted := g.keys.QueryAndBar(args.Submission, g.advanceClock(time.Now()))
	g.records.remove(evicted)
	switch verdict {
	case ownership.NotRun:
		return message.KeyStatusReply{Fate: dispatch.AttemptNeverStarted}
	case ownership.Duplicate:
		existing := g.records.get(holder)
		if existing != nil {
			return message.KeyStatusReply{Fate: existing.status, Holder: holder, Answer: existing.answer}
		}
	}
	return message.KeyStatusReply{Fate: dispatch.AttemptUnknown}
}

// UpdateOwners applies a map of owners if it is newer and returns the current one.
func (g *Gate) UpdateOwners(offer *ownership.Map) *ownership.Map {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.keys.Revision()
	g.keys.Update(offer)
	if g.keys.Revision() != before {
		g.notifyWaiters()
	}
	return g.keys.Owners()
}

// ReleaseKeys permanently releases the ownership of keys.
func (g *Gate) ReleaseKeys() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.keys.Released() {
		g.keys.Release()
		g.notifyWaiters()
	}
}

// OwnsSlots reports whether this instance owns slots of its pool's key space.
func (g *Gate) OwnsSlots() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keys.OwnsSlots()
}

// ConfirmListed records that the platform listed this instance at the given time.
func (g *Gate) ConfirmListed(at time.Time) {
	g.mu.Lock()
	g.keys.Confirm(at)
	g.mu.Unlock()
}
