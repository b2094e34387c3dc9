package scheduler

import (
	"slices"
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

// minMoveDivisor is how small a share of what waits may go by a move of its own:
// each costs a write now and one at its end.
const minMoveDivisor = 8

// isAwaitingRestart tells whether a task was stopped to empty its machine and does not run
// again yet: that it does is seen here alone.
func (s *shard) isAwaitingRestart(tr *taskRange, index int) bool {
	account := s.disruption.account
	return account != nil && account.IsReserved(taskName(tr.job.rec.Job.ID, tr.bounds.Lo+index))
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

type peerState struct {
	receivedAtMS int64 // steady time of the last message
	sentWallMS   int64 // its own time of day
	message      PeerMessage
}
