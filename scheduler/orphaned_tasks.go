package scheduler

import "github.com/grebedock/grebedock/availability"

// An orphaned task is one that a worker reports and that this claim neither started nor adopted, such as a task of a
// job that has ended. It is to be stopped. Its team and its request are not known. Until a report shows that it has
// ended, the member holds back all that it may use: the machine's capacity, less what the attempts in the same report
// use. A start that the member decides later does not lower this bound, since the worker may refuse it for lack of
// resources while the orphaned task goes on.

// resetOrphans forgets a machine's orphaned tasks.
func (s *shard) resetOrphans(mc *machine) {
	if mc.orphanedTasks > 0 {
		mc.orphanedTasks, mc.reportedUsage = 0, availability.Resources{}
		s.machinesWithOrphans--
	}
}

// addOrphan counts an orphaned task on a machine.
func (s *shard) addOrphan(mc *machine) {
	if mc.orphanedTasks++; mc.orphanedTasks == 1 {
		s.machinesWithOrphans++
	}
}

// recordReportedUsage records, for a machine with orphaned tasks, what the live attempts in its report use.
func (mc *machine) recordReportedUsage(tasks []TaskStatus) {
	if mc.orphanedTasks == 0 {
		return
	}
	mc.reportedUsage = availability.Resources{}
	for _, status := range tasks {
		if a := mc.attempts[attemptKey{status.Task, status.Attempt}]; a != nil && !a.exited {
			mc.reportedUsage = mc.reportedUsage.Add(a.job.Request)
		}
	}
}

// recountOrphans counts the orphaned tasks of a machine anew, from the response to a direct command.
func (s *shard) recountOrphans(mc *machine, tasks []TaskStatus) {
	s.resetOrphans(mc)
	for _, status := range tasks {
		if status.State != taskExited && mc.attempts[attemptKey{status.Task, status.Attempt}] == nil {
			s.addOrphan(mc)
		}
	}
	mc.recordReportedUsage(tasks)
}

// maxOrphanedUsage returns an upper bound on the resources that the orphaned tasks of a machine use.
func (am *agentManager) maxOrphanedUsage(mc *machine) availability.Resources {
	if mc.orphanedTasks == 0 {
		return availability.Resources{}
	}
	return am.cache.machineCapacity(mc).Sub(mc.reportedUsage)
}
