package relay

import (
	"time"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/blocklist"
	"plantainrelay/internal/clock"
)

const (
	// maxCrashesPerMessage, maxClearedPerMessage and maxRecordsPerMessage bound what one
	// heartbeat tells about parts of prompts.
	maxCrashesPerMessage = 12
	maxClearedPerMessage = 16
	maxRecordsPerMessage = 16
	// maxSuspectBytes bounds the IDs of suspected parts in one heartbeat, which is not sent
	// at all if it exceeds the size of a datagram.
	maxSuspectBytes = 3 << 10
	// crashReportPeriod is how long after it has learned of it this entry tells others of a
	// crash or of a part that was cleared: some heartbeats. Each of them tells others in
	// turn.
	crashReportPeriod = 1500 * time.Millisecond
)

// addReports adds to a heartbeat what this entry has learned about parts of prompts.
func (b *blocker) addReports(m *beat.Message, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	since := now.Add(-crashReportPeriod)
	bytesLeft := maxSuspectBytes
	for _, crash := range b.list.RecentCrashes(since, maxCrashesPerMessage) {
		for _, id := range crash.Suspects {
			bytesLeft -= len(id)
		}
		if bytesLeft < 0 {
			break
		}
		m.Crashes = append(m.Crashes, beat.CrashedBackend{
			ID: crash.Start.Instance, Born: crash.Start.Born, Model: crash.Model, Version: crash.Version, AgeMs: now.Sub(crash.At).Milliseconds(), Suspects: crash.Suspects,
		})
	}
	for _, cleared := range b.list.RecentlyCleared(since, maxClearedPerMessage) {
		m.ClearedParts = append(m.ClearedParts, beat.ClearedPart{Model: cleared.Model, ID: cleared.ID, Version: cleared.Version, AgeMs: now.Sub(cleared.At).Milliseconds()})
	}
	m.PartRecords = encodeRecords(b.list.Unsaved(maxRecordsPerMessage))
}

func encodeRecords(records []blocklist.UnsavedRecord) []beat.PartRecord {
	var encoded []beat.PartRecord
	for _, one := range records {
		if one.Suspected {
			// The crashes themselves are reported.
			continue
		}
		encoded = append(encoded, beat.PartRecord{Model: one.Model, ID: one.ID, Version: one.Version, Lifted: one.Lifted, Crashes: one.Crashes, Trials: one.Trials})
	}
	return encoded
}

// readReports applies what the message of another entry tells about parts of prompts. Ages
// count from the earliest time at which the message can have been composed: what seems too
// late would count as one more occurrence.
func (b *blocker) readReports(m *beat.Message) {
	now := clock.Now()
	composed := m.EarliestComposed(now)
	at := func(ageMs int64) time.Time { return composed.Add(-time.Duration(max(ageMs, 0)) * time.Millisecond) }
	var crashes []blocklist.Crash
	for _, crash := range m.Crashes[:min(len(m.Crashes), maxCrashesPerMessage)] {
		crashes = append(crashes, blocklist.Crash{
			Start: blocklist.Start{Instance: crash.ID, Born: crash.Born}, Model: crash.Model, Version: crash.Version, At: at(crash.AgeMs), Suspects: crash.Suspects,
		})
	}
	var cleared []blocklist.Cleared
	for _, one := range m.ClearedParts[:min(len(m.ClearedParts), maxClearedPerMessage)] {
		cleared = append(cleared, blocklist.Cleared{Part: blocklist.Part{Model: one.Model, ID: one.ID}, Version: one.Version, At: at(one.AgeMs)})
	}
	b.recordPeerCrashes(crashes, cleared, now)
	var records []blocklist.Record
	for _, one := range m.PartRecords[:min(len(m.PartRecords), maxRecordsPerMessage)] {
		records = append(records, blocklist.Record{
			Part: blocklist.Part{Model: one.Model, ID: one.ID}, Version: one.Version, Lifted: one.Lifted, Crashes: one.Crashes, Trials: one.Trials,
		})
	}
	b.adopt(records, m.Host)
}
