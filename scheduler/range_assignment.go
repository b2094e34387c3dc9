package scheduler

import (
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
)

// peerTaskCapacity returns how many of a job's tasks, up to limit, a peer's shard can finish by
// deadline (wall-clock time, ms). It uses the shard's last summary; the peer decides which of its
// machines run the tasks. With reserve, the capacity used is subtracted from the summary until the
// next one arrives.
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
			maxInAllQueues := int(min(function.Count, 1<<20)) * j.Tasks
			inAllQueues := function.TaskCapacity(resources, deadline, taskRuntimeMS, maxInAllQueues)
			tasksPerQueue := max(1, inAllQueues/int(function.Count))
			function.Count -= int64((fitting + tasksPerQueue - 1) / tasksPerQueue)
		}
		tasks += fitting
	}
	return tasks
}

// peerCapacity is the number of a job's tasks that a peer's shard can take.
type peerCapacity struct {
	peerShard *PeerShard
	tasks     int
}

// peerCapacities returns the peers' shards with capacity for a job, the smallest capacity first.
// All members see the same capacity, and a member does not move tasks that it received from a peer.
// Each member therefore uses only its share. When four members used all of it at once, the peer
// that had been idle ended up with the longest queue.
func (pt *peerTable) peerCapacities(j *Job, runtimeMS, deadline int64, limit int) []peerCapacity {
	var capacities []peerCapacity
	sharingMembers := len(pt.params.PeerIDs)
	for memberID, peer := range sortedByKey(pt.peers) {
		if memberID == pt.params.MemberID || !pt.isFresh(peer) {
			continue
		}
		for i := range peer.message.OwnedShards {
			peerShard := &peer.message.OwnedShards[i]
			if pt.cache.shardClaims[peerShard.Shard].Owner != memberID {
				continue
			}
			tasks := pt.peerTaskCapacity(peerShard, j, runtimeMS, deadline, limit*sharingMembers, false)
			if tasks = (tasks + sharingMembers - 1) / sharingMembers; tasks > 0 {
				capacities = append(capacities, peerCapacity{peerShard, tasks})
			}
		}
	}
	slices.SortStableFunc(capacities, func(a, b peerCapacity) int { return a.tasks - b.tasks })
	return capacities
}

// shardShare is the number of a job's tasks that a shard gets.
type shardShare struct {
	shard string
	tasks int
}

// rangeAssignment is the state of assigning a new job's tasks to shards. Tasks that remain
// unassigned at the end go to the home shard.
type rangeAssignment struct {
	peers      *peerTable
	job        *Job
	group      *taskGroup
	search     *planner.CandidateSearch // search in this member's own shard; nil if the shard is not used
	runtimeMS  int64
	deadline   int64 // end of a task that meets the start objective, or the deadline; wall-clock time, ms
	movable    bool  // tasks may go to peers
	unassigned int
	peerShares []shardShare
}

// assignRanges decides which shards get the tasks of a new job: this member's shard before those of
// peers. It uses free capacity, local or at a peer, before a place in a queue. A task that waits
// while a peer's machine is idle only risks its deadline. Tasks that no shard can finish in time
// stay in the home shard.
func (pt *peerTable) assignRanges(j *Job) []Range {
	homeShard := pt.quotas.homeShard(j)
	a := pt.newRangeAssignment(j, homeShard)
	a.assignLocally(planner.NewSlotsInTime)
	a.assignToPeers(min(a.deadline, pt.cache.immediateDeadline(j, a.runtimeMS)))
	a.assignLocally(planner.ExistingQueues)
	a.assignToPeers(a.deadline)
	remaining := j.Tasks
	for _, share := range a.peerShares {
		remaining -= share.tasks
	}
	shares := append([]shardShare{{homeShard, remaining}}, a.peerShares...)
	return pt.splitIntoRanges(shares, homeShard)
}

// newRangeAssignment prepares the assignment of a new job. It searches this member's own shard only
// if that is the home shard, is ready, and this member has authority.
func (pt *peerTable) newRangeAssignment(j *Job, homeShard string) *rangeAssignment {
	ownShard := pt.params.MemberID
	limited := pt.quotas.homeShards[j.Team] != ""
	bounds := Range{0, j.Tasks, ownShard, false}
	provisional := &job{rec: jobRecord{Job: *j, AcceptedAtMS: pt.now.WallMS, Ranges: []Range{bounds}}}
	provisionalRange := &taskRange{job: provisional, bounds: bounds, shardName: ownShard}
	group := pt.placer.newTaskGroup(provisionalRange, 0)
	a := &rangeAssignment{
		peers:      pt,
		job:        j,
		group:      group,
		runtimeMS:  group.LengthMS,
		deadline:   group.ObjectiveDeadlineMS,
		movable:    !limited && !j.requiresOneShard(),
		unassigned: j.Tasks,
	}
	s := pt.shards.ownedShards[ownShard]
	if s == nil || !s.ready || !pt.store.hasAuthority() || homeShard != ownShard {
		return a
	}
	// The search reserves capacity in the last plan, until the next plan: a burst of submissions
	// must not cost one plan per submission.
	group.Remaining = min(j.Tasks, pt.quotas.tasksWithinTeamLimit(s, j, availability.Resources{}))
	a.search = s.clusterView.StartSearch(&group.Group)
	return a
}

// assignLocally assigns tasks to this member's own shard, if it is the home shard.
func (a *rangeAssignment) assignLocally(mode planner.QueueMode) {
	if a.search == nil {
		return
	}
	remainingBefore := a.group.Remaining
	a.search.Admit(a.deadline, mode)
	a.unassigned -= remainingBefore - a.group.Remaining
}

// assignToPeers assigns tasks to peers' shards that can finish them by deadline.
func (a *rangeAssignment) assignToPeers(deadline int64) {
	if a.unassigned <= 0 || !a.movable {
		return
	}
	for _, capacity := range a.peers.peerCapacities(a.job, a.runtimeMS, deadline, a.unassigned) {
		limit := min(capacity.tasks, a.unassigned)
		tasks := a.peers.peerTaskCapacity(capacity.peerShard, a.job, a.runtimeMS, deadline, limit, true)
		if tasks > 0 {
			a.peerShares = append(a.peerShares, shardShare{capacity.peerShard.Shard, tasks})
			a.unassigned -= tasks
		}
		if a.unassigned <= 0 {
			return
		}
	}
}

// splitIntoRanges returns a job's ranges for the given shares, each of at most maxRangeTasks tasks.
func (pt *peerTable) splitIntoRanges(shares []shardShare, homeShard string) []Range {
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
