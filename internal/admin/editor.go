package admin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/table"
	"plantainrelay/internal/tablesync"
	"plantainrelay/internal/tabletext"
)

const (
	storeTimeout      = 5 * time.Second
	storeReadAttempts = 5
	storeReadInterval = 300 * time.Millisecond
	maxTablesBytes    = 1 << 20
	maxRequestBytes   = 2 << 20
)

// Edit is a change of the tables requested by an operator.
type Edit struct {
	// ID identifies the edit, so that it can be retried safely. If it is empty,
	// the API generates one.
	ID string `json:"edit_id"`
	// ExpectedRevision is the revision that the edit is based on.
	ExpectedRevision int64 `json:"expected_revision"`
	table.Tables
}

// ConflictError reports that an edit is not based on the current revision. It
// wraps an error of the kind failure.Conflict.
type ConflictError struct {
	Conflict
	cause error
}

// Conflict describes a conflict between an edit and the tables in force.
type Conflict struct {
	ExpectedRevision int64 `json:"expected_revision"`
	CurrentRevision  int64 `json:"current_revision"`
	// Author is the operator who created the current revision.
	Author string `json:"author"`
	// Diff is the difference from the current tables to those of the edit.
	Diff []string `json:"diff"`
}

// Error implements error.
func (e *ConflictError) Error() string { return e.cause.Error() }

// Unwrap returns the underlying error, which carries the kind.
func (e *ConflictError) Unwrap() error { return e.cause }

// Editor writes edited tables to the store and puts them in force.
type Editor struct {
	store platform.ObjectStore
	sync  *tablesync.Sync
	now   func() time.Time
}

// NewEditor returns an Editor that writes to store and passes accepted tables
// to sync.
func NewEditor(store platform.ObjectStore, sync *tablesync.Sync) *Editor {
	return &Editor{store: store, sync: sync, now: time.Now}
}

// storedTables is the content and version of the store object.
type storedTables struct {
	version  int64
	snapshot *table.Snapshot
}

// Apply validates an edit, writes it to the store and returns the record of the
// accepted edit. It is idempotent by edit ID, also after other edits. It returns
// failure.Invalid if the tables are invalid, a ConflictError if another edit
// was accepted first, failure.NotReachable if the store did not accept the edit
// and failure.Unknown if the outcome is not known.
func (e *Editor) Apply(ctx context.Context, author string, edit Edit) (*table.EditRecord, error) {
	if err := table.ValidationError(table.Validate(&edit.Tables)); err != nil {
		return nil, err
	}
	if err := e.sync.WaitCompared(ctx); err != nil {
		return nil, err
	}
	base, err := e.readTables(ctx)
	if err != nil {
		return nil, err
	}
	if base.snapshot.Revision < e.sync.Revision() {
		if base, err = e.retryStaleRead(ctx); err != nil {
			return nil, err
		}
	}
	return e.writeTables(ctx, base, base.snapshot, e.newDraft(author, edit))
}

func (e *Editor) newDraft(author string, edit Edit) table.Draft {
	if edit.ID == "" {
		edit.ID = uuid.NewString()
	}
	return table.Draft{ID: edit.ID, Author: author, At: e.now().UTC(), Expected: edit.ExpectedRevision, Tables: edit.Tables}
}

// retryStaleRead retries a read that returned older tables than the current
// ones. The read was stale, or the store was restored to an older state.
func (e *Editor) retryStaleRead(ctx context.Context) (storedTables, error) {
	for range storeReadAttempts {
		if err := sleep(ctx, storeReadInterval); err != nil {
			return storedTables{}, err
		}
		base, err := e.readTables(ctx)
		if err != nil {
			return storedTables{}, err
		}
		if base.snapshot.Revision >= e.sync.Revision() {
			return base, nil
		}
	}
	return storedTables{}, failure.New(failure.Refused, "run plantainctl table recover, then repeat the edit",
		"the store holds older tables than the fleet, which is at revision %d; the store was restored to an older state", e.sync.Revision())
}

// Recover writes the current tables of the fleet as a new revision to a store
// that was restored to an older state.
func (e *Editor) Recover(ctx context.Context, author, editID string) (*table.EditRecord, error) {
	if err := e.sync.WaitCompared(ctx); err != nil {
		return nil, err
	}
	base, err := e.readTables(ctx)
	if err != nil {
		return nil, err
	}
	current := e.sync.Current()
	if current == nil || base.snapshot.Revision >= current.Revision {
		return nil, failure.New(failure.Refused, "no recovery is needed", "the store holds revision %d, which is as new as the fleet's", base.snapshot.Revision)
	}
	draft := e.newDraft(author, Edit{ID: editID, ExpectedRevision: current.Revision, Tables: current.Tables})
	return e.writeTables(ctx, base, current, draft)
}

// writeTables replaces the store object read as base by the successor of parent
// that draft describes. parent is archived first.
func (e *Editor) writeTables(ctx context.Context, base storedTables, parent *table.Snapshot, draft table.Draft) (*table.EditRecord, error) {
	next, accepted, err := table.ApplyDraft(parent, draft)
	if failure.Is(err, failure.Conflict) {
		return nil, newConflictError(err, parent, draft)
	}
	if err != nil || accepted != nil {
		return accepted, err
	}
	value, err := encodeSnapshot(next)
	if err != nil {
		return nil, err
	}
	if err := e.archive(ctx, parent); err != nil {
		return nil, err
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = e.store.Put(call, tablesync.ObjectKind, tablesync.ObjectName, value, base.version)
	if failure.Is(err, failure.Unknown) || failure.Is(err, failure.Conflict) {
		// The conflict may be caused by an earlier attempt to write this edit.
		return e.confirmWrite(ctx, base, draft, err)
	}
	if err != nil {
		return nil, err
	}
	e.sync.ApplyIfNewer(next)
	return &next.Edits[0], nil
}

func encodeSnapshot(snapshot *table.Snapshot) (json.RawMessage, error) {
	value, err := json.Marshal(snapshot)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this", "the tables cannot be encoded")
	}
	if len(value) > maxTablesBytes {
		return nil, failure.New(failure.Invalid, "remove rows or shorten them", "the encoded tables have %d bytes, more than the store's limit of %d", len(value), maxTablesBytes)
	}
	return value, nil
}

func newConflictError(cause error, current *table.Snapshot, draft table.Draft) error {
	return &ConflictError{cause: cause, Conflict: Conflict{
		ExpectedRevision: draft.Expected,
		CurrentRevision:  current.Revision,
		Author:           current.Author,
		Diff:             tabletext.Diff(&current.Tables, &draft.Tables),
	}}
}

// confirmWrite determines the outcome of a write with an unknown result. The
// stored tables contain the IDs of the edits that created them.
func (e *Editor) confirmWrite(ctx context.Context, base storedTables, draft table.Draft, cause error) (*table.EditRecord, error) {
	for range storeReadAttempts {
		latest, err := e.readTables(ctx)
		switch {
		case err != nil || latest.version < base.version:
			// The read failed or returned a version older than base.
		case latest.version == base.version && failure.Is(cause, failure.Unknown):
			// The write may still be in progress.
		case latest.version == base.version:
			// The conflicting version is not visible to reads yet.
		default:
			return e.resolveOutcome(latest, draft)
		}
		if sleep(ctx, storeReadInterval) != nil {
			break
		}
	}
	return nil, failure.Wrap(cause, failure.Unknown, "send the edit again under the edit ID "+draft.ID,
		"it is unknown whether the edit was accepted")
}

// resolveOutcome determines from a newer state of the store object whether
// draft was accepted.
func (e *Editor) resolveOutcome(latest storedTables, draft table.Draft) (*table.EditRecord, error) {
	_, accepted, err := table.ApplyDraft(latest.snapshot, draft)
	switch {
	case accepted != nil:
		return accepted, nil
	case failure.Is(err, failure.Conflict):
		return nil, newConflictError(err, latest.snapshot, draft)
	case err != nil:
		return nil, err
	}
	return nil, failure.New(failure.NotReachable, "send the edit again", "the store did not accept the edit")
}

// readTables returns the stored tables and puts them in force if they are newer
// than the current ones.
func (e *Editor) readTables(ctx context.Context) (storedTables, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := e.store.Get(ctx, tablesync.ObjectKind, tablesync.ObjectName)
	if failure.Is(err, failure.NotFound) {
		return storedTables{snapshot: &table.Snapshot{}}, nil
	}
	if err != nil {
		return storedTables{}, err
	}
	snapshot, err := tablesync.Decode(object)
	if err != nil {
		return storedTables{}, err
	}
	e.sync.ApplyIfNewer(snapshot)
	return storedTables{version: object.Version, snapshot: snapshot}, nil
}

func sleep(ctx context.Context, wait time.Duration) error {
	if clock.Sleep(ctx, wait) {
		return nil
	}
	return failure.Wrap(ctx.Err(), failure.NotReachable, "send the request again", "the request was canceled")
}
