package scheduler

import "slices"

// peerTable owns the last message and status record from each member, and decides which tasks
// move to which peer's shards.
type peerTable struct {
	*environment
	agents   *agentManager
	cache    *stateCache
	placer   *placementPlanner
	quotas   *quotaManager
	requests *requestHandler
	shards   *shardManager
	store    *storeClient

	peers                    map[string]*peerState // by member ID, including this member
	statusRecords            map[string]*peerState // by member ID, from the cache; used if there is no fresh message
	writingStatusRecord      bool
	lastStatusRecordNonEmpty bool
	nextStatusRecordAtMS     int64 // monotonic time
	nextPeerMessageAtMS      int64 // monotonic time
	summaryTurn              int   // round-robin counter that selects the peers for the next summaries
}

func newPeerTable(env *environment) *peerTable {
	return &peerTable{environment: env, peers: map[string]*peerState{}, statusRecords: map[string]*peerState{}}
}

// sendPeerMessage sends this member's state to all peers, once every SummaryS.
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

		FastestWriteMS: pt.store.recentWrites.fastestMS(),
	}
	if pt.store.hasAuthority() {
		msg.OwnedShards = pt.reportOwnedShards()
	}
	owner := pt.cache.shardClaims[pt.params.MemberID].Owner
	if owner != pt.params.MemberID && pt.store.storeAccess.LeaseID() != 0 {
		msg.ShardRequestedFrom = owner
	}
	pt.publishStatusRecord(&msg)
	pt.outputs.PeerMessage, pt.outputs.SummaryRecipients = &msg, pt.summaryRecipients()
	pt.peers[pt.params.MemberID] = &peerState{receivedAtMS: pt.now.MonotonicMS, sentWallMS: pt.now.WallMS, message: msg}
}

// reportOwnedShards returns the state of each ready shard for peers. It first moves the tasks
// that the shard cannot place.
func (pt *peerTable) reportOwnedShards() []PeerShard {
	var reports []PeerShard
	for _, s := range sortedByKey(pt.shards.ownedShards) {
		if !s.ready || s.releasing {
			continue
		}
		pt.moveUnplaceableTasks(s)
		peerShard := PeerShard{
			Shard:             s.name,
			Summary:           pt.placer.availabilitySummary(s),
			TaskCounts:        pt.shards.taskCounts(s),
			DisruptionDemands: s.disruption.demands,
		}
		for _, demand := range s.demand {
			peerShard.Demands = append(peerShard.Demands, demand.CapacityDemand)
		}
		peerShard.Demands = append(peerShard.Demands, s.forecastDemand...)
		for _, mc := range s.machines {
			if mc.releasing {
				peerShard.MachinesToRelease = append(peerShard.MachinesToRelease, mc.id)
			}
		}
		reports = append(reports, peerShard)
		if pt.params.Debug {
			pt.logShardLoad(s)
		}
	}
	return reports
}

// maxSummaryRecipients is the number of peers to which a message is sent with its summaries,
// which are by far its largest part. If there are more peers, they receive the summaries in
// rotation: with a hundred peers, complete messages took 1.7 MB/s outbound and inbound. The data
// that decisions need at once (demands, machines to release, teams' usage) goes to all peers
// with every message.
const maxSummaryRecipients = 16

// summaryRecipients returns the peers that receive the summaries of the next message; nil means
// all.
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

// copyLastSummaries copies the last summaries of a peer's shards into a message without
// summaries. Capacity that was reserved in them stays reserved.
func copyLastSummaries(msg *PeerMessage, last *peerState) {
	if last == nil {
		return
	}
	for i := range msg.OwnedShards {
		peerShard := &msg.OwnedShards[i]
		sameShard := func(other PeerShard) bool { return other.Shard == peerShard.Shard }
		if index := slices.IndexFunc(last.message.OwnedShards, sameShard); index >= 0 {
			peerShard.Summary = last.message.OwnedShards[index].Summary
		}
	}
}

// HandlePeerMessage processes a peer's message. It ignores a message that was not sent after the
// last one received, and one that is too old: a member that has just started knows no last one.
func (c *Controller) HandlePeerMessage(now Now, msg PeerMessage) {
	c.now = now
	if last := c.peers.peers[msg.From]; last != nil && last.sentWallMS >= msg.WallMS {
		return // a copy, or a newer message arrived first
	}
	if now.WallMS-msg.WallMS > c.cache.maxMessageAgeMS() {
		return
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

// isFresh reports whether a peer's state is recent enough to guide decisions; peer may be nil.
func (pt *peerTable) isFresh(peer *peerState) bool {
	return peer != nil && pt.now.MonotonicMS-peer.receivedAtMS < pt.cache.maxMessageAgeMS()
}

// logShardLoad writes a shard's CPUs to the debug log: by purchase option and state of
// machines, and by state of tasks.
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
	pt.log(Debug, "shard load", "shard", s.name,
		"spot", spot, "on_demand", onDemand, "booting", booting,
		"running", running, "fetching", fetching, "waiting", waiting,
		"demands", len(s.demand))
}

// peerState is the last message from a member.
type peerState struct {
	receivedAtMS int64 // monotonic time of this member
	sentWallMS   int64 // wall-clock time of the sender
	message      PeerMessage
}
