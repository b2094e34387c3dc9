package scheduler

import (
	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
)

// noDeadlineSpanLeases is the horizon of a job without any objective, in leases. It is long enough
// that any job with a deadline ranks first.
const noDeadlineSpanLeases = 100

// taskDeadlines returns the times for which a job's tasks are admitted, in milliseconds of
// wall-clock time. startObjectiveEnd is when tasks must end to have started within their start
// objectives, but not after deadline. deadline is the earliest deadline of an objective that can
// still be met, or the horizon if the job has none. missed is true if none can be met: deadline is
// then the last one, and the job is admitted as late.
func (pp *placementPlanner) taskDeadlines(
	j *Job,
	accepted, runtimeMS int64,
) (startObjectiveEnd, deadline int64, missed bool) {
	horizon := accepted + noDeadlineSpanLeases*secondsToMS(pp.params.LeaseS)
	deadline = horizon
	if deadlines := pp.objectiveDeadlines(j, accepted); len(deadlines) > 0 {
		deadline, missed = earliestReachable(deadlines, pp.now.WallMS+runtimeMS)
	}
	return min(pp.startObjective(j, accepted, horizon)+runtimeMS, deadline), deadline, missed
}

// earliestReachable returns the first of the ascending deadlines that is not before an expected
// end. If there is none, it returns the last one, as missed.
func earliestReachable(deadlines []int64, expectedEnd int64) (deadline int64, missed bool) {
	for _, t := range deadlines {
		if expectedEnd <= t {
			return t, false
		}
	}
	return deadlines[len(deadlines)-1], true
}

// startObjective is the wall-clock time, in milliseconds, at which a job's tasks should have
// started, according to its class's start objectives and its team's guarantee. Without either, it
// is the horizon.
func (pp *placementPlanner) startObjective(j *Job, accepted, horizon int64) int64 {
	startBy := horizon
	for _, o := range pp.params.Objectives[j.Class] {
		if o.Kind == startObjective {
			startBy = min(startBy, accepted+secondsToMS(o.WithinS))
		}
	}
	if t := pp.params.Teams[j.Team]; pp.params.GuaranteeWithinS > 0 && (t.CPUs > 0 || t.GPUs > 0) {
		startBy = min(startBy, accepted+secondsToMS(pp.params.GuaranteeWithinS))
	}
	return startBy
}

// resourceRequest returns the properties of a job that placement considers.
func (j *Job) resourceRequest() planner.ResourceRequest {
	return planner.ResourceRequest{
		Resources:  j.Request,
		Image:      j.Image,
		Types:      j.Types,
		Zone:       j.Zone,
		AllowsSpot: j.Spot,
	}
}

// withoutDisk returns resources without the disk space for the image, since a machine evicts cached
// images to make space for a new one.
func withoutDisk(r availability.Resources) availability.Resources {
	r.DiskGB = 0
	return r
}

// taskGroup is the tasks of one range that wait for a machine.
type taskGroup struct {
	planner.Group
	taskRange *taskRange
	job       *Job
}

// newTaskGroup returns a group of the pending tasks of a range.
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
			HasBegun:           tr.hasStarted() || tr.job.hasBegun(),
			PreviouslyAdmitted: tr.admitted,
			Name:               j.ID,
			RangeStart:         tr.bounds.Lo,
			Constraints: planner.Constraints{
				IsGang:            j.Kind == Gang,
				SingleZone:        j.OneZone,
				SpreadZones:       j.Spread,
				FailuresByMachine: tr.errorsByMachine,
			},
		},
	}
	g.ObjectiveDeadlineMS, g.DeadlineMS, g.MissedObjectives = pp.taskDeadlines(j, g.AcceptedMS, g.LengthMS)
	if j.OneZone || j.Spread {
		g.RunningByZone = tr.job.attemptsByZone()
	}
	return g
}

// shareZones makes the groups of each job with a zone constraint count the tasks that they place together. A
// job has several groups if it has several ranges in the shard.
func shareZones(groups []*taskGroup) {
	placedByJob := map[string]map[string]int{}
	for _, g := range groups {
		if !g.SingleZone && !g.SpreadZones {
			continue
		}
		if placedByJob[g.Name] == nil {
			placedByJob[g.Name] = map[string]int{}
		}
		g.PlacedByZone = placedByJob[g.Name]
	}
}

func sortTaskGroups(groups []*taskGroup) {
	planner.SortGroups(groups, func(g *taskGroup) *planner.Group { return &g.Group })
}

// waitingTaskGroups lists a shard's waiting work in planning order. Higher priorities rank first.
// Within a priority, groups that can meet an objective rank before those that cannot. Groups that
// the last plan admitted rank next, so that they keep their place. The order is then by earliest
// deadline and by arrival. Guarantees, quota tiers and aging modify this order.
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
	shareZones(out)
	sortTaskGroups(out)
	if pp.admitToTeamLimits(s, out) {
		sortTaskGroups(out)
	}
	if pp.params.Quota && pp.quotas.assignQuotaTiers(out) {
		sortTaskGroups(out)
	}
	return pp.applyAging(out)
}

// admitToTeamLimits admits groups to their teams' limits as tasks are admitted to machines: a limit
// is a queue whose throughput is that of its CPUs. A group that would finish late there, or would
// make an admitted group late, is planned for its next deadline. If it can meet no deadline, it
// ranks last. Without this step a team over its limit ran the tasks with the earliest deadlines,
// which had already been missed, and finished nothing in time. admitToTeamLimits reports whether
// any group changed.
func (pp *placementPlanner) admitToTeamLimits(s *shard, groups []*taskGroup) (changed bool) {
	queues := map[string]*availability.Queue{}
	for _, g := range groups {
		team := g.job.Team
		allocation, t, limited := pp.quotas.teamAllocation(s, team)
		isLimited := limited && t.MaxCPUs > 0 && allocation.CPUs > 0
		if !isLimited || g.job.Kind != Array || g.MissedObjectives {
			continue
		}
		if queues[team] == nil {
			backlogMS := int64(s.remainingWork[team] / allocation.CPUs)
			queues[team] = &availability.Queue{EarliestStart: pp.now.WallMS + backlogMS}
		}
		if !pp.admitToQueue(queues[team], g, allocation.CPUs) {
			changed = true
		}
	}
	return changed
}

// admitToQueue admits a group to the queue of a limit of cpus CPUs. It reports whether the group's
// deadline can be met there. If not, it sets the next deadline that can be met, or marks the group
// as missing its objectives.
func (pp *placementPlanner) admitToQueue(queue *availability.Queue, g *taskGroup, cpus float64) bool {
	duration := int64(float64(g.Remaining) * g.job.Request.CPUs / cpus * float64(g.LengthMS))
	// Even under a large limit, the last task takes its full runtime.
	tail := max(0, g.LengthMS-duration)
	if queue.Admit(g.DeadlineMS-tail, duration, 1) == 1 {
		return true
	}
	g.MissedObjectives = true
	for _, deadline := range pp.objectiveDeadlines(g.job, g.taskRange.job.rec.AcceptedAtMS) {
		if deadline > g.DeadlineMS && queue.Admit(deadline-tail, duration, 1) == 1 {
			g.DeadlineMS, g.MissedObjectives = deadline, false
			break
		}
	}
	return false
}
