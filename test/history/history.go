// Package history checks what callers were told about their keys against what
// the backend servers recorded as executed.
package history

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"plantainrelay/internal/dispatch"
)

// Submission is one request with a key, as its caller saw it.
type Submission struct {
	Key  string
	Body string
	// Outcome is empty when the caller lost its connection.
	Outcome dispatch.Outcome
	// Echo is the body that a done answer belongs to.
	Echo       string
	Start, End time.Time
}

// Recorder collects submissions. It is safe for concurrent use.
type Recorder struct {
	mu  sync.Mutex
	all []Submission
}

// Add records a submission that has ended.
func (r *Recorder) Add(s Submission) {
	r.mu.Lock()
	r.all = append(r.all, s)
	r.mu.Unlock()
}

// NotDone returns the submissions that were told another outcome than done.
func (r *Recorder) NotDone() []Submission {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Submission
	for _, submission := range r.all {
		if submission.Outcome != dispatch.Done {
			found = append(found, submission)
		}
	}
	return found
}

// Outcomes counts the submissions by outcome.
func (r *Recorder) Outcomes() map[dispatch.Outcome]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[dispatch.Outcome]int{}
	for _, s := range r.all {
		counts[s.Outcome]++
	}
	return counts
}

// count is the output of the last operation on each key: how often the backend
// servers recorded it.
type count int

// model is one key: it was run or not. A done answer proves the run; not_run
// proves that there was none before it; an unknown outcome or a lost connection
// allows both. No key runs twice.
var model = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, input, output any) []any {
		ran := state.(bool)
		if total, last := output.(count); last {
			return accept(ran && total == 1 || !ran && total == 0, ran)
		}
		switch output.(dispatch.Outcome) {
		case dispatch.Done:
			return []any{true}
		case dispatch.NotRun:
			return accept(!ran, false)
		}
		return []any{ran, true}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

func accept(ok bool, state bool) []any {
	if ok {
		return []any{state}
	}
	return nil
}

// Check returns an error that names the first key whose submissions can't be
// explained by the number of its executions, or an answer that belongs to
// another request. Executions of keys that nobody submitted are errors too.
func (r *Recorder) Check(executions map[string]int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	byKey := map[string][]porcupine.Operation{}
	for _, s := range r.all {
		if s.Outcome == dispatch.Done && s.Echo != s.Body {
			return fmt.Errorf("key %s: the answer to %q belongs to %q", s.Key, s.Body, s.Echo)
		}
		byKey[s.Key] = append(byKey[s.Key], operation(s))
	}
	for key := range executions {
		if byKey[key] == nil {
			return fmt.Errorf("key %s was executed and never submitted", key)
		}
	}
	for key, operations := range byKey {
		last := porcupine.Operation{Call: math.MaxInt64 - 1, Output: count(executions[key]), Return: math.MaxInt64}
		if !porcupine.CheckOperations(model, append(operations, last)) {
			return fmt.Errorf("key %s: %d executions do not fit the outcomes told: %+v", key, executions[key], r.of(key))
		}
	}
	return nil
}

// operation gives a submission without a certain result no end: its request
// may still run after the caller gave up on it.
func operation(s Submission) porcupine.Operation {
	end := s.End.UnixNano()
	if s.Outcome != dispatch.Done && s.Outcome != dispatch.NotRun {
		end = math.MaxInt64 - 2
	}
	return porcupine.Operation{Call: s.Start.UnixNano(), Output: s.Outcome, Return: end}
}

func (r *Recorder) of(key string) []Submission {
	var found []Submission
	for _, s := range r.all {
		if s.Key == key {
			found = append(found, s)
		}
	}
	return found
}
