// Package history checks the outcomes that callers got for their idempotency
// keys against the executions that the backend servers recorded.
package history

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"plantainrelay/internal/dispatch"
)

// Submission is one request with an idempotency key, as its caller saw it.
type Submission struct {
	Key  string
	Body string
	// Outcome is empty if the connection broke.
	Outcome dispatch.Outcome
	// Echo is the request body that a done response belongs to.
	Echo       string
	Start, End time.Time
}

// Recorder collects submissions. It is safe for concurrent use.
type Recorder struct {
	mu          sync.Mutex
	submissions []Submission
}

// Add records a finished submission.
func (r *Recorder) Add(s Submission) {
	r.mu.Lock()
	r.submissions = append(r.submissions, s)
	r.mu.Unlock()
}

// NotDone returns the submissions with any outcome other than done.
func (r *Recorder) NotDone() []Submission {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Submission
	for _, submission := range r.submissions {
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
	for _, s := range r.submissions {
		counts[s.Outcome]++
	}
	return counts
}

// executionCount is the output of the final operation on each key: the number of
// executions that the backend servers recorded.
type executionCount int

// keyModel is the model of one key. Its state is whether the key has been executed. The
// outcome done proves an execution, and not_run proves that there was none before. An
// unknown outcome or a broken connection allows both. No key may be executed twice.
var keyModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, input, output any) []any {
		ran := state.(bool)
		if total, last := output.(executionCount); last {
			return stateIf(ran && total == 1 || !ran && total == 0, ran)
		}
		switch output.(dispatch.Outcome) {
		case dispatch.Done:
			return []any{true}
		case dispatch.NotRun:
			return stateIf(!ran, false)
		}
		return []any{ran, true}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

func stateIf(ok bool, state bool) []any {
	if ok {
		return []any{state}
	}
	return nil
}

// Check returns an error if the outcomes of a key are inconsistent with the
// number of its executions, if a response belongs to another request, or if a
// key was executed that was never submitted.
func (r *Recorder) Check(executions map[string]int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	byKey := map[string][]porcupine.Operation{}
	for _, s := range r.submissions {
		if s.Outcome == dispatch.Done && s.Echo != s.Body {
			return fmt.Errorf("key %s: the response to request %q belongs to request %q", s.Key, s.Body, s.Echo)
		}
		byKey[s.Key] = append(byKey[s.Key], toOperation(s))
	}
	for key := range executions {
		if byKey[key] == nil {
			return fmt.Errorf("key %s was executed but never submitted", key)
		}
	}
	for key, operations := range byKey {
		last := porcupine.Operation{Call: math.MaxInt64 - 1, Output: executionCount(executions[key]), Return: math.MaxInt64}
		if !porcupine.CheckOperations(keyModel, append(operations, last)) {
			return fmt.Errorf("key %s: %d executions are inconsistent with the submissions %+v", key, executions[key], r.submissionsOf(key))
		}
	}
	return nil
}

// toOperation converts a submission. One without a definite outcome gets an end time
// after all others, because its request may still run after the caller has given up.
func toOperation(s Submission) porcupine.Operation {
	end := s.End.UnixNano()
	if s.Outcome != dispatch.Done && s.Outcome != dispatch.NotRun {
		end = math.MaxInt64 - 2
	}
	return porcupine.Operation{Call: s.Start.UnixNano(), Output: s.Outcome, Return: end}
}

func (r *Recorder) submissionsOf(key string) []Submission {
	var found []Submission
	for _, s := range r.submissions {
		if s.Key == key {
			found = append(found, s)
		}
	}
	return found
}
