package scheduler

// tickShard advances a shard: it writes results and progress, detects machines without
// heartbeats, and plans after changes.
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
	// A void token is raised again on each tick. Without the retry, one raise that failed in
	// an outage of the state service left a task waiting forever.
	switch {
	case s.isTokenVoid():
		sm.raiseToken(s, raiseForUnanswered)
	case s.attemptIDs.IsHalfExhausted(sm.now.WallMS):
		sm.raiseToken(s, raiseForAttemptIDs)
	case sm.isClearRaiseDue(s):
		sm.raiseToken(s, raiseForClears)
	}
	for _, tr := range s.taskRanges {
		sm.writeJobOutcome(s, tr)
	}
	sm.agents.tickReconcile(s)
	sm.rollouts.tickShardDisruption(s)
	sm.writeProgress(s)
	sm.registry.writeLiveMachines(s)
	if s.mostLeasesExpired() {
		s.mostLeasesExpiredAt = sm.now.MonotonicMS
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

// mayRetryRequest reports whether a retry is due of the read of a shard's progress, or of the
// removal of its claim.
func (sm *shardManager) mayRetryRequest(s *shard) bool {
	return !s.requestPending && sm.now.MonotonicMS-s.requestFailedAt > shardRetryDelayMS
}

// tickReadiness makes a shard ready once its progress is read and the cache includes the
// claim's revision. The earlier claim may have listed a machine as live just before it
// ended. Without that machine in the cache, tasks that it runs would start twice.
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
	s.restoredProgress = nil
	if sm.params.Recovery && len(s.taskRanges) > 0 {
		heartbeatMS, leaseMS := secondsToMS(sm.params.HeartbeatS), secondsToMS(sm.params.LeaseS)
		s.reconciler.Pacer.Activate(sm.now.MonotonicMS, len(s.machines), heartbeatMS, leaseMS)
	}
	sm.log(Info, "shard ready", "shard", s.name, "machines", len(s.machines), "ranges", len(s.taskRanges))
}

// writeJobOutcome writes the pending changes of a job's record for a task range: the job
// failed, an at-most-once task may have begun, or the range is done.
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
