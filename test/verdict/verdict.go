// Command verdict runs go test for CI. It fails if any test fails that is not
// listed as a known failure. Known failures are run as well and printed.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

func main() {
	path := flag.String("known", "KNOWN-RED.txt", "file of known failures")
	flag.Parse()
	if err := run(*path, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(1)
	}
}

func run(path string, args []string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	command := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	command.Stderr = os.Stderr
	out, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	results, err := readEvents(out)
	if err != nil {
		return err
	}
	exit := command.Wait()
	return evaluate(os.Stdout, results, parseKnownFailures(string(text)), exit != nil)
}

// testID identifies one test.
type testID struct {
	pkg, test string
}

// parseKnownFailures returns the tests that text lists: each line that consists of
// a package of this module and a test name. All other lines are notes for readers.
func parseKnownFailures(text string) map[testID]bool {
	list := map[testID]bool{}
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) == 2 && line[0] != ' ' && strings.HasPrefix(fields[0], "plantainrelay/") && strings.HasPrefix(fields[1], "Test") {
			list[testID{fields[0], fields[1]}] = true
		}
	}
	return list
}

// event is one line of the output of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// results holds the last action and the output of each test. An empty test name
// stands for the package.
type results struct {
	lastAction map[testID]string
	output     map[testID]*strings.Builder
}

// terminalActions lists the actions that end a test.
var terminalActions = []string{"pass", "fail", "skip"}

func readEvents(from io.Reader) (*results, error) {
	r := &results{lastAction: map[testID]string{}, output: map[testID]*strings.Builder{}}
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("go test printed %q: %w", lines.Text(), err)
		}
		r.record(e)
	}
	return r, lines.Err()
}

func (r *results) record(e event) {
	id := testID{e.Package, e.Test}
	switch e.Action {
	case "build-output":
		fmt.Fprint(os.Stderr, e.Output)
	case "output":
		if r.output[id] == nil {
			r.output[id] = &strings.Builder{}
		}
		r.output[id].WriteString(e.Output)
	case "run":
		r.lastAction[id] = e.Action
	default:
		if slices.Contains(terminalActions, e.Action) {
			r.lastAction[id] = e.Action
		}
	}
}

// evaluate prints the failures and returns an error unless all are known failures.
func evaluate(out io.Writer, r *results, knownFailures map[testID]bool, exitFailed bool) error {
	var unexpected, expected []testID
	hasFailedTest := map[string]bool{}
	for id, action := range r.lastAction {
		if id.test == "" || action == "pass" || action == "skip" {
			continue
		}
		hasFailedTest[id.pkg] = true
		if action == "fail" && r.isKnownFailure(id, knownFailures) {
			expected = append(expected, id)
			continue
		}
		unexpected = append(unexpected, id)
	}
	for id, action := range r.lastAction {
		// A package that failed without a failed test did not build or crashed.
		if id.test == "" && action == "fail" && (!hasFailedTest[id.pkg] || r.hasCrashed(id)) {
			unexpected = append(unexpected, id)
		}
	}
	r.printTests(out, "known failure", expected)
	r.printTests(out, "FAILED", unexpected)
	if len(unexpected) > 0 {
		return fmt.Errorf("%d test(s) failed", len(unexpected))
	}
	if exitFailed && len(expected) == 0 {
		return fmt.Errorf("go test failed, but no test did; see the output above")
	}
	fmt.Fprintf(out, "%d passed, %d failed\n", r.passed(), len(expected))
	return nil
}

// crashSigns are the starts of lines that go test prints for a package that failed for
// another reason than its tests.
var crashSigns = []string{"panic:", "fatal error:", "signal:", "exit status 2", "WARNING: DATA RACE", "testing: race detected outside of test execution"}

// hasCrashed reports whether the output of a package, outside its tests, shows that it
// failed for another reason than a test.
func (r *results) hasCrashed(pkg testID) bool {
	if r.output[pkg] == nil {
		return false
	}
	for line := range strings.Lines(r.output[pkg].String()) {
		if slices.ContainsFunc(crashSigns, func(sign string) bool { return strings.HasPrefix(line, sign) }) {
			return true
		}
	}
	return false
}

// passed counts the tests that passed. Packages do not count.
func (r *results) passed() int {
	total := 0
	for id, action := range r.lastAction {
		if id.test != "" && action == "pass" {
			total++
		}
	}
	return total
}

// isKnownFailure reports whether a failed test is a known failure: it is listed,
// is a subtest of a listed one, or failed only because of listed subtests.
func (r *results) isKnownFailure(id testID, knownFailures map[testID]bool) bool {
	for test := id.test; ; {
		if knownFailures[testID{id.pkg, test}] {
			return true
		}
		cut := strings.LastIndexByte(test, '/')
		if cut < 0 {
			break
		}
		test = test[:cut]
	}
	failedSubtests := 0
	for other, action := range r.lastAction {
		if other.pkg != id.pkg || action != "fail" || !strings.HasPrefix(other.test, id.test+"/") {
			continue
		}
		if !r.isKnownFailure(other, knownFailures) {
			return false
		}
		failedSubtests++
	}
	return failedSubtests > 0
}

func (r *results) printTests(out io.Writer, title string, ids []testID) {
	slices.SortFunc(ids, func(a, b testID) int { return strings.Compare(a.pkg+a.test, b.pkg+b.test) })
	for _, id := range ids {
		fmt.Fprintf(out, "%s: %s %s\n", title, id.pkg, id.test)
		if text := r.output[id]; text != nil {
			fmt.Fprintln(out, text.String())
		}
	}
}
