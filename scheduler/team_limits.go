package scheduler

import (
	"encoding/json"
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/indoubt"
	"github.com/grebedock/grebedock/quota"
)

// quotaManager owns the teams' ledgers (the allocations of their limits to shards). It decides which
// jobs are within their teams' guarantees and which capacity is reclaimed for them.
//
// A record in the state service divides a team's limit among the shards. A task starts only within
// its shard's allocation, so the limit holds regardless of what the shards know about each other
// (package quota). Without a record the whole limit is allocated to the team's home shard, which
// receives the team's jobs. When the limit was divided equally instead, a team's jobs waited in one
// shard for capacity that was unused in another. Earliest-deadline order also held only within a
// shard.
type quotaManager struct {
	*environment
	agents    *agentManager
	cache     *stateCache
	estimates *runtimeEstimator
	peers     *peerTable
	placer    *placementPlanner
	registry  *machineRegistry
	shards    *shardManager
	store     *storeClient

	quotaLedgers     map[string]*quota.Ledger // by team with a limit
	usageMonitor     *quota.UsageMonitor
	homeShards       map[string]string // by team with a limit: the shard that receives its jobs
	guaranteeStatus  guaranteeStatus
	capacitySnapshot capacitySnapshot
}

func newQuotaManager(env *environment) *quotaManager {
	qm := &quotaManager{
		environment:  env,
		usageMonitor: quota.NewUsageMonitor(env.params.MemberID, env.now.WallMS),
	}
	qm.initTeamLedgers()
	return qm
}

// teamAllocation returns a shard's allocation of a team's limit, and the team's settings. limited is
// false for a team without a limit.
func (qm *quotaManager) teamAllocation(s *shard, team string) (allocation quota.Amounts, settings Team, limited bool) {
	settings = qm.params.Teams[team]
	if ledger := qm.quotaLedgers[team]; ledger != nil {
		return ledger.Allocation(s.name), settings, true
	}
	return quota.Amounts{}, settings, false
}

// unlimitedAmount is larger than the amount of any resource in a cluster.
const unlimitedAmount = 1e12

// initTeamLedgers assigns home shards to the teams that have a limit, and creates their ledgers.
func (qm *quotaManager) initTeamLedgers() {
	qm.homeShards = assignTeamHomes(qm.params.Teams, qm.memberIDs())
	qm.quotaLedgers = map[string]*quota.Ledger{}
	for name, home := range qm.homeShards {
		t := qm.params.Teams[name]
		var others []string
		if qm.params.Quota {
			others = slices.DeleteFunc(qm.memberIDs(), func(s string) bool { return s == home })
		}
		limit := quota.Amounts{CPUs: t.MaxCPUs, GPUs: t.MaxGPUs}
		qm.quotaLedgers[name] = quota.NewLedger(limit, home, others...)
	}
}

// assignTeamHomes distributes the teams that have a limit over the shards. All members have the same
// settings, so they compute the same assignment.
func assignTeamHomes(teams map[string]Team, members []string) map[string]string {
	homes := map[string]string{}
	i := 0
	for name, t := range sortedByKey(teams) {
		if t.MaxCPUs > 0 || t.MaxGPUs > 0 {
			homes[name] = members[i%len(members)]
			i++
		}
	}
	return homes
}

// fitsTeamAllocation reports whether all of a limited team's work in a shard fits the shard's
// allocation. Only then may some of it move to a peer, which requests the allocation that it needs.
func (qm *quotaManager) fitsTeamAllocation(s *shard, team string) bool {
	headroom, limited := qm.teamHeadroom(s, team)
	if !limited {
		return true
	}
	queued := s.queuedRequests(team)
	return queued.CPUs <= headroom.CPUs && queued.GPUs <= headroom.GPUs
}

// queuedRequests returns the total request of a team's tasks that have no attempt.
func (s *shard) queuedRequests(team string) availability.Resources {
	var sum availability.Resources
	for _, tr := range s.taskRanges {
		if j := &tr.job.rec.Job; j.Team == team {
			queued := limitedRequest(j, tr.pending())
			sum.CPUs += queued.CPUs
			sum.GPUs += queued.GPUs
		}
	}
	return sum
}

// teamHeadroom returns the resources that a team may still use in a shard. limited is false for a
// team without a limit.
func (qm *quotaManager) teamHeadroom(s *shard, team string) (headroom availability.Resources, limited bool) {
	allocation, t, limited := qm.teamAllocation(s, team)
	if !limited {
		return availability.Resources{}, false
	}
	unused := t.maxUsage(allocation).Sub(qm.teamUsage(s, team).Total())
	return availability.Resources{CPUs: unused.CPUs, GPUs: unused.GPUs, MemoryGB: unlimitedAmount}, true
}

// maxUsage returns the usage that an allocation of the team's limit allows. It is unlimited in a dimension without a
// limit.
func (t Team) maxUsage(allocation quota.Amounts) quota.Amounts {
	if t.MaxCPUs <= 0 {
		allocation.CPUs = unlimitedAmount
	}
	if t.MaxGPUs <= 0 {
		allocation.GPUs = unlimitedAmount
	}
	return allocation
}

// isWithinTeamLimit reports whether the team's limit allows a task of a job to start now.
func (qm *quotaManager) isWithinTeamLimit(s *shard, j *Job) bool {
	headroom, limited := qm.teamHeadroom(s, j.Team)
	return !limited || headroom.Sub(qm.placer.reservedForOthers(s, j)).Contains(withoutDisk(j.Request))
}

// tasksWithinTeamLimit returns the number of a job's tasks that fit the shard's allocation of the
// team's limit now. started is the request of the team's other tasks that are about to start.
func (qm *quotaManager) tasksWithinTeamLimit(s *shard, j *Job, started availability.Resources) int {
	headroom, limited := qm.teamHeadroom(s, j.Team)
	if !limited {
		return j.Tasks
	}
	available := headroom.Sub(started).Sub(qm.placer.reservedForOthers(s, j))
	return available.MaxCopies(withoutDisk(j.Request), j.Tasks)
}

// teamDemands returns a shard's demand by team with a limit. It contains running work, waiting work,
// and the part of the waiting work that fit on machines in the last plan.
func (qm *quotaManager) teamDemands(s *shard) map[string]quota.Demand {
	out := make(map[string]quota.Demand, len(qm.quotaLedgers))
	for name := range qm.quotaLedgers {
		usage := qm.teamUsage(s, name)
		out[name] = quota.Demand{Used: usage.Total(), UsageUncertain: usage.unknown() != (quota.Amounts{})}
	}
	for _, tr := range s.taskRanges {
		j := &tr.job.rec.Job
		demand, limited := out[j.Team]
		if !limited {
			continue
		}
		req := amountsOf(j.Request)
		demand.LargestTask = demand.LargestTask.Max(req)
		if n := tr.pending(); n > 0 {
			demand.Pending = demand.Pending.Add(req.Scale(float64(n)))
			demand.LargestPending = demand.LargestPending.Max(req)
		}
		out[j.Team] = demand
	}
	for name, placeable := range s.placeableDemand {
		demand := out[name]
		demand.Startable = placeable.Min(demand.Pending)
		out[name] = demand
	}
	return out
}

// recordPlaceableDemand records how much of a group that is blocked by its team's limit fits on
// machines, live or booting.
func (qm *quotaManager) recordPlaceableDemand(s *shard, g *taskGroup) {
	team := g.job.Team
	n := s.clusterView.CountStartable(&g.Group, g.Remaining)
	s.placeableDemand[team] = s.placeableDemand[team].Add(amountsOf(g.job.Request).Scale(float64(n)))
}

// proposalsPerSummary is how many times per summary interval a shard evaluates its teams' records. A
// record is written only if it changes.
const proposalsPerSummary = 4

// allocationGraceSummaries is a grace period in summary intervals. For that time a shard keeps an
// allocation that is too small for its next task while other shards request it.
const allocationGraceSummaries = 30

// proposeAllocations updates the teams' records according to a shard's demands. It requests the
// allocation that the shard lacks, and grants unused allocation to shards that lack more. The home
// shard also lends idle allocation that no shard requests (package quota).
func (qm *quotaManager) proposeAllocations(s *shard) {
	if qm.now.MonotonicMS < s.nextProposalAt || !qm.store.hasAuthority() {
		return
	}
	s.nextProposalAt = qm.now.MonotonicMS + secondsToMS(qm.cache.settings.SummaryS)/proposalsPerSummary
	demands := qm.teamDemands(s)
	for name, ledger := range sortedByKey(qm.quotaLedgers) {
		ledger.GracePeriodMS = allocationGraceSummaries * secondsToMS(qm.cache.settings.SummaryS)
		if write := ledger.Propose(qm.now.WallMS, s.name, demands[name]); write != nil {
			s.dirty = true
			qm.writeTeamRecord(s, name, ledger, write)
		}
	}
}

// writeTeamRecord writes a team's record and repeats the write until its outcome is certain
// (package quota).
func (qm *quotaManager) writeTeamRecord(s *shard, team string, ledger *quota.Ledger, write *quota.Write) {
	key := teamKey(team)
	send := func(onResult func(StoreResult)) {
		preconditions := []Precondition{{claimKey(s.name), s.token}, {key, write.Revision}}
		changes := []Change{{Key: key, Value: mustEncode(write.Record)}}
		qm.store.sendTxn(UrgencyUser, preconditions, changes, func(r StoreResult) {
			qm.log(Debug, "team record write finished", "team", team, "shard", s.name, "outcome", r.Outcome,
				"allocations", write.Record.Allocations, "requests", write.Record.Requests)
			onResult(r)
		})
	}
	qm.store.sendUntilSettled(key, inDoubtWrite{
		isClaimValid: func() bool { return qm.shards.ownedShards[s.name] == s },
		send:         send,
		onSent:       ledger.RecordOutcome,
		onRead:       func(r StoreResult) indoubt.NextStep { return resolveTeamRecord(ledger, r) },
		onSettled:    qm.shards.markAllShardsDirty,
		onClaimLost:  ledger.Abandon,
	})
}

// resolveTeamRecord passes the stored record to a ledger after a write with an unknown outcome.
func resolveTeamRecord(ledger *quota.Ledger, r StoreResult) indoubt.NextStep {
	if r.Outcome != OK || len(r.KVs) != 1 {
		return ledger.Resolve(r.Outcome, nil, 0)
	}
	var rec quota.Record
	if json.Unmarshal(r.KVs[0].Value, &rec) != nil {
		return ledger.Resolve(Unknown, nil, 0)
	}
	return ledger.Resolve(OK, &rec, r.KVs[0].Rev)
}
