package checker

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Bounds are the times within which the system has to act.
type Bounds struct {
	// Leave is the time after which a leaving instance gets no new requests.
	Leave time.Duration
	// Force is the time until an accepted edit is in force everywhere.
	Force time.Duration
}

// StatedBounds are the bounds of the stated target: "a few seconds" and 6 s.
var StatedBounds = Bounds{Leave: 5 * time.Second, Force: 6 * time.Second}

// maxExamples bounds the examples kept for one count.
const maxExamples = 5

// Count is one thing that was counted under a guarantee.
type Count struct {
	Name string
	N    int
	// Bad says that any N above 0 breaks the guarantee.
	Bad      bool
	Examples []string
}

// Judgement is the result for one guarantee.
type Judgement struct {
	Name   string
	Text   string
	Counts []*Count
}

// Holds reports whether nothing that breaks the guarantee was counted.
func (j *Judgement) Holds() bool {
	for _, count := range j.Counts {
		if count.Bad && count.N > 0 {
			return false
		}
	}
	return true
}

func (j *Judgement) count(name string) *Count {
	count := &Count{Name: name}
	j.Counts = append(j.Counts, count)
	return count
}

func (j *Judgement) bad(name string) *Count {
	count := j.count(name)
	count.Bad = true
	return count
}

func (c *Count) add(format string, args ...any) {
	c.N++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, fmt.Sprintf(format, args...))
	}
}

// Report holds the judgements in the brief's order, G1 to G7.
type Report []*Judgement

// Holds reports whether all guarantees hold.
func (r Report) Holds() bool {
	return len(r.Broken()) == 0
}

// Broken returns the names of the guarantees that do not hold.
func (r Report) Broken() []string {
	var names []string
	for _, judgement := range r {
		if !judgement.Holds() {
			names = append(names, judgement.Name)
		}
	}
	return names
}

// Check judges a run.
func Check(h *History, bounds Bounds) Report {
	return Report{
		wholeWeights(h), ownAnswer(h), notRunMeansNotRun(h), atMostOnce(h),
		noNewRequests(h, bounds.Leave), nothingCutInDrain(h), editsInForce(h, bounds.Force),
	}
}

// Write prints the report as a table, followed by examples of each breach.
func (r Report) Write(out io.Writer) {
	fmt.Fprintln(out, "| guarantee | holds | counts |")
	fmt.Fprintln(out, "| --- | --- | --- |")
	for _, judgement := range r {
		verdict := "yes"
		if !judgement.Holds() {
			verdict = "**NO**"
		}
		var counts []string
		for _, count := range judgement.Counts {
			counts = append(counts, fmt.Sprintf("%s %d", count.Name, count.N))
		}
		fmt.Fprintf(out, "| %s %s | %s | %s |\n", judgement.Name, judgement.Text, verdict, strings.Join(counts, "; "))
	}
	for _, judgement := range r {
		for _, count := range judgement.Counts {
			for _, example := range count.Examples {
				fmt.Fprintf(out, "%s %s: %s\n", judgement.Name, count.Name, example)
			}
		}
	}
}

// executionsByCall returns the executions of each call.
func (h *History) executionsByCall() map[string][]Execution {
	by := map[string][]Execution{}
	for _, execution := range h.Executions {
		if execution.Call != "" {
			by[execution.Call] = append(by[execution.Call], execution)
		}
	}
	return by
}

// executionsByKey returns the executions of each idempotency key.
func (h *History) executionsByKey() map[string][]Execution {
	by := map[string][]Execution{}
	for _, execution := range h.Executions {
		if execution.Key != "" && !execution.Model {
			by[execution.Key] = append(by[execution.Key], execution)
		}
	}
	return by
}

// cutting reports whether a fault that may break calls overlaps the time.
func (h *History) cutting(from, to time.Time) bool {
	for _, fault := range h.Faults {
		if fault.CutsCalls && fault.From.Before(to) && from.Before(fault.To) {
			return true
		}
	}
	return false
}

// stopped reports whether a fault stopped, paused or cut off the instance
// within the time.
func (h *History) stopped(instance string, from, to time.Time) bool {
	for _, fault := range h.Faults {
		for _, name := range fault.Instances {
			if name == instance && fault.From.Before(to) && from.Before(fault.To) {
				return true
			}
		}
	}
	return false
}
