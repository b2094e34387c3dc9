package scheduler

import (
	"testing"

	"github.com/grebedock/grebedock/reconcile"
)

// newControllerWithZones returns a member that owns its own shard, with the machine i-1 in zone a and the machine
// i-3 in zone b, of 8 CPUs each.
func newControllerWithZones(t *testing.T) (*Controller, *shard) {
	t.Helper()
	ctrl, s, _ := newControllerWithShard(t)
	machineType := smallMachineType()
	machineType.Zones = []string{"a", "b"}
	ctrl.cache.setMachineTypes([]MachineType{machineType})
	page := registryRecord{Shard: "m0", Type: "small", Zone: "b", MachineIDs: []string{"i-3"}}
	putRecord(ctrl, registryPrefix+"1-3", page, 13)
	putRecord(ctrl, liveMachinesPrefix+"m0/2", liveMachinesRecord{[]string{"i-3"}}, 13)
	return ctrl, s
}

// startsAfterHeartbeat returns how many tasks the response to a machine's heartbeat starts.
func startsAfterHeartbeat(ctrl *Controller, machineID, zone string, seq uint64, tasks ...TaskStatus) (starts int) {
	hb := testHeartbeat(machineID, seq, 11, tasks...)
	hb.Zone = zone
	ctrl.HandleHeartbeat(ctrl.now, 9, hb)
	for _, command := range ctrl.TakeOutputs().HeartbeatResponses[9].Commands {
		if command.Kind == CommandStart {
			starts++
		}
	}
	return starts
}

// Guards against wrong_place: a job with a zone constraint has two ranges in a shard. The tasks of the first one, in
// zone a or on an unreported machine, did not count when a task of the second one started.
func TestZoneConstraintsCountTasksOfAllRanges(t *testing.T) {
	for _, c := range []struct {
		name                 string
		constraint           func(*Job)
		running              []string // tasks on i-1
		unreportedRange      string   // range in the ledger entry of an unreported machine
		startsInA, startsInB int
	}{
		{name: "one zone", constraint: func(j *Job) { j.OneZone = true }, running: []string{"/0"}, startsInA: 5},
		{name: "one zone, nothing runs", constraint: func(j *Job) { j.OneZone = true }, startsInB: 6},
		{
			name:       "spread",
			constraint: func(j *Job) { j.Spread = true },
			running:    []string{"/0", "/1"},
			startsInA:  1,
			startsInB:  3,
		},
		{name: "spread, nothing runs", constraint: func(j *Job) { j.Spread = true }, startsInA: 3, startsInB: 3},
		{name: "no constraint", constraint: func(*Job) {}, running: []string{"/0"}, startsInB: 5},
		{name: "one zone, unreported", constraint: func(j *Job) { j.OneZone = true }, unreportedRange: "/0"},
		{name: "spread, unreported", constraint: func(j *Job) { j.Spread = true }, unreportedRange: "/0"},
		{name: "no constraint, unreported", constraint: func(*Job) {}, unreportedRange: "/0", startsInB: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctrl, s := newControllerWithZones(t)
			rec := newTestJobRecord(Range{0, 2, "m0", false}, Range{2, 6, "m0", false})
			c.constraint(&rec.Job)
			id := rec.Job.ID
			putRecord(ctrl, jobKey(id), rec, 40)
			if c.unreportedRange != "" {
				unreported := addUnreportedMachine(ctrl, false)
				entry := reconcile.UnreachableMachine{Ranges: []string{id + c.unreportedRange}}
				s.reconciler.Ledger.Restore(map[string]reconcile.UnreachableMachine{unreported.id: entry})
				for _, tr := range ctrl.cache.jobs[id].taskRanges {
					tr.recovered = true
				}
			}
			var running []TaskStatus
			for i, suffix := range c.running {
				running = append(running, TaskStatus{Task: id + suffix, Attempt: uint64(9+i) << 28, State: "running"})
			}
			startsAfterHeartbeat(ctrl, "i-3", "b", 3) // both machines are reconciled before the plan
			startsAfterHeartbeat(ctrl, "i-1", "a", 4, running...)
			ctrl.placer.planShard(s)
			inB := startsAfterHeartbeat(ctrl, "i-3", "b", 4)
			inA := startsAfterHeartbeat(ctrl, "i-1", "a", 5, running...)
			if inA != c.startsInA || inB != c.startsInB {
				t.Errorf("%d starts in zone a and %d in zone b, want %d and %d", inA, inB, c.startsInA, c.startsInB)
			}
		})
	}
}
