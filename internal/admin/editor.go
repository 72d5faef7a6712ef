package admin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/table"
	"plantainrelay/internal/tablesync"
	"plantainrelay/internal/tabletext"
)

const (
	storeTimeout    = 5 * time.Second
	readBackTries   = 5
	readBackPause   = 300 * time.Millisecond
	maxTablesBytes  = 1 << 20
	maxRequestBytes = 2 << 20
)

// Edit is one change of the tables that an operator asks for.
type Edit struct {
	// ID identifies the edit; the same edit may be sent again under it. Empty
	// means that the API chooses one.
	ID string `json:"edit_id"`
	// ExpectedRevision is the revision that the operator saw.
	ExpectedRevision int64 `json:"expected_revision"`
	table.Tables
}

// ConflictError is the answer to an edit of another revision than the current
// one. It wraps an error of the kind failure.Conflict.
type ConflictError struct {
	Conflict
	cause error
}

// Conflict describes a conflict between an edit and the tables in force.
type Conflict struct {
	ExpectedRevision int64 `json:"expected_revision"`
	CurrentRevision  int64 `json:"current_revision"`
	// Author is the operator who made the current revision.
	Author string `json:"author"`
	// Diff leads from the current tables to those of the edit.
	Diff []string `json:"diff"`
}

// Error implements error.
func (e *ConflictError) Error() string { return e.cause.Error() }

// Unwrap returns the error that carries the kind.
func (e *ConflictError) Unwrap() error { return e.cause }

// Editor writes the tables to the store and puts them in force.
type Editor struct {
	store platform.ObjectStore
	sync  *tablesync.Sync
	now   func() time.Time
}

// NewEditor returns an editor over store that offers accepted tables to sync.
func NewEditor(store platform.ObjectStore, sync *tablesync.Sync) *Editor {
	return &Editor{store: store, sync: sync, now: time.Now}
}

// stored is a state of the stored object.
type stored struct {
	version  int64
	snapshot *table.Snapshot
}

// Apply checks an edit, writes it and returns the record of the accepted edit.
// The same edit may be applied again under its ID, also after other edits. It
// returns failure.Invalid for tables that break a rule, a ConflictError when
// another edit came first, failure.NotReachable when the store did not take
// the edit and failure.Unknown when it cannot be told whether it did.
func (e *Editor) Apply(ctx context.Context, author string, edit Edit) (*table.EditRecord, error) {
	if err := table.Invalid(table.Validate(&edit.Tables)); err != nil {
		return nil, err
	}
	if err := e.sync.WaitCompared(ctx); err != nil {
		return nil, err
	}
	base, err := e.read(ctx)
	if err != nil {
		return nil, err
	}
	if base.snapshot.Revision < e.sync.Revision() {
		if base, err = e.readAgain(ctx); err != nil {
			return nil, err
		}
	}
	return e.write(ctx, base, base.snapshot, e.draft(author, edit))
}

func (e *Editor) draft(author string, edit Edit) table.Draft {
	if edit.ID == "" {
		edit.ID = uuid.NewString()
	}
	return table.Draft{ID: edit.ID, Author: author, At: e.now().UTC(), Expected: edit.ExpectedRevision, Tables: edit.Tables}
}

// readAgain follows a read that was older than the held tables: the read was
// stale, or the store was restored to an older state.
func (e *Editor) readAgain(ctx context.Context) (stored, error) {
	for range readBackTries {
		if err := pause(ctx, readBackPause); err != nil {
			return stored{}, err
		}
		base, err := e.read(ctx)
		if err != nil {
			return stored{}, err
		}
		if base.snapshot.Revision >= e.sync.Revision() {
			return base, nil
		}
	}
	return stored{}, failure.New(failure.Refused, "run plantainctl table recover, then repeat the edit",
		"the store holds older tables than the fleet, which is at revision %d; the store was restored to an older state", e.sync.Revision())
}

// Recover writes the tables that the fleet holds, as a new revision, to a
// store that was restored to an older state.
func (e *Editor) Recover(ctx context.Context, author, editID string) (*table.EditRecord, error) {
	if err := e.sync.WaitCompared(ctx); err != nil {
		return nil, err
	}
	base, err := e.read(ctx)
	if err != nil {
		return nil, err
	}
	held := e.sync.Current()
	if held == nil || base.snapshot.Revision >= held.Revision {
		return nil, failure.New(failure.Refused, "nothing has to be recovered", "the store holds revision %d, as new as the fleet", base.snapshot.Revision)
	}
	draft := e.draft(author, Edit{ID: editID, ExpectedRevision: held.Revision, Tables: held.Tables})
	return e.write(ctx, base, held, draft)
}

// write puts draft on top of parent in place of the stored object.
func (e *Editor) write(ctx context.Context, base stored, parent *table.Snapshot, draft table.Draft) (*table.EditRecord, error) {
	next, accepted, err := table.Next(parent, draft)
	if failure.Is(err, failure.Conflict) {
		return nil, conflict(err, parent, draft)
	}
	if err != nil || accepted != nil {
		return accepted, err
	}
	value, err := encode(next)
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
		// The answer may belong to an earlier write of this same edit.
		return e.readBack(ctx, base, draft, err)
	}
	if err != nil {
		return nil, err
	}
	e.sync.ApplyIfNewer(next)
	return &next.Edits[0], nil
}

func encode(snapshot *table.Snapshot) (json.RawMessage, error) {
	value, err := json.Marshal(snapshot)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this", "the tables cannot be encoded")
	}
	if len(value) > maxTablesBytes {
		return nil, failure.New(failure.Invalid, "remove rows or shorten them", "the tables take %d bytes, more than the store's %d", len(value), maxTablesBytes)
	}
	return value, nil
}

func conflict(cause error, current *table.Snapshot, draft table.Draft) error {
	return &ConflictError{cause: cause, Conflict: Conflict{
		ExpectedRevision: draft.Expected,
		CurrentRevision:  current.Revision,
		Author:           current.Author,
		Diff:             tabletext.Diff(&current.Tables, &draft.Tables),
	}}
}

// readBack resolves a write whose answer was lost: the stored tables name the
// edits that made them.
func (e *Editor) readBack(ctx context.Context, base stored, draft table.Draft, cause error) (*table.EditRecord, error) {
	for range readBackTries {
		now, err := e.read(ctx)
		switch {
		case err != nil || now.version < base.version:
			// No answer, or one from before this edit was begun.
		case now.version == base.version && failure.Is(cause, failure.Unknown):
			// The write may still be under way.
		case now.version == base.version:
			// A conflict with a version that is not to be seen yet.
		default:
			return e.resolve(now, draft)
		}
		if pause(ctx, readBackPause) != nil {
			break
		}
	}
	return nil, failure.Wrap(cause, failure.Unknown, "send the edit again under the edit ID "+draft.ID,
		"it cannot be told whether the edit was accepted")
}

// resolve tells what became of draft, now that the object has changed.
func (e *Editor) resolve(now stored, draft table.Draft) (*table.EditRecord, error) {
	_, accepted, err := table.Next(now.snapshot, draft)
	switch {
	case accepted != nil:
		return accepted, nil
	case failure.Is(err, failure.Conflict):
		return nil, conflict(err, now.snapshot, draft)
	case err != nil:
		return nil, err
	}
	return nil, failure.New(failure.NotReachable, "send the edit again", "the store did not take the edit")
}

// read returns the stored tables and puts them in force when they are newer.
func (e *Editor) read(ctx context.Context) (stored, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := e.store.Get(ctx, tablesync.ObjectKind, tablesync.ObjectName)
	if failure.Is(err, failure.NotFound) {
		return stored{snapshot: &table.Snapshot{}}, nil
	}
	if err != nil {
		return stored{}, err
	}
	snapshot, err := tablesync.Decode(object)
	if err != nil {
		return stored{}, err
	}
	e.sync.ApplyIfNewer(snapshot)
	return stored{version: object.Version, snapshot: snapshot}, nil
}

func pause(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.NotReachable, "send the request again", "the request was given up")
	case <-time.After(wait):
		return nil
	}
}
