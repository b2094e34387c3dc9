package scheduler

import "github.com/grebedock/grebedock/availability"

// Aging is the exception for large jobs when there is more work than capacity. Admission
// serves as many jobs in time as it can: what cannot be in time any more goes behind whatever
// comes, earlier deadlines go first, and a job that does not fit its team's guarantee goes
// behind those that do. All three put off the largest and the longest of a class. Once such
// a job has waited for most of the time in which jobs are to begin (BeginWithinS), its first
// task, and no more, goes before its equals.

// applyAging puts the first tasks of large jobs that waited too long to begin before their equals.
// It returns the groups, in their new order, with those split off.
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

// meanJobVolumes is the mean volume of the live jobs of each class, as of a moment.
type meanJobVolumes struct {
	takenAt int64 // monotonic milliseconds; 0: never
	byClass map[string]float64
}

// isLargeJob reports whether a job has at least the mean volume of its class's live jobs, in all
// shards. The means are computed once between two summaries: they need not be more exact.
func (pp *placementPlanner) isLargeJob(j *Job) bool {
	takenAt, now := pp.meanJobVolumes.takenAt, pp.now.MonotonicMS
	if takenAt == 0 || now-takenAt > secondsToMS(pp.cache.settings.SummaryS) {
		pp.meanJobVolumes = meanJobVolumes{takenAt: now, byClass: pp.meanVolumes()}
	}
	return pp.jobVolume(j) >= pp.meanJobVolumes.byClass[j.Class]
}

// jobVolume is what all tasks of a job take together, in processor milliseconds.
func (pp *placementPlanner) jobVolume(j *Job) float64 {
	return float64(j.Tasks) * j.Request.CPUs * float64(pp.estimates.expectedRuntime(j))
}

// meanVolumes is the mean volume of the live jobs of each class.
func (pp *placementPlanner) meanVolumes() map[string]float64 {
	means, jobs := map[string]float64{}, map[string]float64{}
	for _, j := range sortedByKey(pp.cache.jobs) { // in order: sums of floats depend on it
		class := j.rec.Job.Class
		means[class] += pp.jobVolume(&j.rec.Job)
		jobs[class]++
	}
	for class, n := range jobs {
		means[class] /= n
	}
	return means
}

// reserveLimitForFirstTask collects room of a team's limit for the first task of a job that waited
// too long to begin, one job at a time. Otherwise smaller tasks would take what others give
// back before it is enough. A machine is requested too, since work that a limit holds up
// requests none.
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
		s.demand = append(s.demand, CapacityDemand{
			Job:           g.job.ID,
			Tasks:         1,
			DeadlineMS:    g.DeadlineMS,
			TaskRuntimeMS: g.LengthMS,
		})
	}
}

// reservedForFirstTask is what a job must leave of its team's limit to a first task that has a
// reservation there.
func (q *shardQuota) reservedForFirstTask(j *Job) availability.Resources {
	reservedFor := q.firstTaskReservations[j.Team]
	if reservedFor == nil || reservedFor.ID == j.ID || j.Priority > reservedFor.Priority {
		return availability.Resources{}
	}
	return limitedRequest(reservedFor, 1)
}
