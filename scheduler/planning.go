package scheduler

import (
	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
)

// placementPlanner assigns the waiting tasks of a shard to its machines (package planner) and
// decides which tasks are preempted for which. It owns no cluster state: it reads the input of a
// plan from the shard and stores the result there.
//
// A plan starts no task itself. It records on each machine the tasks to start next. The starts are
// sent with heartbeat responses, or as direct commands if they are urgent, after the checks that
// apply at that time. An outdated plan is therefore harmless.
type placementPlanner struct {
	*environment
	agents    *agentManager
	cache     *stateCache
	estimates *runtimeEstimator
	quotas    *quotaManager

	meanJobVolumes meanJobVolumes
}

func newPlacementPlanner(env *environment) *placementPlanner {
	return &placementPlanner{environment: env}
}

// planStepCostMS is the assumed cost of a planner step, in milliseconds of one CPU. It only paces
// the planner, so a rough estimate is sufficient.
const planStepCostMS = 20e-6

// planningCPUShare is the maximum share of its CPU time that a member spends on planning.
const planningCPUShare = 0.2

// Intervals between two plans of a shard, in milliseconds.
const (
	minPlanIntervalMS  = 50   // minimum after a change
	maxDirtyWaitMS     = 500  // maximum wait for the plan after a change, if plans are cheap
	idlePlanIntervalMS = 1000 // minimum if nothing has changed
)

// isPlanDue reports whether a shard is due for a new plan. A plan runs soon after a job arrives,
// otherwise as often as the cost of the last plan allows. Between plans, a heartbeat that shows
// free capacity starts the next task of the queue on its machine.
func (pp *placementPlanner) isPlanDue(s *shard) bool {
	interval := pp.planInterval(s)
	passed := float64(pp.now.MonotonicMS - s.plannedAt)
	switch {
	case s.planExpedited:
		return passed >= max(minPlanIntervalMS, interval/2)
	case s.dirty:
		return passed >= max(minPlanIntervalMS, min(pp.params.HeartbeatS*1000/4, maxDirtyWaitMS), interval)
	}
	return passed >= max(idlePlanIntervalMS, 2*interval)
}

// planShard admits a shard's waiting work to its machines' queues, tightest objectives first. It
// records the tasks that start now, and the capacity demand of tasks that no machine can finish in
// time.
func (pp *placementPlanner) planShard(s *shard) {
	pp.Counters.Replans++
	s.dirty, s.planExpedited, s.plannedAt = false, false, pp.now.MonotonicMS
	s.demand = s.demand[:0]
	if !s.ready {
		return
	}
	pp.setRequiredRequests()
	pp.buildClusterView(s)
	pp.updateReserve(s)
	s.queue = pp.waitingTaskGroups(s)
	view := s.clusterView
	view.Examined += len(s.queue)
	pacedForMS := max(pp.maxHeartbeatIntervalMS(), int64(2*pp.planInterval(s)))
	view.PacedStartsLeft = s.reconciler.Pacer.Available(pp.now.MonotonicMS, pp.now.MonotonicMS+pacedForMS)
	pp.placeQueue(s)
	pp.forecastDemand(s)
	s.spareCPUs, s.planSteps = view.SpareCPUs, view.Examined
	if s.reconciler.IsAwaitingHeartbeats(pp.now.MonotonicMS) {
		// Machines that have not sent a heartbeat yet may have capacity. Until they have had time
		// to report, nothing is provisioned or moved for work that they could run.
		s.demand, s.forecastDemand = s.demand[:0], s.forecastDemand[:0]
	}
}

// setRequiredRequests passes the resource requests of all live jobs to the placement catalog.
func (pp *placementPlanner) setRequiredRequests() {
	pp.cache.placementCatalog.SetRequired(func(yield func(planner.ResourceRequest) bool) {
		for _, j := range pp.cache.jobs {
			if !yield(j.rec.Job.resourceRequest()) {
				return
			}
		}
	})
}

// plannedUsage is the part of each team's limit that the current plan has already used, by its
// starts and by the machines that it requests. Without it, each group would see the whole free
// limit, and machines would be provisioned for all groups. That happened in the second after a full
// outage, and whenever a team had some headroom and many jobs that fit on no machine.
type plannedUsage struct {
	started, requested map[string]availability.Resources
}

// add counts a group that the plan has placed.
func (u plannedUsage) add(g *taskGroup, startedTasks int) {
	team := g.job.Team
	u.started[team] = u.started[team].Add(limitedRequest(g.job, startedTasks))
	u.requested[team] = u.requested[team].Add(limitedRequest(g.job, g.ProvisionRequested))
}

// limitedRequest returns the resources of n tasks of a job that count against limits.
func limitedRequest(j *Job, n int) availability.Resources {
	return availability.Resources{CPUs: float64(n) * j.Request.CPUs, GPUs: float64(n) * j.Request.GPUs}
}

// placeQueue places the groups of a shard's queue in order.
func (pp *placementPlanner) placeQueue(s *shard) {
	planned := plannedUsage{map[string]availability.Resources{}, map[string]availability.Resources{}}
	clear(s.placeableDemand)
	clear(s.firstTaskReservations)
	s.reclaimableTeams = nil
	for _, g := range s.queue {
		if !pp.mayPlace(s, g.taskRange) {
			continue
		}
		limit := pp.applyTeamLimit(s, g, planned)
		if g.Remaining <= 0 {
			continue
		}
		startedTasks := pp.placeGroup(s, g)
		if startedTasks > limit {
			pp.preempt(s, g, startedTasks-limit)
		}
		pp.quotas.reclaimForGuarantee(s, g, min(g.Waiting, limit-startedTasks))
		planned.add(g, startedTasks)
	}
}

// mayPlace reports whether tasks of a range may be placed now. Three conditions prevent it: a
// back-off after errors, an earlier attempt that may still run on an unreported machine, or a
// pending move of the range's tail.
func (pp *placementPlanner) mayPlace(s *shard, tr *taskRange) bool {
	if pp.now.MonotonicMS < tr.retryAt || tr.moving {
		return false
	}
	return !pp.agents.isBlockedByUnreported(s, tr)
}

// applyTeamLimit reduces a group to the tasks that its team's limit allows, including those that
// preemption would allow. It returns the number of tasks that the limit allows without preemption.
func (pp *placementPlanner) applyTeamLimit(s *shard, g *taskGroup, planned plannedUsage) (limit int) {
	started, requested := planned.started[g.job.Team], planned.requested[g.job.Team]
	limit = pp.quotas.tasksWithinTeamLimit(s, g.job, started)
	if g.IsFirstTask && limit == 0 {
		pp.reserveLimitForFirstTask(s, g)
	}
	if limit < g.Remaining {
		// The limit allows no more tasks at once; provisioning machines would not help.
		pp.quotas.recordPlaceableDemand(s, g)
		g.Remaining = limit + pp.preemptibleTaskCount(s, g, g.Remaining-limit)
	}
	afterPreemption := max(0, g.Remaining-limit)
	g.ProvisionLimit = pp.quotas.tasksWithinTeamLimit(s, g.job, started.Add(requested)) + afterPreemption
	return limit
}

// gangStartIntervals is how long the common start of a gang may take, in maximum heartbeat
// intervals.
const gangStartIntervals = 3

// prepareGang sets the state of a gang's start for the planner. The machines receive their starts
// one after another, with their heartbeat responses.
func (pp *placementPlanner) prepareGang(g *taskGroup) {
	tr := g.taskRange
	g.IncompleteGang = g.Remaining < tr.pending()
	switch {
	case tr.assignedCount == 0:
		g.GangAttempt = planner.GangAttemptNew
	case pp.now.MonotonicMS-tr.gangStartedAt < gangStartIntervals*pp.maxHeartbeatIntervalMS():
		g.GangAttempt = planner.GangAttemptContinues
	default:
		g.GangAttempt = planner.GangAttemptWaits
	}
}

// placeGroup admits a group to the shard's machines and returns the number of its tasks that start
// now.
func (pp *placementPlanner) placeGroup(s *shard, g *taskGroup) int {
	tr := g.taskRange
	if g.IsGang {
		pp.prepareGang(g)
	}
	placement := s.clusterView.Place(&g.Group, pp.cache.settings.LateShare)
	if placement.StartsGang {
		attempt := s.attemptIDs.Next(pp.now.WallMS)
		tr.gangStart = gangStart{pp.now.MonotonicMS, attempt, newBitset(tr.size())}
	}
	tr.admitted = placement.Admitted
	for _, start := range placement.Starts {
		mc := s.viewMachines[start.MachineIndex]
		mc.plannedStarts = append(mc.plannedStarts, plannedStart{
			taskRange:             tr,
			count:                 start.Count,
			runtimeMS:             g.LengthMS,
			fetchMS:               start.FetchMS,
			canMeetStartObjective: g.HasObjective,
		})
	}
	for _, missing := range placement.Demands {
		s.recordDemand(g, missing)
	}
	return placement.StartedTasks
}

// recordDemand records the demand for machines for tasks of a group.
func (plan *shardPlan) recordDemand(g *taskGroup, missing planner.CapacityDemand) {
	plan.demand = append(plan.demand, rangeDemand{
		taskRange: g.taskRange,
		CapacityDemand: CapacityDemand{
			Job:           g.job.ID,
			Tasks:         missing.Count,
			DeadlineMS:    missing.DeadlineMS,
			TaskRuntimeMS: g.LengthMS,
			SpotOnly:      missing.SpotOnly,
		},
	})
}

// availabilitySummary returns the availability of a shard's machines, as sent to peers.
func (pp *placementPlanner) availabilitySummary(s *shard) availability.Summary {
	return s.clusterView.Summary(
		pp.now.WallMS+noDeadlineSpanLeases*secondsToMS(pp.params.LeaseS),
		pp.cache.settings.Functions,
		pp.cache.settings.Samples,
	)
}
