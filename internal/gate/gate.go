// Package gate is the agent's request path: every request to the backend
// server passes its gate, which knows what was started.
package gate

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/message"
	"plantainrelay/internal/weights"
)

// Admitted names the weights whose answers the gate lets through.
type Admitted struct {
	Version  string
	Manifest weights.Digest
	Whole    weights.Digest
}

// Config holds the limits of a gate.
type Config struct {
	Incarnation string
	// MaxRunning bounds the requests in progress.
	MaxRunning int
	// MaxRecords bounds the attempts that are remembered.
	MaxRecords int
	// MaxKeptBytes bounds the body of one kept answer.
	MaxKeptBytes int
}

// record is what the gate remembers of one attempt.
type record struct {
	fate   dispatch.Fate
	answer *message.Answer
}

// Gate admits attempts and remembers them. It is safe for concurrent use.
type Gate struct {
	config Config

	mu       sync.Mutex
	open     bool
	leaving  bool
	admitted Admitted
	running  int
	idle     []chan struct{}
	records  *lru.Cache[string, *record]
}

// New returns a closed gate.
func New(config Config) (*Gate, error) {
	records, err := lru.New[string, *record](config.MaxRecords)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "set max_records above 0", "the gate cannot be set up")
	}
	return &Gate{config: config, records: records}, nil
}

// Open admits new attempts, whose answers must come from admitted.
func (g *Gate) Open(admitted Admitted) {
	g.mu.Lock()
	g.open, g.admitted = true, admitted
	g.mu.Unlock()
}

// Close refuses new attempts. The channel returned is closed once no attempt
// is in progress.
func (g *Gate) Close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	idle := make(chan struct{})
	if g.running == 0 {
		close(idle)
		return idle
	}
	g.idle = append(g.idle, idle)
	return idle
}

// Leave refuses new attempts for good.
func (g *Gate) Leave() {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
}

// State is a summary of the gate.
type State struct {
	Open     bool
	Admitted Admitted
	Running  int
}

// State returns the current summary.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{Open: g.open && !g.leaving, Admitted: g.admitted, Running: g.running}
}

// begin admits an attempt and records it as running, or returns the refusal.
func (g *Gate) begin(attempt, incarnation string, deadline, now time.Time) (Admitted, message.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.refusal(attempt, incarnation, deadline, now); refusal != "" {
		return Admitted{}, refusal
	}
	g.records.Add(attempt, &record{fate: dispatch.FateRunning})
	g.running++
	return g.admitted, ""
}

func (g *Gate) refusal(attempt, incarnation string, deadline, now time.Time) message.Refusal {
	known, found := g.records.Get(attempt)
	switch {
	case found && known.fate == dispatch.FateNeverStarted:
		return message.RefusalBarred
	case found:
		return message.RefusalDuplicate
	case incarnation != g.config.Incarnation:
		return message.RefusalIncarnation
	case g.leaving:
		return message.RefusalDraining
	case !g.open:
		return message.RefusalGateClosed
	case !now.Before(deadline):
		return message.RefusalDeadline
	case g.running >= g.config.MaxRunning:
		return message.RefusalFull
	}
	return ""
}

// end records the result of an attempt; a nil answer means that its fate
// cannot be told.
func (g *Gate) end(attempt string, answer *message.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	result := &record{fate: dispatch.FateUnknown}
	if answer != nil {
		result = &record{fate: dispatch.FateDone, answer: answer}
	}
	g.records.Add(attempt, result)
	g.running--
	if g.running > 0 {
		return
	}
	for _, idle := range g.idle {
		close(idle)
	}
	g.idle = nil
}

// Fate tells what became of an attempt. An attempt that was not started is
// barred: a later arrival of it is refused.
func (g *Gate) Fate(args message.FateArgs) message.FateReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if args.Incarnation != g.config.Incarnation {
		return message.FateReply{Fate: dispatch.FateUnknown}
	}
	known, found := g.records.Get(args.Attempt)
	if !found {
		known = &record{fate: dispatch.FateNeverStarted}
		g.records.Add(args.Attempt, known)
	}
	return message.FateReply{Fate: known.fate, Answer: known.answer}
}
