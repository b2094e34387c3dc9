package scheduler

import (
	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
)

// taskStart is a task to start now, with its expected runtime and image fetch time.
type taskStart struct {
	taskRange *taskRange
	taskIndex int // index in taskRange
	runtimeMS int64
	fetchMS   int64
}

// startTasks uses the free resources of a machine that sent a heartbeat: first for its reservation,
// then for the plan's starts, then for the queue.
func (am *agentManager) startTasks(s *shard, mc *machine, hb *Heartbeat) {
	am.quotas.startReserved(s, mc, hb)
	am.dispatchPlannedStarts(s, mc, hb)
	am.startFromQueue(s, mc, hb)
}

// canStartOn reports whether starts may be sent to the machine now.
func (am *agentManager) canStartOn(mc *machine) bool {
	return am.isSchedulable(mc) && mc.Up && mc.IsReconciled() && am.store.hasAuthority()
}

// dispatchPlannedStarts turns the plan's starts on a machine into commands.
func (am *agentManager) dispatchPlannedStarts(s *shard, mc *machine, hb *Heartbeat) {
	if !am.canStartOn(mc) {
		return
	}
	plannedStarts := mc.plannedStarts
	mc.plannedStarts = nil
	free := am.freeResources(mc)
	for _, p := range plannedStarts {
		if am.cache.isCurrent(p.taskRange) && !p.taskRange.moving {
			free = am.dispatchPlannedStart(s, mc, hb, p, free)
		}
	}
}

// dispatchPlannedStart starts the tasks of one planned start as far as the rules and the free
// resources permit. It returns the resources that remain free.
func (am *agentManager) dispatchPlannedStart(
	s *shard,
	mc *machine,
	hb *Heartbeat,
	p plannedStart,
	free availability.Resources,
) availability.Resources {
	tr := p.taskRange
	j := &tr.job.rec.Job
	for range p.count {
		i := tr.nextTask()
		if i < 0 || !free.Contains(j.Request) || !am.mayStart(s, tr, mc) {
			break
		}
		if j.Kind == Gang && (tr.gangAttempt == 0 || tr.gangStartsSent.has(i)) {
			break // this start of the gang failed; a task uses an attempt ID only once
		}
		if !am.hasAttemptIDs(s) ||
			!s.reconciler.Pacer.TryStart(am.now.MonotonicMS, p.canMeetStartObjective || j.Kind == Gang) {
			break
		}
		free = free.Sub(j.Request)
		am.startTask(s, mc, hb, taskStart{taskRange: tr, taskIndex: i, runtimeMS: p.runtimeMS, fetchMS: p.fetchMS})
	}
	return free
}

// startTask creates an attempt and adds its start to the machine's pending commands. hb is the
// newest heartbeat of the machine, which proves nothing about the new attempt.
func (am *agentManager) startTask(s *shard, mc *machine, hb *Heartbeat, start taskStart) {
	tr, i := start.taskRange, start.taskIndex
	j := &tr.job.rec.Job
	attemptID := tr.gangAttempt
	if j.Kind == Gang {
		tr.gangStartsSent.set(i)
	} else {
		attemptID = s.attemptIDs.Next(am.now.WallMS)
	}
	a := &attempt{
		key:       attemptKey{TaskName(j.ID, tr.bounds.Lo+i), attemptID},
		job:       j,
		taskRange: tr,
		claim:     s,
		taskIndex: i,
		attemptDelivery: attemptDelivery{
			incarnation:       hb.Incarnation,
			afterHeartbeatSeq: hb.Seq,
		},
		attemptProgress: attemptProgress{
			placedAt:          am.now.WallMS,
			expectedRuntimeMS: max(start.runtimeMS-tr.checkpointedMS[i], start.runtimeMS/8),
			expectedFetchMS:   start.fetchMS,
		},
	}
	am.allocateResources(mc, a)
	mc.useReservation(tr)
	am.placer.repayDebt(s, j)
	am.countStart(tr)
	am.logStart(s, a)
	mc.commands = append(mc.commands, Command{Kind: CommandStart, Task: a.key.task, Attempt: a.key.attempt})
}

// logStart logs a start with the team's allocation and its usage before the start.
func (am *agentManager) logStart(s *shard, a *attempt) {
	if !am.isDebugLogged() {
		return
	}
	usage := am.quotas.teamShardUsage(s, a.job.Team)
	am.log(Debug, "start", "task", a.key.task, "attempt", a.key.attempt, "machine", a.machine.id,
		"shard", s.name, "token", s.token, "incarnation", a.incarnation, "team", a.job.Team,
		"allocation", usage.Allocation, "used", usage.Used.Sub(amountsOf(a.job.Request)),
		"unreported", usage.Unreported, "orphaned", usage.Orphaned)
}

// useReservation deducts a start of a range from the machine's reservation.
func (dispatch *machineDispatch) useReservation(tr *taskRange) {
	reserved := dispatch.reservation
	if reserved == nil || reserved.taskRange != tr {
		return
	}
	if reserved.count--; reserved.count == 0 {
		dispatch.reservation = nil
	}
}

// countStart counts a start, and whether it is late according to its class's start objectives.
func (am *agentManager) countStart(tr *taskRange) {
	am.Counters.Starts++
	for _, o := range am.params.Objectives[tr.job.rec.Job.Class] {
		if o.Kind == startObjective && am.now.WallMS > tr.job.rec.AcceptedAtMS+secondsToMS(o.WithinS) {
			am.rolloutCounts.LateStarts++
		}
	}
}

// queueFill is the state while one machine takes tasks from its shard's queue.
type queueFill struct {
	machineType *MachineType
	free        availability.Resources // free resources of the machine, less reserved ones
	latestStart int64                  // wall-clock time by which all skipped groups must start
}

// startFromQueue uses the resources that remain free on a machine after the plan's starts: it
// starts the next tasks of the shard's queue, in the order of the last plan.
func (am *agentManager) startFromQueue(s *shard, mc *machine, hb *Heartbeat) {
	if len(s.queue) == 0 || !am.canStartOn(mc) {
		return
	}
	fill := queueFill{
		machineType: am.cache.machineTypes[mc.rec.Type],
		free:        am.freeResources(mc).Sub(am.quotas.reservedResources(mc)),
		latestStart: int64(1) << 62,
	}
	for fill.free.CPUs > 0 {
		g := am.nextFromQueue(s, mc, &fill)
		if g == nil || !am.startGroup(s, mc, hb, g, &fill) {
			return
		}
	}
}

// nextFromQueue returns the first group of the queue with a task that fits and may start. A group
// whose image is cached precedes a group that must fetch its image, if the latter can still start
// in time after it. This applies the availability function l(δ) of package availability once more,
// with the skipped task behind the insertion point.
func (am *agentManager) nextFromQueue(s *shard, mc *machine, fill *queueFill) *taskGroup {
	var first *taskGroup
	for _, g := range s.queue {
		if !am.fitsUnplanned(s, mc, g, fill) {
			continue
		}
		if first == nil {
			first = g
		}
		if g.job.Priority != first.job.Priority {
			break
		}
		fetch := am.fetchTime(g.job, mc, fill.machineType)
		paddedEnd := am.now.WallMS + int64(float64(g.LengthMS)*planner.RuntimePadding)
		if fetch == 0 && (g == first || paddedEnd <= fill.latestStart) {
			return g
		}
		fill.latestStart = min(fill.latestStart, am.latestStart(g, fetch))
	}
	return first
}

// latestStart is the wall-clock time, in milliseconds, by which a group's tasks must start. A group
// that can still meet the start objective of its class, or of its team's guarantee, must start in
// time for it, whatever its deadline.
func (am *agentManager) latestStart(g *taskGroup, fetchMS int64) int64 {
	needed := g.LengthMS + fetchMS
	if g.ObjectiveDeadlineMS < g.DeadlineMS && g.ObjectiveDeadlineMS-needed > am.now.WallMS {
		return g.ObjectiveDeadlineMS - needed
	}
	return g.DeadlineMS - needed
}

// fitsUnplanned reports whether a group has a pending task that fits the free resources and may
// start without a new plan.
func (am *agentManager) fitsUnplanned(s *shard, mc *machine, g *taskGroup, fill *queueFill) bool {
	if g.job.Kind == Gang || g.taskRange.pending() <= 0 || !fill.free.Contains(withoutDisk(g.job.Request)) {
		return false
	}
	return am.mayStartUnplanned(s, mc, fill.machineType, g)
}

// startGroup starts tasks of a group while they fit. It returns false once the pacer or the attempt
// IDs permit no more starts.
func (am *agentManager) startGroup(s *shard, mc *machine, hb *Heartbeat, g *taskGroup, fill *queueFill) bool {
	fetch := am.fetchTime(g.job, mc, fill.machineType)
	for fill.free.Contains(withoutDisk(g.job.Request)) && am.mayStartUnplanned(s, mc, fill.machineType, g) {
		i := g.taskRange.nextTask()
		if i < 0 {
			break
		}
		if !am.hasAttemptIDs(s) || !s.reconciler.Pacer.TryStart(am.now.MonotonicMS, g.HasObjective) {
			return false
		}
		fill.free = fill.free.Sub(g.job.Request)
		s.spareCPUs -= g.job.Request.CPUs
		am.startTask(s, mc, hb, taskStart{taskRange: g.taskRange, taskIndex: i, runtimeMS: g.LengthMS, fetchMS: fetch})
	}
	return true
}

// mayStartUnplanned reports whether a task of a group may start on a machine without a new plan.
// Decisions that need a view of the whole shard are left to the plan: machine types that other jobs
// require, the reserve, and on-demand machines for work that spot machines complete in time.
// Otherwise these on-demand machines would never be idle and released.
func (am *agentManager) mayStartUnplanned(s *shard, mc *machine, t *MachineType, g *taskGroup) bool {
	tr := g.taskRange
	j := &tr.job.rec.Job
	if g.IsFirstTask && tr.job.hasBegun() {
		return false // the other tasks have their own place in the queue
	}
	if !am.cache.isCurrent(tr) || tr.moving || am.now.MonotonicMS < tr.retryAt {
		return false
	}
	if tr.errorsByMachine[mc.id] > 0 {
		return false
	}
	needsReserve := g.ObjectiveDeadlineMS >= g.DeadlineMS && s.spareCPUs-s.reserveCPUs < j.Request.CPUs
	if needsReserve || am.cache.isTypeScarce(j, t) {
		return false
	}
	spotSuffices := j.Spot && !mc.rec.Spot && !g.SpotInsufficient
	if spotSuffices && !am.cache.placementCatalog.IsRequired(t.Name) {
		return false
	}
	return am.mayStart(s, tr, mc)
}

// mayStart makes the final checks before a start. Some checks record what they find, so their order
// matters.
func (am *agentManager) mayStart(s *shard, tr *taskRange, mc *machine) bool {
	j := &tr.job.rec.Job
	if !am.cache.isOfferingAllowed(j, mc.rec.Type, mc.rec.Zone, mc.rec.Spot) {
		return false
	}
	if mc.hasUnconfirmedStart() || mc.isHeartbeatFull() {
		return false
	}
	if am.isBlockedByUnreported(s, tr) || am.hasProbeRunning(tr) || !am.shards.failurePolicyAllowsStart(tr) {
		return false
	}
	return tr.job.isZoneAllowed(mc.rec.Zone) && am.quotas.isWithinTeamLimit(s, j)
}

// hasAttemptIDs reports whether attempt IDs are left for further starts.
func (am *agentManager) hasAttemptIDs(s *shard) bool { return !s.attemptIDs.IsExhausted(am.now.WallMS) }

// isBlockedByUnreported reports whether tasks of a range wait for an unreported machine, on which some
// of them may still run. If the placement of a task depends on the job's other tasks, the range also
// waits while tasks of the job's other ranges may run there: their zones are unknown.
func (am *agentManager) isBlockedByUnreported(s *shard, tr *taskRange) bool {
	if !tr.job.rec.Job.requiresOneShard() || len(tr.job.taskRanges) == 1 {
		return am.mayRunUnreported(s, tr)
	}
	blocked := false
	for _, other := range sortedByKey(tr.job.taskRanges) {
		blocked = am.mayRunUnreported(s, other) || blocked
	}
	return blocked
}

// mayRunUnreported reports whether tasks of a range may still run on an unreported machine. Once none
// can, the range no longer counts as recovered.
func (am *agentManager) mayRunUnreported(s *shard, tr *taskRange) bool {
	if !tr.recovered {
		return false
	}
	for _, unreported := range s.reconciler.Unreported() {
		if mc := am.registry.machines[unreported.ID]; mc == nil || s.mayHaveTasks(mc, tr) {
			return true
		}
	}
	tr.recovered = false
	am.log(Debug, "no unreported machine can run tasks of the range", "shard", s.name, "range", tr.name())
	am.shards.failJobOnUnknownProgress(tr)
	return false
}

// isZoneAllowed reports whether a one-zone or spread job permits another task in a zone, given the
// zones of its other tasks. One shard owns all tasks of such a job.
func (j *job) isZoneAllowed(zone string) bool {
	spec := &j.rec.Job
	if !spec.OneZone && !spec.Spread {
		return true
	}
	attempts := j.attemptsByZone()
	inOtherZones := 0
	for other, n := range attempts {
		if other != zone {
			inOtherZones += n
		}
	}
	if spec.OneZone && inOtherZones > 0 {
		return false
	}
	return !spec.Spread || attempts[zone] < (spec.Tasks+1)/2
}
