package scheduler

import "github.com/grebedock/grebedock/availability"

// An orphaned task is one that a worker reports and that this claim neither started nor adopted, such as a task of a
// job that has ended. It must stop. Its team and its request are unknown. Until a report shows that it has ended, the
// member reserves its maximum usage: the machine's capacity, less the usage of the attempts in the same report. A later
// start does not lower this bound, since the worker may refuse the start for lack of resources while the orphaned task
// continues.

// recordOrphans counts the orphaned tasks in a complete list of a machine's tasks, and the usage of the attempts in it.
// The shard is planned again if the number of orphaned tasks has changed.
func (s *shard) recordOrphans(mc *machine, tasks []TaskStatus) {
	before := mc.orphanedTasks
	s.resetOrphans(mc)
	for _, status := range tasks {
		if status.State == taskExited {
			continue
		}
		if a := mc.attempts[attemptKey{status.Task, status.Attempt}]; a == nil {
			mc.orphanedTasks++
		} else if !a.exited {
			mc.reportedUsage = mc.reportedUsage.Add(a.job.Request)
		}
	}
	if mc.orphanedTasks > 0 {
		s.machinesWithOrphans++
	}
	if mc.orphanedTasks != before {
		s.dirty = true
	}
}

// resetOrphans removes a machine's orphaned tasks from the counts.
func (s *shard) resetOrphans(mc *machine) {
	if mc.orphanedTasks > 0 {
		s.machinesWithOrphans--
	}
	mc.orphanedTasks, mc.reportedUsage = 0, availability.Resources{}
}

// maxOrphanedUsage returns an upper bound on the resources that the orphaned tasks of a machine use.
func (am *agentManager) maxOrphanedUsage(mc *machine) availability.Resources {
	if mc.orphanedTasks == 0 {
		return availability.Resources{}
	}
	return am.cache.machineCapacity(mc).Sub(mc.reportedUsage)
}
