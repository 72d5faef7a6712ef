package checker

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"plantainrelay/internal/weights"
	"plantainrelay/test/standin"
)

// wholeWeights checks G1.
func wholeWeights(h *History) *Judgement {
	j := &Judgement{Name: "G1", Text: "no answer from partial or mixed weights"}
	executions, answers := j.count("executions"), j.count("answers")
	partial, mixed := j.bad("executions from partial weights"), j.bad("answers from partial or mixed weights")
	for _, execution := range h.Executions {
		if !execution.Model {
			continue
		}
		executions.N++
		if !h.complete(execution.Version, execution.Whole) {
			partial.add("%s ran call %s with weights of digest %.12s as version %q", execution.Instance, execution.Call, execution.Whole, execution.Version)
		}
	}
	for _, call := range h.Calls {
		if !call.Model || call.Outcome != Done {
			continue
		}
		answers.N++
		for _, part := range parts(&call) {
			if part.Version != call.Version || !h.complete(part.Version, part.Whole) {
				mixed.add("call %s: the header names version %q, the answer is from version %q", call.ID, call.Version, part.Version)
				break
			}
		}
	}
	return j
}

// complete reports whether whole is the digest of the complete weights of a
// published version.
func (h *History) complete(version string, whole weights.Digest) bool {
	published, found := h.Versions[version]
	return found && published == whole
}

// part is a whole non-streaming answer or one event of a stream.
type part struct {
	Echo    string         `json:"echo"`
	Version string         `json:"version"`
	Whole   weights.Digest `json:"whole"`
	Token   int            `json:"token"`
}

const (
	eventPrefix = "data: "
	finalEvent  = "event: done"
)

// parts decodes an answer and skips what cannot be decoded.
func parts(call *Call) []part {
	if !call.Stream {
		var one part
		if json.Unmarshal(call.Answer, &one) != nil {
			return nil
		}
		return []part{one}
	}
	var all []part
	for line := range bytes.Lines(call.Answer) {
		text, found := strings.CutPrefix(string(line), eventPrefix)
		var one part
		if found && json.Unmarshal([]byte(text), &one) == nil && one.Echo != "" {
			all = append(all, one)
		}
	}
	return all
}

// ownAnswer checks G2.
func ownAnswer(h *History) *Judgement {
	j := &Judgement{Name: "G2", Text: "every complete answer belongs to the caller's own request"}
	calls, done := j.count("calls"), j.count("answers reported as complete")
	unknown, notRun, broken := j.count("unknown"), j.count("not_run"), j.count("reported as broken")
	crossed, truncated := j.bad("answers to another request"), j.bad("truncated but reported as complete")
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
			checkAnswer(&call, crossed, truncated)
		}
	}
	return j
}

func checkAnswer(call *Call, crossed, truncated *Count) {
	all := parts(call)
	for _, one := range all {
		if one.Echo != call.Body {
			crossed.add("call %s (%q) got the answer of %q", call.ID, call.Body, one.Echo)
			return
		}
	}
	if !call.Stream {
		var answer standin.Answer
		if json.Unmarshal(call.Answer, &answer) != nil || answer.Tokens != call.Tokens {
			truncated.add("call %s: %d bytes, expected %d tokens: %.80q", call.ID, len(call.Answer), call.Tokens, call.Answer)
		}
		return
	}
	inOrder := len(all) == call.Tokens && bytes.Contains(call.Answer, []byte(finalEvent))
	for i, one := range all {
		inOrder = inOrder && one.Token == i
	}
	if !inOrder {
		truncated.add("stream %s: %d of %d tokens or out of order", call.ID, len(all), call.Tokens)
	}
}

// notRunMeansNotRun checks G3.
func notRunMeansNotRun(h *History) *Judgement {
	j := &Judgement{Name: "G3", Text: "a request answered not_run did not run"}
	notRun := j.count("not_run answers")
	falseCalls := j.bad("not_run although the call ran")
	falseKeys := j.bad("not_run although the key had run")
	byCall, byKey := h.executionsByCall(), h.executionsByKey()
	for _, call := range h.Calls {
		if call.Outcome != NotRun {
			continue
		}
		notRun.N++
		if ran := byCall[call.ID]; len(ran) > 0 {
			falseCalls.add("call %s through %s ran on %s", call.ID, call.Entry, ran[0].Instance)
			continue
		}
		if first, found := firstRun(byKey[call.Key], call.Ended); call.Key != "" && found {
			falseKeys.add("key %s through %s had already run on %s", call.Key, call.Entry, first.Instance)
		}
	}
	return j
}

func firstRun(executions []Execution, before time.Time) (Execution, bool) {
	for _, execution := range executions {
		if execution.Started.Before(before) {
			return execution, true
		}
	}
	return Execution{}, false
}

// atMostOnce checks G4.
func atMostOnce(h *History) *Judgement {
	j := &Judgement{Name: "G4", Text: "bookings and certificates run at most once"}
	keys, ran, retried := j.count("keys"), j.count("keys run"), j.count("retries")
	unanswered, lost := j.count("keys without a final answer"), j.count("of these never run")
	duplicates, twice := j.bad("keys run by several calls"), j.bad("calls run several times")
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
			lost.add("key %s, last sent at %s, ended %s: %s", key, last[key].Sent.Format(time.TimeOnly), last[key].Outcome, last[key].Detail)
		}
		countRuns(byKey[key], ran, duplicates, twice)
	}
	return j
}

// countRuns distinguishes repeated executions of one call from executions of
// several calls with the same key.
func countRuns(executions []Execution, ran, duplicates, twice *Count) {
	if len(executions) == 0 {
		return
	}
	ran.N++
	calls := map[string]bool{}
	for i, execution := range executions {
		if i > 0 && calls[execution.Call] {
			twice.add("call %s of key %s ran again on %s", execution.Call, execution.Key, execution.Instance)
		} else if i > 0 {
			duplicates.add("key %s ran on %s and on %s %s later", execution.Key, executions[0].Instance, execution.Instance,
				execution.Started.Sub(executions[0].Started).Round(time.Millisecond))
		}
		calls[execution.Call] = true
	}
}
