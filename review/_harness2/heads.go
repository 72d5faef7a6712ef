package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"plantainrelay/platform/standin"
)

const (
	hostileConnections = 2000
	// hostileHeadBytes is what each hostile client sends of a head that it never ends. It is
	// below the limit of 16,384 bytes in the tables.
	hostileHeadBytes = 16000
	machineMemoryMb  = 284
	// ordinaryClients is the number of ordinary clients, lostAllowed what the rule allows.
	ordinaryClients, lostAllowed = 60, 3
	hostilePlay                  = 12 * time.Second
)

// memoryKb returns the present and the largest resident size of a process.
func memoryKb(pid int) (now, most int, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	for _, line := range strings.Split(string(raw), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		value, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			now = value
		case "VmHWM:":
			most = value
		}
	}
	return now, most, nil
}

// openHead returns a head without its end, of many short lines or of one long one.
func openHead(isShort bool) []byte {
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST /bookings/one HTTP/1.1\r\nHost: %s\r\n", callHost)
	if !isShort {
		head.WriteString("X-Long: ")
		head.Write(bytes.Repeat([]byte("x"), hostileHeadBytes-head.Len()))
		return head.Bytes()
	}
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	for i := 0; head.Len() < hostileHeadBytes; i++ {
		fmt.Fprintf(&head, "%c%c%c:\r\n", letters[i%26], letters[i/26%36], letters[i/26/36%36])
	}
	return head.Bytes()
}

// keptResult is what became of one request of an ordinary client.
type keptResult struct {
	attempt string
	isKept  bool
	answer  answer
}

func init() { cases["heads"] = runHeads }

// runHeads lets many clients send heads that they don't end. It ends the entry when it exceeds the
// memory of its machine, as the platform does, and counts the requests on kept channels that were
// passed on to a sound instance and got no answer.
func runHeads(f *fleet, trouble bool) (bool, error) {
	table := standin.Table{
		Version: 3, Keys: map[string][]string{customer: {apiKey}}, MaxBodyBytes: 4 << 20, MaxHeadBytes: 16 << 10,
		Routes: []standin.Route{{Name: "bookings", Host: callHost, PathPrefix: "/bookings/", Pool: plainPool, Kind: standin.NonIdempotent, Timeout: 3 * time.Second, Objective: 200 * time.Millisecond}},
		Pools:  []standin.Pool{{Name: plainPool}},
	}
	if err := f.store.Put(standin.KindTables, standin.TableName, table.Encode()); err != nil {
		return false, err
	}
	var mu sync.Mutex
	ran := map[string]bool{}
	b, err := f.addBackend("bookings-a", "a", 1, 201, plainPool, 0, standin.BackendConfig{Slots: 64, OnStart: func(e standin.Execution) {
		mu.Lock()
		defer mu.Unlock()
		ran[e.Attempt] = true
	}})
	if err != nil {
		return false, err
	}
	// A request takes 30 ms, as on the site.
	b.server.SetFaults(standin.BackendFaults{SlowFactor: 2})
	p, err := f.addEntry("entry-a1", "a", 1, 1, 8)
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	now, _, err := memoryKb(p.cmd.Process.Pid)
	if err != nil {
		return false, err
	}
	f.log("before: the entry holds %d MB; its machine has %d MB", now>>10, machineMemoryMb)
	until := time.Now().Add(hostilePlay)
	var callers sync.WaitGroup
	var results []keptResult
	for number := range ordinaryClients {
		callers.Go(func() {
			for _, r := range f.callOnKeptChannel(p, number, until) {
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	if trouble {
		head, opened := openHead(os.Getenv("HEAD") != "long"), 0
		for range hostileConnections {
			conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, standin.PortFront), 2*time.Second)
			if errors.Is(err, syscall.EMFILE) {
				return false, err
			}
			if err != nil {
				continue
			}
			defer conn.Close()
			opened++
			go func() { _, _ = conn.Write(head) }()
		}
		f.log("%d clients each sent %d bytes of a head of %d lines and stay open", opened, len(head), bytes.Count(head, []byte("\n")))
	}
	if err := f.watchMemory(p, until); err != nil {
		return false, err
	}
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	lost, served := 0, 0
	for _, r := range results {
		switch {
		case r.answer.status == http.StatusOK && r.answer.err == nil:
			served++
		case r.isKept && r.answer.status == 0 && ran[r.attempt]:
			if lost++; lost <= 5 {
				f.log("%s ran at %s, and its kept channel ended without an answer: %v", r.attempt, b.id(), r.answer.err)
			}
		}
	}
	f.log("%d of %d requests were served; %d that were passed on from a kept channel got no answer, %d are allowed", served, len(results), lost, lostAllowed)
	return lost > lostAllowed, nil
}

// watchMemory ends the entry with SIGKILL when it exceeds the memory of its machine.
func (f *fleet) watchMemory(p *process, until time.Time) error {
	most := 0
	for time.Now().Before(until) {
		now, _, err := memoryKb(p.cmd.Process.Pid)
		if err != nil {
			return err
		}
		most = max(most, now)
		if now>>10 > machineMemoryMb {
			f.log("the entry holds %d MB, more than the %d MB of its machine: the platform kills it", now>>10, machineMemoryMb)
			return f.signal(p, syscall.SIGKILL)
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.log("the entry held at most %d MB of the %d MB of its machine", most>>10, machineMemoryMb)
	return nil
}

// callOnKeptChannel sends one request after the other on one channel until the entry is gone.
func (f *fleet) callOnKeptChannel(p *process, number int, until time.Time) (results []keptResult) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	time.Sleep(time.Duration(number) * time.Millisecond)
	for i := 0; time.Now().Before(until); i++ {
		r := keptResult{attempt: fmt.Sprintf("attempt-%d-%d", number, i)}
		r.answer = f.callTraced(client, p, http.MethodPost, "/bookings/one", "book", standin.CallerRequest{AttemptID: r.attempt, TimeLeft: 2500 * time.Millisecond}, func(info httptrace.GotConnInfo) { r.isKept = info.Reused })
		results = append(results, r)
		if r.answer.status == 0 {
			return results
		}
		time.Sleep(10 * time.Millisecond)
	}
	return results
}
