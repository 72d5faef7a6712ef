// Command tables measures the propagation of the tables: the delays and calls of
// simulated fleets of several sizes on a virtual clock, and the size of the real
// messages.
package main

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net"
	"net/rpc"
	"os"
	"slices"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"plantainrelay/internal/member"
	"plantainrelay/internal/message"
	"plantainrelay/internal/propagate"
	"plantainrelay/internal/table"
	"plantainrelay/test/propagation"
)

const (
	editsPerDay          = 2000
	day                  = 24 * time.Hour
	edits                = 20
	idleDuration         = 60 * time.Second
	exchangeInterval     = 2 * time.Second
	messageLoss          = 0.01
	listInterval         = 1500 * time.Millisecond
	watchWait            = 10 * time.Second
	verifyInterval       = 10 * time.Second
	headerBytesPerPacket = 52
	// packetsPerCall counts the request, the response and their
	// acknowledgements.
	packetsPerCall = 4
	targetPools    = 60
	targetRoutes   = 120
)

type size struct {
	entries, agents, zones int
}

func main() {
	bytesPerCall, bytesPerFetch := exchangeBytes(), fetchBytes()
	fmt.Printf("one exchange on an open connection: %d bytes both ways, %d with packet headers\n", bytesPerCall, bytesPerCall+packetsPerCall*headerBytesPerPacket)
	fmt.Printf("one fetch of %d routes and %d pools: %d bytes\n\n", targetRoutes, targetPools, bytesPerFetch)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "entries\tagents\tregions cut\tp50\tp99\tmax\tcalls/s per daemon\tmost\tB/s per daemon at rest\tmost\tB/s for 2,000 edits a day")
	for _, s := range []size{{8, 20, 3}, {80, 400, 8}, {160, 800, 8}, {330, 1600, 8}} {
		for _, partitioned := range []bool{false, true} {
			measure(w, s, partitioned, bytesPerCall+packetsPerCall*headerBytesPerPacket, bytesPerFetch)
		}
	}
	w.Flush()
	printStoreCalls()
}

func measure(w *tabwriter.Writer, s size, partitioned bool, bytesPerCall, bytesPerFetch int64) {
	f := propagation.New(propagation.Config{Entries: s.entries, Agents: s.agents, Zones: s.zones, Regions: 3, Interval: exchangeInterval, LossRate: messageLoss, Seed: 11})
	f.Run(10 * time.Second)
	if partitioned {
		f.Cut("region-0", "region-1")
	}
	f.Run(10 * time.Second)
	before := countTraffic(f)
	f.Run(idleDuration)
	idle := difference(countTraffic(f), before)
	before = countTraffic(f)
	delays, elapsed := propagateEdits(f, s.entries)
	edited := difference(countTraffic(f), before)
	mean, highest := perSecond(idle, idleDuration)
	edited.fetches, edited.calls = edited.fetches/edits, max(0, edited.calls-int64(float64(idle.calls)*elapsed.Seconds()/idleDuration.Seconds()))/edits
	perEdit := float64(edited.calls*bytesPerCall+2*edited.fetches*bytesPerFetch) / float64(len(f.Nodes))
	fmt.Fprintf(w, "%d\t%d\t%t\t%v\t%v\t%v\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\n", s.entries, s.agents, partitioned,
		quantile(delays, 0.5), quantile(delays, 0.99), delays[len(delays)-1].Round(time.Millisecond), mean, highest, mean*float64(bytesPerCall), highest*float64(bytesPerCall),
		perEdit*editsPerDay/day.Seconds())
}

// propagateEdits accepts edits and returns, sorted, the time after which each
// node had applied each of them, and the total time.
func propagateEdits(f *propagation.Fleet, entries int) ([]time.Duration, time.Duration) {
	var delays []time.Duration
	start := f.Now()
	for i := range edits {
		accepted := f.Now()
		revision := f.AcceptEdit(f.Nodes[(i*37)%entries])
		f.RunUntil(30*time.Second, func() bool { return f.AllHold(revision) })
		for _, node := range f.Nodes {
			if node.Revision < revision {
				delays = append(delays, time.Hour)
				continue
			}
			delays = append(delays, node.AppliedAt.Sub(accepted))
		}
	}
	slices.Sort(delays)
	return delays, f.Now().Sub(start)
}

func quantile(sorted []time.Duration, share float64) time.Duration {
	return sorted[int(share*float64(len(sorted)-1))].Round(time.Millisecond)
}

// traffic counts the calls made or answered and the fetches of the whole fleet.
type traffic struct {
	calls, fetches int64
	byNode         []int64
}

func countTraffic(f *propagation.Fleet) traffic {
	var t traffic
	for _, node := range f.Nodes {
		t.calls += node.Exchanges + node.Answers
		t.fetches += node.Fetches
		t.byNode = append(t.byNode, node.Exchanges+node.Answers)
	}
	return t
}

func difference(after, before traffic) traffic {
	result := traffic{calls: after.calls - before.calls, fetches: after.fetches - before.fetches}
	for i, count := range after.byNode {
		result.byNode = append(result.byNode, count-before.byNode[i])
	}
	return result
}

func perSecond(t traffic, elapsed time.Duration) (mean, highest float64) {
	seconds := elapsed.Seconds()
	return float64(t.calls) / seconds / float64(len(t.byNode)), float64(slices.Max(t.byNode)) / seconds
}

// printStoreCalls prints the rate of calls to the store and to the list of
// instances for several fleet sizes.
func printStoreCalls() {
	fmt.Println("\ncalls to the store and the list at rest, per availability zone")
	perWatcher := 1/watchWait.Seconds() + 1/verifyInterval.Seconds()
	for _, s := range []size{{8, 20, 3}, {80, 400, 8}, {330, 1600, 8}} {
		f := propagation.New(propagation.Config{Entries: s.entries, Agents: s.agents, Zones: s.zones, Regions: 3, Interval: exchangeInterval, Seed: 1})
		var list []member.Instance
		for _, node := range f.Nodes {
			list = append(list, node.Instance)
		}
		watchers, readers := 0, 0
		for _, instance := range list {
			if propagate.ShouldWatchStore(instance, list, 0, 0) {
				watchers++
			}
			if propagate.ShouldReadList(instance, list, listInterval) {
				readers++
			}
		}
		zones := float64(s.zones)
		calls := (float64(watchers)*perWatcher + float64(readers)/listInterval.Seconds()) / zones
		baseline := (float64(s.entries)/watchWait.Seconds() + float64(s.entries+s.agents)/listInterval.Seconds()) / zones
		fmt.Printf("%d entries, %d agents: %.2f/s; baseline (every entry watches, every daemon reads the list): %.1f/s\n", s.entries, s.agents, calls, baseline)
	}
}

// echoService handles exchanges over the real codec.
type echoService struct{}

// Exchange returns the summary that it receives.
func (echoService) Exchange(args message.PeerSummary, reply *message.PeerSummary) error {
	*reply = args
	return nil
}

// countingConn counts the bytes in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// exchangeBytes returns the bytes of one exchange on an open connection, on
// which gob has already sent its type descriptions.
func exchangeBytes() int64 {
	const calls = 1000
	clientConn, serverConn := net.Pipe()
	server := rpc.NewServer()
	if err := server.RegisterName("Tables", echoService{}); err != nil {
		panic(err)
	}
	go server.ServeConn(serverConn)
	var count atomic.Int64
	client := rpc.NewClient(countingConn{Conn: clientConn, bytes: &count})
	defer client.Close()
	args := message.PeerSummary{From: "entry-123", Incarnation: 1 << 63, Revision: 4000, Stamp: time.Now().UnixMilli(), Hash: 1 << 63, ReadAge: 1500, Current: true}
	var reply message.PeerSummary
	for i := range calls + 1 {
		if i == 1 {
			count.Store(0)
		}
		if err := client.Call(message.MethodTablesExchange, args, &reply); err != nil {
			panic(err)
		}
	}
	return count.Load() / calls
}

// fetchBytes returns the size of the response to a fetch of tables of the target
// size.
func fetchBytes() int64 {
	snapshot := &table.Snapshot{Revision: 4000, EditID: "0e1f7a52-0b0a-4f3c-9a40-2c1c5b3f6a11", Author: "alice"}
	for i := range targetPools {
		snapshot.Pools = append(snapshot.Pools, table.Pool{Name: fmt.Sprintf("pool-%d", i), Kind: table.KindModel, Instances: []string{fmt.Sprintf("model-%d-*", i)},
			Version: fmt.Sprintf("v-%d", i), Manifest: fmt.Sprintf("%064d", i), MaxUnavailable: 2, Prefer: table.PreferTime})
	}
	for i := range targetRoutes {
		snapshot.Routes = append(snapshot.Routes, table.Route{Name: fmt.Sprintf("route-%d", i), Customer: fmt.Sprintf("customer-%d", i), Path: "/v1/lookup",
			Pool: fmt.Sprintf("pool-%d", i%targetPools), Repeatable: true, Priority: table.PriorityNormal, Deadline: time.Minute})
	}
	for i := range table.MaxEditRecords {
		snapshot.Edits = append(snapshot.Edits, table.EditRecord{Revision: int64(4000 - i), EditID: snapshot.EditID, Author: "alice", At: time.Now(), Content: "0123456789abcdef"})
	}
	var raw bytes.Buffer
	if err := gob.NewEncoder(&raw).Encode(message.TablesFetchReply{Snapshot: snapshot}); err != nil {
		panic(err)
	}
	return int64(raw.Len())
}
