package scheduler

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
