package scheduler

import (
	"fmt"
	"testing"
)

// However many machines failed its tasks, a job tries again within two leases: until then
// all its tasks wait, whatever room there is.
func TestFailingJobPausesForTwoLeasesAtMost(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	ctrl.params.HeartbeatS = ctrl.params.LeaseS / 5
	ctrl.cache.applyChange(
		KeyValue{Key: jobKey("job-000001"), Value: mustEncode(newTestJobRecord(Range{Lo: 0, Hi: 40, Shard: "m0"})), Rev: 13},
	)
	tr := s.taskRanges[0]
	longestPauseMS := int64(0)
	for n := range 20 {
		failedMachine := *mc
		failedMachine.id = fmt.Sprintf("i-%d", n)
		ctrl.agents.recordTaskError(
			&failedMachine,
			tr,
			&attempt{key: attemptKey{task: TaskName("job-000001", n)}, job: &tr.job.rec.Job, taskRange: tr},
		)
		longestPauseMS = max(longestPauseMS, tr.retryAt-ctrl.now.MonotonicMS)
	}
	if longestPauseMS == 0 || longestPauseMS > secondsToMS(2*ctrl.params.LeaseS) {
		t.Errorf("it pauses for %d ms, a lease is %v s", longestPauseMS, ctrl.params.LeaseS)
	}
}
