package scheduler

import "github.com/grebedock/grebedock/reconcile"

// A response to a heartbeat renews the worker's lease, and with it the time for which every task on the machine may
// continue. Tasks of a job must be gone within cancel_s of its confirmed cancellation. Hence the invariant: a member
// that knows that a job has ended renews no lease under which a task of that job continues. Either the response stops
// each such task, or it is not sent. A member that does not know it yet loses its authority in time
// (access.LeaseTTLMS).

// mayRenewLease reports whether a worker with the given fencing token may receive a response, which
// renews its lease. Until the shard is ready, its progress is not read and no task can be stopped.
// When workers received responses in that state and an outage followed, a cancelled task ran for
// longer than allowed.
func (am *agentManager) mayRenewLease(s *shard, token uint64) bool {
	return am.store.hasAuthority() && !s.releasing && token <= s.token && s.ready
}

// queryBeforeRenewal queries the tasks of a worker that reports an older fencing token. Its heartbeat is answered with
// the response to the query (answerWaitingHeartbeat). Tasks that must end in any case are stopped with the query.
func (am *agentManager) queryBeforeRenewal(replyID uint64, s *shard, mc *machine, hb *Heartbeat) {
	if pending := mc.pendingCommand; pending != nil {
		if pending.isAwaited { // the worker waits only for the response to its newest heartbeat
			am.respondWorker(pending.replyID, HeartbeatResponse{})
		}
		pending.awaitedBy(replyID)
		return
	}
	if mc.addr == "" {
		am.respondWorker(replyID, HeartbeatResponse{})
		return
	}
	s.reconciler.StartTaskQuery(mc.Machine, am.now.MonotonicMS)
	mc.commands = mc.commands[:0]
	for _, status := range hb.Tasks {
		if _, _, recorded := am.recordedTaskState(s, status.Task); status.State != taskExited && recorded.IsFinal() {
			am.queueStop(s, mc, attemptKey{status.Task, status.Attempt})
		}
	}
	if am.isDebugLogged() {
		am.log(Debug, "tasks queried before lease is renewed", "machine", mc.id, "shard", s.name, "token", s.token,
			"tasks", len(hb.Tasks), "stopped", len(mc.commands))
	}
	am.sendDirectCommand(s, mc, hb.Incarnation, nil)
	mc.pendingCommand.awaitedBy(replyID)
}

func (command *pendingDirectCommand) awaitedBy(replyID uint64) {
	command.isAwaited, command.replyID = true, replyID
}

// mayRepeatQuery reports whether a worker is queried once more before the earlier query has a result: a heartbeat
// waits for it, and the worker still waits for the response. The network may have delayed the earlier query.
func (am *agentManager) mayRepeatQuery(s *shard, mc *machine) bool {
	earlier := mc.pendingCommand
	return earlier.isAwaited && earlier.shard == s && am.now.MonotonicMS-mc.LastHeartbeatAt < reconcile.ResponseTTLMS
}

// repeatQuery sends the query that a heartbeat waits for once more, with the same stops. The heartbeat waits for the
// response to either.
func (am *agentManager) repeatQuery(s *shard, mc *machine) {
	earlier := mc.pendingCommand
	am.sendDirectCommand(s, mc, mc.NotifiedIncarnation(), nil)
	mc.pendingCommand.awaitedBy(earlier.replyID)
	earlier.isAwaited = false
}

// answerWaitingHeartbeat answers the heartbeat that waits for a direct command, if any, after the result of the command
// has been applied. Without the worker's response its tasks are not known, and its lease is not renewed.
func (am *agentManager) answerWaitingHeartbeat(command *pendingDirectCommand) {
	s, mc := command.shard, command.machine
	isOwned := am.registry.machines[mc.id] == mc && am.shards.ownedShards[s.name] == s && mc.claim == s
	if !isOwned || !mc.IsReconciled() || !am.mayRenewLease(s, 0) {
		am.refuseWaitingHeartbeat(command)
		return
	}
	if command.isAwaited {
		command.isAwaited = false
		am.respondWorker(command.replyID, am.renewalResponse(s, mc))
	}
}

// refuseWaitingHeartbeat refuses the heartbeat that waits for a direct command, if any. The worker sends another one
// to the next member.
func (am *agentManager) refuseWaitingHeartbeat(command *pendingDirectCommand) {
	if !command.isAwaited {
		return
	}
	am.log(Debug, "lease not renewed: no response to the task query", "machine", command.machine.id,
		"shard", command.shard.name, "token", command.token)
	command.isAwaited = false
	am.respondWorker(command.replyID, HeartbeatResponse{})
}

// renewalResponse returns the response to a heartbeat whose content is outdated, since a newer list of the machine's
// tasks is known. It stops the tasks that must end.
func (am *agentManager) renewalResponse(s *shard, mc *machine) HeartbeatResponse {
	if am.mayStartEndedTask(s, mc) {
		return HeartbeatResponse{}
	}
	mc.commands = mc.commands[:0]
	for _, orphan := range mc.orphans {
		am.queueStop(s, mc, orphan)
	}
	am.stopUnreportedAttempts(s, mc, nil)
	return HeartbeatResponse{Accepted: true, Token: s.token, Commands: am.takeCommands(s, mc)}
}

// stopUnreportedAttempts queues stops of the machine's attempts whose jobs have ended, except for reported ones. Such
// an attempt may be on the machine although no report lists it: its start was in transit.
func (am *agentManager) stopUnreportedAttempts(s *shard, mc *machine, reported map[attemptKey]bool) {
	for _, a := range mc.byKey {
		if !a.exited && a.taskRange.job.ended && !reported[a.key] {
			am.queueStop(s, mc, a.key)
		}
	}
}

func (am *agentManager) queueStop(s *shard, mc *machine, key attemptKey) {
	am.queueCommand(s, mc, Command{Kind: CommandStop, Task: key.task, Attempt: key.attempt})
}

// mayStartEndedTask reports whether the worker may, after it has received a response with the shard's token, still
// execute an unanswered direct start of a job that ended too long ago. If its lease were renewed, the task could run
// for longer than cancel_s. Usually the token has been raised before, so that the worker refuses the start.
func (am *agentManager) mayStartEndedTask(s *shard, mc *machine) bool {
	for _, a := range mc.byKey {
		j := a.taskRange.job
		if a.exited || !j.ended || !a.isStartUnanswered(s.token) {
			continue
		}
		if am.now.MonotonicMS >= j.endedAfterMS+am.store.storeAccess.AuthorityMS() {
			am.log(Warn, "lease not renewed: a start of a job that has ended may be in transit", "machine", mc.id,
				"task", a.key.task, "attempt", a.key.attempt, "shard", s.name, "token", s.token)
			return true
		}
	}
	return false
}
