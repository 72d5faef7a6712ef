package relay

import (
	"time"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/blocklist"
	"plantainrelay/internal/clock"
)

const (
	// maxCrashesPerMessage, maxClearingsPerMessage and maxRecordsPerMessage bound what one
	// heartbeat tells about parts of prompts.
	maxCrashesPerMessage   = 12
	maxClearingsPerMessage = 16
	maxRecordsPerMessage   = 16
	// maxSuspectBytes and maxClearedBytes bound the IDs of suspected and of cleared parts in one
	// heartbeat, which is not sent at all if it exceeds the size of a datagram.
	maxSuspectBytes = 3 << 10
	maxClearedBytes = 768
	// crashReportPeriod is how long after it has learned of it this entry tells others of a
	// crash or of a part that was cleared: some heartbeats. Each of them tells others in
	// turn.
	crashReportPeriod = 1500 * time.Millisecond
)

var reportLimits = blocklist.ReportLimits{Crashes: maxCrashesPerMessage, SuspectBytes: maxSuspectBytes, ClearedBytes: maxClearedBytes}

// addReports adds to a heartbeat what this entry has learned about parts of prompts.
func (b *blocker) addReports(m *beat.Message, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	since := now.Add(-crashReportPeriod)
	for _, crash := range b.list.RecentCrashes(since, reportLimits) {
		m.Crashes = append(m.Crashes, beat.CrashedBackend{
			ID: crash.Start.Instance, Born: crash.Start.Born, Model: crash.Model, Version: crash.Version, AgeMs: now.Sub(crash.At).Milliseconds(), Suspects: crash.Suspects,
		})
	}
	m.ClearedParts = encodeCleared(b.list.RecentlyCleared(since, reportLimits), now)
	m.PartRecords = encodeRecords(b.list.Unsaved(maxRecordsPerMessage))
}

// encodeCleared groups the parts that one response has cleared.
func encodeCleared(cleared []blocklist.Cleared, now time.Time) []beat.ClearedParts {
	var encoded []beat.ClearedParts
	var at time.Time
	for _, one := range cleared {
		last := len(encoded) - 1
		if last < 0 || encoded[last].Model != one.Model || encoded[last].Version != one.Version || !one.At.Equal(at) {
			if len(encoded) == maxClearingsPerMessage {
				break
			}
			at = one.At
			encoded = append(encoded, beat.ClearedParts{Model: one.Model, Version: one.Version, AgeMs: now.Sub(one.At).Milliseconds()})
			last++
		}
		encoded[last].IDs = append(encoded[last].IDs, one.ID)
	}
	return encoded
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
	for _, one := range m.ClearedParts[:min(len(m.ClearedParts), maxClearingsPerMessage)] {
		for _, id := range one.IDs {
			cleared = append(cleared, blocklist.Cleared{Part: blocklist.Part{Model: one.Model, ID: id}, Version: one.Version, At: at(one.AgeMs)})
		}
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
