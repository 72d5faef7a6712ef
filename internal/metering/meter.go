// Package metering does the I/O for package usage. It counts the events of a
// daemon's request path, writes the reports to the store and reads them back.
package metering

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/usage"
)

// ObjectKind is the kind of the store objects that hold usage documents.
const ObjectKind = "usage"

const (
	callTimeout = 5 * time.Second
	// maxWriteAttempts bounds the attempts to update one document in one flush.
	maxWriteAttempts = 8
	initialBackoff   = 20 * time.Millisecond
	// maxDocumentBytes bounds a document, so that a daemon's share of the
	// network stays small. The store itself accepts 1 MB.
	maxDocumentBytes = 256 << 10
	maxHours         = 48
	maxRows          = 400
)

// Meter counts the usage of one daemon. It is safe for concurrent use.
type Meter struct {
	store    platform.ObjectStore
	interval time.Duration
	log      *logrus.Entry

	mu      sync.Mutex
	counter *usage.Counter
	// flushMu is held during a flush, so that flushes do not overlap.
	flushMu  sync.Mutex
	failures atomic.Int64
}

// New returns a meter. Run writes its counts to store at the given interval.
func New(source usage.Source, store platform.ObjectStore, interval time.Duration, log *logrus.Entry) *Meter {
	return &Meter{
		store:    store,
		interval: interval,
		log:      log,
		counter:  usage.NewCounter(source, usage.Limits{MaxHours: maxHours, MaxRows: maxRows}),
	}
}

// Record counts one event.
func (m *Meter) Record(event usage.Event) {
	m.mu.Lock()
	m.counter.Count(event, time.Now())
	m.mu.Unlock()
}

// Run flushes periodically until ctx ends.
func (m *Meter) Run(ctx context.Context) {
	for {
		// The jitter spreads the writes of all daemons over the interval.
		wait := m.interval/2 + rand.N(m.interval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			m.Flush(ctx)
		}
	}
}

// Close closes all hours and writes their final reports.
func (m *Meter) Close(ctx context.Context) {
	m.mu.Lock()
	m.counter.Close()
	m.mu.Unlock()
	m.Flush(ctx)
}

// Flush writes the pending reports to the store. A report that cannot be
// written stays pending for the next flush; the others are written unless the store
// cannot be reached.
func (m *Meter) Flush(ctx context.Context) {
	m.flushMu.Lock()
	defer m.flushMu.Unlock()
	m.mu.Lock()
	pending := m.counter.Pending(time.Now())
	m.mu.Unlock()
	byDocument := map[string][]usage.Report{}
	var names []string
	for _, report := range pending {
		name := usage.DocumentName(report.Source, report.Hour)
		if byDocument[name] == nil {
			names = append(names, name)
		}
		byDocument[name] = append(byDocument[name], report)
	}
	for _, name := range names {
		if err := m.writeDocument(ctx, name, byDocument[name]); err != nil {
			m.failures.Add(1)
			m.log.WithError(err).WithField("document", name).Warning("usage could not be written; it stays in memory until the next flush")
			if failure.Is(err, failure.NotReachable) {
				return
			}
			continue
		}
		m.markWritten(byDocument[name])
	}
}

// FailedFlushes returns the number of failed flushes.
func (m *Meter) FailedFlushes() int64 {
	return m.failures.Load()
}

// PendingHours returns the number of hours whose final report is not yet
// written.
func (m *Meter) PendingHours() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counter.PendingHours()
}

func (m *Meter) markWritten(reports []usage.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, report := range reports {
		m.counter.MarkWritten(report)
	}
}

// writeDocument merges reports into a document by conditional updates. After a
// conflict or a lost response it reads the document again, so that a write that
// has already taken effect is not repeated.
func (m *Meter) writeDocument(ctx context.Context, name string, reports []usage.Report) error {
	backoff := initialBackoff
	var err error
	for range maxWriteAttempts {
		if err = m.tryWriteDocument(ctx, name, reports); err == nil {
			return nil
		}
		if !failure.Is(err, failure.Conflict) && !failure.Is(err, failure.Unknown) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff *= 2
	}
	return err
}

func (m *Meter) tryWriteDocument(ctx context.Context, name string, reports []usage.Report) error {
	document, version, err := readDocument(ctx, m.store, name)
	if err != nil {
		return err
	}
	missing := false
	for _, report := range reports {
		missing = missing || !document.Contains(report)
		document.Merge(report)
	}
	if !missing {
		return nil
	}
	raw, err := document.Encode(maxDocumentBytes)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = m.store.Put(ctx, ObjectKind, name, raw, version)
	return err
}

// readDocument returns a document and its version, or an empty document if it
// does not exist.
func readDocument(ctx context.Context, store platform.ObjectStore, name string) (*usage.Document, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := store.Get(ctx, ObjectKind, name)
	if failure.Is(err, failure.NotFound) {
		return &usage.Document{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	document, err := usage.Decode(object.Value)
	return document, object.Version, err
}
