package admin

import (
	"context"
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/table"
)

// lostWrites is a store whose writes have no effect and an unknown outcome; the first
// one ends the call that made it. Reads return archived once a write has been tried.
type lostWrites struct {
	platform.ObjectStore
	archived []byte
	tried    bool
	end      context.CancelFunc
}

func (s *lostWrites) Get(context.Context, string, string) (platform.Object, error) {
	if !s.tried {
		return platform.Object{}, failure.New(failure.NotFound, "", "no object")
	}
	return platform.Object{Version: 1, Value: s.archived}, nil
}

func (s *lostWrites) Put(context.Context, string, string, json.RawMessage, int64) (platform.Object, error) {
	s.tried = true
	s.end()
	return platform.Object{}, failure.New(failure.Unknown, "", "the answer was lost")
}

// TestArchiveWithOtherTablesIsNotConfirmed covers a history slot that holds other tables
// under the same revision, as after a restore of the store: to take it for the archive
// loses the tables that are replaced, and a rollback would bring back the others.
func TestArchiveWithOtherTablesIsNotConfirmed(t *testing.T) {
	c := qt.New(t)
	replaced := table.Snapshot{Revision: 7, EditID: "a", Tables: table.Tables{Routes: []table.Route{{Name: "lookup"}}}}
	otherTables, otherEdit, newer := replaced, replaced, replaced
	otherTables.Routes = nil
	otherEdit.EditID = "b"
	newer.Revision += historySlots
	for _, archived := range []table.Snapshot{replaced, otherTables, otherEdit, newer} {
		value, err := json.Marshal(archived)
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		editor := &Editor{store: &lostWrites{archived: value, end: cancel}}
		err = editor.archive(ctx, &replaced)
		same := archived.EditID == "a" && archived.Revision == 7 && len(archived.Routes) == 1
		c.Check(err == nil, qt.Equals, same, qt.Commentf("%s: %v", value, err))
		cancel()
	}
}
