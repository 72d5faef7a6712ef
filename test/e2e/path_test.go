package e2e_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/gateway"
	"plantainrelay/internal/message"
	"plantainrelay/internal/weights"
	"plantainrelay/test/cluster"
	"plantainrelay/test/standin"
)

// callResult is a response, or an error, as the caller sees it.
type callResult struct {
	status  int
	outcome string
	header  http.Header
	body    []byte
	err     error
}

func call(method, url, customer, key, body string) callResult {
	request, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return callResult{err: err}
	}
	request.GetBody = nil
	request.Header.Set(message.HeaderCustomer, customer)
	if key != "" {
		request.Header.Set(message.HeaderKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, outcome: response.Header.Get(message.HeaderOutcome), header: response.Header, body: raw, err: err}
}

// TestRequestPathEndToEnd covers the whole request path: tables, distribution of
// weights, address query, lookup, booking, and a change of version while lookups
// run.
func TestRequestPathEndToEnd(t *testing.T) {
	c := qt.New(t)
	fleet := startCluster(t, cluster.Config{
		Entries: []cluster.Instance{
			{Name: "entry-1", AvailabilityZone: "a", Region: "north"},
			{Name: "entry-2", AvailabilityZone: "b", Region: "north"},
		},
		Agents: []cluster.Instance{
			{Name: "model-1", AvailabilityZone: "a", Region: "north"},
			{Name: "model-2", AvailabilityZone: "b", Region: "north"},
			{Name: "booking-1", AvailabilityZone: "a", Region: "north", Service: true},
		},
	})
	first, second := randomWeights(1, 4<<20), randomWeights(2, 4<<20)
	copy(second, first[:2<<20]) // both versions share half of their chunks
	firstDigest, err := fleet.Publish("v1", "", first, 64<<10)
	c.Assert(err, qt.IsNil)
	secondDigest, err := fleet.Publish("v2", "", second, 64<<10)
	c.Assert(err, qt.IsNil)
	revision, err := fleet.Apply("entry-1", 0, modelAndBookingTables("v1", firstDigest))
	c.Assert(err, qt.IsNil)
	ctx := waitContext(t)
	c.Assert(fleet.WaitVersion(ctx, "entry-1", "v1", "model-1", "model-2"), qt.IsNil)
	c.Assert(fleet.WaitVersion(ctx, "entry-2", "v1", "model-1", "model-2"), qt.IsNil)
	c.Assert(fleet.WaitVersion(ctx, "entry-1", "", "booking-1"), qt.IsNil)

	var address gateway.AddressResponse
	c.Assert(cluster.GetJSON(fleet.PublicURL("entry-1")+"/plantain/v1/address?availability_zone=b", &address), qt.IsNil)
	c.Assert("http://"+address.Address, qt.Equals, fleet.PublicURL("entry-2"))

	booked := call("POST", "http://"+address.Address+"/book", "small", "key-1", "site 7")
	c.Assert(booked.err, qt.IsNil)
	c.Assert(booked.outcome, qt.Equals, "done", qt.Commentf("%s", booked.body))
	var executions []standin.Execution
	c.Assert(cluster.GetJSON(fleet.BackendURL("booking-1")+"/records/engine", &executions), qt.IsNil)
	c.Assert(executions, qt.HasLen, 1)
	c.Assert(executions[0].Key, qt.Equals, "key-1")

	stop := startLookups(t, fleet, map[string]weights.Digest{"v1": weights.DigestOf(first), "v2": weights.DigestOf(second)})
	_, err = fleet.Apply("entry-2", revision, modelAndBookingTables("v2", secondDigest))
	c.Assert(err, qt.IsNil)
	c.Assert(fleet.WaitVersion(ctx, "entry-1", "v2", "model-1", "model-2"), qt.IsNil)
	count := stop()
	c.Assert(count > 0, qt.IsTrue)
	last := call("POST", fleet.PublicURL("entry-1")+"/lookup", "small", "", "after")
	c.Assert(last.header.Get(message.HeaderVersion), qt.Equals, "v2")
}

// startLookups sends lookups through both entries until the returned function is
// called, which returns their number. Each response must be complete, belong to
// its own request and come from complete weights.
func startLookups(t *testing.T, fleet *cluster.Cluster, digests map[string]weights.Digest) func() int {
	return startLookupsVia(t, fleet, digests, "entry-1", "entry-2")
}

// startLookupsVia is like startLookups, but uses the named entries.
func startLookupsVia(t *testing.T, fleet *cluster.Cluster, digests map[string]weights.Digest, entries ...string) func() int {
	done := make(chan struct{})
	var group sync.WaitGroup
	counts := make([]int, 4)
	for worker := range counts {
		url := fleet.PublicURL(entries[worker%len(entries)]) + "/lookup"
		group.Add(1)
		go func() {
			defer group.Done()
			for {
				select {
				case <-done:
					return
				default:
				}
				body := string(rune('a'+worker)) + "-" + string(rune('0'+counts[worker]%10))
				checkLookup(t, call("POST", url, "small", "", body), body, digests)
				counts[worker]++
			}
		}()
	}
	return func() int {
		close(done)
		group.Wait()
		return counts[0] + counts[1] + counts[2] + counts[3]
	}
}

func checkLookup(t *testing.T, got callResult, body string, digests map[string]weights.Digest) {
	var response standin.Response
	if got.err != nil || got.outcome != "done" || json.Unmarshal(got.body, &response) != nil {
		t.Errorf("lookup %q: status %d, outcome %q, error %v, body %s", body, got.status, got.outcome, got.err, got.body)
		return
	}
	if response.Echo != body {
		t.Errorf("lookup %q got the response to %q", body, response.Echo)
	}
	if digests[response.Version] != response.WeightsDigest {
		t.Errorf("lookup %q was served from partial or mixed weights of version %q", body, response.Version)
	}
}
