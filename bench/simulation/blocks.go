package simulation

import (
	"encoding/json"
	"slices"
	"time"

	"plantainrelay/internal/blocklist"
	"plantainrelay/internal/member"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/replica"
)

// The settings of package relay about blocked parts of prompts.
const (
	crashReportPeriod  = 1500 * time.Millisecond
	maxRecordsReported = 16
	saveInterval       = 200 * time.Millisecond
	saveRankDelay      = time.Second
	maxSavesPerTurn    = 4
	minSaveBackoff     = 500 * time.Millisecond
	maxSaveBackoff     = 8 * time.Second
	saveTimeout        = 2 * time.Second
	peerNewsTimeout    = 600 * time.Millisecond
	maxBlocksWait      = 700 * time.Millisecond
	blocksCheck        = 10 * time.Millisecond
	confirmTimeout     = 400 * time.Millisecond
	wakeTime           = 200 * time.Millisecond
	// lapseAfter is when LapseBlocks forgets.
	lapseAfter = 5 * time.Second
)

var reportLimits = blocklist.ReportLimits{Crashes: 12, SuspectBytes: 3 << 10, ClearedBytes: 768}

// blockReports is what a heartbeat tells about parts of prompts.
type blockReports struct {
	crashes []blocklist.Crash
	cleared []blocklist.Cleared
	records []blocklist.Record
}

// blocks holds what an entry knows about parts of prompts, wired like package relay.
type blocks struct {
	*entry
	list *blocklist.List
	// pending holds the requests without a response, by their shared parts.
	pending map[string]map[*request]bool
	// heardAt is the latest time at which another entry knew no more than this one,
	// resumedAt the end of the last pause.
	heardAt, resumedAt time.Time
	backoff            time.Duration
	retryAt            time.Time
	listedAt           time.Time
}

func newBlocks(e *entry) *blocks {
	return &blocks{entry: e, list: blocklist.New(), pending: map[string]map[*request]bool{}, backoff: minSaveBackoff}
}

func (b *blocks) begin() {
	b.listedAt = b.world.now
	b.every(saveInterval, b.saveDue)
}

// hasRead reports whether the entry has read the blocked parts since its start, or has given up.
func (b *blocks) hasRead() bool {
	return b.copies.collections[blockedParts].replica.Known() || b.world.now.Sub(b.start) >= stablePeriod
}

// isOpen reports whether the entry knows the blocked parts.
func (b *blocks) isOpen() bool {
	now := b.world.now
	if !b.hasRead() {
		return false
	}
	return b.resumedAt.IsZero() || now.Sub(b.resumedAt) > peerNewsTimeout || b.heardAt.After(b.resumedAt)
}

// await calls next once the entry knows the blocked parts, with false after maxBlocksWait.
func (b *blocks) await(until time.Time, next func(known bool)) {
	switch {
	case b.isOpen():
		next(true)
	case !b.world.now.Before(until):
		next(false)
	default:
		b.after(blocksCheck, func() { b.await(until, next) })
	}
}

// admit passes on a request of a caller unless one of its parts is blocked.
func (b *blocks) admit(r *request) {
	b.await(b.world.now.Add(maxBlocksWait), func(known bool) {
		switch {
		case !known:
			b.world.judge.refused(r)
		case b.isBlocked(r):
			b.world.judge.blocked(b.entry, r)
		case b.world.scenario.Mutation != NoProbation && !b.list.ProbeDue(model, r.parts, b.turn, b.world.now):
			b.world.judge.refused(r)
		default:
			b.watch(r)
			b.place(r)
		}
	})
}

// isBlocked reports whether a part of a request is blocked.
func (b *blocks) isBlocked(r *request) bool {
	_, blocked := b.list.Blocked(model, r.parts)
	return blocked
}

// watch keeps a request among those that a block cancels.
func (b *blocks) watch(r *request) {
	for _, id := range r.parts {
		if b.pending[id] == nil {
			b.pending[id] = map[*request]bool{}
		}
		b.pending[id][r] = true
	}
}

func (b *blocks) unwatch(r *request) {
	for _, id := range r.parts {
		delete(b.pending[id], r)
	}
}

// cancelBlocked cancels the requests with blocked parts that have no response.
func (b *blocks) cancelBlocked(records []blocklist.Record) {
	for _, record := range records {
		if record.Lifted || record.Suspected {
			continue
		}
		for r := range b.pending[record.ID] {
			r.canceled = true
		}
		delete(b.pending, record.ID)
	}
}

// decided handles the decisions of this entry.
func (b *blocks) decided(records []blocklist.Record) {
	if len(records) == 0 {
		return
	}
	for _, record := range records {
		b.world.record(b.host, "decision on part "+record.ID, record.Version, 0, "")
	}
	b.cancelBlocked(records)
	m := &message{from: b.process, composedAt: b.world.now, self: b.directory.Self(), loadsOnly: true}
	b.sequence++
	m.self.Sequence = b.sequence
	m.blocks.records = recordsOf(b.list.Unsaved(maxRecordsReported))
	var hosts []string
	for _, other := range b.directory.LiveEntries(b.world.now) {
		hosts = append(hosts, other.Host)
	}
	b.send(m, hosts)
}

func recordsOf(unsaved []blocklist.UnsavedRecord) (records []blocklist.Record) {
	for _, one := range unsaved {
		if !one.Suspected {
			records = append(records, one.Record)
		}
	}
	return records
}

// reports returns what the next heartbeat tells.
func (b *blocks) reports() blockReports {
	now := b.world.now
	b.decided(b.list.Evaluate(now))
	if b.world.scenario.Mutation == LapseBlocks && b.list.BlockedParts() > 0 && now.Sub(b.listedAt) > lapseAfter {
		b.list, b.listedAt = blocklist.New(), now
	}
	since := now.Add(-crashReportPeriod)
	return blockReports{
		crashes: b.list.RecentCrashes(since, reportLimits), cleared: b.list.RecentlyCleared(since, reportLimits), records: recordsOf(b.list.Unsaved(maxRecordsReported)),
	}
}

// read applies what the message of another entry tells. Its times are those of the sender's
// clock: delay is the time from the earliest one at which it can have been composed.
func (b *blocks) read(m *message, composed time.Time) {
	now, shift := b.world.now, composed.Sub(m.composedAt)
	for _, one := range m.blocks.cleared {
		one.At = one.At.Add(shift)
		b.list.RecordCleared(one, now)
	}
	for _, crash := range m.blocks.crashes {
		if b.world.scenario.Mutation == IgnorePeerCrashes {
			continue
		}
		crash.At = crash.At.Add(shift)
		if b.world.scenario.Mutation == CountReports {
			crash.Start.Instance += m.from.host
			crash.At = now
		}
		b.list.RecordCrash(crash, now)
	}
	var adopted []blocklist.Record
	for _, record := range m.blocks.records {
		if b.list.Adopt(record, now) {
			adopted = append(adopted, record)
		}
	}
	b.cancelBlocked(adopted)
}

// noteHeard notes the message of another entry that has no newer copy of the blocks.
func (b *blocks) noteHeard(m *message, composedAfter time.Time) {
	state := m.states[blockedParts]
	if state.known && state.content.After(b.copies.collections[blockedParts].replica.Content()) {
		return
	}
	if composedAfter.After(b.heardAt) {
		b.heardAt = composedAfter
	}
}

// storeChanged applies the records in the store.
func (b *blocks) storeChanged() {
	if b.world.scenario.Mutation == ForgetBlocks {
		return
	}
	documents := b.copies.collections[blockedParts].replica.Documents()
	var stored []blocklist.StoredRecord
	for _, name := range sortedKeys(documents) {
		var record blocklist.Record
		if json.Unmarshal(documents[name].Body, &record) == nil {
			stored = append(stored, blocklist.StoredRecord{Record: record})
		}
	}
	b.cancelBlocked(b.list.SetStored(stored, b.world.now))
}

// saveDue enters decisions in the store for which it is this entry's turn.
func (b *blocks) saveDue() {
	now := b.world.now
	if now.Before(b.retryAt) || b.world.scenario.Mutation == ForgetBlocks {
		return
	}
	for _, unsaved := range b.list.Unsaved(maxSavesPerTurn) {
		if rank, _ := b.turn(unsaved.Part); now.Sub(unsaved.LearnedAt) < time.Duration(rank)*saveRankDelay {
			continue
		}
		b.retryAt = now.Add(saveTimeout)
		b.world.store.save(b.process, unsaved.Record, func(saved bool) {
			if saved {
				b.backoff, b.retryAt = minSaveBackoff, b.world.now
				b.list.Saved(unsaved.Record)
				return
			}
			b.retryAt = b.world.now.Add(b.backoff)
			b.backoff = min(2*b.backoff, maxSaveBackoff)
		})
		return
	}
}

// turn returns the position of this entry in the order in which entries save or probe a part,
// and their number.
func (b *blocks) turn(part blocklist.Part) (rank, entries int) {
	hosts := []string{b.host}
	for _, other := range b.directory.LiveEntries(b.world.now) {
		hosts = append(hosts, other.Host)
	}
	return slices.Index(member.Rank(part.Model+"/"+part.ID, hosts), b.host), len(hosts)
}

// responded records that a response has gone on for long enough, or is complete.
func (b *blocks) responded(r *request, version int64) {
	if b.world.scenario.Mutation != KeepSuspects {
		b.list.RecordResponse(model, version, r.parts, b.world.now)
	}
}

// completed records a complete response.
func (b *blocks) completed(r *request) { b.decided(b.list.LiftAnswered(model, r.parts, b.world.now)) }

// attemptBroken calls next when it is known whether a broken attempt may have crashed its
// instance. Such a request is not sent again unless all of its parts were answered.
func (b *blocks) attemptBroken(a *attempt, choice placement.Choice, next func(again bool)) {
	w := b.world
	since := a.begunAt
	if !a.begun {
		since = a.sentAt
	}
	if !a.begun && w.scenario.Mutation == IgnoreEarlyCrashes {
		next(true)
		return
	}
	if len(a.request.parts) == 0 || a.begun && w.now.Sub(since) > blocklist.Window(1) || b.resumedAt.Add(wakeTime).After(since) || !b.fleet.EndsUnexpectedly(choice) {
		next(true)
		return
	}
	brokenAt, ended := w.now, false
	confirmed := func(refused bool) {
		if ended {
			return
		}
		ended = true
		if !refused {
			next(true)
			return
		}
		crash := blocklist.Crash{
			Start: blocklist.Start{Instance: choice.Backend.ID, Born: choice.Backend.Start}, Model: model, Version: choice.Version, At: brokenAt, Suspects: a.request.parts,
		}
		again := b.list.HasResponse(model, choice.Version, a.request.parts) || !a.begun && !b.list.IsSuspectedElsewhere(crash)
		b.list.RecordInterruption(model, choice.Version, a.request.parts, brokenAt)
		b.list.RecordCrash(crash, w.now)
		next(again)
	}
	to := w.byHost[choice.Backend.Host]
	w.transfer(b.number, to.number, b.zone, to.zone, func() {
		engine := w.engines[to.number-w.scenario.Entries]
		if engine.powerless > 0 {
			return
		}
		refused := !engine.up
		w.transfer(to.number, b.number, to.zone, b.zone, func() { b.run(func() { confirmed(refused) }) })
	})
	b.after(confirmTimeout, func() { confirmed(false) })
}

// save enters the record of a part, unless the store has one that is as late.
func (s *store) save(p *process, record blocklist.Record, done func(saved bool)) {
	w, life := s.world, p.life
	w.judge.storeCalled(p)
	answer := func(saved bool) {
		w.transfer(storeNumber, p.number, "", p.zone, func() {
			if p.life == life {
				p.run(func() { done(saved) })
			}
		})
	}
	w.transfer(p.number, storeNumber, p.zone, "", func() {
		if s.down > 0 {
			return
		}
		w.after(storeLatency, func() {
			if s.down > 0 {
				return
			}
			name := record.Model + "/" + record.ID
			var held blocklist.Record
			if document, found := s.documents[blockedParts][name]; found && json.Unmarshal(document.Body, &held) != nil {
				return
			}
			if s.refusing > 0 || s.rejectsSome > 0 && p.number%2 == s.rejecting%2 || held.Version >= record.Version {
				answer(false)
				return
			}
			body, err := json.Marshal(record)
			if err != nil {
				return
			}
			s.write(blockedParts, replica.Document{Name: name, Body: body, Version: record.Version})
			answer(true)
		})
	})
}

// blockRecords returns the records that an entry knows, for timelines.
func (p *process) blockRecords() []blocklist.Record {
	if p.entry == nil {
		return nil
	}
	return p.entry.blocks.list.Records()
}
