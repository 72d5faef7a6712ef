package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"plantainrelay/internal/admin"
	"plantainrelay/internal/rollout"
)

const watchInterval = 2 * time.Second

func statusCommand(o *options) *cobra.Command {
	var watch bool
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show the state of every pool and agent",
		Example: "  plantainctl status --watch\n  plantainctl status --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return showStatus(cmd.Context(), o, cmd.OutOrStdout(), watch)
		},
	}
	cmd.Flags().BoolVar(&watch, "watch", false, "refresh every 2 s until interrupted, with an estimate of the remaining fetch time")
	return cmd
}

func showStatus(ctx context.Context, o *options, out io.Writer, watch bool) error {
	var previous []poolStatus
	for {
		var status admin.Status
		if err := o.call(ctx, "GET", "/v1/status", nil, &status); err != nil {
			return err
		}
		if o.output == "json" {
			if err := printJSON(out, status); err != nil {
				return err
			}
		} else {
			pools := summarizePools(status)
			estimateRemaining(pools, previous, watchInterval)
			printPools(out, pools)
			printStatus(out, status)
			previous = pools
		}
		if !watch {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(watchInterval):
		}
	}
}

// poolStatus summarizes the agents of one pool.
type poolStatus struct {
	name                  string
	instances             int
	open                  int
	stages                map[rollout.Stage]int
	heldBytes, totalBytes int64
	remaining             time.Duration
	causes                []string
}

var stageOrder = []rollout.Stage{
	rollout.StageFetching, rollout.StageWaiting, rollout.StageDraining, rollout.StageLoading, rollout.StageServing,
}

// summarizePools summarizes the agents by pool and sorts the pools by name.
func summarizePools(status admin.Status) []poolStatus {
	byName := map[string]*poolStatus{}
	for _, name := range sortedNames(status) {
		agent := status.Agents[name]
		if byName[agent.Pool] == nil {
			byName[agent.Pool] = &poolStatus{name: agent.Pool, stages: map[rollout.Stage]int{}}
		}
		pool := byName[agent.Pool]
		pool.instances++
		pool.stages[agent.Stage]++
		if agent.Open {
			pool.open++
		}
		pool.totalBytes += agent.Size
		if agent.Chunks > 0 {
			pool.heldBytes += agent.Size * int64(agent.Held) / int64(agent.Chunks)
		}
		if agent.Cause != "" && !slices.Contains(pool.causes, agent.Cause) {
			pool.causes = append(pool.causes, agent.Cause)
		}
	}
	pools := make([]poolStatus, 0, len(byName))
	for _, pool := range byName {
		pools = append(pools, *pool)
	}
	slices.SortFunc(pools, func(a, b poolStatus) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return pools
}

// estimateRemaining sets the remaining fetch time of each pool, from the rate
// of the last interval. It stays 0 if the rate is unknown.
func estimateRemaining(pools, previous []poolStatus, interval time.Duration) {
	for i := range pools {
		for _, before := range previous {
			fetched := pools[i].heldBytes - before.heldBytes
			if before.name == pools[i].name && fetched > 0 {
				missingBytes := pools[i].totalBytes - pools[i].heldBytes
				pools[i].remaining = time.Duration(float64(interval) * float64(missingBytes) / float64(fetched))
			}
		}
	}
}

func printPools(out io.Writer, pools []poolStatus) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "POOL\tINSTANCES\tOPEN\tFETCHING\tWAITING\tDRAINING\tLOADING\tSERVING\tMIB\tFETCH LEFT")
	for _, pool := range pools {
		fmt.Fprintf(w, "%s\t%d\t%d", pool.name, pool.instances, pool.open)
		for _, stage := range stageOrder {
			fmt.Fprintf(w, "\t%d", pool.stages[stage])
		}
		remaining := "-"
		if pool.remaining > 0 {
			remaining = pool.remaining.Round(time.Second).String()
		}
		fmt.Fprintf(w, "\t%d/%d\t%s\n", pool.heldBytes>>20, pool.totalBytes>>20, remaining)
	}
	w.Flush()
	for _, pool := range pools {
		for _, cause := range pool.causes {
			fmt.Fprintf(out, "%s: %s\n", pool.name, cause)
		}
	}
	fmt.Fprintln(out)
}

func sortedNames(status admin.Status) []string {
	names := make([]string, 0, len(status.Agents))
	for name := range status.Agents {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func printStatus(out io.Writer, status admin.Status) {
	fmt.Fprintf(out, "revision %d\n", status.Revision)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tPOOL\tOPEN\tVERSION\tSTAGE\tCHUNKS\tRUNNING\tREVISION\tFAILURES\tCAUSE")
	for _, name := range sortedNames(status) {
		agent := status.Agents[name]
		fmt.Fprintf(w, "%s\t%s\t%t\t%s\t%s\t%d/%d\t%d\t%d\t%d\t%s\n", name, agent.Pool, agent.Open, agent.Version,
			agent.Stage, agent.Held, agent.Chunks, agent.Running, agent.Revision, agent.Failures, agent.Cause)
	}
	w.Flush()
}
