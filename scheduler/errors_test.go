package scheduler

import (
	"fmt"
	"testing"
)

// However many machines failed its tasks, a job tries again within two leases: until then
// all its tasks wait, whatever room there is.
func TestAJobPausesForTwoLeasesAtMost(t *testing.T) {
	m, s, mc := holding(t)
	m.p.ReportS = m.p.LeaseS / 5
	m.apply(Item{Key: jobKey("job-000001"), Value: encode(testJob(Range{Lo: 0, Hi: 40, Shard: "m0"})), Rev: 13})
	w := s.works[0]
	longest := int64(0)
	for n := range 20 {
		on := *mc
		on.id = fmt.Sprintf("i-%d", n)
		m.failed(&on, w, &attempt{key: attemptKey{task: TaskName("job-000001", n)}, job: &w.job.rec.Job, work: w})
		longest = max(longest, w.retryAt-m.now.Steady)
	}
	if longest == 0 || longest > ms(2*m.p.LeaseS) {
		t.Errorf("it pauses for %d ms, a lease is %v s", longest, m.p.LeaseS)
	}
}
