package main

import (
	"fmt"
	"time"

	"plantainrelay/platform/standin"
)

// modelTable returns tables with a route of streams.
func (f *fleet) modelTable(timeout time.Duration) standin.Table {
	weights := model
	return standin.Table{
		Version: 3, Keys: map[string][]string{customer: {apiKey}},
		Routes: []standin.Route{{Name: "streams", Host: callHost, PathPrefix: "/streams/", Pool: modelPool, Kind: standin.Streaming, Timeout: timeout, Objective: 400 * time.Millisecond}},
		Pools:  []standin.Pool{{Name: modelPool, Slots: 8, Weights: &weights}, {Name: originPool, Origin: f.originHost, Zone: "a"}},
	}
}

// startModels starts engines with their agents, and entries.
func (f *fleet) startModels(engines, entries, graceS int, timeout time.Duration, config standin.BackendConfig) error {
	if err := f.store.Put(standin.KindTables, standin.TableName, f.modelTable(timeout).Encode()); err != nil {
		return err
	}
	if err := f.store.Put(standin.KindReleases, model.Model, standin.EncodeRelease(model.Model, 1)); err != nil {
		return err
	}
	names := []string{"a", "b", "c"}
	for i := range entries {
		zone := i % len(names)
		if _, err := f.addEntry(fmt.Sprintf("entry-%s%d", names[zone], i/len(names)+1), names[zone], zone+1, i/len(names)+1, graceS); err != nil {
			return err
		}
	}
	for i := range engines {
		zone := i % len(names)
		b, err := f.addBackend(fmt.Sprintf("engine-%s%d", names[zone], i/len(names)+1), names[zone], zone+1, 101+i/len(names), modelPool, 1, config)
		if err != nil {
			return err
		}
		if _, err := f.addAgent(b, graceS); err != nil {
			return err
		}
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	// The agents report, and the entries hear of each other.
	time.Sleep(4 * time.Second)
	return nil
}
