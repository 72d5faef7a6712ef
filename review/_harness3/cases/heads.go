package main

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"plantainrelay/review/_harness3/rig"
)

const (
	// memoryMb is the memory of an entry's machine.
	memoryMb = 284
	// headConnections is the number of connections that send heads at the same time.
	headConnections = 1400
	// headTime is how long the connections are watched.
	headTime = 12 * time.Second
)

// manySmallLines opens connections that each send a head of short lines that does not end, or an
// ordinary head without the disruption. The platform kills a process above the memory of its
// machine.
func manySmallLines(r *rig.Rig) (bool, error) {
	entries, _, err := startEntries(r, 2, table("/visits/"))
	if err != nil {
		return false, err
	}
	attacked := entries[0]
	head := ordinaryHead()
	if r.Trouble {
		head = endlessHead()
	}
	r.Record("memory of entry 1 before: %s", attacked.Memory())
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	for range headConnections {
		conn, err := net.DialTimeout("tcp", r.Front(1), 2*time.Second)
		if err != nil {
			return false, err
		}
		conns = append(conns, conn)
		go func() { _, _ = conn.Write([]byte(head)) }()
	}
	r.Record("sent: %d connections to entry 1, each with %d bytes of a head", len(conns), len(head))
	callers := callAround(r, headTime)
	killed := false
	for end := time.Now().Add(headTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resident, peak := attacked.Resident()
		if resident <= memoryMb<<10 {
			continue
		}
		r.Record("entry 1 holds %d kB (peak %d kB) of the %d kB of its machine; the platform kills it", resident, peak, memoryMb<<10)
		_ = attacked.Signal(syscall.SIGKILL)
		killed = true
		break
	}
	callers.Wait()
	r.Record("memory of entry 1 at the end: %s", attacked.Memory())
	select {
	case <-attacked.Exited():
		return true, nil
	default:
		return killed, nil
	}
}

// callAround sends ordinary requests to both entries for some time.
func callAround(r *rig.Rig, limit time.Duration) *sync.WaitGroup {
	callers := &sync.WaitGroup{}
	for entry := 1; entry <= 2; entry++ {
		callers.Go(func() {
			end := time.Now().Add(limit)
			for number := 1; time.Now().Before(end); number++ {
				id := "e" + strconv.Itoa(entry) + "-" + strconv.Itoa(number)
				book(r, entry, id, "/visits/"+id)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	return callers
}

const headStart = "POST /visits/new HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: head\r\nDeadline-Ms: 2500\r\n"

// ordinaryHead returns a request with an ordinary head and body.
func ordinaryHead() string { return headStart + "Content-Length: 2\r\n\r\n{}" }

// endlessHead returns the beginning of a head without an end: 20 kB of short lines, no two alike.
func endlessHead() string {
	const size, letters = 20_000, "abcdefghijklmnopqrstuvwxyz"
	var head strings.Builder
	head.WriteString(headStart)
	for i := 0; head.Len() < size; i++ {
		head.Write([]byte{letters[i/26/26%26], letters[i/26%26], letters[i%26]})
		head.WriteString(":\r\n")
	}
	return head.String()
}
