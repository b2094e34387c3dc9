package scheduler

import (
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/indoubt"
	"github.com/grebedock/grebedock/planner"
)

// peerTaskCapacity is how many tasks of a job a peer's shard says that it can end by
// deadline, the least leftover first being the peer's own business. What is
// taken is used up until the peer speaks again.
func (pt *peerTable) peerTaskCapacity(
	peerShard *PeerShard,
	j *Job,
	runtimeMS, deadline int64,
	limit int,
	reserve bool,
) int {
	tasks := 0
	resourceRequest := j.resourceRequest()
	resources := resourceRequest.WithoutImage()
	for i := range peerShard.Summary {
		function := &peerShard.Summary[i]
		if tasks >= limit {
			break
		}
		if function.Count <= 0 || !function.Resources.Contains(resources) {
			continue
		}
		offering := planner.ParseInstanceOffering(function.Kind)
		if !pt.cache.placementCatalog.IsAllowed(&resourceRequest, offering) {
			continue
		}
		taskRuntimeMS := runtimeMS + pt.cache.placementCatalog.FetchMS(&resourceRequest, offering.Type)
		fitting := function.TaskCapacity(resources, deadline, taskRuntimeMS, limit-tasks)
		if reserve && fitting > 0 {
			tasksPerQueue := max(
				1,
				function.TaskCapacity(
					resources,
					deadline,
					taskRuntimeMS,
					int(min(function.Count, 1<<20))*j.Tasks,
				)/int(
					function.Count,
				),
			)
			function.Count -= int64((fitting + tasksPerQueue - 1) / tasksPerQueue)
		}
		tasks += fitting
	}
	return tasks
}

// peerCapacity is room that a peer's shard has for a job.
type peerCapacity struct {
	peerShard *PeerShard
	tasks     int
}

// peerCapacities lists the peers' shards with room for a job, the one that is left
// with least first. All members see the same room and none hands back what it
// got, so each takes its part only: when four took all of it at once, the peer
// that had been idle was left with the longest queue.
func (pt *peerTable) peerCapacities(j *Job, runtimeMS, deadline int64, limit int) []peerCapacity {
	var capacities []peerCapacity
	for memberID, peer := range sortedByKey(pt.peers) {
		if memberID == pt.params.MemberID || !pt.isFresh(peer) {
			continue
		}
		for i := range peer.message.OwnedShards {
			peerShard := &peer.message.OwnedShards[i]
			if pt.cache.shardClaims[peerShard.Shard].Owner != memberID {
				continue
			}
			tasks := pt.peerTaskCapacity(peerShard, j, runtimeMS, deadline, limit*len(pt.params.PeerIDs), false)
			if tasks = (tasks + len(pt.params.PeerIDs) - 1) / len(pt.params.PeerIDs); tasks > 0 {
				capacities = append(capacities, peerCapacity{peerShard, tasks})
			}
		}
	}
	slices.SortStableFunc(capacities, func(a, b peerCapacity) int { return a.tasks - b.tasks })
	return capacities
}

// assignRanges decides where the tasks of a new job go: own machines before peers'.
// Room that is free now goes before a place in a queue, here or there: a task
// that waits while a peer's machine is idle only risks its deadline. What
// neither can end in time is held by this member.
func (pt *peerTable) assignRanges(j *Job) []Range {
	ownShard := pt.params.MemberID
	homeShard, limited := pt.quotas.homeShard(j), pt.quotas.homeShards[j.Team] != ""
	remaining := j.Tasks
	type shardShare struct {
		shard string
		tasks int
	}
	var shares []shardShare
	unassigned := remaining
	var search *planner.CandidateSearch
	provisional := &job{rec: jobRecord{Job: *j, AcceptedAtMS: pt.now.WallMS}}
	provisionalRange := &taskRange{job: provisional, bounds: Range{0, j.Tasks, ownShard, false}, shardName: ownShard}
	group := pt.placer.newTaskGroup(provisionalRange, 0)
	runtimeMS, deadline := group.LengthMS, group.ObjectiveDeadlineMS
	s := pt.shards.ownedShards[ownShard]
	if s != nil && s.ready && pt.store.hasAuthority() && homeShard == ownShard {
		// The last plan is asked, and keeps what it promises here until the
		// next one: a burst of submissions must not cost a plan each.
		group.Remaining = min(remaining, pt.quotas.tasksWithinTeamLimit(s, j, availability.Resources{}))
		search = s.clusterView.StartSearch(&group.Group)
	}
	placeHere := func(mode planner.QueueMode) {
		if search != nil {
			leftBefore := group.Remaining
			search.Admit(deadline, mode)
			unassigned -= leftBefore - group.Remaining
		}
	}
	placeAtPeers := func(deadline int64) {
		if unassigned <= 0 || limited || j.requiresOneShard() {
			return
		}
		for _, capacity := range pt.peerCapacities(j, runtimeMS, deadline, unassigned) {
			if tasks := pt.peerTaskCapacity(capacity.peerShard, j, runtimeMS, deadline, min(capacity.tasks, unassigned), true); tasks > 0 {
				shares = append(shares, shardShare{capacity.peerShard.Shard, tasks})
				unassigned -= tasks
			}
			if unassigned <= 0 {
				return
			}
		}
	}
	placeHere(planner.NewSlotsInTime)
	placeAtPeers(min(deadline, pt.cache.immediateDeadline(j, runtimeMS)))
	placeHere(planner.ExistingQueues)
	placeAtPeers(deadline)
	for _, share := range shares {
		remaining -= share.tasks
	}
	shares = append([]shardShare{{homeShard, remaining}}, shares...)
	var ranges []Range
	lo := 0
	for _, share := range shares {
		for share.tasks > 0 {
			tasks := min(share.tasks, pt.maxRangeTasks())
			ranges = append(ranges, Range{lo, lo + tasks, share.shard, share.shard != homeShard})
			lo += tasks
			share.tasks -= tasks
		}
	}
	return ranges
}

// moveUnplaceableTasks hands tasks that no machine here can end in time to a peer
// with room, by a conditional write of the job's record. What came from a peer
// stays, and so does a job whose tasks begin once and may have begun: after a
// claim some of them may be lost, which only the range that had them knows.
// Moved before all machines had spoken, a lost task began again at the peer.
func (pt *peerTable) moveUnplaceableTasks(s *shard) {
	movable := func(tr *taskRange) bool {
		j := tr.job
		return pt.cache.jobs[j.rec.Job.ID] == j && !j.recordWritePending && !j.rec.Job.requiresOneShard() && len(j.rec.Ranges) < pt.maxJobRanges() &&
			!(j.rec.Job.AtMostOnce && j.rec.MayHaveBegun) && !tr.bounds.MovedFromPeer && !tr.moving &&
			!tr.writing &&
			pt.quotas.fitsTeamAllocation(s, j.rec.Job.Team)
	}
	for _, group := range s.queue {
		// What waits in a queue here may start at once there, but for what others are
		// stopped for here. A first task that goes ahead moves with the rest of its job.
		if group.IsFirstTask && group.taskRange.pending() > 1 {
			continue
		}
		if waiting := group.Waiting - s.reservedTasks[group.taskRange]; waiting > 0 && movable(group.taskRange) {
			pt.moveTasksToPeer(s, group.taskRange, waiting, group.LengthMS, pt.cache.immediateDeadline(group.job, group.LengthMS))
		}
	}
	for _, demand := range s.demand {
		j := pt.cache.jobs[demand.Job]
		if demand.SpotOnly || j == nil {
			continue
		}
		for _, tr := range sortedByKey(j.taskRanges) {
			if tr.shardName == s.name && movable(tr) {
				pt.moveTasksToPeer(s, tr, demand.Tasks, demand.TaskRuntimeMS, demand.DeadlineMS)
				break
			}
		}
	}
}

func (pt *peerTable) moveTasksToPeer(s *shard, tr *taskRange, maxTasks int, runtimeMS, deadline int64) {
	movable := 0
	for index := tr.size() - 1; index >= 0 && movable < maxTasks && !tr.done.has(index) && !tr.assigned.has(index) && !s.isAwaitingRestart(tr, index); index-- {
		movable++
	}
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
	tasks := pt.peerTaskCapacity(best.peerShard, &j.rec.Job, runtimeMS, deadline, min(best.tasks, movable), true)
	targetShard := best.peerShard.Shard
	rec := j.rec
	rec.Ranges = nil
	for _, bounds := range j.rec.Ranges {
		if bounds.Lo != tr.bounds.Lo {
			rec.Ranges = append(rec.Ranges, bounds)
			continue
		}
		if tasks < tr.size() {
			rec.Ranges = append(rec.Ranges, Range{bounds.Lo, bounds.Hi - tasks, bounds.Shard, bounds.MovedFromPeer})
		}
		rec.Ranges = append(rec.Ranges, Range{bounds.Hi - tasks, bounds.Hi, targetShard, true})
	}
	pt.log(Debug, "tasks moved", "job", j.rec.Job.ID, "tasks", tasks, "to", targetShard)
	pt.writeMove(s, tr, j, rec, j.rev)
}

// writeMove writes the move until its outcome is certain. While it is not, none
// of the range starts here: the tail may be the peer's already. A further try that
// was refused, or a conflict that could not be read back, once counted as the end
// of it; the first try was carried out after that, and the tail ran in both places.
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
			pt.store.sendTxn(
				UrgencyUser,
				[]Precondition{{claimKey(s.name), s.token}, {key, jobRevision}},
				changes,
				func(result StoreResult) {
					if result.Outcome == OK {
						pt.Counters.MovedTasks++
					}
					onResult(result)
				},
			)
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
