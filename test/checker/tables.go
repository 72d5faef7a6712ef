package checker

import (
	"encoding/json"
	"time"

	"github.com/anishathalye/porcupine"

	"plantainrelay/internal/table"
	"plantainrelay/internal/tablesync"
)

// checkEdits checks G7.
func checkEdits(h *History, bound time.Duration) *GuaranteeResult {
	j := &GuaranteeResult{Name: "G7", Text: "all instances hold accepted edits within seconds and never revert them"}
	accepted, refused, uncertain := j.newCount("accepted"), j.newCount("refused"), j.newCount("uncertain")
	lost, applied := j.newViolation("accepted edits lost"), j.newViolation("refused edits in the store")
	written := writtenEdits(h)
	for _, edit := range h.Edits {
		revision, found := written[edit.ID]
		switch edit.Result {
		case Accepted:
			accepted.N++
			if !found || revision != edit.Revision {
				lost.record("edit %s was accepted as revision %d; its revision in the store is %d", edit.ID, edit.Revision, revision)
			}
		case Refused:
			refused.N++
			if found {
				applied.record("edit %s was refused (%s); it is revision %d in the store", edit.ID, edit.Detail, revision)
			}
		default:
			uncertain.N++
		}
	}
	histories := j.newViolation("edit histories that are not linearizable")
	if !linearizable(h.Edits) {
		histories.record("%d edits", len(h.Edits))
	}
	countReverts(h, j)
	countLateEdits(h, j, bound)
	return j
}

func writtenEdits(h *History) map[string]int64 {
	written := map[string]int64{}
	for _, write := range h.Writes {
		var snapshot table.Snapshot
		if write.Kind != tablesync.ObjectKind || write.Name != tablesync.ObjectName || json.Unmarshal(write.Value, &snapshot) != nil {
			continue
		}
		if _, found := written[snapshot.EditID]; !found {
			written[snapshot.EditID] = snapshot.Revision
		}
	}
	return written
}

// linearizable checks the accepted edits against conditionalWrites.
func linearizable(edits []Edit) bool {
	var operations []porcupine.Operation
	for _, edit := range edits {
		if edit.Result != Accepted {
			continue
		}
		operations = append(operations, porcupine.Operation{
			ClientId: edit.Operator,
			Input:    edit.Expected,
			Output:   edit.Revision,
			Call:     edit.Sent.UnixNano(),
			Return:   edit.Ended.UnixNano(),
		})
	}
	return porcupine.CheckOperations(conditionalWrites, operations)
}

// conditionalWrites models a register with compare-and-set on the revision.
// Edits with an uncertain result may have been applied between two accepted
// ones, so the expected revision may be newer than the last accepted one.
var conditionalWrites = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		expected, revision := input.(int64), output.(int64)
		return expected >= state.(int64) && revision > expected, revision
	},
}

// countReverts counts the observations of an older revision than the instance held
// before.
func countReverts(h *History, j *GuaranteeResult) {
	observed, reverted := j.newCount("observations"), j.newViolation("reverts")
	newest := map[string]Observation{}
	for _, seen := range h.Observations {
		observed.N++
		if seen.Revision == 0 {
			continue
		}
		before := newest[seen.Instance]
		if seen.Revision < before.Revision {
			reverted.record("%s went from revision %d to %d (process %d, before %d)", seen.Instance, before.Revision, seen.Revision, seen.Process, before.Process)
			continue
		}
		newest[seen.Instance] = seen
	}
}

// countLateEdits counts accepted edits that an instance did not hold in time. For a
// process that started after the edit, the bound counts from its start.
// Observations within the bound after a fault that stopped, paused or
// disconnected the instance are skipped.
func countLateEdits(h *History, j *GuaranteeResult, bound time.Duration) {
	missed := j.newViolation("not held within " + bound.String())
	for _, edit := range h.Edits {
		if edit.Result != Accepted {
			continue
		}
		reported := map[string]bool{}
		for _, seen := range h.Observations {
			due := laterOf(edit.Ended, seen.Started).Add(bound)
			if seen.Revision >= edit.Revision || seen.At.Before(due) || reported[seen.Instance] {
				continue
			}
			if h.wasDisturbed(seen.Instance, seen.At.Add(-bound), seen.At) {
				continue
			}
			reported[seen.Instance] = true
			missed.record("%s in %s still held revision %d, %s after revision %d was accepted", seen.Instance, seen.AvailabilityZone,
				seen.Revision, seen.At.Sub(edit.Ended).Round(time.Millisecond), edit.Revision)
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
