package checker

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Bounds are the time limits that the guarantees set.
type Bounds struct {
	// StopRouting is the time after the start of a graceful shutdown from which the
	// instance must not get new requests.
	StopRouting time.Duration
	// Propagation is the time within which all instances must hold an accepted edit.
	Propagation time.Duration
}

// StatedBounds are the bounds that the brief states: "a few seconds", taken as
// 5 s, for StopRouting and 6 s for Propagation.
var StatedBounds = Bounds{StopRouting: 5 * time.Second, Propagation: 6 * time.Second}

// maxExamples bounds the examples kept for each count.
const maxExamples = 5

// Count is the number of records of one kind, with examples.
type Count struct {
	Name string
	N    int
	// Violation means that the guarantee is violated if N is above 0.
	Violation bool
	Examples  []string
}

// GuaranteeResult is the result of the checks of one guarantee.
type GuaranteeResult struct {
	Name   string
	Text   string
	Counts []*Count
}

// Holds reports whether no violation of the guarantee was counted.
func (result *GuaranteeResult) Holds() bool {
	for _, count := range result.Counts {
		if count.Violation && count.N > 0 {
			return false
		}
	}
	return true
}

func (result *GuaranteeResult) newCount(name string) *Count {
	count := &Count{Name: name}
	result.Counts = append(result.Counts, count)
	return count
}

func (result *GuaranteeResult) newViolation(name string) *Count {
	count := result.newCount(name)
	count.Violation = true
	return count
}

func (c *Count) record(format string, args ...any) {
	c.N++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, fmt.Sprintf(format, args...))
	}
}

// Report holds the results in the order of the brief, G1 to G7.
type Report []*GuaranteeResult

// Holds reports whether all guarantees hold.
func (r Report) Holds() bool {
	return len(r.Violated()) == 0
}

// Violated returns the names of the violated guarantees.
func (r Report) Violated() []string {
	var names []string
	for _, result := range r {
		if !result.Holds() {
			names = append(names, result.Name)
		}
	}
	return names
}

// Check checks the history of a run against all guarantees.
func Check(h *History, bounds Bounds) Report {
	return Report{
		checkWholeWeights(h), checkOwnAnswer(h), checkNotRun(h), checkAtMostOnce(h),
		checkNoNewRequests(h, bounds.StopRouting), checkDrain(h), checkEdits(h, bounds.Propagation),
	}
}

// Write prints the report as a table, followed by the examples of each count.
func (r Report) Write(out io.Writer) {
	fmt.Fprintln(out, "| guarantee | holds | counts |")
	fmt.Fprintln(out, "| --- | --- | --- |")
	for _, result := range r {
		holds := "yes"
		if !result.Holds() {
			holds = "**NO**"
		}
		var counts []string
		for _, count := range result.Counts {
			counts = append(counts, fmt.Sprintf("%s %d", count.Name, count.N))
		}
		fmt.Fprintf(out, "| %s %s | %s | %s |\n", result.Name, result.Text, holds, strings.Join(counts, "; "))
	}
	for _, result := range r {
		for _, count := range result.Counts {
			for _, example := range count.Examples {
				fmt.Fprintf(out, "%s %s: %s\n", result.Name, count.Name, example)
			}
		}
	}
}

// executionsByCall groups the executions by call.
func (h *History) executionsByCall() map[string][]Execution {
	by := map[string][]Execution{}
	for _, execution := range h.Executions {
		if execution.Call != "" {
			by[execution.Call] = append(by[execution.Call], execution)
		}
	}
	return by
}

// executionsByKey groups the executions outside model pools by idempotency key.
func (h *History) executionsByKey() map[string][]Execution {
	by := map[string][]Execution{}
	for _, execution := range h.Executions {
		if execution.Key != "" && !execution.Model {
			by[execution.Key] = append(by[execution.Key], execution)
		}
	}
	return by
}

// callsMayBreak reports whether a fault that may break calls overlaps the time span.
func (h *History) callsMayBreak(from, to time.Time) bool {
	for _, fault := range h.Faults {
		if fault.BreaksCalls && fault.From.Before(to) && from.Before(fault.To) {
			return true
		}
	}
	return false
}

// wasDisturbed reports whether a fault that stopped, paused or disconnected the
// instance overlaps the time span.
func (h *History) wasDisturbed(instance string, from, to time.Time) bool {
	for _, fault := range h.Faults {
		for _, name := range fault.Instances {
			if name == instance && fault.From.Before(to) && from.Before(fault.To) {
				return true
			}
		}
	}
	return false
}
