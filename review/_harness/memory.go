package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["burst-of-large-bodies"] = playBurstOfLargeBodies }

const (
	// memoryLimit is MemoryMb of an entry in the settings, in bytes.
	memoryLimit = 284 << 20
	// largeBody is below MaxBodyBytes of the manifest, 4,194,304.
	largeBody  = 4_000_000
	burstCalls = 96
)

// peakMemory returns the peak of the memory that a process holds.
func peakMemory(pid int) (int64, error) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no VmHWM", pid)
}

func playBurstOfLargeBodies(f *fleet, trouble bool) (bool, error) {
	table := serviceTable(3, callerKey)
	table["Limits"] = map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
	if err := f.publish(table); err != nil {
		return false, err
	}
	if err := f.addEntries(3); err != nil {
		return false, err
	}
	if err := f.addBackends(servicePool, 3, func(_ *backend, next http.Handler, w http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond)
		next.ServeHTTP(w, r)
	}); err != nil {
		return false, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	body := strings.Repeat("x", largeBody)
	if !trouble {
		body = body[:600]
	}
	entry := f.entries[0]
	served := 0
	var mu sync.Mutex
	var calls sync.WaitGroup
	for range burstCalls {
		calls.Go(func() {
			c := call{attempt: nextAttempt(), method: http.MethodPost, target: "/book/1", body: body, key: callerKey, limit: 2500 * time.Millisecond}
			got := c.send(f.record, entry)
			mu.Lock()
			defer mu.Unlock()
			if got.served(c.attempt) {
				served++
			}
		})
	}
	calls.Wait()
	peak, err := peakMemory(entry.cmd.Process.Pid)
	if err != nil {
		return false, err
	}
	f.verdict("%d of %d requests served; %s held %d MB at its peak, the limit is %d MB", served, burstCalls, entry.name, peak>>20, memoryLimit>>20)
	return peak > memoryLimit, nil
}
