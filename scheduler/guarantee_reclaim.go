package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/quota"
)

// A guarantee is enforced by reclaiming capacity from teams that use more than their own guarantees.
// If work within a guarantee does not fit on any machine, the shard's owner stops tasks of such
// teams. Package quota decides which teams lose capacity, and how much. A plan stops no running task
// for a waiting one, with two exceptions: this one and preemption within a team's own limit
// (team_preemption.go).

// reclaimBatch is a set of attempts on one machine whose stop frees capacity for one more task
// of a group.
type reclaimBatch struct {
	machine     *machine
	viewMachine *planner.Machine
	victims     []*attempt
	priority    Priority // the highest of the victims
	fetchMS     int64    // time to fetch the group's image there; 0 if it is cached
	lostWork    float64  // work lost by the stops, in CPU milliseconds
}

// isEnding reports whether an attempt has exited or is already being stopped.
func (a *attempt) isEnding() bool { return a.exited || a.stopRequested || a.evicted }

// endsWithinStopDelay reports whether an attempt is expected to end no later than a stop would
// end it.
func (qm *quotaManager) endsWithinStopDelay(a *attempt) bool {
	return a.expectedEnd(qm.now.WallMS)-qm.now.WallMS <= qm.stopDelay(a.job)
}

// isReclaimable reports whether an attempt may be stopped for another team's guarantee. An attempt
// that ends by itself within the stop delay may not, nor may a task that was already stopped once
// for the same team.
func (qm *quotaManager) isReclaimable(a *attempt, team string) bool {
	if a.isEnding() || a.checkpointing || qm.endsWithinStopDelay(a) {
		return false
	}
	if a.job.Kind != Array || a.job.AtMostOnce || a.job.Team == team {
		return false
	}
	return a.taskRange.reclaimedFor[a.taskIndex] != team && !qm.isWithinGuarantee(a.job)
}

// lostWork returns the work that a stop loses, in CPU milliseconds. For a task that checkpoints,
// that is the time of one checkpoint.
func (qm *quotaManager) lostWork(a *attempt) float64 {
	switch {
	case !a.running:
		return 0
	case a.job.CheckpointIntervalS > 0:
		return float64(secondsToMS(a.job.CheckpointDurationS)) * a.job.Request.CPUs
	}
	return float64(qm.now.WallMS-a.runningSince) * a.job.Request.CPUs
}

// compareReclaimable orders attempts by the cost of a stop: lowest priority first, then least lost
// work per CPU.
func (qm *quotaManager) compareReclaimable(a, b *attempt) int {
	return cmp.Or(
		cmp.Compare(a.job.Priority, b.job.Priority),
		cmp.Compare(qm.lostWork(a)/a.job.Request.CPUs, qm.lostWork(b)/b.job.Request.CPUs),
		cmp.Compare(a.key.task, b.key.task),
		cmp.Compare(a.key.attempt, b.key.attempt),
	)
}

// reclaimBatches returns the batches that could be stopped on a machine for a group, one for
// each copy of the group's request. fittingWithoutStop is the number of tasks that fit on the
// machine once attempts that end within the stop delay have ended; 0 if no attempt ends so soon.
func (qm *quotaManager) reclaimBatches(
	mc *machine,
	viewMachine *planner.Machine,
	g *taskGroup,
	limit int,
) (out []reclaimBatch, fittingWithoutStop int) {
	req := withoutDisk(g.job.Request)
	var reclaimable []*attempt
	free := viewMachine.Free
	someEnding := false
	for _, a := range mc.byKey {
		switch {
		case a.isEnding():
		case qm.endsWithinStopDelay(a):
			free = free.Add(withoutDisk(a.job.Request))
			someEnding = true
		case qm.isReclaimable(a, g.job.Team):
			reclaimable = append(reclaimable, a)
		}
	}
	if someEnding {
		fittingWithoutStop = free.MaxCopies(req, limit)
		for range fittingWithoutStop {
			free = free.Sub(req)
		}
	}
	if len(reclaimable) == 0 || mc.reservation != nil {
		return nil, fittingWithoutStop
	}
	slices.SortFunc(reclaimable, qm.compareReclaimable)
	fetchMS := qm.agents.fetchTime(g.job, mc, qm.cache.machineTypes[mc.rec.Type])
	empty := reclaimBatch{machine: mc, viewMachine: viewMachine, fetchMS: fetchMS}
	batch := empty
	for _, a := range reclaimable {
		free = free.Add(withoutDisk(a.job.Request))
		batch.victims = append(batch.victims, a)
		batch.priority = max(batch.priority, a.job.Priority)
		batch.lostWork += qm.lostWork(a)
		for free.Contains(req) && len(out) < limit {
			free = free.Sub(req)
			out = append(out, batch)
			batch = empty
		}
	}
	return out, fittingWithoutStop
}

// mayReclaim reports whether tasks may be stopped for a group at all. They may not while unreported
// machines could have capacity for it, nor while starts are paced.
func (qm *quotaManager) mayReclaim(s *shard, g *taskGroup) bool {
	if !qm.params.Quota || !g.WithinGuarantee || g.MissedObjectives {
		return false
	}
	if g.job.Kind == Gang || g.job.requiresOneShard() {
		return false
	}
	return len(s.reconciler.Unreported()) == 0 && !s.reconciler.Pacer.IsActive(qm.now.MonotonicMS)
}

// reclaimForGuarantee stops tasks that other teams run beyond their guarantees. It does so for tasks
// of a group that are within their team's guarantee and that fit on no machine. The stops for one
// task never lose more work than that task contains.
func (qm *quotaManager) reclaimForGuarantee(s *shard, g *taskGroup, missing int) {
	if !qm.mayReclaim(s, g) {
		return
	}
	missing -= s.reservedTasks[g.taskRange]
	if missing <= 0 || !qm.hasReclaimableUsage(s, g.job.Team) {
		return
	}
	batches, missing := qm.collectBatches(s, g, missing)
	maxLostWork := float64(g.LengthMS) * g.job.Request.CPUs
	if g.job.Kind == Service {
		maxLostWork = math.Inf(1) // replicas run until the service is cancelled
	}
	skipped := map[*machine]bool{}
	for _, b := range batches {
		if missing <= 0 {
			return
		}
		// A machine's later batches depend on the capacity that its earlier ones free.
		if skipped[b.machine] || b.lostWork > maxLostWork || !qm.consumePreemptibleExcess(b.victims) {
			skipped[b.machine] = true
			continue
		}
		qm.reclaim(s, g, b)
		missing--
	}
}

// collectBatches returns the batches that could be stopped on the shard's machines for a group,
// cheapest first. stillMissing is the number of missing tasks that need a stop; it is 0 if enough
// of them fit without one.
func (qm *quotaManager) collectBatches(
	s *shard,
	g *taskGroup,
	missing int,
) (batches []reclaimBatch, stillMissing int) {
	for i, viewMachine := range s.clusterView.Machines() {
		if missing <= 0 {
			return nil, 0
		}
		mc := s.viewMachines[i]
		if !viewMachine.Ready || !mc.IsReconciled() || g.taskRange.errorsByMachine[mc.id] > 0 {
			continue
		}
		if !qm.cache.placementCatalog.IsAllowed(&g.Request, viewMachine.Offering) {
			continue
		}
		machineBatches, fittingWithoutStop := qm.reclaimBatches(mc, viewMachine, g, missing)
		missing -= fittingWithoutStop
		batches = append(batches, machineBatches...)
	}
	slices.SortStableFunc(batches, func(a, b reclaimBatch) int {
		return cmp.Or(
			cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.fetchMS, b.fetchMS),
			cmp.Compare(a.lostWork, b.lostWork),
		)
	})
	return batches, missing
}

// preemptibleExcess returns how much of a team's usage in this member's shards may be reclaimed.
// Package quota calls this preemption.
func (qm *quotaManager) preemptibleExcess(team string, usage quota.Amounts) quota.Amounts {
	guarantee := guaranteeOf(qm.params.Teams[team])
	return qm.usageMonitor.PreemptibleExcess(team, usage, guarantee, qm.peerMessagesSince())
}

// hasReclaimableUsage reports whether any team except exceptTeam may have usage to reclaim in this
// member's shards. The teams are determined once per plan, so a fleet without reclaimable usage
// incurs no further cost.
func (qm *quotaManager) hasReclaimableUsage(s *shard, exceptTeam string) bool {
	if s.reclaimableTeams == nil {
		s.reclaimableTeams = map[string]bool{}
		usageByTeam, _ := qm.localUsageByTeam()
		for team, usage := range usageByTeam {
			if excess := qm.preemptibleExcess(team, usage); excess.CPUs > 0 || excess.GPUs > 0 {
				s.reclaimableTeams[team] = true
			}
		}
	}
	others := len(s.reclaimableTeams)
	if s.reclaimableTeams[exceptTeam] {
		others--
	}
	return others > 0
}

// consumePreemptibleExcess deducts the victims' requests from the preemptible excess of their
// teams. It deducts nothing and returns false if any team's excess is too small.
func (qm *quotaManager) consumePreemptibleExcess(victims []*attempt) bool {
	requests := map[string]quota.Amounts{}
	for _, a := range victims {
		requests[a.job.Team] = requests[a.job.Team].Add(amountsOf(a.job.Request))
	}
	for team, request := range requests {
		if !qm.preemptibleExcess(team, qm.localUsage(team)).Contains(request) {
			return false
		}
	}
	since := qm.peerMessagesSince()
	for team, request := range requests {
		guarantee := guaranteeOf(qm.params.Teams[team])
		qm.usageMonitor.TryPreempt(team, qm.localUsage(team), guarantee, since, request)
	}
	return true
}

// reclaim marks a batch's victims to be stopped and reserves their capacity for a task of a group.
func (qm *quotaManager) reclaim(s *shard, g *taskGroup, batch reclaimBatch) {
	mc, viewMachine := batch.machine, batch.viewMachine
	reservedBefore := qm.reservedResources(mc)
	longestStop := int64(0)
	for _, a := range batch.victims {
		qm.stopForGuarantee(s, a, g.job)
		longestStop = max(longestStop, qm.stopDelay(a.job))
	}
	if mc.reservation == nil {
		mc.reservation = &reservation{taskRange: g.taskRange}
	}
	mc.reservation.count++
	s.reservedTasks[g.taskRange]++
	mc.reservation.stopsSent = false
	mc.reservation.expiresAt = qm.now.MonotonicMS + longestStop + 2*qm.maxHeartbeatIntervalMS()
	// The plan must not assign free capacity that the reservation needs in addition to the victims'.
	viewMachine.Free = viewMachine.Free.Add(reservedBefore).Sub(qm.reservedResources(mc))
	s.clusterView.MarkFreeChanged(viewMachine)
}

// stopForGuarantee marks an attempt to be stopped for a job that is within its team's guarantee.
func (qm *quotaManager) stopForGuarantee(s *shard, a *attempt, j *Job) {
	a.stopRequested, a.reclaimed = true, true
	tr := a.taskRange
	if tr.reclaimedFor == nil {
		tr.reclaimedFor = map[int]string{}
	}
	tr.reclaimedFor[a.taskIndex] = j.Team
	s.reclaimedUsage[a.job.Team] = s.reclaimedUsage[a.job.Team].Add(amountsOf(a.job.Request))
	qm.Counters.ReclaimedTasks++
	qm.log(Debug, "task stopped for a guarantee",
		"task", a.key.task, "machine", a.machine.id, "team", a.job.Team, "job", j.ID)
}
