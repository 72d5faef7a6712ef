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
	results, err := read(out)
	if err != nil {
		return err
	}
	exit := command.Wait()
	return judge(os.Stdout, results, known(string(text)), exit != nil)
}

// name identifies one test.
type name struct {
	pkg, test string
}

// known returns the tests that text lists: each line that consists of a package of
// this module and a test name. All other lines are notes for readers.
func known(text string) map[name]bool {
	list := map[name]bool{}
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) == 2 && line[0] != ' ' && strings.HasPrefix(fields[0], "plantainrelay/") && strings.HasPrefix(fields[1], "Test") {
			list[name{fields[0], fields[1]}] = true
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
	last   map[name]string
	output map[name]*strings.Builder
}

// terminal lists the actions that end a test.
var terminal = []string{"pass", "fail", "skip"}

func read(from io.Reader) (*results, error) {
	r := &results{last: map[name]string{}, output: map[name]*strings.Builder{}}
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("go test printed %q: %w", lines.Text(), err)
		}
		r.take(e)
	}
	return r, lines.Err()
}

func (r *results) take(e event) {
	id := name{e.Package, e.Test}
	switch e.Action {
	case "build-output":
		fmt.Fprint(os.Stderr, e.Output)
	case "output":
		if r.output[id] == nil {
			r.output[id] = &strings.Builder{}
		}
		r.output[id].WriteString(e.Output)
	case "run":
		r.last[id] = e.Action
	default:
		if slices.Contains(terminal, e.Action) {
			r.last[id] = e.Action
		}
	}
}

// judge prints the failures and returns an error unless all are known failures.
func judge(out io.Writer, r *results, listed map[name]bool, failed bool) error {
	var red, excused []name
	ran := map[string]bool{}
	for id, action := range r.last {
		if id.test == "" || action == "pass" || action == "skip" {
			continue
		}
		ran[id.pkg] = true
		if action == "fail" && r.excused(id, listed) {
			excused = append(excused, id)
			continue
		}
		red = append(red, id)
	}
	for id, action := range r.last {
		// A package that failed without a failed test did not build or crashed.
		if id.test == "" && action == "fail" && !ran[id.pkg] {
			red = append(red, id)
		}
	}
	r.print(out, "known failure", excused)
	r.print(out, "FAILED", red)
	if len(red) > 0 {
		return fmt.Errorf("%d test(s) failed", len(red))
	}
	if failed && len(excused) == 0 {
		return fmt.Errorf("go test failed, but no test did; see the output above")
	}
	fmt.Fprintf(out, "%d passed, %d failed\n", r.passed(), len(excused))
	return nil
}

// passed counts the tests that passed. Packages do not count.
func (r *results) passed() int {
	total := 0
	for id, action := range r.last {
		if id.test != "" && action == "pass" {
			total++
		}
	}
	return total
}

// excused reports whether a failed test is a known failure: it is listed, is a
// subtest of a listed one, or failed only because of listed subtests.
func (r *results) excused(id name, listed map[name]bool) bool {
	for test := id.test; ; {
		if listed[name{id.pkg, test}] {
			return true
		}
		cut := strings.LastIndexByte(test, '/')
		if cut < 0 {
			break
		}
		test = test[:cut]
	}
	below := 0
	for other, action := range r.last {
		if other.pkg != id.pkg || action != "fail" || !strings.HasPrefix(other.test, id.test+"/") {
			continue
		}
		if !r.excused(other, listed) {
			return false
		}
		below++
	}
	return below > 0
}

func (r *results) print(out io.Writer, title string, list []name) {
	slices.SortFunc(list, func(a, b name) int { return strings.Compare(a.pkg+a.test, b.pkg+b.test) })
	for _, id := range list {
		fmt.Fprintf(out, "%s: %s %s\n", title, id.pkg, id.test)
		if text := r.output[id]; text != nil {
			fmt.Fprintln(out, text.String())
		}
	}
}
