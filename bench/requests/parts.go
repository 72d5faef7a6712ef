package main

import (
	"fmt"
	"strings"
	"time"

	"plantainrelay/test/cluster"
	"plantainrelay/test/standin"
)

const (
	measureDuration = 3 * time.Second
	manySlots       = 256
)

// measureLatency compares requests through entry and agent with requests sent
// directly to the backend server.
func measureLatency(f *clusterStarter) error {
	c, err := f.start(2, 4, manySlots)
	if c != nil {
		defer c.Stop()
	}
	if err != nil {
		return err
	}
	direct, viaEntry := c.BackendURL("runner-1"), c.PublicURL("entry-1")
	for _, callers := range []int{1, 8} {
		fmt.Printf("unary, %d callers: direct %s; through %s\n", callers,
			formatQuantiles(doneDurations(runClosedLoop(direct+"/x", callers, false, measureDuration), totalTime)),
			formatQuantiles(doneDurations(runClosedLoop(viaEntry+"/x", callers, false, measureDuration), totalTime)))
	}
	for i := range 4 {
		if err := setFaults(c, i, standin.EngineFaults{TokenDelay: 5 * time.Millisecond}); err != nil {
			return err
		}
	}
	for _, url := range []string{direct, viaEntry} {
		all := runClosedLoop(url+"/x?stream&tokens=50", 8, true, measureDuration)
		var gaps []time.Duration
		for _, s := range all {
			gaps = append(gaps, s.tokenGaps...)
		}
		fmt.Printf("stream at %s: first token %s; between tokens %s\n", url, formatQuantiles(doneDurations(all, timeToFirstToken)), formatQuantiles(gaps))
	}
	return nil
}

func totalTime(s sample) time.Duration        { return s.total }
func timeToFirstToken(s sample) time.Duration { return s.firstToken }

func setFaults(c *cluster.Cluster, index int, set standin.EngineFaults) error {
	return cluster.PutJSON(c.BackendURL(fmt.Sprintf("runner-%d", index+1))+"/faults/engine", set)
}

// measureProcessorTime prints the processor time that entry and agents use at
// three request rates and almost idle.
func measureProcessorTime(f *clusterStarter) error {
	c, err := f.start(1, 2, manySlots)
	if c != nil {
		defer c.Stop()
	}
	if err != nil {
		return err
	}
	names := []string{"entry-1", "runner-1", "runner-2"}
	for _, rate := range []float64{0.2, 100, 300, 600} {
		before, err := processorTimes(c, names)
		if err != nil {
			return err
		}
		all, _ := runOpenLoop([]string{c.PublicURL("entry-1") + "/x"}, rate, 2*measureDuration, func(int) string { return "small-1" })
		after, err := processorTimes(c, names)
		if err != nil {
			return err
		}
		entry, agents := after[0]-before[0], after[1]+after[2]-before[1]-before[2]
		seconds := (2 * measureDuration).Seconds()
		fmt.Printf("cpu at %.1f requests/s: done %d of %d; entry %.2f%% of a core, agents together %.2f%%; latency %s\n", rate,
			len(doneDurations(all, totalTime)), len(all), 100*entry.Seconds()/seconds, 100*agents.Seconds()/seconds, formatQuantiles(doneDurations(all, totalTime)))
	}
	return nil
}

func processorTimes(c *cluster.Cluster, names []string) ([]time.Duration, error) {
	var used []time.Duration
	for _, name := range names {
		duration, err := processorTimeOf(c, name)
		if err != nil {
			return nil, err
		}
		used = append(used, duration)
	}
	return used, nil
}

// The overload part uses 4 backend servers with 4 slots each, and requests that
// take 100 ms.
const (
	overloadBackends    = 4
	overloadSlots       = 4
	overloadRequestTime = 100 * time.Millisecond
	smallCustomers      = 9
	smallCustomerRate   = 4.0
	overloadDuration    = 10 * time.Second
	overloadWarmup      = 4 * time.Second
)

// measureOverload offers a load of 0.5, 1 and 2 times the capacity. Nine small
// customers send at a fixed rate each; a large one sends the rest.
func measureOverload(f *clusterStarter) error {
	c, err := f.start(2, overloadBackends, overloadSlots)
	if c != nil {
		defer c.Stop()
	}
	if err != nil {
		return err
	}
	for i := range overloadBackends {
		if err := setFaults(c, i, standin.EngineFaults{Delay: overloadRequestTime}); err != nil {
			return err
		}
	}
	capacity := float64(overloadBackends*overloadSlots) / overloadRequestTime.Seconds()
	urls := []string{c.PublicURL("entry-1") + "/x", c.PublicURL("entry-2") + "/x"}
	for _, load := range []float64{0.5, 1, 2} {
		rate := load * capacity
		small := int(rate / smallCustomerRate)
		all, start := runOpenLoop(urls, rate, overloadDuration, func(i int) string {
			if turn := i % small; turn < smallCustomers {
				return fmt.Sprintf("small-%d", turn)
			}
			return "large"
		})
		printReport(load, all, start)
	}
	return nil
}

func printReport(load float64, all []sample, start time.Time) {
	var small, large []sample
	for _, s := range all {
		if strings.HasPrefix(s.customer, "small") {
			small = append(small, s)
		} else {
			large = append(large, s)
		}
	}
	done := len(doneDurations(all, totalTime))
	steady := 0
	for _, s := range all {
		if elapsed := s.end.Sub(start); s.done && elapsed >= overloadWarmup && elapsed < overloadDuration {
			steady++
		}
	}
	fmt.Printf("load %.1fx: offered %d, done %d, goodput in the steady part %.1f/s; small: done %d of %d, %s; large: done %d of %d, %s\n", load, len(all), done,
		float64(steady)/(overloadDuration-overloadWarmup).Seconds(), len(doneDurations(small, totalTime)), len(small), formatQuantiles(doneDurations(small, totalTime)),
		len(doneDurations(large, totalTime)), len(large), formatQuantiles(doneDurations(large, totalTime)))
}

// measureStateTraffic prints the control traffic of one idle agent and the
// processor time of the daemons at several fleet sizes.
func measureStateTraffic(f *clusterStarter) error {
	for _, size := range []struct{ entries, agents int }{{1, 4}, {2, 4}, {4, 4}, {8, 4}, {2, 8}, {2, 16}} {
		if err := measureStateTrafficAt(f, size.entries, size.agents); err != nil {
			return err
		}
	}
	return nil
}

func measureStateTrafficAt(f *clusterStarter, entries, agents int) error {
	c, err := f.start(entries, agents, manySlots)
	if c != nil {
		defer c.Stop()
	}
	if err != nil {
		return err
	}
	counted, err := newCountingProxy(c.Listed("runner-1").ControlAddress)
	if err != nil {
		return err
	}
	defer counted.Close()
	c.SetListedAddresses("runner-1", "", counted.Addr().String())
	if err := c.PublishList(); err != nil {
		return err
	}
	time.Sleep(measureDuration)
	names := []string{"entry-1", "runner-1"}
	bytes := counted.bytes.Load()
	before, err := processorTimes(c, names)
	if err != nil {
		return err
	}
	time.Sleep(measureDuration)
	after, err := processorTimes(c, names)
	if err != nil {
		return err
	}
	fmt.Printf("idle, %d entries, %d agents: control of one agent %.0f bytes/s; entry %.2f%%, agent %.2f%% of a core\n", entries, agents,
		float64(counted.bytes.Load()-bytes)/measureDuration.Seconds(),
		100*(after[0]-before[0]).Seconds()/measureDuration.Seconds(), 100*(after[1]-before[1]).Seconds()/measureDuration.Seconds())
	return nil
}
