package e2e_test

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/gateway"
	"plantainrelay/internal/message"
	"plantainrelay/test/cluster"
	"plantainrelay/test/standin"
)

const (
	streamTokens   = 40
	tokenDelay     = 500 * time.Millisecond
	drainStartWait = 5 * time.Second
)

// streamResult is a finished streamed response as its caller sees it.
type streamResult struct {
	tokens  int
	sawDone bool
	err     error
}

// startStream starts a streamed lookup and returns after its first token.
func startStream(t *testing.T, url string) <-chan streamResult {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("night shift"))
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set(message.HeaderCustomer, "small")
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
	lines := bufio.NewScanner(response.Body)
	qt.Assert(t, lines.Scan(), qt.IsTrue)
	ended := make(chan streamResult, 1)
	go func() {
		defer response.Body.Close()
		got := streamResult{tokens: 1}
		for lines.Scan() {
			got.sawDone = got.sawDone || lines.Text() == "event: done"
			if strings.HasPrefix(lines.Text(), "data: {\"token\"") {
				got.tokens++
			}
		}
		got.err = lines.Err()
		ended <- got
	}()
	return ended
}

// waitExit waits until the named process has exited and returns its exit code.
func waitExit(t *testing.T, fleet *cluster.Cluster, name string) int {
	t.Helper()
	process := fleet.Process(name)
	select {
	case <-process.Exited():
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not exit", name)
	}
	return process.Command.ProcessState.ExitCode()
}

func waitLog(ctx context.Context, fleet *cluster.Cluster, name, text string) error {
	return cluster.WaitFor(ctx, func() (bool, string) {
		raw, err := os.ReadFile(fleet.Process(name).LogPath)
		return err == nil && strings.Contains(string(raw), text), name + " has not logged: " + text
	})
}

func countExecutions(t *testing.T, fleet *cluster.Cluster, agent string) int {
	t.Helper()
	var runs []standin.Execution
	qt.Assert(t, cluster.GetJSON(fleet.BackendURL(agent)+"/records/engine", &runs), qt.IsNil)
	return len(runs)
}

// TestStreamSurvivesSIGTERM sends SIGTERM to the entry and the agent that serve a
// streamed response of 20 s. The response must arrive complete.
func TestStreamSurvivesSIGTERM(t *testing.T) {
	c := qt.New(t)
	fleet := startCluster(t, cluster.Config{
		Entries: []cluster.Instance{
			{Name: "entry-1", AvailabilityZone: "a", Region: "north"},
			{Name: "entry-2", AvailabilityZone: "a", Region: "north"},
		},
		Agents: []cluster.Instance{
			{Name: "model-1", AvailabilityZone: "a", Region: "north"},
			{Name: "model-2", AvailabilityZone: "a", Region: "north"},
		},
	})
	ctx := waitContext(t)
	manifest, err := fleet.Publish("v1", "", randomWeights(1, 1<<20), 64<<10)
	c.Assert(err, qt.IsNil)
	_, err = fleet.Apply("entry-1", 0, modelAndBookingTables("v1", manifest))
	c.Assert(err, qt.IsNil)
	for _, entry := range []string{"entry-1", "entry-2"} {
		c.Assert(fleet.WaitVersion(ctx, entry, "v1", "model-1", "model-2"), qt.IsNil)
	}
	for _, agent := range []string{"model-1", "model-2"} {
		c.Assert(cluster.PutJSON(fleet.BackendURL(agent)+"/faults/engine", standin.EngineFaults{TokenDelay: tokenDelay}), qt.IsNil)
	}
	url := fleet.PublicURL("entry-1") + "/lookup?stream&tokens=40"
	ended := startStream(t, url)
	draining, remaining := "model-1", "model-2"
	if countExecutions(t, fleet, draining) == 0 {
		draining, remaining = remaining, draining
	}

	c.Assert(fleet.Signal("entry-1", syscall.SIGTERM), qt.IsNil)
	c.Assert(fleet.Signal(draining, syscall.SIGTERM), qt.IsNil)
	c.Assert(waitLog(ctx, fleet, "entry-1", `"draining"`), qt.IsNil)
	c.Assert(waitLog(ctx, fleet, draining, `"draining"`), qt.IsNil)
	checkAddressAvoidsEntry(t, fleet)
	c.Assert(fleet.Signal("entry-1", syscall.SIGTERM), qt.IsNil)
	c.Assert(fleet.Signal(draining, syscall.SIGTERM), qt.IsNil)
	c.Assert(waitLog(ctx, fleet, "entry-1", "already draining"), qt.IsNil)
	c.Assert(waitLog(ctx, fleet, draining, "already draining"), qt.IsNil)
	time.Sleep(drainStartWait)
	checkNoNewRequests(t, fleet, draining, remaining)

	got := <-ended
	c.Assert(got, qt.Equals, streamResult{tokens: streamTokens, sawDone: true})
	c.Assert(waitExit(t, fleet, "entry-1"), qt.Equals, 0)
	c.Assert(waitExit(t, fleet, draining), qt.Equals, 0)
}

// checkAddressAvoidsEntry checks that the draining entry no longer advertises its
// own address.
func checkAddressAvoidsEntry(t *testing.T, fleet *cluster.Cluster) {
	t.Helper()
	for range 20 {
		var response gateway.AddressResponse
		err := cluster.GetJSON(fleet.PublicURL("entry-1")+"/plantain/v1/address?availability_zone=a", &response)
		if err != nil {
			return // its listener is closed, so it advertises no address
		}
		qt.Assert(t, "http://"+response.Address, qt.Equals, fleet.PublicURL("entry-2"))
		qt.Assert(t, "http://"+response.Alternate, qt.Not(qt.Equals), fleet.PublicURL("entry-1"))
	}
}

// checkNoNewRequests checks that new requests no longer reach a draining entry or
// agent, and that the remaining ones serve them.
func checkNoNewRequests(t *testing.T, fleet *cluster.Cluster, draining, remaining string) {
	t.Helper()
	drainingBefore, remainingBefore := countExecutions(t, fleet, draining), countExecutions(t, fleet, remaining)
	const lookups = 4
	for range lookups {
		got := call("POST", fleet.PublicURL("entry-2")+"/lookup?tokens=1", "small", "", "late")
		qt.Assert(t, got.err, qt.IsNil)
		qt.Assert(t, got.outcome, qt.Equals, "done", qt.Commentf("%s", got.body))
	}
	qt.Assert(t, countExecutions(t, fleet, draining), qt.Equals, drainingBefore)
	qt.Assert(t, countExecutions(t, fleet, remaining), qt.Equals, remainingBefore+lookups)
	lateCall := call("POST", fleet.PublicURL("entry-1")+"/lookup?tokens=1", "small", "", "late")
	qt.Assert(t, lateCall.err, qt.IsNotNil)
}
