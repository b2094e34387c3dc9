package scheduler

import (
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/reconcile"
)

// Task states in a heartbeat, and reasons for an exit.
const (
	taskFetching      = "fetching"
	taskRunning       = "running"
	taskWaiting       = "waiting"
	taskCheckpointing = "saving"
	taskExited        = "exited"

	exitDone    = "done"
	exitStopped = "stopped"
	exitError   = "error"
	exitNoRoom  = "no_room"
	exitBusy    = "busy"
	exitUnknown = "unknown"
)

// isStartRefused reports whether an exit reason means that the worker refused the start.
func isStartRefused(reason string) bool {
	return reason == exitNoRoom || reason == exitBusy || reason == exitUnknown
}

// resolveUnknownAttempt handles a task that this claim did not start, according to the verdicts of
// package reconcile. It returns an attempt if this claim adopts the task, else nil.
func (am *agentManager) resolveUnknownAttempt(s *shard, mc *machine, status TaskStatus) *attempt {
	tr, i, recorded := am.recordedTaskState(s, status.Task)
	switch s.reconciler.DecideVerdict(recorded, status.observation()) {
	case reconcile.Adopt:
		am.Counters.AdoptedTasks++
		return am.adoptAttempt(s, mc, status, tr, i)
	case reconcile.Stop:
		am.Counters.OrphanedTasks++
		am.queueCommand(s, mc, Command{Kind: CommandStop, Task: status.Task, Attempt: status.Attempt})
	case reconcile.RecordCompletion:
		tr.markDone(i)
		tr.dirty = true
	case reconcile.Clear:
		am.queueCommand(s, mc, Command{Kind: CommandClear, Task: status.Task, Attempt: status.Attempt})
	}
	return nil
}

// observation translates a status for package reconcile.
func (status *TaskStatus) observation() reconcile.Observation {
	switch {
	case status.State != taskExited:
		return reconcile.Active
	case status.Reason == exitDone:
		return reconcile.Succeeded
	}
	return reconcile.Terminated
}

// recordedTaskState returns the range of a task, its index in the range, and its state according to
// the cache.
func (am *agentManager) recordedTaskState(s *shard, task string) (tr *taskRange, i int, state reconcile.TaskState) {
	tr, i = am.shards.taskRangeOf(task)
	switch {
	case tr == nil:
		return nil, 0, reconcile.Obsolete
	case tr.storedDone.has(i):
		return tr, i, reconcile.ResultStored
	case tr.shardName != s.name && !tr.done.has(i):
		return tr, i, reconcile.Obsolete // the task belongs to another owned shard
	case tr.done.has(i):
		return tr, i, reconcile.Completed
	case tr.assigned.has(i):
		return tr, i, reconcile.Assigned
	case tr.moving:
		return tr, i, reconcile.Transferring
	}
	return tr, i, reconcile.Unassigned
}

// adoptAttempt adopts a task that an earlier claim started. The attempt ID contains the time of the
// start.
func (am *agentManager) adoptAttempt(s *shard, mc *machine, status TaskStatus, tr *taskRange, i int) *attempt {
	j := &tr.job.rec.Job
	a := &attempt{
		key:       attemptKey{status.Task, status.Attempt},
		job:       j,
		taskRange: tr,
		claim:     s,
		taskIndex: i,
		attemptDelivery: attemptDelivery{
			incarnation: mc.Incarnation,
		},
		attemptProgress: attemptProgress{
			adopted:           true,
			placedAt:          reconcile.AttemptStartedAt(status.Attempt, am.now.WallMS),
			expectedRuntimeMS: am.estimates.expectedRuntime(j),
		},
	}
	if status.State == taskFetching {
		a.expectedFetchMS = am.cache.imageFetchMS(j, mc.rec.Type)
	}
	am.allocateResources(mc, a)
	s.dirty = true
	return a
}

// applyTaskStatus applies the status of an attempt from a heartbeat, or from the response to a
// direct command, and queues the commands that follow from it.
func (am *agentManager) applyTaskStatus(s *shard, mc *machine, a *attempt, status TaskStatus, hb *Heartbeat) {
	current := am.cache.isCurrent(a.taskRange)
	if a.job.Image != "" && status.State != taskFetching {
		mc.imageCache.RecordUse(
			a.job.Image,
			planner.Image{LastUsedMS: am.now.WallMS, SizeGB: a.job.Request.DiskGB},
			resourcesOf(am.cache.machineTypes[mc.rec.Type]).DiskGB,
		)
	}
	switch status.State {
	case taskRunning, taskWaiting:
		if !a.running {
			am.recordRunning(mc, a)
		}
	case taskCheckpointing:
		a.checkpointing = true
	}
	if status.State != taskExited {
		am.commandLiveAttempt(s, mc, a, status)
		return
	}
	if !a.exited {
		am.recordExit(mc, a, status)
	}
	if status.Reason != exitDone || !current || a.taskRange.storedDone.has(a.taskIndex) {
		am.queueCommand(s, mc, Command{Kind: CommandClear, Task: status.Task, Attempt: status.Attempt})
	}
}

// recordRunning records that an attempt runs, and since when.
func (am *agentManager) recordRunning(mc *machine, a *attempt) {
	a.running, a.runningSince = true, am.now.WallMS
	if a.adopted && a.expectedFetchMS == 0 {
		// The attempt ran before it was adopted. Half of a fetch time is the best available
		// estimate, because tasks that were placed on a machine together share one fetch.
		a.runningSince = min(am.now.WallMS, a.placedAt+am.cache.imageFetchMS(a.job, mc.rec.Type)/2)
	} else {
		a.adopted = false // its start was observed
	}
	a.taskRange.runningCount++
}

// commandLiveAttempt stops an attempt that must not continue: its job has ended, a late copy of a
// command started it again, it is preempted or reclaimed, its machine is being drained, or the cloud
// provider is about to terminate the machine.
func (am *agentManager) commandLiveAttempt(s *shard, mc *machine, a *attempt, status TaskStatus) {
	if !am.cache.isCurrent(a.taskRange) || a.startedByCopy {
		am.queueCommand(s, mc, Command{Kind: CommandStop, Task: status.Task, Attempt: status.Attempt})
		return
	}
	runningOrFetching := status.State == taskRunning || status.State == taskFetching
	if a.stopRequested && runningOrFetching {
		am.queueCommand(s, mc, am.stopAfterCheckpoint(a))
		return
	}
	if (runningOrFetching || status.State == taskWaiting) && am.rollouts.mayEvict(s, mc, a) {
		a.evicted = true
		am.queueCommand(s, mc, am.stopAfterCheckpoint(a))
		return
	}
	if status.State == taskRunning && am.isCheckpointDue(mc, a) {
		// This stop bypasses the pacer and is not counted by it.
		mc.commands = append(mc.commands, am.stopAfterCheckpoint(a))
	}
}

// isCheckpointDue reports whether a running task with checkpoints must save its progress now,
// because its machine is about to be terminated and the task will not end before that.
func (am *agentManager) isCheckpointDue(mc *machine, a *attempt) bool {
	if mc.terminatesAt == 0 || a.job.CheckpointIntervalS <= 0 || a.checkpointing {
		return false
	}
	remaining := mc.terminatesAt - am.now.MonotonicMS
	if remaining > secondsToMS(a.job.CheckpointDurationS)+2*am.maxHeartbeatIntervalMS() {
		return false
	}
	return a.expectedEnd(am.now.WallMS)-am.now.WallMS >= remaining
}

// recordExit handles the first report that an attempt ended.
func (am *agentManager) recordExit(mc *machine, a *attempt, status TaskStatus) {
	am.releaseResources(mc, a)
	tr := a.taskRange
	if isStartRefused(status.Reason) {
		am.log(Debug, "start refused", "task", a.key.task, "attempt", a.key.attempt, "machine", mc.id,
			"reason", status.Reason)
	}
	switch status.Reason {
	case exitDone:
		am.recordCompletion(mc, a)
	case exitStopped:
		if a.running {
			am.shards.failJobOnTaskLoss(a)
		}
		if status.Checkpointed && a.running {
			tr.addCheckpoint(a.taskIndex, am.now.WallMS-a.runningSince-secondsToMS(a.job.CheckpointDurationS))
		}
	case exitError:
		am.recordTaskError(mc, tr, a)
	case exitNoRoom:
		// The machine runs something that this member does not count.
		mc.fullUntil = am.now.MonotonicMS + 2*am.maxHeartbeatIntervalMS()
	case exitUnknown:
		tr.retryAt = am.now.MonotonicMS + 2*am.maxHeartbeatIntervalMS()
	}
}

// recordCompletion counts a result and updates the runtime estimate of the job's class.
func (am *agentManager) recordCompletion(mc *machine, a *attempt) {
	tr := a.taskRange
	tr.markDone(a.taskIndex)
	tr.dirty = true
	delete(mc.failedJobs, a.job.ID)
	if a.running && !a.adopted {
		// The runtime of an adopted attempt is not known precisely enough: when it was
		// underestimated, it lowered the estimate of its whole class.
		am.estimates.updateRuntimeEstimate(a.job, am.now.WallMS-a.runningSince+tr.checkpointedMS[a.taskIndex])
	}
}

// addCheckpoint adds runtime, in milliseconds, that a task need not repeat.
func (tr *taskRange) addCheckpoint(taskIndex int, runMS int64) {
	if tr.checkpointedMS == nil {
		tr.checkpointedMS = map[int]int64{}
	}
	tr.checkpointedMS[taskIndex] += max(0, runMS)
}
