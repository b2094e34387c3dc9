package scheduler

import (
	"slices"

	"github.com/grebedock/grebedock/reconcile"
)

// queueCommand gathers a command for a machine's worker. After a claim a clear waits until the pacer lets it
// go: the task stays in the machine's heartbeats.
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

// stopAfterCheckpoint is a stop that leaves the task time to save its progress.
func (env *environment) stopAfterCheckpoint(a *attempt) Command {
	return Command{
		Kind:    CommandStop,
		Task:    a.key.task,
		Attempt: a.key.attempt,
		GraceS:  a.job.CheckpointDurationS + env.params.HeartbeatS,
	}
}

// pendingDirectCommand is a direct command that the worker has not answered.
type pendingDirectCommand struct {
	shard   *shard
	machine *machine
	token   uint64
	started []*attempt // the attempts that it starts; none: a stop or a query of the worker's tasks
}

// probeUnreportedMachines queries the tasks of workers that have our token and no reason to report before
// their interval is over: the answer reconciles them as a heartbeat does.
func (am *agentManager) probeUnreportedMachines(s *shard) {
	for _, unreported := range s.reconciler.Unreported() {
		mc := am.registry.machines[unreported.ID]
		if mc == nil || mc.Machine != unreported || mc.directCommandPending || mc.addr == "" {
			continue
		}
		if !s.reconciler.TryStartTaskQuery(unreported, am.now.MonotonicMS) {
			continue
		}
		mc.commands = mc.commands[:0]
		am.sendDirectCommand(s, mc, mc.NotifiedIncarnation(), nil)
	}
}

// sendDirectCommand sends a machine's gathered commands straight to its worker, if that is still in the
// given incarnation. started are the attempts among them that are new.
func (am *agentManager) sendDirectCommand(s *shard, mc *machine, incarnation uint64, started []*attempt) {
	am.lastRequestID++
	mc.directCommandPending = true
	am.directCommands[am.lastRequestID] = &pendingDirectCommand{s, mc, s.token, started}
	am.outputs.DirectCommands = append(am.outputs.DirectCommands, DirectCommand{
		ID:          am.lastRequestID,
		Addr:        mc.addr,
		Machine:     mc.id,
		Token:       s.token,
		Incarnation: incarnation,
		Commands:    append([]Command(nil), mc.commands...),
	})
}

// HandleDirectCommandResult takes a worker's answer to a direct command.
func (c *Controller) HandleDirectCommandResult(now Now, id uint64, r DirectCommandResult) {
	c.now = now
	command := c.agents.directCommands[id]
	if command == nil {
		return
	}
	delete(c.agents.directCommands, id)
	command.machine.directCommandPending = false
	c.agents.applyDirectCommandResult(command, r)
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
		// It is in another incarnation, or obeys a later claim: until it reports, the same would come of the
		// next start, at once.
		mc.directCommandRefused = true
		am.removeRefusedStarts(mc, command.started)
	default:
		if len(command.started) == 0 {
			return
		}
		// It may yet run, on whatever machine state there is by then. A higher token makes that impossible.
		s.voidToken = max(s.voidToken, command.token)
		am.shards.raiseToken(s)
	}
}

// applyDirectCommandResponse takes the tasks that a worker shows in its answer to a direct command. It is
// not a heartbeat: it renews no lease, and attempts that it lacks may be in a heartbeat's answer that is
// still under way, unless nothing of this claim can be.
func (am *agentManager) applyDirectCommandResponse(s *shard, mc *machine, hb *Heartbeat) {
	if !mc.IsAccountedFor() && am.store.hasAuthority() {
		hb.Machine = mc.id
		disposition := s.reconciler.ReceiveQueryResponse(
			mc.Machine, am.now.MonotonicMS, hb.Incarnation, hb.Seq, hb.Token)
		if disposition >= reconcile.Accept {
			am.reconcileMachine(s, mc, hb, disposition)
		}
		return
	}
	if hb.Incarnation != mc.Incarnation || hb.Seq <= mc.Seq {
		return
	}
	mc.Seq = hb.Seq
	mc.commands = mc.commands[:0]
	for _, status := range hb.Tasks {
		if a := mc.attempts[attemptKey{status.Task, status.Attempt}]; a != nil {
			a.observed = true
			am.applyTaskStatus(s, mc, a, status, hb)
		}
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

// sendUrgentStarts sends planned starts that should not wait for a heartbeat as direct commands.
func (am *agentManager) sendUrgentStarts(s *shard) {
	for _, mc := range s.machines {
		if len(mc.plannedStarts) == 0 || !am.acceptsDirectCommand(mc) {
			continue
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
				started = append(started, a)
			}
		}
		am.sendDirectCommand(s, mc, mc.Incarnation, started)
	}
}

// acceptsDirectCommand reports whether a direct command may be sent to a machine's worker now: it is reconciled,
// no other command is unanswered or was refused, and it sent a heartbeat lately. A start to a silent one would
// only be one more thing unknown.
func (am *agentManager) acceptsDirectCommand(mc *machine) bool {
	if mc.directCommandPending || mc.directCommandRefused {
		return false
	}
	isSilent := am.now.MonotonicMS-mc.LastHeartbeatAt > am.maxHeartbeatIntervalMS()
	return mc.IsReconciled() && mc.addr != "" && !isSilent
}
