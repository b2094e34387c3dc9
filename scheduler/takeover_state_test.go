package scheduler

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/grebedock/grebedock/reconcile"
)

// addUnreportedMachine adds a machine that is listed as live but has sent no heartbeat.
func addUnreportedMachine(ctrl *Controller, spot bool) *machine {
	page := registryRecord{Shard: "m0", Type: "small", Zone: "a", Spot: spot, MachineIDs: []string{"i-2"}}
	putRecord(ctrl, registryPrefix+"1-2", page, 30)
	putRecord(ctrl, liveMachinesPrefix+"m0/1", liveMachinesRecord{[]string{"i-2"}}, 31)
	return ctrl.registry.machines["i-2"]
}

// An unreported machine blocks its own capacity of a team's limit, and the ranges that may use it. With
// a stored ledger entry, it blocks only the usage and the ranges of that entry.
func TestUnreportedMachineBlocksOnlyTasksItMayRun(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	ctrl.params.Teams = map[string]Team{"ops": {MaxCPUs: 12}, "": {}}
	ctrl.quotas.initTeamLedgers()
	addUnreportedMachine(ctrl, true)
	addJob := func(id string, spotRange bool) *taskRange {
		rec := newTestJobRecord(Range{Lo: 0, Hi: 4, Shard: "m0"})
		rec.Job.ID, rec.Job.Spot, rec.Job.Team = id, spotRange, "ops"
		putRecord(ctrl, jobKey(id), rec, 40)
		tr := ctrl.cache.jobs[id].taskRanges[0]
		tr.recovered = true
		return tr
	}
	spotRange, onDemandRange := addJob("job-000001", true), addJob("job-000002", false)
	if free, _ := ctrl.quotas.teamHeadroom(s, "ops"); free.CPUs != 4 {
		t.Errorf("of 12 CPUs, with 8 unreported, %v are free, want 4", free.CPUs)
	}
	if !ctrl.agents.isBlockedByUnreported(s, spotRange) || ctrl.agents.isBlockedByUnreported(s, onDemandRange) {
		t.Error("got a range blocked by a spot machine that it may not use, or not blocked by one that it may use")
	}
	for _, ranges := range [][]string{{"job-000009/0"}, {spotRange.name()}} {
		usage := map[string]reconcile.ResourceUsage{"ops": {CPUs: 2}}
		entry := reconcile.UnreachableMachine{Ranges: ranges, UsageByTeam: usage}
		s.reconciler.Ledger.Restore(map[string]reconcile.UnreachableMachine{"i-2": entry})
		spotRange.recovered = true
		blocked, expected := ctrl.agents.isBlockedByUnreported(s, spotRange), ranges[0] == spotRange.name()
		if blocked != expected {
			t.Errorf("with a stored entry for ranges %v: blocked %v, want blocked if it names the range",
				ranges, blocked)
		}
	}
	if free, _ := ctrl.quotas.teamHeadroom(s, "ops"); free.CPUs != 10 {
		t.Errorf("with a stored entry of 2 CPUs, %v of 12 are free, want 10", free.CPUs)
	}
	// A machine with an orphaned task may use all of its capacity beyond the known tasks, for any team.
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
		t.Errorf("with one known and one orphaned task on 8 CPUs, %v of 12 are free, want 4", free.CPUs)
	}
}

// takeRecoveryRecordWrite takes a member's outputs and returns the write of a shard's recovery record.
func takeRecoveryRecordWrite(ctrl *Controller) (StoreOp, recoveryRecord, bool) {
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

// A machine that misses heartbeats gets a stored ledger entry of the tasks that it may run. From then
// on, nothing starts there until a record without the entry is known to be stored.
func TestMachineIsUnusableUntilItsStoredEntryIsRemoved(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	ctrl.params.Recovery = true
	for i := range 3 { // so that one unreachable machine is within the maximum share
		id := fmt.Sprintf("i-%d", 5+i)
		page := registryRecord{Shard: "m0", Type: "small", Zone: "a", MachineIDs: []string{id}}
		putRecord(ctrl, registryPrefix+id, page, uint64(20+i))
	}
	putTestJob(ctrl, 40, Range{Lo: 0, Hi: 2, Shard: "m0"})
	seq := uint64(3)
	heartbeat := func(tasks ...TaskStatus) HeartbeatResponse {
		seq++
		ctrl.HandleHeartbeat(ctrl.now, 9, testHeartbeat("i-1", seq, 11, tasks...))
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
	if _, _, wrote := takeRecoveryRecordWrite(ctrl); wrote {
		t.Fatal("an entry is written for a healthy machine")
	}
	advance(ctrl.maxHeartbeatIntervalMS())
	op, rec, wrote := takeRecoveryRecordWrite(ctrl)
	entry := rec.Unreachable["i-1"]
	if !wrote || len(entry.Ranges) != 1 || entry.UsageByTeam[""].CPUs != 1 || ctrl.agents.isSchedulable(mc) {
		t.Fatalf("written %v: %+v, schedulable %v; want an entry of one range with 1 CPU, and not schedulable",
			wrote, rec, ctrl.agents.isSchedulable(mc))
	}
	ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Rev: 50})
	if heartbeat(running); ctrl.agents.isSchedulable(mc) {
		t.Fatal("schedulable after a heartbeat although the store may lack tasks that run on it")
	}
	advance(ctrl.progressWriteInterval() + 200)
	op, rec, wrote = takeRecoveryRecordWrite(ctrl)
	if !wrote || len(rec.Unreachable) != 0 || ctrl.agents.isSchedulable(mc) {
		t.Fatalf("written %v: %+v, schedulable %v; want no entry, and not schedulable",
			wrote, rec, ctrl.agents.isSchedulable(mc))
	}
	// A write without a response may not have been applied.
	ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Outcome: Unknown})
	read := ctrl.TakeOutputs().StoreOps[0]
	stored := []KeyValue{{Key: read.Key, Value: op.Changes[0].Value, Rev: 51}}
	ctrl.HandleStoreResult(ctrl.now, read.ID, StoreResult{Rev: 51, KVs: stored})
	if ctrl.agents.isSchedulable(mc) {
		t.Fatal("schedulable after a write whose outcome is unknown")
	}
	heartbeat(running)
	advance(ctrl.progressWriteInterval() + 200)
	op, _, wrote = takeRecoveryRecordWrite(ctrl)
	if !wrote || op.Preconditions[1].Revision != 51 {
		t.Fatalf("written again %v: %+v, want a write with a precondition on revision 51", wrote, op)
	}
	ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Rev: 60})
	if !ctrl.agents.isSchedulable(mc) {
		t.Error("not schedulable although the stored record has no entry for it")
	}
}

// The next claim restores a claim's runtime estimates: the corrections by class, and the start time of a
// task that is still running. The remaining time of such a task does not count as its whole runtime.
func TestRuntimeEstimatesSurviveTakeover(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	ctrl.params.Recovery = true
	ctrl.estimates.runtimeCorrections["c"] = &runtimeCorrection{ratio: 2.5, samples: 30}
	s.recovery.writeState.nextWriteAt, s.recovery.nextRuntimeWriteAtMS = 0, 0
	ctrl.agents.writeRecoveryRecord(s)
	op, _, wrote := takeRecoveryRecordWrite(ctrl)
	if !wrote {
		t.Fatal("runtime estimates are not written")
	}
	attemptNumber := s.attemptIDs.Next(ctrl.now.WallMS)
	successor, successorShard, _ := newControllerWithShard(t)
	successor.now = Now{ctrl.now.MonotonicMS, ctrl.now.WallMS + 20_000}
	stored := KeyValue{Key: op.Changes[0].Key, Value: op.Changes[0].Value, Rev: 70}
	successor.agents.restoreRecoveryRecord(successorShard, stored)
	j := newTestJobRecord(Range{Lo: 0, Hi: 2, Shard: "m0"})
	j.Job.Class, j.Job.EstimateS = "c", 10
	putRecord(successor, jobKey("job-000001"), j, 40)
	job := &successor.cache.jobs["job-000001"].rec.Job
	if estimateMS := successor.estimates.expectedRuntime(job); estimateMS != 25_000 {
		t.Errorf("an estimate of 10 s is corrected to %d ms, want 25000", estimateMS)
	}
	heartbeat := func(seq uint64, state string) {
		status := TaskStatus{Task: "job-000001/0", Attempt: attemptNumber, State: state, Reason: "done"}
		successor.HandleHeartbeat(successor.now, 9, testHeartbeat("i-1", seq, 11, status))
	}
	heartbeat(10, "running")
	attempt := successorShard.machines[0].attempts[attemptKey{"job-000001/0", attemptNumber}]
	if attempt == nil {
		t.Fatal("the running task has no attempt")
	}
	if ageMS := successor.now.WallMS - attempt.placedAt; ageMS < 19_000 || ageMS > 21_000 {
		t.Fatalf("a task that was started 20 s ago counts as started %d ms ago: %+v", ageMS, attempt)
	}
	remainingMS := attempt.expectedEnd(successor.now.WallMS) - successor.now.WallMS
	if remainingMS < 3500 || remainingMS > 6500 {
		t.Errorf("expected remaining time of the task: %d ms, want 3500 to 6500", remainingMS)
	}
	successor.now.WallMS += 1000
	heartbeat(11, "exited")
	if estimate := successor.estimates.runtimeCorrections["c"]; estimate.samples != 30 || estimate.ratio != 2.5 {
		t.Errorf("the remaining time of a task changed the estimate: %+v, want 30 samples and ratio 2.5", estimate)
	}
}

// After a claim, 10,000 machines all send a heartbeat within one interval. Starts do not exceed the
// pacer's rate, and at most 20 store operations are sent.
func TestTenThousandHeartbeatsInOneIntervalArePaced(t *testing.T) {
	const machines = 10_000
	ctrl, oldShard := newControllerWithFleet(t, machines, 300)
	// Without objectives no start bypasses the pacer.
	ctrl.params.Objectives, ctrl.params.HeartbeatS, ctrl.params.Recovery = nil, 3, true
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
	ctrl.cache.appliedRevision = 90_000
	ctrl.now.MonotonicMS += 5000
	s := ctrl.shards.newShard("m0", 8, 80_000)
	ctrl.shards.ownedShards["m0"] = s
	ctrl.shards.takeOverShard(s)
	s.progressRead = true
	ctrl.TakeOutputs()
	starts, ops := 0, 0
	beginMS := ctrl.now.MonotonicMS
	for round := range uint64(2) { // the machines are queried and reconciled, and start tasks again
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
					Seq:         100 + 1000*round,
					Token:       token,
					Tasks:       tasks[mc.id],
				},
			)
			if round == 0 {
				answerTaskQuery(ctrl, mc, tasks[mc.id])
			}
			outputs := ctrl.TakeOutputs()
			if !outputs.HeartbeatResponses[uint64(i)].Accepted {
				t.Fatalf("heartbeat %d of round %d is not accepted", i, round)
			}
			for _, c := range outputs.HeartbeatResponses[uint64(i)].Commands {
				if c.Kind != CommandStart {
					t.Fatalf("machine %s gets a %s command for %s, want only starts", mc.id, c.Kind, c.Task)
				}
				starts++
			}
			ops += len(outputs.StoreOps)
		}
	}
	if n := len(s.reconciler.Unreported()); n > 0 {
		t.Fatalf("%d machines are unreported, want none", n)
	}
	// The pacer allows one start per heartbeat. With an interval of 3 s, a third of the machines send one
	// per second. The bound adds half of that for accumulated tokens.
	if paceLimit := machines / 3 * 3 / 2; starts < paceLimit/2 || starts > paceLimit+1 {
		t.Errorf("%d starts within a second, want at least half of and at most the pacer's %d", starts, paceLimit)
	}
	if ctrl.Counters.AdoptedTasks < 5000 || ops > 20 {
		t.Errorf("%d tasks adopted, %d store operations; want at least 5000, and at most 20",
			ctrl.Counters.AdoptedTasks, ops)
	}
}

// answerTaskQuery passes the response of a machine to the task query that was sent last.
func answerTaskQuery(ctrl *Controller, mc *machine, tasks []TaskStatus) {
	heartbeat := testHeartbeat(mc.id, 1000, mc.claim.token, tasks...)
	result := DirectCommandResult{Outcome: OK, Heartbeat: &heartbeat}
	ctrl.HandleDirectCommandResult(ctrl.now, ctrl.lastRequestID, result)
}

// Guards against ran_twice: the cache lags behind a claim and contains a job only afterwards, although the earlier
// owner of the shard ran it. The job's range waits for unreported machines, and has its stored progress.
func TestRangeThatEntersTheCacheAfterTheClaimIsRecovered(t *testing.T) {
	ctrl, oldShard, _ := newControllerWithShard(t)
	ctrl.shards.dropShard(oldShard)
	addUnreportedMachine(ctrl, false)
	ctrl.cache.appliedRevision = 40
	ctrl.cache.keyRevisions[claimKey("m0")] = 60
	s := ctrl.shards.newShard("m0", 8, 60)
	ctrl.shards.ownedShards["m0"] = s
	ctrl.TakeOutputs()
	ctrl.shards.takeOverShard(s)
	read := ctrl.TakeOutputs().StoreOps[0]
	progress := mustEncode(progressRecord{map[string][]byte{"job-000001/0": {0b0010}}})
	stored := []KeyValue{{Key: progressPrefix + "m0/1", Value: progress, Rev: 55}}
	ctrl.HandleStoreResult(ctrl.now, read.ID, StoreResult{Rev: 60, KVs: stored})
	putTestJob(ctrl, 50, Range{Lo: 0, Hi: 4, Shard: "m0"})
	ctrl.cache.appliedRevision = 60
	if ctrl.shards.tickShard(s); !s.ready {
		t.Fatal("the shard is not ready although the cache includes its claim")
	}
	seq := uint64(10)
	heartbeat := func(machineID string, tasks ...TaskStatus) (starts int) {
		seq++
		ctrl.placer.planShard(s)
		ctrl.HandleHeartbeat(ctrl.now, 9, testHeartbeat(machineID, seq, 60, tasks...))
		for _, command := range ctrl.TakeOutputs().HeartbeatResponses[9].Commands {
			if command.Kind == CommandStart {
				starts++
			}
		}
		return starts
	}
	heartbeat("i-1")
	if starts := heartbeat("i-1"); starts != 0 {
		t.Fatalf("%d tasks start while an unreported machine may run them, want none", starts)
	}
	heartbeat("i-2", TaskStatus{Task: "job-000001/0", Attempt: 9 << 28, State: "running"})
	heartbeat("i-1")
	if tr := s.taskRanges[0]; tr.doneCount != 1 || tr.assignedCount != 3 {
		t.Errorf("after the last machine's heartbeat %d tasks are done and %d assigned, want 1 and 3",
			tr.doneCount, tr.assignedCount)
	}
}
