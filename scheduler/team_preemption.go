package scheduler

import (
	"cmp"
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
)

// Preemption is the exception for the design's second strain where it is a
// team's limit that running tasks fill: a queue is not preemptive, and a tight
// job of a higher priority waited for a wave of long tasks to end. Only tasks
// that lose nothing by it are stopped: ones that save, and ones that do not run
// yet. Who waits is told apart from who may go on: what a stopped task gives up
// is owed to the priority that it was stopped for.

// preemptionDebt is what stopped tasks of a team gave up of its limit for work of at least
// a priority, until that started or the time is up.
type preemptionDebt struct {
	cpus, gpus float64
	priority   Priority
	until      int64
}

func withoutMemory(r availability.Resources) availability.Resources {
	r.MemoryGB, r.DiskGB = 0, 0
	return r
}

// isPreemptibleBy tells whether an attempt may be stopped for work of a priority.
func (a *attempt) isPreemptibleBy(p Priority) bool {
	return !a.exited && !a.checkpointing && a.job.Priority < p && a.job.Kind == Array &&
		(!a.running || a.job.CheckpointIntervalS > 0)
}

// preemptibleRanges are a team's works that may wait while a group uses the team's
// limit, each with how much time it has beyond that: the rule of admission, every
// deadline that is held still holds, for what runs. Without it, a burst of short
// jobs kept long ones from ever ending in time. What must not be started twice is
// not stopped either.
func (pp *placementPlanner) preemptibleRanges(s *shard, g *taskGroup) map[*taskRange]int64 {
	allocation, t, limited := pp.quotas.teamAllocation(s, g.job.Team)
	if !limited || t.MaxCPUs <= 0 || allocation.CPUs <= 0 {
		return nil
	}
	wall := pp.now.WallMS
	delay := max(g.LengthMS, int64(float64(g.Remaining)*g.job.Request.CPUs/allocation.CPUs*float64(g.LengthMS)))
	remainingMS := map[*taskRange]float64{}
	for _, a := range s.liveAttempts[g.job.Team] {
		if !a.job.AtMostOnce && a.job.Priority < g.job.Priority {
			remainingMS[a.taskRange] += float64(a.expectedEnd(wall) - wall)
		}
	}
	out := map[*taskRange]int64{}
	for tr, remaining := range remainingMS {
		j := &tr.job.rec.Job
		runtimeMS := pp.estimates.expectedRuntime(j)
		remaining += float64(tr.pending()) * float64(runtimeMS)
		// Whether it is late already is told from one task alone, whether it
		// has time from all of them, padded: both can be wrong by half.
		duration := max(runtimeMS, int64(remaining*j.Request.CPUs/allocation.CPUs*planner.RuntimePadding))
		accepted := tr.job.rec.AcceptedAtMS
		_, deadline, missed := pp.taskDeadlines(j, accepted, runtimeMS/2)
		if _, delayedDeadline, missedByDelay := pp.taskDeadlines(j, accepted, duration+delay+secondsToMS(j.CheckpointDurationS)); missed {
			out[tr] = 1 << 40
		} else if delayedDeadline == deadline && !missedByDelay {
			out[tr] = deadline - wall - duration
		}
	}
	return out
}

// preemptibleResources is what a team's tasks that may be stopped for a group have of its
// limit, and what was stopped for its like already and has not been taken yet.
func (pp *placementPlanner) preemptibleResources(
	s *shard,
	g *taskGroup,
	ranges map[*taskRange]int64,
) (preemptible, pendingRelease availability.Resources) {
	for _, a := range s.liveAttempts[g.job.Team] {
		if !a.machine.IsReconciled() {
			continue
		}
		if a.stopRequested {
			pendingRelease = pendingRelease.Add(a.job.Request)
		} else if _, ok := ranges[a.taskRange]; ok && a.isPreemptibleBy(g.job.Priority) {
			preemptible = preemptible.Add(a.job.Request)
		}
	}
	if debt, ok := s.debts[g.job.Team]; ok && pp.now.MonotonicMS < debt.until && g.job.Priority >= debt.priority {
		pendingRelease = pendingRelease.Add(availability.Resources{CPUs: debt.cpus, GPUs: debt.gpus, MemoryGB: 1})
	}
	return preemptible, pendingRelease
}

// preemptibleTaskCount is how many tasks of a group its team's limit would take beyond
// now, if tasks of lower priority were stopped.
func (pp *placementPlanner) preemptibleTaskCount(s *shard, g *taskGroup, limit int) int {
	if g.MissedObjectives || g.job.Kind != Array || limit <= 0 || len(s.reconciler.Unreported()) > 0 {
		return 0 // what is unseen may give it room without a stop
	}
	// No more than its guarantee is taken for a priority: beyond it, in a burst
	// that no limit holds, work of lower priority would never end.
	guaranteeLeft := availability.Resources{
		CPUs:     pp.params.Teams[g.job.Team].CPUs,
		GPUs:     pp.params.Teams[g.job.Team].GPUs,
		MemoryGB: 1e12,
	}
	for _, a := range s.liveAttempts[g.job.Team] {
		if a.job.Priority >= g.job.Priority {
			guaranteeLeft = guaranteeLeft.Sub(withoutMemory(a.job.Request))
		}
	}
	limit = guaranteeLeft.MaxCopies(withoutDisk(g.job.Request), limit)
	if limit <= 0 {
		return 0
	}
	preemptible, pendingRelease := pp.preemptibleResources(s, g, pp.preemptibleRanges(s, g))
	total := preemptible.Add(pendingRelease)
	total.MemoryGB = 1e12
	return total.MaxCopies(withoutDisk(g.job.Request), limit)
}

// preempt stops tasks of lower priority so that n tasks of a group, which have
// room on machines, find it in their team's limit: those first whose
// jobs have most time, or none to lose.
func (pp *placementPlanner) preempt(s *shard, g *taskGroup, n int) {
	req := withoutDisk(g.job.Request)
	ranges := pp.preemptibleRanges(s, g)
	_, pendingRelease := pp.preemptibleResources(s, g, ranges)
	pendingRelease.MemoryGB = 1e12
	n -= pendingRelease.MaxCopies(req, n)
	if n <= 0 {
		return
	}
	type victim struct {
		mc    *machine
		a     *attempt
		slack int64
	}
	var victims []victim
	for _, a := range s.liveAttempts[g.job.Team] {
		slack, ok := ranges[a.taskRange]
		if !ok || !a.machine.IsReconciled() || a.machine.terminatesAt != 0 || a.stopRequested ||
			!a.isPreemptibleBy(g.job.Priority) {
			continue
		}
		remaining := a.expectedEnd(pp.now.WallMS) - pp.now.WallMS
		if remaining <= 2*pp.maxHeartbeatIntervalMS()+secondsToMS(a.job.CheckpointDurationS) {
			continue // over by itself as soon
		}
		victims = append(victims, victim{a.machine, a, slack})
	}
	slices.SortFunc(victims, func(x, y victim) int {
		return cmp.Or(
			cmp.Compare(y.slack, x.slack),
			cmp.Compare(x.a.key.task, y.a.key.task),
			cmp.Compare(x.a.key.attempt, y.a.key.attempt),
		)
	})
	var freed availability.Resources
	for _, v := range victims {
		freed.MemoryGB = 1e12
		if freed.MaxCopies(req, n) >= n {
			break
		}
		freed = freed.Add(v.a.job.Request)
		v.a.stopRequested, v.a.preemptorPriority = true, g.job.Priority
		pp.Counters.Preempted++
		pp.log(Debug, "task stopped for a higher priority", "task", v.a.key.task, "machine", v.mc.id, "for", g.job.ID)
	}
}

// recordDebt notes what a stopped task gave up when it is over. Without it, its own
// job took the room in the limit again at the same report.
func (pp *placementPlanner) recordDebt(s *shard, a *attempt) {
	debt := s.debts[a.job.Team]
	if pp.now.MonotonicMS >= debt.until {
		debt = preemptionDebt{}
	}
	debt.cpus += a.job.Request.CPUs
	debt.gpus += a.job.Request.GPUs
	debt.priority = max(debt.priority, a.preemptorPriority)
	debt.until = pp.now.MonotonicMS + 2*pp.maxHeartbeatIntervalMS()
	s.debts[a.job.Team] = debt
}

// repayDebt takes a start off what its team is owed.
func (pp *placementPlanner) repayDebt(s *shard, j *Job) {
	debt, ok := s.debts[j.Team]
	if !ok || j.Priority < debt.priority {
		return
	}
	debt.cpus -= j.Request.CPUs
	debt.gpus -= j.Request.GPUs
	if debt.cpus <= 0 && debt.gpus <= 0 || pp.now.MonotonicMS >= debt.until {
		delete(s.debts, j.Team)
		return
	}
	s.debts[j.Team] = debt
}

// reservedForOthers is what a job must leave of its team's limit to others: to higher priorities,
// and to a first task that the limit holds up.
func (pp *placementPlanner) reservedForOthers(s *shard, j *Job) availability.Resources {
	reserved := s.reservedForFirstTask(j)
	if debt, ok := s.debts[j.Team]; ok && j.Priority < debt.priority && pp.now.MonotonicMS < debt.until {
		return reserved.Add(availability.Resources{CPUs: max(0, debt.cpus), GPUs: max(0, debt.gpus)})
	}
	return reserved
}
