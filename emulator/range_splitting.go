package emulator

import (
	"encoding/json"

	"github.com/grebedock/grebedock/scheduler"
)

// splitNewRanges splits the ranges in the records of new jobs into ranges of at most MaxRangeTasks tasks,
// as a state service with smaller values would make the member do. It changes the member's requests in
// place, so the member caches each record as it is stored. A gang keeps its range, because the scheduler
// accepts no gang that needs several.
func (sim *Simulation) splitNewRanges(ops []scheduler.StoreOp) {
	if sim.options.MaxRangeTasks == 0 {
		return
	}
	for _, op := range ops {
		created := map[string]bool{}
		for _, precondition := range op.Preconditions {
			created[precondition.Key] = precondition.Revision == 0
		}
		for i := range op.Changes {
			change := &op.Changes[i]
			if KeyKind(change.Key) == "l/j/" && created[change.Key] && change.Value != nil {
				change.Value = splitRecord(change.Value, sim.options.MaxRangeTasks)
			}
		}
	}
}

// splitRecord returns a job's record with ranges of at most maxTasks tasks.
func splitRecord(value json.RawMessage, maxTasks int) json.RawMessage {
	fields := map[string]json.RawMessage{}
	var job scheduler.Job
	var ranges []scheduler.Range
	mustDecode(value, &fields)
	mustDecode(fields["job"], &job)
	mustDecode(fields["ranges"], &ranges)
	if job.Kind == scheduler.Gang {
		return value
	}
	var split []scheduler.Range
	for _, whole := range ranges {
		for lo := whole.Lo; lo < whole.Hi; lo += maxTasks {
			part := whole
			part.Lo, part.Hi = lo, min(lo+maxTasks, whole.Hi)
			split = append(split, part)
		}
	}
	fields["ranges"] = mustEncode(split)
	return mustEncode(fields)
}

// mustDecode decodes JSON that a member has encoded. An error is a bug.
func mustDecode(value json.RawMessage, target any) {
	if err := json.Unmarshal(value, target); err != nil {
		panic(err)
	}
}

// mustEncode encodes a value as JSON. An error is a bug.
func mustEncode(value any) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
