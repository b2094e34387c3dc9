package scheduler

import (
	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/reconcile"
)

// forecastDemand computes the capacity demand of tasks that run on machines with a termination
// notice and will not finish before the machine terminates. A new machine takes longer to boot
// than the notice period; without the forecast it would be requested only after the tasks are lost.
func (pp *placementPlanner) forecastDemand(s *shard) {
	s.forecastDemand = s.forecastDemand[:0]
	unfinished := pp.unfinishedAtNotice(s)
	if len(unfinished) == 0 {
		return
	}
	machines := s.clusterView.Machines()
	free := make([]availability.Resources, len(machines))
	for i, viewMachine := range machines {
		free[i] = viewMachine.Free
	}
	for _, tr := range s.taskRanges {
		if unfinished[tr] == 0 {
			continue
		}
		j := &tr.job.rec.Job
		missing := pp.takeFree(machines, free, j, unfinished[tr])
		if missing == 0 {
			continue
		}
		runtimeMS := pp.estimates.expectedRuntime(j)
		_, deadline, _ := pp.taskDeadlines(j, tr.job.rec.AcceptedAtMS, runtimeMS)
		s.forecastDemand = append(s.forecastDemand, CapacityDemand{
			Job:           j.ID,
			Tasks:         missing,
			DeadlineMS:    deadline,
			TaskRuntimeMS: runtimeMS,
			SpotOnly:      j.Spot,
		})
	}
}

// unfinishedAtNotice counts, by task range, the attempts of live jobs that will still run when
// the termination notice of their machine expires.
func (pp *placementPlanner) unfinishedAtNotice(s *shard) map[*taskRange]int {
	unfinished := map[*taskRange]int{}
	for _, mc := range s.machines {
		if mc.terminatesAt == 0 || mc.liveAttemptCount == 0 || mc.State() == reconcile.LeaseExpired {
			continue
		}
		terminatesAtWall := pp.now.WallMS + mc.terminatesAt - pp.now.MonotonicMS
		for _, a := range mc.byKey {
			isLive := !a.exited && pp.cache.jobs[a.job.ID] == a.taskRange.job
			if isLive && a.expectedEnd(pp.now.WallMS) > terminatesAtWall {
				unfinished[a.taskRange]++
			}
		}
	}
	return unfinished
}

// takeFree subtracts the resources of up to n tasks of a job from the free resources of the
// machines. It returns the number of tasks that do not fit.
func (pp *placementPlanner) takeFree(
	machines []*planner.Machine,
	free []availability.Resources,
	j *Job,
	n int,
) (missing int) {
	catalog := pp.cache.placementCatalog
	taskResources, request := withoutDisk(j.Request), j.resourceRequest()
	missing = n
	for i, viewMachine := range machines {
		if missing == 0 {
			break
		}
		offering := viewMachine.Offering
		if !catalog.IsAllowed(&request, offering) || catalog.ShouldAvoid(&request, offering.Type) {
			continue
		}
		fitting := free[i].MaxCopies(taskResources, missing)
		missing -= fitting
		for range fitting {
			free[i] = free[i].Sub(taskResources)
		}
	}
	return missing
}
