package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["store-address-changes"] = playStoreAddressChanges }

// playStoreAddressChanges moves the store to another address, which the settings files
// name before the old one closes, with a SIGHUP.
func playStoreAddressChanges(f *fleet, trouble bool) (bool, error) {
	table := serviceTable(3, callerKey)
	for _, route := range table["Routes"].([]map[string]any) {
		route["Anonymous"] = true
	}
	if err := f.publish(table); err != nil {
		return false, err
	}
	if err := f.addEntries(3); err != nil {
		return false, err
	}
	if err := f.addBackends(servicePool, 3, nil); err != nil {
		return false, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		next, err := f.serve(f.store)
		if err != nil {
			return false, err
		}
		for _, entry := range f.entries {
			path := filepath.Join(f.dir, entry.name+".toml")
			text, err := os.ReadFile(path)
			if err != nil {
				return false, err
			}
			if err := os.WriteFile(path, []byte(strings.ReplaceAll(string(text), f.storeAddress, next)), 0o600); err != nil {
				return false, err
			}
			if err := entry.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				return false, err
			}
		}
		f.record.add("hup", "the settings name the store at its new address")
		time.Sleep(8 * time.Second)
		f.servers[0].Close()
		f.record.add("store", "the old address is closed")
	}
	time.Sleep(time.Second)
	moved := serviceTable(5, callerKey)
	moved["Routes"] = []map[string]any{}
	if err := f.publish(moved); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	ran := 0
	for i := range 12 {
		c := call{attempt: nextAttempt(), method: http.MethodPost, target: "/book/1", body: "x", key: callerKey, limit: 2500 * time.Millisecond}
		got := c.send(f.record, f.entries[i%len(f.entries)])
		if got.status == http.StatusOK {
			ran++
		}
	}
	f.verdict("%d of 12 requests on a dropped route ran 10 s after the ack", ran)
	if ended := f.exits(); len(ended) > 0 {
		return false, fmt.Errorf("ended by themselves: %v", ended)
	}
	return ran > 0, nil
}
