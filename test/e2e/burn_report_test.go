package e2e_test

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/burn"
	"plantainrelay/internal/servicelevel"
	"plantainrelay/test/cluster"
)

// burnReport runs "plantainctl report burn" and returns its output.
func burnReport(c *qt.C, fleet *cluster.Cluster, entry, output string) string {
	command := exec.Command(filepath.Join(binDir, "plantainctl"), "report", "burn",
		"--server", fleet.AdminURL(entry), "--token-file", fleet.TokenFile(), "--output", output)
	out, err := command.Output()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return string(out)
}

// TestBurnReportSumsAllEntries sends a known number of requests to each entry
// and checks that each output format of the report holds the sum over all
// entries. A killed entry must be named as not reached.
func TestBurnReportSumsAllEntries(t *testing.T) {
	c := qt.New(t)
	fleet := startCluster(t, cluster.Config{
		Entries: []cluster.Instance{
			{Name: "entry-1", AvailabilityZone: "a", Region: "north"},
			{Name: "entry-2", AvailabilityZone: "b", Region: "north"},
			{Name: "entry-3", AvailabilityZone: "c", Region: "north"},
		},
		Agents: []cluster.Instance{
			{Name: "model-1", AvailabilityZone: "a", Region: "north"},
			{Name: "booking-1", AvailabilityZone: "a", Region: "north", Service: true},
		},
	})
	data := randomWeights(1, 1<<20)
	manifest, err := fleet.Publish("v1", "", data, 64<<10)
	c.Assert(err, qt.IsNil)
	_, err = fleet.Apply("entry-1", 0, modelAndBookingTables("v1", manifest))
	c.Assert(err, qt.IsNil)
	ctx := waitContext(t)
	for _, entry := range []string{"entry-1", "entry-2", "entry-3"} {
		c.Assert(fleet.WaitVersion(ctx, entry, "v1", "model-1"), qt.IsNil)
		c.Assert(fleet.WaitVersion(ctx, entry, "", "booking-1"), qt.IsNil)
	}
	const perEntry, tokens = 5, 10
	for _, entry := range []string{"entry-1", "entry-2", "entry-3"} {
		for i := range perEntry {
			got := call("POST", fmt.Sprintf("%s/lookup?stream&tokens=%d", fleet.PublicURL(entry), tokens), "large", "", fmt.Sprint(i))
			c.Assert(got.outcome, qt.Equals, "done", qt.Commentf("%s", got.body))
			booked := call("POST", fleet.PublicURL(entry)+"/book", "small", fmt.Sprintf("%s-%d", entry, i), "site")
			c.Assert(booked.outcome, qt.Equals, "done", qt.Commentf("%s", booked.body))
		}
	}
	got := longestWindowCounts(c, burnReport(c, fleet, "entry-2", "json"), 3)
	c.Assert(got[burn.Key{Objective: burn.Availability, Customer: "large", Route: "lookup"}], qt.Equals, burn.Count{Total: 3 * perEntry})
	c.Assert(got[burn.Key{Objective: burn.Availability, Customer: "small", Route: "book"}], qt.Equals, burn.Count{Total: 3 * perEntry})
	c.Assert(got[burn.Key{Objective: burn.FirstToken, Customer: "large", Route: "lookup"}].Total, qt.Equals, uint64(3*perEntry))

	page := burnReport(c, fleet, "entry-1", "html")
	c.Assert(strings.Count(page, "<svg"), qt.Equals, 4)
	c.Assert(strings.Contains(page, "src="), qt.IsFalse)
	c.Assert(strings.Contains(strings.ToLower(page), "not reached"), qt.IsFalse)

	c.Assert(fleet.Signal("entry-3", syscall.SIGKILL), qt.IsNil)
	<-fleet.Process("entry-3").Exited()
	c.Assert(burnReport(c, fleet, "entry-1", "text"), qt.Contains, "NOT REACHED, their counts are missing: entry-3")
	c.Assert(burnReport(c, fleet, "entry-1", "html"), qt.Contains, "Not reached, their counts are missing: entry-3")
	rest := longestWindowCounts(c, burnReport(c, fleet, "entry-1", "json"), 2)
	c.Assert(rest[burn.Key{Objective: burn.Availability, Customer: "large", Route: "lookup"}], qt.Equals, burn.Count{Total: 2 * perEntry})
}

// longestWindowCounts decodes a JSON report, checks its number of entries and
// returns the counts of the longest window.
func longestWindowCounts(c *qt.C, raw string, entries int) map[burn.Key]burn.Count {
	var report servicelevel.FleetReport
	c.Assert(json.Unmarshal([]byte(raw), &report), qt.IsNil, qt.Commentf("%s", raw))
	c.Assert(report.Entries, qt.HasLen, entries)
	found := map[burn.Key]burn.Count{}
	for _, line := range report.Lines {
		found[line.Key] = line.Windows[len(line.Windows)-1]
	}
	return found
}
