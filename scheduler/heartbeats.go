package scheduler

import (
	"slices"

	"github.com/grebedock/grebedock/reconcile"
)

type parkedHeartbeat struct {
	replyID    uint64
	heartbeat  Heartbeat
	parkedAtMS int64
}

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

// registerUnknownMachine takes in a machine that no roster names: one that was there before
// us, or a rental that was executed late. Only the lead writes rosters, so
// other members send the worker there.
func (am *agentManager) registerUnknownMachine(replyID uint64, heartbeat Heartbeat) {
	fleet := am.scaler
	if !fleet.leading {
		response := HeartbeatResponse{}
		if am.cache.leader != am.params.MemberID {
			response.RedirectTo = am.cache.leader
		}
		am.respondWorker(replyID, response)
		return
	}
	if !am.scaler.canActAsLeader() || am.cache.machineTypes[heartbeat.Type] == nil || fleet.releasedAt[heartbeat.Machine] != 0 {
		am.respondWorker(replyID, HeartbeatResponse{})
		return
	}
	am.parkedHeartbeats[heartbeat.Machine] = append(
		am.parkedHeartbeats[heartbeat.Machine],
		parkedHeartbeat{replyID, heartbeat, am.now.MonotonicMS},
	)
	if !fleet.unrecordedMachines[heartbeat.Machine] {
		fleet.unrecordedMachines[heartbeat.Machine] = true
		fleet.unknownMachines = append(fleet.unknownMachines, heartbeat)
	}
}

// processParkedHeartbeats answers the reports of a machine that has an owner now.
func (am *agentManager) processParkedHeartbeats(id string) {
	parkedForMachine := am.parkedHeartbeats[id]
	delete(am.parkedHeartbeats, id)
	for _, parked := range parkedForMachine {
		am.processHeartbeat(parked.replyID, parked.heartbeat)
	}
}
