package main

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const listing = `Tests that fail for a real fault.
plantainrelay/test/e2e TestRed
    go test ./test/e2e -run TestRed, seed 1: what was seen; issue 5
plantainrelay/test/e2e TestMany/red
`

func eventLines(events ...string) string {
	var text strings.Builder
	for _, event := range events {
		fields := strings.Fields(event)
		test := ""
		if len(fields) == 3 {
			test = fields[2]
		}
		text.WriteString(`{"Action":"` + fields[0] + `","Package":"plantainrelay/test/` + fields[1] + `","Test":"` + test + `"}` + "\n")
	}
	return text.String()
}

func TestVerdict(t *testing.T) {
	for _, sample := range []struct {
		name   string
		events []string
		passes bool
	}{
		{"all pass", []string{"run e2e TestA", "pass e2e TestA", "pass e2e"}, true},
		{"a test fails", []string{"run e2e TestA", "fail e2e TestA", "fail e2e"}, false},
		{"a known failure fails", []string{"run e2e TestRed", "fail e2e TestRed", "fail e2e"}, true},
		{"a known failure and another test fail", []string{"run e2e TestRed", "fail e2e TestRed", "run e2e TestA", "fail e2e TestA", "fail e2e"}, false},
		{"a test with the name of a known failure in another package fails", []string{"run soak TestRed", "fail soak TestRed", "fail soak"}, false},
		{"a known subtest fails", []string{"run e2e TestMany", "run e2e TestMany/red", "fail e2e TestMany/red", "fail e2e TestMany", "fail e2e"}, true},
		{"a known subtest and another subtest fail", []string{"fail e2e TestMany/red", "fail e2e TestMany/green", "fail e2e TestMany", "fail e2e"}, false},
		{"a package does not build", []string{"fail e2e"}, false},
		{"a package crashes during a test", []string{"run e2e TestA", "fail e2e"}, false},
		{"a package crashes after a known failure", []string{"run e2e TestRed", "fail e2e TestRed", "run e2e TestA", "fail e2e"}, false},
	} {
		results, err := readEvents(strings.NewReader(eventLines(sample.events...)))
		qt.Assert(t, err, qt.IsNil)
		failed := strings.Contains(strings.Join(sample.events, " "), "fail")
		err = evaluate(io.Discard, results, parseKnownFailures(listing), failed)
		qt.Check(t, err == nil, qt.Equals, sample.passes, qt.Commentf("%s: %v", sample.name, err))
	}
}

// TestCrashBesideAKnownFailure checks that a known failure does not hide that its package
// failed for another reason as well.
func TestCrashBesideAKnownFailure(t *testing.T) {
	for _, sample := range []struct {
		output string
		passes bool
	}{
		{"FAIL", true},
		{"exit status 1", true},
		{"panic: runtime error", false},
		{"exit status 2", false},
		{"signal: killed", false},
		{"testing: race detected outside of test execution", false},
	} {
		lines := eventLines("run e2e TestRed", "fail e2e TestRed") +
			`{"Action":"output","Package":"plantainrelay/test/e2e","Output":"` + sample.output + `\n"}` + "\n" + eventLines("fail e2e")
		results, err := readEvents(strings.NewReader(lines))
		qt.Assert(t, err, qt.IsNil)
		err = evaluate(io.Discard, results, parseKnownFailures(listing), true)
		qt.Check(t, err == nil, qt.Equals, sample.passes, qt.Commentf("%s: %v", sample.output, err))
	}
}
