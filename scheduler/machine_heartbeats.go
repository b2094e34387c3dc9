package scheduler

import (
	"cmp"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/reconcile"
)

// agentManager owns the exchange with the workers of the owned shards: heartbeats
// in, commands out, and what follows from them for attempts and machines.
type agentManager struct {
	*environment
	cache     *stateCache
	estimates *runtimeEstimator
	placer    *placementPlanner
	quotas    *quotaManager
	registry  *machineRegistry
	rollouts  *rolloutController
	scaler    *autoscaler
	shards    *shardManager
	store     *storeClient

	directCommandCallbacks map[uint64]func(DirectCommandResult) // by request
	parkedHeartbeats       map[string][]parkedHeartbeat         // by machine: until it is registered
}

func newAgentManager(env *environment) *agentManager {
	return &agentManager{
		environment:            env,
		directCommandCallbacks: map[uint64]func(DirectCommandResult){},
		parkedHeartbeats:       map[string][]parkedHeartbeat{},
	}
}

// attemptKey names one attempt at a task.
type attemptKey struct {
	task    string
	attempt uint64
}

func (a *attempt) compare(key attemptKey) int {
	return cmp.Or(strings.Compare(a.key.task, key.task), cmp.Compare(a.key.attempt, key.attempt))
}

// attempt is a start that is not known to be over. Until then it counts: for
// its machine's room, its team's limit and its job's zones, and its task is
// started nowhere else.
type attempt struct {
	key       attemptKey
	job       *Job // of its work
	taskRange *taskRange
	claim     *shard
	taskIndex int // in work
	liveIndex int // in its team's live attempts
	shardName string
	machine   *machine

	incarnation        uint64
	afterHeartbeatSeq  uint64 // the start rode in the answer to this report
	directCommandToken uint64 // the start went straight to the worker, with this token, and was not answered yet
	observed           bool
	running            bool
	adopted            bool // started under an earlier claim: when it began to run is a guess
	exited             bool
	placedAt           int64 // time of day
	runningSince       int64
	expectedRuntimeMS  int64 // expected run time
	expectedFetchMS    int64 // expected fetch time
	checkpointing      bool
	neverStarted       bool // ended, and there is evidence that it never began

	evicted           bool // told to stop, for its machine to be emptied
	hasStartObjective bool // its class has a start aim
	reclaimed         bool // to be stopped for another team's guarantee
	stopRequested     bool // to be stopped, for that or for a higher priority
	preemptorPriority Priority
}

// expectedEnd is when the attempt is expected to end. One that overran is expected to
// go on for a share of what it took so far: a queue behind it must not be told
// that it ends now, again and again.
func (a *attempt) expectedEnd(wall int64) int64 {
	start := a.placedAt + a.expectedFetchMS
	if a.running {
		start = a.runningSince
	} else if wall > start {
		start = wall
	}
	end := start + a.expectedRuntimeMS
	if end <= wall {
		end = wall + (wall-start)/4 + 1
	}
	return end
}

// machine is a machine of the fleet. What follows rec is known only to the
// member that holds the machine's shard.
type machine struct {
	id          string
	rec         *registryRecord // shared by all machines of the roster
	registryKey string          // its key

	// How it stands under the claim by which the rest was learnt.
	*reconcile.Machine
	claim                *shard
	terminatesAt         int64 // steady time at which a spot notice ends; 0: none
	fullUntil            int64 // no starts before (it refused one for want of room)
	startUndelivered     bool  // the last start in a report's answer did not reach it
	failedJobs           map[string]bool
	attempts             map[attemptKey]*attempt
	byKey                []*attempt             // the attempts in order of their keys: loops over them give the same each time
	liveAttemptCount     int                    // attempts that are not over
	usage                availability.Resources // of them
	imageCache           *planner.ImageCache    // its images; nil: not of our shards
	idleSince            int64                  // steady time since when nothing runs
	plannedStarts        []plannedStart
	reservation          *reservation
	commands             []Command
	everReconciled       bool   // was squared under this claim
	cordoned             bool   // takes no more starts, by an operator's wish
	releasing            bool   // the lead is asked to return it
	addr                 string // as it last reported
	directCommandRefused bool   // it refused a direct command: none until it reports
	directCommandPending bool   // commands to the worker itself are under way
	orphanedTasks        int    // tasks on it that are not ours to keep and not gone yet
}

// plannedStart is a start that the plan wants on a machine now.
type plannedStart struct {
	taskRange         *taskRange
	count             int
	runtimeMS         int64
	fetchMS           int64
	hasStartObjective bool // a start aim or a guarantee waits for it
}

// upsertMachine takes in a machine that a roster names.
func (mr *machineRegistry) upsertMachine(id, key string, rec *registryRecord) {
	mc := mr.machines[id]
	if mc == nil {
		mc = &machine{id: id, rec: rec, registryKey: key, Machine: &reconcile.Machine{ID: id}}
		for listKey, liveIDs := range mr.liveMachines {
			if strings.HasPrefix(listKey, liveMachinesPrefix+rec.Shard+"/") && slices.Contains(liveIDs, id) {
				mc.Up = true
			}
		}
		mr.machines[id] = mc
		mr.resetMachine(mc)
		if s := mr.shards.ownedShards[rec.Shard]; s != nil {
			pos, _ := slices.BinarySearchFunc(s.machines, id, (*machine).compare)
			s.machines = slices.Insert(s.machines, pos, mc)
			s.dirty = true
		}
	}
	mc.rec, mc.registryKey = rec, key
	mr.agents.processParkedHeartbeats(id)
}

func (mc *machine) compare(id string) int { return strings.Compare(mc.id, id) }

// resetMachine forgets what an earlier claim knew of a machine. Silence counts
// from here: whoever answered it before did so before this claim.
func (mr *machineRegistry) resetMachine(mc *machine) {
	for _, a := range mc.byKey {
		mr.agents.releaseResources(mc, a)
	}
	mc.imageCache.Remove()
	*mc = machine{
		id:          mc.id,
		rec:         mc.rec,
		registryKey: mc.registryKey,
		Machine:     &reconcile.Machine{ID: mc.id, Up: mc.Up},
		idleSince:   mr.now.MonotonicMS,
	}
	if s := mr.shards.ownedShards[mc.rec.Shard]; s != nil {
		mc.claim, mc.Machine, mc.imageCache = s, s.reconciler.AddMachine(
			mc.id,
			mc.Up,
			mr.now.MonotonicMS,
		), s.clusterView.NewImageCache()
	}
}

// deleteMachine handles the removal of a machine from its roster, which follows only
// the cloud's word that the machine is gone with everything on it.
func (mr *machineRegistry) deleteMachine(id string) {
	mc := mr.machines[id]
	if mc == nil {
		return
	}
	delete(mr.machines, id)
	mc.imageCache.Remove()
	for _, a := range slices.Backward(mc.byKey) {
		mr.agents.removeAttempt(mc, a)
	}
	if s := mr.shards.ownedShards[mc.rec.Shard]; s != nil {
		s.dirty = true
		if mc.claim == s {
			s.reconciler.RemoveMachine(mc.Machine)
			mr.agents.resetOrphanedTasks(s, mc)
		}
		if pos, ok := slices.BinarySearchFunc(s.machines, id, (*machine).compare); ok {
			s.machines = slices.Delete(s.machines, pos, pos+1)
		}
	}
}

// removeAttempt frees what an attempt held, once there is evidence that it is over.
func (am *agentManager) removeAttempt(mc *machine, a *attempt) {
	delete(mc.attempts, a.key)
	// A loop that goes backward over byKey may call this for the attempt it is at.
	if at, ok := slices.BinarySearchFunc(mc.byKey, a.key, (*attempt).compare); ok {
		mc.byKey = slices.Delete(mc.byKey, at, at+1)
	}
	if !a.exited && !a.neverStarted {
		am.shards.failJobOnTaskLoss(a)
		if a.running && !a.evicted {
			am.rolloutCounts.Losses++
		}
		if account := a.claim.disruption.account; account != nil && !a.evicted {
			account.RecordLoss(a.key.task, a.job.Team)
		}
	}
	am.releaseResources(mc, a)
}

// allocateResources counts an attempt: for its machine, its team, its job's zones.
func (am *agentManager) allocateResources(mc *machine, a *attempt) {
	s, team := a.claim, a.job.Team
	s.usage[team] = s.usage[team].Add(a.job.Request)
	a.liveIndex, a.machine, a.hasStartObjective = len(s.liveAttempts[team]), mc, am.hasStartObjective(a.job)
	s.liveAttempts[team] = append(s.liveAttempts[team], a)
	a.taskRange.assign(a.taskIndex)
	a.taskRange.attemptsByZone[mc.rec.Zone]++
	if mc.attempts == nil {
		// Most machines of the mirror are other members', which run nothing here.
		mc.attempts = map[attemptKey]*attempt{}
	}
	mc.attempts[a.key] = a
	if at, ok := slices.BinarySearchFunc(mc.byKey, a.key, (*attempt).compare); ok {
		mc.byKey[at] = a
	} else {
		mc.byKey = slices.Insert(mc.byKey, at, a)
	}
	mc.liveAttemptCount++
	mc.usage = mc.usage.Add(a.job.Request)
}

// releaseResources takes back what begin counted, once. The attempt may stay on its machine
// until its result is stored.
func (am *agentManager) releaseResources(mc *machine, a *attempt) {
	if a.exited {
		return
	}
	a.exited = true
	a.taskRange.unassign(a.taskIndex)
	a.taskRange.attemptsByZone[mc.rec.Zone]--
	if a.running {
		a.taskRange.runningCount--
	}
	s, team := a.claim, a.job.Team
	s.usage[team] = s.usage[team].Sub(a.job.Request)
	last := len(s.liveAttempts[team]) - 1
	s.liveAttempts[team][a.liveIndex] = s.liveAttempts[team][last]
	s.liveAttempts[team][a.liveIndex].liveIndex = a.liveIndex
	s.liveAttempts[team] = s.liveAttempts[team][:last]
	s.dirty = true
	if a.reclaimed {
		reclaimedUsage := a.claim.reclaimedUsage
		reclaimedUsage[a.job.Team] = reclaimedUsage[a.job.Team].Sub(amountsOf(a.job.Request)).Max(quota.Amounts{})
	} else if a.stopRequested {
		am.placer.recordDebt(a.claim, a)
	}
	a.claim.spareCPUs += a.job.Request.CPUs
	mc.liveAttemptCount--
	mc.usage = mc.usage.Sub(a.job.Request)
	if mc.liveAttemptCount == 0 {
		mc.usage = availability.Resources{}
		mc.idleSince = am.now.MonotonicMS
	}
}

// isSchedulable tells whether starts may go to the machine. While a note says what it
// holds, nothing else may: whoever claims its shard next goes by the note.
func (am *agentManager) isSchedulable(mc *machine) bool {
	if mc.releasing || mc.cordoned || mc.State() == reconcile.LeaseExpired || mc.IsInboundPartitioned() ||
		mc.terminatesAt != 0 ||
		am.now.MonotonicMS < mc.fullUntil ||
		am.cache.machineTypes[mc.rec.Type] == nil {
		return false
	}
	if mc.claim == nil {
		return true
	}
	_, recorded := mc.claim.reconciler.Ledger.Entry(mc.id)
	return !recorded
}

// isSilentTooLong tells whether a machine whose lease is over is to be returned. One that is
// silent alone is at fault itself. Where most of a shard are, it is rather this member that
// cannot be reached, and they come back one after the other when it can: they are kept for
// as long as idle ones, since others would take a boot time to replace them.
func (am *agentManager) isSilentTooLong(s *shard, mc *machine, t *MachineType) bool {
	now, leaseEnd, gracePeriod := am.now.MonotonicMS, s.reconciler.LeaseExpiresAt(
		mc.Machine,
	), secondsToMS(
		am.params.LeaseS,
	)/2
	if now > max(leaseEnd, s.mostSilentAt)+gracePeriod {
		return true
	}
	retention := gracePeriod
	if t != nil {
		retention = max(retention, secondsToMS(t.BootS*am.cache.settings.IdleBoots))
	}
	return now > leaseEnd+retention
}

// mostMachinesSilent tells whether more than half of a shard's machines are silent that spoke to
// this claim before.
func (s *shard) mostMachinesSilent() bool {
	silent, reported := 0, 0
	for _, mc := range s.machines {
		switch mc.State() {
		case reconcile.LeaseExpired:
			silent++
			reported++
		case reconcile.Reconciled:
			reported++
		}
	}
	return silent*2 > reported && silent > 1
}

// tickMachine takes note of silence and idleness.
func (am *agentManager) tickMachine(s *shard, mc *machine) {
	now := am.now.MonotonicMS
	t := am.cache.machineTypes[mc.rec.Type]
	if s.reconciler.ExpireLease(mc.Machine, now) {
		lostTasks := mc.liveAttemptCount
		for _, a := range slices.Backward(mc.byKey) {
			am.removeAttempt(mc, a)
		}
		am.Counters.LostTasks += uint64(lostTasks)
		am.log(Info, "machine silent past its lease", "machine", mc.id, "tasks", lostTasks)
		s.dirty = true
	}
	if mc.terminatesAt != 0 && now > mc.terminatesAt-am.maxHeartbeatIntervalMS() &&
		now > mc.LastHeartbeatAt+am.maxHeartbeatIntervalMS() ||
		mc.terminatesAt != 0 && now > mc.terminatesAt {
		// The notice ran out. Returning the machine makes its end certain,
		// and its tasks need not wait for the lease.
		am.drain(s, mc, "spot notice ended")
	}
	if mc.terminatesAt != 0 && mc.IsReconciled() && mc.liveAttemptCount == 0 {
		am.drain(s, mc, "empty, on spot notice")
	}
	if mc.State() == reconcile.LeaseExpired && am.isSilentTooLong(s, mc, t) {
		am.drain(s, mc, "silent")
	}
	// Asked again each time: taken off the list, the machine takes work again.
	if listed := slices.Contains(am.cache.settings.Drain, mc.id) || am.rollouts.isDrainedByRollout(mc); listed != mc.cordoned {
		mc.cordoned, s.dirty = listed, true
		am.log(Info, "machine set aside", "machine", mc.id, "on", listed, "tasks", mc.liveAttemptCount)
	}
	if mc.cordoned && mc.liveAttemptCount == 0 {
		am.drain(s, mc, "drained by an operator")
	}
	if t == nil || !mc.Up || mc.liveAttemptCount > 0 {
		return
	}
	if mc.IsReconciled() && len(mc.failedJobs) >= 2 {
		am.drain(s, mc, "tasks of several jobs failed")
	}
	maxIdle := secondsToMS(t.BootS * am.cache.settings.IdleBoots)
	if !mc.rec.Spot {
		// Ordinary machines are kept as long as a spot machine for the
		// same money would be.
		maxIdle = int64(float64(maxIdle) * t.SpotPrice / max(t.Price, t.SpotPrice))
	}
	if !mc.releasing && mc.IsReconciled() && !s.reconciler.Pacer.IsActive(now) && len(mc.plannedStarts) == 0 &&
		now-mc.idleSince > maxIdle &&
		am.now.WallMS-mc.rec.ProvisionedAtMS > 60_000 &&
		!am.servesDemand(s, mc) &&
		!am.rollouts.isRolloutReplacement(mc) &&
		am.mayReleaseIdle(s) {
		am.drain(s, mc, "idle")
	}
}

// mayReleaseIdle spreads the returns of idle machines in the first while after a claim:
// since when they are idle nobody knows, and counted from the claim for all, they were
// returned in the same second. Given a random time more each, they cost more (price
// 2.82 to 3.00 on days of five ends).
func (am *agentManager) mayReleaseIdle(s *shard) bool {
	now := am.now.MonotonicMS
	if now-s.reconciler.ClaimedAt() > 10*secondsToMS(am.params.LeaseS) {
		return true
	}
	if now < s.nextReleaseAt {
		return false
	}
	s.nextReleaseAt = now + 250
	return true
}

// isRolloutReplacement tells whether a machine was rented for a plan that goes on: it is idle
// until those that it replaces are emptied.
func (rc *rolloutController) isRolloutReplacement(mc *machine) bool {
	record := rc.rec
	return record != nil && rc.params.Rollout && !record.State.IsTerminal() && mc.rec.ReplacementPlan == record.Plan.ID
}

// servesDemand tells whether waiting work of the shard could run on a machine. Work
// that only another type takes must not keep it.
func (am *agentManager) servesDemand(s *shard, mc *machine) bool {
	for _, demand := range s.demand {
		if j := am.cache.jobs[demand.Job]; j != nil && !(demand.SpotOnly && !mc.rec.Spot) &&
			am.cache.isOfferingAllowed(&j.rec.Job, mc.rec.Type, mc.rec.Zone, mc.rec.Spot) {
			return true
		}
	}
	return false
}

// maxHeartbeatIntervalMS is the longest time between two reports of a machine that is well.
func (env *environment) maxHeartbeatIntervalMS() int64 {
	return secondsToMS(env.params.HeartbeatS*1.25) + 500
}

// drain gives a machine up: nothing starts there any more, and every message to
// the lead asks for its return until the rosters have it no longer. A claim that
// follows this one may not know and use the machine again; what it starts there
// is over when the machine is returned, like on any machine that is lost.
func (am *agentManager) drain(s *shard, mc *machine, reason string) {
	if mc.releasing || !am.store.hasAuthority() {
		return
	}
	mc.releasing = true
	am.log(Info, "machine draining", "machine", mc.id, "type", mc.rec.Type, "why", reason)
}

// HandleHeartbeat takes a worker's report; reply names it in the outputs' answers.
func (c *Controller) HandleHeartbeat(now Now, replyID uint64, hb Heartbeat) {
	c.now = now
	c.agents.processHeartbeat(replyID, hb)
}

func (am *agentManager) respondWorker(replyID uint64, response HeartbeatResponse) {
	if am.outputs.HeartbeatResponses == nil {
		am.outputs.HeartbeatResponses = map[uint64]HeartbeatResponse{}
	}
	am.outputs.HeartbeatResponses[replyID] = response
}

func (am *agentManager) processHeartbeat(replyID uint64, hb Heartbeat) {
	if !am.store.storeAccess.IsSynced() {
		am.respondWorker(replyID, HeartbeatResponse{})
		return
	}
	mc := am.registry.machines[hb.Machine]
	if mc == nil {
		am.registerUnknownMachine(replyID, hb)
		return
	}
	s := am.shards.ownedShards[mc.rec.Shard]
	if s == nil {
		// Whoever holds the shard; without a holder the worker tries the
		// next member.
		response := HeartbeatResponse{}
		if owner := am.cache.shardClaims[mc.rec.Shard].Owner; owner != am.params.MemberID {
			response.RedirectTo = owner
		}
		am.respondWorker(replyID, response)
		return
	}
	if !am.store.hasAuthority() || s.releasing || hb.Token > s.token || !s.ready {
		// Not ready: its progress is not read, and it could stop nothing. An answer
		// would renew the lease all the same, and when an outage came between, a
		// cancelled task lived on with it past its time.
		am.respondWorker(replyID, HeartbeatResponse{})
		return
	}
	if mc.claim != s {
		am.registry.resetMachine(mc)
	}
	mc.addr = hb.Addr
	wasSettled := mc.IsAccountedFor()
	verdict := s.reconciler.ReceiveHeartbeat(mc.Machine, am.now.MonotonicMS, hb.Incarnation, hb.Seq, hb.Token)
	if verdict == reconcile.NotifyToken && mc.IsAccountedFor() && !wasSettled {
		am.log(Info, "machine does not hear its holder", "machine", mc.id)
		s.dirty = true
	}
	if verdict == reconcile.Stale {
		am.Counters.StaleHeartbeats++
		am.respondWorker(replyID, HeartbeatResponse{})
		return
	}
	if !am.reconcileMachine(s, mc, &hb, verdict) {
		am.respondWorker(replyID, HeartbeatResponse{Accepted: true, Token: s.token})
		return
	}
	am.quotas.startReserved(s, mc, &hb)
	am.dispatchPlannedStarts(s, mc, &hb)
	am.startFromQueue(s, mc, &hb)
	am.respondWorker(
		replyID,
		HeartbeatResponse{Accepted: true, Token: s.token, Commands: append([]Command(nil), mc.commands...)},
	)
}

// reconcileMachine brings what we know of a machine up to a report, unless that says
// nothing yet, and gathers what is to be stopped and cleared.
func (am *agentManager) reconcileMachine(s *shard, mc *machine, hb *Heartbeat, verdict reconcile.Disposition) bool {
	if verdict < reconcile.Accept {
		return false
	}
	if verdict == reconcile.AcceptNewIncarnation {
		// Its lease ended: every task of the earlier session was killed.
		am.log(Info, "machine in a new session", "machine", hb.Machine, "tasks", mc.liveAttemptCount)
		for _, a := range slices.Backward(mc.byKey) {
			am.removeAttempt(mc, a)
		}
	}
	if !mc.everReconciled {
		mc.everReconciled, s.dirty = true, true
	}
	s.reconciler.Ledger.Remove(mc.id)
	mc.directCommandRefused = false
	mc.commands = mc.commands[:0]
	if hb.TerminationNoticeS != nil {
		terminatesAt := am.now.MonotonicMS + secondsToMS(*hb.TerminationNoticeS)
		if mc.terminatesAt == 0 {
			am.log(Info, "spot notice", "machine", hb.Machine, "seconds", *hb.TerminationNoticeS, "tasks", mc.liveAttemptCount)
			s.dirty = true
		}
		mc.terminatesAt = max(terminatesAt, 1)
	} else {
		mc.terminatesAt = 0
	}
	am.reconcileTasks(s, mc, hb)
	if !mc.Up && !mc.releasing && !slices.Contains(s.newlyLive, mc.id) {
		s.newlyLive = append(s.newlyLive, mc.id)
		am.registry.writeLiveMachines(s)
	}
	return true
}

// reconcileTasks brings what we know of a machine's attempts up to its report, and
// gathers stops and clears.
func (am *agentManager) reconcileTasks(s *shard, mc *machine, hb *Heartbeat) {
	reported := make(map[attemptKey]bool, len(hb.Tasks))
	am.resetOrphanedTasks(s, mc)
	for _, status := range hb.Tasks {
		key := attemptKey{status.Task, status.Attempt}
		reported[key] = true
		a := mc.attempts[key]
		if a == nil {
			if a = am.handleUnknownAttempt(s, mc, status); a == nil {
				continue
			}
		}
		if !a.observed && !a.adopted {
			mc.startUndelivered = false
		}
		a.observed = true
		am.applyTaskStatus(s, mc, a, status, hb)
	}
	for _, a := range slices.Backward(mc.byKey) {
		// A start rides in a report's answer, which the worker has carried
		// out or dropped before it reports again: a newer report without
		// the attempt says that there is none.
		//
		// One that went straight to the worker may be held by the network;
		// only an answer, a higher token or a new session settles it.
		if a.directCommandToken != 0 && a.directCommandToken >= hb.Token && a.incarnation == hb.Incarnation {
			continue
		}
		if !reported[a.key] && (a.incarnation < hb.Incarnation || a.afterHeartbeatSeq < hb.Seq) {
			a.neverStarted = !a.observed && a.incarnation == hb.Incarnation
			if a.neverStarted {
				mc.startUndelivered = true
				am.Counters.UndeliveredStarts++
				am.log(Debug, "start not heard", "task", a.key.task, "machine", mc.id)
			}
			am.removeAttempt(mc, a)
		}
	}
}

// resetOrphanedTasks counts a machine's strays from none again.
func (am *agentManager) resetOrphanedTasks(s *shard, mc *machine) {
	if mc.orphanedTasks > 0 {
		mc.orphanedTasks = 0
		s.machinesWithOrphans--
	}
}

// recordedTaskState tells where the state has a task.
func (am *agentManager) recordedTaskState(s *shard, task string) (tr *taskRange, i int, state reconcile.TaskState) {
	tr, i = am.shards.taskRangeOf(task)
	switch {
	case tr == nil:
		return nil, 0, reconcile.Obsolete
	case tr.storedDone.has(i):
		return tr, i, reconcile.ResultStored
	case tr.shardName != s.name && !tr.done.has(i):
		return tr, i, reconcile.Obsolete // another shard's of ours
	case tr.done.has(i):
		return tr, i, reconcile.Completed
	case tr.assigned.has(i):
		return tr, i, reconcile.Assigned
	case tr.moving:
		return tr, i, reconcile.Transferring
	}
	return tr, i, reconcile.Unassigned
}

// handleUnknownAttempt takes a task that this claim did not start, by the verdicts of
// package reconcile. It returns an attempt if the task goes on as ours.
func (am *agentManager) handleUnknownAttempt(s *shard, mc *machine, status TaskStatus) *attempt {
	tr, i, recorded := am.recordedTaskState(s, status.Task)
	observed := reconcile.Terminated
	if status.State != "exited" {
		observed = reconcile.Active
	} else if status.Reason == "done" {
		observed = reconcile.Succeeded
	}
	switch s.reconciler.DecideVerdict(recorded, observed) {
	case reconcile.Adopt:
		am.Counters.AdoptedTasks++
		return am.adoptAttempt(s, mc, status, tr, i)
	case reconcile.Stop:
		am.Counters.OrphanedTasks++
		if mc.orphanedTasks++; mc.orphanedTasks == 1 {
			s.machinesWithOrphans++
		}
		am.queueCommand(s, mc, Command{Kind: CommandStop, Task: status.Task, Attempt: status.Attempt})
	case reconcile.RecordCompletion:
		tr.markDone(i)
		tr.dirty = true
	case reconcile.Clear:
		am.queueCommand(s, mc, Command{Kind: CommandForget, Task: status.Task, Attempt: status.Attempt})
	}
	return nil
}

// adoptAttempt goes on with a task that an earlier claim started. Its number tells when.
func (am *agentManager) adoptAttempt(s *shard, mc *machine, status TaskStatus, tr *taskRange, i int) *attempt {
	j := &tr.job.rec.Job
	a := &attempt{
		key:               attemptKey{status.Task, status.Attempt},
		job:               j,
		taskRange:         tr,
		claim:             s,
		taskIndex:         i,
		shardName:         s.name,
		adopted:           true,
		incarnation:       mc.Incarnation,
		placedAt:          reconcile.AttemptStartedAt(status.Attempt, am.now.WallMS),
		expectedRuntimeMS: am.estimates.expectedRuntime(j),
	}
	if status.State == "fetching" {
		a.expectedFetchMS = am.cache.imageFetchMS(j, mc.rec.Type)
	}
	am.allocateResources(mc, a)
	s.dirty = true
	return a
}

// queueCommand gathers what a machine is told. After a claim a clear waits until the
// line lets it go: the task stays in the machine's reports.
func (am *agentManager) queueCommand(s *shard, mc *machine, command Command) {
	switch command.Kind {
	case CommandForget:
		if !s.reconciler.Pacer.TryClear(am.now.MonotonicMS) {
			return
		}
	case CommandStop:
		s.reconciler.Pacer.Reserve(am.now.MonotonicMS, 1)
	}
	mc.commands = append(mc.commands, command)
}

// applyTaskStatus takes what a report says of an attempt.
func (am *agentManager) applyTaskStatus(s *shard, mc *machine, a *attempt, status TaskStatus, hb *Heartbeat) {
	tr := a.taskRange
	current := am.cache.isCurrent(tr)
	if a.job.Image != "" && status.State != "fetching" {
		mc.imageCache.RecordUse(
			a.job.Image,
			planner.Image{LastUsedMS: am.now.WallMS, SizeGB: a.job.Request.DiskGB},
			resourcesOf(am.cache.machineTypes[mc.rec.Type]).DiskGB,
		)
	}
	switch status.State {
	case "running", "waiting":
		if !a.running {
			a.running, a.runningSince = true, am.now.WallMS
			if a.adopted && a.expectedFetchMS == 0 {
				// It ran before. Half of a fetch is as near as one can guess:
				// tasks that came to a machine together share one.
				a.runningSince = min(am.now.WallMS, a.placedAt+am.cache.imageFetchMS(a.job, mc.rec.Type)/2)
			} else {
				a.adopted = false // seen to begin
			}
			a.taskRange.runningCount++
		}
	case "saving":
		a.checkpointing = true
	}
	if status.State != "exited" {
		if !current {
			am.queueCommand(s, mc, Command{Kind: CommandStop, Task: status.Task, Attempt: status.Attempt})
			return
		}
		if a.stopRequested && (status.State == "running" || status.State == "fetching") {
			am.queueCommand(
				s,
				mc,
				Command{
					Kind:    CommandStop,
					Task:    status.Task,
					Attempt: status.Attempt,
					GraceS:  a.job.CheckpointDurationS + am.params.HeartbeatS,
				},
			)
			return
		}
		if (status.State == "running" || status.State == "fetching" || status.State == "waiting") && am.rollouts.mayEvict(s, mc, a) {
			a.evicted = true
			am.queueCommand(
				s,
				mc,
				Command{
					Kind:    CommandStop,
					Task:    status.Task,
					Attempt: status.Attempt,
					GraceS:  a.job.CheckpointDurationS + am.params.HeartbeatS,
				},
			)
			return
		}
		am.checkpointBeforeTermination(mc, a, status)
		return
	}
	if !a.exited {
		am.releaseResources(mc, a)
		switch status.Reason {
		case "done":
			tr.markDone(a.taskIndex)
			tr.dirty = true
			delete(mc.failedJobs, a.job.ID)
			if a.running && !a.adopted {
				// What an adopted one took is not known well enough: taken
				// for shorter than it was, it shortened its whole class.
				am.estimates.updateRuntimeEstimate(a.job, am.now.WallMS-a.runningSince+tr.checkpointedMS[a.taskIndex])
			}
		case "stopped":
			if a.running {
				am.shards.failJobOnTaskLoss(a)
			}
			if status.Checkpointed && a.running {
				if tr.checkpointedMS == nil {
					tr.checkpointedMS = map[int]int64{}
				}
				tr.checkpointedMS[a.taskIndex] += max(0, am.now.WallMS-a.runningSince-secondsToMS(a.job.CheckpointDurationS))
			}
		case "error":
			am.recordTaskError(mc, tr, a)
		case "no_room":
			// The machine has something that we don't count.
			mc.fullUntil = am.now.MonotonicMS + 2*am.maxHeartbeatIntervalMS()
		case "unknown":
			tr.retryAt = am.now.MonotonicMS + 2*am.maxHeartbeatIntervalMS()
		}
	}
	if a.directCommandToken != 0 && a.directCommandToken >= hb.Token {
		// The worker takes a repeated start for the same one only as long
		// as it holds the attempt: the unanswered command must be void
		// before the attempt is cleared, or it would run once more.
		return
	}
	if status.Reason != "done" || !current || tr.storedDone.has(a.taskIndex) {
		am.queueCommand(s, mc, Command{Kind: CommandForget, Task: status.Task, Attempt: status.Attempt})
	}
}

// checkpointBeforeTermination stops a task that can save when its machine is about to be
// taken, so that its progress is not lost.
func (am *agentManager) checkpointBeforeTermination(mc *machine, a *attempt, status TaskStatus) {
	if mc.terminatesAt == 0 || status.State != "running" || a.job.CheckpointIntervalS <= 0 || a.checkpointing {
		return
	}
	remaining := mc.terminatesAt - am.now.MonotonicMS
	checkpointTime := secondsToMS(a.job.CheckpointDurationS)
	if remaining > checkpointTime+2*am.maxHeartbeatIntervalMS() || a.expectedEnd(am.now.WallMS)-am.now.WallMS < remaining {
		return
	}
	mc.commands = append(
		mc.commands,
		Command{
			Kind:    CommandStop,
			Task:    status.Task,
			Attempt: status.Attempt,
			GraceS:  a.job.CheckpointDurationS + am.params.HeartbeatS,
		},
	)
}

// maxErrorBackoffLeases is the longest pause of a job after an error, in leases. All its tasks
// wait, those of a large job that met several faulty machines too.
const maxErrorBackoffLeases = 2

// brokenJobMachines is on how many machines a job fails, and is done nowhere, before its
// errors are its own.
const brokenJobMachines = 3

// isJobBroken tells whether a work's errors are its job's: it failed on several machines, and
// none of its tasks is done.
func (tr *taskRange) isJobBroken() bool {
	return len(tr.errorsByMachine) >= brokenJobMachines && tr.doneCount == 0
}

// isLimitedToProbe tells whether a work may start one task at a time only, which shows whether a
// broken job still fails and takes no more room, fetches and machines than that. A probe
// that goes on for a lease after the pause has shown that it does not. Gangs begin
// together or not at all.
func (am *agentManager) isLimitedToProbe(tr *taskRange) bool {
	return tr.isJobBroken() && tr.job.rec.Job.Kind == Array && am.now.MonotonicMS < tr.retryAt+secondsToMS(am.params.LeaseS)
}

// hasProbeRunning tells whether a work's probe is on a machine.
func (am *agentManager) hasProbeRunning(tr *taskRange) bool {
	return tr.assignedCount > 0 && am.isLimitedToProbe(tr)
}

// schedulableTasks is how many of a work's waiting tasks are planned, and asked machines for.
func (am *agentManager) schedulableTasks(tr *taskRange) int {
	switch {
	case am.hasProbeRunning(tr):
		return 0
	case am.isLimitedToProbe(tr):
		return min(tr.pending(), 1)
	}
	return tr.pending()
}

// discountMachineFailures takes a job's errors off the machines that they were counted against: it is
// broken, or was cancelled before any of its tasks was done, and nobody knows whose they were.
func (am *agentManager) discountMachineFailures(tr *taskRange) {
	for id := range tr.errorsByMachine {
		if mc := am.registry.machines[id]; mc != nil {
			delete(mc.failedJobs, tr.job.rec.Job.ID)
		}
	}
}

// recordTaskError counts an error against the machine and the job. Mostly the machine
// is faulty, so the task goes elsewhere; a job that fails on several machines
// waits longer each time, so that it does not eat the fleet.
func (am *agentManager) recordTaskError(mc *machine, tr *taskRange, a *attempt) {
	am.Counters.Errors++
	am.rolloutCounts.Errors++
	if am.rollouts.isRolloutReplacement(mc) {
		am.rolloutCounts.ReplacementErrors++
	}
	if tr.errorsByMachine == nil {
		tr.errorsByMachine = map[string]int{}
	}
	tr.errorsByMachine[mc.id]++
	tr.errors++
	am.shards.countTaskError(tr, a)
	switch {
	case tr.isJobBroken():
		am.discountMachineFailures(tr)
	case len(tr.errorsByMachine) < brokenJobMachines && am.cache.isCurrent(tr):
		if mc.failedJobs == nil {
			mc.failedJobs = map[string]bool{}
		}
		mc.failedJobs[a.job.ID] = true
	}
	backoff := secondsToMS(am.params.HeartbeatS)
	for i := 1; i < min(len(tr.errorsByMachine), 8); i++ {
		backoff *= 2
	}
	if len(tr.errorsByMachine) > 1 {
		tr.retryAt = am.now.MonotonicMS + min(backoff, secondsToMS(maxErrorBackoffLeases*am.params.LeaseS))
	}
	am.log(Info, "task failed", "task", a.key.task, "machine", mc.id, "errors", tr.errors)
}

// updateRuntimeEstimate corrects the owners' estimates of a class by what its tasks took.
func (re *runtimeEstimator) updateRuntimeEstimate(j *Job, runtimeMS int64) {
	if j.EstimateS <= 0 || runtimeMS <= 0 {
		return
	}
	estimate := re.runtimeCorrections[j.Class]
	if estimate == nil {
		estimate = &runtimeCorrection{ratio: 1}
		re.runtimeCorrections[j.Class] = estimate
	}
	ratio := min(max(float64(runtimeMS)/1000/j.EstimateS, 0.2), 5)
	estimate.samples++
	estimate.ratio += (ratio - estimate.ratio) / float64(min(estimate.samples+4, 40))
}

// expectedRuntime is how long a task of the job is expected to run.
func (re *runtimeEstimator) expectedRuntime(j *Job) int64 {
	seconds := j.EstimateS
	if estimate := re.runtimeCorrections[j.Class]; estimate != nil {
		seconds *= min(max(estimate.ratio, 0.5), 3)
	}
	return max(secondsToMS(seconds), 100)
}

// fetchTime is how long the job's image takes on a machine, 0 if it is there.
func (am *agentManager) fetchTime(j *Job, mc *machine, t *MachineType) int64 {
	if t == nil || mc.imageCache.Has(j.Image) {
		return 0
	}
	return am.cache.imageFetchMS(j, t.Name)
}

// freeResources is what a machine's live attempts leave of it.
func (am *agentManager) freeResources(mc *machine) availability.Resources {
	return resourcesOf(am.cache.machineTypes[mc.rec.Type]).Sub(mc.usage)
}

// isUrgent tells whether a start should not wait for the machine's next report:
// half an interval is much against the start aim of its class or against the
// task's own length.
func (env *environment) isUrgent(p plannedStart) bool {
	meanDelay := secondsToMS(env.params.HeartbeatS) / 2
	for _, o := range env.params.Objectives[p.taskRange.job.rec.Job.Class] {
		if o.Kind == "wait" && meanDelay*10 > secondsToMS(o.WithinS) {
			return true
		}
	}
	return meanDelay*50 > p.runtimeMS
}

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

// probeUnreportedMachines asks workers for their tasks that have our token and no reason to
// report before their interval is over: their answer squares them as a report does.
func (am *agentManager) probeUnreportedMachines(s *shard) {
	for _, unreported := range s.reconciler.Unreported() {
		mc := am.registry.machines[unreported.ID]
		if mc == nil || mc.Machine != unreported || mc.directCommandPending || mc.addr == "" ||
			!s.reconciler.TryStartTaskQuery(unreported, am.now.MonotonicMS) {
			continue
		}
		mc.commands = mc.commands[:0]
		am.sendDirectCommand(s, mc, mc.NotifiedIncarnation(), nil)
	}
}

func (am *agentManager) sendDirectCommand(s *shard, mc *machine, incarnation uint64, started []*attempt) {
	am.lastRequestID++
	id, token := am.lastRequestID, s.token
	mc.directCommandPending = true
	am.directCommandCallbacks[id] = func(r DirectCommandResult) {
		mc.directCommandPending = false
		if am.registry.machines[mc.id] != mc || am.shards.ownedShards[s.name] != s {
			return
		}
		switch r.Outcome {
		case OK:
			for _, a := range started {
				a.directCommandToken = 0
			}
			hb := r.Heartbeat
			if hb != nil && !mc.IsAccountedFor() && am.store.hasAuthority() {
				// Nothing of ours is under way to it yet.
				hb.Machine = mc.id
				am.reconcileMachine(
					s,
					mc,
					hb,
					s.reconciler.ReceiveQueryResponse(mc.Machine, am.now.MonotonicMS, hb.Incarnation, hb.Seq, hb.Token),
				)
			} else if hb != nil && hb.Incarnation == mc.Incarnation && hb.Seq > mc.Seq {
				// Not a report that renews a lease, and attempts that it
				// lacks may be in a report's answer still under way.
				mc.Seq = hb.Seq
				mc.commands = mc.commands[:0]
				for _, status := range hb.Tasks {
					if a := mc.attempts[attemptKey{status.Task, status.Attempt}]; a != nil {
						a.observed = true
						am.applyTaskStatus(s, mc, a, status, hb)
					}
				}
			}
		case Conflict:
			// It is in another session, or obeys a later claim: until it
			// reports, the same would come of the next start, at once.
			mc.directCommandRefused = true
			for _, a := range started {
				if mc.attempts[a.key] == a {
					a.neverStarted = true
					am.removeAttempt(mc, a)
				}
			}
		default:
			if len(started) == 0 {
				return // a question
			}
			// It may yet run, on whatever machine state there is by then.
			// A higher token makes that impossible.
			s.voidToken = max(s.voidToken, token)
			am.shards.raiseToken(s)
		}
	}
	am.outputs.DirectCommands = append(
		am.outputs.DirectCommands,
		DirectCommand{ID: id, Addr: mc.addr, Machine: mc.id, Token: s.token, Incarnation: incarnation,
			Commands: append([]Command(nil), mc.commands...)},
	)
}

// HandleDirectCommandResult takes a worker's answer to commands that were sent straight to it.
func (c *Controller) HandleDirectCommandResult(now Now, id uint64, r DirectCommandResult) {
	c.now = now
	if f := c.agents.directCommandCallbacks[id]; f != nil {
		delete(c.agents.directCommandCallbacks, id)
		f(r)
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

// hasUnconfirmedStart tells whether a machine that did not hear of a start is trying another one. Its
// reports arrive, but it is not alive for more work than that: what was planned there
// waited for a report each time, to be started anew.
func (mc *machine) hasUnconfirmedStart() bool {
	if !mc.startUndelivered {
		return false
	}
	for _, a := range mc.byKey {
		if !a.observed && !a.exited {
			return true
		}
	}
	return false
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

// mayHaveTasks tells whether an unseen machine may have tasks of a work.
func (am *agentManager) mayHaveTasks(s *shard, mc *machine, tr *taskRange) bool {
	if entry, recorded := s.reconciler.Ledger.Entry(mc.id); recorded {
		return slices.Contains(entry.Ranges, tr.name())
	}
	j := &tr.job.rec.Job
	return !(mc.rec.Spot && !j.Spot || j.Zone != "" && j.Zone != mc.rec.Zone || len(j.Types) > 0 && !slices.Contains(j.Types, mc.rec.Type))
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
