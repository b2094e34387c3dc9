package scheduler

import (
	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
)

// taskStart is a task that is to start now, and how long it is expected to take.
type taskStart struct {
	taskRange *taskRange
	taskIndex int // in taskRange
	runtimeMS int64
	fetchMS   int64
}

// startTasks fills the room that a heartbeat shows: first with what it was reserved for, then with what the
// plan put there, then from the queue.
func (am *agentManager) startTasks(s *shard, mc *machine, hb *Heartbeat) {
	am.quotas.startReserved(s, mc, hb)
	am.dispatchPlannedStarts(s, mc, hb)
	am.startFromQueue(s, mc, hb)
}

// canStartOn reports whether starts may be sent to the machine now.
func (am *agentManager) canStartOn(mc *machine) bool {
	return am.isSchedulable(mc) && mc.Up && mc.IsReconciled() && am.store.hasAuthority()
}

// dispatchPlannedStarts turns the plan's starts on this machine into commands.
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

// dispatchPlannedStart starts the tasks of one planned start as far as the rules and the room allow, and
// returns what is free afterwards.
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
			break // this attempt at the gang failed; a task gets an attempt ID once
		}
		if !am.hasAttemptIDs(s) ||
			!s.reconciler.Pacer.TryStart(am.now.MonotonicMS, p.hasStartObjective || j.Kind == Gang) {
			break
		}
		free = free.Sub(j.Request)
		am.startTask(s, mc, hb, taskStart{taskRange: tr, taskIndex: i, runtimeMS: p.runtimeMS, fetchMS: p.fetchMS})
	}
	return free
}

// startTask begins an attempt; its command goes with whatever is sent to the worker next. hb is the machine's
// newest heartbeat, which proves nothing about the attempt.
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
	am.log(Debug, "start", "task", a.key.task, "attempt", a.key.attempt, "machine", mc.id)
	mc.commands = append(mc.commands, Command{Kind: CommandStart, Task: a.key.task, Attempt: a.key.attempt})
}

// useReservation takes a start off what the machine's room is reserved for.
func (dispatch *machineDispatch) useReservation(tr *taskRange) {
	reserved := dispatch.reservation
	if reserved == nil || reserved.taskRange != tr {
		return
	}
	if reserved.count--; reserved.count == 0 {
		dispatch.reservation = nil
	}
}

// countStart counts a start, and whether it is late by its class's start objectives.
func (am *agentManager) countStart(tr *taskRange) {
	am.Counters.Starts++
	for _, o := range am.params.Objectives[tr.job.rec.Job.Class] {
		if o.Kind == startObjective && am.now.WallMS > tr.job.rec.AcceptedAtMS+secondsToMS(o.WithinS) {
			am.rolloutCounts.LateStarts++
		}
	}
}

// queueFill is one machine's pass over its shard's queue.
type queueFill struct {
	machineType *MachineType
	free        availability.Resources // on the machine, less what is reserved
	latestStart int64                  // wall time by which all groups that were passed over must start
}

// startFromQueue fills the room that a heartbeat shows beyond what the plan put there: the next tasks of the
// shard's queue, in the order of the last plan.
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

// nextFromQueue picks the first group of the queue that has tasks and room. A group whose image is there goes
// before one that would fetch, if the latter can still start behind it in time: l(δ) once more, with the
// passed-over task behind the insertion point.
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

// latestStart is by when a group's tasks must start, in wall time. One that can still start as its class's
// objective wants must not wait past that, whatever its deadline.
func (am *agentManager) latestStart(g *taskGroup, fetchMS int64) int64 {
	needed := g.LengthMS + fetchMS
	if g.ObjectiveDeadlineMS < g.DeadlineMS && g.ObjectiveDeadlineMS-needed > am.now.WallMS {
		return g.ObjectiveDeadlineMS - needed
	}
	return g.DeadlineMS - needed
}

// fitsUnplanned reports whether a task of the group waits, has room, and may start without a new plan.
func (am *agentManager) fitsUnplanned(s *shard, mc *machine, g *taskGroup, fill *queueFill) bool {
	if g.job.Kind == Gang || g.taskRange.pending() <= 0 || !fill.free.Contains(withoutDisk(g.job.Request)) {
		return false
	}
	return am.mayStartUnplanned(s, mc, fill.machineType, g)
}

// startGroup starts tasks of a group while there is room. It reports false once the pacer or the attempt IDs
// forbid any start.
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

// mayStartUnplanned reports whether a task of a group may start on a machine without a new plan. What the
// plan decides with a view of the whole shard is left to it: types that others cannot do without, the
// reserve, and on-demand machines for work that spot machines end in time, or they would never be idle and
// released.
func (am *agentManager) mayStartUnplanned(s *shard, mc *machine, t *MachineType, g *taskGroup) bool {
	tr := g.taskRange
	j := &tr.job.rec.Job
	if g.IsFirstTask && tr.hasStarted() {
		return false // the rest has its own place in the queue
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

// mayStart checks, at the last moment, what the rules ask of a start. Some checks note what they find, so
// their order matters.
func (am *agentManager) mayStart(s *shard, tr *taskRange, mc *machine) bool {
	j := &tr.job.rec.Job
	if !am.cache.isOfferingAllowed(j, mc.rec.Type, mc.rec.Zone, mc.rec.Spot) || mc.hasUnconfirmedStart() {
		return false
	}
	if am.isBlockedByUnreported(s, tr) || am.hasProbeRunning(tr) || !am.shards.failurePolicyAllowsStart(tr) {
		return false
	}
	return tr.isZoneAllowed(mc.rec.Zone) && am.quotas.isWithinTeamLimit(s, j)
}

// hasAttemptIDs reports whether starts can have attempt IDs of their own.
func (am *agentManager) hasAttemptIDs(s *shard) bool { return !s.attemptIDs.IsExhausted(am.now.WallMS) }

// isBlockedByUnreported reports whether a range's tasks may still run on a machine that has not reported
// since the claim. Once none can, the range no longer counts as recovered.
func (am *agentManager) isBlockedByUnreported(s *shard, tr *taskRange) bool {
	if !tr.recovered {
		return false
	}
	for _, unreported := range s.reconciler.Unreported() {
		if mc := am.registry.machines[unreported.ID]; mc == nil || s.mayHaveTasks(mc, tr) {
			return true
		}
	}
	tr.recovered = false
	am.shards.failJobOnUnknownProgress(tr)
	return false
}

// isZoneAllowed checks one-zone and spread jobs against where their other tasks are. One shard has the whole
// of such a job, and sees all of them.
func (tr *taskRange) isZoneAllowed(zone string) bool {
	j := &tr.job.rec.Job
	if !j.requiresOneShard() {
		return true
	}
	inZone, inOtherZones := tr.attemptsByZone[zone], 0
	for z, n := range tr.attemptsByZone {
		if z != zone {
			inOtherZones += n
		}
	}
	if j.OneZone && inOtherZones > 0 {
		return false
	}
	return !j.Spread || inZone < (j.Tasks+1)/2
}
