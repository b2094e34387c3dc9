package scheduler

// Jobs whose tasks may not be tried for ever, and jobs whose tasks may not be
// tried twice. Users' jobs are neither: a task that fails or is lost is started
// again until its job is cancelled. Steps of workflows say how often.

// countTaskError gives a job up whose task failed as often as it may.
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
	if tr.errorsByTask[a.taskIndex]++; tr.errorsByTask[a.taskIndex] >= j.MaxTaskErrors {
		sm.markJobFailed(tr, "a task failed as often as it may: "+a.key.task)
	}
}

// failJobOnTaskLoss gives a job up whose task ended, or may have, without a result,
// though it may have begun.
func (sm *shardManager) failJobOnTaskLoss(a *attempt) {
	if a.job.AtMostOnce && !a.taskRange.done.has(a.taskIndex) {
		sm.markJobFailed(a.taskRange, "a task was lost, and is not to be started again: "+a.key.task)
	}
}

// failJobOnUnknownProgress settles what an earlier claim left of a job whose tasks begin
// once: all machines have spoken, and what neither runs nor has ended may have
// begun and been lost. Which of them did nobody wrote down.
func (sm *shardManager) failJobOnUnknownProgress(tr *taskRange) {
	if tr.job.rec.Job.AtMostOnce && tr.job.rec.MayHaveBegun && tr.pending() > 0 {
		sm.markJobFailed(tr, "tasks may have been lost with an earlier holder of their shard, and are not to be started again")
	}
}

func (sm *shardManager) markJobFailed(tr *taskRange, reason string) {
	if tr.job.failureReason == "" {
		tr.job.failureReason = reason
	}
}

// canBegin tells whether a task of a work may start, as far as bounds go. The
// first task of a job that begins once waits until the store says so: after a
// crash its successor must know.
func (sm *shardManager) canBegin(tr *taskRange) bool {
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

// failJob ends a job that is given up: to its user it is cancelled.
func (sm *shardManager) failJob(s *shard, tr *taskRange) {
	id := tr.job.rec.Job.ID
	final := terminalRecord{
		State:         Cancelled,
		Tasks:         tr.job.rec.Job.Tasks,
		FailureReason: tr.job.failureReason,
		WorkflowRun:   tr.job.rec.Job.WorkflowRun,
	}
	sm.writeJob(
		s,
		tr,
		[]Change{{Key: jobKey(id)}, {Key: terminalKey(id), Value: mustEncode(final)}},
		[]Precondition{{terminalKey(id), 0}},
		func() {
			sm.requests.cacheTerminalState(id, final)
			sm.log(Info, "job given up", "job", id, "why", final.FailureReason)
		},
	)
}
