// Command requests measures the request path with real processes on loopback:
// added latency, processor time of each process, the traffic for reading the
// agents' states, and goodput and fairness under overload.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"plantainrelay/internal/table"
	"plantainrelay/test/cluster"
)

const (
	startTimeout = time.Minute
	deadline     = 10 * time.Second
)

func main() {
	only := flag.String("only", "", "run one part: latency, cpu, overload or states")
	flag.Parse()
	dir, err := os.MkdirTemp("", "plantain-bench-")
	if err == nil {
		defer os.RemoveAll(dir)
		err = run(dir, *only)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(dir, only string) error {
	bin := filepath.Join(dir, "bin")
	if err := os.Mkdir(bin, 0o700); err != nil {
		return err
	}
	if err := cluster.Build(bin); err != nil {
		return err
	}
	for _, part := range []struct {
		name string
		run  func(*clusterStarter) error
	}{{"latency", measureLatency}, {"cpu", measureProcessorTime}, {"overload", measureOverload}, {"states", measureStateTraffic}} {
		if only != "" && only != part.name {
			continue
		}
		if err := part.run(&clusterStarter{dir: dir, bin: bin, part: part.name}); err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
	}
	return nil
}

// clusterStarter starts clusters of services.
type clusterStarter struct {
	dir, bin, part string
	started        int
}

// start runs a cluster whose backend servers run up to slots requests each at
// the same time.
func (f *clusterStarter) start(entries, agents, slots int) (*cluster.Cluster, error) {
	f.started++
	dir := filepath.Join(f.dir, fmt.Sprintf("%s-%d", f.part, f.started))
	if err := os.Mkdir(dir, 0o700); err != nil {
		return nil, err
	}
	config := cluster.Config{BinDir: f.bin, Dir: dir}
	for i := range entries {
		config.Entries = append(config.Entries, cluster.Instance{Name: fmt.Sprintf("entry-%d", i+1), AvailabilityZone: "a", Region: "north"})
	}
	var names []string
	for i := range agents {
		names = append(names, fmt.Sprintf("runner-%d", i+1))
		config.Agents = append(config.Agents, cluster.Instance{Name: names[i], AvailabilityZone: "a", Region: "north", Service: true,
			ExtraSettings: fmt.Sprintf("max_running = %d", slots)})
	}
	c, err := cluster.Start(config)
	if err != nil {
		return c, err
	}
	tables := table.Tables{
		Pools:  []table.Pool{{Name: "runners", Kind: table.KindService, Instances: []string{"runner-*"}}},
		Routes: []table.Route{{Name: "lookup", Customer: "*", Path: "/", Pool: "runners", Repeatable: true, Priority: table.PriorityNormal, Deadline: deadline}},
	}
	if _, err := c.Apply("entry-1", 0, tables); err != nil {
		return c, err
	}
	ctx, cancel := timeoutContext(startTimeout)
	defer cancel()
	for i := range entries {
		if err := c.WaitVersion(ctx, fmt.Sprintf("entry-%d", i+1), "", names...); err != nil {
			return c, err
		}
	}
	return c, nil
}
