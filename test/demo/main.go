// Command demo runs the whole system on loopback against stand-ins of the
// platform and prints each step: tables, weights, an address query, a lookup, a
// booking and a change of version under load.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"plantainrelay/internal/gateway"
	"plantainrelay/internal/message"
	"plantainrelay/internal/table"
	"plantainrelay/internal/weights"
	"plantainrelay/test/cluster"
	"plantainrelay/test/standin"
)

const (
	weightsSize = 8 << 20
	chunkSize   = 128 << 10
	timeout     = 50 * time.Second
	callers     = 4
)

var modelInstances = []string{"model-1", "model-2", "model-3", "model-4"}

func main() {
	bin := flag.String("bin", "bin", "directory of the compiled programs")
	flag.Parse()
	if err := run(*bin); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func run(bin string) error {
	dir, err := os.MkdirTemp("", "plantain-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	printStep("starting 2 entries, 4 model instances and 1 booking service in 2 availability zones")
	fleet, err := cluster.Start(clusterConfig(bin, dir))
	if fleet != nil {
		defer fleet.Stop()
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	revision, err := release(ctx, fleet, "v1", 1, 0)
	if err != nil {
		return err
	}
	if err := sendSampleRequests(fleet); err != nil {
		return err
	}
	stop := startLookups(fleet)
	if _, err := release(ctx, fleet, "v2", 2, revision); err != nil {
		return err
	}
	done, failed := stop()
	printStep("during the release of v2, %d lookups got a complete response and %d did not", done, failed)
	if failed > 0 {
		return fmt.Errorf("%d lookups failed", failed)
	}
	printStep("done")
	return nil
}

func printStep(format string, args ...any) {
	fmt.Printf("%s  %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func clusterConfig(bin, dir string) cluster.Config {
	instance := func(name, zone string, service bool) cluster.Instance {
		return cluster.Instance{Name: name, AvailabilityZone: zone, Region: "north", Service: service}
	}
	return cluster.Config{
		BinDir: bin,
		Dir:    dir,
		Entries: []cluster.Instance{
			instance("entry-1", "a", false), instance("entry-2", "b", false),
		},
		Agents: []cluster.Instance{
			instance("model-1", "a", false), instance("model-2", "a", false),
			instance("model-3", "b", false), instance("model-4", "b", false),
			instance("booking-1", "a", true),
		},
	}
}

func tables(version string, manifest weights.Digest) table.Tables {
	return table.Tables{
		Pools: []table.Pool{
			{Name: "model", Kind: table.KindModel, Instances: []string{"model-*"}, Version: version, Manifest: string(manifest), MaxUnavailable: 1, Prefer: table.PreferTime},
			{Name: "booking", Kind: table.KindService, Instances: []string{"booking-*"}},
		},
		Routes: []table.Route{
			{Name: "lookup", Customer: table.AnyCustomer, Path: "/lookup", Pool: "model", Repeatable: true, Priority: table.PriorityNormal, Deadline: time.Minute},
			{Name: "book", Customer: table.AnyCustomer, Path: "/book", Pool: "booking", Priority: table.PriorityUrgent, Deadline: time.Minute},
		},
	}
}

// release publishes new weights, sets them as the target of the model pool and
// waits until every model instance serves them.
func release(ctx context.Context, fleet *cluster.Cluster, version string, seed byte, revision int64) (int64, error) {
	manifest, err := fleet.Publish(version, "", randomWeights(seed), chunkSize)
	if err != nil {
		return 0, err
	}
	var before, after standin.OriginRecords
	if err := cluster.GetJSON(fleet.PlatformURL+"/records/origin", &before); err != nil {
		return 0, err
	}
	start := time.Now()
	accepted, err := fleet.Apply("entry-1", revision, tables(version, manifest))
	if err != nil {
		return 0, err
	}
	printStep("tables accepted as revision %d; releasing %s (%d MiB)", accepted, version, weightsSize>>20)
	if err := fleet.WaitVersion(ctx, "entry-2", version, modelInstances...); err != nil {
		return 0, err
	}
	elapsed := time.Since(start)
	if err := cluster.GetJSON(fleet.PlatformURL+"/records/origin", &after); err != nil {
		return 0, err
	}
	printStep("%d instances serve %s after %.2f s; the origin served %.2f copies", len(modelInstances), version, elapsed.Seconds(),
		float64(after.Bytes-before.Bytes)/weightsSize)
	return accepted, nil
}

// randomWeights returns weightsSize deterministic pseudo-random bytes that differ
// between seeds.
func randomWeights(seed byte) []byte {
	data := make([]byte, weightsSize)
	state := uint32(seed)
	for i := range data {
		state = state*1664525 + 1013904223
		data[i] = byte(state >> 24)
	}
	return data
}

func sendSampleRequests(fleet *cluster.Cluster) error {
	var address gateway.AddressResponse
	if err := cluster.GetJSON(fleet.PublicURL("entry-1")+"/plantain/v1/address?availability_zone=b", &address); err != nil {
		return err
	}
	printStep("a caller in availability zone b is directed to %s for %d s", address.Address, address.ValidSeconds)
	for _, path := range []string{"/lookup", "/book"} {
		outcome, response, err := post("http://"+address.Address+path, "panel 7 reports a fault")
		if err != nil {
			return err
		}
		printStep("POST %s: outcome %s, response %s", path, outcome, response)
	}
	return nil
}

func post(url, body string) (string, string, error) {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return "", "", err
	}
	request.Header.Set(message.HeaderCustomer, "demo")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", "", err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return response.Header.Get(message.HeaderOutcome), string(raw), err
}

// startLookups sends lookups until the returned function is called, which returns
// how many got a complete response and how many did not.
func startLookups(fleet *cluster.Cluster) func() (int64, int64) {
	var done, failed atomic.Int64
	stop := make(chan struct{})
	var group sync.WaitGroup
	for caller := range callers {
		url := fleet.PublicURL([]string{"entry-1", "entry-2"}[caller%2]) + "/lookup"
		group.Add(1)
		go func() {
			defer group.Done()
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				if lookupComplete(url, fmt.Sprintf("caller %d lookup %d", caller, number)) {
					done.Add(1)
				} else {
					failed.Add(1)
				}
			}
		}()
	}
	return func() (int64, int64) {
		close(stop)
		group.Wait()
		return done.Load(), failed.Load()
	}
}

func lookupComplete(url, body string) bool {
	outcome, raw, err := post(url, body)
	var response standin.Response
	return err == nil && outcome == "done" && json.Unmarshal([]byte(raw), &response) == nil && response.Echo == body
}
