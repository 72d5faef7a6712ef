package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/table"
)

const (
	// historyKind is the kind of the store objects that hold replaced revisions.
	historyKind = "table-history"
	// historySlots is the number of replaced revisions that are kept.
	historySlots = 64
)

func historySlotName(revision int64) string {
	return "slot-" + strconv.FormatInt(revision%historySlots, 10)
}

// archive writes a revision that is about to be replaced to the history. This
// happens before its successor is written, so that the history has no gaps.
func (e *Editor) archive(ctx context.Context, snapshot *table.Snapshot) error {
	if snapshot.Revision == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, archived, err := e.readHistorySlot(ctx, snapshot.Revision)
	if err != nil {
		return err
	}
	value, err := json.Marshal(snapshot)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "report this", "the tables cannot be encoded")
	}
	if encodesTo(archived, value) {
		return nil
	}
	_, err = e.store.Put(ctx, historyKind, historySlotName(snapshot.Revision), value, object.Version)
	if failure.Is(err, failure.Conflict) || failure.Is(err, failure.Unknown) {
		return e.confirmArchived(ctx, snapshot.Revision, value, err)
	}
	return err
}

// confirmArchived checks whether a write of value to the history with an unknown
// outcome took effect. Another editor may have archived the same revision. The slot may
// also hold other tables of that revision, from before the store was restored.
func (e *Editor) confirmArchived(ctx context.Context, revision int64, value []byte, cause error) error {
	for range storeReadAttempts {
		_, archived, err := e.readHistorySlot(ctx, revision)
		if err == nil && encodesTo(archived, value) {
			return nil
		}
		if err := sleep(ctx, storeReadInterval); err != nil {
			break
		}
	}
	return failure.Wrap(cause, failure.NotReachable, "send the edit again", "the history could not be written; nothing was changed")
}

func encodesTo(snapshot *table.Snapshot, value []byte) bool {
	encoded, err := json.Marshal(snapshot)
	return err == nil && bytes.Equal(encoded, value)
}

func (e *Editor) readHistorySlot(ctx context.Context, revision int64) (platform.Object, *table.Snapshot, error) {
	object, err := e.store.Get(ctx, historyKind, historySlotName(revision))
	if failure.Is(err, failure.NotFound) {
		return platform.Object{}, &table.Snapshot{}, nil
	}
	if err != nil {
		return object, nil, err
	}
	archived := &table.Snapshot{}
	if err := json.Unmarshal(object.Value, archived); err != nil {
		// A slot that cannot be decoded is treated as empty and overwritten.
		return object, &table.Snapshot{}, nil
	}
	return object, archived, nil
}

// Rollback is a request to restore the tables of an earlier revision as a new
// revision.
type Rollback struct {
	ID               string `json:"edit_id"`
	ExpectedRevision int64  `json:"expected_revision"`
	// Revision is the revision to restore.
	Revision int64 `json:"revision"`
}

// Rollback puts the tables of an earlier revision in force as a new revision.
func (e *Editor) Rollback(ctx context.Context, author string, rollback Rollback) (*table.EditRecord, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, archived, err := e.readHistorySlot(call, rollback.Revision)
	if err != nil {
		return nil, err
	}
	if archived.Revision != rollback.Revision || rollback.Revision == 0 {
		return nil, failure.New(failure.NotFound, "choose one of the last revisions from plantainctl table history",
			"revision %d is not in the history of the last %d replaced revisions", rollback.Revision, historySlots)
	}
	return e.Apply(ctx, author, Edit{ID: rollback.ID, ExpectedRevision: rollback.ExpectedRevision, Tables: archived.Tables})
}
