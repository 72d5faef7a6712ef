package e2e_test

import (
	"bytes"
	"context"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/message"
	"plantainrelay/internal/metering"
	"plantainrelay/internal/usage"
	"plantainrelay/test/cluster"
	"plantainrelay/test/standin"
)

// callerCounts holds the usage that the callers of a test have observed.
type callerCounts map[usage.Key]usage.Counts

func (c callerCounts) send(t *testing.T, fleet *cluster.Cluster, entry, customer, path, body string) {
	t.Helper()
	got := call("POST", fleet.PublicURL(entry)+path, customer, "", body)
	qt.Assert(t, got.err, qt.IsNil)
	pool := "model"
	if strings.HasPrefix(path, "/book") {
		pool = "booking"
	}
	key := usage.Key{Customer: customer, Pool: pool, Version: got.header.Get(message.HeaderVersion)}
	seen := usage.Counts{}
	switch got.outcome {
	case "done":
		seen = usage.Counts{Done: 1, TokensIn: int64(len(strings.Fields(body))), TokensOut: 5}
	case "not_run":
		seen.NotRun = 1
	default:
		seen.Unknown = 1
	}
	c[key] = c[key].Add(seen)
}

// ctl runs plantainctl against an entry and returns its output.
func ctl(t *testing.T, fleet *cluster.Cluster, entry string, args ...string) []byte {
	t.Helper()
	args = append(args, "--server", fleet.AdminURL(entry), "--token-file", fleet.TokenFile())
	var problems bytes.Buffer
	command := exec.Command(filepath.Join(binDir, "plantainctl"), args...)
	command.Stderr = &problems
	out, err := command.Output()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", problems.String()))
	return out
}

func usageReport(t *testing.T, fleet *cluster.Cluster, entry string) metering.Report {
	t.Helper()
	var report metering.Report
	qt.Assert(t, json.Unmarshal(ctl(t, fleet, entry, "usage", "--output", "json"), &report), qt.IsNil)
	return report
}

// countsBySide converts the report to callerCounts, separately for the counts of
// the entries and those of the agents.
func countsBySide(report metering.Report) (entries, agents callerCounts) {
	entries, agents = callerCounts{}, callerCounts{}
	for _, line := range report.Lines {
		if line.Entries != (usage.Counts{}) {
			entries[line.Key] = line.Entries
		}
		if line.Agents != (usage.Counts{}) {
			agents[line.Key] = line.Agents
		}
	}
	return entries, agents
}

// TestUsageReportMatchesCallers sends requests during a store outage and while the
// store's responses are lost, and then stops an entry and an agent. The report
// must count each request exactly once, both by entries and by agents.
func TestUsageReportMatchesCallers(t *testing.T) {
	c := qt.New(t)
	const shortFlushInterval = "[usage]\nflush_interval = 100ms\n"
	fleet := startCluster(t, cluster.Config{
		Entries: []cluster.Instance{
			{Name: "entry-1", AvailabilityZone: "a", Region: "north", ExtraSettings: shortFlushInterval},
			{Name: "entry-2", AvailabilityZone: "a", Region: "north", ExtraSettings: shortFlushInterval},
		},
		Agents: []cluster.Instance{
			{Name: "model-1", AvailabilityZone: "a", Region: "north", ExtraSettings: shortFlushInterval},
			{Name: "booking-1", AvailabilityZone: "a", Region: "north", Service: true, ExtraSettings: shortFlushInterval},
		},
	})
	ctx := waitContext(t)
	manifest, err := fleet.Publish("v1", "", randomWeights(1, 1<<20), 64<<10)
	c.Assert(err, qt.IsNil)
	_, err = fleet.Apply("entry-1", 0, modelAndBookingTables("v1", manifest))
	c.Assert(err, qt.IsNil)
	for _, entry := range []string{"entry-1", "entry-2"} {
		c.Assert(fleet.WaitVersion(ctx, entry, "v1", "model-1"), qt.IsNil)
		c.Assert(fleet.WaitVersion(ctx, entry, "", "booking-1"), qt.IsNil)
	}
	expected := callerCounts{}
	sendRequests := func() {
		for i := range 12 {
			entry, customer := fmt.Sprint("entry-", 1+i%2), []string{"small", "large", "large"}[i%3]
			path := []string{"/lookup?tokens=5", "/lookup?stream&tokens=5", "/book?tokens=5"}[i/4]
			expected.send(t, fleet, entry, customer, path, "panel seven reports a fault")
		}
	}
	faults := func(faults standin.StoreFaults) {
		c.Assert(cluster.PutJSON(fleet.PlatformURL+"/faults/store", faults), qt.IsNil)
	}
	sendRequests()
	faults(standin.StoreFaults{Down: true})
	sendRequests()
	c.Assert(waitLog(ctx, fleet, "entry-1", "usage could not be written"), qt.IsNil)
	faults(standin.StoreFaults{DropResponses: true})
	sendRequests()
	// No write gets a response, so the daemons have to read back what they wrote.
	waitUsage(ctx, t, fleet, expected)
	faults(standin.StoreFaults{})
	sendRequests()
	// A graceful shutdown writes the counts that are still pending.
	c.Assert(fleet.Signal("entry-2", syscall.SIGTERM), qt.IsNil)
	c.Assert(fleet.Signal("booking-1", syscall.SIGTERM), qt.IsNil)
	c.Assert(waitExit(t, fleet, "entry-2"), qt.Equals, 0)
	c.Assert(waitExit(t, fleet, "booking-1"), qt.Equals, 0)

	waitUsage(ctx, t, fleet, expected)
	checkUsageCSV(t, fleet, expected)
	checkMetrics(t, fleet, expected)

	faults(standin.StoreFaults{Down: true})
	report := usageReport(t, fleet, "entry-1")
	c.Assert(report.Lines, qt.HasLen, 0)
	c.Assert(len(report.Unreachable) >= usage.ShardsPerDay, qt.IsTrue)
}

// waitUsage waits until the counts of entries and of agents in the report both
// equal the callers' counts.
func waitUsage(ctx context.Context, t *testing.T, fleet *cluster.Cluster, expected callerCounts) {
	t.Helper()
	qt.Assert(t, cluster.WaitFor(ctx, func() (bool, string) {
		entries, agents := countsBySide(usageReport(t, fleet, "entry-1"))
		return maps.Equal(entries, expected) && maps.Equal(agents, expected), fmt.Sprintf("callers %v\nentries %v\nagents  %v", expected, entries, agents)
	}), qt.IsNil)
}

func checkUsageCSV(t *testing.T, fleet *cluster.Cluster, expected callerCounts) {
	t.Helper()
	lines, err := csv.NewReader(bytes.NewReader(ctl(t, fleet, "entry-1", "usage", "--output", "csv"))).ReadAll()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, lines, qt.HasLen, 1+len(expected))
	for _, line := range lines[1:] {
		counts, found := expected[usage.Key{Customer: line[2], Pool: line[3], Version: line[4]}]
		qt.Assert(t, found, qt.IsTrue)
		qt.Assert(t, line[5], qt.Equals, fmt.Sprint(counts.Done))
		qt.Assert(t, line[14], qt.Equals, fmt.Sprint(counts.TokensOut))
	}
}

// checkMetrics checks that the agent's metrics match the callers' counts.
func checkMetrics(t *testing.T, fleet *cluster.Cluster, expected callerCounts) {
	t.Helper()
	var done int64
	for key, counts := range expected {
		if key.Pool == "model" {
			done += counts.Done
		}
	}
	response, err := http.Get("http://" + fleet.Listed("model-1").HTTPAddress + "/metrics")
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	for _, wanted := range []string{
		fmt.Sprintf("plantain_attempts_total{outcome=\"done\",pool=\"model\"} %d\n", done),
		"plantain_gate_open 1\n", "plantain_ready 1\n", "plantain_requests_running 0\n",
	} {
		qt.Check(t, strings.Contains(string(raw), wanted), qt.IsTrue, qt.Commentf("metrics lack %s", wanted))
	}
}
