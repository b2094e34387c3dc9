package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/quota"
)

// A team gets its guarantee from what other teams run beyond theirs: where work that
// is within it finds no room, tasks of theirs are stopped (package quota decides whose,
// and how much). It is a second exception from queues that are never preempted,
// beside the one for a team's own limit (team_preemption.go).

// preemptionBatch is attempts on one machine whose stop gives room for one more task of a group.
type preemptionBatch struct {
	machine     *machine
	viewMachine *planner.Machine
	victims     []*attempt
	priority    Priority // the highest of the victims
	fetchMS     int64    // time to fetch the group's image there; 0 if it is cached
	lostWork    float64  // work that is lost by the stops, in processor milliseconds
}

// isEnding reports whether an attempt is over, or is being stopped already.
func (a *attempt) isEnding() bool { return a.exited || a.stopRequested || a.evicted }

// endsUnaided reports whether an attempt ends by itself as soon as a stop would end it.
func (qm *quotaManager) endsUnaided(a *attempt) bool {
	return a.expectedEnd(qm.now.WallMS)-qm.now.WallMS <= qm.stopDelay(a.job)
}

// isReclaimable reports whether an attempt may be stopped for another team's guarantee. What
// ends by itself as soon may not; nor what was stopped for that team before.
func (qm *quotaManager) isReclaimable(a *attempt, team string) bool {
	if a.isEnding() || a.checkpointing || qm.endsUnaided(a) {
		return false
	}
	if a.job.Kind != Array || a.job.AtMostOnce || a.job.Team == team {
		return false
	}
	return a.taskRange.reclaimedFor[a.taskIndex] != team && !qm.isWithinGuarantee(a.job)
}

// lostWork is the work that a stop costs, in processor milliseconds.
func (qm *quotaManager) lostWork(a *attempt) float64 {
	switch {
	case !a.running:
		return 0
	case a.job.CheckpointIntervalS > 0:
		return float64(secondsToMS(a.job.CheckpointDurationS)) * a.job.Request.CPUs
	}
	return float64(qm.now.WallMS-a.runningSince) * a.job.Request.CPUs
}

// compareReclaimable orders attempts by what a stop costs: lowest priority first, then least
// work lost for a processor.
func (qm *quotaManager) compareReclaimable(a, b *attempt) int {
	return cmp.Or(
		cmp.Compare(a.job.Priority, b.job.Priority),
		cmp.Compare(qm.lostWork(a)/a.job.Request.CPUs, qm.lostWork(b)/b.job.Request.CPUs),
		cmp.Compare(a.key.task, b.key.task),
		cmp.Compare(a.key.attempt, b.key.attempt),
	)
}

// preemptionBatches lists what could be stopped on a machine for a group, a copy of its request
// after the other, and how many tasks find room there before a stop would help.
func (qm *quotaManager) preemptionBatches(
	mc *machine,
	viewMachine *planner.Machine,
	g *taskGroup,
	limit int,
) (out []preemptionBatch, freedUnaided int) {
	req := withoutDisk(g.job.Request)
	var reclaimable []*attempt
	free := viewMachine.Free
	someEnding := false
	for _, a := range mc.byKey {
		switch {
		case a.isEnding():
		case qm.endsUnaided(a):
			free = free.Add(withoutDisk(a.job.Request))
			someEnding = true
		case qm.isReclaimable(a, g.job.Team):
			reclaimable = append(reclaimable, a)
		}
	}
	if someEnding {
		freedUnaided = free.MaxCopies(req, limit)
		for range freedUnaided {
			free = free.Sub(req)
		}
	}
	if len(reclaimable) == 0 || mc.reservation != nil {
		return nil, freedUnaided
	}
	slices.SortFunc(reclaimable, qm.compareReclaimable)
	fetchMS := qm.agents.fetchTime(g.job, mc, qm.cache.machineTypes[mc.rec.Type])
	empty := preemptionBatch{machine: mc, viewMachine: viewMachine, fetchMS: fetchMS}
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
	return out, freedUnaided
}

// mayReclaim reports whether tasks may be stopped for a group at all: not while machines that sent no
// heartbeat yet may give it room, nor while starts are paced.
func (qm *quotaManager) mayReclaim(s *shard, g *taskGroup) bool {
	if !qm.params.Quota || !g.WithinGuarantee || g.MissedObjectives {
		return false
	}
	if g.job.Kind == Gang || g.job.requiresOneShard() {
		return false
	}
	return len(s.reconciler.Unreported()) == 0 && !s.reconciler.Pacer.IsActive(qm.now.MonotonicMS)
}

// reclaimForGuarantee stops tasks that other teams run beyond their guarantees for tasks of a
// group that are within its team's and found no room. No more work is lost by a stop
// than the task that it makes room for has.
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
		maxLostWork = math.Inf(1) // its replicas run for as long as nobody cancels them
	}
	skipped := map[*machine]bool{}
	for _, b := range batches {
		if missing <= 0 {
			return
		}
		// The second batch of a machine counts on the first.
		if skipped[b.machine] || b.lostWork > maxLostWork || !qm.takeFromExcess(b.victims) {
			skipped[b.machine] = true
			continue
		}
		qm.reclaim(s, g, b)
		missing--
	}
}

// collectBatches lists what could be stopped on the shard's machines for a group, cheapest first, and
// returns how many of the missing tasks need it; none do when enough find room without a stop.
func (qm *quotaManager) collectBatches(
	s *shard,
	g *taskGroup,
	missing int,
) (batches []preemptionBatch, stillMissing int) {
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
		machineBatches, freedUnaided := qm.preemptionBatches(mc, viewMachine, g, missing)
		missing -= freedUnaided
		batches = append(batches, machineBatches...)
	}
	slices.SortStableFunc(batches, func(a, b preemptionBatch) int {
		return cmp.Or(
			cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.fetchMS, b.fetchMS),
			cmp.Compare(a.lostWork, b.lostWork),
		)
	})
	return batches, missing
}

// preemptibleExcess is what may be stopped of a team's tasks in this member's shards, given what it
// uses there.
func (qm *quotaManager) preemptibleExcess(team string, usage quota.Amounts) quota.Amounts {
	guarantee := guaranteeOf(qm.params.Teams[team])
	return qm.usageMonitor.PreemptibleExcess(team, usage, guarantee, qm.peerMessagesSince())
}

// hasReclaimableUsage reports whether any team but one may have usage to reclaim here. It is computed
// once a plan, so that a fleet on which no team has any costs nothing more.
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

// takeFromExcess takes what the victims use off what may be stopped of their teams, if all of it
// may; if not, nothing.
func (qm *quotaManager) takeFromExcess(victims []*attempt) bool {
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

// reclaim stops a batch's victims and reserves their room for a task of a group.
func (qm *quotaManager) reclaim(s *shard, g *taskGroup, batch preemptionBatch) {
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
	// What the reservation takes beside the victims' room, the plan may not give away.
	viewMachine.Free = viewMachine.Free.Add(reservedBefore).Sub(qm.reservedResources(mc))
	s.clusterView.MarkFreeChanged(viewMachine)
}

// stopForGuarantee marks an attempt to be stopped for a job within its team's guarantee.
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
