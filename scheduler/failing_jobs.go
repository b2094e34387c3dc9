package scheduler

// maxErrorBackoffLeases is the longest back-off of a job after an error, in leases. It is bounded
// because all tasks of the job wait, including those of a large job that only encountered several
// faulty machines.
const maxErrorBackoffLeases = 2

// maxErrorBackoffDoublings bounds how often the back-off is doubled before maxErrorBackoffLeases
// applies.
const maxErrorBackoffDoublings = 7

// brokenJobMachineThreshold is the number of machines on which a job must fail, with none of its
// tasks done, before its errors are attributed to the job.
const brokenJobMachineThreshold = 3

// recordTaskError counts an error against the machine and the job. Usually the machine is faulty,
// so the task is started elsewhere. A job that fails on several machines backs off longer each
// time, so that it does not use up the fleet.
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
	case len(tr.errorsByMachine) < brokenJobMachineThreshold && am.cache.isCurrent(tr):
		if mc.failedJobs == nil {
			mc.failedJobs = map[string]bool{}
		}
		mc.failedJobs[a.job.ID] = true
	}
	if machines := len(tr.errorsByMachine); machines > 1 {
		backoff := secondsToMS(am.params.HeartbeatS) << min(machines-1, maxErrorBackoffDoublings)
		tr.retryAt = am.now.MonotonicMS + min(backoff, secondsToMS(maxErrorBackoffLeases*am.params.LeaseS))
	}
	am.log(Info, "task failed", "task", a.key.task, "machine", mc.id, "errors", tr.errors)
}

// discountMachineFailures removes a job's errors from the machines that they were counted against.
// The job is broken, or this member dropped the range before any of its tasks was done, for
// example after a cancellation. It is then unknown whether the job or the machines caused them.
func (am *agentManager) discountMachineFailures(tr *taskRange) {
	for id := range tr.errorsByMachine {
		if mc := am.registry.machines[id]; mc != nil {
			delete(mc.failedJobs, tr.job.rec.Job.ID)
		}
	}
}

// isJobBroken reports whether a range's errors are attributed to its job: it failed on several
// machines, and none of its tasks is done.
func (tr *taskRange) isJobBroken() bool {
	return len(tr.errorsByMachine) >= brokenJobMachineThreshold && tr.doneCount == 0
}

// isLimitedToProbe reports whether a range may start only one task at a time, as a probe. The probe
// shows whether a broken job still fails, and bounds the resources, image fetches and machines that
// the job uses. A probe that runs for a lease after the back-off has shown that the job does not
// fail any more. Only array jobs are limited: the tasks of a gang start together or not at all.
func (am *agentManager) isLimitedToProbe(tr *taskRange) bool {
	if !tr.isJobBroken() || tr.job.rec.Job.Kind != Array {
		return false
	}
	return am.now.MonotonicMS < tr.retryAt+secondsToMS(am.params.LeaseS)
}

// hasProbeRunning reports whether the probe of a range is assigned to a machine.
func (am *agentManager) hasProbeRunning(tr *taskRange) bool {
	return tr.assignedCount > 0 && am.isLimitedToProbe(tr)
}

// schedulableTasks is how many pending tasks of a range are planned and counted as capacity demand.
func (am *agentManager) schedulableTasks(tr *taskRange) int {
	switch {
	case am.hasProbeRunning(tr):
		return 0
	case am.isLimitedToProbe(tr):
		return min(tr.pending(), 1)
	}
	return tr.pending()
}
