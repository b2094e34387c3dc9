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
	before := len(mc.orphans)
	s.resetOrphans(mc)
	for _, status := range tasks {
		if status.State == taskExited {
			continue
		}
		key := attemptKey{status.Task, status.Attempt}
		if a := mc.attempts[key]; a == nil {
			mc.orphans = append(mc.orphans, key)
		} else if !a.exited {
			mc.reportedUsage = mc.reportedUsage.Add(a.job.Request)
		}
	}
	if len(mc.orphans) > 0 {
		s.machinesWithOrphans++
	}
	if len(mc.orphans) != before {
		s.dirty = true
	}
}

// resetOrphans removes a machine's orphaned tasks from the counts.
func (s *shard) resetOrphans(mc *machine) {
	if len(mc.orphans) > 0 {
		s.machinesWithOrphans--
	}
	mc.orphans, mc.reportedUsage = nil, availability.Resources{}
}

// maxOrphanedUsage returns an upper bound on the resources that the orphaned tasks of a machine use.
func (am *agentManager) maxOrphanedUsage(mc *machine) availability.Resources {
	if len(mc.orphans) == 0 {
		return availability.Resources{}
	}
	return am.cache.machineCapacity(mc).Sub(mc.reportedUsage)
}
