package e2e_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/admin"
	"plantainrelay/internal/command"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/table"
	"plantainrelay/test/cluster"
	"plantainrelay/test/faultproxy"
	"plantainrelay/test/standin"
)

// tablesWithRoute returns tables with one repeatable route for path.
func tablesWithRoute(path string) table.Tables {
	return table.Tables{
		Pools:  []table.Pool{{Name: "records", Kind: table.KindService, Instances: []string{"records-*"}}},
		Routes: []table.Route{{Name: "read", Customer: "*", Path: path, Pool: "records", Repeatable: true, Priority: table.PriorityNormal, Deadline: time.Minute}},
	}
}

// startTablesFleet starts three entries in three availability zones and one service.
func startTablesFleet(t *testing.T, network cluster.Network) *cluster.Cluster {
	return startCluster(t, cluster.Config{
		Network:   network,
		StoreZone: "a",
		Entries: []cluster.Instance{
			{Name: "entry-1", AvailabilityZone: "a", Region: "north"},
			{Name: "entry-2", AvailabilityZone: "b", Region: "middle"},
			{Name: "entry-3", AvailabilityZone: "c", Region: "south"},
		},
		Agents: []cluster.Instance{{Name: "records-1", AvailabilityZone: "c", Region: "south", Service: true}},
	})
}

// adminCall calls the administration API, decodes the response into out and
// returns the response's status code.
func adminCall(fleet *cluster.Cluster, entry, method, path string, in, out any) (int, error) {
	raw, err := json.Marshal(in)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(method, fleet.AdminURL(entry)+path, bytes.NewReader(raw))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.Token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, err
	}
	return response.StatusCode, json.Unmarshal(body, out)
}

func tablesAt(fleet *cluster.Cluster, entry string) (table.Snapshot, error) {
	var snapshot table.Snapshot
	_, err := adminCall(fleet, entry, "GET", "/v1/tables", nil, &snapshot)
	return snapshot, err
}

func waitRevision(t *testing.T, fleet *cluster.Cluster, revision int64, entries ...string) {
	t.Helper()
	qt.Assert(t, cluster.WaitFor(waitContext(t), func() (bool, string) {
		for _, entry := range entries {
			snapshot, err := tablesAt(fleet, entry)
			if err != nil || snapshot.Revision < revision {
				return false, fmt.Sprintf("%s has revision %d (%v)", entry, snapshot.Revision, err)
			}
		}
		return true, ""
	}), qt.IsNil)
}

func setStoreFaults(t *testing.T, fleet *cluster.Cluster, faults standin.StoreFaults) {
	t.Helper()
	qt.Assert(t, cluster.PutJSON(fleet.PlatformURL+"/faults/store", faults), qt.IsNil)
}

// TestTablesPausedEntryServesNoStaleTables pauses an entry during an edit. Once
// resumed, it must not serve a request from the tables that the edit replaced.
func TestTablesPausedEntryServesNoStaleTables(t *testing.T) {
	fleet := startTablesFleet(t, nil)
	revision, err := fleet.Apply("entry-1", 0, tablesWithRoute("/old"))
	qt.Assert(t, err, qt.IsNil)
	waitRevision(t, fleet, revision, "entry-1", "entry-2", "entry-3")
	qt.Assert(t, cluster.WaitFor(waitContext(t), func() (bool, string) {
		result := call("GET", fleet.PublicURL("entry-2")+"/old/1", "small", "", "")
		return result.outcome == "done", string(result.body)
	}), qt.IsNil)
	qt.Assert(t, fleet.Signal("entry-2", syscall.SIGSTOP), qt.IsNil)
	revision, err = fleet.Apply("entry-1", revision, tablesWithRoute("/new"))
	qt.Assert(t, err, qt.IsNil)
	waitRevision(t, fleet, revision, "entry-1", "entry-3")
	// The store is down, so that the paused entry can learn of the new tables only
	// from its peers.
	setStoreFaults(t, fleet, standin.StoreFaults{Down: true})
	time.Sleep(3 * time.Second)

	results := make(chan callResult, 20)
	var group sync.WaitGroup
	for range cap(results) {
		group.Add(1)
		go func() {
			defer group.Done()
			results <- call("GET", fleet.PublicURL("entry-2")+"/old/2", "small", "", "")
		}()
	}
	time.Sleep(200 * time.Millisecond)
	qt.Assert(t, fleet.Signal("entry-2", syscall.SIGCONT), qt.IsNil)
	group.Wait()
	close(results)
	for result := range results {
		qt.Check(t, result.outcome, qt.Equals, "not_run", qt.Commentf("served from stale tables: %s", result.body))
	}
	waitRevision(t, fleet, revision, "entry-2")
}

// TestTablesRestoredStore restores the store to an earlier state, as from a backup.
// The entries must keep the newer tables and reject edits until an operator
// recovers the store.
func TestTablesRestoredStore(t *testing.T) {
	fleet := startTablesFleet(t, nil)
	revision := int64(0)
	var err error
	for _, path := range []string{"/one", "/two", "/three"} {
		revision, err = fleet.Apply("entry-1", revision, tablesWithRoute(path))
		qt.Assert(t, err, qt.IsNil)
	}
	waitRevision(t, fleet, 3, "entry-1", "entry-2", "entry-3")
	qt.Assert(t, cluster.PutJSON(fleet.PlatformURL+"/restore/store?writes=1", nil), qt.IsNil)
	qt.Assert(t, cluster.WaitFor(waitContext(t), func() (bool, string) {
		var status admin.TablesStatus
		_, err := adminCall(fleet, "entry-1", "GET", "/v1/tables/status", nil, &status)
		return err == nil && status.Store.Behind, fmt.Sprintf("%+v %v", status.Store, err)
	}), qt.IsNil)
	for _, entry := range []string{"entry-1", "entry-2", "entry-3"} {
		snapshot, err := tablesAt(fleet, entry)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, snapshot.Revision, qt.Equals, int64(3))
		qt.Check(t, snapshot.Routes[0].Path, qt.Equals, "/three")
	}
	var problem admin.Problem
	_, err = adminCall(fleet, "entry-2", "PUT", "/v1/tables", admin.Edit{ExpectedRevision: 1, Tables: tablesWithRoute("/four")}, &problem)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, problem.Kind, qt.Equals, failure.Refused, qt.Commentf("%s", problem.Message))

	output, code := plantainctl(fleet, "entry-2", "table", "recover", "--wait", "60s")
	qt.Assert(t, code, qt.Equals, command.ExitOK, qt.Commentf("%s", output))
	waitRevision(t, fleet, 4, "entry-1", "entry-2", "entry-3")
	revision, err = fleet.Apply("entry-3", 4, tablesWithRoute("/five"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, revision, qt.Equals, int64(5))
	output, code = plantainctl(fleet, "entry-1", "table", "rollback", "--to", "4", "--wait", "60s")
	qt.Assert(t, code, qt.Equals, command.ExitOK, qt.Commentf("%s", output))
	snapshot, err := tablesAt(fleet, "entry-1")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, snapshot.Routes[0].Path, qt.Equals, "/three")
}

func plantainctl(fleet *cluster.Cluster, entry string, args ...string) (string, int) {
	args = append(args, "--server", fleet.AdminURL(entry), "--token-file", fleet.TokenFile())
	process := exec.Command(filepath.Join(binDir, "plantainctl"), args...)
	output, _ := process.CombinedOutput()
	return string(output), process.ProcessState.ExitCode()
}

// TestTablesEditResponsesLost edits the tables while the store's responses to
// writes are lost. Each edit must be accepted exactly once.
func TestTablesEditResponsesLost(t *testing.T) {
	fleet := startTablesFleet(t, nil)
	setStoreFaults(t, fleet, standin.StoreFaults{DropResponses: true})
	for i := range int64(4) {
		edit := admin.Edit{ID: fmt.Sprint("edit-", i), ExpectedRevision: i, Tables: tablesWithRoute(fmt.Sprint("/", i))}
		var accepted admin.Accepted
		status, err := adminCall(fleet, "entry-2", "PUT", "/v1/tables", edit, &accepted)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		qt.Assert(t, accepted.Revision, qt.Equals, i+1)
	}
	// The first edit is sent again after later edits. It must return its original
	// revision and change nothing.
	repeatedEdit := admin.Edit{ID: "edit-0", ExpectedRevision: 0, Tables: tablesWithRoute("/0")}
	var accepted admin.Accepted
	status, err := adminCall(fleet, "entry-3", "PUT", "/v1/tables", repeatedEdit, &accepted)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Check(t, accepted.Revision, qt.Equals, int64(1))
	waitRevision(t, fleet, 4, "entry-1", "entry-2", "entry-3")
}

// TestTablesAllEntriesRestartedDuringStoreOutage kills and restarts all entries
// during a store outage. They must recover the tables from an agent, which
// keeps a copy.
func TestTablesAllEntriesRestartedDuringStoreOutage(t *testing.T) {
	fleet := startTablesFleet(t, nil)
	revision, err := fleet.Apply("entry-1", 0, tablesWithRoute("/kept"))
	qt.Assert(t, err, qt.IsNil)
	waitRevision(t, fleet, revision, "entry-1", "entry-2", "entry-3")
	qt.Assert(t, cluster.WaitFor(waitContext(t), func() (bool, string) {
		status, err := fleet.Status("entry-1")
		return err == nil && status.Agents["records-1"].Revision == revision, fmt.Sprintf("%+v %v", status, err)
	}), qt.IsNil)
	setStoreFaults(t, fleet, standin.StoreFaults{Down: true})
	for _, entry := range []string{"entry-1", "entry-2", "entry-3"} {
		qt.Assert(t, fleet.Signal(entry, syscall.SIGKILL), qt.IsNil)
		<-fleet.Process(entry).Exited()
	}
	for _, entry := range []string{"entry-1", "entry-2", "entry-3"} {
		qt.Assert(t, fleet.RestartDaemon(entry), qt.IsNil)
	}
	waitRevision(t, fleet, revision, "entry-1", "entry-2", "entry-3")
	qt.Assert(t, cluster.WaitFor(waitContext(t), func() (bool, string) {
		result := call("GET", fleet.PublicURL("entry-2")+"/kept/1", "small", "", "")
		return result.outcome == "done", string(result.body)
	}), qt.IsNil)
	var problem admin.Problem
	_, err = adminCall(fleet, "entry-2", "PUT", "/v1/tables", admin.Edit{ExpectedRevision: revision, Tables: tablesWithRoute("/x")}, &problem)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, problem.Kind, qt.Equals, failure.NotReachable)
	setStoreFaults(t, fleet, standin.StoreFaults{})
	_, err = fleet.Apply("entry-2", revision, tablesWithRoute("/x"))
	qt.Check(t, err, qt.IsNil)
}

func TestTablesZonePartitionedFromStore(t *testing.T) {
	network := faultproxy.NewNetwork(func(string, string) faultproxy.LinkConfig { return faultproxy.LinkConfig{} })
	t.Cleanup(network.Close)
	fleet := startTablesFleet(t, network)
	revision, err := fleet.Apply("entry-1", 0, tablesWithRoute("/one"))
	qt.Assert(t, err, qt.IsNil)
	waitRevision(t, fleet, revision, "entry-1", "entry-2", "entry-3")
	resume := network.Stall("a", "b")
	defer resume()
	for i := range 5 {
		revision, err = fleet.Apply("entry-1", revision, tablesWithRoute(fmt.Sprint("/edit-", i)))
		qt.Assert(t, err, qt.IsNil)
		waitRevision(t, fleet, revision, "entry-2", "entry-3")
	}
}

// acceptedEdit holds the revision that an accepted edit expected and the one that
// it got.
type acceptedEdit struct {
	expected, revision int64
}

func TestTablesConcurrentEditsAreLinearizable(t *testing.T) {
	for _, operators := range []int{2, 5} {
		t.Run(fmt.Sprint(operators), func(t *testing.T) { editConcurrently(t, operators) })
	}
}

func editConcurrently(t *testing.T, operators int) {
	fleet := startTablesFleet(t, nil)
	entries := []string{"entry-1", "entry-2", "entry-3"}
	var mu sync.Mutex
	var history []porcupine.Operation
	accepted := map[string]int64{}
	var group sync.WaitGroup
	start := time.Now()
	for operator := range operators {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := range 8 {
				entry := entries[(operator+i)%len(entries)]
				before, err := tablesAt(fleet, entry)
				if err != nil {
					t.Error(err)
					return
				}
				id := fmt.Sprintf("operator-%d-%d", operator, i)
				edit := admin.Edit{ID: id, ExpectedRevision: before.Revision, Tables: tablesWithRoute("/" + id)}
				var response admin.Accepted
				sent := time.Since(start)
				status, err := adminCall(fleet, entry, "PUT", "/v1/tables", edit, &response)
				if err != nil || (status != http.StatusOK && status != http.StatusConflict) {
					t.Errorf("edit %s: status %d, %v", id, status, err)
					return
				}
				if status != http.StatusOK {
					continue
				}
				mu.Lock()
				accepted[id] = response.Revision
				history = append(history, porcupine.Operation{ClientId: operator, Input: acceptedEdit{before.Revision, response.Revision},
					Output: response.Revision, Call: int64(sent), Return: int64(time.Since(start))})
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	checkEditHistory(t, fleet, history, accepted)
}

// revisionModel models the tables as a register: each accepted edit increments the
// revision that it expected.
var revisionModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, _ any) (bool, any) {
		edit := input.(acceptedEdit)
		return edit.expected == state.(int64) && edit.revision == state.(int64)+1, edit.revision
	},
}

func checkEditHistory(t *testing.T, fleet *cluster.Cluster, history []porcupine.Operation, accepted map[string]int64) {
	qt.Assert(t, len(history) > 0, qt.IsTrue)
	qt.Check(t, porcupine.CheckOperations(revisionModel, history), qt.IsTrue)
	last := int64(len(accepted))
	waitRevision(t, fleet, last, "entry-1", "entry-2", "entry-3")
	for _, entry := range []string{"entry-1", "entry-2", "entry-3"} {
		snapshot, err := tablesAt(fleet, entry)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, snapshot.Revision, qt.Equals, last)
		for _, record := range snapshot.Edits {
			qt.Check(t, accepted[record.EditID], qt.Equals, record.Revision, qt.Commentf("%s", record.EditID))
		}
	}
}

func TestTablesStaleReadsAndLostEvents(t *testing.T) {
	fleet := startTablesFleet(t, nil)
	revision, err := fleet.Apply("entry-1", 0, tablesWithRoute("/one"))
	qt.Assert(t, err, qt.IsNil)
	setStoreFaults(t, fleet, standin.StoreFaults{StaleReads: true, LoseEvents: true})
	revision, err = fleet.Apply("entry-1", revision, tablesWithRoute("/two"))
	qt.Assert(t, err, qt.IsNil)
	waitRevision(t, fleet, revision, "entry-1", "entry-2", "entry-3")
	setStoreFaults(t, fleet, standin.StoreFaults{RepeatEvents: true})
	revision, err = fleet.Apply("entry-2", revision, tablesWithRoute("/three"))
	qt.Assert(t, err, qt.IsNil)
	waitRevision(t, fleet, revision, "entry-1", "entry-2", "entry-3")
}
