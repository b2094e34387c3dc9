package scheduler

import (
	"fmt"
	"testing"
)

// A job is retried after at most two leases, on however many machines its tasks failed. All its tasks
// wait during the back-off, even if capacity is free.
func TestFailingJobBacksOffForAtMostTwoLeases(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	ctrl.params.HeartbeatS = ctrl.params.LeaseS / 5
	putTestJob(ctrl, 13, Range{Lo: 0, Hi: 40, Shard: "m0"})
	tr := s.taskRanges[0]
	longestBackoffMS := int64(0)
	for n := range 20 {
		failedMachine := *mc
		failedMachine.id = fmt.Sprintf("i-%d", n)
		key := attemptKey{task: TaskName("job-000001", n)}
		ctrl.agents.recordTaskError(&failedMachine, tr, &attempt{key: key, job: &tr.job.rec.Job, taskRange: tr})
		longestBackoffMS = max(longestBackoffMS, tr.retryAt-ctrl.now.MonotonicMS)
	}
	if longestBackoffMS == 0 || longestBackoffMS > secondsToMS(2*ctrl.params.LeaseS) {
		t.Errorf("longest back-off is %d ms, want more than 0 and at most two leases of %v s",
			longestBackoffMS, ctrl.params.LeaseS)
	}
}
