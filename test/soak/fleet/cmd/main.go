// Command fleet runs the system on stand-ins of the users' platform under load
// and faults, once for each of several seeds, and reports violated guarantees.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"plantainrelay/test/soak/fleet"
)

func main() {
	var config fleet.Config
	var runs int
	var keep string
	var keepAll bool
	cmd := &cobra.Command{
		Use:          "fleet",
		Short:        "Run the system on stand-ins of the users' platform under faults and check its guarantees",
		Example:      "  go run ./test/soak/fleet/cmd --bin bin --seed 7 --runs 5",
		SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			config.Bounds = fleet.StatedBounds
			violations := 0
			for number := range runs {
				runConfig := config
				runConfig.Seed += uint64(number)
				problems, err := run(runConfig, keep, keepAll)
				if err != nil {
					return err
				}
				violations += problems
			}
			if violations > 0 {
				return fmt.Errorf("%d violations of guarantees; repeat with --seed and --keep", violations)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&config.Bin, "bin", "bin", "directory of the built binaries")
	cmd.Flags().Uint64Var(&config.Seed, "seed", uint64(time.Now().UnixNano()%1_000_000), "random seed of load and faults")
	cmd.Flags().IntVar(&runs, "runs", 1, "number of runs; the seed increases by one for each")
	cmd.Flags().DurationVar(&config.Duration, "duration", 30*time.Second, "duration of load and faults of one run")
	cmd.Flags().IntVar(&config.Entries, "entries", 2, "number of entries in each of the three availability zones")
	cmd.Flags().IntVar(&config.Engines, "engines", 3, "number of model engines with their agents in each availability zone")
	cmd.Flags().IntVar(&config.Callers, "callers", 16, "number of concurrent callers")
	cmd.Flags().StringSliceVar(&config.Only, "only", nil, "kinds of faults to inject (default all)")
	cmd.Flags().StringVar(&keep, "keep", "", "directory for the logs of runs with violations")
	cmd.Flags().BoolVar(&keepAll, "keep-all", false, "keep the logs of all runs")
	if cmd.Execute() != nil {
		os.Exit(1)
	}
}

func run(config fleet.Config, keep string, keepAll bool) (violations int, err error) {
	dir, err := os.MkdirTemp("", "plantain-fleet-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	config.Dir = dir
	if config.Bin, err = filepath.Abs(config.Bin); err != nil {
		return 0, err
	}
	log, err := os.Create(filepath.Join(dir, "soak.log"))
	if err != nil {
		return 0, err
	}
	defer log.Close()
	config.Log = log
	history, err := fleet.Run(config)
	if err != nil {
		return 0, fmt.Errorf("seed %d: %w", config.Seed, err)
	}
	problems := history.Check()
	fmt.Printf("seed %d: %d violations; %s\n", config.Seed, len(problems), history.Summary())
	for _, problem := range problems[:min(len(problems), 10)] {
		fmt.Printf("  %s %s\n", problem.Rule, problem.Text)
	}
	for _, cut := range history.Cuts {
		fmt.Fprintf(log, "cut, %s\n", cut)
	}
	if (len(problems) > 0 || keepAll) && keep != "" {
		kept := filepath.Join(keep, fmt.Sprintf("seed-%d", config.Seed))
		if err := os.CopyFS(kept, os.DirFS(dir)); err != nil {
			return 0, err
		}
		fmt.Printf("  logs: %s\n", kept)
	}
	return len(problems), nil
}
