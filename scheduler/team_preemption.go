package scheduler

import (
	"cmp"
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
)

// A plan normally stops no running task for a waiting one. Preemption within a team is an exception
// for the case that running tasks fill the team's limit (guarantee_reclaim.go has the other one).
// Without it, an urgent job of a higher priority waited for a wave of long tasks to end. Only tasks
// that lose no work are stopped: those that checkpoint, and those that do not run yet. The part of
// the limit that a stopped task releases becomes a debt to the priority that it was stopped for. The
// debt prevents the stopped task's own job, and others of its priority, from taking that part first.

// preemptionDebt is the part of a team's limit that stopped tasks released for work of at least a
// given priority. It is valid until such work has started, or until it expires.
type preemptionDebt struct {
	cpus, gpus float64
	priority   Priority
	until      int64 // monotonic milliseconds
}

// entitles reports whether work of a priority may use the released part of the limit.
func (d *preemptionDebt) entitles(p Priority) bool { return p >= d.priority }

// noDeadlineSlackMS is the slack of a job that has already missed all of its deadlines: over 30
// years.
const noDeadlineSlackMS = 1 << 40

// withoutMemory returns only the resources that count against limits and guarantees.
func withoutMemory(r availability.Resources) availability.Resources {
	r.MemoryGB, r.DiskGB = 0, 0
	return r
}

// isPreemptibleBy reports whether an attempt may be stopped for work of the given priority.
func (a *attempt) isPreemptibleBy(p Priority) bool {
	if a.exited || a.checkpointing {
		return false
	}
	losesNothing := !a.running || a.job.CheckpointIntervalS > 0
	return a.job.Priority < p && a.job.Kind == Array && losesNothing
}

// preemptibleJobs returns a team's jobs that can wait while a group uses the team's limit, each with its
// slack in milliseconds. It applies the rule of admission to running tasks: every deadline
// that can be met now must still be met. Without the rule, a burst of short jobs kept long jobs from
// ever ending in time. Tasks of at-most-once jobs are not stopped.
func (pp *placementPlanner) preemptibleJobs(s *shard, g *taskGroup) map[*job]int64 {
	allocation, t, limited := pp.quotas.teamAllocation(s, g.job.Team)
	if !limited || t.MaxCPUs <= 0 || allocation.CPUs <= 0 {
		return nil
	}
	wall := pp.now.WallMS
	delay := max(g.LengthMS, int64(float64(g.Remaining)*g.job.Request.CPUs/allocation.CPUs*float64(g.LengthMS)))
	remainingMS := map[*job]float64{}
	for _, a := range s.liveAttempts[g.job.Team] {
		if !a.job.AtMostOnce && a.job.Priority < g.job.Priority {
			remainingMS[a.taskRange.job] += float64(a.expectedEnd(wall) - wall)
		}
	}
	out := map[*job]int64{}
	for j, remaining := range remainingMS {
		remaining += float64(s.pendingTasks(j)) * float64(pp.estimates.expectedRuntime(&j.rec.Job))
		if slackMS, ok := pp.slackIfDelayable(j, remaining, delay, allocation.CPUs); ok {
			out[j] = slackMS
		}
	}
	return out
}

// pendingTasks returns the number of a job's tasks in a shard that are neither done nor assigned.
func (s *shard) pendingTasks(j *job) (pending int) {
	for _, tr := range j.taskRanges {
		if tr.claim == s {
			pending += tr.pending()
		}
	}
	return pending
}

// slackIfDelayable returns the time between a job's expected end and its deadline, if the given
// number of CPUs of its team's limit serve it. The delay is not subtracted. ok is false if the delay
// would make the job miss its deadline. remainingMS is the remaining runtime of the job's tasks.
func (pp *placementPlanner) slackIfDelayable(
	liveJob *job,
	remainingMS float64,
	delay int64,
	cpus float64,
) (slackMS int64, ok bool) {
	j, accepted := &liveJob.rec.Job, liveJob.rec.AcceptedAtMS
	runtimeMS := pp.estimates.expectedRuntime(j)
	// Estimates can be wrong by half. A deadline therefore counts as missed only if a task that
	// starts now and takes half its expected runtime ends after it. The slack, by contrast, is
	// based on all tasks, with padding.
	_, deadline, missed := pp.taskDeadlines(j, accepted, runtimeMS/2)
	if missed {
		return noDeadlineSlackMS, true
	}
	duration := max(runtimeMS, int64(remainingMS*j.Request.CPUs/cpus*planner.RuntimePadding))
	delayed := duration + delay + secondsToMS(j.CheckpointDurationS)
	_, delayedDeadline, missedByDelay := pp.taskDeadlines(j, accepted, delayed)
	if delayedDeadline != deadline || missedByDelay {
		return 0, false
	}
	return deadline - pp.now.WallMS - duration, true
}

// preemptibleResources returns the resources of the team's tasks that may be stopped for a group.
// pendingRelease is the part of the team's limit that becomes usable without further stops. It comes
// from tasks that are already being stopped, and from a debt that the group's priority may use.
func (pp *placementPlanner) preemptibleResources(
	s *shard,
	g *taskGroup,
	jobs map[*job]int64,
) (preemptible, pendingRelease availability.Resources) {
	for _, a := range s.liveAttempts[g.job.Team] {
		if !a.machine.IsReconciled() {
			continue
		}
		if a.stopRequested {
			pendingRelease = pendingRelease.Add(a.job.Request)
		} else if _, ok := jobs[a.taskRange.job]; ok && a.isPreemptibleBy(g.job.Priority) {
			preemptible = preemptible.Add(a.job.Request)
		}
	}
	debt, ok := s.debts[g.job.Team]
	if ok && pp.now.MonotonicMS < debt.until && debt.entitles(g.job.Priority) {
		pendingRelease = pendingRelease.Add(availability.Resources{CPUs: debt.cpus, GPUs: debt.gpus, MemoryGB: 1})
	}
	return preemptible, pendingRelease
}

// preemptibleTaskCount returns how many additional tasks of a group would fit its team's limit if
// tasks of lower priority were stopped.
func (pp *placementPlanner) preemptibleTaskCount(s *shard, g *taskGroup, limit int) int {
	mayPreempt := !g.MissedObjectives && g.job.Kind == Array && limit > 0
	if !mayPreempt || len(s.reconciler.Unreported()) > 0 {
		return 0 // once unreported machines report, the limit may suffice without a stop
	}
	req := withoutDisk(g.job.Request)
	limit = pp.remainingGuarantee(s, g).MaxCopies(req, limit)
	if limit <= 0 {
		return 0
	}
	preemptible, pendingRelease := pp.preemptibleResources(s, g, pp.preemptibleJobs(s, g))
	total := preemptible.Add(pendingRelease)
	total.MemoryGB = unlimitedAmount
	return total.MaxCopies(req, limit)
}

// remainingGuarantee returns the part of a team's guarantee that is not used by work of at least the
// group's priority. Preemption for the group is bounded by it: beyond the guarantee, in a burst that
// no limit bounds, work of lower priority would never end.
func (pp *placementPlanner) remainingGuarantee(s *shard, g *taskGroup) availability.Resources {
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
	slackMS int64 // time between the expected end of its job and the deadline
}

func comparePreemptionVictims(x, y preemptionVictim) int {
	return cmp.Or(
		cmp.Compare(y.slackMS, x.slackMS),
		cmp.Compare(x.attempt.key.task, y.attempt.key.task),
		cmp.Compare(x.attempt.key.attempt, y.attempt.key.attempt),
	)
}

// preemptionVictims returns the attempts that may be stopped for a group. Attempts of jobs with
// the most slack, or with no deadline left to miss, come first.
func (pp *placementPlanner) preemptionVictims(
	s *shard,
	g *taskGroup,
	jobs map[*job]int64,
) (victims []preemptionVictim) {
	for _, a := range s.liveAttempts[g.job.Team] {
		slackMS, ok := jobs[a.taskRange.job]
		isMachineUsable := a.machine.IsReconciled() && a.machine.terminatesAt == 0
		if !ok || !isMachineUsable || a.stopRequested || !a.isPreemptibleBy(g.job.Priority) {
			continue
		}
		remaining := a.expectedEnd(pp.now.WallMS) - pp.now.WallMS
		stopMS := 2*pp.maxHeartbeatIntervalMS() + secondsToMS(a.job.CheckpointDurationS)
		if remaining > stopMS { // otherwise the attempt ends no later than a stop would end it
			victims = append(victims, preemptionVictim{a, slackMS})
		}
	}
	slices.SortFunc(victims, comparePreemptionVictims)
	return victims
}

// preempt stops tasks of lower priority so that n tasks of a group, which fit on machines, also fit
// their team's limit. Resources that are already being released count towards that.
func (pp *placementPlanner) preempt(s *shard, g *taskGroup, n int) {
	req := withoutDisk(g.job.Request)
	jobs := pp.preemptibleJobs(s, g)
	_, pendingRelease := pp.preemptibleResources(s, g, jobs)
	pendingRelease.MemoryGB = unlimitedAmount
	n -= pendingRelease.MaxCopies(req, n)
	if n <= 0 {
		return
	}
	var freed availability.Resources
	for _, victim := range pp.preemptionVictims(s, g, jobs) {
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

// recordDebt records the part of the limit that a stopped task released, once the task has ended.
// Without it, the task's own job took that part again at the same heartbeat.
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

// repayDebt subtracts a started task from the debt, if its priority may use the debt. It removes a
// debt that is repaid or has expired.
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

// reservedForOthers returns the part of its team's limit that a job must leave to others. It
// consists of the debt to higher priorities and the reservation for a first task that the limit
// blocks.
func (pp *placementPlanner) reservedForOthers(s *shard, j *Job) availability.Resources {
	reserved := s.reservedForFirstTask(j)
	debt, ok := s.debts[j.Team]
	if !ok || debt.entitles(j.Priority) || pp.now.MonotonicMS >= debt.until {
		return reserved
	}
	return reserved.Add(availability.Resources{CPUs: max(0, debt.cpus), GPUs: max(0, debt.gpus)})
}
