package scheduler

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/quota"
)

// A shard transfers a part of a team's limit by a write whose outcome is unknown. The shard then uses
// the allocation that it reads from the state service, never the one before the write.
func TestInDoubtTeamWriteIsResolvedFromStore(t *testing.T) {
	ctrl := newTestController(t)
	ctrl.params.Teams = map[string]Team{"ops": {MaxCPUs: 64}}
	ctrl.quotas.initTeamLedgers()
	ctrl.store.storeAccess.SetState(1, 1, 1)
	ctrl.cache.appliedRevision = 20
	s := ctrl.shards.newShard("m0", 0, 1)
	ctrl.shards.ownedShards["m0"] = s
	ctrl.cache.applyChange(
		KeyValue{
			Key:   teamKey("ops"),
			Value: json.RawMessage(`{"parts":{"m0":{"cpus":32},"m1":{"cpus":32}},"wants":{"m1":{"cpus":32}}}`),
			Rev:   21,
		},
	)
	ctrl.quotas.proposeAllocations(s)
	if allocation := ctrl.quotas.quotaLedgers["ops"].Allocation("m0"); allocation.CPUs != 0 {
		t.Fatalf("allocation %v while the write is pending, want none", allocation)
	}
	write := ctrl.TakeOutputs().StoreOps[0]
	ctrl.HandleStoreResult(ctrl.now, write.ID, StoreResult{Outcome: Unknown})
	read := ctrl.TakeOutputs().StoreOps[0]
	ctrl.cache.appliedRevision = 30 // the watch has passed the write
	ctrl.HandleStoreResult(
		ctrl.now,
		read.ID,
		StoreResult{Rev: 30, KVs: []KeyValue{{Key: teamKey("ops"), Value: write.Changes[0].Value, Rev: 25}}},
	)
	allocations := ctrl.quotas.quotaLedgers["ops"].Allocations()
	if allocations["m0"].CPUs != 0 || allocations["m1"].CPUs != 64 {
		t.Errorf("allocations %v after the successful write, want all 64 CPUs at m1", allocations)
	}
}

func allocationsOf(ctrl *Controller, team string) map[string]quota.Amounts {
	if ledger := ctrl.quotas.quotaLedgers[team]; ledger != nil {
		return ledger.Allocations()
	}
	return nil
}

// The whole limit of a team is allocated to its home shard, which all members compute alike. The
// team's jobs are assigned to that shard.
func TestTeamLimitHasOneHomeShard(t *testing.T) {
	teams := map[string]Team{"a": {MaxCPUs: 64}, "b": {MaxCPUs: 64}, "free": {}}
	homes := map[string]map[string]string{}
	for _, memberID := range []string{"m0", "m1"} {
		peerID := map[string]string{"m0": "m1", "m1": "m0"}[memberID]
		params := testParams(memberID, peerID)
		params.Teams = teams
		ctrl := New(params, 1, Now{1, 1})
		homes[memberID] = ctrl.quotas.homeShards
		for name, limit := range teams {
			sum := 0.0
			for _, allocation := range allocationsOf(ctrl, name) {
				sum += allocation.CPUs
			}
			if sum != limit.MaxCPUs {
				t.Errorf("the allocations of %s add up to %v, want %v", name, sum, limit.MaxCPUs)
			}
		}
		for _, team := range []string{"a", "b"} {
			for _, r := range ctrl.peers.assignRanges(&Job{ID: "job-000001", Kind: Array, Team: team, Tasks: 5}) {
				if r.Shard != ctrl.quotas.homeShards[team] {
					t.Errorf("%s assigns tasks of %s to %s, want its home %s",
						memberID, team, r.Shard, ctrl.quotas.homeShards[team])
				}
			}
		}
	}
	if !maps.Equal(homes["m0"], homes["m1"]) || homes["m0"]["a"] == homes["m0"]["b"] {
		t.Errorf("home shards by member %v, want the same at both, and different ones for a and b", homes)
	}
}

// Within a team's limit, a job that cannot meet its deadline ranks behind a job that can, even if its
// deadline is earlier.
func TestTeamLimitAdmitsJobsThatMeetTheirDeadlines(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	ctrl.params.Teams = map[string]Team{"ops": {MaxCPUs: 4}}
	ctrl.quotas.initTeamLedgers()
	put := func(id string, tasks int, deadline float64, rev uint64) {
		rec := newTestJobRecord(Range{Lo: 0, Hi: tasks, Shard: "m0"})
		rec.Job.ID, rec.Job.Team, rec.Job.EstimateS, rec.Job.DeadlineS = id, "ops", 10, deadline
		rec.AcceptedAtMS = ctrl.now.WallMS
		putRecord(ctrl, jobKey(id), rec, rev)
	}
	put("job-000001", 40, 50, 21) // takes 100 s with the whole limit
	put("job-000002", 8, 60, 22)  // takes 20 s
	gs := ctrl.placer.waitingTaskGroups(s)
	if len(gs) != 2 || gs[0].job.ID != "job-000002" || !gs[1].MissedObjectives {
		t.Errorf("first group of %s, the second misses its objectives: %v; want job-000002 and true",
			gs[0].job.ID, gs[1].MissedObjectives)
	}
}

// Each member uses only its share of a peer's capacity. Capacity that it takes is subtracted from the
// peer's summary.
func TestPeerCapacityIsSharedAmongMembers(t *testing.T) {
	ctrl := New(testParams("m0", "m1", "m2", "m3"), 1, Now{1000, 1000})
	ctrl.store.storeAccess.SetState(0, 0, 0)
	oneCPU := availability.Resources{CPUs: 1, MemoryGB: 32}
	ctrl.cache.setMachineTypes([]MachineType{{Name: "small", Resources: oneCPU, Zones: []string{"a"}}})
	ctrl.cache.shardClaims["m1"] = claimRecord{Owner: "m1"}
	free := availability.Function{
		Kind:      planner.InstanceOffering{Type: "small", Zone: "a"}.Key(),
		Count:     30,
		Resources: oneCPU,
		Samples:   []availability.Sample{{TimeMS: 1000}, {TimeMS: 101_000, AvailableMS: 100_000}},
	}
	peerShard := PeerShard{Shard: "m1", Summary: availability.Summary{free}}
	ctrl.peers.peers["m1"] = &peerState{
		receivedAtMS: 1000,
		message:      PeerMessage{From: "m1", OwnedShards: []PeerShard{peerShard}},
	}
	j := &Job{Request: availability.Resources{CPUs: 1}, Tasks: 100}
	offers := ctrl.peers.peerCapacities(j, 10_000, 12_000, 100)
	if len(offers) != 1 || offers[0].tasks != 10 {
		t.Fatalf("offers %+v, want one of 10 tasks", offers)
	}
	if n := ctrl.peers.peerTaskCapacity(offers[0].peerShard, j, 10_000, 12_000, 10, true); n != 10 {
		t.Errorf("capacity taken for %d tasks, want 10", n)
	}
	if n := ctrl.peers.peerTaskCapacity(offers[0].peerShard, j, 10_000, 12_000, 100, false); n != 20 {
		t.Errorf("capacity left for %d tasks, want 20", n)
	}
}

// Tasks of a lower priority fill a team's limit, and a job of a higher priority needs the team's
// guarantee. Tasks that lose no work are stopped, because they have checkpoints or still fetch their
// image. The freed capacity goes to the job that they are stopped for.
func TestCheckpointedTasksAreStoppedForGuarantee(t *testing.T) {
	for _, c := range []struct {
		name               string
		checkpoint         float64
		state              string
		guarantee, overdue float64
		stops              bool
	}{
		{"checkpointed task", 1, "running", 4, 0, true},
		{"task without checkpoints", 0, "running", 4, 0, false},
		{"task that does not run yet", 0, "fetching", 4, 0, true},
		{"no guarantee", 1, "running", 0, 0, false},
		{"task that would miss its deadline", 1, "running", 4, 25, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctrl, s, mc := newControllerWithShard(t)
			ctrl.params.Teams = map[string]Team{"ops": {CPUs: c.guarantee, MaxCPUs: 4}}
			ctrl.params.GuaranteeWithinS = 10
			ctrl.quotas.initTeamLedgers()
			put := func(id string, p Priority, tasks int, cpus, checkpoint, deadline float64, rev uint64) {
				rec := newTestJobRecord(Range{Lo: 0, Hi: tasks, Shard: "m0"})
				j := &rec.Job
				j.ID, j.Team, j.Priority, j.EstimateS, j.DeadlineS = id, "ops", p, 20, deadline
				j.Request.CPUs, j.CheckpointIntervalS, j.CheckpointDurationS = cpus, checkpoint, checkpoint
				rec.AcceptedAtMS = ctrl.now.WallMS
				putRecord(ctrl, jobKey(id), rec, rev)
			}
			seq := uint64(3)
			heartbeat := func(tasks ...TaskStatus) []Command {
				seq++
				ctrl.HandleHeartbeat(ctrl.now, seq, testHeartbeat("i-1", seq, 11, tasks...))
				return ctrl.TakeOutputs().HeartbeatResponses[seq].Commands
			}
			put("job-000001", Normal, 1, 4, c.checkpoint, c.overdue, 21)
			ctrl.placer.planShard(s)
			commands := heartbeat()
			if len(commands) != 1 {
				t.Fatalf("commands for the first job: %+v, want one start", commands)
			}
			task := TaskStatus{Task: commands[0].Task, Attempt: commands[0].Attempt, State: c.state}
			heartbeat(task)
			put("job-000002", High, 2, 2, 0, 60, 22)
			ctrl.placer.planShard(s)
			commands = heartbeat(task)
			if !c.stops {
				if len(commands) > 0 {
					t.Errorf("commands %+v, want none", commands)
				}
				return
			}
			if len(commands) != 1 || commands[0].Kind != CommandStop || commands[0].GraceS < c.checkpoint {
				t.Fatalf("commands %+v, want a stop with time for a checkpoint", commands)
			}
			if usedCPUs := s.usage["ops"].CPUs; usedCPUs != 4 {
				t.Errorf("%g CPUs in use while a task is being stopped, want 4", usedCPUs)
			}
			ctrl.now = Now{ctrl.now.MonotonicMS + 2000, ctrl.now.WallMS + 2000}
			ctrl.store.storeAccess.SetState(1, ctrl.now.MonotonicMS, ctrl.now.MonotonicMS)
			task.State, task.Reason, task.Checkpointed = "exited", "stopped", c.checkpoint > 0
			ctrl.placer.planShard(s)
			var started []string
			for _, cmd := range heartbeat(task) {
				if cmd.Kind == CommandStart {
					started = append(started, cmd.Task)
				}
			}
			if want := []string{"job-000002/0", "job-000002/1"}; !slices.Equal(started, want) {
				t.Errorf("%v start after the stop, want %v", started, want)
			}
			if mc.liveAttemptCount != 2 {
				t.Errorf("%d attempts on the machine, want 2", mc.liveAttemptCount)
			}
		})
	}
}
