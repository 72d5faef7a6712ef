// Command soak runs the whole system under load and faults and checks the guarantees.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"plantainrelay/test/checker"
	"plantainrelay/test/soak"
)

const (
	faultInterval = 6 * time.Second
	weightBytes   = 4 << 20
)

func main() {
	var bin, deploymentName string
	var seed uint64
	var duration time.Duration
	var rate float64
	var keep bool
	cmd := &cobra.Command{
		Use:          "soak",
		Short:        "Run the whole system under load and faults and check the seven guarantees",
		Example:      "  go run ./test/soak/cmd --bin bin --firm autentica --seed 7",
		SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			deployment, found := soak.Deployments[deploymentName]
			if !found {
				return fmt.Errorf("unknown firm %q; use --firm dumitrescu or --firm autentica", deploymentName)
			}
			path, err := filepath.Abs(bin)
			if err != nil {
				return err
			}
			return run(soak.Config{Deployment: deployment, Seed: seed, Duration: duration, Rate: rate, Bin: path,
				FaultInterval: faultInterval, WeightBytes: weightBytes, Log: os.Stderr}, keep)
		},
	}
	cmd.Flags().StringVar(&bin, "bin", "bin", "directory of the built binaries")
	cmd.Flags().StringVar(&deploymentName, "firm", "dumitrescu", "deployment to run: dumitrescu or autentica")
	cmd.Flags().Uint64Var(&seed, "seed", uint64(time.Now().UnixNano()%1_000_000), "random seed of load and faults")
	cmd.Flags().DurationVar(&duration, "duration", 2*time.Minute, "duration of load and faults")
	cmd.Flags().Float64Var(&rate, "rate", 1, "factor that scales the request rate")
	cmd.Flags().BoolVar(&keep, "keep", false, "keep the logs and print their directory")
	if cmd.Execute() != nil {
		os.Exit(1)
	}
}

func run(config soak.Config, keep bool) error {
	dir, err := os.MkdirTemp("", "plantain-soak-")
	if err != nil {
		return err
	}
	if keep {
		fmt.Println("logs:", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	config.Dir = dir
	fmt.Printf("firm %s, seed %d, duration %s\n", config.Deployment.Name, config.Seed, config.Duration)
	result, err := soak.Run(config)
	if err != nil {
		return err
	}
	report := checker.Check(result.History, checker.StatedBounds)
	result.Write(os.Stdout, report)
	if !report.Holds() {
		return fmt.Errorf("guarantees violated: %v; repeat with --firm %s --seed %d", report.Violated(), config.Deployment.Name, config.Seed)
	}
	return nil
}
