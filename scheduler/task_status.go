package scheduler

import "github.com/grebedock/grebedock/planner"

// applyTaskStatus takes what a report says of an attempt.
func (am *agentManager) applyTaskStatus(s *shard, mc *machine, a *attempt, status TaskStatus, hb *Heartbeat) {
	tr := a.taskRange
	current := am.cache.isCurrent(tr)
	if a.job.Image != "" && status.State != "fetching" {
		mc.imageCache.RecordUse(
			a.job.Image,
			planner.Image{LastUsedMS: am.now.WallMS, SizeGB: a.job.Request.DiskGB},
			resourcesOf(am.cache.machineTypes[mc.rec.Type]).DiskGB,
		)
	}
	switch status.State {
	case "running", "waiting":
		if !a.running {
			a.running, a.runningSince = true, am.now.WallMS
			if a.adopted && a.expectedFetchMS == 0 {
				// It ran before. Half of a fetch is as near as one can guess:
				// tasks that came to a machine together share one.
				a.runningSince = min(am.now.WallMS, a.placedAt+am.cache.imageFetchMS(a.job, mc.rec.Type)/2)
			} else {
				a.adopted = false // seen to begin
			}
			a.taskRange.runningCount++
		}
	case "saving":
		a.checkpointing = true
	}
	if status.State != "exited" {
		if !current {
			am.queueCommand(s, mc, Command{Kind: CommandStop, Task: status.Task, Attempt: status.Attempt})
			return
		}
		if a.stopRequested && (status.State == "running" || status.State == "fetching") {
			am.queueCommand(
				s,
				mc,
				Command{
					Kind:    CommandStop,
					Task:    status.Task,
					Attempt: status.Attempt,
					GraceS:  a.job.CheckpointDurationS + am.params.HeartbeatS,
				},
			)
			return
		}
		if (status.State == "running" || status.State == "fetching" || status.State == "waiting") && am.rollouts.mayEvict(s, mc, a) {
			a.evicted = true
			am.queueCommand(
				s,
				mc,
				Command{
					Kind:    CommandStop,
					Task:    status.Task,
					Attempt: status.Attempt,
					GraceS:  a.job.CheckpointDurationS + am.params.HeartbeatS,
				},
			)
			return
		}
		am.checkpointBeforeTermination(mc, a, status)
		return
	}
	if !a.exited {
		am.releaseResources(mc, a)
		switch status.Reason {
		case "done":
			tr.markDone(a.taskIndex)
			tr.dirty = true
			delete(mc.failedJobs, a.job.ID)
			if a.running && !a.adopted {
				// What an adopted one took is not known well enough: taken
				// for shorter than it was, it shortened its whole class.
				am.estimates.updateRuntimeEstimate(a.job, am.now.WallMS-a.runningSince+tr.checkpointedMS[a.taskIndex])
			}
		case "stopped":
			if a.running {
				am.shards.failJobOnTaskLoss(a)
			}
			if status.Checkpointed && a.running {
				if tr.checkpointedMS == nil {
					tr.checkpointedMS = map[int]int64{}
				}
				tr.checkpointedMS[a.taskIndex] += max(0, am.now.WallMS-a.runningSince-secondsToMS(a.job.CheckpointDurationS))
			}
		case "error":
			am.recordTaskError(mc, tr, a)
		case "no_room":
			// The machine has something that we don't count.
			mc.fullUntil = am.now.MonotonicMS + 2*am.maxHeartbeatIntervalMS()
		case "unknown":
			tr.retryAt = am.now.MonotonicMS + 2*am.maxHeartbeatIntervalMS()
		}
	}
	if a.directCommandToken != 0 && a.directCommandToken >= hb.Token {
		// The worker takes a repeated start for the same one only as long
		// as it holds the attempt: the unanswered command must be void
		// before the attempt is cleared, or it would run once more.
		return
	}
	if status.Reason != "done" || !current || tr.storedDone.has(a.taskIndex) {
		am.queueCommand(s, mc, Command{Kind: CommandForget, Task: status.Task, Attempt: status.Attempt})
	}
}

// checkpointBeforeTermination stops a task that can save when its machine is about to be
// taken, so that its progress is not lost.
func (am *agentManager) checkpointBeforeTermination(mc *machine, a *attempt, status TaskStatus) {
	if mc.terminatesAt == 0 || status.State != "running" || a.job.CheckpointIntervalS <= 0 || a.checkpointing {
		return
	}
	remaining := mc.terminatesAt - am.now.MonotonicMS
	checkpointTime := secondsToMS(a.job.CheckpointDurationS)
	if remaining > checkpointTime+2*am.maxHeartbeatIntervalMS() || a.expectedEnd(am.now.WallMS)-am.now.WallMS < remaining {
		return
	}
	mc.commands = append(
		mc.commands,
		Command{
			Kind:    CommandStop,
			Task:    status.Task,
			Attempt: status.Attempt,
			GraceS:  a.job.CheckpointDurationS + am.params.HeartbeatS,
		},
	)
}

// discountMachineFailures takes a job's errors off the machines that they were counted against: it is
// broken, or was cancelled before any of its tasks was done, and nobody knows whose they were.
func (am *agentManager) discountMachineFailures(tr *taskRange) {
	for id := range tr.errorsByMachine {
		if mc := am.registry.machines[id]; mc != nil {
			delete(mc.failedJobs, tr.job.rec.Job.ID)
		}
	}
}

// recordTaskError counts an error against the machine and the job. Mostly the machine
// is faulty, so the task goes elsewhere; a job that fails on several machines
// waits longer each time, so that it does not eat the fleet.
func (am *agentManager) recordTaskError(mc *machine, tr *taskRange, a *attempt) {
	am.Counters.Errors++
	am.rolloutCounts.Errors++
	if am.rollouts.isRolloutReplacement(mc) {
		am.rolloutCounts.ReplacementErrors++
	}
	if tr.errorsByMachine == nil {
		tr.errorsByMachine = map[string]int{}
	}
	tr.errorsByMachine[mc.id]++
	tr.errors++
	am.shards.countTaskError(tr, a)
	switch {
	case tr.isJobBroken():
		am.discountMachineFailures(tr)
	case len(tr.errorsByMachine) < brokenJobMachines && am.cache.isCurrent(tr):
		if mc.failedJobs == nil {
			mc.failedJobs = map[string]bool{}
		}
		mc.failedJobs[a.job.ID] = true
	}
	backoff := secondsToMS(am.params.HeartbeatS)
	for i := 1; i < min(len(tr.errorsByMachine), 8); i++ {
		backoff *= 2
	}
	if len(tr.errorsByMachine) > 1 {
		tr.retryAt = am.now.MonotonicMS + min(backoff, secondsToMS(maxErrorBackoffLeases*am.params.LeaseS))
	}
	am.log(Info, "task failed", "task", a.key.task, "machine", mc.id, "errors", tr.errors)
}
