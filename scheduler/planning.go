package scheduler

import (
	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
)

// placementPlanner plans the waiting tasks of a shard on its machines (package
// planner), and decides which of them are preempted for which. It owns no cluster
// state: a plan is read from the shard, and its result is kept there.
//
// A plan starts nothing by itself. It notes on the machines which tasks they take
// next; starts are sent with the responses to their heartbeats, under the checks
// of that moment. So a plan may be out of date without harm.
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

// planStepCostMS is the assumed cost of a step of the planner, in milliseconds of a
// whole processor. It only paces the planner, so a rough figure does.
const planStepCostMS = 20e-6

// planningCPUShare is the largest part of its processor that a member spends on planning.
const planningCPUShare = 0.2

// Least times between two plans of a shard, in milliseconds.
const (
	minPlanIntervalMS  = 50   // after a change
	maxDirtyWaitMS     = 500  // before the plan that follows a change, if plans cost little
	idlePlanIntervalMS = 1000 // without a change
)

// isPlanDue reports whether a shard is to be planned again: soon when a job arrived,
// otherwise as often as the last plan's cost allows. Machines whose heartbeats show free
// capacity in between take the next task of the queue by themselves.
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

// planShard admits a shard's waiting work to its machines' queues, tightest objectives
// first, and notes what starts now and what no machine can take in time.
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
		// Machines that have sent no heartbeat yet would serve: nothing is provisioned for
		// what they take, nor moved, until they had the time to.
		s.demand, s.forecastDemand = s.demand[:0], s.forecastDemand[:0]
	}
}

// setRequiredRequests gives the placement catalog the requests of all live jobs.
func (pp *placementPlanner) setRequiredRequests() {
	pp.cache.placementCatalog.SetRequired(func(yield func(planner.ResourceRequest) bool) {
		for _, j := range pp.cache.jobs {
			if !yield(j.rec.Job.resourceRequest()) {
				return
			}
		}
	})
}

// plannedUsage is what a plan has used up so far, by team: of limits by its starts, and
// by the machines that it requests. When each group saw all that was free of the
// limit, machines were provisioned for all of them: in the second after a full
// outage, and wherever a team had some room and many jobs that fit nowhere.
type plannedUsage struct {
	started, requested map[string]availability.Resources
}

func (u plannedUsage) add(g *taskGroup, startedTasks int) {
	team := g.job.Team
	u.started[team] = u.started[team].Add(limitedRequest(g.job, startedTasks))
	u.requested[team] = u.requested[team].Add(limitedRequest(g.job, g.ProvisionRequested))
}

// limitedRequest is what n tasks of a job take of what limits count.
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

// mayPlace reports whether tasks of a range may be placed now: not while it waits after errors,
// or an earlier attempt may still run unnoticed, or its tail is being moved.
func (pp *placementPlanner) mayPlace(s *shard, tr *taskRange) bool {
	if pp.now.MonotonicMS < tr.retryAt || tr.moving {
		return false
	}
	return !pp.agents.isBlockedByUnreported(s, tr)
}

// applyTeamLimit cuts a group down to what its team's limit takes, with what preemption would
// add to it, and returns how many tasks the limit takes as it is.
func (pp *placementPlanner) applyTeamLimit(s *shard, g *taskGroup, planned plannedUsage) (limit int) {
	started, requested := planned.started[g.job.Team], planned.requested[g.job.Team]
	limit = pp.quotas.tasksWithinTeamLimit(s, g.job, started)
	if g.IsFirstTask && limit == 0 {
		pp.reserveLimitForFirstTask(s, g)
	}
	if limit < g.Remaining {
		// More cannot run at once; provisioning machines would not help.
		pp.quotas.recordPlaceableDemand(s, g)
		g.Remaining = limit + pp.preemptibleTaskCount(s, g, g.Remaining-limit)
	}
	afterPreemption := max(0, g.Remaining-limit)
	g.ProvisionLimit = pp.quotas.tasksWithinTeamLimit(s, g.job, started.Add(requested)) + afterPreemption
	return limit
}

// gangStartIntervals is for how many of the longest intervals between heartbeats an attempt to
// start a gang goes on.
const gangStartIntervals = 3

// prepareGang tells the planner how far the start of a gang is. Its machines receive their
// starts one after the other, with their heartbeats.
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

// placeGroup admits a group to the shard's machines and returns how many of its
// tasks start now.
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
			taskRange:         tr,
			count:             start.Count,
			runtimeMS:         g.LengthMS,
			fetchMS:           start.FetchMS,
			hasStartObjective: g.HasObjective,
		})
	}
	for _, missing := range placement.Demands {
		s.demand = append(s.demand, CapacityDemand{
			Job:           g.job.ID,
			Tasks:         missing.Count,
			DeadlineMS:    missing.DeadlineMS,
			TaskRuntimeMS: g.LengthMS,
			SpotOnly:      missing.SpotOnly,
		})
	}
	return placement.StartedTasks
}

// availabilitySummary is the availability of a shard's machines that its peers are sent.
func (pp *placementPlanner) availabilitySummary(s *shard) availability.Summary {
	return s.clusterView.Summary(
		pp.now.WallMS+noDeadlineSpanLeases*secondsToMS(pp.params.LeaseS),
		pp.cache.settings.Functions,
		pp.cache.settings.Samples,
	)
}
