// Command cmd plays scenarios of the simulation with successive seeds, and prints the
// shrunk scenario and the timeline of each that breaks a rule.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"plantainrelay/bench/simulation"
)

// gcPercent lets the heap grow further between two collections, since runs are short.
const gcPercent = 400

type options struct {
	seed        uint64
	runs        uint64
	size        simulation.Size
	parallel    int
	mutation    string
	prompts     bool
	silences    bool
	rules       []string
	maxFindings int
}

func main() {
	var o options
	command := &cobra.Command{
		Use: "simulation", Short: "Play a fleet on a virtual clock with faults and check the platform's rules", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error { return play(command.OutOrStdout(), o) },
	}
	flags := command.Flags()
	flags.Uint64Var(&o.seed, "seed", 1, "first seed")
	flags.Uint64Var(&o.runs, "runs", 100, "number of seeds")
	flags.IntVar(&o.size.Entries, "entries", 8, "number of entries")
	flags.IntVar(&o.size.Agents, "agents", 8, "number of agents")
	flags.DurationVar(&o.size.Duration, "day", time.Minute, "length of a run on the virtual clock")
	flags.IntVar(&o.parallel, "parallel", 2, "number of runs at once")
	flags.StringVar(&o.mutation, "mutation", "", "fault in the decisions to put in")
	flags.BoolVar(&o.prompts, "prompts", false, "give requests prompts, with parts at which engines crash")
	flags.BoolVar(&o.silences, "silences", false, "let engines fall silent and chunks arrive late around the bounds of releases")
	command.MarkFlagsMutuallyExclusive("prompts", "silences")
	flags.StringSliceVar(&o.rules, "rules", nil, "rules to check, all by default")
	flags.IntVar(&o.maxFindings, "findings", 3, "number of findings after which to stop")
	debug.SetGCPercent(gcPercent)
	if err := command.Execute(); err != nil {
		os.Exit(1)
	}
}

// play runs the seeds in batches, so that findings come in the order of the seeds.
func play(out io.Writer, o options) error {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	began, findings, done := time.Now(), 0, uint64(0)
	var total simulation.Result
	for done < o.runs && findings < o.maxFindings {
		batch := min(uint64(o.parallel*8), o.runs-done)
		scenarios, results := playBatch(o, o.seed+done, batch)
		for i, result := range results {
			total.Sent, total.Served, total.Refused, total.Calls = total.Sent+result.Sent, total.Served+result.Served, total.Refused+result.Refused, total.Calls+result.Calls
			if len(result.Findings) > 0 && findings < o.maxFindings {
				findings++
				if err := printFinding(out, scenarios[i]); err != nil {
					return err
				}
			}
		}
		done += batch
	}
	elapsed := time.Since(began)
	log.WithFields(logrus.Fields{
		"runs": done, "findings": findings, "seconds": elapsed.Seconds(), "runs_per_minute": float64(done) / elapsed.Minutes(),
		"requests": total.Sent, "begun": total.Served, "refused": total.Refused, "store_calls": total.Calls,
	}).Info("simulation ended")
	if findings > 0 {
		return fmt.Errorf("%d of %d runs broke a rule", findings, done)
	}
	return nil
}

func playBatch(o options, first, count uint64) ([]simulation.Scenario, []simulation.Result) {
	scenarios, results := make([]simulation.Scenario, count), make([]simulation.Result, count)
	var group errgroup.Group
	group.SetLimit(o.parallel)
	draw := simulation.Draw
	if o.prompts {
		draw = simulation.DrawWithPrompts
	}
	if o.silences {
		draw = simulation.DrawWithSilences
	}
	for i := range count {
		group.Go(func() error {
			scenarios[i] = draw(first+i, o.size)
			scenarios[i].Mutation, scenarios[i].Rules = simulation.Mutation(o.mutation), o.rules
			results[i] = simulation.Run(scenarios[i])
			results[i].Journal = nil
			return nil
		})
	}
	_ = group.Wait()
	return scenarios, results
}

// printFinding shrinks a scenario that fails and prints it with its timeline.
func printFinding(out io.Writer, s simulation.Scenario) error {
	shrunk := simulation.Shrink(s)
	line, err := json.Marshal(shrunk)
	if err != nil {
		return err
	}
	result := simulation.Run(shrunk)
	fmt.Fprintf(out, "seed %d breaks %s\n%s\n", s.Seed, result.Findings[0].Rule, line)
	simulation.PrintTimeline(out, result, result.Findings[0])
	fmt.Fprintln(out)
	return nil
}
