package scheduler

// isJobBroken tells whether a work's errors are its job's: it failed on several machines, and
// none of its tasks is done.
func (tr *taskRange) isJobBroken() bool {
	return len(tr.errorsByMachine) >= brokenJobMachines && tr.doneCount == 0
}

// isLimitedToProbe tells whether a work may start one task at a time only, which shows whether a
// broken job still fails and takes no more room, fetches and machines than that. A probe
// that goes on for a lease after the pause has shown that it does not. Gangs begin
// together or not at all.
func (am *agentManager) isLimitedToProbe(tr *taskRange) bool {
	return tr.isJobBroken() && tr.job.rec.Job.Kind == Array && am.now.MonotonicMS < tr.retryAt+secondsToMS(am.params.LeaseS)
}

// hasProbeRunning tells whether a work's probe is on a machine.
func (am *agentManager) hasProbeRunning(tr *taskRange) bool {
	return tr.assignedCount > 0 && am.isLimitedToProbe(tr)
}

// schedulableTasks is how many of a work's waiting tasks are planned, and asked machines for.
func (am *agentManager) schedulableTasks(tr *taskRange) int {
	switch {
	case am.hasProbeRunning(tr):
		return 0
	case am.isLimitedToProbe(tr):
		return min(tr.pending(), 1)
	}
	return tr.pending()
}

// maxErrorBackoffLeases is the longest pause of a job after an error, in leases. All its tasks
// wait, those of a large job that met several faulty machines too.
const maxErrorBackoffLeases = 2

// brokenJobMachines is on how many machines a job fails, and is done nowhere, before its
// errors are its own.
const brokenJobMachines = 3
