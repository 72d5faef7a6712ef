package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// firstParts is the number of parts at the beginning of prompts, rareShare the share of
	// prompts with a part that few others have.
	firstParts = 12
	rareShare  = 0.3
	// An engine crashes minCrashDelay to minCrashDelay + crashDelayRange after it has begun
	// to respond to a request with a part that crashes it, and is back after crashedFor.
	minCrashDelay   = 30 * time.Millisecond
	crashDelayRange = 85 * time.Millisecond
	crashedFor      = 2500 * time.Millisecond
	// maxCrashingShare bounds the share of requests with a part that crashes engines.
	maxCrashingShare = 0.06
)

// CrashingPart is a part of prompts at which engines crash. Requests with it come for some
// time.
type CrashingPart struct {
	ID    string  `json:"id"`
	AtMs  int     `json:"at_ms"`
	ForMs int     `json:"for_ms"`
	Share float64 `json:"share"`
	// BeforeHeader says that engines crash before the header of a response is out.
	BeforeHeader bool `json:"before_header,omitempty"`
}

// DrawWithPrompts returns the scenario of a seed in which requests have prompts, with parts
// at which engines crash.
func DrawWithPrompts(seed uint64, size Size) Scenario {
	s := Draw(seed, size)
	random := rand.New(rand.NewPCG(seed, 3))
	s.Prompts = true
	for range random.IntN(4) {
		// A part may come back.
		id := fmt.Sprintf("crash-%d", random.IntN(3))
		at := int(warmUp.Milliseconds()) + random.IntN(max(s.DurationMs-8000, 1))
		s.CrashingParts = append(s.CrashingParts, CrashingPart{ID: id, AtMs: at, ForMs: 1000 + random.IntN(12_000), Share: maxCrashingShare * random.Float64()})
	}
	return s
}

// addPrompt draws the parts of a request's prompt.
func (w *world) addPrompt(r *request) {
	r.parts = []string{fmt.Sprintf("first-%d", w.prompts.IntN(firstParts))}
	if w.prompts.Float64() < rareShare {
		r.parts = append(r.parts, fmt.Sprintf("rare-%d", r.number/3))
	}
	for _, part := range w.scenario.CrashingParts {
		begin := epoch.Add(time.Duration(part.AtMs) * time.Millisecond)
		active := !w.now.Before(begin) && w.now.Before(begin.Add(time.Duration(part.ForMs)*time.Millisecond))
		if active && r.crashing == "" && w.prompts.Float64() < part.Share {
			r.crashing, r.crashesBeforeHeader = part.ID, part.BeforeHeader
			r.parts = append(r.parts, part.ID)
			w.prompts.Shuffle(len(r.parts), func(i, j int) { r.parts[i], r.parts[j] = r.parts[j], r.parts[i] })
		}
	}
}

// crashAt lets the engine crash because it has begun to respond to an attempt.
func (e *engine) crashAt(a *attempt) {
	life := e.life
	e.world.after(minCrashDelay+time.Duration(e.world.prompts.Int64N(int64(crashDelayRange))), func() {
		if e.life != life || !e.holds(a) {
			return
		}
		e.world.judge.crashed(a.request.crashing)
		e.world.record(e.host, "engine crashes at "+a.request.crashing, 0, 0, a.request.String())
		e.crash(false)
		e.world.after(crashedFor, e.restart)
	})
}
