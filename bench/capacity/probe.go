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
// processes are in placeRest.
const (
	placeEntry = "measured-entry"
	placeAgent = "measured-agent"
	placeRest  = "rest"
	placeStore = "store"
)

// sample holds the counters of one process at one time. control, store and list
// are bytes of traffic.
type sample struct {
	at       time.Time
	cpu      time.Duration
	resident int64
	control  int64
	store    int64
	list     int64
}

// rates holds the differences of two samples per second.
type rates struct {
	// cores is processor time per elapsed time.
	cores                float64
	residentMiB          float64
	control, store, list float64
}

func (a sample) until(b sample) rates {
	seconds := b.at.Sub(a.at).Seconds()
	return rates{
		cores:       (b.cpu - a.cpu).Seconds() / seconds,
		residentMiB: float64(b.resident) / (1 << 20),
		control:     float64(b.control-a.control) / seconds,
		store:       float64(b.store-a.store) / seconds,
		list:        float64(b.list-a.list) / seconds,
	}
}

// probe samples the processes of a cluster.
type probe struct {
	fleet   *cluster.Cluster
	network *faultproxy.Network
}

// read samples the process that is alone in the availability zone place.
func (p *probe) read(name, place string) (sample, error) {
	pid := p.fleet.Process(name).Command.Process.Pid
	cpu, err := processorTime(pid)
	if err != nil {
		return sample{}, err
	}
	resident, err := cluster.ResidentBytes(pid)
	if err != nil {
		return sample{}, err
	}
	s := sample{at: time.Now(), cpu: cpu, resident: resident, list: p.fleet.ListBytes(place)}
	for _, other := range []string{placeEntry, placeAgent, placeRest} {
		if other != place {
			s.control += p.network.Bytes(place, other) + p.network.Bytes(other, place)
		}
	}
	s.store = p.network.Bytes(place, placeStore) + p.network.Bytes(placeStore, place)
	return s, nil
}

// both returns the rates of the measured entry and agent while during runs.
func (p *probe) both(during func() error) ([2]rates, error) {
	var measured [2]rates
	before, err := p.readBoth()
	if err != nil {
		return measured, err
	}
	if err := during(); err != nil {
		return measured, err
	}
	after, err := p.readBoth()
	if err != nil {
		return measured, err
	}
	for i := range measured {
		measured[i] = before[i].until(after[i])
	}
	return measured, nil
}

func (p *probe) readBoth() ([2]sample, error) {
	entry, err := p.read(entryName, placeEntry)
	if err != nil {
		return [2]sample{}, err
	}
	agent, err := p.read(agentName, placeAgent)
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
