package scheduler

import (
	"slices"

	"github.com/grebedock/grebedock/reconcile"
)

// agentManager exchanges messages with the workers of the owned shards. It handles heartbeats,
// sends commands, and updates attempts and machines accordingly.
//
// A heartbeat passes through these functions, from top to bottom of this file, and enters none of
// them twice:
//
//	HandleHeartbeat             the input
//	processHeartbeat            finds the machine and its shard, or the shard's owner
//	answerHeartbeat             performs the steps below and responds
//	  receiveHeartbeat          package reconcile: is it newer than what is known, and under our token?
//	  queryBeforeRenewal        lease_renewal.go: the first heartbeat after a claim waits for a task query
//	  reconcileMachine          the machine's incarnation, termination notice and attempts
//	    applyTaskStatus         task_status.go: each task in the heartbeat
//	  startTasks                task_starts.go: starts that use the free resources
//
// The exception is a heartbeat of a machine that no registry page lists: processHeartbeat parks it
// (unregistered_machines.go), and processes it again once the page is written.
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

	directCommands   map[uint64]*pendingDirectCommand // by request ID
	parkedHeartbeats map[string][]parkedHeartbeat     // by machine ID, until the machine is registered
}

func newAgentManager(env *environment) *agentManager {
	return &agentManager{
		environment:      env,
		directCommands:   map[uint64]*pendingDirectCommand{},
		parkedHeartbeats: map[string][]parkedHeartbeat{},
	}
}

// HandleHeartbeat handles a worker's heartbeat. The response appears under replyID in the
// HeartbeatResponses of the outputs, after this call or, for a machine that is not registered yet,
// after a later input.
func (c *Controller) HandleHeartbeat(now Now, replyID uint64, hb Heartbeat) {
	c.now = now
	c.agents.processHeartbeat(replyID, hb)
}

// processHeartbeat finds the machine and the shard of a heartbeat and responds to the worker. It
// redirects the worker if another member owns the shard.
func (am *agentManager) processHeartbeat(replyID uint64, hb Heartbeat) {
	if !am.store.storeAccess.IsSynced() {
		am.respondWorker(replyID, HeartbeatResponse{})
		return
	}
	mc := am.registry.machines[hb.Machine]
	if mc == nil {
		am.registerMachine(replyID, hb)
		return
	}
	s := am.shards.ownedShards[mc.rec.Shard]
	if s == nil {
		am.respondWorker(replyID, am.redirectTo(am.cache.shardClaims[mc.rec.Shard].Owner))
		return
	}
	am.answerHeartbeat(replyID, s, mc, &hb)
}

func (am *agentManager) respondWorker(replyID uint64, response HeartbeatResponse) {
	if am.outputs.HeartbeatResponses == nil {
		am.outputs.HeartbeatResponses = map[uint64]HeartbeatResponse{}
	}
	am.outputs.HeartbeatResponses[replyID] = response
}

// redirectTo returns a response that redirects a worker to another member. If no member is known,
// or the member is this one, the response is empty and the worker tries the next member by itself.
func (am *agentManager) redirectTo(memberID string) HeartbeatResponse {
	if memberID == am.params.MemberID {
		return HeartbeatResponse{}
	}
	return HeartbeatResponse{RedirectTo: memberID}
}

// answerHeartbeat processes a heartbeat of a machine in an owned shard. The response follows at once, or after a task
// query.
func (am *agentManager) answerHeartbeat(replyID uint64, s *shard, mc *machine, hb *Heartbeat) {
	if !am.mayRenewLease(s, hb.Token) {
		am.respondWorker(replyID, HeartbeatResponse{})
		return
	}
	if mc.claim != s {
		am.registry.resetMachine(mc)
	}
	mc.addr = hb.Addr
	disposition := am.receiveHeartbeat(s, mc, hb)
	switch disposition {
	case reconcile.Stale:
		am.Counters.StaleHeartbeats++
		am.respondWorker(replyID, HeartbeatResponse{})
	case reconcile.QueryTasks:
		am.queryBeforeRenewal(replyID, s, mc, hb)
	case reconcile.NotifyToken:
		am.respondWorker(replyID, HeartbeatResponse{Accepted: true, Token: s.token})
	case reconcile.RenewOnly:
		am.respondWorker(replyID, am.renewalResponse(s, mc))
	default:
		am.reconcileMachine(s, mc, hb, disposition)
		am.respondWorker(replyID, am.commandResponse(s, mc, hb))
	}
}

// commandResponse returns the response to an accepted heartbeat, with starts that use the machine's free resources.
func (am *agentManager) commandResponse(s *shard, mc *machine, hb *Heartbeat) HeartbeatResponse {
	if am.mayStartEndedTask(s, mc) {
		return HeartbeatResponse{}
	}
	am.startTasks(s, mc, hb)
	return HeartbeatResponse{Accepted: true, Token: s.token, Commands: am.takeCommands(s, mc)}
}

// receiveHeartbeat passes a heartbeat to the claim's reconciler and returns its disposition. It
// logs when an inbound partition is suspected.
func (am *agentManager) receiveHeartbeat(s *shard, mc *machine, hb *Heartbeat) reconcile.Disposition {
	wasAccountedFor := mc.IsAccountedFor()
	disposition := s.reconciler.ReceiveHeartbeat(mc.Machine, am.now.MonotonicMS, hb.Incarnation, hb.Seq, hb.Token)
	if disposition == reconcile.NotifyToken && mc.IsAccountedFor() && !wasAccountedFor {
		am.log(Info, "worker does not acknowledge responses; inbound partition suspected", "machine", mc.id)
		s.dirty = true
	}
	return disposition
}

// reconcileMachine updates the state of a machine from an accepted heartbeat, or from the worker's
// response to a direct command, and queues the resulting stops and clears. disposition is at least
// reconcile.Accept.
func (am *agentManager) reconcileMachine(s *shard, mc *machine, hb *Heartbeat, disposition reconcile.Disposition) {
	if disposition == reconcile.AcceptNewIncarnation {
		// The lease of the earlier incarnation expired, so all of its tasks were killed.
		am.log(Info, "machine in a new incarnation", "machine", hb.Machine, "tasks", mc.liveAttemptCount)
		am.removeAllAttempts(mc)
	}
	isFirstReport := !mc.everReconciled
	if isFirstReport {
		mc.everReconciled, s.dirty = true, true
	}
	s.reconciler.Ledger.Remove(mc.id)
	mc.directCommandRefused = false
	mc.commands = mc.commands[:0]
	am.updateTerminationNotice(s, mc, hb)
	am.reconcileTasks(s, mc, hb)
	if isFirstReport {
		am.logFirstReport(s, mc)
	}
	am.quotas.checkAllocations(s, mc)
	if !mc.Up && !mc.releasing && !slices.Contains(s.newlyLive, mc.id) {
		s.newlyLive = append(s.newlyLive, mc.id)
		am.registry.writeLiveMachines(s)
	}
}

// logFirstReport logs the result of a machine's first report under a claim. All attempts are adopted, since none starts
// before this report.
func (am *agentManager) logFirstReport(s *shard, mc *machine) {
	if !am.isDebugLogged() {
		return
	}
	clears := 0
	for _, command := range mc.commands {
		if command.Kind == CommandClear {
			clears++
		}
	}
	am.log(Debug, "machine reconciled", "machine", mc.id, "shard", s.name, "token", s.token,
		"tasks", mc.reportedTasks, "adopted", len(mc.byKey), "stopped", len(mc.orphans), "cleared", clears)
}

// updateTerminationNotice records when the cloud provider will terminate the machine, according to
// its latest heartbeat.
func (am *agentManager) updateTerminationNotice(s *shard, mc *machine, hb *Heartbeat) {
	if hb.TerminationNoticeS == nil {
		mc.terminatesAt = 0
		return
	}
	if mc.terminatesAt == 0 {
		am.log(Info, "spot termination notice", "machine", hb.Machine, "seconds", *hb.TerminationNoticeS,
			"tasks", mc.liveAttemptCount)
		s.dirty = true
	}
	mc.terminatesAt = max(am.now.MonotonicMS+secondsToMS(*hb.TerminationNoticeS), 1)
}

// reconcileTasks updates the attempts of a machine from its heartbeat.
func (am *agentManager) reconcileTasks(s *shard, mc *machine, hb *Heartbeat) {
	reported := make(map[attemptKey]bool, len(hb.Tasks))
	mc.reportedTasks = len(hb.Tasks)
	for _, status := range hb.Tasks {
		key := attemptKey{status.Task, status.Attempt}
		reported[key] = true
		a := am.findAttempt(s, mc, status)
		if a == nil {
			continue
		}
		if !a.observed && !a.adopted {
			mc.startUndelivered = false
		}
		a.observed = true
		am.applyTaskStatus(s, mc, a, status, hb)
	}
	s.recordOrphans(mc, hb.Tasks)
	am.removeUnreportedAttempts(mc, hb, reported)
	am.stopUnreportedAttempts(s, mc, reported)
}

// findAttempt returns the attempt of a reported task, or adopts it. It returns nil if this claim does not own it.
func (am *agentManager) findAttempt(s *shard, mc *machine, status TaskStatus) *attempt {
	a := mc.attempts[attemptKey{status.Task, status.Attempt}]
	startedByCopy := s.isStartedByCopy(a, status)
	if startedByCopy {
		am.forgetEndedAttempt(s, mc, a, status)
		a = nil
	}
	if a == nil {
		a = am.resolveUnknownAttempt(s, mc, status)
	}
	if a != nil && startedByCopy {
		a.startedByCopy = true
	}
	return a
}

// removeUnreportedAttempts removes the attempts that a heartbeat disproves by not reporting them.
func (am *agentManager) removeUnreportedAttempts(mc *machine, hb *Heartbeat, reported map[attemptKey]bool) {
	for _, a := range slices.Backward(mc.byKey) {
		if reported[a.key] || !a.isDisprovedBy(hb) {
			continue
		}
		a.neverStarted = !a.observed && a.incarnation == hb.Incarnation
		if a.neverStarted {
			mc.startUndelivered = true
			am.Counters.UndeliveredStarts++
			am.log(Debug, "start undelivered", "task", a.key.task, "machine", mc.id)
		}
		am.removeAttempt(mc, a)
	}
}
