package scheduler

import (
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/indoubt"
	"github.com/grebedock/grebedock/planner"
)

// peerTable owns what the members last told each other, by message or by status
// record, and decides which tasks go to which peer's shards.
type peerTable struct {
	*environment
	cache    *stateCache
	placer   *placementPlanner
	quotas   *quotaManager
	requests *requestHandler
	shards   *shardManager
	store    *storeClient

	peers                    map[string]*peerState // by member ID, this one among them
	statusRecords            map[string]*peerState // of members that the leader may not receive messages from
	writingStatusRecord      bool
	lastStatusRecordNonEmpty bool
	nextStatusRecordAtMS     int64
	nextPeerMessageAtMS      int64
	summaryTurn              int // which peers get the summaries next
}

func newPeerTable(env *environment) *peerTable {
	return &peerTable{environment: env, peers: map[string]*peerState{}, statusRecords: map[string]*peerState{}}
}

func (pt *peerTable) sendPeerMessage() {
	if !pt.store.storeAccess.IsSynced() || pt.now.MonotonicMS < pt.nextPeerMessageAtMS {
		return
	}
	pt.nextPeerMessageAtMS = pt.now.MonotonicMS + secondsToMS(pt.cache.settings.SummaryS)
	msg := PeerMessage{
		From:          pt.params.MemberID,
		WallMS:        pt.now.WallMS,
		ServesUsers:   pt.requests.canServeUsers(),
		RolloutCounts: pt.rolloutCounts,
		TeamUsage:     pt.quotas.usageSnapshot(),
	}
	if pt.store.hasAuthority() {
		for _, s := range sortedByKey(pt.shards.ownedShards) {
			if s.ready && !s.releasing {
				pt.moveUnplaceableTasks(s)
				peerShard := PeerShard{
					Shard:             s.name,
					Summary:           pt.placer.availabilitySummary(s),
					TaskCounts:        pt.shards.taskCounts(s),
					DisruptionDemands: s.disruption.demands,
				}
				peerShard.Demands = append(append(peerShard.Demands, s.demand...), s.forecastDemand...)
				for _, mc := range s.machines {
					if mc.releasing {
						peerShard.MachinesToRelease = append(peerShard.MachinesToRelease, mc.id)
					}
				}
				msg.OwnedShards = append(msg.OwnedShards, peerShard)
				if pt.params.Debug {
					pt.logShardLoad(s)
				}
			}
		}
	}
	if owner := pt.cache.shardClaims[pt.params.MemberID].Owner; owner != pt.params.MemberID && pt.store.storeAccess.LeaseID() != 0 {
		msg.ShardRequestedFrom = owner
	}
	pt.publishStatusRecord(&msg)
	pt.outputs.PeerMessage, pt.outputs.SummaryRecipients = &msg, pt.summaryRecipients()
	pt.peers[pt.params.MemberID] = &peerState{receivedAtMS: pt.now.MonotonicMS, sentWallMS: pt.now.WallMS, message: msg}
}

// maxSummaryRecipients is how many peers get a member's summaries with each message, by far its
// largest part. Beyond that they take turns: with a hundred peers, whole messages were 1.7 MB a
// second out and in. What decides at once, needs, returns, teams' figures, goes to all each time.
const maxSummaryRecipients = 16

// summaryRecipients is which peers get the summaries this time; nil: all.
func (pt *peerTable) summaryRecipients() []string {
	turns := (len(pt.params.PeerIDs) + maxSummaryRecipients - 1) / maxSummaryRecipients
	if turns <= 1 {
		return nil
	}
	pt.summaryTurn++
	var recipients []string
	for i, memberID := range pt.memberIDs() {
		if memberID != pt.params.MemberID && (i+pt.summaryTurn)%turns == 0 {
			recipients = append(recipients, memberID)
		}
	}
	return recipients
}

// copyLastSummaries puts the last summaries of a peer's shards into a message that has none. What
// was taken of them stays taken.
func copyLastSummaries(msg *PeerMessage, last *peerState) {
	if last == nil {
		return
	}
	for i := range msg.OwnedShards {
		peerShard := &msg.OwnedShards[i]
		if index := slices.IndexFunc(last.message.OwnedShards, func(o PeerShard) bool { return o.Shard == peerShard.Shard }); index >= 0 {
			peerShard.Summary = last.message.OwnedShards[index].Summary
		}
	}
}

// HandlePeerMessage takes a peer's message.
func (c *Controller) HandlePeerMessage(now Now, msg PeerMessage) {
	c.now = now
	if last := c.peers.peers[msg.From]; last != nil && last.sentWallMS > msg.WallMS {
		return // overtaken by a newer one
	}
	if msg.OmitsSummaries {
		copyLastSummaries(&msg, c.peers.peers[msg.From])
	}
	c.peers.peers[msg.From] = &peerState{receivedAtMS: now.MonotonicMS, sentWallMS: msg.WallMS, message: msg}
	c.quotas.usageMonitor.Receive(now.MonotonicMS, msg.From, msg.TeamUsage)
	if msg.ShardRequestedFrom == c.params.MemberID {
		if s := c.shards.ownedShards[msg.From]; s != nil && s.name != c.params.MemberID {
			c.shards.releaseShard(s)
		}
	}
}

// isFresh is how long a peer's summary may guide a decision.
func (pt *peerTable) isFresh(peer *peerState) bool {
	return peer != nil && pt.now.MonotonicMS-peer.receivedAtMS < pt.cache.maxMessageAgeMS()
}

func (cache *stateCache) maxMessageAgeMS() int64 { return 4 * secondsToMS(cache.settings.SummaryS) }

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

// immediateDeadline is by when a task must end that a peer is asked to start at once: its
// length and a share more, since summaries are a moment old.
func (cache *stateCache) immediateDeadline(j *Job, runtimeMS int64) int64 {
	fetchMS := int64(0)
	for typeName := range cache.machineTypes {
		fetchMS = max(fetchMS, cache.imageFetchMS(j, typeName))
	}
	return cache.now.WallMS + fetchMS + runtimeMS + min(runtimeMS/4, secondsToMS(cache.params.HeartbeatS))
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

func (cache *stateCache) imageFetchMS(j *Job, typ string) int64 {
	request := j.resourceRequest()
	return cache.placementCatalog.FetchMS(&request, typ)
}

// maxRangeTasks bounds the tasks of one range, so that its progress fits half a
// value: a bitmap in base64 takes a sixth of a byte a task.
func (env *environment) maxRangeTasks() int { return max(64, env.params.MaxValueBytes/2*6) }

// maxJobRanges bounds the ranges of a job's record, a record of some fifty
// bytes each in a quarter of a value.
func (env *environment) maxJobRanges() int { return max(8, env.params.MaxValueBytes/4/50) }

// homeShard is the shard that holds what is left of a new job.
func (qm *quotaManager) homeShard(j *Job) string {
	homeShard, limited := qm.homeShards[j.Team]
	if !limited || qm.keepsJobFromHome(homeShard, j) {
		return qm.params.MemberID
	}
	return homeShard
}

// keepsJobFromHome tells whether a job stays here though its team has another home: whoever
// holds that is not heard, and the part that stands here takes a task.
func (qm *quotaManager) keepsJobFromHome(homeShard string, j *Job) bool {
	owner := qm.cache.shardClaims[homeShard].Owner
	s := qm.shards.ownedShards[qm.params.MemberID]
	return qm.params.Quota && s != nil && owner != qm.params.MemberID && (owner == "" || !qm.peers.isFresh(qm.peers.peers[owner])) &&
		qm.quotaLedgers[j.Team].Allocation(s.name).Contains(amountsOf(j.Request))
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

// minMoveDivisor is how small a share of what waits may go by a move of its own:
// each costs a write now and one at its end.
const minMoveDivisor = 8

// isAwaitingRestart tells whether a task was stopped to empty its machine and does not run
// again yet: that it does is seen here alone.
func (s *shard) isAwaitingRestart(tr *taskRange, index int) bool {
	account := s.disruption.account
	return account != nil && account.IsReserved(taskName(tr.job.rec.Job.ID, tr.bounds.Lo+index))
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

// logShardLoad tells, for those who read debug logs, how full a shard's machines
// are.
func (pt *peerTable) logShardLoad(s *shard) {
	var spot, onDemand, booting, running, fetching float64
	for _, mc := range s.machines {
		if mc.releasing {
			continue
		}
		cpus := resourcesOf(pt.cache.machineTypes[mc.rec.Type]).CPUs
		switch {
		case !mc.Up:
			booting += cpus
		case mc.rec.Spot:
			spot += cpus
		default:
			onDemand += cpus
		}
		for _, attempt := range mc.byKey {
			if attempt.running && !attempt.exited {
				running += attempt.job.Request.CPUs
			} else if !attempt.exited {
				fetching += attempt.job.Request.CPUs
			}
		}
	}
	waiting := 0.0
	for _, group := range pt.placer.waitingTaskGroups(s) {
		waiting += float64(group.Remaining) * group.job.Request.CPUs
	}
	pt.log(
		Debug,
		"load",
		"shard",
		s.name,
		"spot",
		spot,
		"ordinary",
		onDemand,
		"booting",
		booting,
		"running",
		running,
		"fetching",
		fetching,
		"waiting",
		waiting,
		"needs",
		len(s.demand),
	)
}
