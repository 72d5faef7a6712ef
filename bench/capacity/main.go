// Command capacity measures, with real processes, how the cost of an entry and
// of an agent grows with the size of the fleet and with the load, and fits a
// line to each measured quantity.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"plantainrelay/test/cluster"
	"plantainrelay/test/faultproxy"
)

const (
	idleDuration = 8 * time.Second
	// settleDuration is the time between the start of a fleet and the first
	// measurement.
	settleDuration = 3 * time.Second
	// defaultSettings sets the default intervals of the product, in place of
	// those of the test cluster.
	defaultSettings = "[log]\nlevel = info\n[control]\nexchange_interval = 2s\nlist_interval = 1500ms\n"
)

func main() {
	var bin, output, only string
	cmd := &cobra.Command{
		Use:          "capacity",
		Short:        "Measure how cost grows with size",
		Example:      "  go run ./bench/capacity --bin bin --output docs/measurements/capacity.md",
		SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			path, err := filepath.Abs(bin)
			if err != nil {
				return err
			}
			r, err := measureAll(path, only)
			if err != nil {
				return err
			}
			r.write(os.Stdout)
			if output == "" {
				return nil
			}
			return appendTo(output, r)
		},
	}
	cmd.Flags().StringVar(&bin, "bin", "bin", "directory that holds the programs")
	cmd.Flags().StringVar(&output, "output", "", "Markdown file to which the table is appended")
	cmd.Flags().StringVar(&only, "only", "", "measure only the steps whose names contain this text")
	if cmd.Execute() != nil {
		os.Exit(1)
	}
}

func appendTo(path string, r *results) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	fmt.Fprintf(file, "\n")
	r.write(io.Writer(file))
	return file.Close()
}

func measureAll(bin, only string) (*results, error) {
	r := &results{}
	for _, step := range []struct {
		name string
		run  func(string, *results) error
	}{
		{"idle cost by agents", measureIdleByAgents},
		{"idle cost by entries", measureIdleByEntries},
		{"cost of an edit by the size of the tables", measureEditByRoutes},
		{"cost of an edit by the number of peers", measureEditByEntries},
		{"cost of requests and tokens", measureLoadCost},
		{"memory of open streams", measureStreamMemory},
		{"greatest memory while weights spread", measureWeightsMemory},
	} {
		if !strings.Contains(step.name, only) {
			continue
		}
		fmt.Fprintln(os.Stderr, step.name)
		if err := step.run(bin, r); err != nil {
			return nil, fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return r, nil
}

// fleetConfig describes a cluster with one measured entry and one measured
// agent, each alone in its availability zone, so that its traffic can be
// counted.
type fleetConfig struct {
	entries, agents    int
	extraAgentSettings string
}

// withFleet starts a fleet, runs measure on it and stops it.
func withFleet(bin string, config fleetConfig, measure func(p *probe) error) error {
	dir, err := os.MkdirTemp("", "plantain-capacity-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	network := faultproxy.NewNetwork(func(string, string) faultproxy.LinkConfig { return faultproxy.LinkConfig{} })
	defer network.Close()
	fleet, err := cluster.Start(cluster.Config{
		BinDir: bin, Dir: dir, Network: network, StoreZone: zoneStore,
		Entries: instances("entry", zoneEntry, config.entries, false, defaultSettings),
		Agents:  instances("service", zoneAgent, config.agents, true, defaultSettings+config.extraAgentSettings),
	})
	if fleet != nil {
		defer fleet.Stop()
	}
	if err != nil {
		return err
	}
	if err := putTables(fleet, 0, 1); err != nil {
		return err
	}
	time.Sleep(settleDuration)
	return measure(&probe{fleet: fleet, network: network})
}

func instances(prefix, firstZone string, count int, service bool, extra string) []cluster.Instance {
	var all []cluster.Instance
	for i := range count {
		zone := zoneRest
		if i == 0 {
			zone = firstZone
		}
		all = append(all, cluster.Instance{
			Name: fmt.Sprintf("%s-%d", prefix, i+1), AvailabilityZone: zone, Region: "region", Service: service, ExtraSettings: extra,
		})
	}
	return all
}
