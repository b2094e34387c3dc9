package scheduler

import "testing"

// A report that shows more of a team than its allocation is logged as a warning and counted once, until a report shows
// less.
func TestReportOfMoreThanAllocationIsLoggedOnce(t *testing.T) {
	ctrl, _, _ := newControllerWithShard(t)
	ctrl.params.Teams = map[string]Team{"ops": {MaxCPUs: 1}}
	ctrl.quotas.initTeamLedgers()
	rec := newTestJobRecord(Range{Lo: 0, Hi: 4, Shard: "m0"})
	rec.Job.Team = "ops"
	putRecord(ctrl, jobKey("job-000001"), rec, 20)
	report := func(seq uint64, attempts ...uint64) (warnings int) {
		var tasks []TaskStatus
		for i, attempt := range attempts {
			tasks = append(tasks, TaskStatus{Task: TaskName("job-000001", i), Attempt: attempt, State: taskRunning})
		}
		ctrl.HandleHeartbeat(ctrl.now, seq, testHeartbeat("i-1", seq, 11, tasks...))
		for _, line := range ctrl.TakeOutputs().Logs {
			if line.Level == Warn && line.Message == "team uses more than its allocation" {
				warnings++
			}
		}
		return warnings
	}
	for i, step := range []struct {
		attempts []uint64
		warnings int
	}{
		{[]uint64{3}, 0},
		{[]uint64{3, 4}, 1},
		{[]uint64{3, 4}, 0},
		{[]uint64{3}, 0},
		{[]uint64{3, 4}, 1},
	} {
		if warnings := report(uint64(4+i), step.attempts...); warnings != step.warnings {
			t.Errorf("report %d of %d tasks of 1 CPU, 1 allowed: %d warnings, want %d",
				i, len(step.attempts), warnings, step.warnings)
		}
	}
	if ctrl.Counters.OverAllocations != 2 {
		t.Errorf("%d reports are counted, want 2", ctrl.Counters.OverAllocations)
	}
}

// The status of a team with a limit contains the amounts held back for unreported machines and for tasks
// without a job.
func TestShardStatusNamesReservedAmounts(t *testing.T) {
	ctrl, _, _ := newMachineWithUnknownTasks(t)
	addUnreportedMachine(ctrl, false)
	teams := ctrl.Status(ctrl.now).Shards[0].Teams
	if len(teams) != 1 {
		t.Fatalf("got %+v, want the team with a limit", teams)
	}
	usage := teams[0]
	if usage.Team != "ops" || usage.Limit.CPUs != 16 || usage.Used.CPUs != 0 {
		t.Errorf("got %+v, want ops with a limit of 16 CPUs and none used", usage)
	}
	if usage.Unreported.CPUs != 8 || usage.Orphaned.CPUs != 7 {
		t.Errorf("got %+v, want 8 CPUs held back for the unreported machine and 7 for orphaned tasks", usage)
	}
}

// The debug line of a start contains the amounts with which its team's limit allowed it.
func TestStartIsLoggedWithItsTeamsUsage(t *testing.T) {
	ctrl, s, mc := newMachineWithUnknownTasks(t)
	ctrl.params.Debug = true
	tr := ctrl.cache.jobs["job-000002"].taskRanges[0]
	heartbeat := testHeartbeat("i-1", 4, 11)
	ctrl.TakeOutputs()
	ctrl.agents.startTask(s, mc, &heartbeat, taskStart{taskRange: tr, runtimeMS: 1000})
	attributes := map[any]any{}
	for _, line := range ctrl.TakeOutputs().Logs {
		for i := 0; line.Message == "start" && i+1 < len(line.Args); i += 2 {
			attributes[line.Args[i]] = line.Args[i+1]
		}
	}
	for _, key := range []string{"team", "allocation", "used", "unreported", "orphaned", "token"} {
		if _, ok := attributes[key]; !ok {
			t.Errorf("the line of a start has no %q", key)
		}
	}
}
