package main

import (
	"fmt"
	"io"
	"time"

	"plantainrelay/bench/weights/core"
)

// scenario is a named change to the default configuration of the simulation.
type scenario struct {
	name      string
	configure func(*core.Config)
}

var scenarios = []scenario{
	{"instance link narrowest, prefer = origin_bytes", func(*core.Config) {}},
	{"instance link narrowest, prefer = time", func(c *core.Config) { c.Plan.ExtraCopies = 1.8 }},
	{"region link as narrow as the instance link", func(c *core.Config) { c.RegionCopies = 1 }},
	{"the instances learn of the version within 6 s", func(c *core.Config) { c.MaxStartDelay = 6 * time.Second }},
	{"2 in 100 listed instances are dead", func(c *core.Config) { c.DeadShare = 0.02 }},
	{"5 in 100 instances fail after 0.3 units", func(c *core.Config) { c.FailAt, c.FailShare = 30*time.Second, 0.05 }},
	{"1 in 100 transfers is corrupted", func(c *core.Config) { c.CorruptShare = 0.01 }},
}

// printSimulations prints one table per scenario.
func printSimulations(out io.Writer, chosen []scenario, sizes []int, seed uint64) {
	for _, s := range chosen {
		fmt.Fprintf(out, "\n%s (seed %d)\n\n", s.name, seed)
		fmt.Fprintln(out, "| N | complete | time (units) | origin copies | most crossings into a zone per chunk | most uploads (copies) | messages per instance | control bytes per instance | decision CPU per instance |")
		fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, n := range sizes {
			config := core.DefaultConfig(n, seed)
			s.configure(&config)
			r := core.Run(config)
			fmt.Fprintf(out, "| %d | %d of %d | %.2f | %.2f | %.2f | %.2f | %.0f | %.0f | %s |\n", n, r.Complete, r.Live, r.Time,
				r.OriginCopies, r.MaxCrossings, r.MaxUploads, r.Messages, r.MessageBytes, r.ProcessorTime.Round(100*time.Microsecond))
		}
	}
}
