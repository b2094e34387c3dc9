package scheduler

import (
	"cmp"
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
)

// Preemption within a team is the exception from queues that are never preempted, for the
// case that running tasks fill a team's limit: an urgent job of a higher priority
// waited for a wave of long tasks to end. Only tasks that lose nothing by it are
// stopped: ones that checkpoint, and ones that do not run yet. What a stopped task
// gives up of the limit is a debt to the priority that it was stopped for, so that
// neither its own job nor its equals take it first.

// preemptionDebt is what stopped tasks of a team gave up of its limit for work of at least
// a priority. It stands until such work started, or until a time.
type preemptionDebt struct {
	cpus, gpus float64
	priority   Priority
	until      int64 // monotonic milliseconds
}

// entitles reports whether work of a priority may take what was given up.
func (d *preemptionDebt) entitles(p Priority) bool { return p >= d.priority }

// noDeadlineSlackMS is the slack of a range that has no deadline left to miss: over 30 years.
const noDeadlineSlackMS = 1 << 40

// withoutMemory keeps what limits and guarantees count.
func withoutMemory(r availability.Resources) availability.Resources {
	r.MemoryGB, r.DiskGB = 0, 0
	return r
}

// isPreemptibleBy reports whether an attempt may be stopped for work of a priority.
func (a *attempt) isPreemptibleBy(p Priority) bool {
	if a.exited || a.checkpointing {
		return false
	}
	losesNothing := !a.running || a.job.CheckpointIntervalS > 0
	return a.job.Priority < p && a.job.Kind == Array && losesNothing
}

// preemptibleRanges are a team's ranges that may wait while a group uses the team's
// limit, each with the time that it has beyond that, in milliseconds: the rule of
// admission, that every deadline that holds still does, for what runs. Without it, a
// burst of short jobs kept long ones from ever ending in time. Tasks of at-most-once
// jobs are not stopped.
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
		if slackMS, ok := pp.slackAfterDelay(tr, remaining, delay, allocation.CPUs); ok {
			out[tr] = slackMS
		}
	}
	return out
}

// slackAfterDelay is the time that a range has beyond a delay, if so many processors of its team's
// limit serve it; false if the delay would make it miss its deadline. runningMS is what its live
// attempts have left.
func (pp *placementPlanner) slackAfterDelay(
	tr *taskRange,
	runningMS float64,
	delay int64,
	cpus float64,
) (slackMS int64, ok bool) {
	j, accepted := &tr.job.rec.Job, tr.job.rec.AcceptedAtMS
	runtimeMS := pp.estimates.expectedRuntime(j)
	// Whether it is late already is judged by one task alone, whether it
	// has time by all of them, padded: both can be wrong by half.
	_, deadline, missed := pp.taskDeadlines(j, accepted, runtimeMS/2)
	if missed {
		return noDeadlineSlackMS, true
	}
	remaining := runningMS + float64(tr.pending())*float64(runtimeMS)
	duration := max(runtimeMS, int64(remaining*j.Request.CPUs/cpus*planner.RuntimePadding))
	delayed := duration + delay + secondsToMS(j.CheckpointDurationS)
	_, delayedDeadline, missedByDelay := pp.taskDeadlines(j, accepted, delayed)
	if delayedDeadline != deadline || missedByDelay {
		return 0, false
	}
	return deadline - pp.now.WallMS - duration, true
}

// preemptibleResources is what the team's tasks that may be stopped for a group use of its
// limit, and what is being released to the group's priority already and not taken yet.
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
	debt, ok := s.debts[g.job.Team]
	if ok && pp.now.MonotonicMS < debt.until && debt.entitles(g.job.Priority) {
		pendingRelease = pendingRelease.Add(availability.Resources{CPUs: debt.cpus, GPUs: debt.gpus, MemoryGB: 1})
	}
	return preemptible, pendingRelease
}

// preemptibleTaskCount is how many tasks of a group its team's limit would take beyond
// now, if tasks of lower priority were stopped.
func (pp *placementPlanner) preemptibleTaskCount(s *shard, g *taskGroup, limit int) int {
	mayPreempt := !g.MissedObjectives && g.job.Kind == Array && limit > 0
	if !mayPreempt || len(s.reconciler.Unreported()) > 0 {
		return 0 // machines that sent no heartbeat yet may give it room without a stop
	}
	req := withoutDisk(g.job.Request)
	limit = pp.guaranteeLeft(s, g).MaxCopies(req, limit)
	if limit <= 0 {
		return 0
	}
	preemptible, pendingRelease := pp.preemptibleResources(s, g, pp.preemptibleRanges(s, g))
	total := preemptible.Add(pendingRelease)
	total.MemoryGB = unlimitedAmount
	return total.MaxCopies(req, limit)
}

// guaranteeLeft is what work of at least a group's priority leaves of its team's guarantee. No
// more is taken for a priority: beyond the guarantee, in a burst that no limit holds,
// work of lower priority would never end.
func (pp *placementPlanner) guaranteeLeft(s *shard, g *taskGroup) availability.Resources {
	guarantee := pp.params.Teams[g.job.Team]
	left := availability.Resources{CPUs: guarantee.CPUs, GPUs: guarantee.GPUs, MemoryGB: unlimitedAmount}
	for _, a := range s.liveAttempts[g.job.Team] {
		if a.job.Priority >= g.job.Priority {
			left = left.Sub(withoutMemory(a.job.Request))
		}
	}
	return left
}

// preemptionVictim is an attempt that may be stopped for a higher priority.
type preemptionVictim struct {
	attempt *attempt
	slackMS int64 // time that its range has beyond the delay
}

func comparePreemptionVictims(x, y preemptionVictim) int {
	return cmp.Or(
		cmp.Compare(y.slackMS, x.slackMS),
		cmp.Compare(x.attempt.key.task, y.attempt.key.task),
		cmp.Compare(x.attempt.key.attempt, y.attempt.key.attempt),
	)
}

// preemptionVictims lists what may be stopped for a group: first those whose ranges have most
// time, or no deadline left to miss.
func (pp *placementPlanner) preemptionVictims(
	s *shard,
	g *taskGroup,
	ranges map[*taskRange]int64,
) (victims []preemptionVictim) {
	for _, a := range s.liveAttempts[g.job.Team] {
		slackMS, ok := ranges[a.taskRange]
		isMachineUsable := a.machine.IsReconciled() && a.machine.terminatesAt == 0
		if !ok || !isMachineUsable || a.stopRequested || !a.isPreemptibleBy(g.job.Priority) {
			continue
		}
		remaining := a.expectedEnd(pp.now.WallMS) - pp.now.WallMS
		stopMS := 2*pp.maxHeartbeatIntervalMS() + secondsToMS(a.job.CheckpointDurationS)
		if remaining > stopMS { // otherwise it ends by itself as soon
			victims = append(victims, preemptionVictim{a, slackMS})
		}
	}
	slices.SortFunc(victims, comparePreemptionVictims)
	return victims
}

// preempt stops tasks of lower priority so that n tasks of a group, which have room on
// machines, find it in their team's limit. What is being released already counts.
func (pp *placementPlanner) preempt(s *shard, g *taskGroup, n int) {
	req := withoutDisk(g.job.Request)
	ranges := pp.preemptibleRanges(s, g)
	_, pendingRelease := pp.preemptibleResources(s, g, ranges)
	pendingRelease.MemoryGB = unlimitedAmount
	n -= pendingRelease.MaxCopies(req, n)
	if n <= 0 {
		return
	}
	var freed availability.Resources
	for _, victim := range pp.preemptionVictims(s, g, ranges) {
		freed.MemoryGB = unlimitedAmount
		if freed.MaxCopies(req, n) >= n {
			break
		}
		a := victim.attempt
		freed = freed.Add(a.job.Request)
		a.stopRequested, a.preemptorPriority = true, g.job.Priority
		pp.Counters.Preempted++
		pp.log(Debug, "task stopped for a higher priority",
			"task", a.key.task, "machine", a.machine.id, "job", g.job.ID)
	}
}

// recordDebt notes what a stopped task gave up, when it is over. Without it, its own
// job took the room in the limit again at the same heartbeat.
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

// repayDebt takes a start off the debt to its priority.
func (pp *placementPlanner) repayDebt(s *shard, j *Job) {
	debt, ok := s.debts[j.Team]
	if !ok || !debt.entitles(j.Priority) {
		return
	}
	debt.cpus -= j.Request.CPUs
	debt.gpus -= j.Request.GPUs
	isRepaid := debt.cpus <= 0 && debt.gpus <= 0
	if isRepaid || pp.now.MonotonicMS >= debt.until {
		delete(s.debts, j.Team)
		return
	}
	s.debts[j.Team] = debt
}

// reservedForOthers is what a job must leave of its team's limit to others: the debt to
// higher priorities, and what is reserved for a first task that the limit holds up.
func (pp *placementPlanner) reservedForOthers(s *shard, j *Job) availability.Resources {
	reserved := s.reservedForFirstTask(j)
	debt, ok := s.debts[j.Team]
	if !ok || debt.entitles(j.Priority) || pp.now.MonotonicMS >= debt.until {
		return reserved
	}
	return reserved.Add(availability.Resources{CPUs: max(0, debt.cpus), GPUs: max(0, debt.gpus)})
}
