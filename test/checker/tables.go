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
	result := &GuaranteeResult{Name: "G7", Text: "all instances hold accepted edits within seconds and never revert them"}
	accepted, refused, uncertain := result.newCount("accepted"), result.newCount("refused"), result.newCount("uncertain")
	lost, applied := result.newViolation("accepted edits lost"), result.newViolation("refused edits in the store")
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
	histories := result.newViolation("edit histories that are not linearizable")
	if !linearizable(h.Edits) {
		histories.record("%d edits", len(h.Edits))
	}
	countReverts(h, result)
	countLateEdits(h, result, bound)
	return result
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

// countReverts counts observations of an older revision than the instance held before.
func countReverts(h *History, result *GuaranteeResult) {
	observed, reverted := result.newCount("observations"), result.newViolation("reverts")
	newest := map[string]Observation{}
	for _, observation := range h.Observations {
		observed.N++
		if observation.Revision == 0 {
			continue
		}
		before := newest[observation.Instance]
		if observation.Revision < before.Revision {
			reverted.record("%s went from revision %d to %d (process %d, before %d)", observation.Instance, before.Revision, observation.Revision, observation.Process, before.Process)
			continue
		}
		newest[observation.Instance] = observation
	}
}

// countLateEdits counts accepted edits that an instance did not hold in time. For a
// process started after the edit, the bound counts from its start. Observations within
// the bound after the instance was stopped, paused or disconnected are skipped.
func countLateEdits(h *History, result *GuaranteeResult, bound time.Duration) {
	missed := result.newViolation("not held within " + bound.String())
	for _, edit := range h.Edits {
		if edit.Result != Accepted {
			continue
		}
		reported := map[string]bool{}
		for _, observation := range h.Observations {
			due := laterOf(edit.Ended, observation.Started).Add(bound)
			if observation.Revision >= edit.Revision || observation.At.Before(due) || reported[observation.Instance] {
				continue
			}
			if h.wasDisturbed(observation.Instance, observation.At.Add(-bound), observation.At) {
				continue
			}
			reported[observation.Instance] = true
			missed.record("%s in %s still held revision %d, %s after revision %d was accepted", observation.Instance, observation.AvailabilityZone,
				observation.Revision, observation.At.Sub(edit.Ended).Round(time.Millisecond), edit.Revision)
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
