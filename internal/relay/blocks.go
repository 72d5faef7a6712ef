package relay

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/blocklist"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/metrics"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
)

// errPartBlocked ends a request when one of the parts of its prompt is blocked.
var errPartBlocked = errors.New("a part of the prompt was blocked; send the prompt without it, or lift the block")

const (
	// reasonBlocked is the reason of a refusal because of a blocked part.
	reasonBlocked = "blocked_prompt"
	// blockedRetryAfter is the Retry-After of such a refusal. No block ends sooner, unless an
	// operator lifts it.
	blockedRetryAfter = time.Minute
)

// pendingRequest is a request that has no response yet.
type pendingRequest struct {
	cancel context.CancelCauseFunc
	model  string
	parts  []string
	// responding is set while an instance is responding, canceled once the request was
	// canceled because a part was blocked.
	responding, canceled atomic.Bool
}

// blocker keeps requests with blocked parts of prompts away from instances. It is safe
// for concurrent use.
type blocker struct {
	log     *logrus.Entry
	metrics *blockMetrics
	// decided is called after this entry has blocked a part or lifted a block.
	decided func()
	// turn returns the position of this entry among those that may probe a part.
	turn blocklist.Turn
	// claimTrial is called, without a lock, when a trial of a blocked part is due. It enters
	// the trial in the store before it grants it.
	claimTrial func(blocklist.Record)

	mu      sync.Mutex
	list    *blocklist.List
	pending map[*pendingRequest]bool
}

func newBlocker(log *logrus.Entry, m *blockMetrics) *blocker {
	return &blocker{
		log: log, metrics: m, decided: func() {}, turn: func(blocklist.Part) (int, int) { return 0, 1 }, claimTrial: func(blocklist.Record) {}, list: blocklist.New(), pending: map[*pendingRequest]bool{},
	}
}

// blocked returns the first blocked one of the shared parts of a request.
func (b *blocker) blocked(model string, parts []string) (blocklist.Part, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list.Blocked(model, parts)
}

// admit reports whether a new request with these shared parts may go to an instance. One
// with a blocked part may do so as a granted trial.
func (b *blocker) admit(model string, parts []string) (part blocklist.Part, isTrial, admitted bool) {
	now := clock.Now()
	b.mu.Lock()
	part, blocked := b.list.Blocked(model, parts)
	if !blocked {
		b.mu.Unlock()
		return part, false, true
	}
	isTrial = b.list.UseTrial(part, now)
	trial, due := b.list.TrialDue(part, now)
	b.mu.Unlock()
	if due && !isTrial {
		b.claimTrial(trial)
	}
	return part, isTrial, isTrial
}

// watch cancels a request when one of its shared parts is blocked while no instance is
// responding to it. The returned function ends that.
func (b *blocker) watch(model string, parts []string, request *pendingRequest) (end func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	request.model, request.parts = model, parts
	b.pending[request] = true
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.pending, request)
	}
}

// hasResponse reports whether a response is known for each of the shared parts of a
// request, with this version of the weights.
func (b *blocker) hasResponse(model string, version int64, parts []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list.HasResponse(model, version, parts)
}

// responseOutlived records that a response has gone on for long enough, or is complete.
func (b *blocker) responseOutlived(model string, version int64, parts []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list.RecordResponse(model, version, parts, clock.Now())
}

// responseComplete records that a response to a request with these shared parts is
// complete. It lifts their blocks.
func (b *blocker) responseComplete(model string, parts []string) {
	b.mu.Lock()
	lifted := b.list.LiftAnswered(model, parts, clock.Now())
	b.mu.Unlock()
	if len(lifted) > 0 {
		b.logRecords(lifted, sourceResponse)
		b.decided()
	}
}

// isSuspectedElsewhere reports whether a part that may have caused a crash is suspected of
// another one.
func (b *blocker) isSuspectedElsewhere(crash blocklist.Crash) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list.IsSuspectedElsewhere(crash)
}

// requestInterrupted records that a crash has interrupted a request of this entry before
// its response had begun or soon after.
func (b *blocker) requestInterrupted(crash blocklist.Crash) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list.RecordInterruption(crash.Model, crash.Version, crash.Suspects, crash.At)
	b.list.RecordCrash(crash, crash.At)
}

// recordPeerCrashes records crashes that another entry has reported.
func (b *blocker) recordPeerCrashes(crashes []blocklist.Crash, cleared []blocklist.Cleared, now time.Time) {
	if len(crashes) == 0 && len(cleared) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, one := range cleared {
		b.list.RecordCleared(one, now)
	}
	for _, crash := range crashes {
		b.list.RecordCrash(crash, now)
	}
}

// evaluate blocks the parts that cause crashes. It has to be called with each heartbeat.
func (b *blocker) evaluate(now time.Time) {
	b.mu.Lock()
	before := b.list.ProbationParts()
	decisions := b.list.Evaluate(now)
	after := b.list.ProbationParts()
	b.cancelPending(decisions)
	b.mu.Unlock()
	if before != after {
		b.log.WithFields(logrus.Fields{"parts": after, "before": before}).Warning("the number of suspected parts of prompts whose requests are sent one at a time has changed")
	}
	if len(decisions) > 0 {
		b.logRecords(decisions, sourceCrashes)
		b.decided()
	}
}

// adopt takes over decisions of another entry.
func (b *blocker) adopt(records []blocklist.Record, peer string) {
	if len(records) == 0 {
		return
	}
	now := clock.Now()
	var adopted []blocklist.Record
	b.mu.Lock()
	for _, record := range records {
		if b.list.Adopt(record, now) {
			adopted = append(adopted, record)
		}
	}
	b.cancelPending(adopted)
	b.mu.Unlock()
	b.logRecords(adopted, peer)
}

// setStored applies the records in the store.
func (b *blocker) setStored(snapshot storedBlocks) {
	b.mu.Lock()
	news := b.list.SetStored(snapshot, clock.Now())
	b.cancelPending(news)
	b.mu.Unlock()
	b.logRecords(news, sourceStore)
}

// unsaved returns records that the store lacks, the oldest first.
func (b *blocker) unsaved(limit int) []blocklist.UnsavedRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list.Unsaved(limit)
}

// saved records that the store has a record.
func (b *blocker) saved(record blocklist.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list.Saved(record)
}

// grantTrial lets one request with a part through, after the trial was entered in the store.
func (b *blocker) grantTrial(record blocklist.Record) {
	b.mu.Lock()
	b.list.GrantTrial(record, clock.Now())
	b.mu.Unlock()
	b.log.WithFields(logrus.Fields{"model": record.Model, "part": record.ID, "trials": record.Trials}).Info("one request with a blocked part of prompts is let through on trial")
}

// cancelPending cancels the requests with blocked parts that have no response. The caller
// holds mu.
func (b *blocker) cancelPending(records []blocklist.Record) {
	for _, record := range records {
		if record.Lifted || record.Suspected {
			continue
		}
		for request := range b.pending {
			if request.model == record.Model && slices.Contains(request.parts, record.ID) && !request.responding.Load() {
				request.canceled.Store(true)
				request.cancel(errPartBlocked)
			}
		}
	}
}

// The sources of decisions about parts, apart from other entries.
const (
	sourceCrashes = "crashes"
	sourceStore   = "store"
)

func (b *blocker) logRecords(records []blocklist.Record, source string) {
	for _, record := range records {
		if record.Suspected {
			continue
		}
		log := b.log.WithFields(logrus.Fields{
			"model": record.Model, "part": record.ID, "version": record.Version, "crashes": record.Crashes, "trials": record.Trials, "source": source,
		})
		if record.Lifted {
			log.Warning("the block of a part of prompts is lifted")
			b.metrics.decisions.WithLabelValues("lifted").Inc()
			continue
		}
		log.Warning("a part of prompts is blocked: instances crash when they begin to respond to it")
		b.metrics.decisions.WithLabelValues("blocked").Inc()
	}
}

// storedBlocks are the records in the store.
type storedBlocks []blocklist.StoredRecord

// decodeStoredBlocks decodes the documents of the store. Those of an earlier era are lost.
func decodeStoredBlocks(documents map[string]replica.Document, era int64, log *logrus.Entry) storedBlocks {
	var stored storedBlocks
	for _, document := range documents {
		record, err := platform.DecodeBlock(document)
		if err != nil {
			log.WithError(err).Error("cannot decode the record of a blocked part; it is ignored")
			continue
		}
		stored = append(stored, blocklist.StoredRecord{Record: record, Lost: document.Revision.Era < era})
	}
	return stored
}

// blockMetrics holds the metrics of blocked parts.
type blockMetrics struct {
	decisions     *prometheus.CounterVec
	interruptions *prometheus.CounterVec
}

func newBlockMetrics() *blockMetrics {
	return &blockMetrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "block_decisions_total", Help: "Decisions about parts of prompts that this entry has made or learned of, by kind.",
		}, []string{"kind"}),
		interruptions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "crash_interruptions_total", Help: "Requests interrupted by the crash of an instance before their response had begun or soon after, by what became of them.",
		}, []string{"next"}),
	}
}

// registerBlockGauges registers the gauges of blocked and suspected parts.
func registerBlockGauges(m *metrics.Metrics, b *blocker) {
	count := func(of func(*blocklist.List) int) func() float64 {
		return func() float64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return float64(of(b.list))
		}
	}
	m.Gauge("blocked_parts", "Parts of prompts that are kept away from instances.", count((*blocklist.List).BlockedParts))
	m.Gauge("suspected_parts", "Parts of prompts that may have crashed an instance.", count((*blocklist.List).SuspectedParts))
	m.Gauge("probation_parts", "Suspected parts of prompts whose requests are sent one at a time.", count((*blocklist.List).ProbationParts))
	m.Gauge("unsaved_blocks", "Decisions about parts of prompts that the store does not have.", count(func(l *blocklist.List) int { return len(l.Unsaved(math.MaxInt)) }))
}
