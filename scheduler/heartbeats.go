package scheduler

import (
	"slices"

	"github.com/grebedock/grebedock/reconcile"
)

// agentManager owns the exchange with the workers of the owned shards: heartbeats in, commands out,
// and what follows from them for attempts and machines.
//
// The way of a heartbeat, from top to bottom of this file; nothing is entered twice:
//
//	HandleHeartbeat             the input
//	processHeartbeat            finds the machine and its shard, or who owns it
//	answerHeartbeat             the steps below, and the answer
//	  receiveHeartbeat          package reconcile: is it newer than what is known, and under our token?
//	  reconcileMachine          the machine's incarnation, termination notice, attempts
//	    applyTaskStatus         task_status.go: each task of the heartbeat
//	  startTasks                task_starts.go: what the free room is for
//
// A heartbeat of a machine that no registry page names leaves this way at
// processHeartbeat (unregistered_machines.go) and comes back to it when the page is written.
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

	directCommands   map[uint64]*pendingDirectCommand // by request
	parkedHeartbeats map[string][]parkedHeartbeat     // by machine: until it is registered
}

func newAgentManager(env *environment) *agentManager {
	return &agentManager{
		environment:      env,
		directCommands:   map[uint64]*pendingDirectCommand{},
		parkedHeartbeats: map[string][]parkedHeartbeat{},
	}
}

// HandleHeartbeat takes a worker's heartbeat. Its answer stands under replyID in the outputs'
// HeartbeatResponses, after this call or, for a machine that is not registered yet, after a later input.
func (c *Controller) HandleHeartbeat(now Now, replyID uint64, hb Heartbeat) {
	c.now = now
	c.agents.processHeartbeat(replyID, hb)
}

// processHeartbeat finds the machine and the shard that a heartbeat concerns.
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
		am.respondWorker(replyID, am.redirectTo(am.cache.shardClaims[mc.rec.Shard].Owner))
		return
	}
	am.respondWorker(replyID, am.answerHeartbeat(s, mc, &hb))
}

func (am *agentManager) respondWorker(replyID uint64, response HeartbeatResponse) {
	if am.outputs.HeartbeatResponses == nil {
		am.outputs.HeartbeatResponses = map[uint64]HeartbeatResponse{}
	}
	am.outputs.HeartbeatResponses[replyID] = response
}

// redirectTo sends a worker to another member. Without one, or if the member is this one, the worker
// tries the next by itself.
func (am *agentManager) redirectTo(memberID string) HeartbeatResponse {
	if memberID == am.params.MemberID {
		return HeartbeatResponse{}
	}
	return HeartbeatResponse{RedirectTo: memberID}
}

// answerHeartbeat takes a heartbeat of an owned shard's machine.
func (am *agentManager) answerHeartbeat(s *shard, mc *machine, hb *Heartbeat) HeartbeatResponse {
	if !am.mayRenewLease(s, hb.Token) {
		return HeartbeatResponse{}
	}
	if mc.claim != s {
		am.registry.resetMachine(mc)
	}
	mc.addr = hb.Addr
	disposition := am.receiveHeartbeat(s, mc, hb)
	if disposition == reconcile.Stale {
		am.Counters.StaleHeartbeats++
		return HeartbeatResponse{}
	}
	if disposition < reconcile.Accept {
		return HeartbeatResponse{Accepted: true, Token: s.token}
	}
	am.reconcileMachine(s, mc, hb, disposition)
	am.startTasks(s, mc, hb)
	return HeartbeatResponse{Accepted: true, Token: s.token, Commands: append([]Command(nil), mc.commands...)}
}

// mayRenewLease reports whether a worker that knows the token may have an answer, which renews its lease.
// Before the shard is ready its progress is not read, and nothing could be stopped: an answer all the same,
// with an outage in between, let a cancelled task live on past its time.
func (am *agentManager) mayRenewLease(s *shard, token uint64) bool {
	return am.store.hasAuthority() && !s.releasing && token <= s.token && s.ready
}

// receiveHeartbeat lets the claim's reconciler judge a heartbeat.
func (am *agentManager) receiveHeartbeat(s *shard, mc *machine, hb *Heartbeat) reconcile.Disposition {
	wasAccountedFor := mc.IsAccountedFor()
	disposition := s.reconciler.ReceiveHeartbeat(mc.Machine, am.now.MonotonicMS, hb.Incarnation, hb.Seq, hb.Token)
	if disposition == reconcile.NotifyToken && mc.IsAccountedFor() && !wasAccountedFor {
		am.log(Info, "worker acknowledges no responses; inbound partition suspected", "machine", mc.id)
		s.dirty = true
	}
	return disposition
}

// reconcileMachine brings what is known of a machine up to an accepted heartbeat, or to the worker's answer
// to a direct command, and queues what is to be stopped and cleared. disposition is at least reconcile.Accept.
func (am *agentManager) reconcileMachine(s *shard, mc *machine, hb *Heartbeat, disposition reconcile.Disposition) {
	if disposition == reconcile.AcceptNewIncarnation {
		// Its lease ended: every task of the earlier incarnation was killed.
		am.log(Info, "machine in a new incarnation", "machine", hb.Machine, "tasks", mc.liveAttemptCount)
		am.removeAllAttempts(mc)
	}
	if !mc.everReconciled {
		mc.everReconciled, s.dirty = true, true
	}
	s.reconciler.Ledger.Remove(mc.id)
	mc.directCommandRefused = false
	mc.commands = mc.commands[:0]
	am.updateTerminationNotice(s, mc, hb)
	am.reconcileTasks(s, mc, hb)
	if !mc.Up && !mc.releasing && !slices.Contains(s.newlyLive, mc.id) {
		s.newlyLive = append(s.newlyLive, mc.id)
		am.registry.writeLiveMachines(s)
	}
}

// updateTerminationNotice notes when the cloud takes the machine, by its latest heartbeat.
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

// reconcileTasks brings what is known of a machine's attempts up to its heartbeat.
func (am *agentManager) reconcileTasks(s *shard, mc *machine, hb *Heartbeat) {
	reported := make(map[attemptKey]bool, len(hb.Tasks))
	s.resetOrphanCount(mc)
	for _, status := range hb.Tasks {
		key := attemptKey{status.Task, status.Attempt}
		reported[key] = true
		a := mc.attempts[key]
		if a == nil {
			a = am.resolveUnknownAttempt(s, mc, status)
		}
		if a == nil {
			continue
		}
		if !a.observed && !a.adopted {
			mc.startUndelivered = false
		}
		a.observed = true
		am.applyTaskStatus(s, mc, a, status, hb)
	}
	am.removeUnreportedAttempts(mc, hb, reported)
}

// removeUnreportedAttempts removes the attempts that a heartbeat disproves by not naming them.
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
