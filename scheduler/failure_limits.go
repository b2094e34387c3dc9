package scheduler

// Some jobs limit how often each task may fail, and the tasks of at-most-once jobs run at most
// once. Users' jobs have neither property: a task that fails or is lost is started again until its
// job is cancelled. Workflow steps set the limit.
//
//	state    event                                         next state
//	running  a task fails MaxTaskErrors times              failed; the terminal record is written
//	running  at-most-once: a task fails, or is lost after  failed; the terminal record is written
//	         it may have started
//	failed   the terminal record is stored                 cancelled, as users see it

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

// failJobOnTaskLoss fails an at-most-once job if one of its tasks ended, or may have ended, without
// a result although it may have started.
func (sm *shardManager) failJobOnTaskLoss(a *attempt) {
	if a.job.AtMostOnce && !a.taskRange.done.has(a.taskIndex) {
		sm.markJobFailed(a.taskRange, "a task was lost, and is not to be started again: "+a.key.task)
	}
}

// failJobOnUnknownProgress fails an at-most-once job that an earlier claim left unfinished. It is
// called once no unreported machine can run tasks of the range. A task that neither runs nor is
// done may have started and been lost, and no record shows which tasks did.
func (sm *shardManager) failJobOnUnknownProgress(tr *taskRange) {
	rec := &tr.job.rec
	if !rec.Job.AtMostOnce || !rec.MayHaveBegun || tr.pending() == 0 {
		return
	}
	const reason = "tasks may have been lost with an earlier holder of their shard, " +
		"and are not to be started again"
	sm.markJobFailed(tr, reason)
}

// markJobFailed marks a job as failed, and the next tick ends it. The first reason is kept, because
// users see it.
func (sm *shardManager) markJobFailed(tr *taskRange, reason string) {
	if tr.job.failureReason == "" {
		tr.job.failureReason = reason
	}
}

// failurePolicyAllowsStart reports whether the limits on failures permit a start of a range's
// tasks. The first task of an at-most-once job waits until the state service records that tasks may
// have started, because the next owner must know this after a crash.
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

// writeBegunRecord records in the state service that tasks of a job may have started.
func (sm *shardManager) writeBegunRecord(s *shard, tr *taskRange) {
	j := tr.job
	rec := j.rec
	rec.MayHaveBegun = true
	sm.writeJob(s, tr, []Change{{Key: jobKey(rec.Job.ID), Value: mustEncode(rec)}}, nil, func() {
		j.awaitingBegunRecord = false
		s.planExpedited, s.dirty = true, true
	})
}

// failJob writes the terminal record of a failed job. Users see the job as cancelled, with the
// reason.
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
