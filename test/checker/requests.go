package checker

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"plantainrelay/internal/weights"
	"plantainrelay/test/standin"
)

// checkWholeWeights checks G1.
func checkWholeWeights(h *History) *GuaranteeResult {
	result := &GuaranteeResult{Name: "G1", Text: "no answer from partial or mixed weights"}
	executions, answers := result.newCount("executions"), result.newCount("answers")
	partial, mixed := result.newViolation("executions from partial weights"), result.newViolation("answers from partial or mixed weights")
	for _, execution := range h.Executions {
		if !execution.Model {
			continue
		}
		executions.N++
		if !h.isPublished(execution.Version, execution.WeightsDigest) {
			partial.record("%s ran call %s with weights of digest %.12s as version %q", execution.Instance, execution.Call, execution.WeightsDigest, execution.Version)
		}
	}
	for _, call := range h.Calls {
		if !call.Model || call.Outcome != Done {
			continue
		}
		answers.N++
		for _, part := range decodeParts(&call) {
			if part.Version != call.Version || !h.isPublished(part.Version, part.Whole) {
				mixed.record("call %s: the header names version %q, the answer is from version %q", call.ID, call.Version, part.Version)
				break
			}
		}
	}
	return result
}

// isPublished reports whether whole is the digest of the published version.
func (h *History) isPublished(version string, whole weights.Digest) bool {
	published, found := h.Versions[version]
	return found && published == whole
}

// answerPart is a whole non-streaming answer or one event of a stream.
type answerPart struct {
	Echo    string         `json:"echo"`
	Version string         `json:"version"`
	Whole   weights.Digest `json:"whole"`
	Token   int            `json:"token"`
}

const (
	eventPrefix = "data: "
	finalEvent  = "event: done"
)

// decodeParts decodes an answer and skips what cannot be decoded.
func decodeParts(call *Call) []answerPart {
	if !call.Stream {
		var part answerPart
		if json.Unmarshal(call.Answer, &part) != nil {
			return nil
		}
		return []answerPart{part}
	}
	var parts []answerPart
	for line := range bytes.Lines(call.Answer) {
		text, found := strings.CutPrefix(string(line), eventPrefix)
		var part answerPart
		if found && json.Unmarshal([]byte(text), &part) == nil && part.Echo != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// checkOwnAnswer checks G2.
func checkOwnAnswer(h *History) *GuaranteeResult {
	result := &GuaranteeResult{Name: "G2", Text: "every complete answer belongs to the caller's own request"}
	calls, done := result.newCount("calls"), result.newCount("answers reported as complete")
	unknown, notRun, broken := result.newCount("unknown"), result.newCount("not_run"), result.newCount("reported as broken")
	misdelivered, truncated := result.newViolation("answers to another request"), result.newViolation("truncated but reported as complete")
	for _, call := range h.Calls {
		calls.N++
		switch call.Outcome {
		case Unknown:
			unknown.N++
		case NotRun:
			notRun.N++
		case Broken:
			broken.N++
		case Done:
			done.N++
			checkOneAnswer(&call, misdelivered, truncated)
		}
	}
	return result
}

func checkOneAnswer(call *Call, misdelivered, truncated *Count) {
	parts := decodeParts(call)
	for _, part := range parts {
		if part.Echo != call.Body {
			misdelivered.record("call %s (%q) got the answer of %q", call.ID, call.Body, part.Echo)
			return
		}
	}
	if !call.Stream {
		var answer standin.Response
		if json.Unmarshal(call.Answer, &answer) != nil || answer.Tokens != call.Tokens {
			truncated.record("call %s: %d bytes, expected %d tokens: %.80q", call.ID, len(call.Answer), call.Tokens, call.Answer)
		}
		return
	}
	inOrder := len(parts) == call.Tokens && bytes.Contains(call.Answer, []byte(finalEvent))
	for i, part := range parts {
		inOrder = inOrder && part.Token == i
	}
	if !inOrder {
		truncated.record("stream %s: %d of %d tokens or out of order", call.ID, len(parts), call.Tokens)
	}
}

// checkNotRun checks G3.
func checkNotRun(h *History) *GuaranteeResult {
	result := &GuaranteeResult{Name: "G3", Text: "a request answered not_run did not run"}
	notRun := result.newCount("not_run answers")
	ranCalls := result.newViolation("not_run although the call ran")
	ranKeys := result.newViolation("not_run although the key had run")
	byCall, byKey := h.executionsByCall(), h.executionsByKey()
	for _, call := range h.Calls {
		if call.Outcome != NotRun {
			continue
		}
		notRun.N++
		if ran := byCall[call.ID]; len(ran) > 0 {
			ranCalls.record("call %s through %s ran on %s", call.ID, call.Entry, ran[0].Instance)
			continue
		}
		if first, found := firstExecution(byKey[call.Key], call.Ended); call.Key != "" && found {
			ranKeys.record("key %s through %s had already run on %s", call.Key, call.Entry, first.Instance)
		}
	}
	return result
}

func firstExecution(executions []Execution, before time.Time) (Execution, bool) {
	for _, execution := range executions {
		if execution.Started.Before(before) {
			return execution, true
		}
	}
	return Execution{}, false
}

// checkAtMostOnce checks G4.
func checkAtMostOnce(h *History) *GuaranteeResult {
	result := &GuaranteeResult{Name: "G4", Text: "bookings and certificates run at most once"}
	keys, ran, retried := result.newCount("keys"), result.newCount("keys run"), result.newCount("retries")
	unanswered, lost := result.newCount("keys without a final answer"), result.newCount("of these never run")
	duplicates, twice := result.newViolation("duplicate executions of a key by several calls"), result.newViolation("duplicate executions of a call")
	byKey := h.executionsByKey()
	answered, seen, last := map[string]bool{}, map[string]int{}, map[string]Call{}
	for _, call := range h.Calls {
		if call.Key == "" {
			continue
		}
		seen[call.Key]++
		last[call.Key] = call
		answered[call.Key] = answered[call.Key] || call.Outcome == Done
	}
	for key, calls := range seen {
		keys.N++
		retried.N += calls - 1
		if !answered[key] {
			unanswered.N++
		}
		if !answered[key] && len(byKey[key]) == 0 {
			lost.record("key %s, last sent at %s, ended %s: %s", key, last[key].Sent.Format(time.TimeOnly), last[key].Outcome, last[key].Detail)
		}
		countExecutions(byKey[key], ran, duplicates, twice)
	}
	return result
}

// countExecutions distinguishes repeated executions of one call from executions of
// several calls with the same key.
func countExecutions(executions []Execution, ran, duplicates, twice *Count) {
	if len(executions) == 0 {
		return
	}
	ran.N++
	calls := map[string]bool{}
	for i, execution := range executions {
		if i > 0 && calls[execution.Call] {
			twice.record("call %s of key %s ran again on %s", execution.Call, execution.Key, execution.Instance)
		} else if i > 0 {
			duplicates.record("key %s ran on %s and on %s %s later", execution.Key, executions[0].Instance, execution.Instance,
				execution.Started.Sub(executions[0].Started).Round(time.Millisecond))
		}
		calls[execution.Call] = true
	}
}
