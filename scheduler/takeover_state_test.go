package scheduler

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/grebedock/grebedock/reconcile"
)

// addSilentMachine adds a machine that is listed as up and has not spoken.
func addSilentMachine(ctrl *Controller, spot bool) *machine {
	ctrl.cache.applyChange(
		KeyValue{
			Key:   registryPrefix + "1-2",
			Value: mustEncode(registryRecord{Shard: "m0", Type: "small", Zone: "a", Spot: spot, MachineIDs: []string{"i-2"}}),
			Rev:   30,
		},
	)
	ctrl.cache.applyChange(
		KeyValue{Key: liveMachinesPrefix + "m0/1", Value: mustEncode(liveMachinesRecord{[]string{"i-2"}}), Rev: 31},
	)
	return ctrl.registry.machines["i-2"]
}

// One machine that is not heard holds up what it may have: of a team's limit its
// own size, of ranges those that are allowed there; with a note, what that says.
func TestSilentMachineBlocksOnlyTasksItMayRun(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	ctrl.params.Teams = map[string]Team{"ops": {MaxCPUs: 12}, "": {}}
	ctrl.quotas.initTeamLedgers()
	addSilentMachine(ctrl, true)
	addJob := func(id string, spotRange bool) *taskRange {
		rec := newTestJobRecord(Range{Lo: 0, Hi: 4, Shard: "m0"})
		rec.Job.ID, rec.Job.Spot, rec.Job.Team = id, spotRange, "ops"
		ctrl.cache.applyChange(KeyValue{Key: jobKey(id), Value: mustEncode(rec), Rev: 40})
		tr := ctrl.cache.jobs[id].taskRanges[0]
		tr.recovered = true
		return tr
	}
	spotRange, onDemandRange := addJob("job-000001", true), addJob("job-000002", false)
	if free, _ := ctrl.quotas.teamHeadroom(s, "ops"); free.CPUs != 4 {
		t.Errorf("of 12 processors, with 8 unseen, %v are left", free.CPUs)
	}
	if !ctrl.agents.isBlockedByUnreported(s, spotRange) || ctrl.agents.isBlockedByUnreported(s, onDemandRange) {
		t.Error("work that spot machines may not have waits for one, or work that it may have does not")
	}
	for _, ranges := range [][]string{{"job-000009/0"}, {spotRange.name()}} {
		s.reconciler.Ledger.Restore(
			map[string]reconcile.UnreachableMachine{
				"i-2": {Ranges: ranges, UsageByTeam: map[string]reconcile.ResourceUsage{"ops": {CPUs: 2}}},
			},
		)
		spotRange.recovered = true
		if blocked, expected := ctrl.agents.isBlockedByUnreported(s, spotRange), ranges[0] == spotRange.name(); blocked != expected {
			t.Errorf("with a note that names %v, it waits: %v", ranges, blocked)
		}
	}
	if free, _ := ctrl.quotas.teamHeadroom(s, "ops"); free.CPUs != 10 {
		t.Errorf("with a note of 2 processors, %v of 12 are left", free.CPUs)
	}
	// A stray's machine weighs what it has beside tasks that are known.
	ctrl.HandleHeartbeat(
		ctrl.now,
		5,
		Heartbeat{Machine: "i-2", Addr: "y", Type: "small", Zone: "a", Spot: true, Incarnation: 1, Seq: 1, Token: 11,
			Tasks: []TaskStatus{
				{Task: "job-000077/0", Attempt: 3, State: "running"},
				{Task: spotRange.name(), Attempt: 4, State: "running"},
			}},
	)
	if free, _ := ctrl.quotas.teamHeadroom(s, "ops"); free.CPUs != 12-1-7 {
		t.Errorf("with one task known and one stray on 8 processors, %v of 12 are left", free.CPUs)
	}
}

// takeMemoryWrite is the write of a shard's memory among a member's outputs.
func takeMemoryWrite(ctrl *Controller) (StoreOp, recoveryRecord, bool) {
	for _, op := range ctrl.TakeOutputs().StoreOps {
		if op.Kind == StoreTxn && len(op.Changes) == 1 && strings.HasSuffix(op.Changes[0].Key, "/memory") {
			var rec recoveryRecord
			if err := json.Unmarshal(op.Changes[0].Value, &rec); err != nil {
				panic(err)
			}
			return op, rec, true
		}
	}
	return StoreOp{}, recoveryRecord{}, false
}

// A machine that misses its reports is written down with what it holds. Nothing
// starts there from then on until a record without it is certain to be stored.
func TestMachineIsUnusableUntilItsStoredEntryIsRemoved(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	ctrl.params.Recovery = true
	for i := range 3 { // so that one is few
		id := fmt.Sprintf("i-%d", 5+i)
		ctrl.cache.applyChange(
			KeyValue{
				Key:   registryPrefix + id,
				Value: mustEncode(registryRecord{Shard: "m0", Type: "small", Zone: "a", MachineIDs: []string{id}}),
				Rev:   uint64(20 + i),
			},
		)
	}
	ctrl.cache.applyChange(
		KeyValue{Key: jobKey("job-000001"), Value: mustEncode(newTestJobRecord(Range{Lo: 0, Hi: 2, Shard: "m0"})), Rev: 40},
	)
	seq := uint64(3)
	heartbeat := func(tasks ...TaskStatus) HeartbeatResponse {
		seq++
		ctrl.HandleHeartbeat(
			ctrl.now,
			9,
			Heartbeat{Machine: "i-1", Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Seq: seq, Token: 11, Tasks: tasks},
		)
		return ctrl.outputs.HeartbeatResponses[9]
	}
	running := TaskStatus{Task: "job-000001/0", Attempt: 9 << 28, State: "running"}
	heartbeat(running)
	advance := func(elapsedMS int64) {
		for range elapsedMS / 100 {
			ctrl.now.MonotonicMS += 100
			ctrl.now.WallMS += 100
			ctrl.store.storeAccess.SetState(1, ctrl.now.MonotonicMS, ctrl.now.MonotonicMS)
			ctrl.agents.tickReconcile(s)
		}
	}
	advance(ctrl.maxHeartbeatIntervalMS() / 2)
	if _, _, wrote := takeMemoryWrite(ctrl); wrote {
		t.Fatal("a machine that is well is written down")
	}
	advance(ctrl.maxHeartbeatIntervalMS())
	op, rec, wrote := takeMemoryWrite(ctrl)
	if !wrote || len(rec.Unreachable["i-1"].Ranges) != 1 || rec.Unreachable["i-1"].UsageByTeam[""].CPUs != 1 ||
		ctrl.agents.isSchedulable(mc) {
		t.Fatalf("written: %v %+v, usable %v", wrote, rec, ctrl.agents.isSchedulable(mc))
	}
	ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Rev: 50})
	if heartbeat(running); ctrl.agents.isSchedulable(mc) {
		t.Fatal("it speaks, and is used while the store says less than it may hold")
	}
	advance(ctrl.progressWriteInterval() + 200)
	op, rec, wrote = takeMemoryWrite(ctrl)
	if !wrote || len(rec.Unreachable) != 0 || ctrl.agents.isSchedulable(mc) {
		t.Fatalf("written: %v %+v, usable %v", wrote, rec, ctrl.agents.isSchedulable(mc))
	}
	// An answer that did not come proves nothing.
	ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Outcome: Unknown})
	read := ctrl.TakeOutputs().StoreOps[0]
	ctrl.HandleStoreResult(
		ctrl.now,
		read.ID,
		StoreResult{Rev: 51, KVs: []KeyValue{{Key: read.Key, Value: op.Changes[0].Value, Rev: 51}}},
	)
	if ctrl.agents.isSchedulable(mc) {
		t.Fatal("used after a write whose outcome is not certain")
	}
	heartbeat(running)
	advance(ctrl.progressWriteInterval() + 200)
	op, _, wrote = takeMemoryWrite(ctrl)
	if !wrote || op.Preconditions[1].Revision != 51 {
		t.Fatalf("not written again: %v %+v", wrote, op)
	}
	ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Rev: 60})
	if !ctrl.agents.isSchedulable(mc) {
		t.Error("not used though the store is rid of its note")
	}
}

// What a claim learnt serves the next: how long classes take, and when a task that
// goes on was started; what is left of that is not taken for all of its run.
func TestRuntimeEstimatesSurviveTakeover(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	ctrl.params.Recovery = true
	ctrl.estimates.runtimeCorrections["c"] = &runtimeCorrection{ratio: 2.5, samples: 30}
	s.recovery.writeState.nextWriteAt, s.recovery.nextRuntimeWriteAtMS = 0, 0
	ctrl.agents.writeRecoveryRecord(s)
	op, _, wrote := takeMemoryWrite(ctrl)
	if !wrote {
		t.Fatal("lengths are not written")
	}
	attemptNumber := s.attemptIDs.Next(ctrl.now.WallMS)
	successor, successorShard, _ := newControllerWithShard(t)
	successor.now = Now{ctrl.now.MonotonicMS, ctrl.now.WallMS + 20_000}
	successor.agents.restoreRecoveryRecord(successorShard, KeyValue{Key: op.Changes[0].Key, Value: op.Changes[0].Value, Rev: 70})
	j := newTestJobRecord(Range{Lo: 0, Hi: 2, Shard: "m0"})
	j.Job.Class, j.Job.EstimateS = "c", 10
	successor.cache.applyChange(KeyValue{Key: jobKey("job-000001"), Value: mustEncode(j), Rev: 40})
	if estimateMS := successor.estimates.expectedRuntime(&successor.cache.jobs["job-000001"].rec.Job); estimateMS != 25_000 {
		t.Errorf("an estimate of 10 s is taken for %d ms", estimateMS)
	}
	heartbeat := func(seq uint64, state string) {
		successor.HandleHeartbeat(
			successor.now,
			9,
			Heartbeat{Machine: "i-1", Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Seq: seq, Token: 11,
				Tasks: []TaskStatus{{Task: "job-000001/0", Attempt: attemptNumber, State: state, Reason: "done"}}},
		)
	}
	heartbeat(10, "running")
	attempt := successorShard.machines[0].attempts[attemptKey{"job-000001/0", attemptNumber}]
	if attempt == nil || successor.now.WallMS-attempt.placedAt < 19_000 || successor.now.WallMS-attempt.placedAt > 21_000 {
		t.Fatalf("a task that was started 20 s ago: %+v", attempt)
	}
	if remainingMS := attempt.expectedEnd(successor.now.WallMS) - successor.now.WallMS; remainingMS > 6500 ||
		remainingMS < 3500 {
		t.Errorf("it is expected to go on for %d ms", remainingMS)
	}
	successor.now.WallMS += 1000
	heartbeat(11, "exited")
	if estimate := successor.estimates.runtimeCorrections["c"]; estimate.samples != 30 || estimate.ratio != 2.5 {
		t.Errorf("what was left of it counts as its length: %+v", estimate)
	}
}

// A claim over 10,000 machines that all report within one interval: the orders that
// follow keep to the line, and the store is asked for next to nothing.
func TestTenThousandHeartbeatsInOneIntervalArePaced(t *testing.T) {
	const machines = 10_000
	ctrl, oldShard := newControllerWithFleet(t, machines, 300)
	ctrl.params.Objectives, ctrl.params.HeartbeatS, ctrl.params.Recovery = nil, 3, true // nothing that passes the line
	tasks := map[string][]TaskStatus{}
	for _, mc := range oldShard.machines {
		for k := range mc.attempts {
			tasks[mc.id] = append(tasks[mc.id], TaskStatus{Task: k.task, Attempt: k.attempt, State: "running"})
		}
	}
	delete(ctrl.shards.ownedShards, "m0")
	ctrl.shards.dropShard(oldShard)
	for _, j := range ctrl.cache.jobs {
		j.taskRanges = map[int]*taskRange{}
	}
	ctrl.cache.mirrorRevision = 90_000
	ctrl.now.MonotonicMS += 5000
	s := ctrl.shards.newShard("m0", 8, 80_000)
	ctrl.shards.ownedShards["m0"] = s
	ctrl.shards.takeOverShard(s)
	s.progressRead = true
	ctrl.TakeOutputs()
	starts, ops := 0, 0
	beginMS := ctrl.now.MonotonicMS
	for round := range uint64(3) { // told our token, squared, and in use again
		for i, mc := range s.machines {
			ctrl.now.MonotonicMS = beginMS + int64(round)*1000 + int64(i)/10
			if i%1000 == 0 {
				ctrl.store.storeAccess.SetState(1, ctrl.now.MonotonicMS, ctrl.now.MonotonicMS)
				ctrl.shards.tickShard(s)
			}
			token := s.token
			if round == 0 {
				token = 5
			}
			ctrl.HandleHeartbeat(
				ctrl.now,
				uint64(i),
				Heartbeat{
					Machine:     mc.id,
					Addr:        "x",
					Type:        mc.rec.Type,
					Zone:        "a",
					Spot:        mc.rec.Spot,
					Incarnation: 1,
					Seq:         100 + round,
					Token:       token,
					Tasks:       tasks[mc.id],
				},
			)
			outputs := ctrl.TakeOutputs()
			if !outputs.HeartbeatResponses[uint64(i)].Accepted {
				t.Fatalf("report %d of round %d is not answered", i, round)
			}
			for _, c := range outputs.HeartbeatResponses[uint64(i)].Commands {
				if c.Kind != CommandStart {
					t.Fatalf("%s is told to %s %s", mc.id, c.Kind, c.Task)
				}
				starts++
			}
			ops += len(outputs.StoreOps)
		}
	}
	if n := len(s.reconciler.Unreported()); n > 0 {
		t.Fatalf("%d machines are not heard", n)
	}
	// One order for each report, a second long, and what may pile up.
	if paceLimit := machines / 3 * 3 / 2; starts < paceLimit/2 || starts > paceLimit+1 {
		t.Errorf("%d starts within a second, where the line lets %d pass", starts, paceLimit)
	}
	if ctrl.Counters.AdoptedTasks < 5000 || ops > 20 {
		t.Errorf("%d tasks adopted, %d requests to the store", ctrl.Counters.AdoptedTasks, ops)
	}
}
