package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/reconcile"
)

// placementPlanner plans the waiting tasks of a shard on its machines (package
// planner), and decides which of them are preempted for which.
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

// noDeadlineSpanLeases is the horizon of a job without any aim, in leases: far enough that
// any job with a deadline goes first.
const noDeadlineSpanLeases = 100

// taskDeadlines are the times that a job's tasks are admitted for. tight is when they
// must end to have started as their class's aims ask; due is the earliest time
// that still counts for something and can still be met. lost says that none can:
// due is then the last one, and the job aims late.
func (pp *placementPlanner) taskDeadlines(j *Job, accepted, runtimeMS int64) (startObjectiveEnd, deadline int64, missed bool) {
	far := accepted + noDeadlineSpanLeases*secondsToMS(pp.params.LeaseS)
	startBy := far
	for _, o := range pp.params.Objectives[j.Class] {
		if o.Kind == "wait" {
			startBy = min(startBy, accepted+secondsToMS(o.WithinS))
		}
	}
	if t := pp.params.Teams[j.Team]; pp.params.GuaranteeWithinS > 0 && (t.CPUs > 0 || t.GPUs > 0) {
		startBy = min(startBy, accepted+secondsToMS(pp.params.GuaranteeWithinS))
	}
	deadline = far
	if deadlines := pp.objectiveDeadlines(j, accepted); len(deadlines) > 0 {
		missed = true
		deadline = deadlines[len(deadlines)-1]
		for _, t := range deadlines {
			if pp.now.WallMS+runtimeMS <= t {
				deadline, missed = t, false
				break
			}
		}
	}
	return min(startBy+runtimeMS, deadline), deadline, missed
}

// resourceRequest is what placement sees of a job.
func (j *Job) resourceRequest() planner.ResourceRequest {
	return planner.ResourceRequest{Resources: j.Request, Image: j.Image, Types: j.Types, Zone: j.Zone, AllowsSpot: j.Spot}
}

// withoutDisk leaves the image out: a machine that must make room for it does.
func withoutDisk(r availability.Resources) availability.Resources {
	r.DiskGB = 0
	return r
}

// buildClusterView puts a shard's machines on its board, with a lane for each live attempt.
func (pp *placementPlanner) buildClusterView(s *shard) {
	wall := pp.now.WallMS
	b := s.clusterView
	b.Begin(wall)
	s.viewMachines = s.viewMachines[:0]
	s.objectiveCPUs = 0
	clear(s.remainingWork)
	clear(s.reservedTasks)
	for _, mc := range s.machines {
		mc.plannedStarts = nil
		if !pp.agents.isSchedulable(mc) {
			continue
		}
		upAt := wall
		if !mc.Up {
			boot := secondsToMS(pp.cache.machineTypes[mc.rec.Type].BootS)
			upAt = mc.rec.ProvisionedAtMS + boot
			if overdue := wall - upAt; overdue > 0 {
				if overdue > boot*2 {
					continue // it may never come up
				}
				upAt = wall + overdue/2
			}
		} else if !mc.IsReconciled() {
			upAt = wall + secondsToMS(pp.params.LeaseS)/2
		}
		viewMachine := b.AddMachine(
			mc.id,
			planner.InstanceOffering{Type: mc.rec.Type, Zone: mc.rec.Zone, Spot: mc.rec.Spot},
			mc.imageCache,
		)
		viewMachine.ReadyAtMS, viewMachine.Ready = upAt, mc.IsReconciled()
		s.viewMachines = append(s.viewMachines, mc)
		for _, a := range mc.byKey {
			if a.exited {
				continue
			}
			viewMachine.Free = viewMachine.Free.Sub(a.job.Request)
			expectedEnd := a.expectedEnd(wall)
			viewMachine.AddSlot(a.job.Request, expectedEnd)
			s.remainingWork[a.job.Team] += float64(expectedEnd-wall) * a.job.Request.CPUs
			if viewMachine.Ready && a.hasStartObjective {
				s.objectiveCPUs += a.job.Request.CPUs
			}
		}
		viewMachine.Free = viewMachine.Free.Sub(pp.quotas.reservedResources(mc))
		if reservation := mc.reservation; reservation != nil {
			s.reservedTasks[reservation.taskRange] += reservation.count
		}
		slices.SortFunc(viewMachine.Slots, func(a, b planner.Slot) int {
			return cmp.Or(
				cmp.Compare(a.Queue.EarliestStart, b.Queue.EarliestStart),
				cmp.Compare(a.Resources.CPUs, b.Resources.CPUs),
				cmp.Compare(a.Resources.MemoryGB, b.Resources.MemoryGB),
			)
		})
	}
	b.FinishAdding()
}

// taskGroup is the tasks of one work that wait for a machine.
type taskGroup struct {
	planner.Group
	taskRange *taskRange
	job       *Job
}

// newTaskGroup makes a group of tasks of a work.
func (pp *placementPlanner) newTaskGroup(tr *taskRange, pending int) *taskGroup {
	j := &tr.job.rec.Job
	g := &taskGroup{
		taskRange: tr,
		job:       j,
		Group: planner.Group{
			Request:            j.resourceRequest(),
			Priority:           int(j.Priority),
			Remaining:          pending,
			JobTasks:           j.Tasks,
			LengthMS:           pp.estimates.expectedRuntime(j),
			AcceptedMS:         tr.job.rec.AcceptedAtMS,
			HasBegun:           tr.hasStarted(),
			PreviouslyAdmitted: tr.admitted,
			Name:               j.ID,
			RangeStart:         tr.bounds.Lo,
			Constraints: planner.Constraints{
				IsGang:            j.Kind == Gang,
				SingleZone:        j.OneZone,
				SpreadZones:       j.Spread,
				RunningByZone:     tr.attemptsByZone,
				FailuresByMachine: tr.errorsByMachine,
			},
		},
	}
	g.ObjectiveDeadlineMS, g.DeadlineMS, g.MissedObjectives = pp.taskDeadlines(j, g.AcceptedMS, g.LengthMS)
	return g
}

func sortTaskGroups(groups []*taskGroup) {
	planner.SortGroups(groups, func(g *taskGroup) *planner.Group { return &g.Group })
}

// waitingTaskGroups lists a shard's waiting work: higher priority first; within one, what
// can meet an aim before what can't, what was admitted keeps its place, then earliest deadline, then arrival.
func (pp *placementPlanner) waitingTaskGroups(s *shard) []*taskGroup {
	var out []*taskGroup
	for _, tr := range s.taskRanges {
		waiting := pp.agents.schedulableTasks(tr)
		if waiting <= 0 {
			continue
		}
		g := pp.newTaskGroup(tr, waiting)
		g.WithinGuarantee = pp.params.Quota && pp.quotas.isWithinGuarantee(g.job)
		g.HasObjective = g.ObjectiveDeadlineMS < g.DeadlineMS && g.ObjectiveDeadlineMS-g.LengthMS >= pp.now.WallMS
		out = append(out, g)
	}
	sortTaskGroups(out)
	if pp.admitToTeamLimits(s, out) {
		sortTaskGroups(out)
	}
	if pp.params.Quota && pp.quotas.assignUsageTiers(out) {
		sortTaskGroups(out)
	}
	return pp.applyAging(out)
}

// admitToTeamLimits admits groups to their teams' limits as tasks are admitted to
// machines: a limit is a queue that works at the speed of its processors. A
// group that would not be done in time there, or would make one late that was
// admitted, aims for the next time that counts, or goes last. Without it a team
// over its limit ran the earliest deadlines, which it had missed already, and
// nothing in time.
func (pp *placementPlanner) admitToTeamLimits(s *shard, groups []*taskGroup) (changed bool) {
	queues := map[string]*availability.Queue{}
	for _, g := range groups {
		allocation, t, limited := pp.quotas.teamAllocation(s, g.job.Team)
		if !limited || t.MaxCPUs <= 0 || allocation.CPUs <= 0 || g.job.Kind != Array || g.MissedObjectives {
			continue
		}
		queue := queues[g.job.Team]
		if queue == nil {
			queue = &availability.Queue{EarliestStart: pp.now.WallMS + int64(s.remainingWork[g.job.Team]/allocation.CPUs)}
			queues[g.job.Team] = queue
		}
		duration := int64(float64(g.Remaining) * g.job.Request.CPUs / allocation.CPUs * float64(g.LengthMS))
		// However wide the limit, its last task takes its length.
		tail := max(0, g.LengthMS-duration)
		if queue.Admit(g.DeadlineMS-tail, duration, 1) == 1 {
			continue
		}
		changed, g.MissedObjectives = true, true
		for _, t := range pp.objectiveDeadlines(g.job, g.taskRange.job.rec.AcceptedAtMS) {
			if t > g.DeadlineMS && queue.Admit(t-tail, duration, 1) == 1 {
				g.DeadlineMS, g.MissedObjectives = t, false
				break
			}
		}
	}
	return changed
}

// planShard admits a shard's waiting work to its machines' queues, tightest aims
// first, and notes what starts now and what no machine can take in time.
func (pp *placementPlanner) planShard(s *shard) {
	pp.Counters.Replans++
	s.dirty, s.planExpedited, s.plannedAt = false, false, pp.now.MonotonicMS
	s.demand = s.demand[:0]
	if !s.ready {
		return
	}
	pp.cache.placementCatalog.SetRequired(func(yield func(planner.ResourceRequest) bool) {
		for _, j := range pp.cache.jobs {
			if !yield(j.rec.Job.resourceRequest()) {
				return
			}
		}
	})
	view := s.clusterView
	pp.buildClusterView(s)
	pp.updateReserve(s)
	s.queue = pp.waitingTaskGroups(s)
	view.Examined += len(s.queue)
	view.PacedStartsLeft = s.reconciler.Pacer.Available(
		pp.now.MonotonicMS,
		pp.now.MonotonicMS+max(pp.maxHeartbeatIntervalMS(), int64(2*pp.planInterval(s))),
	)
	// What a plan starts uses its team's limit up for what comes behind, and what it
	// asks machines for, for what asks behind. Each group saw all that was free of
	// the limit, and machines were rented for all of them: in the second after an
	// end of all, and wherever a team had some room and many jobs that fit nowhere.
	started, requested := map[string]availability.Resources{}, map[string]availability.Resources{}
	requestOf := func(n int, j *Job) availability.Resources {
		return availability.Resources{CPUs: float64(n) * j.Request.CPUs, GPUs: float64(n) * j.Request.GPUs}
	}
	clear(s.placeableDemand)
	clear(s.firstTaskReservations)
	s.reclaimableTeams = nil
	for _, g := range s.queue {
		if pp.now.MonotonicMS < g.taskRange.retryAt || pp.agents.isBlockedByUnreported(s, g.taskRange) || g.taskRange.moving {
			continue
		}
		limit := pp.quotas.tasksWithinTeamLimit(s, g.job, started[g.job.Team])
		if g.IsFirstTask && limit == 0 {
			pp.reserveLimitForFirstTask(s, g)
		}
		if limit < g.Remaining {
			// More cannot run at once; asking for machines would not help.
			pp.quotas.recordPlaceableDemand(s, g)
			g.Remaining = limit + pp.preemptibleTaskCount(s, g, g.Remaining-limit)
		}
		g.ProvisionLimit = pp.quotas.tasksWithinTeamLimit(
			s,
			g.job,
			started[g.job.Team].Add(requested[g.job.Team]),
		) + max(
			0,
			g.Remaining-limit,
		)
		if g.Remaining > 0 {
			startedTasks := pp.placeGroup(s, g)
			if startedTasks > limit {
				pp.preempt(s, g, startedTasks-limit)
			}
			pp.quotas.reclaimForGuarantee(s, g, min(g.Waiting, limit-startedTasks))
			started[g.job.Team] = started[g.job.Team].Add(requestOf(startedTasks, g.job))
			requested[g.job.Team] = requested[g.job.Team].Add(requestOf(g.ProvisionRequested, g.job))
		}
	}
	pp.forecastDemand(s)
	s.spareCPUs, s.planSteps = view.SpareCPUs, view.Examined
	if s.reconciler.IsAwaitingHeartbeats(pp.now.MonotonicMS) {
		// Machines that have not spoken yet would serve: nothing is rented for
		// what they take, nor moved, until they had the time to.
		s.demand, s.forecastDemand = s.demand[:0], s.forecastDemand[:0]
	}
}

// forecastDemand notes what tasks will need that run on machines with a notice and will
// not end before it: a new machine takes longer to boot than a notice lasts, and
// without it is asked for only when they are lost.
func (pp *placementPlanner) forecastDemand(s *shard) {
	s.forecastDemand = s.forecastDemand[:0]
	unfinished := map[*taskRange]int{}
	for _, mc := range s.machines {
		if mc.terminatesAt == 0 || mc.liveAttemptCount == 0 || mc.State() == reconcile.LeaseExpired {
			continue
		}
		until := pp.now.WallMS + mc.terminatesAt - pp.now.MonotonicMS
		for _, a := range mc.byKey {
			if !a.exited && a.expectedEnd(pp.now.WallMS) > until && pp.cache.jobs[a.job.ID] == a.taskRange.job {
				unfinished[a.taskRange]++
			}
		}
	}
	if len(unfinished) == 0 {
		return
	}
	machines := s.clusterView.Machines()
	free := make([]availability.Resources, len(machines))
	for i, viewMachine := range machines {
		free[i] = viewMachine.Free
	}
	for _, tr := range s.taskRanges {
		remaining := unfinished[tr]
		if remaining == 0 {
			continue
		}
		j := &tr.job.rec.Job
		req := withoutDisk(j.Request)
		request := j.resourceRequest()
		for i, viewMachine := range machines {
			if remaining == 0 {
				break
			}
			if !pp.cache.placementCatalog.IsAllowed(&request, viewMachine.Offering) ||
				pp.cache.placementCatalog.ShouldAvoid(&request, viewMachine.Offering.Type) {
				continue
			}
			n := free[i].MaxCopies(req, remaining)
			remaining -= n
			for range n {
				free[i] = free[i].Sub(req)
			}
		}
		if remaining > 0 {
			runtimeMS := pp.estimates.expectedRuntime(j)
			_, deadline, _ := pp.taskDeadlines(j, tr.job.rec.AcceptedAtMS, runtimeMS)
			s.forecastDemand = append(
				s.forecastDemand,
				CapacityDemand{Job: j.ID, Tasks: remaining, DeadlineMS: deadline, TaskRuntimeMS: runtimeMS, SpotOnly: j.Spot},
			)
		}
	}
}

// reserveFactor is how much room is kept free for jobs with a start aim by jobs
// that have none and can wait in a queue in time, against how much the use of
// the former varies. If jobs arrive at random, that is the root of their average
// use times the size of one: a share of the use itself, which did for a few
// machines, kept a tenth of hundreds idle.
const reserveFactor = 0.5

// reserveAveragingLeases is over how many leases that average runs.
const reserveAveragingLeases = 3

// updateReserve brings the reserve of a shard up to date: room on machines that are
// up for the next jobs of classes with a start aim.
func (pp *placementPlanner) updateReserve(s *shard) {
	jobs, cpus := 0.0, 0.0
	for _, tr := range s.taskRanges {
		if j := &tr.job.rec.Job; pp.hasStartObjective(j) {
			jobs++
			cpus += float64(tr.size()) * j.Request.CPUs
		}
	}
	if passed := float64(pp.now.MonotonicMS - s.reserveUpdatedAt); passed > 0 {
		weight := min(1, passed/(reserveAveragingLeases*pp.params.LeaseS*1000))
		s.meanObjectiveCPUs += (s.objectiveCPUs - s.meanObjectiveCPUs) * weight
		if jobs > 0 {
			s.meanObjectiveJobCPUs += (cpus/jobs - s.meanObjectiveJobCPUs) * weight
		}
		s.reserveUpdatedAt = pp.now.MonotonicMS
	}
	s.reserveCPUs = min(s.meanObjectiveCPUs, math.Sqrt(s.meanObjectiveCPUs*s.meanObjectiveJobCPUs)) * reserveFactor
	s.clusterView.ReservedCPUs = s.reserveCPUs
}

// placeGroup admits a group to the shard's machines and returns how many of its
// tasks start now.
func (pp *placementPlanner) placeGroup(s *shard, g *taskGroup) int {
	if g.IsGang {
		g.GangAttempt, g.IncompleteGang = planner.GangAttemptNew, g.Remaining < g.taskRange.pending()
		if g.taskRange.assignedCount > 0 {
			// Its machines are told one after the other, as they report.
			if g.GangAttempt = planner.GangAttemptWaits; pp.now.MonotonicMS-g.taskRange.gangStartedAt < 3*pp.maxHeartbeatIntervalMS() {
				g.GangAttempt = planner.GangAttemptContinues
			}
		}
	}
	placement := s.clusterView.Place(&g.Group, pp.cache.settings.LateShare)
	if placement.StartsGang {
		g.taskRange.gangStartedAt, g.taskRange.gangAttempt, g.taskRange.gangStartsSent = pp.now.MonotonicMS, s.attemptIDs.Next(
			pp.now.WallMS,
		), newBitset(
			g.taskRange.size(),
		)
	}
	g.taskRange.admitted = placement.Admitted
	for _, start := range placement.Starts {
		mc := s.viewMachines[start.MachineIndex]
		mc.plannedStarts = append(
			mc.plannedStarts,
			plannedStart{
				taskRange:         g.taskRange,
				count:             start.Count,
				runtimeMS:         g.LengthMS,
				fetchMS:           start.FetchMS,
				hasStartObjective: g.HasObjective,
			},
		)
	}
	for _, n := range placement.Demands {
		s.demand = append(
			s.demand,
			CapacityDemand{
				Job:           g.job.ID,
				Tasks:         n.Count,
				DeadlineMS:    n.DeadlineMS,
				TaskRuntimeMS: g.LengthMS,
				SpotOnly:      n.SpotOnly,
			},
		)
	}
	return placement.StartedTasks
}

// availabilitySummary is a shard's availability as its peers see it.
func (pp *placementPlanner) availabilitySummary(s *shard) availability.Summary {
	return s.clusterView.Summary(
		pp.now.WallMS+noDeadlineSpanLeases*secondsToMS(pp.params.LeaseS),
		pp.cache.settings.Functions,
		pp.cache.settings.Samples,
	)
}
