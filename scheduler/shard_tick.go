package scheduler

// tickShard writes results and progress, watches for silent machines, and
// plans when something changed.
func (sm *shardManager) tickShard(s *shard) {
	if s.releasing {
		if sm.mayRetryRequest(s) {
			sm.removeClaim(s)
		}
		return
	}
	if !s.ready {
		sm.tickReadiness(s)
		return
	}
	if !sm.store.hasAuthority() {
		return
	}
	// A void token is retried on each tick: a raise that was refused once, in a
	// store outage, left a task waiting for good.
	if s.isTokenVoid() || s.attemptIDs.IsHalfExhausted(sm.now.WallMS) {
		sm.raiseToken(s)
	}
	for _, tr := range s.taskRanges {
		sm.writeJobOutcome(s, tr)
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

// mayRetryRequest reports whether the read of a shard's progress, or the removal of its
// claim, is due again.
func (sm *shardManager) mayRetryRequest(s *shard) bool {
	return !s.requestPending && sm.now.MonotonicMS-s.requestFailedAt > shardRetryDelayMS
}

// tickReadiness makes a shard ready once its progress is read and the cache has passed
// the claim: a machine that the earlier claim listed as live at the very end may run
// what would start again.
func (sm *shardManager) tickReadiness(s *shard) {
	if !s.progressRead {
		if sm.mayRetryRequest(s) {
			sm.readProgress(s)
		}
		return
	}
	if sm.cache.appliedRevision < s.claimRev {
		return
	}
	s.ready, s.dirty = true, true
	if sm.params.Recovery && len(s.taskRanges) > 0 {
		heartbeatMS, leaseMS := secondsToMS(sm.params.HeartbeatS), secondsToMS(sm.params.LeaseS)
		s.reconciler.Pacer.Activate(sm.now.MonotonicMS, len(s.machines), heartbeatMS, leaseMS)
	}
	sm.log(Info, "shard ready", "shard", s.name, "machines", len(s.machines), "ranges", len(s.taskRanges))
}

// writeJobOutcome writes what a task range has to record about its job: that the job
// failed, that tasks may have begun, or that the range is done.
func (sm *shardManager) writeJobOutcome(s *shard, tr *taskRange) {
	j := tr.job
	if tr.writing || j.recordWritePending || sm.now.MonotonicMS < tr.nextWriteAt {
		return
	}
	switch {
	case j.failureReason != "":
		sm.failJob(s, tr)
	case j.awaitingBegunRecord:
		sm.writeBegunRecord(s, tr)
	case tr.isDone() && j.rec.Job.Kind != Service:
		sm.finishTaskRange(s, tr)
	}
}
