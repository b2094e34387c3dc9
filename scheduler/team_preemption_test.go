package scheduler

import (
	"fmt"
	"testing"
)

// Guards against missed deadlines: a job has two ranges in a shard, and tasks of the first one run. Whether a higher
// priority may delay the job is decided by the work of both ranges.
func TestPreemptionCountsWorkOfAllRanges(t *testing.T) {
	for _, c := range []struct {
		deadlineS float64
		slackMS   int64
		delayable bool
	}{
		// 100 tasks of 10 s on 8 CPUs take 187.5 s with padding. The higher priority delays them by 30 s.
		{deadlineS: 200},
		{deadlineS: 600, slackMS: 412_500, delayable: true},
	} {
		ctrl, s, _ := newControllerWithShard(t)
		ctrl.params.Teams = map[string]Team{"ops": {CPUs: 8, MaxCPUs: 8}}
		ctrl.quotas.initTeamLedgers()
		rec := newTestJobRecord(Range{0, 8, "m0", false}, Range{8, 100, "m0", false})
		rec.Job.Team, rec.Job.EstimateS, rec.Job.DeadlineS = "ops", 10, c.deadlineS
		rec.Job.CheckpointIntervalS, rec.AcceptedAtMS = 1, ctrl.now.WallMS
		putRecord(ctrl, jobKey(rec.Job.ID), rec, 40)
		var running []TaskStatus
		for i := range 8 {
			attemptID := s.attemptIDs.Next(ctrl.now.WallMS)
			running = append(
				running,
				TaskStatus{Task: fmt.Sprintf("%s/%d", rec.Job.ID, i), Attempt: attemptID, State: "running"},
			)
		}
		startsAfterHeartbeat(ctrl, "i-1", "a", 4, running...)
		urgent := newTestJobRecord(Range{0, 8, "m0", false})
		urgent.Job.ID, urgent.Job.Team, urgent.Job.EstimateS, urgent.Job.Priority = "job-000002", "ops", 30, High
		putRecord(ctrl, jobKey(urgent.Job.ID), urgent, 41)
		group := ctrl.placer.newTaskGroup(ctrl.cache.jobs["job-000002"].taskRanges[0], 8)
		slackMS, delayable := ctrl.placer.preemptibleJobs(s, group)[ctrl.cache.jobs[rec.Job.ID]]
		if delayable != c.delayable || slackMS != c.slackMS {
			t.Errorf("deadline of %v s: delayable %v with %d ms of slack, want %v with %d",
				c.deadlineS, delayable, slackMS, c.delayable, c.slackMS)
		}
	}
}
