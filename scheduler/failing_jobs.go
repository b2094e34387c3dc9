package scheduler

// maxErrorBackoffLeases is the longest pause of a job after an error, in leases. All its tasks wait, also
// those of a large job that met several faulty machines.
const maxErrorBackoffLeases = 2

// maxErrorBackoffDoublings bounds how often the pause is doubled before that bound is applied.
const maxErrorBackoffDoublings = 7

// brokenJobMachineThreshold is on how many machines a job fails, and is done nowhere, before its errors are its own.
const brokenJobMachineThreshold = 3

// recordTaskError counts an error against the machine and the job. Mostly the machine is faulty, so the task
// goes elsewhere; a job that fails on several machines waits longer each time, so that it does not use up the
// fleet.
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

// discountMachineFailures takes a job's errors off the machines that they were counted against: it is broken,
// or was cancelled before any of its tasks was done, and nobody knows whose they were.
func (am *agentManager) discountMachineFailures(tr *taskRange) {
	for id := range tr.errorsByMachine {
		if mc := am.registry.machines[id]; mc != nil {
			delete(mc.failedJobs, tr.job.rec.Job.ID)
		}
	}
}

// isJobBroken reports whether a range's errors are its job's: it failed on several machines, and none of its
// tasks is done.
func (tr *taskRange) isJobBroken() bool {
	return len(tr.errorsByMachine) >= brokenJobMachineThreshold && tr.doneCount == 0
}

// isLimitedToProbe reports whether a range may start one task at a time only, which shows whether a broken
// job still fails and takes no more room, fetches and machines than that. A probe that goes on for a lease
// after the pause has shown that it does not. Gangs begin together or not at all.
func (am *agentManager) isLimitedToProbe(tr *taskRange) bool {
	if !tr.isJobBroken() || tr.job.rec.Job.Kind != Array {
		return false
	}
	return am.now.MonotonicMS < tr.retryAt+secondsToMS(am.params.LeaseS)
}

// hasProbeRunning reports whether a range's probe is on a machine.
func (am *agentManager) hasProbeRunning(tr *taskRange) bool {
	return tr.assignedCount > 0 && am.isLimitedToProbe(tr)
}

// schedulableTasks is how many of a range's waiting tasks are planned, and counted as demand for machines.
func (am *agentManager) schedulableTasks(tr *taskRange) int {
	switch {
	case am.hasProbeRunning(tr):
		return 0
	case am.isLimitedToProbe(tr):
		return min(tr.pending(), 1)
	}
	return tr.pending()
}
