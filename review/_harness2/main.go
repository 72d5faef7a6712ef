// Command harness2 runs the cases of the second review that are scripts. It exits with 1 if
// the rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"time"
)

// cases holds the cases by name; each file adds its own.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){}

func main() {
	bin := flag.String("bin", "target", "directory of the programs")
	record := flag.String("record", "record.txt", "file to which the record is written")
	flag.Parse()
	run, found := cases[flag.Arg(0)]
	if !found {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: harness2 [flags] CASE; cases:", names)
		os.Exit(2)
	}
	os.Exit(runCase(run, *bin, *record, os.Getenv("TROUBLE") != "0"))
}

func runCase(run func(*fleet, bool) (bool, error), bin, path string, trouble bool) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	record := &recorder{start: time.Now(), file: file}
	record.log("TROUBLE=%v", trouble)
	f, err := newFleet(bin, record)
	if f != nil {
		defer f.close()
		go f.closeOnSignal()
	}
	broken := false
	if err == nil {
		broken, err = run(f, trouble)
	}
	switch {
	case err != nil:
		record.log("the case could not run: %v", err)
		f.printLogs(20, "")
		return 2
	case broken:
		record.log("result: the rule was broken")
		return 1
	}
	record.log("result: the rule held")
	return 0
}
