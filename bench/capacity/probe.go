package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"plantainrelay/test/cluster"
	"plantainrelay/test/faultproxy"
)

// The availability zones of the measured processes and of the store. All other
// processes are in zoneRest.
const (
	zoneEntry = "measured-entry"
	zoneAgent = "measured-agent"
	zoneRest  = "rest"
	zoneStore = "store"
)

// sample holds the counters of one process at one time.
type sample struct {
	at            time.Time
	cpu           time.Duration
	residentBytes int64
	controlBytes  int64
	storeBytes    int64
	listBytes     int64
}

// rates holds the differences of two samples per second, and the resident memory
// at the second one.
type rates struct {
	// cores is processor time per elapsed time.
	cores                               float64
	residentMiB                         float64
	controlBytes, storeBytes, listBytes float64
}

func (a sample) ratesUntil(b sample) rates {
	seconds := b.at.Sub(a.at).Seconds()
	return rates{
		cores:        (b.cpu - a.cpu).Seconds() / seconds,
		residentMiB:  float64(b.residentBytes) / (1 << 20),
		controlBytes: float64(b.controlBytes-a.controlBytes) / seconds,
		storeBytes:   float64(b.storeBytes-a.storeBytes) / seconds,
		listBytes:    float64(b.listBytes-a.listBytes) / seconds,
	}
}

// probe samples the processes of a cluster.
type probe struct {
	fleet   *cluster.Cluster
	network *faultproxy.Network
}

// takeSample samples the named process, which is alone in the given availability
// zone.
func (p *probe) takeSample(name, zone string) (sample, error) {
	pid := p.fleet.Process(name).Command.Process.Pid
	cpu, err := processorTime(pid)
	if err != nil {
		return sample{}, err
	}
	resident, err := cluster.ResidentBytes(pid)
	if err != nil {
		return sample{}, err
	}
	s := sample{at: time.Now(), cpu: cpu, residentBytes: resident, listBytes: p.fleet.ListBytes(zone)}
	for _, other := range []string{zoneEntry, zoneAgent, zoneRest} {
		if other != zone {
			s.controlBytes += p.network.Bytes(zone, other) + p.network.Bytes(other, zone)
		}
	}
	s.storeBytes = p.network.Bytes(zone, zoneStore) + p.network.Bytes(zoneStore, zone)
	return s, nil
}

// ratesDuring returns the rates of the measured entry and agent while work runs.
func (p *probe) ratesDuring(work func() error) ([2]rates, error) {
	var measured [2]rates
	before, err := p.takeSamples()
	if err != nil {
		return measured, err
	}
	if err := work(); err != nil {
		return measured, err
	}
	after, err := p.takeSamples()
	if err != nil {
		return measured, err
	}
	for i := range measured {
		measured[i] = before[i].ratesUntil(after[i])
	}
	return measured, nil
}

func (p *probe) takeSamples() ([2]sample, error) {
	entry, err := p.takeSample(entryName, zoneEntry)
	if err != nil {
		return [2]sample{}, err
	}
	agent, err := p.takeSample(agentName, zoneAgent)
	return [2]sample{entry, agent}, err
}

// processorTime returns the total processor time of a process's threads.
func processorTime(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, err
	}
	var total time.Duration
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		var running, waiting, slices int64
		if _, err := fmt.Sscan(string(raw), &running, &waiting, &slices); err != nil {
			return 0, err
		}
		total += time.Duration(running)
	}
	return total, nil
}
