package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/quota"
)

// A team gets its guarantee by what other teams run beyond theirs: where work that
// is within it finds no room, tasks of theirs are stopped (package quota says whose,
// and how much). It is a second exception from queues that are never preempted,
// beside the one for a team's own limit (preempt.go).

// reservation is room on a machine that is kept for tasks of a work, since others are
// stopped there for it.
type reservation struct {
	taskRange *taskRange
	count     int   // tasks
	expiresAt int64 // steady time
	stopsSent bool  // the stops went straight to the worker
}

// guaranteeStatus is which live jobs are within their teams' guarantees, and how much all
// live jobs of each team ask for.
type guaranteeStatus struct {
	valid          bool
	guaranteedJobs map[string]bool
	requestsByTeam map[string]quota.Amounts
}

func guaranteeOf(t Team) quota.Amounts { return quota.Amounts{CPUs: t.CPUs, GPUs: t.GPUs} }

func totalRequest(j *Job) quota.Amounts {
	return amountsOf(j.Request).Scale(float64(j.Tasks))
}

// isWithinGuarantee tells whether a job is within its team's guarantee, as the mirror has
// the jobs; one that is not accepted yet would be the team's newest.
func (qm *quotaManager) isWithinGuarantee(j *Job) bool {
	guarantee := guaranteeOf(qm.params.Teams[j.Team])
	if guarantee == (quota.Amounts{}) {
		return false
	}
	status := &qm.guaranteeStatus
	if !status.valid {
		byTeam := map[string][]quota.Job{}
		for id, o := range qm.cache.jobs {
			if team := o.rec.Job.Team; guaranteeOf(qm.params.Teams[team]) != (quota.Amounts{}) {
				byTeam[team] = append(
					byTeam[team],
					quota.Job{ID: id, AcceptedMS: o.rec.AcceptedAtMS, Size: totalRequest(&o.rec.Job)},
				)
			}
		}
		*status = guaranteeStatus{true, map[string]bool{}, map[string]quota.Amounts{}}
		for team, jobs := range byTeam {
			slices.SortFunc(jobs, quota.Job.Compare) // the same sum every time
			for id := range quota.JobsWithinGuarantee(guaranteeOf(qm.params.Teams[team]), jobs) {
				status.guaranteedJobs[id] = true
			}
			for _, o := range jobs {
				status.requestsByTeam[team] = status.requestsByTeam[team].Add(o.Size)
			}
		}
	}
	if qm.cache.jobs[j.ID] != nil {
		return status.guaranteedJobs[j.ID]
	}
	return guarantee.Contains(status.requestsByTeam[j.Team].Add(totalRequest(j)))
}

// amountsOf is what a request takes of limits and guarantees.
func amountsOf(r availability.Resources) quota.Amounts {
	return quota.Amounts{CPUs: r.CPUs, GPUs: r.GPUs}
}

// localUsage is what a team uses in this member's shards. What is told to stop for a
// guarantee is not used any more.
func (qm *quotaManager) localUsage(team string) (usage quota.Amounts) {
	for _, s := range sortedByKey(qm.shards.ownedShards) {
		usage = usage.Add(amountsOf(s.usage[team])).Sub(s.reclaimedUsage[team])
	}
	return usage.Max(quota.Amounts{})
}

// localUsageByTeam is what teams use and wait for in this member's shards.
func (qm *quotaManager) localUsageByTeam() (usage, waiting map[string]quota.Amounts) {
	usage, waiting = map[string]quota.Amounts{}, map[string]quota.Amounts{}
	for _, s := range sortedByKey(qm.shards.ownedShards) {
		for team := range s.usage {
			if teamUsage := qm.localUsage(team); teamUsage != (quota.Amounts{}) {
				usage[team] = teamUsage
			}
		}
		for _, tr := range s.taskRanges {
			if n := tr.pending(); n > 0 {
				j := &tr.job.rec.Job
				waiting[j.Team] = waiting[j.Team].Add(amountsOf(j.Request).Scale(float64(n)))
			}
		}
	}
	return usage, waiting
}

// assignUsageTiers tells groups how far their teams are beyond their guarantees: by what they use
// over all members, and by what goes before in this shard. So what is free beyond the
// guarantees goes to who has least, not to who asks first or most. It says whether any
// two differ.
func (qm *quotaManager) assignUsageTiers(groups []*taskGroup) bool {
	localUsage, localWaiting := qm.localUsageByTeam()
	since := qm.now.MonotonicMS - qm.cache.maxMessageAgeMS()
	usage := map[string]quota.Amounts{}
	for team := range qm.params.Teams {
		teamUsage, waiting, _ := qm.usageMonitor.PeerUsage(team, qm.now.MonotonicMS, since)
		if teamUsage = teamUsage.Add(localUsage[team]); teamUsage != (quota.Amounts{}) ||
			waiting.Add(localWaiting[team]) != (quota.Amounts{}) {
			usage[team] = teamUsage
		}
	}
	if len(usage) < 2 {
		return false
	}
	capacity := qm.liveCapacity()
	differ := false
	for _, g := range groups {
		team := g.job.Team
		if !g.WithinGuarantee {
			g.QuotaTier = quota.Tier(usage[team], guaranteeOf(qm.params.Teams[team]), capacity, len(usage))
		}
		usage[team] = usage[team].Add(amountsOf(g.job.Request).Scale(float64(g.Remaining)))
		differ = differ || g.QuotaTier != groups[0].QuotaTier
	}
	return differ
}

// capacitySnapshot is what all machines that are up have, as of a moment.
type capacitySnapshot struct {
	takenAt int64 // steady time; 0: never
	total   quota.Amounts
}

// liveCapacity is what all machines that are up have, of all members. Counted for each plan, the whole fleet
// was looked at several times a second; shares of it need no more than a second's exactness.
func (qm *quotaManager) liveCapacity() quota.Amounts {
	if qm.capacitySnapshot.takenAt == 0 || qm.now.MonotonicMS-qm.capacitySnapshot.takenAt > secondsToMS(qm.cache.settings.SummaryS) {
		qm.capacitySnapshot = capacitySnapshot{takenAt: qm.now.MonotonicMS}
		ups := map[string]int{}
		for _, mc := range qm.registry.machines {
			if mc.Up {
				ups[mc.rec.Type]++
			}
		}
		for name, n := range sortedByKey(ups) { // the same sum every time
			if t := qm.cache.machineTypes[name]; t != nil {
				qm.capacitySnapshot.total = qm.capacitySnapshot.total.Add(amountsOf(t.Resources).Scale(float64(n)))
			}
		}
	}
	return qm.capacitySnapshot.total
}

// preemptionBatch is tasks on one machine whose stop gives room for one more of a group.
type preemptionBatch struct {
	machine     *machine
	viewMachine *planner.Machine
	victims     []*attempt
	priority    Priority // the highest of them
	fetchMS     int64    // the image is missing there: as long
	lostWork    float64  // work that is lost with them, in processor milliseconds
}

// isReclaimable tells whether an attempt may be stopped for another team's guarantee. What
// ends by itself as soon is not; nor what was stopped for that team before.
func (qm *quotaManager) isReclaimable(a *attempt, team string) bool {
	if a.exited || a.checkpointing || a.stopRequested || a.evicted || a.job.Kind != Array || a.job.AtMostOnce ||
		a.job.Team == team {
		return false
	}
	return a.expectedEnd(qm.now.WallMS)-qm.now.WallMS > qm.stopDelay(a.job) &&
		a.taskRange.reclaimedFor[a.taskIndex] != team &&
		!qm.isWithinGuarantee(a.job)
}

// lostWork is the work that a stop costs.
func (qm *quotaManager) lostWork(a *attempt) float64 {
	switch {
	case !a.running:
		return 0
	case a.job.CheckpointIntervalS > 0:
		return float64(secondsToMS(a.job.CheckpointDurationS)) * a.job.Request.CPUs
	}
	return float64(qm.now.WallMS-a.runningSince) * a.job.Request.CPUs
}

// preemptionBatches lists what could be stopped on a machine for a group, a copy of its request
// after the other, and how many find room there by themselves before a stop would help.
func (qm *quotaManager) preemptionBatches(
	mc *machine,
	viewMachine *planner.Machine,
	g *taskGroup,
	limit int,
) (out []preemptionBatch, freedByThemselves int) {
	req := withoutDisk(g.job.Request)
	var reclaimable []*attempt
	free := viewMachine.Free
	someEnding := false
	for _, a := range mc.byKey {
		switch {
		case a.exited || a.stopRequested || a.evicted:
		case a.expectedEnd(qm.now.WallMS)-qm.now.WallMS <= qm.stopDelay(a.job):
			free = free.Add(withoutDisk(a.job.Request))
			someEnding = true
		case qm.isReclaimable(a, g.job.Team):
			reclaimable = append(reclaimable, a)
		}
	}
	if someEnding {
		freedByThemselves = free.MaxCopies(req, limit)
		for range freedByThemselves {
			free = free.Sub(req)
		}
	}
	if len(reclaimable) == 0 || mc.reservation != nil {
		return nil, freedByThemselves
	}
	slices.SortFunc(reclaimable, func(a, b *attempt) int {
		return cmp.Or(
			cmp.Compare(a.job.Priority, b.job.Priority),
			cmp.Compare(qm.lostWork(a)/a.job.Request.CPUs, qm.lostWork(b)/b.job.Request.CPUs),
			cmp.Compare(a.key.task, b.key.task),
			cmp.Compare(a.key.attempt, b.key.attempt),
		)
	})
	fetch := qm.agents.fetchTime(g.job, mc, qm.cache.machineTypes[mc.rec.Type])
	b := preemptionBatch{machine: mc, viewMachine: viewMachine, fetchMS: fetch}
	for _, a := range reclaimable {
		free = free.Add(withoutDisk(a.job.Request))
		b.victims = append(b.victims, a)
		b.priority = max(b.priority, a.job.Priority)
		b.lostWork += qm.lostWork(a)
		for free.Contains(req) && len(out) < limit {
			free = free.Sub(req)
			out = append(out, b)
			b = preemptionBatch{machine: mc, viewMachine: viewMachine, fetchMS: fetch}
		}
	}
	return out, freedByThemselves
}

// reclaimForGuarantee stops tasks that other teams run beyond their guarantees for tasks of a
// group that are within its team's and found no room. No more work is lost by a stop
// than the task that it makes room for has.
func (qm *quotaManager) reclaimForGuarantee(s *shard, g *taskGroup, missing int) {
	if !qm.params.Quota || !g.WithinGuarantee || g.MissedObjectives || g.job.Kind == Gang || g.job.requiresOneShard() ||
		len(s.reconciler.Unreported()) > 0 ||
		s.reconciler.Pacer.IsActive(qm.now.MonotonicMS) {
		return
	}
	if missing -= s.reservedTasks[g.taskRange]; missing <= 0 || !qm.hasReclaimableUsage(s, g.job.Team) {
		return
	}
	var batches []preemptionBatch
	for i, viewMachine := range s.clusterView.Machines() {
		if missing <= 0 {
			return
		}
		mc := s.viewMachines[i]
		if !viewMachine.Ready || !mc.IsReconciled() || !qm.cache.placementCatalog.IsAllowed(&g.Request, viewMachine.Offering) ||
			g.taskRange.errorsByMachine[mc.id] > 0 {
			continue
		}
		machineBatches, freedByThemselves := qm.preemptionBatches(mc, viewMachine, g, missing)
		missing -= freedByThemselves
		batches = append(batches, machineBatches...)
	}
	slices.SortStableFunc(batches, func(a, b preemptionBatch) int {
		return cmp.Or(
			cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.fetchMS, b.fetchMS),
			cmp.Compare(a.lostWork, b.lostWork),
		)
	})
	maxLostWork := float64(g.LengthMS) * g.job.Request.CPUs
	if g.job.Kind == Service {
		maxLostWork = math.Inf(1) // its replicas run for as long as nobody cancels them
	}
	skipped := map[*machine]bool{}
	for _, b := range batches {
		if missing <= 0 {
			return
		}
		// The second bundle of a machine counts on the first.
		if skipped[b.machine] || b.lostWork > maxLostWork || !qm.takeFromExcess(b.victims) {
			skipped[b.machine] = true
			continue
		}
		qm.reclaim(s, g, b)
		missing--
	}
}

// hasReclaimableUsage tells whether any team but one may have something to cede here: looked up once a
// plan, so that a fleet on which nobody has costs nothing more.
func (qm *quotaManager) hasReclaimableUsage(s *shard, exceptTeam string) bool {
	if s.reclaimableTeams == nil {
		s.reclaimableTeams = map[string]bool{}
		usageByTeam, _ := qm.localUsageByTeam()
		for team, usage := range usageByTeam {
			if excess := qm.usageMonitor.PreemptibleExcess(team, usage, guaranteeOf(qm.params.Teams[team]), qm.now.MonotonicMS-qm.cache.maxMessageAgeMS()); excess.CPUs > 0 ||
				excess.GPUs > 0 {
				s.reclaimableTeams[team] = true
			}
		}
	}
	return len(s.reclaimableTeams) > 1 || len(s.reclaimableTeams) == 1 && !s.reclaimableTeams[exceptTeam]
}

// takeFromExcess takes what is to be stopped off what may be, if all of it may.
func (qm *quotaManager) takeFromExcess(victims []*attempt) bool {
	requests := map[string]quota.Amounts{}
	for _, a := range victims {
		requests[a.job.Team] = requests[a.job.Team].Add(amountsOf(a.job.Request))
	}
	since := qm.now.MonotonicMS - qm.cache.maxMessageAgeMS()
	for team, request := range requests {
		if excess := qm.usageMonitor.PreemptibleExcess(team, qm.localUsage(team), guaranteeOf(qm.params.Teams[team]), since); !excess.Contains(
			request,
		) {
			return false
		}
	}
	for team, request := range requests {
		qm.usageMonitor.TryPreempt(team, qm.localUsage(team), guaranteeOf(qm.params.Teams[team]), since, request)
	}
	return true
}

func (qm *quotaManager) reclaim(s *shard, g *taskGroup, batch preemptionBatch) {
	reservedBefore := qm.reservedResources(batch.machine)
	longestStop := int64(0)
	for _, a := range batch.victims {
		a.stopRequested, a.reclaimed = true, true
		if a.taskRange.reclaimedFor == nil {
			a.taskRange.reclaimedFor = map[int]string{}
		}
		a.taskRange.reclaimedFor[a.taskIndex] = g.job.Team
		s.reclaimedUsage[a.job.Team] = s.reclaimedUsage[a.job.Team].Add(amountsOf(a.job.Request))
		longestStop = max(longestStop, qm.stopDelay(a.job))
		qm.Counters.ReclaimedTasks++
		qm.log(
			Debug,
			"task stopped for a guarantee",
			"task",
			a.key.task,
			"machine",
			batch.machine.id,
			"team",
			a.job.Team,
			"for",
			g.job.ID,
		)
	}
	if batch.machine.reservation == nil {
		batch.machine.reservation = &reservation{taskRange: g.taskRange}
	}
	batch.machine.reservation.count++
	s.reservedTasks[g.taskRange]++
	batch.machine.reservation.stopsSent = false
	batch.machine.reservation.expiresAt = qm.now.MonotonicMS + longestStop + 2*qm.maxHeartbeatIntervalMS()
	batch.viewMachine.Free = batch.viewMachine.Free.Add(
		reservedBefore,
	).Sub(
		qm.reservedResources(batch.machine),
	) // what else it takes, the plan may not give away
	s.clusterView.MarkFreeChanged(batch.viewMachine)
}

// reservedResources is the room of a machine that is kept for its pledge: what is pledged, less
// what the tasks have that are told to stop for it.
func (qm *quotaManager) reservedResources(mc *machine) availability.Resources {
	reservation := mc.reservation
	if reservation == nil {
		return availability.Resources{}
	}
	if qm.now.MonotonicMS > reservation.expiresAt || reservation.taskRange.claim != mc.claim ||
		!qm.cache.isCurrent(reservation.taskRange) ||
		reservation.taskRange.pending() == 0 {
		mc.reservation = nil
		return availability.Resources{}
	}
	req := withoutDisk(reservation.taskRange.job.rec.Job.Request)
	var sum availability.Resources
	for range min(reservation.count, reservation.taskRange.pending()) {
		sum = sum.Add(req)
	}
	for _, a := range mc.byKey {
		if a.reclaimed && !a.exited {
			sum = sum.Sub(withoutDisk(a.job.Request))
		}
	}
	return availability.Resources{CPUs: max(0, sum.CPUs), GPUs: max(0, sum.GPUs), MemoryGB: max(0, sum.MemoryGB)}
}

// sendReclaimStops sends the stops for pledges straight to their workers: a report later, half
// of the time that a guarantee promises would be over. One that fails goes with the
// next report's answer.
func (qm *quotaManager) sendReclaimStops(s *shard) {
	for _, mc := range s.machines {
		reservation := mc.reservation
		if reservation == nil || reservation.stopsSent || mc.directCommandPending || mc.directCommandRefused ||
			!mc.IsReconciled() ||
			mc.addr == "" ||
			qm.now.MonotonicMS-mc.LastHeartbeatAt > qm.maxHeartbeatIntervalMS() {
			continue
		}
		reservation.stopsSent = true
		mc.commands = mc.commands[:0]
		for _, a := range mc.byKey {
			if a.reclaimed && !a.exited && !a.checkpointing {
				qm.agents.queueCommand(
					s,
					mc,
					Command{
						Kind:    CommandStop,
						Task:    a.key.task,
						Attempt: a.key.attempt,
						GraceS:  a.job.CheckpointDurationS + qm.params.HeartbeatS,
					},
				)
			}
		}
		if len(mc.commands) > 0 {
			slices.SortFunc(mc.commands, func(a, b Command) int { return cmp.Compare(a.Task, b.Task) })
			qm.agents.sendDirectCommand(s, mc, mc.Incarnation, nil)
		}
	}
}

// startReserved starts what a machine's room was pledged to, as soon as it is there.
func (qm *quotaManager) startReserved(s *shard, mc *machine, hb *Heartbeat) {
	if qm.reservedResources(mc); mc.reservation == nil || !qm.agents.isSchedulable(mc) || !mc.Up || !mc.IsReconciled() ||
		!qm.store.hasAuthority() {
		return
	}
	reservation := mc.reservation
	j := &reservation.taskRange.job.rec.Job
	for reservation.count > 0 && !reservation.taskRange.moving && qm.now.MonotonicMS >= reservation.taskRange.retryAt {
		i := reservation.taskRange.nextTask()
		if i < 0 || !qm.agents.freeResources(mc).Contains(j.Request) || !qm.agents.mayStart(s, reservation.taskRange, mc) ||
			!qm.agents.hasAttemptIDs(s) ||
			!s.reconciler.Pacer.TryStart(qm.now.MonotonicMS, true) {
			return
		}
		qm.agents.startTask(s, mc, hb, taskStart{
			taskRange: reservation.taskRange,
			taskIndex: i,
			runtimeMS: qm.estimates.expectedRuntime(j),
			fetchMS:   qm.agents.fetchTime(j, mc, qm.cache.machineTypes[mc.rec.Type]),
		})
	}
}

// usageSnapshot gives peers the figures of this member's shards, if it sees all of them.
func (qm *quotaManager) usageSnapshot() quota.UsageSnapshot {
	if !qm.store.hasAuthority() {
		return quota.UsageSnapshot{}
	}
	usage, waiting := qm.localUsageByTeam()
	return qm.usageMonitor.Snapshot(qm.now.WallMS, usage, waiting)
}
