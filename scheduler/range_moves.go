package scheduler

import "github.com/grebedock/grebedock/indoubt"

// minMoveDivisor sets the smallest part of a range's waiting tasks that is moved: one eighth. Each
// move costs a write now and another when the moved range ends.
const minMoveDivisor = 8

// isAwaitingRestart reports whether a task was stopped to drain its machine and has not restarted
// yet. Such a task does not move, because only this member can observe its restart.
func (s *shard) isAwaitingRestart(tr *taskRange, index int) bool {
	account := s.disruption.account
	return account != nil && account.IsReserved(TaskName(tr.job.rec.Job.ID, tr.bounds.Lo+index))
}

// isMovable reports whether tasks of a range may move to a peer's shard. Tasks that came from a
// peer do not move, nor does an at-most-once job that may have begun. After a takeover some of its
// tasks may be lost, which only the range that owned them can determine. When such tasks
// moved before all machines had sent heartbeats, a lost task was started again by the peer. A range
// that may still run on an unreported machine does not move either, because the peer would start its
// tasks a second time.
func (pt *peerTable) isMovable(s *shard, tr *taskRange) bool {
	j := tr.job
	if !pt.cache.isCurrent(tr) || j.recordWritePending || len(j.rec.Ranges) >= pt.maxJobRanges() {
		return false
	}
	mayNotRestart := j.rec.Job.AtMostOnce && j.rec.MayHaveBegun
	if mayNotRestart || j.rec.Job.requiresOneShard() {
		return false
	}
	if tr.bounds.MovedFromPeer || tr.moving || tr.writing || pt.agents.isBlockedByUnreported(s, tr) {
		return false
	}
	return pt.quotas.fitsTeamAllocation(s, j.rec.Job.Team)
}

// moveUnplaceableTasks moves tasks to peers with capacity: waiting tasks that a peer could start at
// once, and tasks that no machine of the shard can finish in time. A move is a conditional write of
// the job's record.
func (pt *peerTable) moveUnplaceableTasks(s *shard) {
	for _, group := range s.queue {
		// A task that waits in a local queue may start at once at a peer. Tasks with a reservation
		// stay, because other tasks are being stopped for them. An aged first task moves only with
		// the rest of its job.
		if group.IsFirstTask && group.taskRange.pending() > 1 {
			continue
		}
		waiting := group.Waiting - s.reservedTasks[group.taskRange]
		if waiting > 0 && pt.isMovable(s, group.taskRange) {
			deadline := pt.cache.immediateDeadline(group.job, group.LengthMS)
			pt.moveTasksToPeer(s, group.taskRange, waiting, group.LengthMS, deadline)
		}
	}
	for _, demand := range s.demand {
		if !demand.SpotOnly && pt.isMovable(s, demand.taskRange) {
			pt.moveTasksToPeer(s, demand.taskRange, demand.Tasks, demand.TaskRuntimeMS, demand.DeadlineMS)
		}
	}
}

// movableTail returns how many consecutive tasks at the end of a range, up to limit, can move. A
// task cannot move if it is done, assigned to a machine or awaiting a restart.
func (s *shard) movableTail(tr *taskRange, limit int) int {
	tasks := 0
	for index := tr.size() - 1; index >= 0 && tasks < limit; index-- {
		if tr.done.has(index) || tr.assigned.has(index) || s.isAwaitingRestart(tr, index) {
			break
		}
		tasks++
	}
	return tasks
}

// moveTasksToPeer moves up to maxTasks tasks from the end of a range to a peer. It chooses the shard
// that can finish the most of them by deadline (wall-clock time, ms).
func (pt *peerTable) moveTasksToPeer(s *shard, tr *taskRange, maxTasks int, runtimeMS, deadline int64) {
	movable := s.movableTail(tr, maxTasks)
	if movable == 0 {
		return
	}
	j := tr.job
	var best peerCapacity
	for _, capacity := range pt.peerCapacities(&j.rec.Job, runtimeMS, deadline, movable) {
		if capacity.tasks > best.tasks {
			best = capacity
		}
	}
	if best.tasks == 0 || best.tasks < movable/minMoveDivisor {
		return
	}
	limit := min(best.tasks, movable)
	tasks := pt.peerTaskCapacity(best.peerShard, &j.rec.Job, runtimeMS, deadline, limit, true)
	targetShard := best.peerShard.Shard
	rec := j.rec
	rec.Ranges = rangesAfterMove(j.rec.Ranges, tr, tasks, targetShard)
	pt.log(Debug, "moving tasks to peer shard",
		"job", j.rec.Job.ID, "tasks", tasks, "shard", targetShard,
		"range", tr.name(), "first_task", tr.bounds.Hi-tasks)
	pt.writeMove(s, tr, j, rec, j.rev)
}

// rangesAfterMove returns a job's ranges after the last tasks of tr have moved to another shard.
func rangesAfterMove(ranges []Range, tr *taskRange, tasks int, targetShard string) []Range {
	var after []Range
	for _, bounds := range ranges {
		if bounds.Lo != tr.bounds.Lo {
			after = append(after, bounds)
			continue
		}
		if tasks < tr.size() {
			after = append(after, Range{bounds.Lo, bounds.Hi - tasks, bounds.Shard, bounds.MovedFromPeer})
		}
		after = append(after, Range{bounds.Hi - tasks, bounds.Hi, targetShard, true})
	}
	return after
}

// writeMove writes a move and repeats the write until its outcome is certain. Until then no task of
// the range starts in this shard, because the peer may already own the tail. Neither a refused retry
// nor a conflict whose read-back failed settles the write. When they did, the first request was
// applied afterwards, and the tail ran in both shards.
func (pt *peerTable) writeMove(s *shard, tr *taskRange, j *job, rec jobRecord, jobRevision uint64) {
	id := j.rec.Job.ID
	key := jobKey(id)
	tr.moving, j.recordWritePending = true, true
	write := &indoubt.ConditionalWrite{Revision: jobRevision}
	changes := []Change{{Key: key, Value: mustEncode(rec)}}
	onEnd := func() {
		tr.moving, j.recordWritePending = false, false
		s.dirty = true
	}
	pt.store.sendUntilSettled(key, inDoubtWrite{
		isClaimValid: func() bool { return pt.cache.jobs[id] == j && pt.shards.ownedShards[s.name] == s },
		send: func(onResult func(StoreResult)) {
			preconditions := []Precondition{{claimKey(s.name), s.token}, {key, jobRevision}}
			pt.store.sendTxn(UrgencyUser, preconditions, changes, func(result StoreResult) {
				if result.Outcome == OK {
					pt.Counters.MovedTasks++
				}
				onResult(result)
			})
		},
		onSent: write.CompleteAttempt,
		onRead: func(result StoreResult) indoubt.NextStep {
			if result.Outcome == OK && len(result.KVs) == 1 {
				return write.CompleteRead(OK, result.KVs[0].Rev)
			}
			return write.CompleteRead(result.Outcome, 0)
		},
		onSettled:   onEnd,
		onClaimLost: onEnd,
	})
}
