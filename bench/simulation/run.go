package simulation

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Event is one line of the journal of a run.
type Event struct {
	At time.Duration
	// Host is empty for the operator and for faults.
	Host, Text string
	// Version is a version or revision, Age that of a release or proof, and Source
	// where the information comes from.
	Version int64
	Age     time.Duration
	Source  string
}

// String returns the event in one line.
func (e Event) String() string {
	text := fmt.Sprintf("%8.3f %-10s %s", e.At.Seconds(), e.Host, e.Text)
	if e.Version > 0 {
		text += fmt.Sprintf(" %d", e.Version)
	}
	if e.Age > 0 {
		text += fmt.Sprintf(", age %d ms", e.Age.Milliseconds())
	}
	if e.Source != "" {
		text += ", " + e.Source
	}
	return text
}

func (w *world) record(host, text string, version int64, age time.Duration, source string) {
	w.journal = append(w.journal, Event{At: w.now.Sub(epoch), Host: host, Text: text, Version: version, Age: age, Source: source})
}

// Result is the result of a run.
type Result struct {
	// Findings holds at most one finding: a run ends with the first.
	Findings []Finding
	Journal  []Event
	// Sent, Served and Refused count requests of callers, Calls those to the store.
	Sent, Served, Refused, Calls int
}

// Run plays a scenario up to its end or the first finding.
func Run(s Scenario) Result {
	w := newWorld(s)
	w.begin()
	end := epoch.Add(time.Duration(s.DurationMs) * time.Millisecond)
	for w.now.Before(end) && len(w.judge.findings) == 0 {
		w.run(w.now.Add(checkEvery))
	}
	if len(w.judge.findings) == 0 {
		w.judge.end()
	}
	j := w.judge
	return Result{Findings: j.findings[:min(len(j.findings), 1)], Journal: w.journal, Sent: j.sentAll, Served: j.servedAll, Refused: j.refusedAll, Calls: j.callsAll}
}

// Shrink removes faults and then releases, one by one, as long as the run breaks the same
// rule, and ends the day with the finding. The scenario must fail.
func Shrink(s Scenario) Scenario {
	s.Rules = []string{Run(s).Findings[0].Rule}
	stillFails := func(candidate Scenario) bool { return len(Run(candidate).Findings) > 0 }
	for shrunk := true; shrunk; {
		shrunk = false
		for i := len(s.Faults) - 1; i >= 0; i-- {
			candidate := s
			candidate.Faults = slices.Delete(slices.Clone(s.Faults), i, i+1)
			if stillFails(candidate) {
				s, shrunk = candidate, true
			}
		}
		for i := len(s.ReleasesMs) - 1; i >= 0; i-- {
			candidate := s
			candidate.ReleasesMs = slices.Delete(slices.Clone(s.ReleasesMs), i, i+1)
			if stillFails(candidate) {
				s, shrunk = candidate, true
			}
		}
	}
	short := s
	short.DurationMs = int((Run(s).Findings[0].At + time.Second).Milliseconds())
	if stillFails(short) {
		return short
	}
	return s
}

// PrintTimeline prints the events that explain a finding.
func PrintTimeline(out io.Writer, result Result, f Finding) {
	for _, e := range result.Journal {
		explains := e.Host == "" || slices.Contains(f.Hosts, e.Host) && e.Text != "request begins"
		if explains && (e.Host == "" || e.At >= f.Since) && e.At <= f.At {
			fmt.Fprintln(out, e)
		}
	}
	fmt.Fprintf(out, "%8.3f %s: %s\n", f.At.Seconds(), f.Rule, f.Text)
	if f.Beliefs != "" {
		fmt.Fprintf(out, "         %s\n", f.Beliefs)
	}
}
