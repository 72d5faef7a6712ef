// Command harness plays the scripted cases of the review: it starts the programs of the
// project beside stand-ins, injects one disruption, and checks a rule from what callers
// and backend servers have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 118 * time.Second

// playCase plays a case on a new deployment. It returns whether the rule was broken.
type playCase func(f *fleet, trouble bool) (broken bool, err error)

var cases = map[string]playCase{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: harness CASE FOLDER; cases: %v\n", names)
		return exitNotRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.Close()
	record := &record{out: out, start: time.Now()}
	f, err := newFleet(root, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var ended result
	select {
	case ended = <-done:
	case <-signals:
		ended.err = errors.New("interrupted")
	case <-time.After(maxRunTime):
		ended.err = errors.New("the case took too long")
	}
	switch {
	case ended.err != nil:
		record.add("verdict", "the case could not run: %v", ended.err)
		fmt.Fprintln(os.Stderr, "the case could not run:", ended.err)
		return exitNotRun
	case ended.broken:
		record.add("verdict", "the rule was broken")
		return exitBroken
	}
	record.add("verdict", "the rule held")
	return exitHeld
}

// verdict writes a line of the result to the record and to the output.
func (f *fleet) verdict(format string, args ...any) {
	f.record.add("result", format, args...)
	fmt.Printf(format+"\n", args...)
}
