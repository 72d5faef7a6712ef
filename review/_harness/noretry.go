package main

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["settings-without-retry-bounds"] = playSettingsWithoutRetryBounds }

// playSettingsWithoutRetryBounds reloads settings in whose Bounds the figures of the retry
// contract are missing, as where that contract is not in force.
func playSettingsWithoutRetryBounds(f *fleet, trouble bool) (bool, error) {
	if err := f.publish(serviceTable(3, callerKey)); err != nil {
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
	for _, entry := range f.entries {
		path := filepath.Join(f.dir, entry.name+".toml")
		text, err := os.ReadFile(path)
		if err != nil {
			return false, err
		}
		var kept []string
		for line := range strings.Lines(string(text)) {
			if !trouble || !strings.HasPrefix(line, "Retry") {
				kept = append(kept, line)
			}
		}
		if err := os.WriteFile(path, []byte(strings.Join(kept, "")), 0o600); err != nil {
			return false, err
		}
		if err := entry.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	served, unanswered := 0, 0
	for i := range 12 {
		c := call{attempt: nextAttempt(), method: http.MethodPost, target: "/book/1", body: "x", key: callerKey, limit: 2500 * time.Millisecond}
		got := c.send(f.record, f.entries[i%len(f.entries)])
		if got.served(c.attempt) {
			served++
		}
		if got.status == 0 {
			unanswered++
		}
	}
	f.verdict("%d of 12 requests served, %d channels closed without an answer", served, unanswered)
	return unanswered > 0, nil
}
