package scheduler

import (
	"fmt"
	"slices"

	"github.com/grebedock/grebedock/reconcile"
)

// queueCommand adds a command to those pending for a machine's worker. A clear that must not be sent
// yet is dropped here and queued again later, since the task stays in the machine's heartbeats: its
// token must be higher than that of a direct start (directStarts), and after a claim the pacer
// limits the rate. The pacer never delays a stop, but counts it.
func (am *agentManager) queueCommand(s *shard, mc *machine, command Command) {
	switch command.Kind {
	case CommandClear:
		if !am.tryClear(s, mc, command) {
			return
		}
	case CommandStop:
		s.reconciler.Pacer.Reserve(am.now.MonotonicMS, 1)
	}
	mc.commands = append(mc.commands, command)
}

// takeCommands returns the commands pending for a machine, to be sent under the shard's token. It counts clears, and
// logs clears and stops.
func (am *agentManager) takeCommands(s *shard, mc *machine) []Command {
	for _, command := range mc.commands {
		switch command.Kind {
		case CommandStart:
			continue // logged by startTask
		case CommandClear:
			am.countClear(mc, command)
		}
		if am.isDebugLogged() {
			am.log(Debug, string(command.Kind), "task", command.Task, "attempt", command.Attempt, "machine", mc.id,
				"shard", s.name, "token", s.token)
		}
	}
	return append([]Command(nil), mc.commands...)
}

// countClear counts a clear of an attempt that is, or is not, of the machine's claim.
func (am *agentManager) countClear(mc *machine, command Command) {
	if mc.attempts[attemptKey{command.Task, command.Attempt}] != nil {
		am.Counters.ClearedAttempts++
	} else {
		am.Counters.ClearedUnowned++
	}
}

// commandNames returns the commands of a message for a debug line.
func commandNames(commands []Command) []string {
	names := make([]string, 0, len(commands))
	for _, c := range commands {
		names = append(names, fmt.Sprintf("%s %s@%d", c.Kind, c.Task, c.Attempt))
	}
	return names
}

// stopAfterCheckpoint returns a stop command with a grace period in which the task can write a
// checkpoint.
func (env *environment) stopAfterCheckpoint(a *attempt) Command {
	return Command{
		Kind:    CommandStop,
		Task:    a.key.task,
		Attempt: a.key.attempt,
		GraceS:  a.job.CheckpointDurationS + env.params.HeartbeatS,
	}
}

// pendingDirectCommand is a direct command that the worker has not answered yet.
type pendingDirectCommand struct {
	shard   *shard
	machine *machine
	token   uint64
	started []*attempt // attempts that the command starts; empty for stops or a query

	isAwaited bool   // the response to a heartbeat waits for the answer
	replyID   uint64 // identifies that heartbeat
}

// queryUnreportedMachines queries the tasks of workers that were sent our fencing token and would
// not send their next heartbeat until the end of their interval, and repeats queries that heartbeats
// wait for. The response reconciles the machine as a heartbeat does.
func (am *agentManager) queryUnreportedMachines(s *shard) {
	for _, unreported := range s.reconciler.Unreported() {
		mc := am.registry.machines[unreported.ID]
		if mc == nil || mc.Machine != unreported || mc.addr == "" {
			continue
		}
		isRepetition := mc.pendingCommand != nil
		if isRepetition && !am.mayRepeatQuery(s, mc) {
			continue
		}
		if !s.reconciler.TryStartTaskQuery(unreported, am.now.MonotonicMS) {
			continue
		}
		if isRepetition {
			am.repeatQuery(s, mc)
			continue
		}
		mc.commands = mc.commands[:0]
		am.sendDirectCommand(s, mc, mc.NotifiedIncarnation(), nil)
	}
}

// sendDirectCommand sends a machine's pending commands directly to its worker, which refuses them
// unless it is still in the given incarnation. started lists the attempts that the commands start.
func (am *agentManager) sendDirectCommand(s *shard, mc *machine, incarnation uint64, started []*attempt) {
	am.lastRequestID++
	mc.pendingCommand = &pendingDirectCommand{shard: s, machine: mc, token: s.token, started: started}
	am.directCommands[am.lastRequestID] = mc.pendingCommand
	if am.isDebugLogged() {
		am.log(Debug, "direct command", "machine", mc.id, "shard", s.name, "token", s.token,
			"incarnation", incarnation, "request", am.lastRequestID, "commands", commandNames(mc.commands))
	}
	am.outputs.DirectCommands = append(am.outputs.DirectCommands, DirectCommand{
		ID:          am.lastRequestID,
		Addr:        mc.addr,
		Machine:     mc.id,
		Token:       s.token,
		Incarnation: incarnation,
		Commands:    am.takeCommands(s, mc),
	})
}

// HandleDirectCommandResult handles the outcome of a direct command.
func (c *Controller) HandleDirectCommandResult(now Now, id uint64, r DirectCommandResult) {
	c.now = now
	command := c.agents.directCommands[id]
	if command == nil {
		return
	}
	delete(c.agents.directCommands, id)
	if command.machine.pendingCommand == command {
		command.machine.pendingCommand = nil
	}
	c.agents.countDirectCommandResult(r.Outcome)
	if c.isDebugLogged() {
		c.log(Debug, "direct command answered", "machine", command.machine.id, "token", command.token,
			"request", id, "outcome", r.Outcome.String())
	}
	c.agents.applyDirectCommandResult(command, r)
	c.agents.answerWaitingHeartbeat(command)
	if later := command.machine.pendingCommand; later != nil && command.machine.IsReconciled() {
		c.agents.answerWaitingHeartbeat(later)
	}
}

func (am *agentManager) countDirectCommandResult(outcome Outcome) {
	switch outcome {
	case OK:
		am.Counters.DirectCommandsExecuted++
	case Conflict:
		am.Counters.DirectCommandsRefused++
	default:
		am.Counters.DirectCommandsUnknown++
	}
}

func (am *agentManager) applyDirectCommandResult(command *pendingDirectCommand, r DirectCommandResult) {
	s, mc := command.shard, command.machine
	if am.registry.machines[mc.id] != mc || am.shards.ownedShards[s.name] != s {
		return
	}
	switch r.Outcome {
	case OK:
		for _, a := range command.started {
			a.directCommandToken = 0
		}
		if r.Heartbeat != nil {
			am.applyDirectCommandResponse(s, mc, r.Heartbeat)
		}
	case Conflict:
		// The worker is in another incarnation or has accepted a later claim. It would refuse the
		// next direct start immediately, so none is sent before its next report.
		mc.directCommandRefused = true
		am.removeRefusedStarts(mc, command.started)
	default:
		if len(command.started) == 0 {
			return
		}
		// The worker may still carry out the start later, regardless of the machine's state at that
		// time. Raising the token makes that impossible.
		s.voidToken = max(s.voidToken, command.token)
		am.shards.raiseToken(s, raiseForUnanswered)
	}
}

// applyDirectCommandResponse applies the tasks that a worker reports in the response to a direct
// command. The response is not a heartbeat and renews no lease. Attempts that it does not report
// are kept, because their starts may be in a heartbeat response that is still in transit. The
// exception is a machine that is not accounted for: this claim has sent it no start, so the
// response reconciles the machine as a heartbeat does.
func (am *agentManager) applyDirectCommandResponse(s *shard, mc *machine, hb *Heartbeat) {
	if !mc.IsAccountedFor() && am.store.hasAuthority() {
		hb.Machine = mc.id
		disposition := s.reconciler.ReceiveQueryResponse(
			mc.Machine, am.now.MonotonicMS, hb.Incarnation, hb.Seq, hb.Token)
		if disposition >= reconcile.Accept {
			am.reconcileMachine(s, mc, hb, disposition)
			am.sendPendingStops(s, mc)
		}
		return
	}
	if hb.Incarnation != mc.Incarnation || hb.Seq <= mc.Seq {
		return
	}
	mc.Seq = hb.Seq
	mc.reportedTasks = len(hb.Tasks)
	mc.commands = mc.commands[:0]
	for _, status := range hb.Tasks {
		if a := mc.attempts[attemptKey{status.Task, status.Attempt}]; a != nil {
			a.observed = true
			am.applyTaskStatus(s, mc, a, status, hb)
		}
	}
	s.recordOrphans(mc, hb.Tasks)
}

// sendPendingStops sends a machine's pending commands directly if they contain a stop. Otherwise the stops that follow
// from a task query would wait for the next heartbeat. A stop that has no effect is sent again with its response.
func (am *agentManager) sendPendingStops(s *shard, mc *machine) {
	isStop := func(command Command) bool { return command.Kind == CommandStop }
	if slices.ContainsFunc(mc.commands, isStop) {
		am.sendDirectCommand(s, mc, mc.Incarnation, nil)
	}
}

// removeRefusedStarts removes the attempts of a direct command that the worker refused.
func (am *agentManager) removeRefusedStarts(mc *machine, started []*attempt) {
	for _, a := range started {
		if mc.attempts[a.key] == a {
			a.neverStarted = true
			am.removeAttempt(mc, a)
		}
	}
}

// sendUrgentStarts sends the planned starts of machines with at least one urgent start as direct
// commands, without waiting for a heartbeat.
func (am *agentManager) sendUrgentStarts(s *shard) {
	for _, mc := range s.machines {
		if len(mc.plannedStarts) == 0 || !am.acceptsDirectCommand(mc) || !mc.fitsDirectStarts() {
			continue // planned starts are sent with the next heartbeat response
		}
		if !slices.ContainsFunc(mc.plannedStarts, am.isUrgent) {
			continue
		}
		mc.commands = mc.commands[:0]
		existing := make(map[attemptKey]bool, len(mc.attempts))
		for k := range mc.attempts {
			existing[k] = true
		}
		am.dispatchPlannedStarts(s, mc, &Heartbeat{Incarnation: mc.Incarnation, Seq: mc.Seq})
		if len(mc.commands) == 0 {
			continue
		}
		var started []*attempt
		for _, a := range mc.byKey {
			if !existing[a.key] {
				a.directCommandToken = s.token
				s.directStarts.record(a.key, s.token)
				started = append(started, a)
			}
		}
		am.sendDirectCommand(s, mc, mc.Incarnation, started)
	}
}

// acceptsDirectCommand reports whether a direct command may be sent to a machine's worker now. The
// machine must be reconciled, no other direct command may be unanswered or refused, and the worker
// must have sent a heartbeat within the longest heartbeat interval. A start sent to an unresponsive
// worker would only add another unknown outcome.
func (am *agentManager) acceptsDirectCommand(mc *machine) bool {
	if mc.pendingCommand != nil || mc.directCommandRefused {
		return false
	}
	missedHeartbeat := am.now.MonotonicMS-mc.LastHeartbeatAt > am.maxHeartbeatIntervalMS()
	return mc.IsReconciled() && mc.addr != "" && !missedHeartbeat
}
