package scheduler

import (
	"slices"

	"github.com/grebedock/grebedock/planner"
)

// sendUrgentStarts sends urgent starts straight to their workers.
func (am *agentManager) sendUrgentStarts(s *shard) {
	for _, mc := range s.machines {
		if len(mc.plannedStarts) == 0 || mc.directCommandPending || mc.directCommandRefused || !mc.IsReconciled() ||
			mc.addr == "" {
			continue
		}
		if now := am.now.MonotonicMS; now-mc.LastHeartbeatAt > am.maxHeartbeatIntervalMS() {
			continue // silent: a start would only be one more thing unknown
		}
		if !slices.ContainsFunc(mc.plannedStarts, am.isUrgent) {
			continue
		}
		mc.commands = mc.commands[:0]
		before := make(map[attemptKey]bool, len(mc.attempts))
		for k := range mc.attempts {
			before[k] = true
		}
		am.dispatchPlannedStarts(s, mc, &Heartbeat{Incarnation: mc.Incarnation, Seq: mc.Seq})
		if len(mc.commands) == 0 {
			continue
		}
		var started []*attempt
		for _, a := range mc.byKey {
			if !before[a.key] {
				a.directCommandToken = s.token
				started = append(started, a)
			}
		}
		am.sendDirectCommand(s, mc, mc.Incarnation, started)
	}
}

// dispatchPlannedStarts turns the plan's starts on this machine into commands.
func (am *agentManager) dispatchPlannedStarts(s *shard, mc *machine, hb *Heartbeat) {
	if !am.isSchedulable(mc) || !mc.Up || !mc.IsReconciled() || !am.store.hasAuthority() {
		return
	}
	plannedStarts := mc.plannedStarts
	mc.plannedStarts = nil
	free := am.freeResources(mc)
	for _, p := range plannedStarts {
		tr := p.taskRange
		j := &tr.job.rec.Job
		if !am.cache.isCurrent(tr) || tr.moving {
			continue
		}
		for range p.count {
			i := tr.nextTask()
			if i < 0 || !free.Contains(j.Request) || !am.mayStart(s, tr, mc) {
				break
			}
			if j.Kind == Gang && (tr.gangAttempt == 0 || tr.gangStartsSent.has(i)) {
				break // this try of it failed; a task has a number once
			}
			if !am.hasAttemptIDs(s) || !s.reconciler.Pacer.TryStart(am.now.MonotonicMS, p.hasStartObjective || j.Kind == Gang) {
				break
			}
			free = free.Sub(j.Request)
			am.startTask(s, mc, tr, i, p.runtimeMS, p.fetchMS, hb)
		}
	}
}

// startTask begins an attempt; its command goes with whatever the machine is told
// next.
func (am *agentManager) startTask(s *shard, mc *machine, tr *taskRange, i int, runtimeMS, fetchMS int64, hb *Heartbeat) {
	j := &tr.job.rec.Job
	runtimeMS = max(runtimeMS-tr.checkpointedMS[i], runtimeMS/8)
	attemptID := tr.gangAttempt
	if j.Kind == Gang {
		tr.gangStartsSent.set(i)
	} else {
		attemptID = s.attemptIDs.Next(am.now.WallMS)
	}
	a := &attempt{
		key:               attemptKey{taskName(j.ID, tr.bounds.Lo+i), attemptID},
		job:               j,
		taskRange:         tr,
		claim:             s,
		taskIndex:         i,
		shardName:         s.name,
		incarnation:       hb.Incarnation,
		afterHeartbeatSeq: hb.Seq,
		placedAt:          am.now.WallMS,
		expectedRuntimeMS: runtimeMS,
		expectedFetchMS:   fetchMS,
	}
	am.allocateResources(mc, a)
	if reservation := mc.reservation; reservation != nil && reservation.taskRange == tr {
		if reservation.count--; reservation.count == 0 {
			mc.reservation = nil
		}
	}
	am.placer.repayDebt(s, j)
	am.Counters.Starts++
	for _, o := range am.params.Objectives[j.Class] {
		if o.Kind == "wait" && am.now.WallMS > tr.job.rec.AcceptedAtMS+secondsToMS(o.WithinS) {
			am.rolloutCounts.LateStarts++
		}
	}
	am.log(Debug, "start", "task", a.key.task, "attempt", a.key.attempt, "machine", mc.id)
	mc.commands = append(mc.commands, Command{Kind: CommandStart, Task: a.key.task, Attempt: a.key.attempt})
}

// startFromQueue fills the room that a report shows beyond what the plan put there: the
// next tasks of the shard's queue, in the order of the last plan. A task whose
// image is there goes before one that would fetch, if the latter can still
// start behind it in time: l(δ) once more, with the passed-over task behind the
// insertion point.
func (am *agentManager) startFromQueue(s *shard, mc *machine, hb *Heartbeat) {
	if len(s.queue) == 0 || !am.isSchedulable(mc) || !mc.Up || !mc.IsReconciled() || !am.store.hasAuthority() {
		return
	}
	free := am.freeResources(mc).Sub(am.quotas.reservedResources(mc))
	t := am.cache.machineTypes[mc.rec.Type]
	latestStart := int64(1) << 62 // the latest start of what was passed over
	for free.CPUs > 0 {
		var first, withImage *taskGroup
		for _, g := range s.queue {
			if g.job.Kind == Gang || g.taskRange.pending() <= 0 || !free.Contains(withoutDisk(g.job.Request)) ||
				!am.mayStartUnplanned(s, mc, t, g) {
				continue
			}
			if first == nil {
				first = g
			}
			if g.job.Priority != first.job.Priority {
				break
			}
			fetch := am.fetchTime(g.job, mc, t)
			if fetch == 0 && (g == first || am.now.WallMS+int64(float64(g.LengthMS)*planner.RuntimePadding) <= latestStart) {
				withImage = g
				break
			}
			// One that can still start as its class asks must not wait past
			// that, whatever its deadline.
			endBy := g.DeadlineMS
			if g.ObjectiveDeadlineMS < endBy && g.ObjectiveDeadlineMS-g.LengthMS-fetch > am.now.WallMS {
				endBy = g.ObjectiveDeadlineMS
			}
			latestStart = min(latestStart, endBy-g.LengthMS-fetch)
		}
		g := withImage
		if g == nil {
			g = first
		}
		if g == nil {
			return
		}
		fetch := am.fetchTime(g.job, mc, t)
		for free.Contains(withoutDisk(g.job.Request)) && am.mayStartUnplanned(s, mc, t, g) {
			i := g.taskRange.nextTask()
			if i < 0 {
				break
			}
			if !am.hasAttemptIDs(s) || !s.reconciler.Pacer.TryStart(am.now.MonotonicMS, g.HasObjective) {
				return
			}
			free = free.Sub(g.job.Request)
			s.spareCPUs -= g.job.Request.CPUs
			am.startTask(s, mc, g.taskRange, i, g.LengthMS, fetch, hb)
		}
	}
}

// mayStartUnplanned tells whether a task of a group may start on a machine without a new
// plan. What the plan decides with a view of the whole shard is left to it:
// types that others cannot do without, the reserve, and ordinary machines for
// work that spot machines end in time, or they would never be idle and returned.
func (am *agentManager) mayStartUnplanned(s *shard, mc *machine, t *MachineType, g *taskGroup) bool {
	j := &g.taskRange.job.rec.Job
	if g.IsFirstTask && g.taskRange.hasStarted() {
		return false // the rest has its own place in the queue
	}
	if !am.cache.isCurrent(g.taskRange) || g.taskRange.moving || am.now.MonotonicMS < g.taskRange.retryAt ||
		g.taskRange.errorsByMachine[mc.id] > 0 {
		return false
	}
	if g.ObjectiveDeadlineMS >= g.DeadlineMS && s.spareCPUs-s.reserveCPUs < j.Request.CPUs || am.cache.isTypeScarce(j, t) ||
		j.Spot && !mc.rec.Spot && !g.SpotInsufficient && !am.cache.placementCatalog.IsRequired(t.Name) {
		return false
	}
	return am.mayStart(s, g.taskRange, mc)
}

// mayStart checks, at the last moment, what the rules ask of a start.
func (am *agentManager) mayStart(s *shard, tr *taskRange, mc *machine) bool {
	j := &tr.job.rec.Job
	if !am.cache.isOfferingAllowed(j, mc.rec.Type, mc.rec.Zone, mc.rec.Spot) || mc.hasUnconfirmedStart() ||
		am.isBlockedByUnreported(s, tr) ||
		am.hasProbeRunning(tr) ||
		!am.shards.canBegin(tr) {
		return false
	}
	return am.isZoneAllowed(tr, mc.rec.Zone) && am.quotas.isWithinTeamLimit(s, j)
}

// hasAttemptIDs tells whether starts can have numbers of their own.
func (am *agentManager) hasAttemptIDs(s *shard) bool { return !s.attemptIDs.IsExhausted(am.now.WallMS) }

// isBlockedByUnreported tells whether a work's tasks may still run somewhere unseen: on a
// machine that is unseen, that its job allows, and whose note, if there is one,
// names it.
func (am *agentManager) isBlockedByUnreported(s *shard, tr *taskRange) bool {
	if !tr.recovered {
		return false
	}
	for _, unreported := range s.reconciler.Unreported() {
		if mc := am.registry.machines[unreported.ID]; mc == nil || am.mayHaveTasks(s, mc, tr) {
			return true
		}
	}
	tr.recovered = false
	am.shards.failJobOnUnknownProgress(tr)
	return false
}

// isZoneAllowed checks one-zone and spread jobs against where their other tasks
// are. Such jobs are held whole by one shard, which sees all of them.
func (am *agentManager) isZoneAllowed(tr *taskRange, zone string) bool {
	j := &tr.job.rec.Job
	if !j.requiresOneShard() {
		return true
	}
	here, elsewhere := tr.attemptsByZone[zone], 0
	for z, n := range tr.attemptsByZone {
		if z != zone {
			elsewhere += n
		}
	}
	if j.OneZone && elsewhere > 0 {
		return false
	}
	return !j.Spread || here < (j.Tasks+1)/2
}
