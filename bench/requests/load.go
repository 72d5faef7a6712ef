package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"plantainrelay/internal/message"
	"plantainrelay/test/cluster"
)

func timeoutContext(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), limit)
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}, Timeout: 2 * deadline}

// sample is one request as observed by its caller.
type sample struct {
	customer   string
	done       bool
	end        time.Time
	total      time.Duration
	firstToken time.Duration
	tokenGaps  []time.Duration
}

func sendRequest(url, customer string, stream bool) sample {
	start := time.Now()
	s := sample{customer: customer}
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		return s
	}
	r.Header.Set(message.HeaderCustomer, customer)
	response, err := client.Do(r)
	if err != nil {
		return s
	}
	defer response.Body.Close()
	if stream {
		s.readTokens(response.Body, start)
	}
	_, err = io.Copy(io.Discard, response.Body)
	s.end = time.Now()
	s.total = s.end.Sub(start)
	s.done = err == nil && response.StatusCode == http.StatusOK
	return s
}

func (s *sample) readTokens(body io.Reader, start time.Time) {
	last := start
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "data:") {
			continue
		}
		now := time.Now()
		if s.firstToken == 0 {
			s.firstToken = now.Sub(start)
		} else {
			s.tokenGaps = append(s.tokenGaps, now.Sub(last))
		}
		last = now
	}
}

// runClosedLoop sends requests from a number of callers until length has passed.
// Each caller waits for its response before it sends the next request.
func runClosedLoop(url string, callers int, stream bool, length time.Duration) []sample {
	var mu sync.Mutex
	var all []sample
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Now().Before(end) {
				result := sendRequest(url, "small-1", stream)
				mu.Lock()
				all = append(all, result)
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	return all
}

// runOpenLoop sends requests at a fixed rate, whether or not earlier ones have
// ended. customer returns the customer of request i.
func runOpenLoop(urls []string, perSecond float64, length time.Duration, customer func(i int) string) (all []sample, start time.Time) {
	count := int(perSecond * length.Seconds())
	all = make([]sample, count)
	var group sync.WaitGroup
	start = time.Now()
	for i := range count {
		time.Sleep(time.Until(start.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))))
		group.Add(1)
		go func() {
			defer group.Done()
			all[i] = sendRequest(urls[i%len(urls)], customer(i), false)
		}()
	}
	group.Wait()
	return all, start
}

// formatQuantiles returns p50, p95 and p99 of values as text.
func formatQuantiles(values []time.Duration) string {
	if len(values) == 0 {
		return "none"
	}
	slices.Sort(values)
	at := func(share float64) float64 {
		return float64(values[int(share*float64(len(values)-1))].Microseconds()) / 1000
	}
	return fmt.Sprintf("p50 %.2f p95 %.2f p99 %.2f ms", at(0.5), at(0.95), at(0.99))
}

func doneDurations(all []sample, of func(sample) time.Duration) []time.Duration {
	var values []time.Duration
	for _, s := range all {
		if s.done {
			values = append(values, of(s))
		}
	}
	return values
}

// ticksPerSecond is the number of clock ticks in a second. Processor time in
// /proc/PID/stat is in clock ticks.
const ticksPerSecond = 100

// processorTimeOf returns the processor time that a process has used.
func processorTimeOf(c *cluster.Cluster, name string) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.Process(name).Command.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(raw), ") ")
	var user, system int64
	fields := strings.Fields(after)
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		return 0, err
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// countingProxy is a TCP proxy that counts the bytes it forwards.
type countingProxy struct {
	net.Listener
	bytes atomic.Int64
}

func newCountingProxy(upstream string) (*countingProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &countingProxy{Listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.forward(conn, upstream)
		}
	}()
	return c, nil
}

func (c *countingProxy) forward(conn net.Conn, upstream string) {
	defer conn.Close()
	other, err := net.Dial("tcp", upstream)
	if err != nil {
		return
	}
	defer other.Close()
	go c.copy(other, conn)
	c.copy(conn, other)
}

func (c *countingProxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		c.bytes.Add(int64(count))
		if _, writeErr := to.Write(buffer[:count]); err != nil || writeErr != nil {
			return
		}
	}
}
