package scheduler

import (
	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
)

// Aging prevents the starvation of large jobs when there is more work than capacity. Admission
// completes as many jobs as possible in time. Within a priority, a job that can no longer meet an
// objective ranks behind all jobs that can, including later arrivals. Earlier deadlines rank first,
// and a job that does not fit its team's guarantee ranks behind those that do. All three rules
// delay the largest and longest jobs of a class. Once such a job has waited for most of the time in
// which jobs are to start (BeginWithinS), its first task ranks before all other tasks of the same
// priority. Only the first task is promoted.

// applyAging ranks the first tasks of large jobs that have waited too long before other tasks of
// the same priority. It returns the groups in their new order, including the groups that were split
// off for first tasks.
func (pp *placementPlanner) applyAging(groups []*taskGroup) []*taskGroup {
	if !pp.params.Aging {
		return groups
	}
	within := secondsToMS(pp.cache.settings.BeginWithinS)
	aged := false
	for _, g := range groups {
		if !g.IsAged(pp.now.WallMS, within) || !pp.isLargeJob(g.job) {
			continue
		}
		aged = true
		if first, split := g.SplitFirst(); split {
			groups = append(groups, &taskGroup{Group: first, taskRange: g.taskRange, job: g.job})
		}
	}
	if aged {
		sortTaskGroups(groups)
	}
	return groups
}

// meanJobVolumes is the mean volume of the live jobs of each class at one point in time.
type meanJobVolumes struct {
	takenAt int64 // monotonic milliseconds; 0: never taken
	byClass map[string]float64
}

// isLargeJob reports whether a job has at least the mean volume of its class's live jobs in all
// shards. The means are computed at most once per summary interval (SummaryS), because approximate
// means are sufficient.
func (pp *placementPlanner) isLargeJob(j *Job) bool {
	takenAt, now := pp.meanJobVolumes.takenAt, pp.now.MonotonicMS
	if takenAt == 0 || now-takenAt > secondsToMS(pp.cache.settings.SummaryS) {
		pp.meanJobVolumes = meanJobVolumes{takenAt: now, byClass: pp.meanVolumes()}
	}
	return pp.jobVolume(j) >= pp.meanJobVolumes.byClass[j.Class]
}

// jobVolume is the CPU time that all tasks of a job need together, in CPU milliseconds.
func (pp *placementPlanner) jobVolume(j *Job) float64 {
	return float64(j.Tasks) * j.Request.CPUs * float64(pp.estimates.expectedRuntime(j))
}

// meanVolumes returns the mean volume of the live jobs of each class.
func (pp *placementPlanner) meanVolumes() map[string]float64 {
	means, jobs := map[string]float64{}, map[string]float64{}
	for _, j := range sortedByKey(pp.cache.jobs) { // in key order, because floating-point sums depend on the order
		class := j.rec.Job.Class
		means[class] += pp.jobVolume(&j.rec.Job)
		jobs[class]++
	}
	for class, n := range jobs {
		means[class] /= n
	}
	return means
}

// reserveLimitForFirstTask reserves part of a team's limit for the first task of a job that has
// waited too long, for one job per team at a time. Without the reservation, smaller tasks would use
// the resources that ending tasks release before enough of the limit is free. It also adds capacity
// demand for the task if no machine can run it, because work that a limit blocks adds none.
func (pp *placementPlanner) reserveLimitForFirstTask(s *shard, g *taskGroup) {
	if s.firstTaskReservations[g.job.Team] != nil {
		return
	}
	allocation, _, _ := pp.quotas.teamAllocation(s, g.job.Team)
	if !allocation.Contains(amountsOf(g.job.Request)) {
		return
	}
	s.firstTaskReservations[g.job.Team] = g.job
	if s.clusterView.CountStartable(&g.Group, 1) == 0 {
		s.recordDemand(g, planner.CapacityDemand{Count: 1, DeadlineMS: g.DeadlineMS})
	}
}

// reservedForFirstTask is the part of its team's limit that a job must leave to the first task that
// has a reservation there. The reserved job itself and jobs of a higher priority leave nothing.
func (q *shardQuota) reservedForFirstTask(j *Job) availability.Resources {
	reservedFor := q.firstTaskReservations[j.Team]
	if reservedFor == nil || reservedFor.ID == j.ID || j.Priority > reservedFor.Priority {
		return availability.Resources{}
	}
	return limitedRequest(reservedFor, 1)
}
