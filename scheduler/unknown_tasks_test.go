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
	return ctrl.quotas.teamUsage(s, "ops").total().CPUs
}

// Guards against quota: a start that is decided on a machine with unknown tasks gives other teams more of their limits.
func TestStartBesideUnknownTasksLowersNoTeamsUsage(t *testing.T) {
	ctrl, s, mc := newMachineWithUnknownTasks(t)
	if used := usedByOps(ctrl, s); used != 7 {
		t.Fatalf("beside 1 known CPU of 8, %v CPUs are held back for unknown tasks, want 7", used)
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
