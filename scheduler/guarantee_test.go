package scheduler

import "testing"

// guaranteeCase describes a task of another team, the victim. It runs on the only machine that a job
// within a guarantee can use.
type guaranteeCase struct {
	name            string
	configureVictim func(*Job)
	ranMS           int64   // run time of the victim when the guaranteed job is submitted
	victimGuarantee float64 // guarantee of the victim's team, in CPUs
	guarantee       float64 // guarantee of the requesting team, in CPUs
	reclaimedBefore string  // team that the victim was stopped for earlier
	stopped         bool
}

// A task is stopped for a guarantee only if the stop loses little work and the task exceeds its own
// team's guarantee.
func TestGuaranteeStopsOnlyTasksThatLoseLittle(t *testing.T) {
	checkpointing := func(j *Job) { j.CheckpointIntervalS, j.CheckpointDurationS = 5, 1 }
	atMostOnce := func(j *Job) { checkpointing(j); j.AtMostOnce = true }
	threeTasks := func(j *Job) { checkpointing(j); j.Tasks = 3 }
	shortTask := func(j *Job) { checkpointing(j); j.EstimateS = 31 }
	unchanged := func(*Job) {}
	for _, c := range []guaranteeCase{
		{"checkpointed task", checkpointing, 30_000, 0, 8, "", true},
		{"task that ran for a short time", unchanged, 5_000, 0, 8, "", true},
		{"stop that loses more work than it makes room for", unchanged, 30_000, 0, 8, "", false},
		{"at-most-once task", atMostOnce, 30_000, 0, 8, "", false},
		{"replica of a service", func(j *Job) { j.Kind = Service }, 5_000, 0, 8, "", false},
		{"task within its own team's guarantee", checkpointing, 30_000, 8, 8, "", false},
		{"job beyond its team's guarantee, team within", threeTasks, 30_000, 8, 8, "", false},
		{"task that ends within the stop delay", shortTask, 30_000, 0, 8, "", false},
		{"task stopped for that team before", checkpointing, 30_000, 0, 8, "ops", false},
		{"task stopped for another team before", checkpointing, 30_000, 0, 8, "third", true},
		{"requesting team beyond its guarantee", checkpointing, 30_000, 0, 7, "", false},
	} {
		t.Run(c.name, func(t *testing.T) { testGuaranteeCase(t, c) })
	}
}

func testGuaranteeCase(t *testing.T, c guaranteeCase) {
	t.Helper()
	ctrl, s, mc := newControllerWithShard(t)
	ctrl.params.Quota, ctrl.params.GuaranteeWithinS = true, 10
	ctrl.params.Teams = map[string]Team{"ops": {CPUs: c.guarantee}, "other": {CPUs: c.victimGuarantee}, "third": {}}
	ctrl.quotas.initTeamLedgers()
	put := func(id, team string, change func(*Job), rev uint64) {
		rec := newTestJobRecord(Range{Lo: 0, Hi: 1, Shard: "m0"})
		j := &rec.Job
		j.ID, j.Team, j.Priority, j.EstimateS, rec.AcceptedAtMS = id, team, Normal, 20, ctrl.now.WallMS
		j.Request.CPUs = 8
		change(j)
		rec.MayHaveBegun = j.AtMostOnce
		putRecord(ctrl, jobKey(id), rec, rev)
	}
	seq := uint64(3)
	heartbeat := func(tasks ...TaskStatus) []Command {
		seq++
		ctrl.HandleHeartbeat(ctrl.now, seq, testHeartbeat("i-1", seq, 11, tasks...))
		return ctrl.TakeOutputs().HeartbeatResponses[seq].Commands
	}
	advance := func(ms int64) {
		ctrl.now = Now{ctrl.now.MonotonicMS + ms, ctrl.now.WallMS + ms}
		ctrl.store.storeAccess.SetState(1, ctrl.now.MonotonicMS, ctrl.now.MonotonicMS)
	}
	put("job-000001", "other", func(j *Job) { j.EstimateS = 600; c.configureVictim(j) }, 21)
	ctrl.placer.planShard(s)
	commands := heartbeat()
	if len(commands) != 1 {
		t.Fatalf("commands for the victim: %+v, want one start", commands)
	}
	task := TaskStatus{Task: commands[0].Task, Attempt: commands[0].Attempt, State: "running"}
	heartbeat(task)
	if c.reclaimedBefore != "" {
		s.taskRanges[0].reclaimedFor = map[int]string{0: c.reclaimedBefore}
	}
	advance(c.ranMS)
	heartbeat(task)
	put("job-000002", "ops", func(*Job) {}, 22)
	ctrl.placer.planShard(s)
	ctrl.quotas.sendReclaimStops(s)
	var sent []Command
	for _, directCommand := range ctrl.TakeOutputs().DirectCommands {
		sent = append(sent, directCommand.Commands...)
	}
	if !c.stopped {
		if len(sent) > 0 {
			t.Errorf("direct commands %+v, want none", sent)
		}
		return
	}
	if len(sent) != 1 || sent[0].Kind != CommandStop || sent[0].Task != "job-000001/0" {
		t.Fatalf("direct commands %+v, want a stop of the victim", sent)
	}
	if checkpointS := s.taskRanges[0].job.rec.Job.CheckpointDurationS; sent[0].GraceS < checkpointS {
		t.Fatalf("stop with a grace period of %v s, want at least %v s for a checkpoint", sent[0].GraceS, checkpointS)
	}
	// The freed capacity goes to the job that the task was stopped for. Neither the task's own job
	// nor a newer job of higher priority gets it.
	put("job-000003", "third", func(j *Job) { j.Priority = High }, 23)
	advance(2000)
	task.State, task.Reason, task.Checkpointed = "exited", "stopped", true
	var started []string
	for _, cmd := range heartbeat(task) {
		if cmd.Kind == CommandStart {
			started = append(started, cmd.Task)
		}
	}
	if len(started) != 1 || started[0] != "job-000002/0" || mc.reservation != nil {
		t.Errorf("after the stop %v start, reservation %+v; want job-000002/0 and no reservation",
			started, mc.reservation)
	}
}

// A range that moves to a peer loses its reservations at this member. When a reservation was still used
// after the move, tasks of the range ran twice.
func TestMovedRangeLosesItsReservation(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	ctrl.params.Quota = true
	ctrl.params.Teams = map[string]Team{"ops": {CPUs: 8}}
	ctrl.quotas.initTeamLedgers()
	rec := newTestJobRecord(Range{Lo: 0, Hi: 2, Shard: "m0"})
	rec.Job.Team = "ops"
	putRecord(ctrl, jobKey("job-000001"), rec, 21)
	mc.reservation = &reservation{taskRange: s.taskRanges[0], count: 2, expiresAt: ctrl.now.MonotonicMS + 60_000}
	if r := ctrl.quotas.reservedResources(mc); r.CPUs != 2 {
		t.Fatalf("reserved resources %v, want 2 CPUs", r)
	}
	rec.Ranges = []Range{{Lo: 0, Hi: 2, Shard: "m1", MovedFromPeer: true}}
	putRecord(ctrl, jobKey("job-000001"), rec, 22)
	ctrl.HandleHeartbeat(ctrl.now, 9, testHeartbeat("i-1", 9, 11))
	if commands := ctrl.TakeOutputs().HeartbeatResponses[9].Commands; len(commands) > 0 || mc.reservation != nil {
		t.Errorf("commands %+v, reservation %+v, want none", commands, mc.reservation)
	}
}

// Free capacity goes to the team that exceeds its guarantee the least, regardless of which team
// requests first. Deadlines decide only between teams in the same usage tier.
func TestFreeCapacityGoesToTeamWithLeastAboveGuarantee(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	ctrl.params.Quota = true
	ctrl.params.Teams = map[string]Team{"flood": {}, "modest": {}}
	ctrl.quotas.initTeamLedgers()
	put := func(id, team string, tasks int, deadline float64, rev uint64) {
		rec := newTestJobRecord(Range{Lo: 0, Hi: tasks, Shard: "m0"})
		rec.Job.ID, rec.Job.Team, rec.Job.EstimateS, rec.Job.DeadlineS = id, team, 5, deadline
		rec.AcceptedAtMS = ctrl.now.WallMS
		putRecord(ctrl, jobKey(id), rec, rev)
	}
	put("job-000001", "flood", 3, 100, 21)
	put("job-000002", "flood", 3, 110, 22)
	put("job-000003", "flood", 3, 120, 23)
	put("job-000004", "modest", 2, 400, 24)
	var order []string
	for _, g := range ctrl.placer.waitingTaskGroups(s) {
		order = append(order, g.job.ID)
	}
	// For two teams and 8 CPUs, a tier is 2 CPUs. The second job of team flood starts at a usage of
	// 3 CPUs, its third at 6.
	if len(order) != 4 || order[0] != "job-000001" || order[1] != "job-000004" {
		t.Errorf("order %v, want job-000001 and job-000004 first", order)
	}
}
