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
func (c *Controller) isWithinGuarantee(j *Job) bool {
	guarantee := guaranteeOf(c.params.Teams[j.Team])
	if guarantee == (quota.Amounts{}) {
		return false
	}
	status := &c.guaranteeStatus
	if !status.valid {
		byTeam := map[string][]quota.Job{}
		for id, o := range c.jobs {
			if team := o.rec.Job.Team; guaranteeOf(c.params.Teams[team]) != (quota.Amounts{}) {
				byTeam[team] = append(
					byTeam[team],
					quota.Job{ID: id, AcceptedMS: o.rec.AcceptedAtMS, Size: totalRequest(&o.rec.Job)},
				)
			}
		}
		*status = guaranteeStatus{true, map[string]bool{}, map[string]quota.Amounts{}}
		for team, jobs := range byTeam {
			slices.SortFunc(jobs, quota.Job.Compare) // the same sum every time
			for id := range quota.JobsWithinGuarantee(guaranteeOf(c.params.Teams[team]), jobs) {
				status.guaranteedJobs[id] = true
			}
			for _, o := range jobs {
				status.requestsByTeam[team] = status.requestsByTeam[team].Add(o.Size)
			}
		}
	}
	if c.jobs[j.ID] != nil {
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
func (c *Controller) localUsage(team string) (usage quota.Amounts) {
	for _, s := range sortedByKey(c.ownedShards) {
		usage = usage.Add(amountsOf(s.usage[team])).Sub(s.reclaimedUsage[team])
	}
	return usage.Max(quota.Amounts{})
}

// localUsageByTeam is what teams use and wait for in this member's shards.
func (c *Controller) localUsageByTeam() (usage, waiting map[string]quota.Amounts) {
	usage, waiting = map[string]quota.Amounts{}, map[string]quota.Amounts{}
	for _, s := range sortedByKey(c.ownedShards) {
		for team := range s.usage {
			if teamUsage := c.localUsage(team); teamUsage != (quota.Amounts{}) {
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
func (c *Controller) assignUsageTiers(groups []*taskGroup) bool {
	localUsage, localWaiting := c.localUsageByTeam()
	since := c.now.MonotonicMS - c.maxMessageAgeMS()
	usage := map[string]quota.Amounts{}
	for team := range c.params.Teams {
		teamUsage, waiting, _ := c.usageMonitor.PeerUsage(team, c.now.MonotonicMS, since)
		if teamUsage = teamUsage.Add(localUsage[team]); teamUsage != (quota.Amounts{}) ||
			waiting.Add(localWaiting[team]) != (quota.Amounts{}) {
			usage[team] = teamUsage
		}
	}
	if len(usage) < 2 {
		return false
	}
	capacity := c.liveCapacity()
	differ := false
	for _, g := range groups {
		team := g.job.Team
		if !g.WithinGuarantee {
			g.QuotaTier = quota.Tier(usage[team], guaranteeOf(c.params.Teams[team]), capacity, len(usage))
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
func (c *Controller) liveCapacity() quota.Amounts {
	if c.capacitySnapshot.takenAt == 0 || c.now.MonotonicMS-c.capacitySnapshot.takenAt > secondsToMS(c.settings.SummaryS) {
		c.capacitySnapshot = capacitySnapshot{takenAt: c.now.MonotonicMS}
		ups := map[string]int{}
		for _, mc := range c.machines {
			if mc.Up {
				ups[mc.rec.Type]++
			}
		}
		for name, n := range sortedByKey(ups) { // the same sum every time
			if t := c.machineTypes[name]; t != nil {
				c.capacitySnapshot.total = c.capacitySnapshot.total.Add(amountsOf(t.Resources).Scale(float64(n)))
			}
		}
	}
	return c.capacitySnapshot.total
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
func (c *Controller) isReclaimable(a *attempt, team string) bool {
	if a.exited || a.checkpointing || a.stopRequested || a.evicted || a.job.Kind != Array || a.job.AtMostOnce ||
		a.job.Team == team {
		return false
	}
	return a.expectedEnd(c.now.WallMS)-c.now.WallMS > c.stopDelay(a.job) &&
		a.taskRange.reclaimedFor[a.taskIndex] != team &&
		!c.isWithinGuarantee(a.job)
}

// stopDelay is how long a stop takes until its room can be used. It goes straight to the
// worker, which tells of its end soon after: counted as for two reports, so many tasks
// were about to end by themselves that nothing was stopped for half of the time that a
// guarantee promises.
func (c *Controller) stopDelay(j *Job) int64 {
	return c.maxHeartbeatIntervalMS()/2 + secondsToMS(j.CheckpointDurationS)
}

// lostWork is the work that a stop costs.
func (c *Controller) lostWork(a *attempt) float64 {
	switch {
	case !a.running:
		return 0
	case a.job.CheckpointIntervalS > 0:
		return float64(secondsToMS(a.job.CheckpointDurationS)) * a.job.Request.CPUs
	}
	return float64(c.now.WallMS-a.runningSince) * a.job.Request.CPUs
}

// preemptionBatches lists what could be stopped on a machine for a group, a copy of its request
// after the other, and how many find room there by themselves before a stop would help.
func (c *Controller) preemptionBatches(
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
		case a.expectedEnd(c.now.WallMS)-c.now.WallMS <= c.stopDelay(a.job):
			free = free.Add(withoutDisk(a.job.Request))
			someEnding = true
		case c.isReclaimable(a, g.job.Team):
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
			cmp.Compare(c.lostWork(a)/a.job.Request.CPUs, c.lostWork(b)/b.job.Request.CPUs),
			cmp.Compare(a.key.task, b.key.task),
			cmp.Compare(a.key.attempt, b.key.attempt),
		)
	})
	fetch := c.fetchTime(g.job, mc, c.machineTypes[mc.rec.Type])
	b := preemptionBatch{machine: mc, viewMachine: viewMachine, fetchMS: fetch}
	for _, a := range reclaimable {
		free = free.Add(withoutDisk(a.job.Request))
		b.victims = append(b.victims, a)
		b.priority = max(b.priority, a.job.Priority)
		b.lostWork += c.lostWork(a)
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
func (c *Controller) reclaimForGuarantee(s *shard, g *taskGroup, missing int) {
	if !c.params.Quota || !g.WithinGuarantee || g.MissedObjectives || g.job.Kind == Gang || g.job.requiresOneShard() ||
		len(s.reconciler.Unreported()) > 0 ||
		s.reconciler.Pacer.IsActive(c.now.MonotonicMS) {
		return
	}
	if missing -= s.reservedTasks[g.taskRange]; missing <= 0 || !c.hasReclaimableUsage(s, g.job.Team) {
		return
	}
	var batches []preemptionBatch
	for i, viewMachine := range s.clusterView.Machines() {
		if missing <= 0 {
			return
		}
		mc := s.viewMachines[i]
		if !viewMachine.Ready || !mc.IsReconciled() || !c.placementCatalog.IsAllowed(&g.Request, viewMachine.Offering) ||
			g.taskRange.errorsByMachine[mc.id] > 0 {
			continue
		}
		machineBatches, freedByThemselves := c.preemptionBatches(mc, viewMachine, g, missing)
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
		if skipped[b.machine] || b.lostWork > maxLostWork || !c.takeFromExcess(b.victims) {
			skipped[b.machine] = true
			continue
		}
		c.reclaim(s, g, b)
		missing--
	}
}

// hasReclaimableUsage tells whether any team but one may have something to cede here: looked up once a
// plan, so that a fleet on which nobody has costs nothing more.
func (c *Controller) hasReclaimableUsage(s *shard, exceptTeam string) bool {
	if s.reclaimableTeams == nil {
		s.reclaimableTeams = map[string]bool{}
		usageByTeam, _ := c.localUsageByTeam()
		for team, usage := range usageByTeam {
			if excess := c.usageMonitor.PreemptibleExcess(team, usage, guaranteeOf(c.params.Teams[team]), c.now.MonotonicMS-c.maxMessageAgeMS()); excess.CPUs > 0 ||
				excess.GPUs > 0 {
				s.reclaimableTeams[team] = true
			}
		}
	}
	return len(s.reclaimableTeams) > 1 || len(s.reclaimableTeams) == 1 && !s.reclaimableTeams[exceptTeam]
}

// takeFromExcess takes what is to be stopped off what may be, if all of it may.
func (c *Controller) takeFromExcess(victims []*attempt) bool {
	requests := map[string]quota.Amounts{}
	for _, a := range victims {
		requests[a.job.Team] = requests[a.job.Team].Add(amountsOf(a.job.Request))
	}
	since := c.now.MonotonicMS - c.maxMessageAgeMS()
	for team, request := range requests {
		if excess := c.usageMonitor.PreemptibleExcess(team, c.localUsage(team), guaranteeOf(c.params.Teams[team]), since); !excess.Contains(
			request,
		) {
			return false
		}
	}
	for team, request := range requests {
		c.usageMonitor.TryPreempt(team, c.localUsage(team), guaranteeOf(c.params.Teams[team]), since, request)
	}
	return true
}

func (c *Controller) reclaim(s *shard, g *taskGroup, batch preemptionBatch) {
	reservedBefore := c.reservedResources(batch.machine)
	longestStop := int64(0)
	for _, a := range batch.victims {
		a.stopRequested, a.reclaimed = true, true
		if a.taskRange.reclaimedFor == nil {
			a.taskRange.reclaimedFor = map[int]string{}
		}
		a.taskRange.reclaimedFor[a.taskIndex] = g.job.Team
		s.reclaimedUsage[a.job.Team] = s.reclaimedUsage[a.job.Team].Add(amountsOf(a.job.Request))
		longestStop = max(longestStop, c.stopDelay(a.job))
		c.Counters.ReclaimedTasks++
		c.log(
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
	batch.machine.reservation.expiresAt = c.now.MonotonicMS + longestStop + 2*c.maxHeartbeatIntervalMS()
	batch.viewMachine.Free = batch.viewMachine.Free.Add(
		reservedBefore,
	).Sub(
		c.reservedResources(batch.machine),
	) // what else it takes, the plan may not give away
	s.clusterView.MarkFreeChanged(batch.viewMachine)
}

// reservedResources is the room of a machine that is kept for its pledge: what is pledged, less
// what the tasks have that are told to stop for it.
func (c *Controller) reservedResources(mc *machine) availability.Resources {
	reservation := mc.reservation
	if reservation == nil {
		return availability.Resources{}
	}
	if c.now.MonotonicMS > reservation.expiresAt || reservation.taskRange.claim != mc.claim ||
		!c.isCurrent(reservation.taskRange) ||
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
func (c *Controller) sendReclaimStops(s *shard) {
	for _, mc := range s.machines {
		reservation := mc.reservation
		if reservation == nil || reservation.stopsSent || mc.directCommandPending || mc.directCommandRefused ||
			!mc.IsReconciled() ||
			mc.addr == "" ||
			c.now.MonotonicMS-mc.LastHeartbeatAt > c.maxHeartbeatIntervalMS() {
			continue
		}
		reservation.stopsSent = true
		mc.commands = mc.commands[:0]
		for _, a := range mc.byKey {
			if a.reclaimed && !a.exited && !a.checkpointing {
				c.queueCommand(
					s,
					mc,
					Command{
						Kind:    CommandStop,
						Task:    a.key.task,
						Attempt: a.key.attempt,
						GraceS:  a.job.CheckpointDurationS + c.params.HeartbeatS,
					},
				)
			}
		}
		if len(mc.commands) > 0 {
			slices.SortFunc(mc.commands, func(a, b Command) int { return cmp.Compare(a.Task, b.Task) })
			c.sendDirectCommand(s, mc, mc.Incarnation, nil)
		}
	}
}

// isCurrent tells whether a work is still a live job's range of ours. One that went to a
// peer is not: started from a pledge all the same, its tasks ran twice.
func (c *Controller) isCurrent(tr *taskRange) bool {
	return c.jobs[tr.job.rec.Job.ID] == tr.job && tr.job.taskRanges[tr.bounds.Lo] == tr
}

// startReserved starts what a machine's room was pledged to, as soon as it is there.
func (c *Controller) startReserved(s *shard, mc *machine, hb *Heartbeat) {
	if c.reservedResources(mc); mc.reservation == nil || !c.isSchedulable(mc) || !mc.Up || !mc.IsReconciled() ||
		!c.hasAuthority() {
		return
	}
	reservation := mc.reservation
	j := &reservation.taskRange.job.rec.Job
	for reservation.count > 0 && !reservation.taskRange.moving && c.now.MonotonicMS >= reservation.taskRange.retryAt {
		i := reservation.taskRange.nextTask()
		if i < 0 || !c.freeResources(mc).Contains(j.Request) || !c.mayStart(s, reservation.taskRange, mc) ||
			!c.hasAttemptIDs(s) ||
			!s.reconciler.Pacer.TryStart(c.now.MonotonicMS, true) {
			return
		}
		c.startTask(
			s,
			mc,
			reservation.taskRange,
			i,
			c.expectedRuntime(j),
			c.fetchTime(j, mc, c.machineTypes[mc.rec.Type]),
			hb,
		)
	}
}

// usageSnapshot gives peers the figures of this member's shards, if it sees all of them.
func (c *Controller) usageSnapshot() quota.UsageSnapshot {
	if !c.hasAuthority() {
		return quota.UsageSnapshot{}
	}
	usage, waiting := c.localUsageByTeam()
	return c.usageMonitor.Snapshot(c.now.WallMS, usage, waiting)
}
