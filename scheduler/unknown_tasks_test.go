package scheduler

import "testing"

// newMachineWithUnknownTasks returns a shard whose one machine of 8 CPUs reports a known task of 1 CPU and tasks of a
// cancelled job. The team "ops" has a limit of 16 CPUs, the team "other" has none and a job that waits.
func newMachineWithUnknownTasks(t *testing.T) (*Controller, *shard, *machine) {
	t.Helper()
	ctrl, s, mc := newControllerWithShard(t)
	ctrl.params.Teams = map[string]Team{"ops": {MaxCPUs: 16}, "other": {}}
	ctrl.quotas.initTeamLedgers()
	for i, id := range []string{"job-000001", "job-000002"} {
		rec := newTestJobRecord(Range{Lo: 0, Hi: 4, Shard: "m0"})
		rec.Job.ID, rec.Job.Team, rec.Job.EstimateS = id, "other", 1
		putRecord(ctrl, jobKey(id), rec, uint64(20+i))
	}
	reportUnknownTasks(ctrl, 4, 11, taskRunning)
	return ctrl, s, mc
}

// reportUnknownTasks passes on a heartbeat with a task of job-000001 that an earlier claim started, and two tasks of
// a job that does not exist.
func reportUnknownTasks(ctrl *Controller, seq, token uint64, state string) {
	ctrl.HandleHeartbeat(ctrl.now, seq, testHeartbeat("i-1", seq, token, unknownTasks(state)...))
}

func unknownTasks(state string) []TaskStatus {
	return []TaskStatus{
		{Task: "job-000001/0", Attempt: 3, State: taskRunning},
		{Task: "job-000077/0", Attempt: 4, State: state, Reason: exitStopped},
		{Task: "job-000077/1", Attempt: 5, State: state, Reason: exitStopped},
	}
}

// usedByOps returns the upper bound on the usage of the team "ops", in CPUs.
func usedByOps(ctrl *Controller, s *shard) float64 {
	return ctrl.quotas.teamUsage(s, "ops").Total().CPUs
}

// Guards against quota: a start that is decided on a machine with unknown tasks gives other teams more of their limits.
func TestStartNextToUnknownTasksLowersNoTeamsUsage(t *testing.T) {
	ctrl, s, mc := newMachineWithUnknownTasks(t)
	if used := usedByOps(ctrl, s); used != 7 {
		t.Fatalf("next to 1 known CPU of 8, %v CPUs are held back for unknown tasks, want 7", used)
	}
	tr := ctrl.cache.jobs["job-000002"].taskRanges[0]
	heartbeat := testHeartbeat("i-1", 4, 11)
	for i := range 4 {
		ctrl.agents.startTask(s, mc, &heartbeat, taskStart{taskRange: tr, taskIndex: i, runtimeMS: 1000})
	}
	if used := usedByOps(ctrl, s); used != 7 {
		t.Errorf("after starts that the worker has not confirmed, %v CPUs are held back, want 7", used)
	}
	reportUnknownTasks(ctrl, 5, 11, taskExited)
	if used := usedByOps(ctrl, s); used != 0 {
		t.Errorf("after the unknown tasks have ended, %v CPUs are held back, want 0", used)
	}
}

// Guards against starts that the worker refuses for lack of resources: a plan, a peer or a heartbeat uses what unknown
// tasks may use.
func TestNothingStartsWhereUnknownTasksMayRun(t *testing.T) {
	ctrl, s, mc := newMachineWithUnknownTasks(t)
	ctrl.TakeOutputs()
	planAndStart := func() int {
		ctrl.placer.planShard(s)
		ctrl.agents.sendUrgentStarts(s)
		starts := 0
		for _, direct := range ctrl.TakeOutputs().DirectCommands {
			starts += len(direct.Commands)
		}
		return starts
	}
	if starts := planAndStart(); starts != 0 {
		t.Errorf("%d starts next to unknown tasks, want none", starts)
	}
	if free := ctrl.agents.freeResources(mc); free.CPUs != 0 {
		t.Errorf("%v CPUs are free next to unknown tasks, want 0", free.CPUs)
	}
	ctrl.placer.planShard(s)
	if planned := mc.plannedStarts; len(planned) != 0 {
		t.Errorf("%d groups of starts are planned next to unknown tasks, want none", len(planned))
	}
	reportUnknownTasks(ctrl, 5, 11, taskExited)
	if starts := planAndStart(); starts != 7 {
		t.Errorf("after the unknown tasks have ended, %d starts on 7 free CPUs, want 7", starts)
	}
}

// The bound on unknown tasks follows the response to a direct command, which lists all tasks of the worker.
func TestResponseToDirectCommandEndsUnknownTasks(t *testing.T) {
	ctrl, s, mc := newMachineWithUnknownTasks(t)
	response := func(seq uint64, state string) {
		ctrl.agents.sendDirectCommand(s, mc, mc.Incarnation, nil)
		heartbeat := testHeartbeat("i-1", seq, 11, unknownTasks(state)...)
		result := DirectCommandResult{Outcome: OK, Heartbeat: &heartbeat}
		ctrl.HandleDirectCommandResult(ctrl.now, ctrl.lastRequestID, result)
	}
	if response(5, taskRunning); usedByOps(ctrl, s) != 7 {
		t.Errorf("%v CPUs are held back while the unknown tasks run, want 7", usedByOps(ctrl, s))
	}
	s.dirty = false
	if response(6, taskExited); usedByOps(ctrl, s) != 0 || s.machinesWithOrphans != 0 {
		t.Errorf("%v CPUs are held back after the unknown tasks have ended, want 0", usedByOps(ctrl, s))
	}
	if !s.dirty {
		t.Error("the shard is not planned again when the room of the unknown tasks is free")
	}
}

// Guards against tasks of cancelled jobs that run on until the next heartbeat, although a task query has found them.
func TestStopsThatQueryResponseDemandsAreSentAtOnce(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	mc := addUnreportedMachine(ctrl, false)
	ctrl.HandleHeartbeat(ctrl.now, 1, testHeartbeat("i-2", 1, 0))
	ctrl.TakeOutputs()
	ctrl.now.MonotonicMS += ctrl.maxHeartbeatIntervalMS()
	ctrl.agents.queryUnreportedMachines(s)
	response := testHeartbeat("i-2", 2, 11, unknownTasks(taskRunning)...)
	ctrl.HandleDirectCommandResult(ctrl.now, ctrl.lastRequestID, DirectCommandResult{Outcome: OK, Heartbeat: &response})
	if !mc.IsReconciled() {
		t.Fatal("the response to a task query does not reconcile the machine")
	}
	commands := ctrl.TakeOutputs().DirectCommands
	if len(commands) != 2 || len(commands[0].Commands) != 0 || len(commands[1].Commands) != 3 {
		t.Errorf("got direct commands %+v, want a query, then stops of 3 tasks without a job", commands)
	}
}
