package scheduler

import (
	"fmt"
	"testing"
)

// However many machines failed its tasks, a job is retried within two leases: until then all
// its tasks wait, whatever capacity there is.
func TestFailingJobPausesForTwoLeasesAtMost(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	ctrl.params.HeartbeatS = ctrl.params.LeaseS / 5
	putTestJob(ctrl, 13, Range{Lo: 0, Hi: 40, Shard: "m0"})
	tr := s.taskRanges[0]
	longestPauseMS := int64(0)
	for n := range 20 {
		failedMachine := *mc
		failedMachine.id = fmt.Sprintf("i-%d", n)
		key := attemptKey{task: TaskName("job-000001", n)}
		ctrl.agents.recordTaskError(&failedMachine, tr, &attempt{key: key, job: &tr.job.rec.Job, taskRange: tr})
		longestPauseMS = max(longestPauseMS, tr.retryAt-ctrl.now.MonotonicMS)
	}
	if longestPauseMS == 0 || longestPauseMS > secondsToMS(2*ctrl.params.LeaseS) {
		t.Errorf("paused for %d ms, want at most two leases of %v s", longestPauseMS, ctrl.params.LeaseS)
	}
}
