// Command cmd measures the cost of the tracker, simulates the distribution of
// weights and prints the results as tables.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
)

func main() {
	sizes := flag.String("sizes", "4,8,16,32,100,400,1600", "numbers of instances, separated by commas")
	seed := flag.Uint64("seed", 1, "seed of the simulation")
	scenarioCount := flag.Int("scenarios", len(scenarios), "number of scenarios to run, from the first")
	flag.Parse()
	instanceCounts, err := parseSizes(*sizes)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	printTrackerCost(os.Stdout, instanceCounts)
	printSimulations(os.Stdout, scenarios[:min(max(*scenarioCount, 1), len(scenarios))], instanceCounts, *seed)
}

func parseSizes(text string) ([]int, error) {
	var sizes []int
	for _, part := range strings.Split(text, ",") {
		size, err := strconv.Atoi(part)
		if err != nil || size < 1 {
			return nil, fmt.Errorf("%q is not a number of instances", part)
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}
