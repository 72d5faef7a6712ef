package table

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainrelay/internal/failure"
)

// MaxEditRecords is the number of past edits recorded in a snapshot.
const MaxEditRecords = 32

// EditRecord describes one accepted edit.
type EditRecord struct {
	Revision int64  `json:"revision"`
	EditID   string `json:"edit_id"`
	Author   string `json:"author"`
	// At is the time of the edit by the clock of the entry that received it.
	At time.Time `json:"at"`
	// Content is a hash of the tables. It distinguishes a repeated edit from a
	// different one with the same ID.
	Content string `json:"content"`
}

// Draft is an edit that has passed validation.
type Draft struct {
	ID     string
	Author string
	At     time.Time
	// Expected is the revision on which the operator based the edit.
	Expected int64
	Tables   Tables
}

// ApplyDraft applies a draft to base, the stored snapshot. It returns the snapshot to
// be written, or the record of the edit when the same edit was accepted before. It
// returns failure.Conflict when base is not the revision that the draft expects, and
// failure.Invalid when the ID belongs to a different edit.
func ApplyDraft(base *Snapshot, draft Draft) (*Snapshot, *EditRecord, error) {
	content := ContentHash(&draft.Tables)
	for i, record := range base.Edits {
		if record.EditID != draft.ID {
			continue
		}
		if record.Content != content {
			return nil, nil, failure.New(failure.Invalid, "choose another edit ID",
				"the edit ID %s was already used for revision %d with different tables", draft.ID, record.Revision)
		}
		return nil, &base.Edits[i], nil
	}
	if base.Revision != draft.Expected {
		return nil, nil, failure.New(failure.Conflict, "read the tables again and repeat the edit",
			"the tables are at revision %d, but the edit expects revision %d", base.Revision, draft.Expected)
	}
	record := EditRecord{Revision: base.Revision + 1, EditID: draft.ID, Author: draft.Author, At: draft.At, Content: content}
	next := &Snapshot{Revision: record.Revision, EditID: draft.ID, Author: draft.Author, Tables: draft.Tables}
	kept := base.Edits[:min(len(base.Edits), MaxEditRecords-1)]
	next.Edits = append([]EditRecord{record}, kept...)
	return next, nil, nil
}

// ContentHash returns the hash of the tables that EditRecord.Content holds.
func ContentHash(tables *Tables) string {
	raw, err := json.Marshal(tables)
	if err != nil {
		return ""
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(raw))
}
