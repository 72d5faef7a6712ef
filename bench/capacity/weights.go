package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"plantainrelay/internal/table"
	"plantainrelay/test/cluster"
	"plantainrelay/test/faultproxy"
)

const (
	chunkBytes     = 1 << 20
	weightsTimeout = 2 * time.Minute
	modelInstances = 4
)

// measureWeightsMemory measures the peak memory of an entry and an agent while
// weights of several sizes are distributed.
func measureWeightsMemory(bin string, r *results) error {
	for _, mebibytes := range []int{16, 64, 128} {
		if err := distributeWeights(bin, r, mebibytes); err != nil {
			return err
		}
	}
	return nil
}

func distributeWeights(bin string, r *results, mebibytes int) error {
	dir, err := os.MkdirTemp("", "plantain-capacity-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	network := faultproxy.NewNetwork(func(string, string) faultproxy.LinkConfig { return faultproxy.LinkConfig{} })
	defer network.Close()
	fleet, err := cluster.Start(cluster.Config{
		BinDir: bin, Dir: dir, Network: network, StoreZone: zoneStore,
		Entries: instances("entry", zoneEntry, 1, false, defaultSettings),
		Agents:  instances("model", zoneAgent, modelInstances, false, defaultSettings),
	})
	if fleet != nil {
		defer fleet.Stop()
	}
	if err != nil {
		return err
	}
	data := make([]byte, mebibytes<<20)
	_, _ = rand.NewChaCha8([32]byte{byte(mebibytes)}).Read(data)
	manifest, err := fleet.Publish("v1", "", data, chunkBytes)
	if err != nil {
		return err
	}
	if _, err := fleet.Apply(entryName, 0, modelTables(string(manifest))); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), weightsTimeout)
	defer cancel()
	if err := fleet.WaitVersion(ctx, entryName, "v1", "model-1", "model-2", "model-3", "model-4"); err != nil {
		return err
	}
	for _, name := range []string{entryName, "model-1"} {
		peak, err := peakMemory(fleet.Process(name).Command.Process.Pid)
		if err != nil {
			return err
		}
		r.add(name+" greatest memory", "MiB of weights (4 agents)", "MiB", 0, float64(mebibytes), peak)
	}
	return nil
}

func modelTables(manifest string) table.Tables {
	return table.Tables{
		Pools: []table.Pool{{Name: "model", Kind: table.KindModel, Instances: []string{"model-*"}, Version: "v1", Manifest: manifest,
			MaxUnavailable: modelInstances, Prefer: table.PreferTime}},
		Routes: []table.Route{{Name: "model", Customer: "*", Path: "/model", Pool: "model", Priority: table.PriorityNormal, Deadline: time.Minute, Repeatable: true}},
	}
}

// peakMemory returns the peak resident memory of a process in MiB.
func peakMemory(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	var kibibytes float64
	if _, err := fmt.Sscan(rest, &kibibytes); err != nil {
		return 0, err
	}
	return kibibytes / 1024, nil
}
