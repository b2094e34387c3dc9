package scheduler

// Jobs whose tasks are tried a limited number of times, and jobs whose tasks run at most
// once. Users' jobs are neither: a task that fails or is lost is started again until
// its job is cancelled. Steps of workflows set the limit.
//
//	runs    a task fails MaxTaskErrors times              failed; its record is written
//	runs    at most once: a task fails, or is lost after  failed; its record is written
//	        it may have begun
//	failed  the final record is stored                    cancelled, to its user

// countTaskError counts a failed attempt and fails its job if the limit is reached.
func (sm *shardManager) countTaskError(tr *taskRange, a *attempt) {
	j := a.job
	if j.AtMostOnce {
		sm.markJobFailed(tr, "a task failed, and is not to be started again")
		return
	}
	if j.MaxTaskErrors == 0 {
		return
	}
	if tr.errorsByTask == nil {
		tr.errorsByTask = map[int]int{}
	}
	tr.errorsByTask[a.taskIndex]++
	if tr.errorsByTask[a.taskIndex] >= j.MaxTaskErrors {
		sm.markJobFailed(tr, "a task failed as often as it may: "+a.key.task)
	}
}

// failJobOnTaskLoss fails an at-most-once job one of whose tasks ended, or may have, without
// a result, though it may have begun.
func (sm *shardManager) failJobOnTaskLoss(a *attempt) {
	if a.job.AtMostOnce && !a.taskRange.done.has(a.taskIndex) {
		sm.markJobFailed(a.taskRange, "a task was lost, and is not to be started again: "+a.key.task)
	}
}

// failJobOnUnknownProgress fails an at-most-once job that an earlier claim left unfinished.
// It is called once all machines have sent a heartbeat: a task that neither runs nor
// is done may have begun and been lost, and no record says which of them did.
func (sm *shardManager) failJobOnUnknownProgress(tr *taskRange) {
	rec := &tr.job.rec
	if !rec.Job.AtMostOnce || !rec.MayHaveBegun || tr.pending() == 0 {
		return
	}
	const reason = "tasks may have been lost with an earlier holder of their shard, " +
		"and are not to be started again"
	sm.markJobFailed(tr, reason)
}

// markJobFailed has the next tick end a job as failed. The first reason stays; users see it.
func (sm *shardManager) markJobFailed(tr *taskRange, reason string) {
	if tr.job.failureReason == "" {
		tr.job.failureReason = reason
	}
}

// failurePolicyAllowsStart reports whether a task of a range may start as far as limits on failures go. The
// first task of an at-most-once job waits until the store says that tasks may have
// begun: after a crash the next owner must know.
func (sm *shardManager) failurePolicyAllowsStart(tr *taskRange) bool {
	if tr.job.failureReason != "" {
		return false
	}
	if tr.job.rec.Job.AtMostOnce && !tr.job.rec.MayHaveBegun {
		tr.job.awaitingBegunRecord = true
		return false
	}
	return true
}

// writeBegunRecord records that tasks of a job may have begun.
func (sm *shardManager) writeBegunRecord(s *shard, tr *taskRange) {
	j := tr.job
	rec := j.rec
	rec.MayHaveBegun = true
	sm.writeJob(s, tr, []Change{{Key: jobKey(rec.Job.ID), Value: mustEncode(rec)}}, nil, func() {
		j.awaitingBegunRecord = false
		s.planExpedited, s.dirty = true, true
	})
}

// failJob ends a failed job in the store: to its user it is cancelled, with the reason.
func (sm *shardManager) failJob(s *shard, tr *taskRange) {
	j := &tr.job.rec.Job
	final := terminalRecord{
		State:         Cancelled,
		Tasks:         j.Tasks,
		FailureReason: tr.job.failureReason,
		WorkflowRun:   j.WorkflowRun,
	}
	id := j.ID
	sm.writeTerminalRecord(s, tr, final, func() {
		sm.log(Info, "job failed", "job", id, "reason", final.FailureReason)
	})
}
