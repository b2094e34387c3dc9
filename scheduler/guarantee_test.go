package scheduler

import (
	"testing"
)

// guaranteeCase is one task of another team on a machine that work within a guarantee
// has no other room than.
type guaranteeCase struct {
	name            string
	configureVictim func(*Job)
	ranMS           int64   // ms before the guaranteed job comes
	victimGuarantee float64 // the other team's guarantee
	guarantee       float64
	reclaimedBefore string // the team that the task was stopped for before
	stopped         bool
}

// What may be stopped for a guarantee, and what not.
func TestGuaranteeStopsOnlyTasksThatLoseLittle(t *testing.T) {
	checkpointing := func(j *Job) { j.CheckpointIntervalS, j.CheckpointDurationS = 5, 1 }
	for _, c := range []guaranteeCase{
		{"it saves", checkpointing, 30_000, 0, 8, "", true},
		{"it has done little", func(*Job) {}, 5_000, 0, 8, "", true},
		{"more would be lost than is started", func(*Job) {}, 30_000, 0, 8, "", false},
		{"it begins once", func(j *Job) { j.AtMostOnce, j.CheckpointIntervalS, j.CheckpointDurationS = true, 5, 1 }, 30_000, 0, 8, "", false},
		{"a service's replica", func(j *Job) { j.Kind = Service }, 5_000, 0, 8, "", false},
		{"it is within its own team's guarantee", checkpointing, 30_000, 8, 8, "", false},
		{"its job is beyond that, its team is not", func(j *Job) { checkpointing(j); j.Tasks = 3 }, 30_000, 8, 8, "", false},
		{"it ends as soon by itself", func(j *Job) { checkpointing(j); j.EstimateS = 31 }, 30_000, 0, 8, "", false},
		{"it was stopped for that team before", checkpointing, 30_000, 0, 8, "ops", false},
		{"it was stopped for another before", checkpointing, 30_000, 0, 8, "third", true},
		{"who asks is beyond its guarantee", checkpointing, 30_000, 0, 7, "", false},
	} {
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
			ctrl.cache.applyChange(KeyValue{Key: jobKey(id), Value: mustEncode(rec), Rev: rev})
		}
		seq := uint64(3)
		heartbeat := func(tasks ...TaskStatus) []Command {
			seq++
			ctrl.HandleHeartbeat(
				ctrl.now,
				seq,
				Heartbeat{Machine: "i-1", Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Seq: seq, Token: 11, Tasks: tasks},
			)
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
			t.Fatalf("%s: the first job is told %+v", c.name, commands)
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
		if stopped := len(sent) == 1 && sent[0].Kind == CommandStop && sent[0].Task == "job-000001/0" && sent[0].GraceS >= s.taskRanges[0].job.rec.Job.CheckpointDurationS; stopped != c.stopped ||
			!stopped && len(sent) > 0 {
			t.Errorf("%s: told %+v", c.name, sent)
			continue
		}
		if !c.stopped {
			continue
		}
		// Its room goes to whom it was stopped for, not to its own job or a newer one of
		// higher priority.
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
			t.Errorf("%s: %v start when it is over, pledged %+v", c.name, started, mc.reservation)
		}
	}
}

// A range that goes to a peer takes its pledges with it: started from one here all the same,
// its tasks ran twice.
func TestMovedRangeLosesItsReservation(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	ctrl.params.Quota = true
	ctrl.params.Teams = map[string]Team{"ops": {CPUs: 8}}
	ctrl.quotas.initTeamLedgers()
	rec := newTestJobRecord(Range{Lo: 0, Hi: 2, Shard: "m0"})
	rec.Job.Team = "ops"
	ctrl.cache.applyChange(KeyValue{Key: jobKey("job-000001"), Value: mustEncode(rec), Rev: 21})
	mc.reservation = &reservation{taskRange: s.taskRanges[0], count: 2, expiresAt: ctrl.now.MonotonicMS + 60_000}
	if r := ctrl.quotas.reservedResources(mc); r.CPUs != 2 {
		t.Fatalf("%v is held of a pledge of 2", r)
	}
	rec.Ranges = []Range{{Lo: 0, Hi: 2, Shard: "m1", MovedFromPeer: true}}
	ctrl.cache.applyChange(KeyValue{Key: jobKey("job-000001"), Value: mustEncode(rec), Rev: 22})
	ctrl.HandleHeartbeat(
		ctrl.now,
		9,
		Heartbeat{Machine: "i-1", Addr: "x", Type: "small", Zone: "a", Incarnation: 1, Seq: 9, Token: 11},
	)
	if commands := ctrl.TakeOutputs().HeartbeatResponses[9].Commands; len(commands) > 0 || mc.reservation != nil {
		t.Errorf("told %+v, pledged %+v", commands, mc.reservation)
	}
}

// Free room goes to the team with the least beyond its guarantee, whoever asks first; deadlines
// count among teams that are about even.
func TestFreeCapacityGoesToTeamWithLeastAboveGuarantee(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	ctrl.params.Quota = true
	ctrl.params.Teams = map[string]Team{"flood": {}, "modest": {}}
	ctrl.quotas.initTeamLedgers()
	put := func(id, team string, tasks int, deadline float64, rev uint64) {
		rec := newTestJobRecord(Range{Lo: 0, Hi: tasks, Shard: "m0"})
		rec.Job.ID, rec.Job.Team, rec.Job.EstimateS, rec.Job.DeadlineS, rec.AcceptedAtMS = id, team, 5, deadline, ctrl.now.WallMS
		ctrl.cache.applyChange(KeyValue{Key: jobKey(id), Value: mustEncode(rec), Rev: rev})
	}
	put("job-000001", "flood", 3, 100, 21)
	put("job-000002", "flood", 3, 110, 22)
	put("job-000003", "flood", 3, 120, 23)
	put("job-000004", "modest", 2, 400, 24)
	var order []string
	for _, g := range ctrl.placer.waitingTaskGroups(s) {
		order = append(order, g.job.ID)
	}
	// Of 8 processors a level is 2: the flood's second job starts at 3, its third at 6.
	if len(order) != 4 || order[0] != "job-000001" || order[1] != "job-000004" {
		t.Errorf("in the order %v", order)
	}
}
