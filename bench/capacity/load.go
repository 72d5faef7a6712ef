package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"plantainrelay/internal/message"
	"plantainrelay/test/cluster"
	"plantainrelay/test/standin"
)

const (
	highMaxRunning    = "[backend]\nmax_running = 5000\n"
	workers           = 8
	readyTimeout      = time.Minute
	concurrentStreams = 16
	fastToken         = time.Millisecond
	slowToken         = 2 * time.Second
	streamStartPause  = 4 * time.Second
)

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}

// measureLoadCost measures the processor time of requests and of streamed
// tokens.
func measureLoadCost(bin string, r *results) error {
	return withFleet(bin, fleetConfig{entries: 1, agents: 1, extraAgentSettings: highMaxRunning}, func(p *probe) error {
		if err := waitReady(p.fleet); err != nil {
			return err
		}
		if err := sendRequests(p.fleet, 200, 1, false); err != nil {
			return err
		}
		for _, count := range []int{2000, 4000, 8000} {
			if err := addCost(p, r, "unary requests", float64(count), func() error { return sendRequests(p.fleet, count, 1, false) }); err != nil {
				return err
			}
		}
		if err := setTokenDelay(p.fleet, fastToken); err != nil {
			return err
		}
		for _, tokens := range []int{500, 1000, 2000} {
			all := float64(tokens * concurrentStreams)
			if err := addCost(p, r, "streamed tokens", all, func() error { return sendRequests(p.fleet, concurrentStreams, tokens, true) }); err != nil {
				return err
			}
		}
		return nil
	})
}

// addCost adds the processor time that entry and agent use for work of the given
// size.
func addCost(p *probe, r *results, by string, size float64, work func() error) error {
	before, err := p.takeSamples()
	if err != nil {
		return err
	}
	if err := work(); err != nil {
		return err
	}
	after, err := p.takeSamples()
	if err != nil {
		return err
	}
	for i, name := range []string{"entry CPU", "agent CPU"} {
		r.add(name, by, "ms", 0, size, float64((after[i].cpu-before[i].cpu).Microseconds())/1000)
	}
	return nil
}

// measureStreamMemory measures the resident memory of entry and agent with many
// open streams.
func measureStreamMemory(bin string, r *results) error {
	return withFleet(bin, fleetConfig{entries: 1, agents: 1, extraAgentSettings: highMaxRunning}, func(p *probe) error {
		if err := waitReady(p.fleet); err != nil {
			return err
		}
		if err := setTokenDelay(p.fleet, slowToken); err != nil {
			return err
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		open := 0
		for _, wanted := range []int{100, 400, 1000, 2000} {
			for ; open < wanted; open++ {
				group.Add(1)
				go func() {
					defer group.Done()
					_ = sendRequest(ctx, p.fleet, 60, true)
				}()
			}
			time.Sleep(streamStartPause)
			if err := addMemory(p, r, float64(wanted)); err != nil {
				return err
			}
		}
		return nil
	})
}

func addMemory(p *probe, r *results, streams float64) error {
	state, err := p.takeSamples()
	if err != nil {
		return err
	}
	for i, name := range []string{"entry memory", "agent memory"} {
		r.add(name, "open streams", "MiB", 0, streams, float64(state[i].residentBytes)/(1<<20))
	}
	return nil
}

func setTokenDelay(fleet *cluster.Cluster, delay time.Duration) error {
	return cluster.PutJSON(fleet.BackendURL(agentName)+"/faults/engine", standin.EngineFaults{TokenDelay: delay})
}

// waitReady waits until a request succeeds.
func waitReady(fleet *cluster.Cluster) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	return cluster.WaitFor(ctx, func() (bool, string) {
		err := sendRequest(ctx, fleet, 1, false)
		return err == nil, fmt.Sprint(err)
	})
}

// sendRequests sends count requests from a few workers, or count streams at the
// same time.
func sendRequests(fleet *cluster.Cluster, count, tokens int, stream bool) error {
	parallel := workers
	if stream {
		parallel = count
	}
	work := make(chan struct{}, count)
	for range count {
		work <- struct{}{}
	}
	close(work)
	failures := make(chan error, parallel)
	for range parallel {
		go func() {
			var failed error
			for range work {
				if err := sendRequest(context.Background(), fleet, tokens, stream); err != nil {
					failed = err
				}
			}
			failures <- failed
		}()
	}
	var failed error
	for range parallel {
		if err := <-failures; err != nil {
			failed = err
		}
	}
	return failed
}

func sendRequest(ctx context.Context, fleet *cluster.Cluster, tokens int, stream bool) error {
	url := fmt.Sprintf("%s/service?tokens=%d", fleet.PublicURL(entryName), tokens)
	if stream {
		url += "&stream"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("a request body"))
	if err != nil {
		return err
	}
	request.Header.Set(message.HeaderCustomer, "customer-0")
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if outcome := response.Header.Get(message.HeaderOutcome); outcome != "done" {
		return fmt.Errorf("status %d, outcome %q", response.StatusCode, outcome)
	}
	return nil
}
