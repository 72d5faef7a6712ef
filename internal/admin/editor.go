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

// Editor writes the tables to the store and puts them in force.
type Editor struct {
	store platform.ObjectStore
	sync  *tablesync.Sync
}

// NewEditor returns an editor over store that offers accepted tables to sync.
func NewEditor(store platform.ObjectStore, sync *tablesync.Sync) *Editor {
	return &Editor{store: store, sync: sync}
}

// Apply checks an edit, writes it and returns the accepted snapshot. It
// returns failure.Invalid for tables that break a rule, failure.Conflict when
// another edit came first, failure.NotReachable when the store did not take
// the edit and failure.Unknown when it cannot be told whether it did.
func (e *Editor) Apply(ctx context.Context, author string, edit Edit) (*table.Snapshot, error) {
	if err := table.Invalid(table.Validate(&edit.Tables)); err != nil {
		return nil, err
	}
	if edit.ID == "" {
		edit.ID = uuid.NewString()
	}
	snapshot := &table.Snapshot{EditID: edit.ID, Author: author, Tables: edit.Tables}
	value, err := json.Marshal(snapshot)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this", "the tables cannot be encoded")
	}
	if len(value) > maxTablesBytes {
		return nil, failure.New(failure.Invalid, "remove rows or shorten them", "the tables take %d bytes, more than the store's %d", len(value), maxTablesBytes)
	}
	object, err := e.write(ctx, edit, value)
	if err != nil {
		return nil, err
	}
	snapshot.Revision = object.Version
	e.sync.Offer(snapshot)
	return snapshot, nil
}

func (e *Editor) write(ctx context.Context, edit Edit, value json.RawMessage) (platform.Object, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := e.store.Put(call, tablesync.ObjectKind, tablesync.ObjectName, value, edit.ExpectedRevision)
	if !failure.Is(err, failure.Unknown) && !failure.Is(err, failure.Conflict) {
		return object, err
	}
	// The answer may belong to an earlier write of this same edit.
	return e.readBack(ctx, edit, err)
}

// readBack resolves a write whose answer was lost by comparing the edit IDs.
func (e *Editor) readBack(ctx context.Context, edit Edit, cause error) (platform.Object, error) {
	for range readBackTries {
		object, stored, err := e.read(ctx)
		switch {
		case err == nil && stored.EditID == edit.ID:
			return object, nil
		case err == nil && object.Version != edit.ExpectedRevision:
			return object, failure.New(failure.Conflict, "read the tables again and repeat the edit",
				"the tables are at revision %d, the edit expected %d", object.Version, edit.ExpectedRevision)
		case err == nil:
			return object, failure.New(failure.NotReachable, "send the edit again", "the store did not take the edit")
		}
		select {
		case <-ctx.Done():
			return platform.Object{}, cause
		case <-time.After(readBackPause):
		}
	}
	return platform.Object{}, cause
}

func (e *Editor) read(ctx context.Context) (platform.Object, *table.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := e.store.Get(ctx, tablesync.ObjectKind, tablesync.ObjectName)
	if failure.Is(err, failure.NotFound) {
		return platform.Object{}, &table.Snapshot{}, nil
	}
	if err != nil {
		return object, nil, err
	}
	snapshot, err := tablesync.Decode(object)
	return object, snapshot, err
}
