package scheduler

import (
	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/reconcile"
)

// forecastDemand notes the capacity that tasks will need which run on machines with a
// termination notice and will not end before it. A new machine takes longer to boot than
// a notice lasts, and would otherwise be requested only when the tasks are lost.
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

// unfinishedAtNotice counts, by range, the attempts of live jobs that will run when the notice
// of their machine ends.
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

// takeFree takes room for n tasks of a job from what is free on the machines and returns for
// how many there is none.
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
