package scheduler

// tickShard writes results and progress, watches for silent machines, and
// plans when something changed.
func (sm *shardManager) tickShard(s *shard) {
	now := sm.now.MonotonicMS
	if s.releasing {
		if !s.requestPending && now-s.plannedAt > 500 {
			sm.removeClaim(s)
		}
		return
	}
	if !s.ready {
		// The mirror must have passed the claim: a machine that the earlier
		// claim listed as up last of all may run what would start again.
		if s.progressRead && sm.cache.mirrorRevision >= s.claimRev {
			s.ready, s.dirty = true, true
			if sm.params.Recovery && len(s.taskRanges) > 0 {
				s.reconciler.Pacer.Activate(now, len(s.machines), secondsToMS(sm.params.HeartbeatS), secondsToMS(sm.params.LeaseS))
			}
			sm.log(Info, "shard ready", "shard", s.name, "machines", len(s.machines), "ranges", len(s.taskRanges))
		} else if !s.progressRead && !s.requestPending && now-s.plannedAt > 500 {
			sm.readProgress(s)
		}
		return
	}
	if !sm.store.hasAuthority() {
		return
	}
	if s.token <= s.voidToken {
		// Tried until it worked: refused once, in an outage, it left a task
		// waiting for good.
		sm.raiseToken(s)
	}
	if s.attemptIDs.IsHalfExhausted(sm.now.WallMS) {
		sm.raiseToken(s)
	}
	for _, tr := range s.taskRanges {
		if tr.writing || tr.job.recordWritePending || now < tr.nextWriteAt {
			continue
		}
		if tr.job.failureReason != "" {
			sm.failJob(s, tr)
			continue
		}
		if tr.job.awaitingBegunRecord {
			sm.writeBegunRecord(s, tr)
			continue
		}
		if tr.doneCount == tr.size() && tr.job.rec.Job.Kind != Service {
			sm.finishTaskRange(s, tr)
		}
	}
	sm.agents.tickReconcile(s)
	sm.rollouts.tickShardDisruption(s)
	sm.writeProgress(s)
	sm.registry.writeLiveMachines(s)
	if s.mostMachinesSilent() {
		s.mostSilentAt = sm.now.MonotonicMS
	}
	for _, mc := range s.machines {
		sm.agents.tickMachine(s, mc)
	}
	if sm.placer.isPlanDue(s) {
		sm.placer.planShard(s)
		sm.quotas.sendReclaimStops(s)
		sm.agents.sendUrgentStarts(s)
	}
	sm.quotas.proposeAllocations(s)
}

// isPlanDue tells whether a shard is to be planned anew: soon when a job arrived,
// otherwise as often as the last plan's cost allows. Machines that report room
// in between take the next task of the queue by themselves.
func (pp *placementPlanner) isPlanDue(s *shard) bool {
	interval := pp.planInterval(s)
	passed := float64(pp.now.MonotonicMS - s.plannedAt)
	switch {
	case s.planExpedited:
		return passed >= max(50, interval/2)
	case s.dirty:
		return passed >= max(50, min(pp.params.HeartbeatS*1000/4, 500), interval)
	}
	return passed >= max(1000, 2*interval)
}
