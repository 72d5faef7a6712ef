package main

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"io"
	"runtime"
	"time"

	"plantainrelay/internal/member"
	"plantainrelay/internal/message"
	"plantainrelay/internal/rollout"
	"plantainrelay/internal/table"
	"plantainrelay/internal/tracker"
	"plantainrelay/internal/weights"
)

const trackerRounds = 20

// trackerCost is the cost of one tracker for a pool.
type trackerCost struct {
	timePerAnnouncement       time.Duration
	announceInterval          time.Duration
	bytesPerCall              int
	stateBytesPerInstance     int64
	coresPerInstance          float64
	bytesPerSecondPerInstance float64
}

// printTrackerCost prints the tracker's cost for pools of several sizes in
// which all instances wait for their permits.
func printTrackerCost(out io.Writer, sizes []int) {
	fmt.Fprintln(out, "\ntracker of one pool, all instances waiting for permits")
	fmt.Fprintln(out, "\n| N | CPU per announcement | time between two of one instance | announcement and reply | state per instance | tracker's CPU | tracker's traffic |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range sizes {
		cost := measureTracker(n)
		fmt.Fprintf(out, "| %d | %s | %s | %d B | %d B | %.2f %% of a core | %.1f KB/s |\n", n, cost.timePerAnnouncement, cost.announceInterval,
			cost.bytesPerCall, cost.stateBytesPerInstance, 100*cost.coresPerInstance*float64(n), cost.bytesPerSecondPerInstance*float64(n)/1000)
	}
}

func measureTracker(n int) trackerCost {
	now := time.Unix(1000, 0)
	list := member.List{}
	snapshot := &table.Snapshot{Tables: table.Tables{Pools: []table.Pool{{Name: "model", Instances: []string{"*"}, MaxUnavailable: 2}}}}
	args := make([]message.AnnounceArgs, n)
	for i := range args {
		args[i] = message.AnnounceArgs{Instance: fmt.Sprintf("instance-%04d", i), Pool: "model", AvailabilityZone: fmt.Sprintf("zone-%d", i%8),
			Manifest: weights.DigestOf([]byte("v2")), Stage: rollout.StageWaiting, Open: true, Wants: true}
		list.Instances = append(list.Instances, member.Instance{Name: args[i].Instance, Role: member.RoleAgent, State: member.StateLive})
	}
	before := heapBytes()
	t := tracker.New(func() *table.Snapshot { return snapshot }, func() *member.List { return &list }, func() time.Time { return now })
	var reply message.AnnounceReply
	start := time.Now()
	for range trackerRounds {
		for i := range args {
			reply = message.AnnounceReply{}
			_ = t.Announce(args[i], &reply)
		}
		now = now.Add(time.Second)
	}
	cost := trackerCost{timePerAnnouncement: time.Since(start) / time.Duration(trackerRounds*n), announceInterval: reply.Next}
	cost.stateBytesPerInstance = (heapBytes() - before) / int64(n)
	cost.bytesPerCall = encodedBytes(args[0], reply)
	cost.coresPerInstance = cost.timePerAnnouncement.Seconds() / cost.announceInterval.Seconds()
	cost.bytesPerSecondPerInstance = float64(cost.bytesPerCall) / cost.announceInterval.Seconds()
	runtime.KeepAlive(t)
	return cost
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// encodedBytes returns the encoded size of one call on an open connection, on
// which gob has already sent its type descriptions.
func encodedBytes(args message.AnnounceArgs, reply message.AnnounceReply) int {
	var raw bytes.Buffer
	encoder := gob.NewEncoder(&raw)
	_, _ = encoder.Encode(args), encoder.Encode(reply)
	raw.Reset()
	_, _ = encoder.Encode(args), encoder.Encode(reply)
	return raw.Len()
}
